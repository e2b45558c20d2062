//! Contract of all stores, and recovery of the store on disk after a power failure: it opens with an older
//! complete state or with none, never with a mixture of states. Unreadable data counts as an emptied disk.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use lynxstair_consensus::PersistentState;
use lynxstair_controller::storage::{DepartureChanges, MemoryStore, SqliteStore, StorageError, Store};
use lynxstair_protocol::consensus::{LogId, Member, ReplicatedState};
use lynxstair_protocol::messages::{Bytes, Instance, InstanceState};

fn open(folder: &Path) -> SqliteStore {
    SqliteStore::open(folder, |_| false).expect("open")
}

/// Returns a state of the given term. The configuration changes every three terms.
fn state_of_term(term: u64) -> PersistentState {
    let node = "10.0.0.1:80".parse().expect("one");
    let config = Bytes(Arc::new(vec![(term / 3) as u8; 30_000 + (term / 3) as usize]));
    PersistentState {
        term,
        vote: Some(node),
        last: LogId { term, index: 7 },
        state: ReplicatedState { voters: vec![Member { node, disk: 9 }], outgoing_voter: None, config },
        disk: 9,
    }
}

/// Checks the contract of all stores.
fn check_contract(store: &mut dyn Store) {
    assert_eq!(store.load().expect("loads"), None, "a new store is empty");
    assert!(!store.is_emptied(), "a new store is not emptied");
    assert_eq!(store.load_instances().expect("loads"), Vec::<u8>::new());
    for instances in [&b"one"[..], b"two"] {
        store.save_instances(instances).expect("saved");
        assert_eq!(store.load_instances().expect("loads"), instances);
    }
    for term in 1..40 {
        store.save(&state_of_term(term)).expect("saved");
        assert_eq!(store.load().expect("loads"), Some(state_of_term(term)), "the state saved last");
    }
    check_departures(store);
    // A configuration returns after another one.
    for term in [4, 39, 4, 39] {
        store.save(&state_of_term(term)).expect("saved");
        assert_eq!(store.load().expect("loads"), Some(state_of_term(term)));
    }
}

fn departed(id: &str) -> Instance {
    Instance {
        id: id.to_string(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("one"),
        zone: "z".into(),
        capacity: 6,
        state: InstanceState::Draining,
        warming_up_ms: 0,
        call_seq: 12,
        heartbeat_age_ms: 0,
        is_unconfirmed: false,
    }
}

fn check_departures(store: &mut dyn Store) {
    let changes = |added: &[&str], removed: &[&str]| DepartureChanges {
        added: added.iter().map(|id| departed(id)).collect(),
        removed: removed.iter().map(|id| id.to_string()).collect(),
    };
    assert_eq!(store.load_departures().expect("loads"), Vec::new());
    store.save_departures(&changes(&["i-1", "i-2"], &[])).expect("saved");
    store.save_departures(&changes(&["i-3", "i-2"], &["i-1", "i-9"])).expect("saved");
    let mut stored = store.load_departures().expect("loads");
    stored.sort_by(|a, b| a.id.cmp(&b.id));
    assert_eq!(stored, [departed("i-2"), departed("i-3")]);
}

#[test]
fn stores_fulfil_the_contract() {
    check_contract(&mut MemoryStore::default());
    let folder = tempfile::tempdir().expect("a folder");
    let inner = folder.path().join("a/b");
    check_contract(&mut open(&inner));
    let mut reopened = open(&inner);
    assert_eq!(
        reopened.load().expect("loads"),
        Some(state_of_term(39)),
        "the state is there after reopening"
    );
    assert!(!reopened.is_emptied());
    assert_eq!(reopened.load_departures().expect("loads").len(), 2, "departures are there after reopening");
}

/// A departure that can't be decoded does not keep a controller from starting.
#[test]
fn an_unreadable_departure_is_left_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    let changes = DepartureChanges { added: vec![departed("i-1"), departed("i-2")], removed: Vec::new() };
    store.save_departures(&changes).expect("saved");
    drop(store);
    let raw = rusqlite::Connection::open(folder.path().join("book.sqlite")).expect("open");
    raw.execute_batch("UPDATE departures SET held = x'00' WHERE id = 'i-1'").expect("corrupted");
    drop(raw);
    assert_eq!(open(folder.path()).load_departures().expect("loads"), [departed("i-2")]);
}

#[test]
fn an_error_on_creating_the_folder_is_retried_and_names_the_path() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let mut waits = 0;
    let wait = |_: &StorageError| {
        waits += 1;
        waits < 3
    };
    let error = SqliteStore::open(&file.path().join("x"), wait).err().expect("no folder in a file");
    let error = error.to_string();
    assert!(error.contains(&file.path().display().to_string()), "{error}");
    assert_eq!(waits, 3, "retried before the error is returned");
}

/// Saving a vote does not write the unchanged configuration again.
#[test]
fn saving_a_vote_does_not_write_the_configuration() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    let log = || fs::metadata(folder.path().join("book.sqlite-wal")).expect("a log").len();
    let state_of_term = |term| PersistentState { term, ..state_of_term(3) };
    store.save(&state_of_term(3)).expect("saved");
    let before = log();
    store.save(&state_of_term(4)).expect("saved");
    assert!(log() - before < 3 * 4_200, "{} bytes", log() - before);
    assert_eq!(store.load().expect("loads"), Some(state_of_term(4)));
}

/// The log exists once the store is open, so that the sync of the folder on opening covers it. Otherwise the
/// log and the writes synced to it could be lost on power failure.
#[test]
fn opening_a_store_creates_its_write_ahead_log() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    store.save(&state_of_term(1)).expect("saved");
    drop(store); // Closing the database removes its log.
    assert!(!folder.path().join("book.sqlite-wal").exists());
    let _store = open(folder.path());
    assert!(folder.path().join("book.sqlite-wal").exists());
}

/// Returns the files of an open store after the states of terms 1 to `last` were saved.
fn files(last: u64) -> Vec<(&'static str, Vec<u8>)> {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    for term in 1..=last {
        store.save(&state_of_term(term)).expect("saved");
    }
    let read = |name| (name, fs::read(folder.path().join(name)).expect("there"));
    vec![read("book.sqlite"), read("book.sqlite-wal")]
}

/// Opens a store on just these files. Returns the loaded state, and whether the store counts as emptied.
/// Checks that the result is the same when it is opened again, and that the store then saves a state.
fn recover(files: &[(&str, Vec<u8>)]) -> (Option<PersistentState>, bool) {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files {
        fs::write(folder.path().join(name), bytes).expect("written");
    }
    let mut store = open(folder.path());
    let found = (store.load().expect("loads"), store.is_emptied());
    drop(store);
    let mut reopened = open(folder.path());
    assert_eq!((reopened.load().expect("loads"), reopened.is_emptied()), found, "the same after reopening");
    reopened.save(&state_of_term(90)).expect("saved");
    assert!(!reopened.is_emptied());
    drop(reopened);
    assert_eq!(open(folder.path()).load().expect("loads"), Some(state_of_term(90)));
    found
}

/// Returns `true` if there is no state, or if it is one of those that were saved up to term `last`.
fn is_older_or_none(found: &Option<PersistentState>, last: u64) -> bool {
    found.as_ref().is_none_or(|r| r.term <= last && *r == state_of_term(r.term))
}

/// Covers a log and a database that are truncated or have an overwritten block, and missing files.
#[test]
fn a_power_failure_leaves_an_older_state_or_none() {
    let last = 14;
    let whole = files(last);
    let [(main, database), (name, log)] = &whole[..] else { panic!("two files") };
    assert_eq!(recover(&whole), (Some(state_of_term(last)), false));
    let mut seen = std::collections::BTreeSet::new();
    let mut check = |files: &[(&str, Vec<u8>)], what: &str| {
        let (found, is_emptied) = recover(files);
        assert!(
            is_older_or_none(&found, last),
            "{what}: {:?}",
            found.map(|r| (r.term, r.state.config.0.len()))
        );
        assert!(!(is_emptied && found.is_some()), "{what}");
        seen.insert(found.map(|r| r.term));
    };
    for part in 0..60 {
        let cut = log.len() * part / 60;
        check(&[(*main, database.clone()), (*name, log[..cut].to_vec())], "a truncated log");
        let mut damaged = log.clone();
        let end = (cut + 4_096).min(log.len());
        damaged[cut..end].fill(0);
        check(&[(*main, database.clone()), (*name, damaged)], "a log with an overwritten block");
    }
    check(&[(*main, database.clone())], "no log");
    for part in 0..20 {
        let cut = database.len() * part / 20;
        check(&[(*main, database[..cut].to_vec()), (*name, log.clone())], "a truncated database");
        check(&[(*main, database[..cut].to_vec())], "a truncated database without its log");
        let mut damaged = database.clone();
        let end = (cut + 4_096).min(database.len());
        damaged[cut..end].fill(0x5a);
        check(&[(*main, damaged.clone()), (*name, log.clone())], "a database with an overwritten block");
        check(&[(*main, damaged)], "a database with an overwritten block, without its log");
    }
    assert!(seen.len() > 5, "{seen:?}");
    assert_eq!(
        recover(&[]),
        (None, false),
        "an empty folder: the settings decide whether it is the first start"
    );
    assert_eq!(recover(&[(*name, log.clone())]), (None, true), "a log without its database");
    assert_eq!(recover(&[(*main, Vec::new()), (*name, log.clone())]), (None, true));
    assert_eq!(recover(&[(*main, b"no database at all".repeat(500))]), (None, true));
}

/// A database that another connection has open is not modified.
#[test]
fn a_database_that_is_open_elsewhere_is_left_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut first = open(folder.path());
    first.save(&state_of_term(1)).expect("saved");
    assert!(SqliteStore::open(folder.path(), |_| false).is_err());
    first.save(&state_of_term(2)).expect("saved");
    drop(first);
    assert_eq!(open(folder.path()).load().expect("loads"), Some(state_of_term(2)));
}

/// Rows that do not come from the same write are corrupt.
#[test]
fn rows_of_different_writes_are_quarantined() {
    let folder = tempfile::tempdir().expect("a folder");
    for corruption in [
        "UPDATE book SET held = x'00'",
        "DELETE FROM book",
        "DELETE FROM head",
        "UPDATE head SET held = substr(held, 1, length(held) - 1)",
        "DROP TABLE head; CREATE TABLE head (other INTEGER)",
    ] {
        let mut store = open(folder.path());
        store.save(&state_of_term(5)).expect("saved");
        drop(store);
        let raw = rusqlite::Connection::open(folder.path().join("book.sqlite")).expect("open");
        raw.execute_batch(corruption).expect("corrupted");
        drop(raw);
        let mut store = open(folder.path());
        assert_eq!((store.load().expect("loads"), store.is_emptied()), (None, true), "{corruption}");
    }
}

/// A database in the first schema is read after an upgrade, and replaced by the first write. A founding
/// member keeps its vote with disk identity 0; a node that was emptied and not readmitted has no vote.
#[test]
fn the_first_schema_is_read() {
    #[derive(serde::Serialize)]
    struct StateV1 {
        term: u64,
        vote: Option<std::net::SocketAddr>,
        stamp: LogId,
        state: ReplicatedStateV1,
        lost: Option<u64>,
    }
    #[derive(serde::Serialize)]
    struct ReplicatedStateV1 {
        members: Vec<std::net::SocketAddr>,
        book: Bytes,
    }
    let node = "10.0.0.1:80".parse().expect("one");
    for lost in [None, Some(77)] {
        let folder = tempfile::tempdir().expect("a folder");
        let (stamp, book) = (LogId { term: 4, index: 9 }, Bytes(Arc::new(vec![7; 300])));
        let state = ReplicatedStateV1 { members: vec![node], book: book.clone() };
        let mut held = Vec::new();
        ciborium::into_writer(&StateV1 { term: 5, vote: Some(node), stamp, state, lost }, &mut held)
            .expect("written");
        let raw = rusqlite::Connection::open(folder.path().join("book.sqlite")).expect("open");
        let table = "CREATE TABLE record (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL)";
        raw.execute_batch(table).expect("a table");
        raw.execute("INSERT INTO record VALUES (1, ?1)", [&held]).expect("a row");
        drop(raw);
        let voters = vec![Member { node, disk: 0 }];
        let state = ReplicatedState { voters, outgoing_voter: None, config: book };
        let expected =
            PersistentState { disk: lost.unwrap_or(0), term: 5, vote: Some(node), last: stamp, state };
        let mut store = open(folder.path());
        assert_eq!((store.load().expect("loads"), store.is_emptied()), (Some(expected), false));
        store.save(&state_of_term(8)).expect("saved");
        drop(store);
        assert_eq!(
            open(folder.path()).load().expect("loads"),
            Some(state_of_term(8)),
            "the new schema takes precedence"
        );
    }
}

/// A database that can't be opened is retried and not quarantined, as it may be the only copy of the state.
#[test]
fn a_database_that_cannot_be_opened_is_retried_and_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    store.save(&state_of_term(3)).expect("saved");
    drop(store);
    let (file, hidden) = (folder.path().join("book.sqlite"), folder.path().join("hidden"));
    fs::rename(&file, &hidden).expect("hidden");
    fs::create_dir(&file).expect("created a folder in its place");
    let mut attempts = 0;
    let refused = SqliteStore::open(folder.path(), |error| {
        attempts += 1;
        matches!(error, StorageError::Disk { .. }) && attempts < 5
    });
    assert!(refused.is_err() && attempts == 5);
    fs::remove_dir(&file).expect("still there, not quarantined");
    fs::rename(&hidden, &file).expect("back");
    assert_eq!(open(folder.path()).load().expect("loads"), Some(state_of_term(3)));
}
