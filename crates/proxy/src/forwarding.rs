//! I/O of one attempt of a request at one worker. `lynxstair_routing::attempt` is the state machine that
//! decides its result; this module reports events to it.

use std::sync::Arc;

use lynxstair::types::{Outcome, Time};
use lynxstair_net::alarms::Alarms;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::http::{RequestMethod, StreamState};
use lynxstair_routing::attempt::{Attempt, AttemptEnd, AttemptEvent, AttemptState, AttemptStep, StopReason};
use lynxstair_routing::execution::Execution;
use lynxstair_routing::locality_balancer::Worker;

use crate::cancellation::CancelToken;
use crate::outgoing_request::OutgoingRequest;
use crate::worker_pool::{MAX_BUFFER_BYTES, WorkerConnection, WorkerPool, max_idle_time};
use crate::worker_reply::{FoundReply, MAX_FIRST_READ_BYTES, WorkerReply, find_reply};

/// Result of an attempt.
pub struct AttemptResult {
    /// Execution state of the request.
    pub execution: Execution,
    /// Outcome to report to the load balancer.
    pub outcome: Outcome,
    /// Reply of the worker, if it may be relayed.
    pub reply: Option<WorkerReply>,
}

/// Conditions that end the wait for a reply.
struct ReplyWait<'a> {
    alarms: &'a Alarms,
    deadline: Time,
    cancel: &'a CancelToken,
    /// Length of the request that the reply belongs to, head included.
    request_bytes: usize,
}

impl ReplyWait<'_> {
    /// Returns why the wait ends, or `None` if it goes on.
    fn stop_reason(&self, stream: StreamState) -> Option<StopReason> {
        let cancelled = self.cancel.stop_reason();
        match stream {
            StreamState::Open if cancelled.is_some() => cancelled,
            StreamState::Open if self.alarms.now() >= self.deadline => Some(StopReason::DeadlineReached),
            StreamState::Open => None,
            StreamState::Ended | StreamState::Broken => Some(StopReason::ConnectionLost),
        }
    }
}

impl WorkerPool {
    /// Makes one attempt of a request at a worker. It ends at the deadline or on cancellation at the latest.
    pub fn forward(
        &self,
        alarms: &Alarms,
        worker: &Arc<Worker>,
        request: &OutgoingRequest,
        deadline: Time,
        cancel: &CancelToken,
    ) -> AttemptResult {
        if let Some(reason) = cancel.stop_reason() {
            return result_unsent(AttemptEvent::Stopped(reason));
        }
        let Some(opened) = self.connect(alarms, worker, deadline, cancel) else {
            return result_unsent(match cancel.stop_reason() {
                Some(reason) => AttemptEvent::Stopped(reason),
                None => AttemptEvent::NoConnection,
            });
        };
        let WorkerConnection { connection, is_new } = opened;
        // The connect may have taken long, or this process may have been paused meanwhile.
        let now = alarms.now();
        if now >= deadline || cancel.stop_reason().is_some() || !(request.may_forward)(now) {
            self.discard(&connection);
            return result_unsent(AttemptEvent::SendNotPermitted);
        }
        let mut attempt = Attempt::new(is_new);
        connection.inbound().set_max_len(MAX_FIRST_READ_BYTES);
        let time_left_ms = (deadline - now).nanos() / 1_000_000;
        let mut request_bytes = None;
        // A failed write is seen by the read that follows.
        let _ = connection.write(|out| {
            request.write(out, worker, time_left_ms)?;
            request_bytes = Some(out.len());
            Ok(())
        });
        let end = match request_bytes {
            // The request does not fit into the send buffer; nothing was sent.
            None => attempt.on_event(AttemptEvent::NoConnection),
            Some(request_bytes) => {
                alarms.wake_connection(deadline, &connection);
                let wait = ReplyWait { alarms, deadline, cancel, request_bytes };
                match self.await_reply(&wait, worker, &connection, request, &mut attempt) {
                    Ok(result) => return result,
                    Err(event) => attempt.on_event(event),
                }
            }
        };
        self.discard(&connection);
        result_without_reply(end)
    }

    /// Waits for the reply to this attempt. The error is the event that ends the attempt without a reply.
    fn await_reply(
        &self,
        wait: &ReplyWait,
        worker: &Arc<Worker>,
        connection: &Arc<Connection>,
        request: &OutgoingRequest,
        attempt: &mut Attempt,
    ) -> Result<AttemptResult, AttemptEvent> {
        let method = RequestMethod::from(request.head.method);
        loop {
            let mut stream = stream_state(connection.read());
            let reason = wait.stop_reason(stream);
            if reason.is_some() {
                // After a pause of the process, the deadline may wake it before a reply that arrived in time
                // was read. So everything in the kernel's receive buffer is read first.
                connection.inbound().set_max_len(MAX_BUFFER_BYTES);
                stream = read_all(connection).unwrap_or(stream);
            }
            let unsent = connection.unsent();
            // A connection that the worker has closed before may take no byte at all.
            if attempt.state() < AttemptState::Sent && unsent < wait.request_bytes {
                attempt.on_event(AttemptEvent::Written { is_complete: unsent == 0 });
            }
            loop {
                // A separate statement, so that the buffer is unlocked before the reply is handled.
                let found = find_reply(&mut connection.inbound(), method, request.attempt_id, stream)?;
                let Some(found) = found else { break };
                match attempt.on_event(AttemptEvent::Reply(found.head)) {
                    AttemptStep::Ended(end) => {
                        return Ok(self.finish(wait, worker, connection, method, found, end));
                    }
                    AttemptStep::Continue | AttemptStep::SkipReply if found.remaining > 0 => break,
                    AttemptStep::Continue | AttemptStep::SkipReply => {
                        connection.inbound().consume(found.extent.total);
                    }
                }
            }
            if let Some(reason) = reason {
                return Err(AttemptEvent::Stopped(reason));
            }
            let mut inbound = connection.inbound();
            if inbound.is_full() {
                // A body without a declared length, or a long reply that is not for this attempt.
                inbound.set_max_len(MAX_BUFFER_BYTES);
            }
        }
    }

    /// Builds the result of an attempt that ended with a reply.
    fn finish(
        &self,
        wait: &ReplyWait,
        worker: &Arc<Worker>,
        connection: &Arc<Connection>,
        method: RequestMethod,
        found: FoundReply,
        end: AttemptEnd,
    ) -> AttemptResult {
        let reusable_until = end.keep_connection.then(|| wait.alarms.now() + max_idle_time(found.keep_alive));
        let reply = WorkerReply {
            connection: connection.clone(),
            worker: worker.clone(),
            status: found.head.status,
            method,
            content_length: found.content_length,
            relayed: 0,
            extent: found.extent,
            remaining: found.remaining,
            reusable_until,
        };
        let result = result_without_reply(AttemptStep::Ended(end));
        match end.execution {
            Execution::Ran | Execution::Failed => AttemptResult { reply: Some(reply), ..result },
            Execution::NeverRan | Execution::MayHaveRun => {
                self.release(reply);
                result
            }
        }
    }
}

fn stream_state(outcome: ReadOutcome) -> StreamState {
    match outcome {
        ReadOutcome::Bytes => StreamState::Open,
        ReadOutcome::End => StreamState::Ended,
        ReadOutcome::Broken | ReadOutcome::OutOfMemory => StreamState::Broken,
    }
}

/// Reads everything in the kernel's receive buffer. Returns how the connection has ended, or `None` if it is
/// open.
fn read_all(connection: &Connection) -> Option<StreamState> {
    while let Some(outcome) = connection.try_read() {
        if outcome != ReadOutcome::Bytes {
            return Some(stream_state(outcome));
        }
    }
    None
}

/// Result of an attempt without a reply to relay.
fn result_without_reply(step: AttemptStep) -> AttemptResult {
    let (execution, outcome) = match step {
        AttemptStep::Ended(AttemptEnd { execution, outcome, .. }) => (execution, outcome),
        // Not reached: an attempt has always ended when its connection is discarded.
        AttemptStep::Continue | AttemptStep::SkipReply => (Execution::MayHaveRun, Outcome::Errored),
    };
    AttemptResult { execution, outcome, reply: None }
}

/// Result of an attempt of which nothing was sent.
fn result_unsent(event: AttemptEvent) -> AttemptResult {
    result_without_reply(Attempt::new(true).on_event(event))
}
