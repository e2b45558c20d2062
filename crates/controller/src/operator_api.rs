//! Operator requests: commands that change the configuration, and reads. Only the leader executes them;
//! other controllers redirect to it. Responses are linearizable: a command is acknowledged after a majority
//! has stored it, and a read or a rejection is confirmed by a read-index round that starts after the
//! request arrived.

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

/// Interval between attempts to propose a command while another one is uncommitted or the leader is not yet
/// established.
const PROPOSE_RETRY_INTERVAL: Span = Span::from_millis(4);

/// Result of one attempt to propose a command.
enum ProposeAttempt {
    /// The command was proposed under this number.
    Proposed(u64),
    /// The request is answered without a proposal.
    Response(Response),
    /// The decision must be confirmed by the quorum before it is returned.
    Unconfirmed,
    /// Another command is uncommitted, or this leader is not established yet; the attempt is to be
    /// repeated.
    Retry,
}

/// Handles `GET /config`.
pub fn read_config(controller: &Arc<Controller>) -> Response {
    if let Err(reply) = confirm(controller, controller.request_deadline(), "/config") {
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

/// Executes a command. A redirect to the leader has the path `path`.
pub fn execute(
    controller: &Arc<Controller>,
    request: &Request,
    path: &str,
    operation: Operation,
) -> Response {
    let deadline = controller.request_deadline();
    let waiter = QuorumWaiter::for_current();
    let Some(_permit) = controller.command_parser.permit(request.body.len()) else { return unavailable() };
    let mut command = Command::new(operation);
    // An applied command is not parsed again. Others are parsed without holding the state lock.
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
        // The command may still be committed later. The operator can safely retry it with the same bytes.
        RequestOutcome::Unknown => unavailable(),
    }
}

/// Proposes the command once no other one is uncommitted. Returns the number of the proposal, or the
/// response if the command was not proposed.
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
        // A caller that has disconnected may have retried at another controller. Applying the command late
        // could undo commands that were committed in between.
        if now >= deadline || request.has_caller_disconnected() {
            return Err(unavailable());
        }
        match try_propose(controller, now, path, command, is_confirmed, waiter) {
            ProposeAttempt::Proposed(number) => return Ok(number),
            ProposeAttempt::Response(reply) => return Err(reply),
            ProposeAttempt::Unconfirmed => {
                confirm(controller, deadline, path)?;
                // The next attempt decides by the configuration that is committed by then.
                is_confirmed = true;
            }
            ProposeAttempt::Retry => controller.alarms.sleep_until(now + PROPOSE_RETRY_INTERVAL),
        }
    }
}

fn try_propose(
    controller: &Arc<Controller>,
    now: Time,
    path: &str,
    command: &Command,
    is_confirmed: bool,
    waiter: &Arc<QuorumWaiter>,
) -> ProposeAttempt {
    let mut state = controller.state();
    let is_established = state.consensus.is_established_leader();
    if !is_established && state.consensus.leader() != Some(controller.me) {
        return ProposeAttempt::Response(redirect(controller, now, &state, path));
    }
    // Partitioned or just resumed after a pause: another controller may lead already.
    let is_isolated = is_established && !state.consensus.has_quorum_contact(now);
    if is_isolated || state.committed.is_unreadable {
        return ProposeAttempt::Response(unavailable());
    }
    if !is_established || state.consensus.has_uncommitted() {
        return ProposeAttempt::Retry;
    }
    match state.committed.store.apply(command, &controller.settings.zones) {
        CommandOutcome::Accepted(store) => {
            let Some(number) = state.consensus.propose(now, store.encode()) else {
                return ProposeAttempt::Retry;
            };
            state.pending.insert(number, waiter.clone());
            perform_actions(controller, now, &mut state);
            ProposeAttempt::Proposed(number)
        }
        CommandOutcome::Unknown => ProposeAttempt::Response(unavailable()),
        CommandOutcome::AlreadyApplied | CommandOutcome::Rejected(_) if !is_confirmed => {
            ProposeAttempt::Unconfirmed
        }
        CommandOutcome::AlreadyApplied => ProposeAttempt::Response(Response::json(200, "{}")),
        CommandOutcome::Rejected(rejection) => {
            let (status, reason) = (rejection.status(), rejection.to_string());
            info!(status = status, reason = reason; "command rejected");
            ProposeAttempt::Response(error(status, &reason))
        }
    }
}

/// Confirms with the quorum that the state committed on this controller is the newest. Returns the response
/// to send if that fails.
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

/// Returns a redirect to the leader. Returns status 503 if no other leader is known or there is no quorum
/// contact.
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
