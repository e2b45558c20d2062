//! Performs the actions of the consensus state machine: writes state to disk, sends messages, applies
//! commits and completes pending requests.

use std::sync::Arc;

use log::{info, warn};
use lynxstair::types::Time;
use lynxstair_consensus::Action;
use lynxstair_protocol::consensus::LogId;
use lynxstair_protocol::messages::{Bytes, ToController};

use crate::blocking_pool::MAX_INLINE_BYTES;
use crate::controller::Controller;
use crate::peer_links;
use crate::state::ControllerState;

/// Performs all pending actions, including those that result from them, then updates connections, timer and
/// logged status. Must be called after each call of the consensus that may add actions.
pub fn perform_actions(controller: &Arc<Controller>, now: Time, state: &mut ControllerState) {
    loop {
        let actions = state.consensus.take_actions();
        if actions.is_empty() {
            break;
        }
        for action in actions {
            perform(controller, now, state, action);
        }
    }
    let members = state.members();
    peer_links::add_peers(controller, now, state, &members);
    let due = state.consensus.next_due();
    state.timer.wake_by(&controller.alarms, due);
    state.log_status(now);
}

/// Handles the completion of a write: the state with this number is synced to disk.
pub fn on_persisted(controller: &Arc<Controller>, number: u64) {
    let now = controller.alarms.now();
    let mut state = controller.state();
    state.consensus.on_persisted(now, number);
    perform_actions(controller, now, &mut state);
}

fn perform(controller: &Arc<Controller>, now: Time, state: &mut ControllerState, action: Action) {
    match action {
        Action::Persist { number, state } => controller.disk.write_state(number, state),
        Action::Send { to, message } => state.peers.send(to, &ToController::Consensus(message)),
        Action::Committed { position, config } => on_committed(controller, now, state, position, &config),
        Action::ProposalDone { number, outcome } | Action::ReadDone { number, outcome } => {
            state.pending.complete(number, outcome);
        }
    }
}

fn on_committed(
    controller: &Controller,
    now: Time,
    state: &mut ControllerState,
    position: LogId,
    config: &Bytes,
) {
    let Some(store) = state.committed.store.decode_next(&config.0) else {
        warn!(index = position.index; "committed configuration unreadable");
        state.committed.is_unreadable = true;
        return;
    };
    let (revision, generation) = (store.revision, store.generation);
    let restored: Vec<String> =
        state.committed.store.evacuated.difference(&store.evacuated).cloned().collect();
    if !state.committed.advance(store) {
        return;
    }
    restored.iter().for_each(|zone| state.instances.detector.on_zone_restored(zone));
    info!(revision = revision, generation = generation, term = position.term; "configuration committed");
    if state.consensus.is_established_leader() {
        state.subscribers.publish_config(now, &state.committed);
    }
    let store = &state.committed.store;
    if !store.is_configuration_ready() && store.encoded_len() > MAX_INLINE_BYTES {
        // Parses a large configuration in advance, so that a follower that becomes leader is not blocked by
        // it.
        let store = store.clone();
        controller.blocking_pool.submit(move || drop(store.configuration().cloned()));
    }
}
