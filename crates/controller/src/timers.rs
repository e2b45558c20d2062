//! Timer coroutine: runs due timers of the consensus and periodic maintenance.

use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::ToController;
use may::sync::Blocker;

use crate::consensus_driver::perform_actions;
use crate::controller::Controller;
use crate::departures;
use crate::peer_links;
use crate::state::ControllerState;

/// Interval of the periodic maintenance.
const MAINTENANCE_INTERVAL: Span = Span::from_millis(500);
/// Minimum sleep of the coroutine, unless another one wakes it.
const MIN_SLEEP: Span = Span::from_millis(2);

/// Runs the timers; never returns. Must be called in a coroutine of its own.
pub fn run(controller: &Arc<Controller>) {
    let mut maintenance_at = controller.alarms.now();
    loop {
        let blocker = Blocker::current();
        let now = controller.alarms.now();
        let due = {
            let mut state = controller.state();
            state.consensus.tick(now);
            perform_actions(controller, now, &mut state);
            if now >= maintenance_at {
                maintenance_at = now + MAINTENANCE_INTERVAL;
                run_maintenance(controller, now, &mut state);
            }
            let due = state.consensus.next_due().min(maintenance_at).max(now + MIN_SLEEP);
            state.timer.set(due, &blocker);
            due
        };
        controller.alarms.unpark_at(due, &blocker);
        let _ = blocker.park(None);
    }
}

fn run_maintenance(controller: &Arc<Controller>, now: Time, state: &mut ControllerState) {
    check_instances(controller, now, state);
    peer_links::maintain(controller, now, state);
    state.publish_proxy_changes(now);
    propose_membership(controller, now, state);
    state.log_status(now);
}

/// Proposes a change of the proxy membership if one is due. The planner returns it again until it is
/// committed.
fn propose_membership(controller: &Arc<Controller>, now: Time, state: &mut ControllerState) {
    let is_leading = state.is_active_leader(now) && !state.committed.is_unreadable;
    let Some(membership) = state.membership.plan(now, is_leading, &state.committed.store.membership) else {
        return;
    };
    if state.consensus.has_uncommitted() {
        return;
    }
    let members: usize = membership.current().values().map(Vec::len).sum();
    let is_changing = membership.is_changing();
    let store = state.committed.store.with_membership(membership);
    if state.consensus.propose(now, store.encode()).is_some() {
        info!(members = members, is_changing = is_changing; "proxy membership proposed");
        perform_actions(controller, now, state);
    }
}

/// Publishes instances that have become unresponsive, and stores changed instances.
fn check_instances(controller: &Controller, now: Time, state: &mut ControllerState) {
    state.update_quorum_role(now);
    let unresponsive = state.instances.detector.detect_unresponsive(now);
    if !unresponsive.is_empty() {
        info!(instances = unresponsive.len(); "instances unresponsive");
        state.instances.mark_changed();
        state.peers.broadcast(&ToController::InstanceUpdates(unresponsive.clone()));
        state.subscribers.broadcast_instances(unresponsive);
    }
    departures::remove_expired(controller, state);
    departures::announce(now, state);
    if let Some(encoded) = state.instances.poll_store(now) {
        controller.disk.write_instances(encoded);
    }
}
