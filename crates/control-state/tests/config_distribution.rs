//! How the configuration comes to a proxy: never an older one, one at a time, whole or as what changed, and
//! the same in either way.

use lynxstair::types::Time;
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_replica::ConfigReplica;
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::subscription::Subscription;

const ROUTE: &str = r#"["name","host","path-prefix","route-kind","service"]"#;

fn at(ms: u64) -> Time {
    Time::from_nanos(1_000_000_000 + ms * 1_000_000)
}

fn changed(store: &ConfigStore, change: &Operation) -> ConfigStore {
    let zones = ["y", "z"].map(|z| (z.to_string(), "r".to_string()));
    match store.apply(&Command::new(change.clone()), &zones) {
        CommandOutcome::Accepted(store) => *store,
        CommandOutcome::AlreadyApplied => store.clone(),
        other => panic!("{change:?}: {other:?}"),
    }
}

fn put(generation: u64, base: u64, routes: &str) -> Operation {
    Operation::Put(
        format!(
            r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",
            "routes":{{"columns":{ROUTE},"rows":[{routes}]}},
            "services":{{"columns":["name"],"rows":[["s"]]}}}}"#
        )
        .into_bytes(),
    )
}

/// The next change: some rows by names, a column more, what stands beside the lists, a new whole, a zone.
fn any(
    u: &mut arbtest::arbitrary::Unstructured,
    store: &ConfigStore,
) -> arbtest::arbitrary::Result<Operation> {
    let (base, generation) = (store.generation, store.generation + u.int_in_range(1..=3)?);
    let zone = u.choose(&["y", "z"])?.to_string();
    let row = |n: u8, more: &str| format!(r#"["r{n}","h{n}","/","safe","s"{more}]"#);
    let n = u.int_in_range(0..=12u8)?;
    let upsert = match u.int_in_range(0..=6)? {
        0 => return Ok(Operation::Evacuate(zone)),
        1 => return Ok(Operation::Restore(zone)),
        2 => return Ok(put(generation, base, &format!("{},{}", row(n, ""), row(n + 1, "")))),
        3 => format!(r#""upsert":{{"limits":{{"idle-timeout-s":{n}}}}}"#),
        4 => format!(r#""remove":{{"routes":["r{n}"]}}"#),
        5 => format!(
            r#""upsert":{{"routes":{{"columns":["priority",{}"#,
            &ROUTE[1..].replace(']', &format!("],\"rows\":[{}]}}}}", row(n, "").replacen('[', "[2,", 1)))
        ),
        _ => format!(
            r#""upsert":{{"routes":{{"columns":{ROUTE},"rows":[{},["r{}","h","/{n}/","unsafe","s"]]}}}}"#,
            row(n, ""),
            n + 20
        ),
    };
    Ok(Operation::Patch(
        format!(r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",{upsert}}}"#).into_bytes(),
    ))
}

/// Whatever changes there were, whichever a controller or a proxy missed and whichever updates were lost:
/// what a proxy holds by a number is the configuration of that number, and one more update at most after a
/// whole one brings it up.
#[test]
fn deltas_lead_to_the_same_state_as_snapshots() {
    arbtest::arbtest(|u| {
        let (mut store, mut log) = (changed(&ConfigStore::default(), &put(1, 0, "")), DeltaLog::default());
        let (mut controller, mut replica) = (ConfigStore::default(), ConfigReplica::default());
        let (mut deltas, mut wholes) = (0, 0);
        for ms in 0..u.int_in_range(1..=30)? {
            store = changed(&store, &any(u, &store)?);
            if u.ratio(1, 5)? {
                continue; // This controller is told of the next one only.
            }
            let newer = controller.decode_next(&store.encode()).expect("read");
            assert_eq!(newer, store);
            if newer.revision > controller.revision {
                log.record(&controller, &newer);
                controller = newer;
            }
            if u.ratio(1, 3)? {
                continue; // Lost, or still on its way.
            }
            let before = replica.revision();
            let update = log.encode_update(&controller, replica.delta_base());
            if replica.apply_update(at(ms), controller.revision, &update) {
                let (version, wanted) =
                    (replica.version().expect("one"), controller.configuration().expect("one"));
                assert_eq!(
                    (version.revision, &version.evacuated),
                    (controller.revision, &controller.evacuated)
                );
                assert_eq!(version.configuration, *wanted);
                let whole = DeltaLog::default().encode_update(&controller, 0);
                if update.len() < whole.len() { deltas += 1 } else { wholes += 1 }
            } else {
                assert_eq!(
                    (before, replica.delta_base()),
                    (controller.revision, controller.revision),
                    "it fitted not"
                );
            }
        }
        let _ = (deltas, wholes);
        Ok(())
    })
    .budget_ms(2_000);
}

/// What changed is small, however large the configuration is.
#[test]
fn a_delta_is_small() {
    let rows: Vec<String> = (0..500).map(|n| format!(r#"["r{n}","h{n}","/","safe","s"]"#)).collect();
    let first = changed(&ConfigStore::default(), &put(1, 0, &rows.join(",")));
    let (mut replica, mut log) = (ConfigReplica::default(), DeltaLog::default());
    let whole = log.encode_update(&first, replica.delta_base());
    assert!(replica.apply_update(at(0), first.revision, &whole));
    let patch = format!(
        r#"{{"generation":"2","base-version":"1","upsert":{{"routes":{{"columns":{ROUTE},"rows":[["r7","h7","/x/","safe","s"]]}}}}}}"#
    );
    let second = changed(&first, &Operation::Patch(patch.into_bytes()));
    log.record(&first, &second);
    let update = log.encode_update(&second, replica.delta_base());
    assert!(update.len() < 300 && whole.len() > 10_000, "{} of {}", update.len(), whole.len());
    assert!(replica.apply_update(at(1), second.revision, &update));
    assert!(replica.version().is_some_and(|v| v.configuration.route("h7", "/x/").is_some()));
    // So is the first one where a controller began after it: it has no step to it.
    assert_eq!(
        DeltaLog::default().encode_update(&second, first.revision).len(),
        log.encode_update(&second, 0).len()
    );
}

/// A proxy goes back never, and takes no update that does not fit: it asks for the whole.
#[test]
fn a_replica_never_goes_back() {
    let stores: Vec<ConfigStore> = (1..=4)
        .scan(ConfigStore::default(), |store, generation| {
            *store = changed(
                store,
                &put(generation, generation - 1, &format!(r#"["r","h{generation}","/","safe","s"]"#)),
            );
            Some(store.clone())
        })
        .collect();
    let whole = |n: usize| DeltaLog::default().encode_update(&stores[n], 0);
    let mut log = DeltaLog::default();
    (1..4).for_each(|n| log.record(&stores[n - 1], &stores[n]));
    let mut replica = ConfigReplica::default();
    assert!(replica.apply_update(at(0), 2, &whole(1)));
    assert!(!replica.apply_update(at(1), 2, &whole(1)) && !replica.apply_update(at(1), 1, &whole(0)));
    assert!(!replica.apply_update(at(2), 4, &log.encode_update(&stores[3], 3)), "it builds on another");
    assert_eq!((replica.revision(), replica.delta_base()), (2, 2));
    assert!(!replica.apply_update(at(3), 3, b"no store"));
    assert_eq!((replica.revision(), replica.delta_base()), (2, 0), "what is in force stays so");
    assert!(!replica.apply_update(at(4), 1, &whole(0)));
    assert!(!replica.apply_update(at(4), 2, &whole(1)), "no newer one");
    assert_eq!(replica.delta_base(), 2, "but whole again");
    // A row that is not as the controller's: what comes of the change is not the configuration.
    let mut one = DeltaLog::default();
    one.record(&stores[1], &stores[2]);
    let mut update = one.encode_update(&stores[2], 2);
    let place = update.windows(4).position(|w| w == b"\"h3\"").expect("a row") + 1;
    update[place + 1] = b'9';
    assert!(!replica.apply_update(at(5), 3, &update));
    assert_eq!((replica.revision(), replica.delta_base()), (2, 0));
    assert!(replica.apply_update(at(6), 4, &whole(3)));
    assert_eq!((replica.revision(), replica.delta_base()), (4, 4));
}

/// A zone that is taken back is known by when that was, by a delta too.
#[test]
fn restored_zones_are_known() {
    let first = changed(&changed(&ConfigStore::default(), &put(1, 0, "")), &Operation::Evacuate("z".into()));
    let second = changed(&first, &Operation::Restore("z".into()));
    let (mut replica, mut log) = (ConfigReplica::default(), DeltaLog::default());
    assert!(replica.apply_update(at(0), first.revision, &log.encode_update(&first, 0)));
    assert!(replica.version().is_some_and(|v| v.evacuated.contains("z")));
    log.record(&first, &second);
    assert!(replica.apply_update(at(7), second.revision, &log.encode_update(&second, first.revision)));
    assert_eq!((replica.restored_at("z"), replica.restored_at("y")), (Some(at(7)), None));
}

/// The leader sends at once, one at a time; the next goes when the proxy has said what it holds.
#[test]
fn one_update_is_in_flight() {
    let mut sent = Subscription::default();
    assert_eq!(sent.due_update(at(0), 4, true, 5_000), None, "it has not said what it holds");
    sent.on_heartbeat(at(1), 0);
    assert_eq!(sent.due_update(at(1), 4, true, 5_000), Some(0), "it came after all were sent it");
    sent.on_update_sent(at(1), 5_000);
    assert_eq!(sent.due_update(at(30), 5, true, 5_000), None, "one is on its way");
    sent.on_heartbeat(at(60), 0);
    assert_eq!(sent.due_update(at(60), 6, true, 5_000), None, "still");
    sent.on_heartbeat(at(90), 4);
    assert_eq!(sent.due_update(at(90), 6, true, 5_000), Some(4), "the newest, over what it holds");
    sent.on_update_sent(at(90), 200);
    sent.on_heartbeat(at(91), 0);
    assert_eq!(sent.due_update(at(91), 6, true, 5_000), Some(0), "it did not fit");
    sent.on_update_sent(at(91), 5_000);
    sent.on_heartbeat(at(2_000), 0);
    assert_eq!(sent.due_update(at(2_000), 6, true, 5_000), None);
    sent.on_heartbeat(at(2_700), 0);
    assert_eq!(sent.due_update(at(2_700), 6, true, 5_000), Some(0), "neither it nor a word of it has come");
    sent.on_update_sent(at(2_700), 5_000);
    sent.on_heartbeat(at(2_750), 7);
    assert_eq!(sent.due_update(at(2_750), 6, true, 5_000), None, "it has a newer one from elsewhere");
}

/// Other controllers send only to who has come no further for a while, and longer for a large store on a
/// slow link.
#[test]
fn followers_wait_for_the_leader() {
    for (bytes, wait) in [(5_000, 820), (500_000, 2_800)] {
        let mut sent = Subscription::default();
        sent.on_heartbeat(at(0), 2);
        assert_eq!(sent.due_update(at(0), 3, false, bytes), None);
        sent.on_heartbeat(at(wait - 10), 2);
        assert_eq!(sent.due_update(at(wait - 10), 4, false, bytes), None, "{bytes}");
        sent.on_heartbeat(at(wait), 2);
        assert_eq!(sent.due_update(at(wait), 4, false, bytes), Some(2), "the leader can't reach it");
        sent.on_update_sent(at(wait), 300);
        assert_eq!(sent.due_update(at(wait + 1), 5, false, bytes), None);
        // It comes further from elsewhere, change by change: that is no lack.
        for n in 5..40 {
            sent.on_heartbeat(at(wait + n * 100), n - 1);
            assert_eq!(sent.due_update(at(wait + n * 100), n, false, bytes), None);
        }
    }
}
