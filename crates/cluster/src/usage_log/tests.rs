use std::io::ErrorKind;

use lynxstair::types::Span;

use super::*;

const NOW: Span = Span::from_millis(60_000);
const TENANT: u64 = 5;

fn now() -> Time {
    Time::from_nanos(0) + NOW
}

/// Opens a log without its thread; the test calls `maintain`.
fn open(directory: &Path, write_fault: Option<WriteFault>) -> UsageLog {
    UsageLog::open(directory, "g1", 7, write_fault).expect("opens")
}

fn batch_numbers(log: &UsageLog) -> Vec<u64> {
    lock(&log.sealed).batches.keys().copied().collect()
}

#[test]
fn sealed_records_survive_a_restart_and_numbers_are_not_reused() {
    let directory = tempfile::tempdir().expect("a directory");
    let log = open(directory.path(), None);
    log.record(now(), TENANT, 1, 1.5);
    log.record(now(), TENANT, 1, 0.5);
    log.maintain();
    log.record(now(), TENANT, 2, 1.0);
    drop(log);

    let log = open(directory.path(), None);
    assert_eq!(log.pending_milli_units(), 3_000);
    log.maintain();
    assert_eq!(batch_numbers(&log), [1, 2]);
    let first = log.next_batch(0).expect("sealed");
    assert_eq!((first.number, first.milli_units(), first.stream.directory_id), (1, 2_000, 7));
    log.record(now(), TENANT, 1, 1.0);
    log.maintain();
    assert_eq!(batch_numbers(&log), [1, 2, 3]);
}

#[test]
fn exported_batches_are_deleted() {
    let directory = tempfile::tempdir().expect("a directory");
    let log = open(directory.path(), None);
    for _ in 0..3 {
        log.record(now(), TENANT, 1, 1.0);
        log.maintain();
    }
    assert_eq!(log.next_batch(2).map(|batch| batch.number), Some(3));
    log.maintain();
    assert_eq!((batch_numbers(&log), log.pending_milli_units()), (vec![3], 1_000));
    assert!(!segment_path(directory.path(), 2).exists());
    assert!(segment_path(directory.path(), 3).exists());
}

#[test]
fn records_are_kept_in_memory_while_the_disk_fails() {
    let directory = tempfile::tempdir().expect("a directory");
    let is_full = Arc::new(AtomicBool::new(true));
    let fault_is_full = is_full.clone();
    let fault: WriteFault = Arc::new(move || match fault_is_full.load(Ordering::Relaxed) {
        true => Err(ErrorKind::StorageFull.into()),
        false => Ok(()),
    });
    let log = open(directory.path(), Some(fault));
    log.record(now(), TENANT, 1, 1.0);
    log.maintain();
    log.record(now(), TENANT, 1, 2.0);
    assert_eq!((batch_numbers(&log), log.pending_milli_units()), (vec![], 3_000));
    is_full.store(false, Ordering::Relaxed);
    log.maintain();
    let batch = log.next_batch(0).expect("sealed");
    assert_eq!((batch.milli_units(), batch.unreadable_records), (3_000, 0));
    assert_eq!(log.counts(), UsageCounts { total: 2, unrecorded: 0 });
}

#[test]
fn a_damaged_directory_id_is_an_error() {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join(DIRECTORY_ID_FILE), "not a number").expect("writes");
    let error = UsageLog::start(directory.path(), "g1", 7, None).err().expect("damaged");
    assert!(error.to_string().ends_with("file `folder` is damaged"), "{error}");
}
