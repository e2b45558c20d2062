//! The names and forms of stored state: files that the build of 2026-12-02 wrote, read and written again. A
//! field that is renamed keeps its stored name. `WRITE_GOLDEN=1` writes files that are missing.

use std::path::PathBuf;

use lynxstair::types::Time;
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_replica::ConfigReplica;
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::proxy_membership::{Members, ProxyMembership};

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

fn take(store: &ConfigStore, change: Operation) -> ConfigStore {
    let zones = [("z".into(), "r".into())];
    match store.apply(&Command::new(change), &zones) {
        CommandOutcome::Accepted(store) => *store,
        other => panic!("{other:?}"),
    }
}

/// Three states, one after the other.
fn stores() -> [ConfigStore; 3] {
    let first = take(&ConfigStore::default(), Operation::Put(FIRST.into()));
    let second = take(&first, Operation::Patch(SECOND.into()));
    let third = take(&second, Operation::Evacuate("z".into()));
    [first, second, third]
}

#[test]
fn stored_configurations_keep_their_names() {
    for (n, store) in stores().into_iter().enumerate() {
        let name = format!("configuration-{}", n + 1);
        let stored = stored(&name, &store.encode());
        assert_eq!(store.encode(), stored, "{name}: written otherwise than it is stored");
        let read = ConfigStore::decode(&stored).expect("readable");
        assert_eq!(read, store, "{name}");
        // What was accepted then is known when it is sent again.
        assert!(read.has_applied(&Command::new(Operation::Put(FIRST.into()))), "{name}");
        assert_eq!(read.has_applied(&Command::new(Operation::Patch(SECOND.into()))), n > 0, "{name}");
    }
}

#[test]
fn configuration_updates_keep_their_names() {
    let [first, second, third] = stores();
    let mut steps = DeltaLog::default();
    steps.record(&first, &second);
    steps.record(&second, &third);
    let pages = [
        ("snapshot", steps.encode_update(&first, 0), first.revision),
        ("delta", steps.encode_update(&third, first.revision), third.revision),
    ];
    let mut replica = ConfigReplica::default();
    for (name, written, number) in pages {
        let stored = stored(&format!("feed-{name}"), &written);
        assert_eq!(written, stored, "{name}: written otherwise than it is stored");
        assert!(replica.apply_update(Time::default(), number, &stored), "{name}");
        assert_eq!(replica.delta_base(), number, "{name}");
    }
    let version = replica.version().expect("one is in force");
    assert_eq!((version.configuration.generation, version.evacuated.contains("z")), (5, true));
}

fn members(names: &[&str]) -> Members {
    [("z".to_string(), names.iter().map(|name| name.to_string()).collect())].into()
}

/// With proxies that hold permits, and a change of them under way.
#[test]
fn a_stored_membership_keeps_its_names() {
    let [first, ..] = stores();
    let store = first.with_membership(ProxyMembership::new(0, members(&["e-2", "e-1"])));
    let changing = store.with_membership(store.membership.changed_to(members(&["e-1", "e-3"])));
    let encoded = stored("configuration-membership", &changing.encode());
    assert_eq!(changing.encode(), encoded, "written otherwise than it is stored");
    assert_eq!(ConfigStore::decode(&encoded).expect("readable"), changing);

    let mut steps = DeltaLog::default();
    steps.record(&store, &changing);
    let mut replica = ConfigReplica::default();
    assert!(replica.apply_update(Time::default(), store.revision, &steps.encode_update(&store, 0)));
    let delta = stored("feed-delta-membership", &steps.encode_update(&changing, store.revision));
    assert_eq!(steps.encode_update(&changing, store.revision), delta, "written otherwise than it is stored");
    assert!(replica.apply_update(Time::default(), changing.revision, &delta));
    assert_eq!(replica.version().expect("one is in force").membership, changing.membership);
}
