//! One attempt of a request at one worker, on sockets: `lynxstair_routing::attempt` decides, this reports what happened.

use std::sync::Arc;

use lynxstair::types::{Outcome, Time};
use lynxstair_net::alarms::Alarms;
use lynxstair_net::conn::{Conn, Got};
use lynxstair_net::http::Stop;
use lynxstair_routing::attempt::{Attempt, AttemptEnd, AttemptEvent, AttemptState, AttemptStep, StopReason};
use lynxstair_routing::execution::Execution;
use lynxstair_routing::locality_balancer::Worker;

use crate::cancellation::CancelToken;
use crate::outgoing_request::OutgoingRequest;
use crate::worker_pool::{WorkerPool, idle_time};
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
    fn stop_reason(&self, stop: Stop) -> Option<StopReason> {
        match stop {
            Stop::Open if self.cancel.is_cancelled() => Some(StopReason::ClientGone),
            Stop::Open if self.alarms.now() >= self.deadline => Some(StopReason::DeadlineReached),
            Stop::Open => None,
            Stop::Orderly | Stop::Broken => Some(StopReason::ConnectionLost),
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
        let cancelled = AttemptEvent::Stopped { reason: StopReason::ClientGone, has_partial_reply: false };
        if cancel.is_cancelled() {
            return unsent(cancelled);
        }
        let Some(connection) = self.connect(alarms, worker, deadline, cancel) else {
            return unsent(if cancel.is_cancelled() { cancelled } else { AttemptEvent::NoConnection });
        };
        let conn = connection.conn;
        // It may have taken long to come up, and this process may have stood still.
        let now = alarms.now();
        if now >= deadline || cancel.is_cancelled() || !(request.may_forward)(now) {
            self.discard(&conn);
            return unsent(AttemptEvent::Withheld);
        }
        let mut attempt = Attempt::new(connection.is_new);
        let time_left_ms = (deadline - now).nanos() / 1_000_000;
        let mut is_complete = false;
        let written = conn.write(|out| {
            request.write(out, worker, time_left_ms)?;
            is_complete = true;
            Ok(())
        });
        let end = if written.is_err() && !is_complete {
            // Too large for what may be buffered: nothing of it went out.
            attempt.on_event(AttemptEvent::NoConnection)
        } else {
            alarms.nudge(deadline, &conn);
            let wait = Wait { alarms, deadline, cancel };
            match self.await_reply(&wait, worker, &conn, request.attempt_id, &mut attempt) {
                Ok(result) => return result,
                Err(event) => attempt.on_event(event),
            }
        };
        self.discard(&conn);
        without_reply(end)
    }

    /// Waits for the request's own reply. The error is what ended the attempt without one.
    fn await_reply(
        &self,
        wait: &Wait,
        worker: &Arc<Worker>,
        conn: &Arc<Conn>,
        attempt_id: &str,
        attempt: &mut Attempt,
    ) -> Result<AttemptResult, AttemptEvent> {
        loop {
            let mut stop = stop_of(conn.read());
            let reason = wait.stop_reason(stop);
            if reason.is_some() {
                // A process that stood still is woken by the deadline before the reply that came in time: what the
                // kernel holds is read before anything is concluded.
                stop = read_all(conn).unwrap_or(stop);
            }
            if attempt.state() < AttemptState::Sent {
                attempt.on_event(AttemptEvent::Taken { all: conn.unsent() == 0 });
            }
            loop {
                // A statement of its own: the buffer is not locked any more when the reply is handled.
                let found = find_reply(&mut conn.inbound(), attempt_id, stop)?;
                let Some(found) = found else { break };
                match attempt.on_event(AttemptEvent::Reply(found.head)) {
                    AttemptStep::Ended(end) => return Ok(self.finish(wait, worker, conn, found, end)),
                    AttemptStep::Continue | AttemptStep::SkipReply if found.remaining > 0 => break,
                    AttemptStep::Continue | AttemptStep::SkipReply => {
                        conn.inbound().consume(found.extent.all);
                    }
                }
            }
            if let Some(reason) = reason {
                let has_partial_reply = !conn.inbound().is_empty();
                return Err(AttemptEvent::Stopped { reason, has_partial_reply });
            }
        }
    }

    /// The attempt has ended with a reply.
    fn finish(
        &self,
        wait: &Wait,
        worker: &Arc<Worker>,
        conn: &Arc<Conn>,
        found: FoundReply,
        end: AttemptEnd,
    ) -> AttemptResult {
        let reusable_until = end.keep_connection.then(|| wait.alarms.now() + idle_time(found.keep_alive));
        let reply = WorkerReply {
            conn: conn.clone(),
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

fn stop_of(got: Got) -> Stop {
    match got {
        Got::Bytes => Stop::Open,
        Got::End => Stop::Orderly,
        Got::Broken => Stop::Broken,
    }
}

/// Reads all that the kernel holds; how the connection has ended, if it has.
fn read_all(conn: &Conn) -> Option<Stop> {
    while let Some(got) = conn.look() {
        if got != Got::Bytes {
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
