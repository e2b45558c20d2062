//! Clients: their connections, what they ask, and the answers they get.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{
    AttemptNumber, OperationId, Outcome, PlanId, Request, RequestId, Span, TenantId, Time,
};
use lynxstair_settings::{OperationBounds, RequestBounds};
use may::io::{CoIo, WaitIo};

use crate::program::Gate;
use crate::workers::Link;
use lynxstair_dispatch::{Decision, FinalReply};
use lynxstair_net::conn::{Conn, Got, Ring};
use lynxstair_net::coroutine::go_then;
use lynxstair_net::http::{self, Bad, Call, Extent, MOST_BODY, MOST_MESSAGE};
use lynxstair_net::log;

/// A connection brings its first request within so long, and a message is whole so long after its first byte:
/// who sends nothing, or half a message, takes up no place.
const FIRST_TIME: Span = Span::from_millis(2_000);
const MESSAGE_TIME: Span = Span::from_millis(2_000);
/// An answer is taken within so long, and a connection that had one may then stand idle for longer.
const ANSWER_TIME: Span = Span::from_millis(5_000);
const IDLE_TIME: Span = Span::from_millis(10_000);
const CROWDED_TIME: Span = Span::from_millis(2_000);
/// How long the rest of what a client sends is read over after the last answer, and how much of it.
const ENDING_TIME: Span = Span::from_millis(1_000);
const ENDING_BYTES: usize = MOST_MESSAGE;
/// So many messages on end that can't be used are the last of their connection: what comes at full speed would
/// take the core from the others.
const MOST_BAD: u32 = 16;
/// Tenants are numbers below this.
const TENANTS: u64 = 1 << 33;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Between messages, or within one.
    Waiting,
    /// An request was taken and is not answered; its message stays in the buffer.
    Serving(RequestId, Extent),
    /// The last answer is written.
    Ending,
}

struct State {
    stage: Stage,
    since: Time,
    /// When the first part of the message that is coming in was read.
    part_since: Option<Time>,
    /// An interim answer was given to the message that is coming in.
    told_to_go_on: bool,
    /// It brought an request once; messages on end that could not be used; what was read over at the end.
    has_asked: bool,
    bad: u32,
    read_over: usize,
    /// The id of the request at hand, for as long as it is open.
    id: Option<u64>,
    /// The connections that carry deliveries of the request at hand.
    links: Vec<(AttemptNumber, Arc<Link>)>,
}

impl State {
    fn new(now: Time) -> Self {
        State {
            stage: Stage::Waiting,
            since: now,
            part_since: None,
            told_to_go_on: false,
            has_asked: false,
            bad: 0,
            read_over: 0,
            id: None,
            links: Vec::new(),
        }
    }
}

/// One connection of a client.
pub struct Client {
    number: u64,
    opened_at: Time,
    conn: Conn,
    state: Mutex<State>,
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "client {}", self.number)
    }
}

/// All of them.
pub struct Clients {
    listener: CoIo<TcpListener>,
    open: Mutex<HashMap<u64, Arc<Client>>>,
    /// The ids of open requests, hashed: a second one under the id of an open one is not let in.
    ids: Mutex<HashSet<u64>>,
    hasher: RandomState,
    most: usize,
    last: AtomicU64,
    /// No more are accepted: the listener is to be closed.
    closing: AtomicBool,
    /// Connections wait to be accepted until there is room.
    is_full: AtomicBool,
}

impl Clients {
    pub fn listen(on: std::net::SocketAddr, most: usize) -> Result<Self, String> {
        let listener = TcpListener::bind(on).map_err(|e| format!("listening on {on}: {e}"))?;
        let listener = CoIo::new(listener).map_err(|e| format!("listening on {on}: {e}"))?;
        Ok(Clients {
            listener,
            open: Mutex::new(HashMap::new()),
            ids: Mutex::new(HashSet::new()),
            hasher: RandomState::new(),
            most,
            last: AtomicU64::new(0),
            closing: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
        })
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Client>>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn ids(&self) -> MutexGuard<'_, HashSet<u64>> {
        self.ids.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn all(&self) -> Vec<Arc<Client>> {
        self.open().values().cloned().collect()
    }

    /// Accepts until it is told to stop.
    pub fn accept(&self, gate: &Arc<Gate>) {
        while !self.closing.load(Ordering::Relaxed) {
            if self.open().len() >= self.most && !self.make_room(gate.clock.now()) {
                // Those that wait outside are let in as soon as one goes.
                self.is_full.store(true, Ordering::Relaxed);
                self.listener.wait_io();
                continue;
            }
            match self.listener.inner().accept() {
                Ok((stream, _)) => self.admit(gate, stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.listener.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log!("accepting: {e}");
                    self.make_room(gate.clock.now());
                    self.is_full.store(true, Ordering::Relaxed);
                    self.listener.wait_io();
                }
            }
        }
    }

    fn admit(&self, gate: &Arc<Gate>, stream: std::net::TcpStream) {
        let conn = match Conn::new(stream, MOST_MESSAGE) {
            Ok(conn) => conn,
            Err(e) => return log!("a client's connection: {e}"),
        };
        let number = self.last.fetch_add(1, Ordering::Relaxed);
        let opened_at = gate.clock.now();
        let client = Arc::new(Client { number, opened_at, conn, state: Mutex::new(State::new(opened_at)) });
        self.open().insert(number, client.clone());
        let (serving, serving_gate, gate) = (client.clone(), gate.clone(), gate.clone());
        let serve = move || serving.serve(&serving_gate);
        go_then("a client", serve, move |panicked| client.leave(&gate, panicked));
    }

    /// Closes the connection that holds nothing and has done nothing for the longest. A new one has not asked yet,
    /// and may be about to: it is no worse than one that asked long ago and stays.
    fn make_room(&self, now: Time) -> bool {
        let open = self.open();
        let spare = open.values().filter_map(|c| Some((c.spare(now)?, c)));
        let Some((_, client)) = spare.max_by_key(|(spare, _)| *spare) else { return false };
        client.conn.close();
        true
    }

    /// Ends connections on which nothing has moved for too long.
    pub fn tick(&self, gate: &Arc<Gate>, now: Time) {
        let all = self.all();
        // Half of the places are for who rests a while; the others are kept for who comes.
        let idle_time = if all.len() > self.most / 2 { CROWDED_TIME } else { IDLE_TIME };
        for client in all {
            client.check(gate, now, idle_time);
        }
        self.let_in();
    }

    fn let_in(&self) {
        if self.is_full.swap(false, Ordering::Relaxed) {
            self.listener.waker().wakeup();
        }
    }

    /// Takes in what has been accepted by the machine already, then closes the listener and what is idle.
    pub fn stop_listening(&self, gate: &Arc<Gate>) {
        self.closing.store(true, Ordering::Relaxed);
        while let Ok((stream, _)) = self.listener.inner().accept() {
            self.admit(gate, stream);
        }
        if let Err(e) = socket2::SockRef::from(self.listener.inner()).shutdown(std::net::Shutdown::Both) {
            log!("closing the listener: {e}");
        }
        self.listener.waker().wakeup();
        self.all().iter().filter(|c| c.is_idle() && !c.conn.is_stale()).for_each(|c| c.conn.close());
    }

    /// Gives all that is unanswered its final answer now.
    pub fn give_up_all(&self, gate: &Arc<Gate>) {
        for client in self.all() {
            client.give_up(gate);
        }
    }

    pub fn count(&self) -> usize {
        self.open().len()
    }

    pub fn unanswered(&self) -> usize {
        self.open().values().filter(|c| !c.is_idle()).count()
    }
}

impl Client {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_idle(&self) -> bool {
        self.state().stage == Stage::Waiting && self.holds_nothing()
    }

    /// No bytes wait in either direction.
    fn holds_nothing(&self) -> bool {
        self.conn.inbound().is_empty() && self.conn.unsent() == 0
    }

    /// For how long the connection has done nothing, where it may be closed to make room.
    fn spare(&self, now: Time) -> Option<Span> {
        let state = self.state();
        let is_spare = match state.stage {
            Stage::Serving(..) => false,
            Stage::Ending => true,
            Stage::Waiting => !state.has_asked || self.holds_nothing(),
        };
        is_spare.then(|| now - state.since)
    }

    fn serve(self: &Arc<Self>, gate: &Arc<Gate>) {
        loop {
            while self.take_message(gate) {}
            if self.conn.read() != Got::Bytes {
                return;
            }
        }
    }

    /// The connection has ended.
    fn leave(&self, gate: &Arc<Gate>, panicked: bool) {
        if panicked {
            self.give_up(gate);
        }
        self.let_go(gate);
        self.forget(gate, &mut self.state());
        self.conn.close();
        gate.clients.open().remove(&self.number);
        gate.clients.let_in();
    }

    /// Nothing more is owed for the request at hand, if there is one: its deliveries end.
    fn let_go(&self, gate: &Arc<Gate>) -> Option<RequestId> {
        let request_id = match &self.state().stage {
            Stage::Serving(request_id, _) => *request_id,
            _ => return None,
        };
        for cancelled in gate.dispatcher.end_request(gate.clock.now(), request_id) {
            gate.workers.give_up(gate, &cancelled, Outcome::Cancelled);
        }
        Some(request_id)
    }

    /// The request at hand is over: its id may come again.
    fn forget(&self, gate: &Gate, state: &mut State) {
        state.links.clear();
        if let Some(id) = state.id.take() {
            gate.clients.ids().remove(&id);
        }
    }

    /// Acts on the next message, if it is whole; whether there may be another one.
    fn take_message(self: &Arc<Self>, gate: &Arc<Gate>) -> bool {
        let mut state = self.state();
        let mut inbound = self.conn.inbound();
        match state.stage {
            Stage::Ending => {
                let n = inbound.len();
                inbound.consume(n);
                state.read_over += n;
                if state.read_over > ENDING_BYTES {
                    self.conn.close();
                }
                return false;
            }
            Stage::Serving(..) => return false,
            Stage::Waiting if inbound.is_empty() => return false,
            Stage::Waiting => {}
        }
        let now = gate.clock.now();
        let bytes = inbound.bytes();
        let extent = match http::call_extent(bytes, MOST_BODY) {
            Ok(Some(extent)) => extent,
            Ok(None) => {
                state.part_since.get_or_insert(now);
                let expects = |c: &Call| c.headers.get("expect").is_some();
                let told = state.told_to_go_on;
                if !told && http::call(bytes).is_ok_and(|c| c.is_some_and(|(c, _)| expects(&c))) {
                    state.told_to_go_on = true;
                    let _ = self.conn.write(|out| out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n"));
                }
                return false;
            }
            Err(bad) => {
                drop((state, inbound));
                self.say(gate, bad.0, bad.1, None);
                return false;
            }
        };
        let asked = match http::call(&bytes[..extent.head]) {
            Ok(Some((call, _))) => asked(&call, gate, gate.ticker.came_at(now)),
            _ => Err(Bad(400, "malformed")),
        };
        let asked = asked.and_then(|asked| match asked {
            Asked::Invocation(_, id) if !gate.clients.ids().insert(id) => Err(Bad(409, "an id that is open")),
            asked => Ok(asked),
        });
        state.told_to_go_on = false;
        state.part_since = None;
        let arrival = match asked {
            Ok(Asked::Invocation(arrival, id)) => {
                state.id = Some(id);
                arrival
            }
            Ok(Asked::Up) => {
                drop((state, inbound));
                let (status, body) = if gate.is_leaving() { (503, "leaving\n") } else { (200, "up\n") };
                self.say(gate, status, body, Some(&extent));
                return true;
            }
            Err(bad) => {
                state.bad += 1;
                let is_last = state.bad >= MOST_BAD;
                drop((state, inbound));
                self.say(gate, bad.0, bad.1, Some(&extent).filter(|_| !is_last));
                return true;
            }
        };
        drop(inbound);
        (state.has_asked, state.bad) = (true, 0);
        let (request_id, pick) = gate.dispatcher.dispatch(now, arrival, self.clone());
        state.stage = Stage::Serving(request_id, extent);
        state.since = now;
        drop(state);
        match pick {
            Decision::Forward(order) => gate.workers.deliver(gate, order),
            Decision::Reply(answer) => self.answer(gate, request_id, answer),
        }
        gate.ticker.by(gate.dispatcher.next_due());
        true
    }

    /// A connection that carries a delivery of the request at hand.
    pub fn carried_by(&self, no: AttemptNumber, link: Arc<Link>) {
        let mut state = self.state();
        // The connection that it was tried on before broke before it was sent.
        state.links.retain(|(n, _)| *n != no);
        state.links.push((no, link));
    }

    pub fn carrier(&self, request_id: RequestId, no: AttemptNumber) -> Option<Arc<Link>> {
        let state = self.state();
        let at_hand = matches!(state.stage, Stage::Serving(i, _) if i == request_id);
        let mut links = state.links.iter().filter(|_| at_hand);
        links.find(|(n, _)| *n == no).map(|(_, link)| link.clone())
    }

    /// Gives the message of the request, if it is still the one at hand.
    pub fn message<R>(&self, request_id: RequestId, put: impl FnOnce(&Call, &[u8]) -> R) -> Option<R> {
        let state = self.state();
        let Stage::Serving(at_hand, extent) = &state.stage else { return None };
        if *at_hand != request_id {
            return None;
        }
        let mut inbound = self.conn.inbound();
        let bytes = inbound.bytes();
        let (call, _) = http::call(&bytes[..extent.head]).ok()??;
        Some(put(&call, &bytes[extent.body.clone()]))
    }

    /// A final answer of our own.
    pub fn answer(&self, gate: &Arc<Gate>, request_id: RequestId, answer: FinalReply) {
        let (status, body, wait) = match answer {
            FinalReply::Throttled(wait) => (429, "throttled\n", wait),
            FinalReply::Errored => (502, "errored\n", None),
        };
        let header = wait.map(|wait| format!("Retry-After: {:.3}\r\n", wait.secs())).unwrap_or_default();
        self.finish(gate, request_id, |out, keep| http::put_answer(out, status, &header, body, keep));
    }

    /// Writes the final answer to the request at hand; the connection is then free for the next.
    pub fn finish(
        &self,
        gate: &Arc<Gate>,
        request_id: RequestId,
        put: impl FnOnce(&mut Ring, bool) -> io::Result<()>,
    ) {
        let mut state = self.state();
        let Stage::Serving(at_hand, extent) = &state.stage else { return };
        if *at_hand != request_id {
            return;
        }
        let extent = extent.clone();
        self.forget(gate, &mut state);
        self.write(gate, &mut state, Some(&extent), put);
    }

    /// Writes an answer that no request stands behind. Without an extent the message could not be read:
    /// what follows it can't be either.
    fn say(&self, gate: &Arc<Gate>, status: u16, body: &str, extent: Option<&Extent>) {
        let put = |out: &mut Ring, keep| http::put_answer(out, status, "", body, keep);
        self.write(gate, &mut self.state(), extent, put);
    }

    fn write(
        &self,
        gate: &Arc<Gate>,
        state: &mut State,
        extent: Option<&Extent>,
        put: impl FnOnce(&mut Ring, bool) -> io::Result<()>,
    ) {
        let keep = extent.is_some_and(|e| e.keep_alive) && !gate.is_closing();
        let written = self.conn.write(|out| put(out, keep));
        state.since = gate.clock.now();
        state.stage = if keep { Stage::Waiting } else { Stage::Ending };
        let mut inbound = self.conn.inbound();
        let n = inbound.len();
        inbound.consume(extent.map_or(n, |e| e.all));
        if written.is_err() {
            return self.conn.close();
        }
        if !keep && self.conn.unsent() == 0 {
            return self.conn.finish();
        }
        if !inbound.is_empty() {
            self.conn.nudge();
        }
    }

    /// No answer can be waited for any more: an error promises nothing.
    fn give_up(&self, gate: &Arc<Gate>) {
        if let Some(request_id) = self.let_go(gate) {
            self.answer(gate, request_id, FinalReply::Errored);
        }
    }

    fn check(&self, gate: &Arc<Gate>, now: Time, idle_time: Span) {
        let state = self.state();
        if !is_over(&state, self.conn.unsent() > 0, self.opened_at, idle_time, now) {
            return;
        }
        let is_half = state.stage == Stage::Waiting && state.part_since.is_some();
        drop(state);
        if is_half { self.say(gate, 408, "not whole in time\n", None) } else { self.conn.close() }
    }
}

/// Whether nothing has moved on a connection for too long. A message that has just begun counts from then,
/// however long the connection stood idle before: closing it would lose the request. Before the first one the
/// whole time counts.
fn is_over(state: &State, has_unsent: bool, opened_at: Time, idle_time: Span, now: Time) -> bool {
    let waited = now - state.since;
    let is_new_and_old = !state.has_asked && now - opened_at > FIRST_TIME;
    match state.stage {
        Stage::Serving(..) => false,
        _ if has_unsent => waited > ANSWER_TIME,
        Stage::Ending => waited > ENDING_TIME,
        Stage::Waiting => match state.part_since {
            Some(part) => now - part > MESSAGE_TIME || is_new_and_old,
            None => waited > idle_time || is_new_and_old,
        },
    }
}

enum Asked {
    Up,
    /// With its id, hashed.
    Invocation(Request, u64),
}

/// What a client asks for, in the words of the protocol.
fn asked(call: &Call, gate: &Gate, came_at: Time) -> Result<Asked, Bad> {
    let (names, bounds) = (&gate.names, &gate.bounds);
    let path = call.target.split(['?', '#']).next().unwrap_or("");
    if path == "/up" {
        return Ok(Asked::Up);
    }
    let first = path.strip_prefix('/').ok_or(Bad(400, "bad target"))?.split('/').next().unwrap_or("");
    let operation = position(&names.operations, first).ok_or(Bad(404, "unknown operation"))?;
    let OperationBounds { integration_timeout: timeout, is_idempotent } = bounds.operations[operation];
    let fits =
        if is_idempotent { call.method == "GET" } else { matches!(call.method, "POST" | "PUT" | "PATCH") };
    if !fits {
        return Err(Bad(405, "bad method"));
    }
    let header = |name| call.headers.only(name);
    let id = header("request-id")?.ok_or(Bad(400, "no id"))?;
    if id.is_empty() || id.len() > 128 {
        return Err(Bad(400, "bad id"));
    }
    let plan = header("x-tariff")?.ok_or(Bad(400, "no plan"))?;
    let plan = position(&names.plans, plan).ok_or(Bad(400, "unknown plan"))?;
    let cookies = header("cookie")?.ok_or(Bad(400, "no key"))?;
    let key = cookies.split(';').find_map(|c| c.trim().strip_prefix("key=")).ok_or(Bad(400, "no key"))?;
    let tenant = u64::from_str_radix(key, 16).ok().filter(|k| *k < TENANTS && !key.starts_with('+'));
    let tenant = tenant.ok_or(Bad(400, "bad key"))?;
    let patience = header("request-timeout-ms")?.ok_or(Bad(400, "no time limit"))?;
    let patience: u32 = patience.parse().map_err(|_| Bad(400, "bad time limit"))?;
    // No client waits longer than its operation's integration timeout.
    let patience = Span::from_millis(u64::from(patience)).min(timeout);
    let (units, spread) = weight(header("x-weight")?.unwrap_or(""), bounds)?;
    let arrival = Request {
        id: RequestId::default(),
        deadline: came_at + patience,
        tenant: TenantId(tenant),
        operation: OperationId(operation as u8),
        plan: PlanId(plan as u16),
        spread,
        units,
    };
    Ok(Asked::Invocation(arrival, gate.clients.hasher.hash_one(id)))
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The units that it counts, and at how many gatekeepers its tenant comes in; not a number where not told. What
/// the settings rule out is bad: it would be charged to a tenant who never asked for it.
fn weight(text: &str, bounds: &RequestBounds) -> Result<(f32, f32), Bad> {
    const BAD: Bad = Bad(400, "bad weight");
    let (mut units, mut spread, mut first) = (None, None, None);
    for part in text.split(',') {
        let Some((name, value)) = part.split_once('=') else { continue };
        let value = value.trim();
        let whole = || value.parse::<u32>().ok().filter(|_| !value.starts_with('+'));
        let is_twice = match name.trim() {
            "units" => {
                let number = value.parse::<f32>().ok().filter(|n| *n > 0.0 && *n <= bounds.units);
                units.replace(number.ok_or(BAD)?).is_some()
            }
            "spread" => {
                let number = whole().filter(|n| (1..=bounds.gatekeepers).contains(n));
                spread.replace(number.ok_or(BAD)?).is_some()
            }
            "first" => first.replace(whole().filter(|n| *n < bounds.gatekeepers).ok_or(BAD)?).is_some(),
            _ => false,
        };
        if is_twice {
            return Err(BAD);
        }
    }
    Ok((units.unwrap_or(f32::NAN), spread.map_or(f32::NAN, |s| s as f32)))
}

#[cfg(test)]
mod tests;
