//! Golden tests: the formats of usage records and of messages to the sink are stable.

use std::fmt::Debug;
use std::fs;

use lynxstair_export::{
    Batch, BatchReply, StreamId, StreamPosition, StreamStatus, USAGE_RECORD_BYTES, UsageRecord, UsageSum,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn golden(name: &str) -> String {
    format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let text = serde_json::to_string(value).expect("encodes");
    let stored = fs::read_to_string(golden(name)).expect("golden");
    assert_eq!(text, stored, "{name}");
    assert_eq!(serde_json::from_str::<T>(&stored).expect("decodes"), *value, "{name}");
}

#[test]
fn format_of_sink_messages_is_stable() {
    let stream = StreamId { gatekeeper: "g1".to_string(), directory_id: 7 };
    let sums = vec![UsageSum { tenant: 5, operation: 1, window: 29_000_000, milli_units: 2_500 }];
    check("batch.json", &Batch { stream: stream.clone(), number: 3, sums, unreadable_records: 1 });
    let status = StreamStatus {
        stream,
        complete: false,
        reason: "not heard".to_string(),
        last_pending_milli_units: Some(9),
    };
    check("mark.json", &status);
    check("shelved.json", &StreamPosition { number: 3, checksum: 4, milli_units: 5 });
    check("taken.json", &BatchReply::Accepted { already_stored: true });
    check("refused.json", &BatchReply::Fenced { highest_epoch: 2 });
    check("gap.json", &BatchReply::Gap { expected: 2 });
    check("differs.json", &BatchReply::Conflict);
}

#[test]
fn format_of_usage_records_is_stable() {
    let record = UsageRecord { tenant: 0xb4d6_5521, operation: 2, window: 29_000_000, milli_units: 1_500 };
    let bytes: [u8; USAGE_RECORD_BYTES] = record.to_bytes();
    let path = golden("use.bin");
    let stored = fs::read(&path).expect("golden");
    assert_eq!(&bytes[..], &stored[..]);
    assert_eq!(UsageRecord::from_bytes(&stored), Some(record));
}
