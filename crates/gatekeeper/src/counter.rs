//! The client of the shared counter: calls go out one after another on one connection, replies come in their order. Nothing
//! waits for them. Where the counter moves to another address, the old connection stays for the replies that it owes.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{CounterKey, Outcome, Span, Time};
use lynxstair_dispatch::CounterAdd;
use lynxstair_net::clock::Clock;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::http::{self, MAX_MESSAGE_BYTES, StreamState};
use lynxstair_net::log_limited;
use lynxstair_net::ring_buffer::RingBuffer;

/// A call that takes this many times the counter's time limit gets no reply any more. A late total is no failure.
const GIVE_UP_FACTOR: f64 = 20.0;
/// The counter closes idle connections after ten seconds or less; this side does so well before.
const IDLE_TIMEOUT: Span = Span::from_millis(4_000);
/// The longest body of a reply, in bytes: a total is a number.
const MAX_TOTAL_LEN: usize = 64;

/// Is told how a call ended: its key, the outcome, and the total that came back; not a number where that can't be read.
pub type ReplyHandler = Box<dyn Fn(Time, CounterKey, Outcome, f32) + Send + Sync>;

/// A call that has no reply yet.
struct Call {
    key: CounterKey,
    sent_at: Time,
    /// The length of its message, in bytes.
    length: usize,
}

/// A connection with the calls that wait for their replies, in their order.
struct CounterConnection {
    connection: Connection,
    waiting: Mutex<VecDeque<Call>>,
}

struct State {
    address: Option<SocketAddr>,
    current: Option<Arc<CounterConnection>>,
    /// Connections to addresses that the counter had before.
    old: Vec<Arc<CounterConnection>>,
    used_at: Time,
}

/// The client of the shared counter.
pub struct CounterClient {
    clock: Clock,
    give_up_after: Span,
    on_reply: ReplyHandler,
    state: Mutex<State>,
}

impl CounterClient {
    /// `address`: None where there is no counter. `timeout`: how long a call may take.
    pub fn new(clock: Clock, address: Option<SocketAddr>, timeout: Span, on_reply: ReplyHandler) -> Self {
        let state = State { address, current: None, old: Vec::new(), used_at: Time::default() };
        let give_up_after = timeout.times(GIVE_UP_FACTOR);
        CounterClient { clock, give_up_after, on_reply, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn report(&self, key: CounterKey, outcome: Outcome, total: f32) {
        (self.on_reply)(self.clock.now(), key, outcome, total);
    }

    /// The counter is at this address from now on.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut state = self.state();
        if state.address != address {
            state.address = address;
            let old = state.current.take();
            state.old.extend(old);
        }
    }

    /// Sends calls, in one piece.
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
                counter.waiting().push_back(Call { key: add.key, sent_at: now, length });
                written += 1;
            }
            Ok(())
        });
        if result.is_err() {
            counter.connection.close();
        }
        // What did not fit into the buffer was not sent.
        for add in adds.iter().skip(written) {
            self.report(add.key, Outcome::ConnectFailed, 0.0);
        }
    }

    /// The connection; a new one where there is none.
    fn connect(self: &Arc<Self>, now: Time) -> Option<Arc<CounterConnection>> {
        let mut state = self.state();
        state.used_at = now;
        if let Some(current) = state.current.as_ref().filter(|c| !c.connection.is_closed()) {
            return Some(current.clone());
        }
        let connection = match Connection::open(state.address?, MAX_MESSAGE_BYTES) {
            Ok(connection) => connection,
            Err(e) => {
                log_limited!("no connection to the counter: {e}");
                return None;
            }
        };
        let counter = Arc::new(CounterConnection { connection, waiting: Mutex::default() });
        state.current = Some(counter.clone());
        drop(state);
        let (client, running) = (self.clone(), counter.clone());
        let (this, ended) = (self.clone(), counter.clone());
        spawn_then("the counter", move || client.run(&running), move |_| this.on_ended(&ended));
        Some(counter)
    }

    /// Ends a connection on which a reply has been missing for too long, or that is idle.
    pub fn tick(&self, now: Time) {
        let state = self.state();
        let current = state.current.iter().map(|counter| (counter, IDLE_TIMEOUT));
        // An old one is done with its last reply.
        let old = state.old.iter().map(|counter| (counter, Span::ZERO));
        for (counter, idle_timeout) in current.chain(old) {
            let first = counter.waiting().front().map(|call| call.sent_at);
            match first {
                Some(sent_at) if now - sent_at > self.give_up_after => {
                    log_limited!("the counter is silent");
                    counter.connection.close();
                }
                None if now - state.used_at > idle_timeout => counter.connection.close(),
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

    /// Handles the replies that are complete; whether the connection is still good.
    fn handle_replies(&self, counter: &CounterConnection) -> bool {
        loop {
            let mut inbound = counter.connection.inbound();
            if inbound.is_empty() {
                return true;
            }
            let bytes = inbound.bytes();
            let extent = match http::response_extent(bytes, StreamState::Open, MAX_TOTAL_LEN) {
                Ok(Some(extent)) => extent,
                Ok(None) => return true,
                Err(_) => {
                    drop(inbound);
                    self.complete_first(counter, Outcome::Succeeded, f32::NAN);
                    return false;
                }
            };
            let Ok(Some((head, _))) = http::parse_response_head(&bytes[..extent.head]) else { return false };
            let body = std::str::from_utf8(&bytes[extent.body.clone()]).unwrap_or("");
            let (outcome, total) = read_reply(head.status, body);
            inbound.consume(extent.total);
            drop(inbound);
            // Nothing more comes where a reply was garbled: what waits behind it would wait for its time limit, and be taken
            // for a counter that is asked too much.
            let is_completed = self.complete_first(counter, outcome, total);
            if !is_completed || total.is_nan() || !extent.keep_alive {
                return false;
            }
        }
    }

    /// The first call has its reply; false where there is none.
    fn complete_first(&self, counter: &CounterConnection, outcome: Outcome, total: f32) -> bool {
        let Some(call) = counter.waiting().pop_front() else { return false };
        self.report(call.key, outcome, total);
        true
    }

    /// A connection has ended. The calls whose bytes are still here were not added; of the others nobody knows.
    fn on_ended(&self, ended: &Arc<CounterConnection>) {
        ended.connection.close();
        let mut unsent = ended.connection.unsent();
        loop {
            let last = ended.waiting().pop_back();
            let Some(call) = last else { break };
            let outcome = if unsent > 0 { Outcome::ConnectFailed } else { Outcome::TimedOut };
            unsent = unsent.saturating_sub(call.length);
            self.report(call.key, outcome, 0.0);
        }
        let mut state = self.state();
        state.old.retain(|old| !Arc::ptr_eq(old, ended));
        if state.current.as_ref().is_some_and(|current| Arc::ptr_eq(current, ended)) {
            state.current = None;
        }
    }
}

impl CounterConnection {
    fn waiting(&self) -> MutexGuard<'_, VecDeque<Call>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
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

/// What a reply says. One that can't be read means that the amount was added and nothing more: its total is not a number.
fn read_reply(status: u16, body: &str) -> (Outcome, f32) {
    let total = body.trim().parse::<f32>().ok().filter(|total| total.is_finite());
    match status {
        200 => (Outcome::Succeeded, total.unwrap_or(f32::NAN)),
        503 | 400 | 404 => (Outcome::Full, 0.0),
        _ => (Outcome::Errored, 0.0),
    }
}
