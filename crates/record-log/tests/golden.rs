//! Golden test: the file format is stable.

use std::fs;

use lynxstair_record_log::RecordLog;

const RECORDS: [&str; 2] = [r#"{"record":"began","incarnation":3}"#, "two"];

#[test]
fn file_format_is_stable() {
    let golden = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/ledger");
    let directory = tempfile::tempdir().expect("a directory");
    let mut log = RecordLog::open(directory.path(), "fleet/g1", None).expect("opens").log;
    for record in RECORDS {
        log.append(record.as_bytes()).expect("written");
    }
    drop(log);
    let written = fs::read(directory.path().join("ledger")).expect("there");
    assert_eq!(written, fs::read(golden).expect("golden"));
    // A file written by an earlier build can be read.
    fs::write(directory.path().join("ledger"), fs::read(golden).expect("golden")).expect("put");
    let opened = RecordLog::open(directory.path(), "fleet/g1", None).expect("opens");
    assert_eq!(opened.records, RECORDS.map(|record| record.as_bytes().to_vec()));
    assert!(opened.repairs.is_empty());
}
