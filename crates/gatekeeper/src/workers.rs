//! Workers: a pool of connections to each, deliveries and probes on them.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Outcome, Time, WorkerId};
use lynxstair_settings::Timeouts;

use crate::clients::Client;
use crate::program::Gate;
use lynxstair_dispatch::{Assignment, Cancellation, FinalReply, NextStep};
use lynxstair_net::conn::{Conn, Got, Ring};
use lynxstair_net::coroutine::go_then;
use lynxstair_net::http::{self, Extent, MOST_BODY, MOST_MESSAGE, Stop};
use lynxstair_net::log;

pub type Order = Assignment<Arc<Client>>;

/// Connections are closed here after this part of the time that workers leave them open.
const IDLE_PART: f64 = 0.7;
/// The name that workers know the service by.
const SERVICE: &str = "origin.svc";

/// What a connection is used for at the moment.
enum Job {
    Delivery(Order, Time),
    Probe(Time),
}

struct State {
    connected: bool,
    job: Option<Job>,
    /// The message of the job is in the buffer or beyond.
    put: bool,
    since: Time,
}

/// One connection to a worker.
pub struct Link {
    worker: WorkerId,
    conn: Conn,
    state: Mutex<State>,
}

struct Place {
    addr: SocketAddr,
    draining: bool,
    /// Connections without a job, the one used last at the end.
    idle: Vec<Arc<Link>>,
}

#[derive(Default)]
struct Places {
    all: BTreeMap<WorkerId, Place>,
    links: usize,
    /// Connections being made and probes that are out, in the order in which their time is up.
    watched: VecDeque<(Time, Arc<Link>)>,
}

pub struct Workers {
    places: Mutex<Places>,
    timeouts: Timeouts,
    most: usize,
}

/// A connection for a job.
enum Found {
    Idle(Arc<Link>),
    New(Arc<Link>),
    None,
}

impl Workers {
    pub fn new(timeouts: Timeouts, most: usize) -> Self {
        Workers { places: Mutex::new(Places::default()), timeouts, most }
    }

    fn places(&self) -> MutexGuard<'_, Places> {
        self.places.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A worker as the list has it now.
    pub fn place(&self, id: WorkerId, addr: SocketAddr, draining: bool) {
        let mut places = self.places();
        let place = places.all.entry(id).or_insert(Place { addr, draining, idle: Vec::new() });
        place.draining = draining;
        if place.addr != addr {
            place.addr = addr;
            place.idle.drain(..).for_each(|l| l.conn.close());
        }
    }

    pub fn remove(&self, id: WorkerId) {
        if let Some(place) = self.places().all.remove(&id) {
            place.idle.iter().for_each(|l| l.conn.close());
        }
    }

    /// Makes a delivery; where that fails, does what comes next.
    pub fn deliver(&self, gate: &Arc<Gate>, order: Order) {
        let mut order = order;
        loop {
            let now = gate.clock.now();
            match self.find(gate, order.worker, Job::Delivery(order.clone(), now)) {
                Found::Idle(link) => {
                    order.context.carried_by(order.attempt, link.clone());
                    if link.send(gate).is_ok() {
                        return;
                    }
                    // It broke with the last byte still here: this worker never saw it, another connection may.
                    link.conn.close();
                    if link.take_job().is_none() {
                        return;
                    }
                }
                Found::New(link) => {
                    order.context.carried_by(order.attempt, link.clone());
                    return self.start(gate, link);
                }
                Found::None => match self.ended(gate, &order, Outcome::ConnectFailed, now, None, None) {
                    Some(another) => order = another,
                    None => return,
                },
            }
        }
    }

    pub fn probe(&self, gate: &Arc<Gate>, worker: WorkerId) {
        loop {
            let now = gate.clock.now();
            match self.find(gate, worker, Job::Probe(now)) {
                Found::Idle(link) => {
                    self.watch(gate, now, &link);
                    if link.send(gate).is_ok() {
                        return;
                    }
                    link.conn.close();
                    if link.take_job().is_none() {
                        return;
                    }
                }
                Found::New(link) => return self.start(gate, link),
                Found::None => return gate.dispatcher.on_health_check(now, worker, Outcome::ConnectFailed),
            }
        }
    }

    /// The connection used last that is still good, or else a new one.
    fn find(&self, gate: &Arc<Gate>, worker: WorkerId, job: Job) -> Found {
        let mut places = self.places();
        let Some(place) = places.all.get_mut(&worker) else { return Found::None };
        let addr = place.addr;
        while let Some(link) = place.idle.pop() {
            if !link.conn.is_stale() {
                {
                    let mut state = link.state();
                    state.job = Some(job);
                    state.put = false;
                }
                return Found::Idle(link);
            }
            link.conn.close();
        }
        if places.links >= self.most {
            // One that stands idle elsewhere makes room.
            let idle = places.all.values_mut().filter(|p| !p.idle.is_empty());
            let Some(oldest) = idle.min_by_key(|p| p.idle[0].state().since) else {
                log!("all {} connections to workers are in use", self.most);
                return Found::None;
            };
            oldest.idle.remove(0).conn.close();
        }
        match Conn::open(addr, MOST_MESSAGE) {
            Ok(conn) => {
                places.links += 1;
                let state = State { connected: false, job: Some(job), put: false, since: gate.clock.now() };
                Found::New(Arc::new(Link { worker, conn, state: Mutex::new(state) }))
            }
            Err(e) => {
                log!("no connection to a worker: {e}");
                Found::None
            }
        }
    }

    fn start(&self, gate: &Arc<Gate>, link: Arc<Link>) {
        self.watch(gate, gate.clock.now(), &link);
        let (running, running_gate, gate) = (link.clone(), gate.clone(), gate.clone());
        let run = move || running.run(&running_gate);
        go_then("a worker", run, move |panicked| link.leave(&gate, panicked));
    }

    fn watch(&self, gate: &Gate, now: Time, link: &Arc<Link>) {
        let until = now + self.timeouts.connect;
        self.places().watched.push_back((until, link.clone()));
        gate.ticker.by(until);
    }

    /// When the first connection that is being made, or probe, is due to be given up.
    pub fn next_due(&self) -> Time {
        self.places().watched.front().map_or(Time::from_nanos(u64::MAX), |(until, _)| *until)
    }

    /// Gives up what took too long.
    pub fn tick(&self, gate: &Arc<Gate>, now: Time) {
        loop {
            let mut places = self.places();
            if places.watched.front().is_none_or(|(until, _)| *until > now) {
                return;
            }
            let Some((_, link)) = places.watched.pop_front() else { return };
            drop(places);
            let (connected, is_probe) = {
                let state = link.state();
                let due = |sent: Time| sent + self.timeouts.connect <= now;
                (state.connected, matches!(state.job, Some(Job::Probe(sent)) if due(sent)))
            };
            if connected && !is_probe {
                continue;
            }
            link.conn.close();
            link.end_job(gate, if connected { Outcome::TimedOut } else { Outcome::ConnectFailed });
        }
    }

    /// Closes what has stood idle for long: the worker would do so soon, and what crosses that is lost.
    pub fn close_idle(&self, now: Time) {
        let most = self.timeouts.idle.times(IDLE_PART);
        for place in self.places().all.values_mut() {
            place.idle.retain(|link| {
                let keep = now - link.state().since < most;
                if !keep {
                    link.conn.close();
                }
                keep
            });
        }
    }

    /// Gives up a delivery that is out: closes its connection at once.
    pub fn give_up(&self, gate: &Arc<Gate>, what: &Cancellation<Arc<Client>>, outcome: Outcome) {
        let Some(link) = what.context.carrier(what.request_id, what.attempt) else { return };
        let is_it = matches!(&link.state().job, Some(Job::Delivery(o, _)) if o.request_id == what.request_id && o.attempt == what.attempt);
        if !is_it {
            return;
        }
        // What was not handed over whole never ran, whatever ended it.
        let proved = outcome == Outcome::TimedOut && !link.is_sent();
        link.conn.close();
        link.end_job(gate, if proved { Outcome::ConnectFailed } else { outcome });
    }

    /// Reports the end of a delivery and does what comes next; another delivery is left to the caller.
    fn ended(
        &self,
        gate: &Arc<Gate>,
        order: &Order,
        outcome: Outcome,
        sent_at: Time,
        used: Option<f32>,
        answer: Option<(&Link, &Extent)>,
    ) -> Option<Order> {
        let now = gate.clock.now();
        let (next, cancelled) = gate.dispatcher.report(now, order, outcome, now - sent_at, used);
        for cancelled in cancelled {
            self.give_up(gate, &cancelled, Outcome::Cancelled);
        }
        match (next, answer) {
            (NextStep::Relay(client), Some((link, extent))) => link.pass_on(gate, &client, order, extent),
            (NextStep::Relay(client), None) => client.answer(gate, order.request_id, FinalReply::Errored),
            (NextStep::Reply(client, answer), _) => client.answer(gate, order.request_id, answer),
            (NextStep::Retry(another), _) => return Some(another),
            (NextStep::Nothing, _) => {}
        }
        gate.ticker.by(gate.dispatcher.next_due());
        None
    }
}

impl Link {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn take_job(&self) -> Option<Job> {
        self.state().job.take()
    }

    /// Whether the kernel was handed all of the message.
    fn is_sent(&self) -> bool {
        self.state().put && self.conn.unsent() == 0
    }

    fn run(self: &Arc<Self>, gate: &Arc<Gate>) {
        if self.conn.connected().is_err() {
            return;
        }
        self.state().connected = true;
        // The job may have been given up meanwhile; then the connection is good for the next.
        if self.state().job.is_none() {
            self.rest(gate);
        } else if !gate.workers.is_open(self.worker) || self.send(gate).is_err() {
            return;
        }
        loop {
            let stop = match self.conn.read() {
                Got::Bytes => Stop::Open,
                Got::End => Stop::Orderly,
                Got::Broken => Stop::Broken,
            };
            if !self.take_answer(gate, stop) || stop != Stop::Open {
                return;
            }
        }
    }

    /// The connection has ended.
    fn leave(self: &Arc<Self>, gate: &Arc<Gate>, panicked: bool) {
        self.conn.close();
        {
            let mut places = gate.workers.places();
            places.links -= 1;
            if let Some(place) = places.all.get_mut(&self.worker) {
                place.idle.retain(|l| !Arc::ptr_eq(l, self));
            }
        }
        let may_have_run = panicked || self.is_sent();
        self.end_job(gate, if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed });
    }

    /// Writes the message of the job in one piece.
    fn send(&self, gate: &Gate) -> io::Result<()> {
        let mut state = self.state();
        state.put = true;
        match &state.job {
            Some(Job::Delivery(order, _)) => {
                let now = gate.clock.now();
                let left = (order.deadline - now).nanos() / 1_000_000;
                let put = |call: &http::Call, body: &[u8]| {
                    self.conn.write(|out| put_delivery(out, call, body, left))
                };
                // Where the request is over already, there is nothing to send.
                order.context.message(order.request_id, put).unwrap_or(Err(io::ErrorKind::NotFound.into()))
            }
            Some(Job::Probe(_)) => {
                self.conn.write(|out| write!(out, "GET /alive HTTP/1.1\r\nHost: {SERVICE}\r\n\r\n"))
            }
            None => Ok(()),
        }
    }

    /// Acts on the answer, if it is whole; whether the connection is still good.
    fn take_answer(self: &Arc<Self>, gate: &Arc<Gate>, stop: Stop) -> bool {
        loop {
            let mut inbound = self.conn.inbound();
            if inbound.is_empty() {
                return true;
            }
            let bytes = inbound.bytes();
            let extent = match http::answer_extent(bytes, stop, MOST_BODY) {
                Ok(Some(extent)) => extent,
                Ok(None) => return true,
                Err(_) => {
                    drop(inbound);
                    self.end_job(gate, Outcome::Errored);
                    return false;
                }
            };
            let Ok(Some((answer, _))) = http::answer(&bytes[..extent.head]) else { return false };
            if (100..200).contains(&answer.status) {
                inbound.consume(extent.all);
                continue;
            }
            let never_ran = answer.headers.get("not-started") == Some("1");
            let outcome = match answer.status {
                200 => Outcome::Succeeded,
                503 | 504 if never_ran => Outcome::Full,
                _ => Outcome::Errored,
            };
            let used = answer.headers.get("x-allowance-used").and_then(|u| u.parse::<f32>().ok());
            let used = used.filter(|u| u.is_finite()).map(|percent| percent / 100.0);
            drop(inbound);
            // What comes unasked can't be told from what is asked next.
            let Some(job) = self.take_job() else { return false };
            let another = match job {
                Job::Delivery(order, sent_at) => {
                    gate.workers.ended(gate, &order, outcome, sent_at, used, Some((self, &extent)))
                }
                Job::Probe(_) => {
                    let outcome = if outcome == Outcome::Errored { Outcome::Full } else { outcome };
                    gate.dispatcher.on_health_check(gate.clock.now(), self.worker, outcome);
                    gate.ticker.by(gate.dispatcher.next_due());
                    None
                }
            };
            let clean = {
                let mut inbound = self.conn.inbound();
                inbound.consume(extent.all);
                inbound.is_empty()
            };
            let keep = extent.keep_alive && clean && stop == Stop::Open;
            if keep {
                self.rest(gate);
            }
            if let Some(order) = another {
                gate.workers.deliver(gate, order);
            }
            return keep;
        }
    }

    /// Without a job, in the pool.
    fn rest(self: &Arc<Self>, gate: &Gate) {
        let now = gate.clock.now();
        self.state().since = now;
        match gate.workers.places().all.get_mut(&self.worker) {
            Some(place) if !place.draining => place.idle.push(self.clone()),
            _ => self.conn.close(),
        }
    }

    /// The job ends without an answer.
    fn end_job(&self, gate: &Arc<Gate>, outcome: Outcome) {
        match self.take_job() {
            Some(Job::Delivery(order, sent_at)) => {
                if let Some(another) = gate.workers.ended(gate, &order, outcome, sent_at, None, None) {
                    gate.workers.deliver(gate, another);
                }
            }
            Some(Job::Probe(_)) => {
                gate.dispatcher.on_health_check(gate.clock.now(), self.worker, outcome);
                gate.ticker.by(gate.dispatcher.next_due());
            }
            None => {}
        }
    }

    /// Hands the worker's answer to the client, whole.
    fn pass_on(&self, gate: &Arc<Gate>, client: &Client, order: &Order, extent: &Extent) {
        let mut inbound = self.conn.inbound();
        let bytes = inbound.bytes();
        let Ok(Some((answer, _))) = http::answer(&bytes[..extent.head]) else { return };
        let body = &bytes[extent.body.clone()];
        client.finish(gate, order.request_id, |out, keep| {
            // Before the client can have it: what it is told is on record, however this process ends.
            if let Some(uses) = gate.uses.get() {
                let used = &order.usage;
                uses.note(gate.clock.now(), used.tenant.0, used.operation.0, used.units);
            }
            write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n", body.len())?;
            if !keep {
                out.write_all(b"Connection: close\r\n")?;
            }
            let hidden = ["x-allowance-used", "server-load", "not-started"];
            for (name, value) in answer.headers.passed_on() {
                if !hidden.iter().any(|h| name.eq_ignore_ascii_case(h)) {
                    http::put_header(out, name, value)?;
                }
            }
            out.write_all(b"\r\n")?;
            out.write_all(body)
        });
    }
}

impl Workers {
    /// Whether something new may go to it.
    fn is_open(&self, worker: WorkerId) -> bool {
        self.places().all.get(&worker).is_some_and(|p| !p.draining)
    }
}

/// The client's message as the worker gets it: unchanged but for the time left and what is of a connection.
fn put_delivery(out: &mut Ring, call: &http::Call, body: &[u8], left_ms: u64) -> io::Result<()> {
    write!(out, "{} {} HTTP/1.1\r\nRequest-Timeout-Ms: {left_ms}\r\n", call.method, call.target)?;
    if !body.is_empty() || call.method != "GET" {
        write!(out, "Content-Length: {}\r\n", body.len())?;
    }
    for (name, value) in call.headers.passed_on() {
        if !name.eq_ignore_ascii_case("request-timeout-ms") {
            http::put_header(out, name, value)?;
        }
    }
    out.write_all(b"\r\n")?;
    out.write_all(body)
}
