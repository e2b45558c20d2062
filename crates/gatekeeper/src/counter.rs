//! Client of the shared counter. Calls are pipelined on one connection, and replies are passed to a callback.
//!
//! After a change of the counter's address, the previous connection stays open for its outstanding replies.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{CounterKey, Outcome, Span, Time};
use lynxstair_dispatch::CounterAdd;
use lynxstair_net::clock::Clock;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::http::{self, MAX_MESSAGE_BYTES, RequestMethod, StreamState};
use lynxstair_net::log_limited;
use lynxstair_net::ring_buffer::RingBuffer;

/// Multiple of the counter's time-out after which a missing reply closes the connection. Late totals are
/// still reported.
const REPLY_TIMEOUT_FACTOR: f64 = 20.0;
/// Idle time-out of a connection. Must be shorter than that of the counter.
const IDLE_TIMEOUT: Span = Span::from_millis(4_000);
/// Maximum length of the body of a reply, which is a number, in bytes.
const MAX_REPLY_BODY_BYTES: usize = 64;

/// Callback for the end of a call, with its key, its outcome and the returned total, which is NaN if it is
/// unreadable.
pub type ReplyHandler = Box<dyn Fn(Time, CounterKey, Outcome, f32) + Send + Sync>;

/// A call without a reply yet.
struct Call {
    key: CounterKey,
    sent_at: Time,
    /// Length of the call's message, in bytes.
    length: usize,
}

/// A connection and its calls without a reply, in the order sent.
struct CounterConnection {
    connection: Connection,
    pending: Mutex<VecDeque<Call>>,
}

struct State {
    address: Option<SocketAddr>,
    current: Option<Arc<CounterConnection>>,
    /// Connections to previous addresses of the counter.
    previous: Vec<Arc<CounterConnection>>,
    last_used_at: Time,
}

/// Client of the shared counter.
pub struct CounterClient {
    clock: Clock,
    reply_timeout: Span,
    on_reply: ReplyHandler,
    state: Mutex<State>,
}

impl CounterClient {
    /// Creates a client. `address` is `None` if there is no counter. `timeout` is the time after which a
    /// reply is late.
    pub fn new(clock: Clock, address: Option<SocketAddr>, timeout: Span, on_reply: ReplyHandler) -> Self {
        let state = State { address, current: None, previous: Vec::new(), last_used_at: Time::default() };
        let reply_timeout = timeout.times(REPLY_TIMEOUT_FACTOR);
        CounterClient { clock, reply_timeout, on_reply, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn report(&self, key: CounterKey, outcome: Outcome, total: f32) {
        (self.on_reply)(self.clock.now(), key, outcome, total);
    }

    /// Changes the address of the counter.
    pub fn set_address(&self, address: Option<SocketAddr>) {
        let mut state = self.state();
        if state.address != address {
            state.address = address;
            let previous = state.current.take();
            state.previous.extend(previous);
        }
    }

    /// Sends calls with a single write. Failures are reported to the callback.
    pub fn add(self: &Arc<Self>, adds: &[CounterAdd]) {
        if adds.is_empty() {
            return;
        }
        let now = self.clock.now();
        let Some(counter) = self.connect(now) else {
            adds.iter().for_each(|add| self.report(add.key, Outcome::ConnectFailed, 0.0));
            return;
        };
        let mut written = 0;
        let result = counter.connection.write(|out| {
            for add in adds {
                let before = out.len();
                write_call(out, add)?;
                let length = out.len() - before;
                counter.pending().push_back(Call { key: add.key, sent_at: now, length });
                written += 1;
            }
            Ok(())
        });
        if result.is_err() {
            counter.connection.close();
        }
        // Calls that did not fit into the buffer were not sent.
        for add in adds.iter().skip(written) {
            self.report(add.key, Outcome::ConnectFailed, 0.0);
        }
    }

    /// Returns the current connection, or opens one if there is none.
    fn connect(self: &Arc<Self>, now: Time) -> Option<Arc<CounterConnection>> {
        let mut state = self.state();
        state.last_used_at = now;
        if let Some(current) = state.current.as_ref().filter(|c| !c.connection.is_closed()) {
            return Some(current.clone());
        }
        let connection = match Connection::open(state.address?, MAX_MESSAGE_BYTES) {
            Ok(connection) => connection,
            Err(e) => {
                log_limited!("cannot connect to the counter: {e}");
                return None;
            }
        };
        let counter = Arc::new(CounterConnection { connection, pending: Mutex::default() });
        state.current = Some(counter.clone());
        drop(state);
        let (client, running) = (self.clone(), counter.clone());
        let (this, ended) = (self.clone(), counter.clone());
        spawn_then("the counter", move || client.run(&running), move |_| this.on_ended(&ended));
        Some(counter)
    }

    /// Closes connections that are idle or on which a reply has been missing for too long.
    pub fn tick(&self, now: Time) {
        let state = self.state();
        let current = state.current.iter().map(|counter| (counter, IDLE_TIMEOUT));
        // Previous connections are closed after their last reply.
        let previous = state.previous.iter().map(|counter| (counter, Span::ZERO));
        for (counter, idle_timeout) in current.chain(previous) {
            let first = counter.pending().front().map(|call| call.sent_at);
            match first {
                Some(sent_at) if now - sent_at > self.reply_timeout => {
                    log_limited!("no reply from the counter in time");
                    counter.connection.close();
                }
                None if now - state.last_used_at > idle_timeout => counter.connection.close(),
                _ => {}
            }
        }
    }

    fn run(&self, counter: &CounterConnection) {
        if counter.connection.wait_connected().is_err() {
            return;
        }
        while counter.connection.read() == ReadOutcome::Bytes && self.handle_replies(counter) {}
    }

    /// Handles the complete replies. Returns `false` if the connection must be closed.
    fn handle_replies(&self, counter: &CounterConnection) -> bool {
        loop {
            let mut inbound = counter.connection.inbound();
            if inbound.is_empty() {
                return true;
            }
            let bytes = inbound.bytes();
            let method = RequestMethod::Other;
            let extent = match http::response_extent(bytes, method, StreamState::Open, MAX_REPLY_BODY_BYTES) {
                Ok(Some(extent)) => extent,
                Ok(None) => return true,
                Err(_) => {
                    drop(inbound);
                    self.complete_first(counter, Outcome::Succeeded, f32::NAN);
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
            let body = std::str::from_utf8(&bytes[extent.body.clone()]).unwrap_or("");
            let (outcome, total) = parse_reply(head.status, body);
            inbound.consume(extent.total);
            drop(inbound);
            // No further reply can be read after an unreadable one. Closing the connection ends the pending calls
            // at once instead of after their time-out.
            let is_completed = self.complete_first(counter, outcome, total);
            if !is_completed || total.is_nan() || !extent.keep_alive {
                return false;
            }
        }
    }

    /// Completes the oldest pending call; returns `false` if there is none.
    fn complete_first(&self, counter: &CounterConnection, outcome: Outcome, total: f32) -> bool {
        let Some(call) = counter.pending().pop_front() else { return false };
        self.report(call.key, outcome, total);
        true
    }

    /// Removes a connection that has ended. Its pending calls with unsent bytes were not executed; the others
    /// may have been.
    fn on_ended(&self, ended: &Arc<CounterConnection>) {
        ended.connection.close();
        let mut unsent = ended.connection.unsent();
        loop {
            let last = ended.pending().pop_back();
            let Some(call) = last else { break };
            let outcome = if unsent > 0 { Outcome::ConnectFailed } else { Outcome::TimedOut };
            unsent = unsent.saturating_sub(call.length);
            self.report(call.key, outcome, 0.0);
        }
        let mut state = self.state();
        state.previous.retain(|previous| !Arc::ptr_eq(previous, ended));
        if state.current.as_ref().is_some_and(|current| Arc::ptr_eq(current, ended)) {
            state.current = None;
        }
    }
}

impl CounterConnection {
    fn pending(&self) -> MutexGuard<'_, VecDeque<Call>> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }
}

fn write_call(out: &mut RingBuffer, add: &CounterAdd) -> io::Result<()> {
    let (key, amount, retention_ms) = (add.key.0, add.amount, add.retention.nanos() / 1_000_000);
    write!(
        out,
        "POST /counters/{key:x}?by={amount}&expire_ms={retention_ms} HTTP/1.1\r\nHost: counter\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Parses a reply. The total is NaN if the amount was added but the body is unreadable.
fn parse_reply(status: u16, body: &str) -> (Outcome, f32) {
    let total = body.trim().parse::<f32>().ok().filter(|total| total.is_finite());
    match status {
        200 => (Outcome::Succeeded, total.unwrap_or(f32::NAN)),
        503 | 400 | 404 => (Outcome::Full, 0.0),
        _ => (Outcome::Errored, 0.0),
    }
}
