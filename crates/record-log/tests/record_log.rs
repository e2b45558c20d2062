//! Tests of crashes, corrupted files, failing disks and wrong directories.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;

use lynxstair_record_log::{Error, OpenedLog, RecordLog, Repair, Writer};
use tempfile::TempDir;

/// Creates a directory, in memory if possible, since the tests sync hundreds of files.
fn directory() -> TempDir {
    tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir()).expect("a directory")
}

fn open(directory: &Path) -> Result<OpenedLog, Error> {
    RecordLog::open(directory, "fleet/g1", None)
}

fn write_three_records(directory: &Path) -> Vec<u8> {
    let mut log = open(directory).expect("opens").log;
    for record in ["one", "two", "three"] {
        log.append(record.as_bytes()).expect("written");
    }
    drop(log);
    fs::read(directory.join("ledger")).expect("there")
}

fn records(opened: &OpenedLog) -> Vec<&str> {
    opened.records.iter().map(|r| std::str::from_utf8(r).expect("text")).collect()
}

/// A file truncated after any byte of its records keeps the complete ones; the incomplete one is cut off and
/// appends continue.
#[test]
fn truncated_file_keeps_complete_records() {
    let directory = directory();
    let complete = write_three_records(directory.path());
    let first = complete.len() - (3 * 48 + 3 + 3 + 5);
    for end in first..=complete.len() {
        fs::write(directory.path().join("ledger"), &complete[..end]).expect("written");
        let opened = open(directory.path()).unwrap_or_else(|e| panic!("{end}: {e}"));
        let remaining = records(&opened);
        assert_eq!(remaining, ["one", "two", "three"][..remaining.len()], "{end}");
        let ends = [first, first + 51, first + 102, complete.len()];
        let is_torn = !ends.contains(&end);
        assert_eq!(opened.repairs.len(), usize::from(is_torn), "{end}: {:?}", opened.repairs);
        let mut log = opened.log;
        log.append(b"four").expect("written");
        drop(log);
        let reopened = open(directory.path()).expect("opens");
        assert_eq!(records(&reopened).last(), Some(&"four"), "{end}");
        assert!(reopened.repairs.is_empty(), "{end}");
    }
    // Zeros after the last record, as a loss of power may leave them.
    let mut zeros = complete.clone();
    zeros.extend([0; 100]);
    fs::write(directory.path().join("ledger"), &zeros).expect("written");
    let opened = open(directory.path()).expect("opens");
    assert_eq!(opened.repairs, [Repair::TornEnd { number: 4, bytes: 100 }]);
}

/// A changed byte anywhere in the file is detected, and the file is not modified.
#[test]
fn changed_byte_is_detected() {
    let directory = directory();
    let complete = write_three_records(directory.path());
    for at in 0..complete.len() {
        let mut flipped = complete.clone();
        flipped[at] ^= 0x04;
        fs::write(directory.path().join("ledger"), &flipped).expect("written");
        let opened = open(directory.path()).map(|o| records(&o).len());
        assert!(
            matches!(
                opened,
                Err(Error::Damaged { .. } | Error::UnsupportedVersion { .. } | Error::OtherOwner { .. })
            ),
            "{at}: {opened:?}"
        );
        assert_eq!(
            fs::read(directory.path().join("ledger")).expect("there"),
            flipped,
            "{at}: the file was modified"
        );
    }
}

/// Missing and reordered records are detected.
#[test]
fn missing_and_reordered_records_are_detected() {
    let directory = directory();
    let complete = write_three_records(directory.path());
    let first = complete.len() - (3 * 48 + 3 + 3 + 5);
    let (one, two) = (first..first + 51, first + 51..first + 102);
    let swapped =
        [&complete[..first], &complete[two.clone()], &complete[one.clone()], &complete[two.end..]].concat();
    let missing = [&complete[..first], &complete[two.start..]].concat();
    for bytes in [swapped, missing] {
        fs::write(directory.path().join("ledger"), bytes).expect("written");
        assert!(matches!(open(directory.path()).map(|_| ()), Err(Error::Damaged { .. })));
    }
}

#[test]
fn directory_of_another_owner_or_in_use_is_rejected() {
    let directory = directory();
    write_three_records(directory.path());
    let other = RecordLog::open(directory.path(), "fleet/g2", None).map(|_| ()).expect_err("another owner");
    assert!(other.to_string().contains("those of fleet/g1, not of fleet/g2"), "{other}");
    let in_use = open(directory.path()).expect("opens");
    assert!(matches!(open(directory.path()).map(|_| ()), Err(Error::InUse(_))));
    drop(in_use);
    open(directory.path()).expect("free again");
}

/// A full disk is reported as such, earlier records are kept, and appends continue once there is room.
#[test]
fn full_disk_keeps_earlier_records() {
    let directory = directory();
    let full = Arc::new(AtomicBool::new(false));
    let is_full = full.clone();
    let failing = move || match is_full.load(Ordering::SeqCst) {
        true => Err(io::ErrorKind::StorageFull.into()),
        false => Ok(()),
    };
    let mut log = RecordLog::open(directory.path(), "o", Some(Arc::new(failing))).expect("opens").log;
    log.append(b"one").expect("written");
    full.store(true, Ordering::SeqCst);
    assert!(log.append(b"two").expect_err("full").is_disk_full());
    assert!(log.rewrite(&[]).expect_err("full").is_disk_full());
    full.store(false, Ordering::SeqCst);
    log.append(b"three").expect("written");
    drop(log);
    let opened = RecordLog::open(directory.path(), "o", None).expect("opens");
    assert_eq!(records(&opened), ["one", "three"]);
}

/// A rewrite keeps the given records and continues the hash chain; an interrupted rewrite loses nothing.
#[test]
fn interrupted_rewrite_loses_nothing() {
    let directory = directory();
    write_three_records(directory.path());
    let mut log = open(directory.path()).expect("opens").log;
    let before = log.chain_hash();
    log.rewrite(&[b"kept".to_vec()]).expect("written");
    assert_ne!(log.chain_hash(), before);
    log.append(b"more").expect("written");
    drop(log);
    fs::write(directory.path().join("ledger.next"), b"half of it").expect("written");
    let opened = open(directory.path()).expect("opens");
    assert_eq!(
        (records(&opened), opened.repairs.as_slice()),
        (vec!["kept", "more"], &[Repair::Leftover][..])
    );
}

#[test]
fn writer_reports_each_record_and_limits_the_file_length() {
    let directory = directory();
    let log = open(directory.path()).expect("opens").log;
    let (sender, results) = channel();
    let written = Box::new(move |ticket: u32, result: Result<(), Error>| {
        sender.send((ticket, result.is_ok())).expect("received");
    });
    let writer = Writer::start(log, written, Box::new(|| vec![b"kept".to_vec()])).expect("a thread");
    for ticket in 0..40 {
        while !writer.append(ticket, vec![7; 100_000]) {
            std::thread::yield_now();
        }
    }
    writer.finish();
    assert_eq!(results.iter().collect::<Vec<_>>(), (0..40).map(|t| (t, true)).collect::<Vec<_>>());
    assert!(fs::metadata(directory.path().join("ledger")).expect("there").len() < 1_300_000);
    assert_eq!(open(directory.path()).expect("opens").records[0], b"kept");
}
