//! A connection to a worker and its current job: an attempt or a health check.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::state::AttemptKey;
use lynxstair::types::{Time, WorkerId};
use lynxstair_dispatch::Assignment;
use lynxstair_net::connection::Connection;
use lynxstair_net::http::{self, RequestHead};
use lynxstair_net::ring_buffer::RingBuffer;

use crate::client_connection::ClientConnection;

/// `Host` header of health checks.
const HOST: &str = "origin.svc";

/// An attempt of a client request.
pub type ClientAssignment = Assignment<Arc<ClientConnection>>;

/// Current use of a connection.
pub enum Job {
    /// Attempt of a request.
    Attempt {
        /// The attempt.
        assignment: ClientAssignment,
        /// Start time.
        sent_at: Time,
    },
    /// Health check.
    HealthCheck {
        /// Start time.
        sent_at: Time,
    },
}

struct State {
    is_connected: bool,
    job: Option<Job>,
    /// `true` once `send` was called for the job.
    is_written: bool,
    idle_since: Time,
}

/// A connection to a worker.
pub struct WorkerConnection {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Socket and buffers.
    pub connection: Connection,
    state: Mutex<State>,
}

/// Key of an attempt.
pub fn attempt_key(assignment: &ClientAssignment) -> AttemptKey {
    (assignment.request_id, assignment.attempt)
}

impl WorkerConnection {
    /// Creates a connection that is being established for `job`.
    pub fn new(now: Time, worker: WorkerId, connection: Connection, job: Job) -> Self {
        let state = State { is_connected: false, job: Some(job), is_written: false, idle_since: now };
        WorkerConnection { worker, connection, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Marks the connection as established.
    pub fn set_connected(&self) {
        self.state().is_connected = true;
    }

    /// Returns `true` if the connection is established.
    pub fn is_connected(&self) -> bool {
        self.state().is_connected
    }

    /// Start of the current idle time.
    pub fn idle_since(&self) -> Time {
        self.state().idle_since
    }

    /// Starts the idle time.
    pub fn set_idle(&self, now: Time) {
        self.state().idle_since = now;
    }

    /// Assigns a job to an idle connection.
    pub fn assign(&self, job: Job) {
        let mut state = self.state();
        state.job = Some(job);
        state.is_written = false;
    }

    /// Removes and returns the job.
    pub fn take_job(&self) -> Option<Job> {
        self.state().job.take()
    }

    /// Returns `true` if the connection has a job.
    pub fn has_job(&self) -> bool {
        self.state().job.is_some()
    }

    /// Returns `true` if the job is the attempt `key`.
    pub fn carries(&self, key: AttemptKey) -> bool {
        matches!(&self.state().job, Some(Job::Attempt { assignment, .. }) if attempt_key(assignment) == key)
    }

    /// Start time of the current health check; `None` if the job is not a health check.
    pub fn health_check_sent_at(&self) -> Option<Time> {
        match self.state().job {
            Some(Job::HealthCheck { sent_at }) => Some(sent_at),
            _ => None,
        }
    }

    /// Returns `true` if `send` was called and the kernel has taken all bytes written. Otherwise the worker
    /// cannot have received the whole message of the job.
    pub fn is_sent(&self) -> bool {
        self.state().is_written && self.connection.unsent() == 0
    }

    /// Writes the whole message of the job. Fails if the connection fails or the client's request is no
    /// longer open.
    pub fn send(&self, now: Time) -> io::Result<()> {
        let mut state = self.state();
        state.is_written = true;
        match &state.job {
            Some(Job::Attempt { assignment, .. }) => {
                let remaining_ms = (assignment.deadline - now).nanos() / 1_000_000;
                let write = |head: &RequestHead, body: &[u8]| {
                    self.connection.write(|out| write_attempt(out, head, body, remaining_ms))
                };
                // `None` if the request has been answered already.
                let written = assignment.context.with_message(assignment.request_id, write);
                written.unwrap_or(Err(io::ErrorKind::NotFound.into()))
            }
            Some(Job::HealthCheck { .. }) => {
                let write = |out: &mut RingBuffer| write!(out, "GET /alive HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
                self.connection.write(write)
            }
            None => Ok(()),
        }
    }
}

/// Writes the client's message for the worker, with the remaining time and without hop-by-hop headers.
fn write_attempt(out: &mut RingBuffer, head: &RequestHead, body: &[u8], remaining_ms: u64) -> io::Result<()> {
    write!(out, "{} {} HTTP/1.1\r\nRequest-Timeout-Ms: {remaining_ms}\r\n", head.method, head.target)?;
    if !body.is_empty() || head.method != "GET" {
        write!(out, "Content-Length: {}\r\n", body.len())?;
    }
    for (name, value) in head.headers.end_to_end() {
        if !name.eq_ignore_ascii_case("request-timeout-ms") {
            http::write_header(out, name, value)?;
        }
    }
    out.write_all(b"\r\n")?;
    out.write_all(body)
}
