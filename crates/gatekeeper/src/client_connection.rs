//! A client connection, which serves one request at a time.
//!
//! The message of a request stays in the inbound buffer until the final reply, as every attempt is written
//! from it.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Request, RequestId, Span, Time};
use lynxstair_dispatch::FinalReply;
use lynxstair_net::clock::Clock;
use lynxstair_net::connection::Connection;
use lynxstair_net::http::{
    self, Extent, HttpError, MAX_BODY_BYTES, MAX_MESSAGE_BYTES, RequestHead, RequestMethod,
};
use lynxstair_net::ring_buffer::RingBuffer;

use crate::lifecycle::Lifecycle;
use crate::open_ids::OpenIds;
use crate::request_parser::{ClientRequest, RequestParser};

/// Time limits for the first request of a connection, and for a message after its first byte.
const FIRST_REQUEST_TIMEOUT: Span = Span::from_millis(2_000);
const MESSAGE_TIMEOUT: Span = Span::from_millis(2_000);
/// Time limit for a client to receive a reply.
const REPLY_TIMEOUT: Span = Span::from_millis(5_000);
/// Limits on the time and on the bytes for which further input is discarded after the last reply.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);
const MAX_DISCARDED_BYTES: usize = MAX_MESSAGE_BYTES;
/// Number of consecutive invalid messages after which the connection is closed. A client that sends them at
/// full speed would take the CPU from the others.
const MAX_BAD_MESSAGES: u32 = 16;

/// State that is shared by all client connections.
pub struct ClientContext {
    /// Clock.
    pub clock: Clock,
    /// Phase of the process.
    pub lifecycle: Arc<Lifecycle>,
    /// Ids of open requests.
    pub open_ids: OpenIds,
    /// Parser of requests.
    pub parser: RequestParser,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// No complete message has been received.
    Waiting,
    /// A request is open and its message is in the buffer.
    Serving(RequestId, Extent),
    /// The last reply has been written.
    Ending,
}

struct State {
    stage: Stage,
    /// Start of the stage.
    since: Time,
    /// Time at which the first part of an incomplete message was read.
    partial_since: Option<Time>,
    /// `true` if `100 Continue` was sent for the incomplete message.
    has_sent_continue: bool,
    /// `true` once a valid request has been received.
    has_sent_request: bool,
    /// Number of consecutive invalid messages.
    bad_messages: u32,
    /// Number of bytes discarded after the last reply.
    discarded: usize,
    /// Hash of the id of the open request.
    open_id: Option<u64>,
}

impl State {
    fn new(now: Time) -> Self {
        State {
            stage: Stage::Waiting,
            since: now,
            partial_since: None,
            has_sent_continue: false,
            has_sent_request: false,
            bad_messages: 0,
            discarded: 0,
            open_id: None,
        }
    }
}

/// Result of looking for a message in the buffer.
pub enum NextMessage {
    /// No message can be handled now: none is complete, a request is open, or the last reply was written.
    None,
    /// A message was answered without forwarding it; another one may follow.
    Handled,
    /// A request to forward, and the position of its message.
    Request(Request, Extent),
}

/// A client connection.
pub struct ClientConnection {
    /// Number of the connection, unique within the process.
    pub number: u64,
    /// Socket and buffers.
    pub connection: Connection,
    opened_at: Time,
    context: Arc<ClientContext>,
    state: Mutex<State>,
}

impl std::fmt::Debug for ClientConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "client {}", self.number)
    }
}

impl ClientConnection {
    /// Wraps a connection that was just accepted.
    pub fn new(number: u64, connection: Connection, context: Arc<ClientContext>) -> Self {
        let opened_at = context.clock.now();
        let state = Mutex::new(State::new(opened_at));
        ClientConnection { number, connection, opened_at, context, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    // ---- queries ----

    /// Returns `true` if no request is open and both buffers are empty.
    pub fn is_idle(&self) -> bool {
        self.state().stage == Stage::Waiting && self.has_empty_buffers()
    }

    fn has_empty_buffers(&self) -> bool {
        self.connection.inbound().is_empty() && self.connection.unsent() == 0
    }

    /// Time since the start of the stage if the connection may be closed to make room for another; otherwise
    /// `None`.
    pub fn idle_time(&self, now: Time) -> Option<Span> {
        let state = self.state();
        let is_evictable = match state.stage {
            Stage::Serving(..) => false,
            Stage::Ending => true,
            Stage::Waiting => !state.has_sent_request || self.has_empty_buffers(),
        };
        is_evictable.then(|| now - state.since)
    }

    /// Identifier of the open request.
    pub fn open_request(&self) -> Option<RequestId> {
        match &self.state().stage {
            Stage::Serving(request, _) => Some(*request),
            Stage::Waiting | Stage::Ending => None,
        }
    }

    // ---- messages ----

    /// Looks for the next message in the buffer, and answers it unless it must be forwarded. A message to be
    /// forwarded stays in the buffer.
    ///
    /// `received_at` returns the earliest time at which a message that is read at a given time may have been
    /// received.
    pub fn next_message(&self, received_at: impl FnOnce(Time) -> Time) -> NextMessage {
        let mut state = self.state();
        let mut inbound = self.connection.inbound();
        match state.stage {
            Stage::Ending => {
                self.discard(&mut state, &mut inbound);
                return NextMessage::None;
            }
            Stage::Serving(..) => return NextMessage::None,
            Stage::Waiting if inbound.is_empty() => return NextMessage::None,
            Stage::Waiting => {}
        }
        let now = self.context.clock.now();
        let bytes = inbound.bytes();
        let extent = match http::request_extent(bytes, MAX_BODY_BYTES) {
            Ok(Some(extent)) => extent,
            Ok(None) => {
                self.on_partial(&mut state, now, bytes);
                return NextMessage::None;
            }
            Err(error) => {
                drop(inbound);
                // The end of a malformed message is unknown, so no further message can be read.
                self.reply_locally(&mut state, RequestMethod::Other, error.status, error.reason, None);
                return NextMessage::None;
            }
        };
        let (method, parsed) = match http::parse_request_head(&bytes[..extent.head]) {
            Ok(Some((head, _))) => (RequestMethod::from(head.method), self.parse(&head, received_at(now))),
            _ => (RequestMethod::Other, Err(HttpError::new(400, "malformed"))),
        };
        drop(inbound);
        state.has_sent_continue = false;
        state.partial_since = None;
        match parsed {
            Ok(Parsed::Request(request, open_id)) => {
                state.open_id = Some(open_id);
                (state.has_sent_request, state.bad_messages) = (true, 0);
                NextMessage::Request(request, extent)
            }
            Ok(Parsed::Readiness) => {
                let is_shutting_down = self.context.lifecycle.is_shutting_down();
                let (status, body) = if is_shutting_down { (503, "leaving\n") } else { (200, "up\n") };
                self.reply_locally(&mut state, method, status, body, Some(&extent));
                NextMessage::Handled
            }
            Err(error) => {
                state.bad_messages += 1;
                let is_last = state.bad_messages >= MAX_BAD_MESSAGES;
                let extent = Some(&extent).filter(|_| !is_last);
                self.reply_locally(&mut state, method, error.status, error.reason, extent);
                NextMessage::Handled
            }
        }
    }

    fn parse(&self, head: &RequestHead, received_at: Time) -> Result<Parsed, HttpError> {
        match self.context.parser.parse(head, received_at)? {
            ClientRequest::Readiness => Ok(Parsed::Readiness),
            ClientRequest::Forward(request, id) => {
                let open_id = self.context.open_ids.open(id);
                let open_id = open_id.ok_or(HttpError::new(409, "an id that is open"))?;
                Ok(Parsed::Request(request, open_id))
            }
        }
    }

    fn discard(&self, state: &mut State, inbound: &mut RingBuffer) {
        let n = inbound.len();
        inbound.consume(n);
        state.discarded += n;
        if state.discarded > MAX_DISCARDED_BYTES {
            self.connection.close();
        }
    }

    /// Handles an incomplete message, and sends `100 Continue` if its head expects it.
    fn on_partial(&self, state: &mut State, now: Time, bytes: &[u8]) {
        state.partial_since.get_or_insert(now);
        if state.has_sent_continue {
            return;
        }
        if let Ok(Some((head, _))) = http::parse_request_head(bytes)
            && head.headers.get("expect").is_some()
        {
            state.has_sent_continue = true;
            let _ = self.connection.write(|out| out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n"));
        }
    }

    /// Opens the request that `next_message` returned, under the identifier `request`.
    pub fn begin_request(&self, request: RequestId, extent: Extent) {
        let mut state = self.state();
        state.stage = Stage::Serving(request, extent);
        state.since = self.context.clock.now();
    }

    /// Calls `write` with the message of a request. Returns `None` if the request is no longer open.
    pub fn with_message<R>(
        &self,
        request: RequestId,
        write: impl FnOnce(&RequestHead, &[u8]) -> R,
    ) -> Option<R> {
        let state = self.state();
        let Stage::Serving(open, extent) = &state.stage else { return None };
        if *open != request {
            return None;
        }
        let mut inbound = self.connection.inbound();
        let bytes = inbound.bytes();
        let (head, _) = http::parse_request_head(&bytes[..extent.head]).ok()??;
        Some(write(&head, &bytes[extent.body.clone()]))
    }

    // ---- replies ----

    /// Writes a final reply that the gatekeeper generates.
    pub fn reply(&self, request: RequestId, reply: FinalReply) {
        let (status, body, retry_after) = match reply {
            FinalReply::Throttled(retry_after) => (429, "throttled\n", retry_after),
            FinalReply::Errored => (502, "errored\n", None),
        };
        let header = retry_after
            .map(|retry_after| format!("Retry-After: {:.3}\r\n", retry_after.secs()))
            .unwrap_or_default();
        // Requests with `HEAD` are rejected before.
        let method = RequestMethod::Other;
        self.finish(request, |out, keep_alive| {
            http::write_response(out, method, status, &header, body, keep_alive)
        });
    }

    /// Writes the final reply to a request, unless the request is no longer open. The connection can then
    /// take the next one.
    ///
    /// The second argument of `write` is `true` if the connection is kept alive.
    pub fn finish(&self, request: RequestId, write: impl FnOnce(&mut RingBuffer, bool) -> io::Result<()>) {
        let mut state = self.state();
        let Stage::Serving(open, extent) = &state.stage else { return };
        if *open != request {
            return;
        }
        let extent = extent.clone();
        self.release_id(&mut state);
        self.write(&mut state, Some(&extent), write);
    }

    /// Writes a reply to a message with `method` that is not forwarded. Without an extent it is the last reply.
    fn reply_locally(
        &self,
        state: &mut State,
        method: RequestMethod,
        status: u16,
        body: &str,
        extent: Option<&Extent>,
    ) {
        self.write(state, extent, |out, keep_alive| {
            http::write_response(out, method, status, "", body, keep_alive)
        });
    }

    fn write(
        &self,
        state: &mut State,
        extent: Option<&Extent>,
        write: impl FnOnce(&mut RingBuffer, bool) -> io::Result<()>,
    ) {
        let keep_alive = extent.is_some_and(|e| e.keep_alive) && !self.context.lifecycle.is_closing();
        let written = self.connection.write(|out| write(out, keep_alive));
        state.since = self.context.clock.now();
        state.stage = if keep_alive { Stage::Waiting } else { Stage::Ending };
        let mut inbound = self.connection.inbound();
        let n = inbound.len();
        inbound.consume(extent.map_or(n, |e| e.total));
        if written.is_err() {
            return self.connection.close();
        }
        if !keep_alive && self.connection.unsent() == 0 {
            return self.connection.shut_down_write();
        }
        if !inbound.is_empty() {
            self.connection.wake();
        }
    }

    // ---- the end ----

    /// Releases the id of the open request, so that it can be used again.
    fn release_id(&self, state: &mut State) {
        if let Some(id) = state.open_id.take() {
            self.context.open_ids.close(id);
        }
    }

    /// Closes the connection and releases the id of its open request.
    pub fn end(&self) {
        self.release_id(&mut self.state());
        self.connection.close();
    }

    /// Closes the connection if it has made no progress for too long, or rejects its incomplete message with
    /// status 408. `idle_timeout` applies between messages.
    pub fn expire(&self, now: Time, idle_timeout: Span) {
        let mut state = self.state();
        if !is_expired(&state, self.connection.unsent() > 0, self.opened_at, idle_timeout, now) {
            return;
        }
        if state.stage == Stage::Waiting && state.partial_since.is_some() {
            self.reply_locally(&mut state, RequestMethod::Other, 408, "not whole in time\n", None);
        } else {
            self.connection.close();
        }
    }
}

enum Parsed {
    Readiness,
    /// Request to forward, and the hash of its id.
    Request(Request, u64),
}

/// Returns `true` if a connection has made no progress for too long.
///
/// The time of an incomplete message starts with its first byte, even after a long idle time, as closing the
/// connection would lose the request. Before the first request, the time since the connection was opened
/// counts too.
fn is_expired(state: &State, has_unsent: bool, opened_at: Time, idle_timeout: Span, now: Time) -> bool {
    let waited = now - state.since;
    let is_late_first = !state.has_sent_request && now - opened_at > FIRST_REQUEST_TIMEOUT;
    match state.stage {
        Stage::Serving(..) => false,
        _ if has_unsent => waited > REPLY_TIMEOUT,
        Stage::Ending => waited > LINGER_TIMEOUT,
        Stage::Waiting => match state.partial_since {
            Some(since) => now - since > MESSAGE_TIMEOUT || is_late_first,
            None => waited > idle_timeout || is_late_first,
        },
    }
}

#[cfg(test)]
mod tests;
