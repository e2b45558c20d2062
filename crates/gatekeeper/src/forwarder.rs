//! Forwards requests to workers: sends the attempts that the dispatcher returns, reports their outcomes and
//! executes the next steps.
//!
//! An attempt is reported as never run only if no connection was established, if the connection ended before
//! the kernel had taken the whole message, or if the worker's reply says so.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use lynxstair::state::AttemptKey;
use lynxstair::types::{Outcome, Time, WorkerId};
use lynxstair_cluster::UsageLog;
use lynxstair_dispatch::{Cancellation, Dispatcher, FinalReply, NextStep};
use lynxstair_net::clock::Clock;
use lynxstair_net::connection::ReadOutcome;
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::http::{self, Extent, MAX_BODY_BYTES, RequestMethod, ResponseHead, StreamState};
use lynxstair_net::ring_buffer::RingBuffer;
use lynxstair_net::wake_timer::WakeTimer;

use crate::client_connection::ClientConnection;
use crate::worker_connection::{ClientAssignment, Job, WorkerConnection, attempt_key};
use crate::worker_pool::{PoolConnection, WorkerPool};

/// Headers of a worker's reply that are not relayed to the client.
const HIDDEN_HEADERS: [&str; 3] = ["x-allowance-used", "server-load", "not-started"];

/// Dispatcher of client requests.
pub type ClientDispatcher = Dispatcher<Arc<ClientConnection>>;

/// Forwards requests to workers.
pub struct Forwarder {
    clock: Clock,
    wake_timer: Arc<WakeTimer>,
    dispatcher: Arc<ClientDispatcher>,
    /// Connections to workers.
    pub pool: WorkerPool,
    /// Connection of each attempt in flight.
    in_flight: Mutex<HashMap<AttemptKey, Arc<WorkerConnection>>>,
    /// Log of the usage of successful requests; set if the cluster exports it.
    pub usage_log: OnceLock<Arc<UsageLog>>,
}

/// A complete reply at the front of the buffer of a worker connection.
struct WorkerReply<'a> {
    worker: &'a WorkerConnection,
    extent: &'a Extent,
}

/// Result of an attempt according to the worker's reply.
struct ReplyReport {
    outcome: Outcome,
    /// Fraction of the tenant's rate that all gatekeepers used.
    quota_used: Option<f32>,
}

impl ReplyReport {
    fn new(head: &ResponseHead) -> Self {
        let never_ran = head.headers.get("not-started") == Some("1");
        let outcome = match head.status {
            200 => Outcome::Succeeded,
            503 | 504 if never_ran => Outcome::Full,
            _ => Outcome::Errored,
        };
        let percent = head.headers.get("x-allowance-used").and_then(|used| used.parse::<f32>().ok());
        let quota_used = percent.filter(|percent| percent.is_finite()).map(|percent| percent / 100.0);
        ReplyReport { outcome, quota_used }
    }
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(
        clock: Clock,
        wake_timer: Arc<WakeTimer>,
        dispatcher: Arc<ClientDispatcher>,
        pool: WorkerPool,
    ) -> Self {
        Forwarder {
            clock,
            wake_timer,
            dispatcher,
            pool,
            in_flight: Mutex::default(),
            usage_log: OnceLock::new(),
        }
    }

    fn in_flight(&self) -> MutexGuard<'_, HashMap<AttemptKey, Arc<WorkerConnection>>> {
        self.in_flight.lock().unwrap_or_else(|e| e.into_inner())
    }

    // ---- attempts ----

    /// Sends an attempt. If that fails, executes the next step, which may be another attempt.
    pub fn forward(self: &Arc<Self>, assignment: ClientAssignment) {
        let mut next = Some(assignment);
        while let Some(assignment) = next {
            let now = self.clock.now();
            let job = Job::Attempt { assignment: assignment.clone(), sent_at: now };
            match self.pool.assign(now, assignment.worker, job) {
                PoolConnection::Idle(idle) => {
                    self.in_flight().insert(attempt_key(&assignment), idle.clone());
                    if idle.send(self.clock.now()).is_ok() {
                        return;
                    }
                    // The worker has not received the whole message, so it is safe to use another connection.
                    idle.connection.close();
                    if self.take_job(&idle).is_none() {
                        return;
                    }
                    next = Some(assignment);
                }
                PoolConnection::New(new) => {
                    self.in_flight().insert(attempt_key(&assignment), new.clone());
                    return self.run_new(new);
                }
                PoolConnection::None => {
                    next = self.end_attempt(&assignment, Outcome::ConnectFailed, now, None, None);
                }
            }
        }
    }

    /// Aborts an attempt in flight and closes its connection at once.
    pub fn abort(self: &Arc<Self>, attempt: &Cancellation<Arc<ClientConnection>>, outcome: Outcome) {
        let key = (attempt.request_id, attempt.attempt);
        let Some(worker_connection) = self.in_flight().get(&key).cloned() else { return };
        if !worker_connection.carries(key) {
            return;
        }
        // A timed-out attempt that the kernel has not taken completely never ran.
        let is_unsent = outcome == Outcome::TimedOut && !worker_connection.is_sent();
        worker_connection.connection.close();
        self.end_job(&worker_connection, if is_unsent { Outcome::ConnectFailed } else { outcome });
    }

    /// Reports the end of an attempt and executes the next step. A further attempt is returned for the caller
    /// to send.
    fn end_attempt(
        self: &Arc<Self>,
        ended: &ClientAssignment,
        outcome: Outcome,
        sent_at: Time,
        quota_used: Option<f32>,
        reply: Option<&WorkerReply>,
    ) -> Option<ClientAssignment> {
        let now = self.clock.now();
        let (next, cancelled) = self.dispatcher.report(now, ended, outcome, now - sent_at, quota_used);
        for attempt in &cancelled {
            self.abort(attempt, Outcome::Cancelled);
        }
        match (next, reply) {
            (NextStep::Relay(client), Some(reply)) => self.relay(&client, ended, reply),
            (NextStep::Relay(client), None) => client.reply(ended.request_id, FinalReply::Errored),
            (NextStep::Reply(client, reply), _) => client.reply(ended.request_id, reply),
            (NextStep::Retry(retry), _) => return Some(retry),
            (NextStep::Nothing, _) => {}
        }
        self.wake_timer.wake_by(self.dispatcher.next_due());
        None
    }

    /// Relays the worker's complete reply to the client.
    fn relay(&self, client: &ClientConnection, assignment: &ClientAssignment, reply: &WorkerReply) {
        let mut inbound = reply.worker.connection.inbound();
        let bytes = inbound.bytes();
        let head = http::parse_response_head(&bytes[..reply.extent.head], RequestMethod::Other);
        let Ok(Some(head)) = head else { return };
        let body = &bytes[reply.extent.body.clone()];
        client.finish(assignment.request_id, |out, keep_alive| {
            // Recorded before the reply is written, so that no delivered reply lacks its record if the
            // process ends.
            if let Some(usage_log) = self.usage_log.get() {
                let usage = &assignment.usage;
                usage_log.record(self.clock.now(), usage.tenant.0, usage.operation.0, usage.units);
            }
            write_reply(out, &head, body, keep_alive)
        });
    }

    // ---- health checks ----

    /// Sends a health check to a worker.
    pub fn check_health(self: &Arc<Self>, worker: WorkerId) {
        loop {
            let now = self.clock.now();
            match self.pool.assign(now, worker, Job::HealthCheck { sent_at: now }) {
                PoolConnection::Idle(idle) => {
                    self.start_timeout(&idle, now);
                    if idle.send(self.clock.now()).is_ok() {
                        return;
                    }
                    idle.connection.close();
                    if idle.take_job().is_none() {
                        return;
                    }
                }
                PoolConnection::New(new) => return self.run_new(new),
                PoolConnection::None => {
                    return self.dispatcher.on_health_check(now, worker, Outcome::ConnectFailed);
                }
            }
        }
    }

    fn start_timeout(&self, worker_connection: &Arc<WorkerConnection>, now: Time) {
        let due = self.pool.start_timeout(now, worker_connection);
        self.wake_timer.wake_by(due);
    }

    /// Closes connections that were not established in time or whose health check timed out.
    pub fn tick(self: &Arc<Self>, now: Time) {
        while let Some(timed_out) = self.pool.pop_timed_out(now) {
            let outcome = if timed_out.is_connected() { Outcome::TimedOut } else { Outcome::ConnectFailed };
            timed_out.connection.close();
            self.end_job(&timed_out, outcome);
        }
    }

    // ---- jobs ----

    fn take_job(&self, worker_connection: &Arc<WorkerConnection>) -> Option<Job> {
        let job = worker_connection.take_job();
        if let Some(Job::Attempt { assignment, .. }) = &job {
            self.in_flight().remove(&attempt_key(assignment));
        }
        job
    }

    /// Ends the job of a connection without a reply.
    fn end_job(self: &Arc<Self>, worker_connection: &Arc<WorkerConnection>, outcome: Outcome) {
        match self.take_job(worker_connection) {
            Some(Job::Attempt { assignment, sent_at }) => {
                if let Some(retry) = self.end_attempt(&assignment, outcome, sent_at, None, None) {
                    self.forward(retry);
                }
            }
            Some(Job::HealthCheck { .. }) => self.end_health_check(worker_connection.worker, outcome),
            None => {}
        }
    }

    fn end_health_check(&self, worker: WorkerId, outcome: Outcome) {
        self.dispatcher.on_health_check(self.clock.now(), worker, outcome);
        self.wake_timer.wake_by(self.dispatcher.next_due());
    }

    // ---- connections ----

    /// Runs a connection that is being established in a new coroutine.
    fn run_new(self: &Arc<Self>, new: Arc<WorkerConnection>) {
        self.start_timeout(&new, self.clock.now());
        let (forwarder, running, this) = (self.clone(), new.clone(), self.clone());
        let run = move || forwarder.run(&running);
        spawn_then("a worker", run, move |has_panicked| this.on_connection_ended(&new, has_panicked));
    }

    fn run(self: &Arc<Self>, worker: &Arc<WorkerConnection>) {
        if worker.connection.wait_connected().is_err() {
            return;
        }
        worker.set_connected();
        // A connection without a job can take the next one.
        if !worker.has_job() {
            self.pool.release(self.clock.now(), worker);
        } else if !self.pool.accepts_jobs(worker.worker) || worker.send(self.clock.now()).is_err() {
            return;
        }
        loop {
            let stream = match worker.connection.read() {
                ReadOutcome::Bytes => StreamState::Open,
                ReadOutcome::End => StreamState::Ended,
                ReadOutcome::Broken | ReadOutcome::OutOfMemory => StreamState::Broken,
            };
            if !self.handle_replies(worker, stream) || stream != StreamState::Open {
                return;
            }
        }
    }

    fn on_connection_ended(self: &Arc<Self>, ended: &Arc<WorkerConnection>, has_panicked: bool) {
        ended.connection.close();
        self.pool.on_ended(ended);
        let may_have_run = has_panicked || ended.is_sent();
        self.end_job(ended, if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed });
    }

    /// Handles the reply if it is complete. Returns `false` if the connection must be closed.
    fn handle_replies(self: &Arc<Self>, worker: &Arc<WorkerConnection>, stream: StreamState) -> bool {
        loop {
            let mut inbound = worker.connection.inbound();
            if inbound.is_empty() {
                return true;
            }
            let bytes = inbound.bytes();
            // Neither attempts nor health checks use `HEAD`.
            let method = RequestMethod::Other;
            let extent = match http::response_extent(bytes, method, stream, MAX_BODY_BYTES) {
                Ok(Some(extent)) => extent,
                Ok(None) => return true,
                Err(_) => {
                    drop(inbound);
                    self.end_job(worker, Outcome::Errored);
                    return false;
                }
            };
            let Ok(Some(head)) = http::parse_response_head(&bytes[..extent.head], method) else {
                return false;
            };
            if head.is_interim() {
                inbound.consume(extent.total);
                continue;
            }
            let report = ReplyReport::new(&head);
            drop(inbound);
            return self.handle_reply(worker, stream, &extent, &report);
        }
    }

    fn handle_reply(
        self: &Arc<Self>,
        worker: &Arc<WorkerConnection>,
        stream: StreamState,
        extent: &Extent,
        report: &ReplyReport,
    ) -> bool {
        // An unsolicited reply could be taken for the reply to the next job.
        let Some(job) = self.take_job(worker) else { return false };
        let outcome = report.outcome;
        let retry = match job {
            Job::Attempt { assignment, sent_at } => {
                let reply = WorkerReply { worker, extent };
                self.end_attempt(&assignment, outcome, sent_at, report.quota_used, Some(&reply))
            }
            Job::HealthCheck { .. } => {
                let outcome = if outcome == Outcome::Errored { Outcome::Full } else { outcome };
                self.end_health_check(worker.worker, outcome);
                None
            }
        };
        let is_clean = {
            let mut inbound = worker.connection.inbound();
            inbound.consume(extent.total);
            inbound.is_empty()
        };
        let keep = extent.keep_alive && is_clean && stream == StreamState::Open;
        if keep {
            self.pool.release(self.clock.now(), worker);
        }
        if let Some(assignment) = retry {
            self.forward(assignment);
        }
        keep
    }
}

fn write_reply(out: &mut RingBuffer, head: &ResponseHead, body: &[u8], keep_alive: bool) -> io::Result<()> {
    write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n", body.len())?;
    if !keep_alive {
        out.write_all(b"Connection: close\r\n")?;
    }
    for (name, value) in head.headers.end_to_end() {
        if !HIDDEN_HEADERS.iter().any(|hidden| name.eq_ignore_ascii_case(hidden)) {
            http::write_header(out, name, value)?;
        }
    }
    out.write_all(b"\r\n")?;
    out.write_all(body)
}
