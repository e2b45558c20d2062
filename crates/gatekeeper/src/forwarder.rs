//! Forwards requests to workers: makes the attempts that the decisions ask for, reports how they ended, and does what comes
//! next.
//!
//! "Never ran" is reported only where a connection failed with bytes of the message still here, or where the worker said so.

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
use lynxstair_net::http::{self, Extent, MAX_BODY_BYTES, ResponseHead, StreamState};
use lynxstair_net::ring_buffer::RingBuffer;
use lynxstair_net::wake_timer::WakeTimer;

use crate::client_connection::ClientConnection;
use crate::worker_connection::{ClientAssignment, Job, WorkerConnection, attempt_key};
use crate::worker_pool::{Found, WorkerPool};

/// Headers of a worker that are for the gatekeeper alone.
const HIDDEN_HEADERS: [&str; 3] = ["x-allowance-used", "server-load", "not-started"];

/// Decides on the requests of clients.
pub type ClientDispatcher = Dispatcher<Arc<ClientConnection>>;

/// Forwards requests to workers.
pub struct Forwarder {
    clock: Clock,
    wake_timer: Arc<WakeTimer>,
    dispatcher: Arc<ClientDispatcher>,
    /// The connections to workers.
    pub pool: WorkerPool,
    /// The connection that carries each attempt in flight.
    in_flight: Mutex<HashMap<AttemptKey, Arc<WorkerConnection>>>,
    /// Where the use of succeeded requests is recorded, in a cluster that exports it.
    pub usage_log: OnceLock<Arc<UsageLog>>,
}

/// A worker's complete reply at the front of its connection's buffer.
struct WorkerReply<'a> {
    worker: &'a WorkerConnection,
    extent: &'a Extent,
}

/// What a worker's reply says of the attempt.
struct ReplyVerdict {
    outcome: Outcome,
    /// The tenant's use of its rate by all gatekeepers, as a fraction.
    quota_used: Option<f32>,
}

impl ReplyVerdict {
    fn new(head: &ResponseHead) -> Self {
        let never_ran = head.headers.get("not-started") == Some("1");
        let outcome = match head.status {
            200 => Outcome::Succeeded,
            503 | 504 if never_ran => Outcome::Full,
            _ => Outcome::Errored,
        };
        let percent = head.headers.get("x-allowance-used").and_then(|used| used.parse::<f32>().ok());
        let quota_used = percent.filter(|percent| percent.is_finite()).map(|percent| percent / 100.0);
        ReplyVerdict { outcome, quota_used }
    }
}

impl Forwarder {
    /// A forwarder without workers.
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

    /// Makes an attempt; where that fails, does what comes next.
    pub fn forward(self: &Arc<Self>, assignment: ClientAssignment) {
        let mut next = Some(assignment);
        while let Some(assignment) = next {
            let now = self.clock.now();
            let job = Job::Attempt { assignment: assignment.clone(), sent_at: now };
            match self.pool.assign(now, assignment.worker, job) {
                Found::Idle(idle) => {
                    self.in_flight().insert(attempt_key(&assignment), idle.clone());
                    if idle.send(self.clock.now()).is_ok() {
                        return;
                    }
                    // It broke with the last byte still here: this worker never saw it, another connection may.
                    idle.connection.close();
                    if self.take_job(&idle).is_none() {
                        return;
                    }
                    next = Some(assignment);
                }
                Found::New(new) => {
                    self.in_flight().insert(attempt_key(&assignment), new.clone());
                    return self.run_new(new);
                }
                Found::None => {
                    next = self.end_attempt(&assignment, Outcome::ConnectFailed, now, None, None);
                }
            }
        }
    }

    /// Gives up an attempt that is in flight: closes its connection at once.
    pub fn give_up(self: &Arc<Self>, attempt: &Cancellation<Arc<ClientConnection>>, outcome: Outcome) {
        let key = (attempt.request_id, attempt.attempt);
        let Some(carrier) = self.in_flight().get(&key).cloned() else { return };
        if !carrier.carries(key) {
            return;
        }
        // What was not handed over completely never ran, whatever ended it.
        let is_unsent = outcome == Outcome::TimedOut && !carrier.is_sent();
        carrier.connection.close();
        self.end_job(&carrier, if is_unsent { Outcome::ConnectFailed } else { outcome });
    }

    /// Reports the end of an attempt and does what comes next; another attempt is left to the caller.
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
            self.give_up(attempt, Outcome::Cancelled);
        }
        match (next, reply) {
            (NextStep::Relay(client), Some(reply)) => self.relay(&client, ended, reply),
            (NextStep::Relay(client), None) => client.reply(ended.request_id, FinalReply::Errored),
            (NextStep::Reply(client, reply), _) => client.reply(ended.request_id, reply),
            (NextStep::Retry(another), _) => return Some(another),
            (NextStep::Nothing, _) => {}
        }
        self.wake_timer.wake_by(self.dispatcher.next_due());
        None
    }

    /// Gives the worker's reply to the client, completely.
    fn relay(&self, client: &ClientConnection, assignment: &ClientAssignment, reply: &WorkerReply) {
        let mut inbound = reply.worker.connection.inbound();
        let bytes = inbound.bytes();
        let Ok(Some((head, _))) = http::parse_response_head(&bytes[..reply.extent.head]) else { return };
        let body = &bytes[reply.extent.body.clone()];
        client.finish(assignment.request_id, |out, keep_alive| {
            // Before the client can have it: what it is told is on record, however this process ends.
            if let Some(usage_log) = self.usage_log.get() {
                let usage = &assignment.usage;
                usage_log.record(self.clock.now(), usage.tenant.0, usage.operation.0, usage.units);
            }
            write_reply(out, &head, body, keep_alive)
        });
    }

    // ---- health checks ----

    /// Checks a worker's health.
    pub fn check_health(self: &Arc<Self>, worker: WorkerId) {
        loop {
            let now = self.clock.now();
            match self.pool.assign(now, worker, Job::HealthCheck { sent_at: now }) {
                Found::Idle(idle) => {
                    self.watch(&idle, now);
                    if idle.send(self.clock.now()).is_ok() {
                        return;
                    }
                    idle.connection.close();
                    if idle.take_job().is_none() {
                        return;
                    }
                }
                Found::New(new) => return self.run_new(new),
                Found::None => {
                    return self.dispatcher.on_health_check(now, worker, Outcome::ConnectFailed);
                }
            }
        }
    }

    fn watch(&self, watched: &Arc<WorkerConnection>, now: Time) {
        let due = self.pool.watch(now, watched);
        self.wake_timer.wake_by(due);
    }

    /// Gives up connections and health checks that took too long.
    pub fn tick(self: &Arc<Self>, now: Time) {
        while let Some(late) = self.pool.pop_timed_out(now) {
            let outcome = if late.is_connected() { Outcome::TimedOut } else { Outcome::ConnectFailed };
            late.connection.close();
            self.end_job(&late, outcome);
        }
    }

    // ---- jobs ----

    fn take_job(&self, carrier: &Arc<WorkerConnection>) -> Option<Job> {
        let job = carrier.take_job();
        if let Some(Job::Attempt { assignment, .. }) = &job {
            self.in_flight().remove(&attempt_key(assignment));
        }
        job
    }

    /// A job ends without a reply.
    fn end_job(self: &Arc<Self>, carrier: &Arc<WorkerConnection>, outcome: Outcome) {
        match self.take_job(carrier) {
            Some(Job::Attempt { assignment, sent_at }) => {
                if let Some(another) = self.end_attempt(&assignment, outcome, sent_at, None, None) {
                    self.forward(another);
                }
            }
            Some(Job::HealthCheck { .. }) => self.end_health_check(carrier.worker, outcome),
            None => {}
        }
    }

    fn end_health_check(&self, worker: WorkerId, outcome: Outcome) {
        self.dispatcher.on_health_check(self.clock.now(), worker, outcome);
        self.wake_timer.wake_by(self.dispatcher.next_due());
    }

    // ---- connections ----

    /// Runs a connection that is being opened, in a coroutine of its own.
    fn run_new(self: &Arc<Self>, new: Arc<WorkerConnection>) {
        self.watch(&new, self.clock.now());
        let (forwarder, running, this) = (self.clone(), new.clone(), self.clone());
        let run = move || forwarder.run(&running);
        spawn_then("a worker", run, move |has_panicked| this.on_connection_ended(&new, has_panicked));
    }

    fn run(self: &Arc<Self>, worker: &Arc<WorkerConnection>) {
        if worker.connection.wait_connected().is_err() {
            return;
        }
        worker.set_connected();
        // The job may have been given up meanwhile; then the connection is good for the next.
        if !worker.has_job() {
            self.pool.release(self.clock.now(), worker);
        } else if !self.pool.accepts_jobs(worker.worker) || worker.send(self.clock.now()).is_err() {
            return;
        }
        loop {
            let stream = match worker.connection.read() {
                ReadOutcome::Bytes => StreamState::Open,
                ReadOutcome::End => StreamState::Ended,
                ReadOutcome::Broken => StreamState::Broken,
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

    /// Acts on the reply, if it is complete; whether the connection is still good.
    fn handle_replies(self: &Arc<Self>, worker: &Arc<WorkerConnection>, stream: StreamState) -> bool {
        loop {
            let mut inbound = worker.connection.inbound();
            if inbound.is_empty() {
                return true;
            }
            let bytes = inbound.bytes();
            let extent = match http::response_extent(bytes, stream, MAX_BODY_BYTES) {
                Ok(Some(extent)) => extent,
                Ok(None) => return true,
                Err(_) => {
                    drop(inbound);
                    self.end_job(worker, Outcome::Errored);
                    return false;
                }
            };
            let Ok(Some((head, _))) = http::parse_response_head(&bytes[..extent.head]) else { return false };
            if (100..200).contains(&head.status) {
                inbound.consume(extent.total);
                continue;
            }
            let verdict = ReplyVerdict::new(&head);
            drop(inbound);
            return self.handle_reply(worker, stream, &extent, &verdict);
        }
    }

    fn handle_reply(
        self: &Arc<Self>,
        worker: &Arc<WorkerConnection>,
        stream: StreamState,
        extent: &Extent,
        verdict: &ReplyVerdict,
    ) -> bool {
        // What comes unasked can't be told from what is asked next.
        let Some(job) = self.take_job(worker) else { return false };
        let outcome = verdict.outcome;
        let another = match job {
            Job::Attempt { assignment, sent_at } => {
                let reply = WorkerReply { worker, extent };
                self.end_attempt(&assignment, outcome, sent_at, verdict.quota_used, Some(&reply))
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
        if let Some(assignment) = another {
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
