//! What every store must do, and what a loss of power may leave of the one on disk: an older record whole, or a disk that
//! counts as emptied; never a mixture, never a first start.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use lynxstair_consensus::PersistentState;
use lynxstair_controller::storage::{MemoryStore, SqliteStore, StorageError, Store};
use lynxstair_protocol::consensus::{LogId, Member, ReplicatedState};
use lynxstair_protocol::messages::Bytes;

fn open(folder: &Path) -> SqliteStore {
    SqliteStore::open(folder, |_| false).expect("open")
}

/// The record of a term; the configuration changes with every third.
fn record(term: u64) -> PersistentState {
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

/// What every store must do.
fn contract(store: &mut dyn Store) {
    assert_eq!(store.load().expect("loads"), None, "a new one holds nothing");
    assert!(!store.is_emptied(), "and never did");
    assert_eq!(store.load_instances().expect("loads"), Vec::<u8>::new());
    for instances in [&b"one"[..], b"two"] {
        store.save_instances(instances).expect("saved");
        assert_eq!(store.load_instances().expect("loads"), instances);
    }
    for term in 1..40 {
        store.save(&record(term)).expect("saved");
        assert_eq!(store.load().expect("loads"), Some(record(term)), "the last one whole");
    }
    // A configuration that was there before, after another.
    for term in [4, 39, 4, 39] {
        store.save(&record(term)).expect("saved");
        assert_eq!(store.load().expect("loads"), Some(record(term)));
    }
}

#[test]
fn stores_keep_the_contract() {
    contract(&mut MemoryStore::default());
    let folder = tempfile::tempdir().expect("a folder");
    let inner = folder.path().join("a/b");
    contract(&mut open(&inner));
    let mut again = open(&inner);
    assert_eq!(again.load().expect("loads"), Some(record(39)), "outlives its process");
    assert!(!again.is_emptied());
}

#[test]
fn a_folder_that_cannot_be_made_is_named() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let mut waits = 0;
    let wait = |_: &StorageError| {
        waits += 1;
        waits < 3
    };
    let error = SqliteStore::open(&file.path().join("x"), wait).err().expect("no folder in a file");
    let error = error.to_string();
    assert!(error.contains(&file.path().display().to_string()), "{error}");
    assert_eq!(waits, 3, "it tries again first");
}

/// A vote does not write the configuration again.
#[test]
fn a_vote_writes_no_configuration() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    let log = || fs::metadata(folder.path().join("book.sqlite-wal")).expect("a log").len();
    let record = |term| PersistentState { term, ..record(3) };
    store.save(&record(3)).expect("saved");
    let before = log();
    store.save(&record(4)).expect("saved");
    assert!(log() - before < 3 * 4_200, "{} bytes", log() - before);
    assert_eq!(store.load().expect("loads"), Some(record(4)));
}

/// The log's name is in the folder, and the folder synced, before anything is saved: else what was synced into the log
/// could be lost with its name.
#[test]
fn the_write_ahead_log_is_synced_into_its_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    store.save(&record(1)).expect("saved");
    drop(store); // It removes its log.
    assert!(!folder.path().join("book.sqlite-wal").exists());
    let _store = open(folder.path());
    assert!(folder.path().join("book.sqlite-wal").exists());
}

/// The files as they lie on the disk after the records up to `last` were saved, in the middle of its life.
fn files(last: u64) -> Vec<(&'static str, Vec<u8>)> {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    for term in 1..=last {
        store.save(&record(term)).expect("saved");
    }
    let read = |name| (name, fs::read(folder.path().join(name)).expect("there"));
    vec![read("book.sqlite"), read("book.sqlite-wal")]
}

/// What a start finds where the disk holds just these files. Whatever that is, it opens and saves.
fn found(files: &[(&str, Vec<u8>)]) -> (Option<PersistentState>, bool) {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files {
        fs::write(folder.path().join(name), bytes).expect("written");
    }
    let mut store = open(folder.path());
    let found = (store.load().expect("loads"), store.is_emptied());
    drop(store);
    let mut again = open(folder.path());
    assert_eq!((again.load().expect("loads"), again.is_emptied()), found, "the same at the next start");
    again.save(&record(90)).expect("saved");
    assert!(!again.is_emptied());
    drop(again);
    assert_eq!(open(folder.path()).load().expect("loads"), Some(record(90)));
    found
}

/// One of the records that were saved, whole, or nothing; then whether it counts as emptied.
fn is_older_or_none(found: &Option<PersistentState>, last: u64) -> bool {
    found.as_ref().is_none_or(|r| r.term <= last && *r == record(r.term))
}

/// The log cut at any place, or with a piece of it never written; the database cut, or with a piece of it lost; each
/// file gone by itself.
#[test]
fn power_loss_leaves_an_older_state_or_an_emptied_disk() {
    let last = 14;
    let whole = files(last);
    let [(main, database), (name, log)] = &whole[..] else { panic!("two files") };
    assert_eq!(found(&whole), (Some(record(last)), false));
    let mut seen = std::collections::BTreeSet::new();
    let mut check = |files: &[(&str, Vec<u8>)], what: &str| {
        let (found, is_emptied) = found(files);
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
        check(&[(*main, database.clone()), (*name, log[..cut].to_vec())], "a log cut");
        let mut torn = log.clone();
        let end = (cut + 4_096).min(log.len());
        torn[cut..end].fill(0);
        check(&[(*main, database.clone()), (*name, torn)], "a log with a hole");
    }
    check(&[(*main, database.clone())], "no log");
    for part in 0..20 {
        let cut = database.len() * part / 20;
        check(&[(*main, database[..cut].to_vec()), (*name, log.clone())], "a database cut");
        check(&[(*main, database[..cut].to_vec())], "a database cut, no log");
        let mut torn = database.clone();
        let end = (cut + 4_096).min(database.len());
        torn[cut..end].fill(0x5a);
        check(&[(*main, torn.clone()), (*name, log.clone())], "a database with a hole");
        check(&[(*main, torn)], "a database with a hole, no log");
    }
    assert!(seen.len() > 5, "{seen:?}");
    assert_eq!(
        found(&[]),
        (None, false),
        "nothing at all: a first start, or one emptied, as the settings say"
    );
    assert_eq!(found(&[(*name, log.clone())]), (None, true), "a log without its database");
    assert_eq!(found(&[(*main, Vec::new()), (*name, log.clone())]), (None, true));
    assert_eq!(found(&[(*main, b"no database at all".repeat(500))]), (None, true));
}

/// A database that another process has open is not touched.
#[test]
fn a_database_that_is_open_elsewhere_is_left_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut first = open(folder.path());
    first.save(&record(1)).expect("saved");
    assert!(SqliteStore::open(folder.path(), |_| false).is_err());
    first.save(&record(2)).expect("saved");
    drop(first);
    assert_eq!(open(folder.path()).load().expect("loads"), Some(record(2)));
}

/// Rows that are not of one write: not a record.
#[test]
fn a_mixture_of_two_writes_is_no_state() {
    let folder = tempfile::tempdir().expect("a folder");
    for spoil in [
        "UPDATE book SET held = x'00'",
        "DELETE FROM book",
        "DELETE FROM head",
        "UPDATE head SET held = substr(held, 1, length(held) - 1)",
        "DROP TABLE head; CREATE TABLE head (other INTEGER)",
    ] {
        let mut store = open(folder.path());
        store.save(&record(5)).expect("saved");
        drop(store);
        let raw = rusqlite::Connection::open(folder.path().join("book.sqlite")).expect("open");
        raw.execute_batch(spoil).expect("spoiled");
        drop(raw);
        let mut store = open(folder.path());
        assert_eq!((store.load().expect("loads"), store.is_emptied()), (None, true), "{spoil}");
    }
}

/// What the first landing wrote is read after an update of the programs, and replaced by the first write: a founder votes
/// on under the number 0, one that was emptied and not let in yet doesn't.
#[test]
fn the_first_schema_is_read() {
    #[derive(serde::Serialize)]
    struct Old {
        term: u64,
        vote: Option<std::net::SocketAddr>,
        stamp: LogId,
        state: OldState,
        lost: Option<u64>,
    }
    #[derive(serde::Serialize)]
    struct OldState {
        members: Vec<std::net::SocketAddr>,
        book: Bytes,
    }
    let node = "10.0.0.1:80".parse().expect("one");
    for lost in [None, Some(77)] {
        let folder = tempfile::tempdir().expect("a folder");
        let (stamp, book) = (LogId { term: 4, index: 9 }, Bytes(Arc::new(vec![7; 300])));
        let state = OldState { members: vec![node], book: book.clone() };
        let mut held = Vec::new();
        ciborium::into_writer(&Old { term: 5, vote: Some(node), stamp, state, lost }, &mut held)
            .expect("written");
        let raw = rusqlite::Connection::open(folder.path().join("book.sqlite")).expect("open");
        let table = "CREATE TABLE record (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL)";
        raw.execute_batch(table).expect("a table");
        raw.execute("INSERT INTO record VALUES (1, ?1)", [&held]).expect("a row");
        drop(raw);
        let voters = vec![Member { node, disk: 0 }];
        let state = ReplicatedState { voters, outgoing_voter: None, config: book };
        let wanted =
            PersistentState { disk: lost.unwrap_or(0), term: 5, vote: Some(node), last: stamp, state };
        let mut store = open(folder.path());
        assert_eq!((store.load().expect("loads"), store.is_emptied()), (Some(wanted), false));
        store.save(&record(8)).expect("saved");
        drop(store);
        assert_eq!(
            open(folder.path()).load().expect("loads"),
            Some(record(8)),
            "what was written since goes first"
        );
    }
}

/// A disk that refuses to give what it holds is asked again, and nothing is set aside: it may be the only copy.
#[test]
fn a_failed_write_loses_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open(folder.path());
    store.save(&record(3)).expect("saved");
    drop(store);
    let (file, hidden) = (folder.path().join("book.sqlite"), folder.path().join("hidden"));
    fs::rename(&file, &hidden).expect("hidden");
    fs::create_dir(&file).expect("what can't be opened");
    let mut asked = 0;
    let refused = SqliteStore::open(folder.path(), |error| {
        asked += 1;
        matches!(error, StorageError::Disk { .. }) && asked < 5
    });
    assert!(refused.is_err() && asked == 5);
    fs::remove_dir(&file).expect("still there, and not set aside");
    fs::rename(&hidden, &file).expect("back");
    assert_eq!(open(folder.path()).load().expect("loads"), Some(record(3)));
}
