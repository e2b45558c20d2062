//! The stored format of a controller stays compatible: a database written by an earlier build is read, and
//! the current build writes the same tables, columns and content. `WRITE_GOLDEN=1` writes the file if it is
//! missing.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use lynxstair_consensus::PersistentState;
use lynxstair_controller::storage::{SqliteStore, Store};
use lynxstair_protocol::consensus::{LogId, Member, ReplicatedState};
use lynxstair_protocol::messages::{Bytes, Instance, InstanceState};
use rusqlite::Connection;

fn golden() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/book.sqlite")
}

fn state() -> PersistentState {
    let member = |n: u8, disk| Member { node: ([10, 0, 0, n], 8383).into(), disk };
    PersistentState {
        term: 6,
        vote: Some(member(2, 0).node),
        last: LogId { term: 5, index: 17 },
        state: ReplicatedState {
            voters: vec![member(1, 0), member(2, 0xfeed), member(3, 0)],
            outgoing_voter: Some(member(3, 0)),
            config: Bytes(Arc::new(b"a configuration's bytes".to_vec())),
        },
        disk: 0xd15c,
    }
}

fn instances() -> Vec<Instance> {
    let all = [
        InstanceState::Ready,
        InstanceState::Draining,
        InstanceState::Unresponsive,
        InstanceState::Deregistered,
    ];
    let instance = |(n, instance_state)| Instance {
        id: format!("i-{n}"),
        service: "s".into(),
        address: ([10, 0, 1, n], 80).into(),
        zone: "z".into(),
        capacity: 6,
        state: instance_state,
        warming_up_ms: 1500,
        call_seq: 12,
        heartbeat_age_ms: 250,
        is_unconfirmed: false,
    };
    (1u8..).zip(all).map(instance).collect()
}

fn write(folder: &Path) {
    let mut store = SqliteStore::open(folder, |_| false).expect("open");
    let mut encoded = Vec::new();
    ciborium::into_writer(&instances(), &mut encoded).expect("written");
    store.save(&state()).expect("saved");
    store.save_instances(&encoded).expect("saved");
}

/// Reads the columns of the single row of each table.
fn content(folder: &Path) -> Vec<(String, Vec<Vec<u8>>)> {
    let connection = Connection::open(folder.join("book.sqlite")).expect("open");
    let columns = [("head", ["held", "book", "digest"]), ("book", ["held"; 3]), ("lives", ["held"; 3])];
    let read = |(table, columns): (&str, [&str; 3])| {
        let query = format!("SELECT {} FROM {table} WHERE one = 1", columns.join(", "));
        let row = |r: &rusqlite::Row| (0..3).map(|n| r.get::<_, Vec<u8>>(n)).collect();
        (table.to_string(), connection.query_row(&query, [], row).expect("a row"))
    };
    columns.into_iter().map(read).collect()
}

#[test]
fn an_earlier_database_is_read_and_written_identically() {
    if !golden().exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        let folder = tempfile::tempdir().expect("a folder");
        write(folder.path());
        // Moves the content of the log to the database file.
        let connection = Connection::open(folder.path().join("book.sqlite")).expect("open");
        connection
            .execute_batch("PRAGMA wal_checkpoint(TRUNCATE); PRAGMA journal_mode=DELETE;")
            .expect("one file");
        drop(connection);
        fs::create_dir_all(golden().parent().expect("a folder")).expect("made");
        fs::copy(folder.path().join("book.sqlite"), golden()).expect("copied");
    }
    let [old, new] = [(); 2].map(|()| tempfile::tempdir().expect("a folder"));
    fs::copy(golden(), old.path().join("book.sqlite")).expect("copied");
    write(new.path());
    assert_eq!(content(old.path()), content(new.path()), "the stored format has changed");
    let mut store = SqliteStore::open(old.path(), |_| false).expect("open");
    assert_eq!(store.load().expect("loads"), Some(state()));
    let encoded = store.load_instances().expect("loads");
    let read: Vec<Instance> = ciborium::from_reader(&encoded[..]).expect("readable");
    assert_eq!(read, instances());
}
