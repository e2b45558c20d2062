//! The counter: calls go out one after another on one connection, answers come in their order. Nothing
//! waits for them. Where the counter moves to another address, the old connection stays for the answers it owes.

use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{CounterKey, Outcome, Span, Time};

use crate::program::Gate;
use lynxstair_dispatch::CounterAdd;
use lynxstair_net::conn::{Conn, Got};
use lynxstair_net::coroutine::go_then;
use lynxstair_net::http::{self, MOST_MESSAGE, Stop};
use lynxstair_net::log;

/// A call that took so many times the counter's time limit gets no answer any more. A late total is no failure.
const GIVEN_UP: f64 = 20.0;
/// The counter closes idle connections after ten seconds or less; this side does so well before.
const IDLE: Span = Span::from_millis(4_000);
/// A total is a number: an answer with a longer body tells none.
const MOST_TOTAL: usize = 64;

struct Call {
    name: CounterKey,
    sent_at: Time,
    /// How long its message is.
    length: usize,
}

struct Line {
    conn: Conn,
    waiting: Mutex<VecDeque<Call>>,
}

struct State {
    addr: Option<SocketAddr>,
    line: Option<Arc<Line>>,
    /// Connections to addresses that the counter had before.
    old: Vec<Arc<Line>>,
    used_at: Time,
}

pub struct Counter {
    given_up: Span,
    state: Mutex<State>,
}

impl Counter {
    pub fn new(addr: Option<SocketAddr>, limit: Span) -> Self {
        let state = State { addr, line: None, old: Vec::new(), used_at: Time::default() };
        Counter { given_up: limit.times(GIVEN_UP), state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The counter is at this address from now on.
    pub fn move_to(&self, addr: Option<SocketAddr>) {
        let mut state = self.state();
        if state.addr != addr {
            state.addr = addr;
            let old = state.line.take();
            state.old.extend(old);
        }
    }

    /// Sends calls, in one piece.
    pub fn add(&self, gate: &Arc<Gate>, counter_adds: &[CounterAdd]) {
        if counter_adds.is_empty() {
            return;
        }
        let now = gate.clock.now();
        let Some(line) = self.line(gate, now) else {
            counter_adds
                .iter()
                .for_each(|c| gate.dispatcher.on_counter_reply(now, c.key, Outcome::ConnectFailed, 0.0));
            return;
        };
        let written = line.conn.write(|out| {
            for count in counter_adds {
                let before = out.len();
                let (name, amount, ms) = (count.key.0, count.amount, count.retention.nanos() / 1_000_000);
                write!(
                    out,
                    "POST /counters/{name:x}?by={amount}&expire_ms={ms} HTTP/1.1\r\nHost: counter\r\n\
                     Content-Length: 0\r\n\r\n"
                )?;
                let length = out.len() - before;
                line.waiting().push_back(Call { name: count.key, sent_at: now, length });
            }
            Ok(())
        });
        if written.is_err() {
            line.conn.close();
        }
        // What did not fit into the buffer was not sent.
        let queued =
            line.waiting().iter().rev().take(counter_adds.len()).filter(|c| c.sent_at == now).count();
        for count in counter_adds.iter().skip(queued) {
            gate.dispatcher.on_counter_reply(now, count.key, Outcome::ConnectFailed, 0.0);
        }
    }

    /// The connection, made anew where there is none.
    fn line(&self, gate: &Arc<Gate>, now: Time) -> Option<Arc<Line>> {
        let mut state = self.state();
        state.used_at = now;
        if let Some(line) = state.line.as_ref().filter(|l| !l.conn.is_closed()) {
            return Some(line.clone());
        }
        let conn = match Conn::open(state.addr?, MOST_MESSAGE) {
            Ok(conn) => conn,
            Err(e) => {
                log!("no connection to the counter: {e}");
                return None;
            }
        };
        let line = Arc::new(Line { conn, waiting: Mutex::new(VecDeque::new()) });
        state.line = Some(line.clone());
        drop(state);
        let (running, running_gate) = (line.clone(), gate.clone());
        let (ending, gate) = (line.clone(), gate.clone());
        go_then("the counter", move || running.run(&running_gate), move |_| ending.end(&gate));
        Some(line)
    }

    /// Ends a connection on which an answer is missing for too long, or that stands idle.
    pub fn tick(&self, now: Time) {
        let state = self.state();
        let at_hand = state.line.iter().map(|line| (line, IDLE));
        // An old one is done with its last answer.
        for (line, idle) in at_hand.chain(state.old.iter().map(|line| (line, Span::ZERO))) {
            let first = line.waiting().front().map(|c| c.sent_at);
            match first {
                Some(sent_at) if now - sent_at > self.given_up => {
                    log!("the counter is silent");
                    line.conn.close();
                }
                None if now - state.used_at > idle => line.conn.close(),
                _ => {}
            }
        }
    }
}

impl Line {
    fn waiting(&self) -> MutexGuard<'_, VecDeque<Call>> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn run(&self, gate: &Arc<Gate>) {
        if self.conn.connected().is_err() {
            return;
        }
        loop {
            if self.conn.read() != Got::Bytes || !self.take_answers(gate) {
                return;
            }
        }
    }

    /// Whether the connection is still good.
    fn take_answers(&self, gate: &Arc<Gate>) -> bool {
        loop {
            let mut inbound = self.conn.inbound();
            if inbound.is_empty() {
                return true;
            }
            let bytes = inbound.bytes();
            let extent = match http::answer_extent(bytes, Stop::Open, MOST_TOTAL) {
                Ok(Some(extent)) => extent,
                Ok(None) => return true,
                Err(_) => {
                    drop(inbound);
                    self.counted(gate, Outcome::Succeeded, f32::NAN);
                    return false;
                }
            };
            let Ok(Some((answer, _))) = http::answer(&bytes[..extent.head]) else { return false };
            let body = std::str::from_utf8(&bytes[extent.body.clone()]).unwrap_or("");
            let total = body.trim().parse::<f32>().ok().filter(|t| t.is_finite());
            let (outcome, total) = match (answer.status, total) {
                (200, Some(total)) => (Outcome::Succeeded, total),
                (200, None) => (Outcome::Succeeded, f32::NAN),
                (503 | 400 | 404, _) => (Outcome::Full, 0.0),
                _ => (Outcome::Errored, 0.0),
            };
            inbound.consume(extent.all);
            drop(inbound);
            // Nothing more comes where an answer was spoilt: what waits behind it would wait for its time limit, and
            // be taken for a counter that is asked too much.
            if !self.counted(gate, outcome, total) || total.is_nan() || !extent.keep_alive {
                return false;
            }
        }
    }

    /// The first call has its answer; whether there was one. An answer that can't be read tells that the amount was
    /// added and nothing more: its total is no number.
    fn counted(&self, gate: &Gate, outcome: Outcome, total: f32) -> bool {
        let Some(call) = self.waiting().pop_front() else { return false };
        gate.dispatcher.on_counter_reply(gate.clock.now(), call.name, outcome, total);
        true
    }

    /// What is unanswered: the calls whose bytes are still here were not added, of the others nobody knows.
    fn end(self: &Arc<Self>, gate: &Arc<Gate>) {
        self.conn.close();
        let mut unsent = self.conn.unsent();
        while let Some(call) = self.waiting().pop_back() {
            let outcome = if unsent > 0 { Outcome::ConnectFailed } else { Outcome::TimedOut };
            unsent = unsent.saturating_sub(call.length);
            gate.dispatcher.on_counter_reply(gate.clock.now(), call.name, outcome, 0.0);
        }
        let mut state = gate.counter.state();
        state.old.retain(|old| !Arc::ptr_eq(old, self));
        if state.line.as_ref().is_some_and(|l| Arc::ptr_eq(l, self)) {
            state.line = None;
        }
    }
}
