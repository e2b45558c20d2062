//! Departures of worker instances: writes them to disk, confirms them to the other controllers, and lets
//! acknowledgements wait until they are durable.

use std::collections::HashMap;
use std::sync::{Arc, MutexGuard};

use lynxstair::types::Time;
use lynxstair_consensus::{NodeAddress, RequestOutcome};
use lynxstair_control_state::departure_log::DurabilityRule;
use lynxstair_protocol::messages::{Instance, ToController};

use crate::controller::Controller;
use crate::pending_requests::QuorumWaiter;
use crate::state::ControllerState;
use crate::storage::DepartureChanges;

/// HTTP requests that wait until a departure is durable, by instance id.
#[derive(Default)]
pub struct DepartureWaiters(HashMap<String, Vec<Arc<QuorumWaiter>>>);

impl DepartureWaiters {
    fn insert(&mut self, id: &str, waiter: &Arc<QuorumWaiter>) {
        self.0.entry(id.to_string()).or_default().push(waiter.clone());
    }

    fn remove(&mut self, id: &str, waiter: &Arc<QuorumWaiter>) {
        if let Some(waiters) = self.0.get_mut(id) {
            waiters.retain(|other| !Arc::ptr_eq(other, waiter));
            if waiters.is_empty() {
                self.0.remove(id);
            }
        }
    }

    fn complete(&mut self, id: &str) {
        for waiter in self.0.remove(id).unwrap_or_default() {
            waiter.complete(RequestOutcome::Confirmed);
        }
    }
}

/// Records the departures among reported instances, which the registry has applied already, and writes new
/// ones to disk. Confirms those that are stored here to the controller that reported them.
pub fn on_reported(
    controller: &Controller,
    now: Time,
    state: &mut ControllerState,
    reporter: Option<NodeAddress>,
    instances: &[Instance],
) {
    let mut changes = DepartureChanges::default();
    let mut stored = Vec::new();
    for reported in instances.iter().filter(|instance| instance.state.has_departed()) {
        let known = state.instances.detector.registry().get(now, &reported.id);
        let Some(known) = known.filter(|known| known.state.has_departed()) else { continue };
        if state.departures.record(&known.id) {
            changes.added.push(known);
        } else if state.departures.is_stored_by(controller.me, &known.id) {
            stored.push(known.id);
        }
    }
    controller.disk.write_departures(changes);
    if let Some(reporter) = reporter.filter(|_| !stored.is_empty()) {
        state.peers.send_confirmation(reporter, &ToController::DeparturesStored(stored));
    }
}

/// Handles the completion of a write: these departures are synced to the disk of this controller.
pub fn on_stored_here(controller: &Controller, ids: Vec<String>) {
    let mut state = controller.state();
    on_stored_by(controller, &mut state, controller.me, &ids);
    state.peers.broadcast_confirmation(&ToController::DeparturesStored(ids));
}

/// Confirms all departures that are stored here to a controller: it has forgotten the confirmations of earlier
/// connections.
pub fn confirm_all(controller: &Controller, state: &ControllerState, peer: NodeAddress) {
    let stored = state.departures.stored_by(controller.me);
    if !stored.is_empty() {
        state.peers.send_confirmation(peer, &ToController::DeparturesStored(stored));
    }
}

/// Sends all departures to the proxies, once in each term that this controller leads. Controllers report changes
/// of instances only as they learn of them, and only the one that a worker has called and the leader do, so
/// that proxies may have missed a departure that was reported between two leaders.
pub fn announce(now: Time, state: &mut ControllerState) {
    let term = state.consensus.term();
    if !state.is_active_leader(now) || state.departures_announced_in == term {
        return;
    }
    state.departures_announced_in = term;
    let departed = state.instances.departed(now);
    if !departed.is_empty() {
        state.subscribers.broadcast_instances(departed);
    }
}

/// Records that a controller has synced these departures to its disk, and completes the requests that wait for
/// them.
pub fn on_stored_by(controller: &Controller, state: &mut ControllerState, node: NodeAddress, ids: &[String]) {
    let rule = durability_rule(controller, state);
    for id in ids {
        state.departures.on_stored(node, id);
        if state.departures.is_durable(id, &rule) {
            state.departure_waiters.complete(id);
        }
    }
}

/// Waits until the departure of an instance is durable. Returns `false` if it is not in time; it may become
/// so later.
pub fn wait_until_durable(
    controller: &Controller,
    mut state: MutexGuard<'_, ControllerState>,
    id: &str,
) -> bool {
    if state.departures.is_durable(id, &durability_rule(controller, &state)) {
        return true;
    }
    let deadline = controller.request_deadline();
    let waiter = QuorumWaiter::for_current();
    state.departure_waiters.insert(id, &waiter);
    drop(state);
    let outcome = waiter.wait(&controller.alarms, deadline);
    controller.state().departure_waiters.remove(id, &waiter);
    outcome == RequestOutcome::Confirmed
}

/// Deletes the departures of instances that the registry has removed.
pub fn remove_expired(controller: &Controller, state: &mut ControllerState) {
    let instances = state.instances.detector.registry().instances();
    let removed = state.departures.remove_unknown(|id| instances.contains_key(id));
    controller.disk.write_departures(DepartureChanges { added: Vec::new(), removed });
}

fn durability_rule(controller: &Controller, state: &ControllerState) -> DurabilityRule {
    DurabilityRule {
        voters: state.consensus.voters().iter().map(|voter| voter.node).collect(),
        tolerated_disk_losses: controller.settings.fault_budget_machines,
        without_confirmations: state.peers.without_confirmations(),
    }
}
