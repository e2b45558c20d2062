//! Departures of worker instances in a cluster of controller processes: when they are acknowledged, what they
//! outlast, and which proxies learn of them.

mod support;

use lynxstair_fakes::wait_until;
use lynxstair_protocol::messages::{InstanceState, Readiness, ToProxy};
use nix::sys::signal::Signal;

use support::{Cluster, InternalConnection, call, heartbeat};

/// Guards against a deregistration that is acknowledged and then forgotten when all controllers are killed:
/// proxies would send to the worker again (review, case 2).
#[test]
fn an_acknowledged_deregistration_outlasts_a_kill_of_all_controllers() {
    let mut cluster = Cluster::new(7);
    cluster.start_with_ready_instance("i-leaves");
    assert_eq!(cluster.operator_request("DELETE /instances/i-leaves", ""), 200);
    cluster.restart_all(None);
    (1..=3).for_each(|n| cluster.wait_until_departed(n, "i-leaves"));
}

/// Guards against the same failure where the controller that acknowledged also loses its disk, which the fault
/// budget allows: a departure must be on more disks than may be lost.
#[test]
fn an_acknowledged_drain_outlasts_the_loss_of_the_disk_of_its_controller() {
    let mut cluster = Cluster::new(8);
    cluster.start_with_ready_instance("i-drains");
    let draining = heartbeat(2).replace("ready", "draining");
    let acknowledging = wait_until("an acknowledgement", || {
        (1..=3).find(|n| {
            let address = cluster.control_address(*n);
            call(address, "PUT /instances/i-drains", &draining).is_some_and(|m| m.status() == 200)
        })
    });
    cluster.restart_all(Some(acknowledging));
    (1..=3).for_each(|n| cluster.wait_until_departed(n, "i-drains"));
}

/// A departure that no other controller stores is not acknowledged.
#[test]
fn a_departure_that_is_not_durable_is_not_acknowledged() {
    let mut cluster = Cluster::new(10);
    cluster.start_with_ready_instance("i-stays");
    let leader = wait_until("a leader", || cluster.leader());
    let followers: Vec<usize> = (1..=3).filter(|n| *n != leader).collect();
    followers.iter().for_each(|n| cluster.pause(*n));
    let message = call(cluster.control_address(leader), "DELETE /instances/i-stays", "").expect("answered");
    assert_eq!(message.status(), 503);
    followers.iter().for_each(|n| cluster.signal(*n, Signal::SIGCONT));
    assert_eq!(cluster.operator_request("DELETE /instances/i-stays", ""), 200);
}

/// Guards against a departure that a proxy never learns of, because its connection to the acknowledging
/// controller was cut before that controller was lost: the next leader announces all departures.
#[test]
fn a_new_leader_announces_departures() {
    let mut cluster = Cluster::new(11);
    cluster.start_with_ready_instance("i-leaves");
    let leader = wait_until("a leader", || cluster.leader());
    let followers: Vec<usize> = (1..=3).filter(|n| *n != leader).collect();
    // The proxy is connected to the followers only.
    let mut connections: Vec<InternalConnection> =
        followers.iter().map(|n| cluster.subscribe(*n, true)).collect();
    assert_eq!(cluster.instance_state(followers[0], "i-leaves"), Some(InstanceState::Ready));
    wait_until("an acknowledgement", || {
        let message = call(cluster.control_address(leader), "DELETE /instances/i-leaves", "")?;
        (message.status() == 200).then_some(())
    });
    cluster.kill(leader);
    let new_leader = wait_until("another leader", || cluster.leader());
    let position = followers.iter().position(|n| *n == new_leader).expect("a follower leads");
    wait_until("the announced departure", || match connections[position].receive() {
        ToProxy::Instances { instances, .. } => {
            instances.iter().any(|i| i.id == "i-leaves" && i.state.has_departed()).then_some(())
        }
        _ => None,
    });
}

/// Guards against a proxy that took its snapshot from a controller that did not know of a departure yet: each
/// further subscription tells it the departures.
#[test]
fn a_subscription_without_a_snapshot_receives_the_departures() {
    let mut cluster = Cluster::new(12);
    cluster.start_with_ready_instance("i-leaves");
    assert_eq!(cluster.operator_request("DELETE /instances/i-leaves", ""), 200);
    cluster.wait_until_departed(1, "i-leaves");
    let mut connection = cluster.subscribe(1, false);
    connection.send_heartbeat(Readiness::Ready);
    let first = loop {
        match connection.receive() {
            ToProxy::Instances { instances, is_snapshot } => break Some((instances, is_snapshot)),
            ToProxy::HeartbeatAck { .. } => break None,
            _ => {}
        }
    };
    let (instances, is_snapshot) = first.expect("departures before the first acknowledgement");
    assert!(!is_snapshot);
    assert!(instances.iter().any(|i| i.id == "i-leaves" && i.state.has_departed()), "{instances:?}");
}
