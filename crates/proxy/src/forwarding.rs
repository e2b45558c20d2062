//! One attempt of a request at one worker, on sockets: `lynxstair_routing::attempt` decides, this reports what happened.

use std::sync::Arc;

use lynxstair::types::{Outcome, Time};
use lynxstair_net::alarms::Alarms;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::http::StreamState;
use lynxstair_routing::attempt::{Attempt, AttemptEnd, AttemptEvent, AttemptState, AttemptStep, StopReason};
use lynxstair_routing::execution::Execution;
use lynxstair_routing::locality_balancer::Worker;

use crate::cancellation::CancelToken;
use crate::outgoing_request::OutgoingRequest;
use crate::worker_pool::{WorkerConnection, WorkerPool, idle_time};
use crate::worker_reply::{FoundReply, WorkerReply, find_reply};

/// What an attempt came to.
pub struct AttemptResult {
    /// Whether the request may have run.
    pub execution: Execution,
    /// What the decision module is told.
    pub outcome: Outcome,
    /// The worker's reply, where it may be relayed.
    pub reply: Option<WorkerReply>,
}

/// How long a reply is waited for, and for whom.
struct Wait<'a> {
    alarms: &'a Alarms,
    deadline: Time,
    cancel: &'a CancelToken,
}

impl Wait<'_> {
    /// Why no more is waited for, as the connection stands.
    fn stop_reason(&self, stop: StreamState) -> Option<StopReason> {
        let cancelled = self.cancel.stop_reason();
        match stop {
            StreamState::Open if cancelled.is_some() => cancelled,
            StreamState::Open if self.alarms.now() >= self.deadline => Some(StopReason::DeadlineReached),
            StreamState::Open => None,
            StreamState::Ended | StreamState::Broken => Some(StopReason::ConnectionLost),
        }
    }
}

impl WorkerPool {
    /// Makes one attempt of a request at a worker. It is given up at the deadline.
    pub fn forward(
        &self,
        alarms: &Alarms,
        worker: &Arc<Worker>,
        request: &OutgoingRequest,
        deadline: Time,
        cancel: &CancelToken,
    ) -> AttemptResult {
        if let Some(reason) = cancel.stop_reason() {
            return unsent(AttemptEvent::Stopped { reason, has_partial_reply: false });
        }
        let Some(opened) = self.connect(alarms, worker, deadline, cancel) else {
            return unsent(match cancel.stop_reason() {
                Some(reason) => AttemptEvent::Stopped { reason, has_partial_reply: false },
                None => AttemptEvent::NoConnection,
            });
        };
        let WorkerConnection { connection, is_new } = opened;
        // It may have taken long to come up, and this process may have been stalled.
        let now = alarms.now();
        if now >= deadline || cancel.stop_reason().is_some() || !(request.may_forward)(now) {
            self.discard(&connection);
            return unsent(AttemptEvent::SendNotPermitted);
        }
        let mut attempt = Attempt::new(is_new);
        let time_left_ms = (deadline - now).nanos() / 1_000_000;
        let mut is_complete = false;
        let written = connection.write(|out| {
            request.write(out, worker, time_left_ms)?;
            is_complete = true;
            Ok(())
        });
        let end = if written.is_err() && !is_complete {
            // Too large for what may be buffered: nothing of it went out.
            attempt.on_event(AttemptEvent::NoConnection)
        } else {
            alarms.wake_connection(deadline, &connection);
            let wait = Wait { alarms, deadline, cancel };
            match self.await_reply(&wait, worker, &connection, request.attempt_id, &mut attempt) {
                Ok(result) => return result,
                Err(event) => attempt.on_event(event),
            }
        };
        self.discard(&connection);
        without_reply(end)
    }

    /// Waits for the request's own reply. The error is what ended the attempt without one.
    fn await_reply(
        &self,
        wait: &Wait,
        worker: &Arc<Worker>,
        connection: &Arc<Connection>,
        attempt_id: &str,
        attempt: &mut Attempt,
    ) -> Result<AttemptResult, AttemptEvent> {
        loop {
            let mut stop = stop_of(connection.read());
            let reason = wait.stop_reason(stop);
            if reason.is_some() {
                // A process that was paused is woken by the deadline before the reply that came in time: what the
                // kernel holds is read before anything is concluded.
                stop = read_all(connection).unwrap_or(stop);
            }
            if attempt.state() < AttemptState::Sent {
                attempt.on_event(AttemptEvent::Written { is_complete: connection.unsent() == 0 });
            }
            loop {
                // A statement of its own: the buffer is not locked any more when the reply is handled.
                let found = find_reply(&mut connection.inbound(), attempt_id, stop)?;
                let Some(found) = found else { break };
                match attempt.on_event(AttemptEvent::Reply(found.head)) {
                    AttemptStep::Ended(end) => return Ok(self.finish(wait, worker, connection, found, end)),
                    AttemptStep::Continue | AttemptStep::SkipReply if found.remaining > 0 => break,
                    AttemptStep::Continue | AttemptStep::SkipReply => {
                        connection.inbound().consume(found.extent.total);
                    }
                }
            }
            if let Some(reason) = reason {
                let has_partial_reply = !connection.inbound().is_empty();
                return Err(AttemptEvent::Stopped { reason, has_partial_reply });
            }
        }
    }

    /// The attempt has ended with a reply.
    fn finish(
        &self,
        wait: &Wait,
        worker: &Arc<Worker>,
        connection: &Arc<Connection>,
        found: FoundReply,
        end: AttemptEnd,
    ) -> AttemptResult {
        let reusable_until = end.keep_connection.then(|| wait.alarms.now() + idle_time(found.keep_alive));
        let reply = WorkerReply {
            connection: connection.clone(),
            worker: worker.clone(),
            status: found.head.status,
            extent: found.extent,
            remaining: found.remaining,
            reusable_until,
        };
        let result = without_reply(AttemptStep::Ended(end));
        match end.execution {
            Execution::Ran | Execution::Failed => AttemptResult { reply: Some(reply), ..result },
            Execution::NeverRan | Execution::MayHaveRun => {
                self.release(reply);
                result
            }
        }
    }
}

fn stop_of(got: ReadOutcome) -> StreamState {
    match got {
        ReadOutcome::Bytes => StreamState::Open,
        ReadOutcome::End => StreamState::Ended,
        ReadOutcome::Broken => StreamState::Broken,
    }
}

/// Reads all that the kernel holds; how the connection has ended, if it has.
fn read_all(connection: &Connection) -> Option<StreamState> {
    while let Some(got) = connection.try_read() {
        if got != ReadOutcome::Bytes {
            return Some(stop_of(got));
        }
    }
    None
}

/// An attempt that ended without a reply to relay.
fn without_reply(step: AttemptStep) -> AttemptResult {
    let (execution, outcome) = match step {
        AttemptStep::Ended(AttemptEnd { execution, outcome, .. }) => (execution, outcome),
        // An attempt whose connection is given up has ended.
        AttemptStep::Continue | AttemptStep::SkipReply => (Execution::MayHaveRun, Outcome::Errored),
    };
    AttemptResult { execution, outcome, reply: None }
}

/// An attempt of which nothing was sent.
fn unsent(event: AttemptEvent) -> AttemptResult {
    without_reply(Attempt::new(true).on_event(event))
}
