//! The names and forms of stored state: files that the build of 2026-12-02 wrote, read and written again. A field that is
//! renamed keeps its stored name. `WRITE_GOLDEN=1` writes files that are missing.

use std::path::PathBuf;

use lynxstair::types::Time;
use lynxstair_control_state::config_feed::{Mirror, Steps};
use lynxstair_control_state::config_store::{Book, Change, Order, Ruling};

const FIRST: &str = r#"{"generation":"00000003","base-version":"00000000","note":"first",
    "routes":{"columns":["name","host","path-prefix","route-kind","service"],
        "rows":[["r","h","/","safe","s"],["p","h","/p/","unsafe","s"]]},
    "services":{"columns":["name","cold-s"],"rows":[["s",2.5]]},
    "tenants":{"columns":["name","rate-per-s","api-keys"],"rows":[["t",5,["k"]]]}}"#;
const SECOND: &str = r#"{"generation":"00000005","base-version":"00000003",
    "upsert":{"tenants":{"columns":["name","rate-per-s"],"rows":[["u",9]]}},"remove":{"routes":["p"]}}"#;

fn stored(name: &str, written: &[u8]) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.cbor"));
    if !path.exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("made");
        std::fs::write(&path, written).expect("written");
    }
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn take(book: &Book, change: Change) -> Book {
    let zones = [("z".into(), "r".into())];
    match book.rule(&Order::new(change), &zones) {
        Ruling::Take(book) => *book,
        other => panic!("{other:?}"),
    }
}

/// Three states, one after the other.
fn books() -> [Book; 3] {
    let first = take(&Book::default(), Change::Put(FIRST.into()));
    let second = take(&first, Change::Patch(SECOND.into()));
    let third = take(&second, Change::Evacuate("z".into()));
    [first, second, third]
}

#[test]
fn stored_configurations_keep_their_names() {
    for (n, book) in books().into_iter().enumerate() {
        let name = format!("configuration-{}", n + 1);
        let stored = stored(&name, &book.written());
        assert_eq!(book.written(), stored, "{name}: written otherwise than it is stored");
        let read = Book::read(&stored).expect("readable");
        assert_eq!(read, book, "{name}");
        // What was accepted then is known when it is sent again.
        assert!(read.has_taken(&Order::new(Change::Put(FIRST.into()))), "{name}");
        assert_eq!(read.has_taken(&Order::new(Change::Patch(SECOND.into()))), n > 0, "{name}");
    }
}

#[test]
fn configurations_on_their_way_keep_their_names() {
    let [first, second, third] = books();
    let mut steps = Steps::default();
    steps.note(&first, &second);
    steps.note(&second, &third);
    let pages = [
        ("snapshot", steps.page(&first, 0), first.number),
        ("delta", steps.page(&third, first.number), third.number),
    ];
    let mut mirror = Mirror::default();
    for (name, written, number) in pages {
        let stored = stored(&format!("feed-{name}"), &written);
        assert_eq!(written, stored, "{name}: written otherwise than it is stored");
        assert!(mirror.take(Time::default(), number, &stored), "{name}");
        assert_eq!(mirror.have(), number, "{name}");
    }
    let version = mirror.version().expect("one is in force");
    assert_eq!((version.configuration.generation, version.evacuated.contains("z")), (5, true));
}
