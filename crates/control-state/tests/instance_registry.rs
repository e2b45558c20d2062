//! The instance registry: which reports change an instance, and its resulting state.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_protocol::messages::{Instance, InstanceState};

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn instance(seq: u64, state: InstanceState, warming_up_ms: u64) -> Instance {
    Instance {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("one"),
        zone: "z".into(),
        capacity: 3,
        state,
        warming_up_ms,
        call_seq: seq,
        heartbeat_age_ms: 0,
        is_unconfirmed: false,
    }
}

/// Reports of all kinds, in order. Guards against a wrong state, and against a change for proxies that is not
/// reported as one.
#[test]
fn outdated_reports_and_reports_after_deregistration_are_ignored() {
    use InstanceState::{Deregistered, Draining, Ready, Unresponsive};
    let mut registry = InstanceRegistry::default();
    // Time in milliseconds, report, `true` if it changes anything for proxies, and the resulting state.
    let cases = [
        (0, instance(4, Ready, 3000), true, Ready),
        (1500, instance(5, Ready, 1500), false, Ready),
        (3000, instance(6, Ready, 0), false, Ready),
        (4500, instance(7, Ready, 3000), true, Ready),
        (4600, instance(6, Draining, 0), false, Ready),
        (4700, instance(7, Unresponsive, 0), true, Unresponsive),
        (4800, instance(7, Ready, 0), false, Unresponsive),
        (5000, instance(8, Ready, 0), true, Ready),
        (6000, instance(9, Draining, 0), true, Draining),
        (6100, instance(10, Ready, 0), false, Draining),
        (7000, instance(9, Deregistered, 0), true, Deregistered),
        (7100, instance(12, Ready, 0), false, Deregistered),
    ];
    for (ms, instance, is_changed, state) in cases {
        let case = format!("{ms} {instance:?}");
        assert_eq!(registry.update(at(ms), &instance), is_changed, "{case}");
        assert_eq!(registry.instances()["i-1"].state, state, "{case}");
    }
}

/// Restored instances are kept for a while, become unresponsive without a heartbeat, and never replace a
/// newer heartbeat.
#[test]
fn restored_instances_are_kept_for_a_while() {
    let heartbeat = Span::from_millis(1500);
    let mut registry = InstanceRegistry::default();
    registry.update(at(0), &instance(9, InstanceState::Draining, 0));
    registry.restore(at(0), &[instance(7, InstanceState::Ready, 0)], heartbeat);
    assert_eq!(registry.instances()["i-1"].state, InstanceState::Draining);
    let mut registry = InstanceRegistry::default();
    registry.restore(
        at(0),
        &[
            instance(7, InstanceState::Ready, 0),
            Instance { id: "i-2".into(), ..instance(3, InstanceState::Deregistered, 0) },
        ],
        heartbeat,
    );
    assert_eq!((registry.instances().len(), registry.sweep(at(3000), heartbeat).len()), (1, 0));
    assert_eq!(registry.sweep(at(4000), heartbeat), ["i-1"]);
    assert!(registry.update(at(4100), &instance(8, InstanceState::Ready, 0)));
}

#[test]
fn unresponsive_instances_are_reported_once_and_ended_ones_removed() {
    let mut registry = InstanceRegistry::default();
    let heartbeat = Span::from_millis(1500);
    registry.update(at(0), &instance(1, InstanceState::Ready, 0));
    assert!(registry.sweep(at(6000), heartbeat).is_empty());
    assert_eq!(registry.sweep(at(7000), heartbeat), ["i-1"]);
    assert!(registry.sweep(at(7100), heartbeat).is_empty());
    assert!(registry.update(at(8000), &instance(2, InstanceState::Ready, 0)));
    registry.deregister(at(9000), "i-1");
    registry.sweep(at(100_000), heartbeat);
    assert!(registry.instances().is_empty());
}

/// A restored instance may be warming up: it is unconfirmed until its next heartbeat, which is a change for
/// proxies even if it reports the same state.
#[test]
fn a_restored_instance_is_unconfirmed_until_it_sends_a_heartbeat() {
    let now = Time::from_nanos(10_000_000_000);
    let mut registry = InstanceRegistry::default();
    let stored = instance(4, InstanceState::Ready, 0);
    registry.restore(now, std::slice::from_ref(&stored), Span::from_millis(1_500));
    assert!(registry.has_unconfirmed());
    assert!(registry.get(now, "i-1").expect("known").is_unconfirmed);
    assert!(
        registry.update(now, &Instance { call_seq: 5, ..stored.clone() }),
        "the confirmation is a change for proxies"
    );
    assert!(!registry.has_unconfirmed());
    assert!(!registry.update(now, &Instance { call_seq: 6, ..stored }), "an unchanged heartbeat is not");
}

#[test]
fn unconfirmed_instances_are_confirmed_one_by_one() {
    let now = Time::from_nanos(10_000_000_000);
    let mut registry = InstanceRegistry::default();
    let named = |id: &str| Instance { id: id.to_string(), ..instance(1, InstanceState::Ready, 0) };
    for id in ["i-1", "i-2"] {
        assert!(registry.update(now, &named(id)));
    }
    registry.mark_unconfirmed(|_| true);
    // A report with the same sequence number can confirm an instance or mark it as unconfirmed.
    assert!(registry.update(now, &named("i-1")));
    assert!(registry.has_unconfirmed(), "i-2 is unconfirmed");
    assert!(registry.update(now, &named("i-2")));
    assert!(!registry.has_unconfirmed());
    assert!(registry.update(now, &Instance { is_unconfirmed: true, ..named("i-2") }));
    assert!(registry.has_unconfirmed());
}

/// Guards against a departed instance that counts as ready again after a restart, because the instances were
/// stored before its departure.
#[test]
fn a_restored_departure_is_not_undone_by_older_reports() {
    for state in [InstanceState::Draining, InstanceState::Deregistered] {
        let mut registry = InstanceRegistry::default();
        registry.restore_departed(at(0), &[instance(7, state, 0)]);
        registry.restore(at(0), &[instance(6, InstanceState::Ready, 0)], Span::from_millis(1500));
        assert_eq!(registry.instances()["i-1"].state, state);
        registry.update(at(10), &instance(7, InstanceState::Ready, 0));
        registry.update(at(20), &instance(8, InstanceState::Ready, 0));
        assert_eq!(registry.instances()["i-1"].state, state);
    }
}
