//! Calls of the operator: commands on the configuration, and reading it. Only the leader answers them, and what it says is
//! true at some moment of the call: a majority has answered a round that began after the call came (read index), or has
//! stored what is acknowledged.

use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_consensus::RequestOutcome;
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_store::CommandOutcome;
use lynxstair_net::server::{Request, Response};

use crate::consensus_driver::perform_actions;
use crate::controller::Controller;
use crate::pending_requests::QuorumWaiter;
use crate::replies::{error, unavailable};
use crate::state::ControllerState;

/// How long a call of the operator may wait for the quorum; after that the caller moves on anyway.
const CALL_TIMEOUT: Span = Span::from_millis(850);
/// How often a command looks whether its turn has come, while another one is uncommitted.
const TURN_INTERVAL: Span = Span::from_millis(4);

/// What a command comes to in its turn.
enum Turn {
    /// It was proposed by this number.
    Proposed(u64),
    /// It is answered.
    Response(Response),
    /// The answer has to be confirmed by the quorum first.
    Unconfirmed,
    /// Another one is uncommitted, or this leader is not established yet.
    Wait,
}

/// `GET /config`.
pub fn read_config(controller: &Arc<Controller>) -> Response {
    if let Err(reply) = confirm(controller, call_deadline(controller), "/config") {
        return reply;
    }
    let state = controller.state();
    if state.committed.is_unreadable {
        return unavailable();
    }
    match state.committed.store.to_json() {
        Some(text) => Response::json(200, text),
        None => error(404, "no configuration yet"),
    }
}

/// Executes a command. `path`: where it is sent on to the leader.
pub fn execute(
    controller: &Arc<Controller>,
    request: &Request,
    path: &str,
    operation: Operation,
) -> Response {
    let deadline = call_deadline(controller);
    let waiter = QuorumWaiter::for_current();
    let mut command = Command::new(operation);
    // One that was applied needs no parsing; any other is parsed while nobody waits for the state.
    let is_applied = controller.state().committed.store.has_applied(&command);
    if !is_applied {
        let parsed = controller.command_parser.parse(&controller.blocking_pool, command);
        let Some(parsed) = parsed else { return unavailable() };
        command = parsed;
    }
    let number = match propose(controller, request, path, deadline, &command, &waiter) {
        Ok(number) => number,
        Err(reply) => return reply,
    };
    let outcome = waiter.wait(&controller.alarms, deadline);
    controller.state().pending.remove(number);
    match outcome {
        RequestOutcome::Confirmed => Response::json(200, "{}"),
        // It may still come into force, or not: the same bytes sent again find out.
        RequestOutcome::Unknown => unavailable(),
    }
}

/// Waits for the command's turn. The number that it was proposed by, or the reply.
fn propose(
    controller: &Arc<Controller>,
    request: &Request,
    path: &str,
    deadline: Time,
    command: &Command,
    waiter: &Arc<QuorumWaiter>,
) -> Result<u64, Response> {
    let mut is_confirmed = false;
    loop {
        let now = controller.alarms.now();
        // A caller that has gone sends it again, elsewhere perhaps: applied late, it would undo what came after it.
        if now >= deadline || request.has_caller_disconnected() {
            return Err(unavailable());
        }
        match take_turn(controller, now, path, command, is_confirmed, waiter) {
            Turn::Proposed(number) => return Ok(number),
            Turn::Response(reply) => return Err(reply),
            Turn::Unconfirmed => {
                confirm(controller, deadline, path)?;
                // Decided again by the configuration as it is now.
                is_confirmed = true;
            }
            Turn::Wait => controller.alarms.sleep_until(now + TURN_INTERVAL),
        }
    }
}

fn take_turn(
    controller: &Arc<Controller>,
    now: Time,
    path: &str,
    command: &Command,
    is_confirmed: bool,
    waiter: &Arc<QuorumWaiter>,
) -> Turn {
    let mut state = controller.state();
    let is_established = state.consensus.is_established_leader();
    if !is_established && state.consensus.leader() != Some(controller.me) {
        return Turn::Response(redirect(controller, now, &state, path));
    }
    // Partitioned off, or just woken: it will not be the leader for long.
    let is_isolated = is_established && !state.consensus.has_quorum_contact(now);
    if is_isolated || state.committed.is_unreadable {
        return Turn::Response(unavailable());
    }
    if !is_established || state.consensus.has_uncommitted() {
        return Turn::Wait;
    }
    match state.committed.store.apply(command, &controller.settings.zones) {
        CommandOutcome::Accepted(store) => {
            let Some(number) = state.consensus.propose(now, store.encode()) else { return Turn::Wait };
            state.pending.insert(number, waiter.clone());
            perform_actions(controller, now, &mut state);
            Turn::Proposed(number)
        }
        CommandOutcome::Unknown => Turn::Response(unavailable()),
        CommandOutcome::AlreadyApplied | CommandOutcome::Rejected(_) if !is_confirmed => Turn::Unconfirmed,
        CommandOutcome::AlreadyApplied => Turn::Response(Response::json(200, "{}")),
        CommandOutcome::Rejected(rejection) => {
            let (status, reason) = (rejection.status(), rejection.to_string());
            info!(status = status, reason = reason; "command rejected");
            Turn::Response(error(status, &reason))
        }
    }
}

/// Asks the quorum whether what is committed here is the newest; the error is the reply to give.
fn confirm(controller: &Arc<Controller>, deadline: Time, path: &str) -> Result<(), Response> {
    let waiter = QuorumWaiter::for_current();
    let number = {
        let now = controller.alarms.now();
        let mut state = controller.state();
        let Some(number) = state.consensus.request_read(now) else {
            return Err(redirect(controller, now, &state, path));
        };
        state.pending.insert(number, waiter.clone());
        perform_actions(controller, now, &mut state);
        number
    };
    let outcome = waiter.wait(&controller.alarms, deadline);
    controller.state().pending.remove(number);
    match outcome {
        RequestOutcome::Confirmed => Ok(()),
        RequestOutcome::Unknown => Err(unavailable()),
    }
}

/// To the leader, as far as this controller is in touch with it; else nobody knows who leads.
fn redirect(controller: &Controller, now: Time, state: &ControllerState, path: &str) -> Response {
    let is_elsewhere = |leader: &_| *leader != controller.me && state.consensus.has_quorum_contact(now);
    match state.consensus.leader().filter(is_elsewhere) {
        Some(leader) => {
            let headers = format!("Location: http://{leader}{path}\r\n");
            Response { status: 307, headers, body: Vec::new() }
        }
        None => unavailable(),
    }
}

/// Until when the caller of what is read now waits: where this process was paused, the call may be old.
fn call_deadline(controller: &Controller) -> Time {
    controller.alarms.received_at(controller.alarms.now()) + CALL_TIMEOUT
}
