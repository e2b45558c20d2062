//! One client's connection: what it asks, one request at a time, and the replies that it gets.
//!
//! The message of a request stays in the inbound buffer until its final reply: every attempt is written from there.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Request, RequestId, Span, Time};
use lynxstair_dispatch::FinalReply;
use lynxstair_net::clock::Clock;
use lynxstair_net::connection::Connection;
use lynxstair_net::http::{self, Extent, HttpError, MAX_BODY_BYTES, MAX_MESSAGE_BYTES, RequestHead};
use lynxstair_net::ring_buffer::RingBuffer;

use crate::lifecycle::Lifecycle;
use crate::open_ids::OpenIds;
use crate::request_parser::{ClientRequest, RequestParser};

/// A connection brings its first request within this time, and a message is complete within this time after its first byte:
/// who sends nothing, or half a message, takes up no place.
const FIRST_REQUEST_TIMEOUT: Span = Span::from_millis(2_000);
const MESSAGE_TIMEOUT: Span = Span::from_millis(2_000);
/// A client takes a reply within this time.
const REPLY_TIMEOUT: Span = Span::from_millis(5_000);
/// How long the rest of what a client sends is read and discarded after the last reply, and how much of it.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);
const MAX_DISCARDED: usize = MAX_MESSAGE_BYTES;
/// This many messages in a row that can't be used are the last of their connection: what comes at full speed would take the
/// core from the others.
const MAX_BAD_MESSAGES: u32 = 16;

/// What a connection needs of the process.
pub struct ClientContext {
    /// The clock.
    pub clock: Clock,
    /// The phase of the process.
    pub lifecycle: Arc<Lifecycle>,
    /// The ids of open requests.
    pub open_ids: OpenIds,
    /// Reads requests.
    pub parser: RequestParser,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Between messages, or within one.
    Waiting,
    /// A request is open; its message stays in the buffer.
    Serving(RequestId, Extent),
    /// The last reply is written.
    Ending,
}

struct State {
    stage: Stage,
    /// When the stage was entered.
    since: Time,
    /// When the first part of the message that is coming in was read.
    partial_since: Option<Time>,
    /// An interim reply was given to the message that is coming in.
    has_sent_continue: bool,
    /// It has brought a request.
    has_asked: bool,
    /// Messages in a row that could not be used.
    bad_messages: u32,
    /// Bytes that were discarded after the last reply.
    discarded: usize,
    /// The id of the request that is open, hashed.
    open_id: Option<u64>,
}

impl State {
    fn new(now: Time) -> Self {
        State {
            stage: Stage::Waiting,
            since: now,
            partial_since: None,
            has_sent_continue: false,
            has_asked: false,
            bad_messages: 0,
            discarded: 0,
            open_id: None,
        }
    }
}

/// What became of looking at what was read.
pub enum NextMessage {
    /// Nothing can be done until more is read.
    None,
    /// A message was replied to here; another one may follow.
    Handled,
    /// A request to be forwarded, with where its message lies.
    Request(Request, Extent),
}

/// One client's connection.
pub struct ClientConnection {
    /// Its number.
    pub number: u64,
    /// Its socket.
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
    /// A connection that was just accepted.
    pub fn new(number: u64, connection: Connection, context: Arc<ClientContext>) -> Self {
        let opened_at = context.clock.now();
        let state = Mutex::new(State::new(opened_at));
        ClientConnection { number, connection, opened_at, context, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    // ---- queries ----

    /// Whether nothing is open and no bytes wait in either direction.
    pub fn is_idle(&self) -> bool {
        self.state().stage == Stage::Waiting && self.holds_nothing()
    }

    fn holds_nothing(&self) -> bool {
        self.connection.inbound().is_empty() && self.connection.unsent() == 0
    }

    /// How long the connection has done nothing, where it may be closed to make room.
    pub fn idle_time(&self, now: Time) -> Option<Span> {
        let state = self.state();
        let is_spare = match state.stage {
            Stage::Serving(..) => false,
            Stage::Ending => true,
            Stage::Waiting => !state.has_asked || self.holds_nothing(),
        };
        is_spare.then(|| now - state.since)
    }

    /// The request that is open.
    pub fn open_request(&self) -> Option<RequestId> {
        match &self.state().stage {
            Stage::Serving(request, _) => Some(*request),
            Stage::Waiting | Stage::Ending => None,
        }
    }

    // ---- messages ----

    /// Looks at what was read, for one message. `received_at` tells when a message that is read now may have been received.
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
                // What follows a message that can't be read can't be read either.
                self.reply_locally(&mut state, error.status, error.reason, None);
                return NextMessage::None;
            }
        };
        let parsed = match http::parse_request_head(&bytes[..extent.head]) {
            Ok(Some((head, _))) => self.parse(&head, received_at(now)),
            _ => Err(HttpError::new(400, "malformed")),
        };
        drop(inbound);
        state.has_sent_continue = false;
        state.partial_since = None;
        match parsed {
            Ok(Parsed::Request(request, open_id)) => {
                state.open_id = Some(open_id);
                (state.has_asked, state.bad_messages) = (true, 0);
                NextMessage::Request(request, extent)
            }
            Ok(Parsed::Readiness) => {
                let is_shutting_down = self.context.lifecycle.is_shutting_down();
                let (status, body) = if is_shutting_down { (503, "leaving\n") } else { (200, "up\n") };
                self.reply_locally(&mut state, status, body, Some(&extent));
                NextMessage::Handled
            }
            Err(error) => {
                state.bad_messages += 1;
                let is_last = state.bad_messages >= MAX_BAD_MESSAGES;
                let extent = Some(&extent).filter(|_| !is_last);
                self.reply_locally(&mut state, error.status, error.reason, extent);
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
        if state.discarded > MAX_DISCARDED {
            self.connection.close();
        }
    }

    /// A part of a message is there.
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

    /// The request that `next_message` returned is open from now on, under this id.
    pub fn begin_request(&self, request: RequestId, extent: Extent) {
        let mut state = self.state();
        state.stage = Stage::Serving(request, extent);
        state.since = self.context.clock.now();
    }

    /// Gives the message of a request to `write`, if that is still the open one.
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

    /// Writes a final reply of the gatekeeper itself.
    pub fn reply(&self, request: RequestId, reply: FinalReply) {
        let (status, body, wait) = match reply {
            FinalReply::Throttled(wait) => (429, "throttled\n", wait),
            FinalReply::Errored => (502, "errored\n", None),
        };
        let header = wait.map(|wait| format!("Retry-After: {:.3}\r\n", wait.secs())).unwrap_or_default();
        self.finish(request, |out, keep_alive| http::write_response(out, status, &header, body, keep_alive));
    }

    /// Writes the final reply to a request, if that is still the open one; the connection is then free for the next.
    /// `write` is told whether the connection stays.
    pub fn finish(&self, request: RequestId, write: impl FnOnce(&mut RingBuffer, bool) -> io::Result<()>) {
        let mut state = self.state();
        let Stage::Serving(open, extent) = &state.stage else { return };
        if *open != request {
            return;
        }
        let extent = extent.clone();
        self.forget(&mut state);
        self.write(&mut state, Some(&extent), write);
    }

    /// Writes a reply that no request stands behind. Without an extent it is the last one.
    fn reply_locally(&self, state: &mut State, status: u16, body: &str, extent: Option<&Extent>) {
        self.write(state, extent, |out, keep_alive| http::write_response(out, status, "", body, keep_alive));
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

    /// The open request is over: its id may come again.
    fn forget(&self, state: &mut State) {
        if let Some(id) = state.open_id.take() {
            self.context.open_ids.close(id);
        }
    }

    /// The connection has ended.
    pub fn end(&self) {
        self.forget(&mut self.state());
        self.connection.close();
    }

    /// Ends the connection where nothing has moved on it for too long. `idle_timeout`: of one that rests.
    pub fn expire(&self, now: Time, idle_timeout: Span) {
        let mut state = self.state();
        if !is_expired(&state, self.connection.unsent() > 0, self.opened_at, idle_timeout, now) {
            return;
        }
        if state.stage == Stage::Waiting && state.partial_since.is_some() {
            self.reply_locally(&mut state, 408, "not whole in time\n", None);
        } else {
            self.connection.close();
        }
    }
}

enum Parsed {
    Readiness,
    /// With the hash of its id.
    Request(Request, u64),
}

/// Whether nothing has moved on a connection for too long. A message that has just begun counts from then, however long the
/// connection rested before: closing it would lose the request. Before the first request the whole time counts.
fn is_expired(state: &State, has_unsent: bool, opened_at: Time, idle_timeout: Span, now: Time) -> bool {
    let waited = now - state.since;
    let is_late_first = !state.has_asked && now - opened_at > FIRST_REQUEST_TIMEOUT;
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
