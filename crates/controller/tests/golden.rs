//! What lies on a controller's disk: a database that the build of 2026-12-02 wrote is read, and written again with the
//! same tables, columns and names. `WRITE_GOLDEN=1` writes the file where it is missing.

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

fn record() -> PersistentState {
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
    let life = |(n, standing)| Instance {
        id: format!("i-{n}"),
        service: "s".into(),
        address: ([10, 0, 1, n], 80).into(),
        zone: "z".into(),
        capacity: 6,
        state: standing,
        warming_up_ms: 1500,
        call_seq: 12,
        heartbeat_age_ms: 250,
        is_unconfirmed: false,
    };
    (1u8..).zip(all).map(life).collect()
}

fn write(folder: &Path) {
    let mut store = SqliteStore::open(folder, |_| false).expect("open");
    let mut held = Vec::new();
    ciborium::into_writer(&instances(), &mut held).expect("written");
    store.save(&record()).expect("saved");
    store.save_instances(&held).expect("saved");
}

/// Every table with its columns, and what stands in them.
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
fn a_disk_of_the_build_before_is_read_and_written_with_the_same_names() {
    if !golden().exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        let folder = tempfile::tempdir().expect("a folder");
        write(folder.path());
        // All of it in the one file.
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
    assert_eq!(content(old.path()), content(new.path()), "written otherwise than it is stored");
    let mut store = SqliteStore::open(old.path(), |_| false).expect("open");
    assert_eq!(store.load().expect("loads"), Some(record()));
    let held = store.load_instances().expect("held");
    let read: Vec<Instance> = ciborium::from_reader(&held[..]).expect("readable");
    assert_eq!(read, instances());
}
