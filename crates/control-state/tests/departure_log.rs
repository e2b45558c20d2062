//! When a departure may be acknowledged.

use std::collections::HashSet;
use std::net::SocketAddr;

use lynxstair_control_state::departure_log::{DepartureLog, DurabilityRule};

fn node(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 8383))
}

fn rule(voters: u8, tolerated_disk_losses: usize) -> DurabilityRule {
    DurabilityRule {
        voters: (1..=voters).map(node).collect(),
        tolerated_disk_losses,
        without_confirmations: HashSet::new(),
    }
}

/// Stores a departure at one controller after the other. Returns the number that makes it durable.
fn needed(rule: &DurabilityRule) -> Option<usize> {
    let mut log = DepartureLog::default();
    assert!(log.record("i-1") && !log.is_durable("i-1", rule));
    (1..=9)
        .find(|n| {
            log.on_stored(node(*n), "i-1");
            log.is_durable("i-1", rule)
        })
        .map(usize::from)
}

/// Guards against an acknowledgement that as many lost disks as the fault budget names can undo.
#[test]
fn a_departure_is_durable_on_a_majority_and_on_more_disks_than_may_be_lost() {
    let cases =
        [(1, 0, 1), (1, 1, 1), (2, 1, 2), (3, 0, 2), (3, 1, 2), (3, 2, 3), (5, 2, 3), (5, 3, 4), (5, 8, 5)];
    for (voters, losses, wanted) in cases {
        assert_eq!(needed(&rule(voters, losses)), Some(wanted), "{voters} voters, {losses} losses");
    }
}

/// Guards against counting a learner, or a controller that was replaced.
#[test]
fn only_voters_count() {
    let mut log = DepartureLog::default();
    log.record("i-1");
    (4..=9).for_each(|n| log.on_stored(node(n), "i-1"));
    assert!(!log.is_durable("i-1", &rule(3, 1)));
}

/// Guards against departures that are never acknowledged while controllers are updated one after the other:
/// those of earlier builds send no confirmations.
#[test]
fn connected_controllers_of_earlier_builds_count_as_storing() {
    let mut log = DepartureLog::default();
    log.record("i-1");
    log.on_stored(node(1), "i-1");
    let mut rule = rule(3, 1);
    assert!(!log.is_durable("i-1", &rule));
    rule.without_confirmations.insert(node(2));
    assert!(log.is_durable("i-1", &rule));
}

/// Guards against counting the disk of a controller that has restarted without it.
#[test]
fn confirmations_of_a_controller_that_connects_again_are_forgotten() {
    let mut log = DepartureLog::default();
    log.record("i-1");
    [1, 2].into_iter().for_each(|n| log.on_stored(node(n), "i-1"));
    assert!(log.is_durable("i-1", &rule(3, 1)));
    log.forget_confirmations(node(2));
    assert!(!log.is_durable("i-1", &rule(3, 1)) && log.is_stored_by(node(1), "i-1"));
}

/// A departure is written once, and let go of with its instance.
#[test]
fn departures_are_removed_with_their_instances() {
    let mut log = DepartureLog::default();
    assert!(log.record("i-1") && !log.record("i-1") && log.record("i-2"));
    log.on_stored(node(1), "i-3");
    assert!(!log.is_stored_by(node(1), "i-3"), "unknown here");
    assert_eq!(log.remove_unknown(|id| id == "i-2"), ["i-1"]);
    assert!(log.remove_unknown(|id| id == "i-2").is_empty());
    assert!(log.record("i-1"));
}
