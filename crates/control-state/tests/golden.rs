//! The serialized form of stored and sent state: golden files of an earlier build are decoded and encoded
//! again. A renamed field must keep its serialized name. `WRITE_GOLDEN=1` writes missing files.

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

fn golden_file(name: &str, written: &[u8]) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.cbor"));
    if !path.exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().expect("a parent directory")).expect("create directory");
        std::fs::write(&path, written).expect("write file");
    }
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn accept(store: &ConfigStore, change: Operation) -> ConfigStore {
    let zones = [("z".into(), "r".into())];
    match store.apply(&Command::new(change), &zones) {
        CommandOutcome::Accepted(store) => *store,
        other => panic!("{other:?}"),
    }
}

/// Three consecutive states.
fn stores() -> [ConfigStore; 3] {
    let first = accept(&ConfigStore::default(), Operation::Put(FIRST.into()));
    let second = accept(&first, Operation::Patch(SECOND.into()));
    let third = accept(&second, Operation::Evacuate("z".into()));
    [first, second, third]
}

#[test]
fn stored_configurations_keep_their_names() {
    for (n, store) in stores().into_iter().enumerate() {
        let name = format!("configuration-{}", n + 1);
        let stored = golden_file(&name, &store.encode());
        assert_eq!(store.encode(), stored, "{name}: the encoding differs from the golden file");
        let read = ConfigStore::decode(&stored).expect("readable");
        assert_eq!(read, store, "{name}");
        // Retries of the commands accepted before are recognized.
        assert!(read.has_applied(&Command::new(Operation::Put(FIRST.into()))), "{name}");
        assert_eq!(read.has_applied(&Command::new(Operation::Patch(SECOND.into()))), n > 0, "{name}");
    }
}

#[test]
fn configuration_updates_keep_their_names() {
    let [first, second, third] = stores();
    let mut log = DeltaLog::default();
    log.record(&first, &second);
    log.record(&second, &third);
    let updates = [
        ("snapshot", log.encode_update(&first, 0), first.revision),
        ("delta", log.encode_update(&third, first.revision), third.revision),
    ];
    let mut replica = ConfigReplica::default();
    for (name, written, revision) in updates {
        let stored = golden_file(&format!("feed-{name}"), &written);
        assert_eq!(written, stored, "{name}: the encoding differs from the golden file");
        assert!(replica.apply_update(Time::default(), revision, &stored), "{name}");
        assert_eq!(replica.delta_base(), revision, "{name}");
    }
    let version = replica.version().expect("a version");
    assert_eq!((version.configuration.generation, version.evacuated.contains("z")), (5, true));
}

fn members(names: &[&str]) -> Members {
    [("z".to_string(), names.iter().map(|name| name.to_string()).collect())].into()
}

/// A state with a proxy membership that has a change in progress.
#[test]
fn a_stored_membership_keeps_its_names() {
    let [first, ..] = stores();
    let store = first.with_membership(ProxyMembership::new(0, members(&["e-2", "e-1"])));
    let changing = store.with_membership(store.membership.changed_to(members(&["e-1", "e-3"])));
    let encoded = golden_file("configuration-membership", &changing.encode());
    assert_eq!(changing.encode(), encoded, "the encoding differs from the golden file");
    assert_eq!(ConfigStore::decode(&encoded).expect("readable"), changing);

    let mut log = DeltaLog::default();
    log.record(&store, &changing);
    let mut replica = ConfigReplica::default();
    assert!(replica.apply_update(Time::default(), store.revision, &log.encode_update(&store, 0)));
    let delta = golden_file("feed-delta-membership", &log.encode_update(&changing, store.revision));
    assert_eq!(
        log.encode_update(&changing, store.revision),
        delta,
        "the encoding differs from the golden file"
    );
    assert!(replica.apply_update(Time::default(), changing.revision, &delta));
    assert_eq!(replica.version().expect("a version").membership, changing.membership);
}
