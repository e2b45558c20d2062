//! What lies on disks and goes to the sink keeps its names: written and read as by the builds before.

use std::fmt::Debug;
use std::fs;

use lynxstair_export::{Batch, Mark, Says, Shelved, Stream, Sum, USE_BYTES, Use};
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
fn messages_to_the_sink_keep_their_names() {
    let stream = Stream { gatekeeper: "g1".to_string(), folder: 7 };
    let sums = vec![Sum { customer: 5, operation: 1, window: 29_000_000, milli: 2_500 }];
    check("batch.json", &Batch { stream: stream.clone(), number: 3, sums, unread: 1 });
    let mark = Mark { stream, known: false, why: "not heard".to_string(), last_known_milli: Some(9) };
    check("mark.json", &mark);
    check("shelved.json", &Shelved { number: 3, checksum: 4, milli: 5 });
    check("taken.json", &Says::Taken { again: true });
    check("refused.json", &Says::Refused { seen: 2 });
    check("gap.json", &Says::Gap { wanted: 2 });
    check("differs.json", &Says::Differs);
}

#[test]
fn records_of_use_keep_their_form() {
    let used = Use { customer: 0xb4d6_5521, operation: 2, window: 29_000_000, milli: 1_500 };
    let bytes: [u8; USE_BYTES] = used.written();
    let path = golden("use.bin");
    let stored = fs::read(&path).expect("golden");
    assert_eq!(&bytes[..], &stored[..]);
    assert_eq!(Use::read(&stored), Some(used));
}
