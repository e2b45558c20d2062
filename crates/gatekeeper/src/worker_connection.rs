//! One connection to a worker, and the job that it carries: an attempt of a request, or a health check.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::state::AttemptKey;
use lynxstair::types::{Time, WorkerId};
use lynxstair_dispatch::Assignment;
use lynxstair_net::connection::Connection;
use lynxstair_net::http::{self, RequestHead};
use lynxstair_net::ring_buffer::RingBuffer;

use crate::client_connection::ClientConnection;

/// The name that workers know the service by.
const SERVICE: &str = "origin.svc";

/// An attempt of a client's request.
pub type ClientAssignment = Assignment<Arc<ClientConnection>>;

/// What a connection is used for at the moment.
pub enum Job {
    /// An attempt.
    Attempt {
        /// Which one.
        assignment: ClientAssignment,
        /// When it began.
        sent_at: Time,
    },
    /// A health check.
    HealthCheck {
        /// When it began.
        sent_at: Time,
    },
}

struct State {
    is_connected: bool,
    job: Option<Job>,
    /// The message of the job is in the buffer or beyond.
    is_written: bool,
    idle_since: Time,
}

/// One connection to a worker.
pub struct WorkerConnection {
    /// The worker.
    pub worker: WorkerId,
    /// Its socket.
    pub connection: Connection,
    state: Mutex<State>,
}

/// The key of an assignment's attempt.
pub fn attempt_key(assignment: &ClientAssignment) -> AttemptKey {
    (assignment.request_id, assignment.attempt)
}

impl WorkerConnection {
    /// A connection that is being opened, for a job.
    pub fn new(now: Time, worker: WorkerId, connection: Connection, job: Job) -> Self {
        let state = State { is_connected: false, job: Some(job), is_written: false, idle_since: now };
        WorkerConnection { worker, connection, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// It is connected.
    pub fn set_connected(&self) {
        self.state().is_connected = true;
    }

    /// Whether it is connected.
    pub fn is_connected(&self) -> bool {
        self.state().is_connected
    }

    /// Since when it has had no job.
    pub fn idle_since(&self) -> Time {
        self.state().idle_since
    }

    /// It has no job from now on.
    pub fn set_idle(&self, now: Time) {
        self.state().idle_since = now;
    }

    /// Gives an idle connection a job.
    pub fn assign(&self, job: Job) {
        let mut state = self.state();
        state.job = Some(job);
        state.is_written = false;
    }

    /// Takes its job away.
    pub fn take_job(&self) -> Option<Job> {
        self.state().job.take()
    }

    /// Whether it has a job.
    pub fn has_job(&self) -> bool {
        self.state().job.is_some()
    }

    /// Whether it carries this attempt.
    pub fn carries(&self, key: AttemptKey) -> bool {
        matches!(&self.state().job, Some(Job::Attempt { assignment, .. }) if attempt_key(assignment) == key)
    }

    /// When the health check that it carries was sent.
    pub fn health_check_sent_at(&self) -> Option<Time> {
        match self.state().job {
            Some(Job::HealthCheck { sent_at }) => Some(sent_at),
            _ => None,
        }
    }

    /// Whether the kernel was handed all of the job's message: else the worker never saw a complete one.
    pub fn is_sent(&self) -> bool {
        self.state().is_written && self.connection.unsent() == 0
    }

    /// Writes the message of the job in one piece.
    pub fn send(&self, now: Time) -> io::Result<()> {
        let mut state = self.state();
        state.is_written = true;
        match &state.job {
            Some(Job::Attempt { assignment, .. }) => {
                let left_ms = (assignment.deadline - now).nanos() / 1_000_000;
                let write = |head: &RequestHead, body: &[u8]| {
                    self.connection.write(|out| write_attempt(out, head, body, left_ms))
                };
                // Where the request is answered already, there is nothing to send.
                let written = assignment.context.with_message(assignment.request_id, write);
                written.unwrap_or(Err(io::ErrorKind::NotFound.into()))
            }
            Some(Job::HealthCheck { .. }) => {
                let write =
                    |out: &mut RingBuffer| write!(out, "GET /alive HTTP/1.1\r\nHost: {SERVICE}\r\n\r\n");
                self.connection.write(write)
            }
            None => Ok(()),
        }
    }
}

/// Writes the client's message as the worker gets it: unchanged but for the time left and what belongs to one connection.
fn write_attempt(out: &mut RingBuffer, head: &RequestHead, body: &[u8], left_ms: u64) -> io::Result<()> {
    write!(out, "{} {} HTTP/1.1\r\nRequest-Timeout-Ms: {left_ms}\r\n", head.method, head.target)?;
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
