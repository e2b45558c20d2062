//! The file as it lies on disks: read and written by this build as by the builds before.

use std::fs;

use lynxstair_record_log::RecordLog;

const RECORDS: [&str; 2] = [r#"{"record":"began","incarnation":3}"#, "two"];

#[test]
fn files_keep_their_form() {
    let golden = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/ledger");
    let folder = tempfile::tempdir().expect("a folder");
    let mut log = RecordLog::open(folder.path(), "fleet/g1", None).expect("opens").log;
    for record in RECORDS {
        log.append(record.as_bytes()).expect("written");
    }
    drop(log);
    let written = fs::read(folder.path().join("ledger")).expect("there");
    assert_eq!(written, fs::read(golden).expect("golden"));
    // And a file of a build before is read.
    fs::write(folder.path().join("ledger"), fs::read(golden).expect("golden")).expect("put");
    let opened = RecordLog::open(folder.path(), "fleet/g1", None).expect("opens");
    assert_eq!(opened.records, RECORDS.map(|record| record.as_bytes().to_vec()));
    assert!(opened.repairs.is_empty());
}
