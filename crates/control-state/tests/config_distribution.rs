//! Distribution of the configuration to a proxy: one update at a time, never to an older revision, and with
//! the same result by snapshots and deltas.

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

fn accepted(store: &ConfigStore, change: &Operation) -> ConfigStore {
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

/// Generates the next operation: changed rows, a new column, changed limits, a new configuration, or a zone.
fn arbitrary_operation(
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

/// Whatever revisions a controller skips and whatever updates are lost, a proxy at a revision has the
/// configuration of that revision.
#[test]
fn deltas_lead_to_the_same_state_as_snapshots() {
    arbtest::arbtest(|u| {
        let (mut store, mut log) = (accepted(&ConfigStore::default(), &put(1, 0, "")), DeltaLog::default());
        let (mut controller, mut replica) = (ConfigStore::default(), ConfigReplica::default());
        let (mut deltas, mut snapshots) = (0, 0);
        for ms in 0..u.int_in_range(1..=30)? {
            store = accepted(&store, &arbitrary_operation(u, &store)?);
            if u.ratio(1, 5)? {
                continue; // The controller skips this revision.
            }
            let newer = controller.decode_next(&store.encode()).expect("read");
            assert_eq!(newer, store);
            if newer.revision > controller.revision {
                log.record(&controller, &newer);
                controller = newer;
            }
            if u.ratio(1, 3)? {
                continue; // The update is lost.
            }
            let before = replica.revision();
            let update = log.encode_update(&controller, replica.delta_base());
            if replica.apply_update(at(ms), controller.revision, &update) {
                let (version, expected) =
                    (replica.version().expect("one"), controller.configuration().expect("one"));
                assert_eq!(
                    (version.revision, &version.evacuated),
                    (controller.revision, &controller.evacuated)
                );
                assert_eq!(version.configuration, *expected);
                let snapshot = DeltaLog::default().encode_update(&controller, 0);
                if update.len() < snapshot.len() { deltas += 1 } else { snapshots += 1 }
            } else {
                assert_eq!(
                    (before, replica.delta_base()),
                    (controller.revision, controller.revision),
                    "an update is ignored only if the revision is already held"
                );
            }
        }
        let _ = (deltas, snapshots);
        Ok(())
    })
    .budget_ms(2_000);
}

/// A delta is small even if the configuration is large.
#[test]
fn a_delta_is_small() {
    let rows: Vec<String> = (0..500).map(|n| format!(r#"["r{n}","h{n}","/","safe","s"]"#)).collect();
    let first = accepted(&ConfigStore::default(), &put(1, 0, &rows.join(",")));
    let (mut replica, mut log) = (ConfigReplica::default(), DeltaLog::default());
    let snapshot = log.encode_update(&first, replica.delta_base());
    assert!(replica.apply_update(at(0), first.revision, &snapshot));
    let patch = format!(
        r#"{{"generation":"2","base-version":"1","upsert":{{"routes":{{"columns":{ROUTE},"rows":[["r7","h7","/x/","safe","s"]]}}}}}}"#
    );
    let second = accepted(&first, &Operation::Patch(patch.into_bytes()));
    log.record(&first, &second);
    let update = log.encode_update(&second, replica.delta_base());
    assert!(update.len() < 300 && snapshot.len() > 10_000, "{} of {}", update.len(), snapshot.len());
    assert!(replica.apply_update(at(1), second.revision, &update));
    assert!(replica.version().is_some_and(|v| v.configuration.route("h7", "/x/").is_some()));
    // A controller with an empty log sends a snapshot.
    assert_eq!(
        DeltaLog::default().encode_update(&second, first.revision).len(),
        log.encode_update(&second, 0).len()
    );
}

/// A replica never returns to an older revision. After an update that it cannot apply, it requests a
/// snapshot.
#[test]
fn a_replica_never_returns_to_an_older_revision() {
    let stores: Vec<ConfigStore> = (1..=4)
        .scan(ConfigStore::default(), |store, generation| {
            *store = accepted(
                store,
                &put(generation, generation - 1, &format!(r#"["r","h{generation}","/","safe","s"]"#)),
            );
            Some(store.clone())
        })
        .collect();
    let snapshot = |n: usize| DeltaLog::default().encode_update(&stores[n], 0);
    let mut log = DeltaLog::default();
    (1..4).for_each(|n| log.record(&stores[n - 1], &stores[n]));
    let mut replica = ConfigReplica::default();
    assert!(replica.apply_update(at(0), 2, &snapshot(1)));
    assert!(!replica.apply_update(at(1), 2, &snapshot(1)) && !replica.apply_update(at(1), 1, &snapshot(0)));
    assert!(!replica.apply_update(at(2), 4, &log.encode_update(&stores[3], 3)), "based on another revision");
    assert_eq!((replica.revision(), replica.delta_base()), (2, 2));
    assert!(!replica.apply_update(at(3), 3, b"no store"));
    assert_eq!((replica.revision(), replica.delta_base()), (2, 0), "the held revision stays in use");
    assert!(!replica.apply_update(at(4), 1, &snapshot(0)));
    assert!(!replica.apply_update(at(4), 2, &snapshot(1)), "not newer");
    assert_eq!(replica.delta_base(), 2, "but valid again");
    // A corrupted row: the digest of the result does not match.
    let mut single_step = DeltaLog::default();
    single_step.record(&stores[1], &stores[2]);
    let mut update = single_step.encode_update(&stores[2], 2);
    let place = update.windows(4).position(|w| w == b"\"h3\"").expect("a row") + 1;
    update[place + 1] = b'9';
    assert!(!replica.apply_update(at(5), 3, &update));
    assert_eq!((replica.revision(), replica.delta_base()), (2, 0));
    assert!(replica.apply_update(at(6), 4, &snapshot(3)));
    assert_eq!((replica.revision(), replica.delta_base()), (4, 4));
}

/// The replica records when an evacuation ended, also if a delta ended it.
#[test]
fn the_end_of_an_evacuation_is_recorded() {
    let first =
        accepted(&accepted(&ConfigStore::default(), &put(1, 0, "")), &Operation::Evacuate("z".into()));
    let second = accepted(&first, &Operation::Restore("z".into()));
    let (mut replica, mut log) = (ConfigReplica::default(), DeltaLog::default());
    assert!(replica.apply_update(at(0), first.revision, &log.encode_update(&first, 0)));
    assert!(replica.version().is_some_and(|v| v.evacuated.contains("z")));
    log.record(&first, &second);
    assert!(replica.apply_update(at(7), second.revision, &log.encode_update(&second, first.revision)));
    assert_eq!((replica.restored_at("z"), replica.restored_at("y")), (Some(at(7)), None));
}

/// The leader sends at once, but only one update at a time: the next follows when the proxy has reported its
/// revision.
#[test]
fn at_most_one_update_is_in_flight() {
    let mut subscription = Subscription::default();
    assert_eq!(subscription.due_update(at(0), 4, true, 5_000), None, "the proxy has not reported a revision");
    subscription.on_heartbeat(at(1), 0);
    assert_eq!(
        subscription.due_update(at(1), 4, true, 5_000),
        Some(0),
        "the proxy subscribed after the change"
    );
    subscription.on_update_sent(at(1), 5_000);
    assert_eq!(subscription.due_update(at(30), 5, true, 5_000), None, "an update is in flight");
    subscription.on_heartbeat(at(60), 0);
    assert_eq!(subscription.due_update(at(60), 6, true, 5_000), None, "the update is still in flight");
    subscription.on_heartbeat(at(90), 4);
    assert_eq!(
        subscription.due_update(at(90), 6, true, 5_000),
        Some(4),
        "an update from the held revision to the newest"
    );
    subscription.on_update_sent(at(90), 200);
    subscription.on_heartbeat(at(91), 0);
    assert_eq!(subscription.due_update(at(91), 6, true, 5_000), Some(0), "the update could not be applied");
    subscription.on_update_sent(at(91), 5_000);
    subscription.on_heartbeat(at(2_000), 0);
    assert_eq!(subscription.due_update(at(2_000), 6, true, 5_000), None);
    subscription.on_heartbeat(at(2_700), 0);
    assert_eq!(subscription.due_update(at(2_700), 6, true, 5_000), Some(0), "the update has timed out");
    subscription.on_update_sent(at(2_700), 5_000);
    subscription.on_heartbeat(at(2_750), 7);
    assert_eq!(
        subscription.due_update(at(2_750), 6, true, 5_000),
        None,
        "the proxy has a newer revision from another controller"
    );
}

/// Followers send only to a proxy that has made no progress for a while; the wait grows with the
/// configuration size.
#[test]
fn followers_wait_for_the_leader() {
    for (bytes, wait) in [(5_000, 820), (500_000, 2_800)] {
        let mut subscription = Subscription::default();
        subscription.on_heartbeat(at(0), 2);
        assert_eq!(subscription.due_update(at(0), 3, false, bytes), None);
        subscription.on_heartbeat(at(wait - 10), 2);
        assert_eq!(subscription.due_update(at(wait - 10), 4, false, bytes), None, "{bytes}");
        subscription.on_heartbeat(at(wait), 2);
        assert_eq!(
            subscription.due_update(at(wait), 4, false, bytes),
            Some(2),
            "the leader cannot reach the proxy"
        );
        subscription.on_update_sent(at(wait), 300);
        assert_eq!(subscription.due_update(at(wait + 1), 5, false, bytes), None);
        // The proxy makes progress by updates from another controller.
        for n in 5..40 {
            subscription.on_heartbeat(at(wait + n * 100), n - 1);
            assert_eq!(subscription.due_update(at(wait + n * 100), n, false, bytes), None);
        }
    }
}
