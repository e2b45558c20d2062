//! What a kill, a bad disk and a wrong folder leave, and what is made of it.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;

use lynxstair_record_log::{Error, OpenedLog, RecordLog, Repair, Writer};
use tempfile::TempDir;

/// In memory where there is such a place: hundreds of files are opened, and a disk takes 50 ms to say that it
/// wrote.
fn folder() -> TempDir {
    tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir()).expect("a folder")
}

fn open(folder: &Path) -> Result<OpenedLog, Error> {
    RecordLog::open(folder, "fleet/g1", None)
}

fn three(folder: &Path) -> Vec<u8> {
    let mut ledger = open(folder).expect("opens").log;
    for recorded in ["one", "two", "three"] {
        ledger.append(recorded.as_bytes()).expect("written");
    }
    drop(ledger);
    fs::read(folder.join("ledger")).expect("there")
}

fn records(opened: &OpenedLog) -> Vec<&str> {
    opened.records.iter().map(|r| std::str::from_utf8(r).expect("text")).collect()
}

/// Ended at any byte: all records that were whole are there, the torn one is cut off, and writing goes on.
#[test]
fn ended_at_any_point() {
    let dir = folder();
    let whole = three(dir.path());
    let first = whole.len() - (3 * 48 + 3 + 3 + 5);
    for end in first..=whole.len() {
        fs::write(dir.path().join("ledger"), &whole[..end]).expect("written");
        let opened = open(dir.path()).unwrap_or_else(|e| panic!("{end}: {e}"));
        let left = records(&opened);
        assert_eq!(left, ["one", "two", "three"][..left.len()], "{end}");
        let ends = [first, first + 51, first + 102, whole.len()];
        let torn = !ends.contains(&end);
        assert_eq!(opened.repairs.len(), usize::from(torn), "{end}: {:?}", opened.repairs);
        let mut ledger = opened.log;
        ledger.append(b"four").expect("written");
        drop(ledger);
        let again = open(dir.path()).expect("opens");
        assert_eq!(records(&again).last(), Some(&"four"), "{end}");
        assert!(again.repairs.is_empty(), "{end}");
    }
    // Zeros in the place of the end, as a power cut may leave them.
    let mut zeros = whole.clone();
    zeros.extend([0; 100]);
    fs::write(dir.path().join("ledger"), &zeros).expect("written");
    let opened = open(dir.path()).expect("opens");
    assert_eq!(opened.repairs, [Repair::TornEnd { number: 4, bytes: 100 }]);
}

/// Each byte that changed is found, wherever it is, and nothing is cut off for it.
#[test]
fn a_changed_byte() {
    let dir = folder();
    let whole = three(dir.path());
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x04;
        fs::write(dir.path().join("ledger"), &flipped).expect("written");
        let opened = open(dir.path()).map(|o| records(&o).len());
        assert!(
            matches!(
                opened,
                Err(Error::Damaged { .. } | Error::UnsupportedVersion { .. } | Error::OtherOwner { .. })
            ),
            "{at}: {opened:?}"
        );
        assert_eq!(fs::read(dir.path().join("ledger")).expect("there"), flipped, "{at}: left as it was");
    }
}

/// Records taken out or in another order break the chain.
#[test]
fn records_moved() {
    let dir = folder();
    let whole = three(dir.path());
    let first = whole.len() - (3 * 48 + 3 + 3 + 5);
    let (one, two) = (first..first + 51, first + 51..first + 102);
    let swapped = [&whole[..first], &whole[two.clone()], &whole[one.clone()], &whole[two.end..]].concat();
    let missing = [&whole[..first], &whole[two.start..]].concat();
    for bytes in [swapped, missing] {
        fs::write(dir.path().join("ledger"), bytes).expect("written");
        assert!(matches!(open(dir.path()).map(|_| ()), Err(Error::Damaged { .. })));
    }
}

#[test]
fn anothers_folder_and_a_folder_in_use() {
    let dir = folder();
    three(dir.path());
    let other = RecordLog::open(dir.path(), "fleet/g2", None).map(|_| ()).expect_err("another's");
    assert!(other.to_string().contains("those of fleet/g1, not of fleet/g2"), "{other}");
    let held = open(dir.path()).expect("opens");
    assert!(matches!(open(dir.path()).map(|_| ()), Err(Error::InUse(_))));
    drop(held);
    open(dir.path()).expect("free again");
}

/// A full disk is told as that; what was there stays, and writing goes on once there is room.
#[test]
fn a_full_disk() {
    let dir = folder();
    let full = Arc::new(AtomicBool::new(false));
    let asked = full.clone();
    let failing = move || match asked.load(Ordering::SeqCst) {
        true => Err(io::ErrorKind::StorageFull.into()),
        false => Ok(()),
    };
    let mut ledger = RecordLog::open(dir.path(), "o", Some(Arc::new(failing))).expect("opens").log;
    ledger.append(b"one").expect("written");
    full.store(true, Ordering::SeqCst);
    assert!(ledger.append(b"two").expect_err("full").is_disk_full());
    assert!(ledger.rewrite(&[]).expect_err("full").is_disk_full());
    full.store(false, Ordering::SeqCst);
    ledger.append(b"three").expect("written");
    drop(ledger);
    let opened = RecordLog::open(dir.path(), "o", None).expect("opens");
    assert_eq!(records(&opened), ["one", "three"]);
}

/// Written anew: only what is kept, the chain goes on, and a process ended in between loses nothing.
#[test]
fn written_anew() {
    let dir = folder();
    three(dir.path());
    let mut ledger = open(dir.path()).expect("opens").log;
    let before = ledger.chain_hash();
    ledger.rewrite(&[b"kept".to_vec()]).expect("written");
    assert_ne!(ledger.chain_hash(), before);
    ledger.append(b"more").expect("written");
    drop(ledger);
    fs::write(dir.path().join("ledger.next"), b"half of it").expect("written");
    let opened = open(dir.path()).expect("opens");
    assert_eq!(
        (records(&opened), opened.repairs.as_slice()),
        (vec!["kept", "more"], &[Repair::Leftover][..])
    );
}

#[test]
fn the_writer_tells_of_each_and_keeps_the_file_short() {
    let dir = folder();
    let ledger = open(dir.path()).expect("opens").log;
    let (said, heard) = channel();
    let written = Box::new(move |ticket: u32, what: Result<(), Error>| {
        said.send((ticket, what.is_ok())).expect("heard");
    });
    let writer = Writer::start(ledger, written, Box::new(|| vec![b"kept".to_vec()])).expect("a thread");
    for ticket in 0..40 {
        while !writer.append(ticket, vec![7; 100_000]) {
            std::thread::yield_now();
        }
    }
    writer.finish();
    assert_eq!(heard.iter().collect::<Vec<_>>(), (0..40).map(|t| (t, true)).collect::<Vec<_>>());
    assert!(fs::metadata(dir.path().join("ledger")).expect("there").len() < 1_300_000);
    assert_eq!(open(dir.path()).expect("opens").records[0], b"kept");
}
