//! Workers on sockets: connections to them, and one try of a request at one of them.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Outcome, Span, Time};
use lynxstair_net::alarms::Alarms;
use lynxstair_net::conn::{Conn, Got, Ring};
use lynxstair_net::http::{self, Bad, Extent, MOST_HEAD, Stop};
use lynxstair_routing::attempt::{End, Heard, Met, State, Step, Stop as Why, Try, Whose};
use lynxstair_routing::execution::Verdict;
use lynxstair_routing::locality_balancer::Worker;

/// An answer up to this long is held until it is whole; a longer one is passed on as it comes.
const HELD: usize = 64 << 10;
/// What is held of an answer that does not say its length, until it is whole.
const MOST_HELD: usize = (1 << 20) + MOST_HEAD;
/// What a connection holds of a request that the kernel has not taken: as much as a client may send, and its head.
const MOST: usize = (2 << 20) + 2 * MOST_HEAD;
/// A connection to a worker that takes longer leads to none that is there.
const CONNECTING: Span = Span::from_millis(400);
/// An idle connection is used no longer than this, or than the worker says, less a margin.
const IDLE: Span = Span::from_millis(6_000);
const IDLE_MARGIN: Span = Span::from_millis(1_200);

struct Idle {
    conn: Arc<Conn>,
    until: Time,
}

#[derive(Default)]
pub struct Workers {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
    open: AtomicUsize,
    most: usize,
}

/// What is sent: the head as the worker gets it, but for the time left, and the body.
pub struct Outgoing<'a> {
    pub call: &'a http::Call<'a>,
    pub body: &'a [u8],
    pub tenant: Option<&'a str>,
    pub attempt: &'a str,
    /// Asked right before the request is handed over: whether it may still go to this worker.
    pub may_go: &'a dyn Fn(Time) -> bool,
}

/// What a try came to.
pub struct Tried {
    pub verdict: Verdict,
    pub outcome: Outcome,
    pub answer: Option<Answer>,
}

/// A worker's answer that may be passed on.
pub struct Answer {
    conn: Arc<Conn>,
    pub status: u16,
    extent: Extent,
    /// Only its beginning is here; so many bytes of the body are to come.
    pub rest: usize,
    keep: Option<Time>,
    worker: Arc<Worker>,
}

/// Whoever waits for a try may be told that nobody wants it any more.
#[derive(Default)]
pub struct Carrier {
    pub gone: AtomicBool,
    conn: Mutex<Option<Arc<Conn>>>,
}

impl Carrier {
    fn carries(&self, conn: &Arc<Conn>) {
        *self.conn.lock().unwrap_or_else(|e| e.into_inner()) = Some(conn.clone());
    }

    /// The client has left: what is out for it ends.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::Relaxed);
        if let Some(conn) = self.conn.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
            conn.nudge();
        }
    }

    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }
}

impl Workers {
    pub fn new(most: usize) -> Workers {
        Workers { most, ..Workers::default() }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The idle connection used last that is still good.
    fn find(&self, now: Time, worker: &Worker) -> Option<Arc<Conn>> {
        let mut idle = self.idle();
        let own = idle.get_mut(&worker.id)?;
        while let Some(found) = own.pop() {
            if now < found.until && !found.conn.is_stale() {
                return Some(found.conn);
            }
            found.conn.close();
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
        None
    }

    fn rest(&self, worker: &Worker, conn: Arc<Conn>, until: Time) {
        self.idle().entry(worker.id.clone()).or_default().push(Idle { conn, until });
    }

    fn end(&self, conn: &Conn) {
        conn.close();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Closes what has stood idle for long.
    pub fn tick(&self, now: Time) {
        let mut idle = self.idle();
        idle.retain(|_, own| {
            own.retain(|i| {
                if i.until <= now {
                    self.end(&i.conn);
                }
                now < i.until
            });
            !own.is_empty()
        });
    }

    /// Where no more may be opened, one that stands idle makes room.
    fn make_room(&self) -> bool {
        if self.open.load(Ordering::Relaxed) < self.most {
            return true;
        }
        let mut idle = self.idle();
        let Some(own) = idle.values_mut().find(|o| !o.is_empty()) else { return false };
        let first = own.remove(0);
        drop(idle);
        self.end(&first.conn);
        true
    }

    /// A connection to the worker: an idle one, or a new one; with whether it is new.
    fn connect(
        &self,
        alarms: &Alarms,
        worker: &Worker,
        until: Time,
        carrier: &Carrier,
    ) -> Option<(Arc<Conn>, bool)> {
        let now = alarms.now();
        if let Some(conn) = self.find(now, worker) {
            carrier.carries(&conn);
            return Some((conn, false));
        }
        if !self.make_room() {
            return None;
        }
        let conn = Arc::new(Conn::open(worker.address, MOST).ok()?);
        self.open.fetch_add(1, Ordering::Relaxed);
        carrier.carries(&conn);
        let by = (now + CONNECTING).min(until);
        alarms.nudge(by, &conn);
        if conn.connected_by(|| alarms.now() >= by || carrier.is_gone()).is_err() {
            self.end(&conn);
            return None;
        }
        Some((conn, true))
    }

    /// One try of a request at a worker. It is given up when `until` comes.
    pub fn send(
        &self,
        alarms: &Alarms,
        worker: &Arc<Worker>,
        out: &Outgoing,
        until: Time,
        carrier: &Carrier,
    ) -> Tried {
        if carrier.is_gone() {
            return unsent(Met::Stopped { why: Why::ClientGone, in_part: false });
        }
        let Some((conn, is_first)) = self.connect(alarms, worker, until, carrier) else {
            let gone = carrier.is_gone();
            return unsent(if gone {
                Met::Stopped { why: Why::ClientGone, in_part: false }
            } else {
                Met::NoConnection
            });
        };
        // It may have taken its time to come up, and the gatekeeper may have stood still.
        let now = alarms.now();
        if now >= until || carrier.is_gone() || !(out.may_go)(now) {
            self.end(&conn);
            return unsent(Met::Withheld);
        }
        let mut this = Try::begin(is_first);
        let left = (until - now).nanos() / 1_000_000;
        let mut is_put = false;
        let written = conn.write(|ring| {
            put_request(ring, out, worker, left)?;
            is_put = true;
            Ok(())
        });
        let end = if written.is_err() && !is_put {
            // Too large for what may be held: nothing of it went out.
            this.step(Met::NoConnection)
        } else {
            alarms.nudge(until, &conn);
            let wait = Wait { alarms, until, carrier };
            match self.hear(&wait, worker, &conn, out.attempt, &mut this) {
                Ok(tried) => return tried,
                Err(met) => this.step(met),
            }
        };
        self.end(&conn);
        ended(end)
    }

    /// Waits for the request's own answer. `Err`: what ended the try without one.
    fn hear(
        &self,
        wait: &Wait,
        worker: &Arc<Worker>,
        conn: &Arc<Conn>,
        attempt: &str,
        this: &mut Try,
    ) -> Result<Tried, Met> {
        loop {
            let mut stop = match conn.read() {
                Got::Bytes => Stop::Open,
                Got::End => Stop::Orderly,
                Got::Broken => Stop::Broken,
            };
            let why = wait.over(stop);
            if why.is_some() {
                // Who stood still is woken by the time that is up before the answer that came in time: what the
                // kernel holds is read before anything is said.
                while let Some(got) = conn.look() {
                    match got {
                        Got::Bytes => continue,
                        Got::End => stop = Stop::Orderly,
                        Got::Broken => stop = Stop::Broken,
                    }
                    break;
                }
            }
            if this.state() < State::Sent {
                this.step(Met::Taken { all: conn.unsent() == 0 });
            }
            loop {
                let found = look_at(&mut conn.inbound(), attempt, stop)?;
                let Some(found) = found else { break };
                let end = match this.step(Met::Answer(found.heard)) {
                    Step::Over(end) => end,
                    Step::GoOn | Step::PassOver if found.rest > 0 => break,
                    Step::GoOn | Step::PassOver => {
                        conn.inbound().consume(found.extent.all);
                        continue;
                    }
                };
                let until = end.keep.then(|| wait.alarms.now() + idle_for(found.keep));
                let answer = Answer {
                    conn: conn.clone(),
                    status: found.heard.status,
                    extent: found.extent,
                    rest: found.rest,
                    keep: until,
                    worker: worker.clone(),
                };
                let tried = ended(Step::Over(end));
                return Ok(match end.verdict {
                    Verdict::Ran | Verdict::Failed => Tried { answer: Some(answer), ..tried },
                    Verdict::NeverRan | Verdict::MayHaveRun => {
                        self.done(answer);
                        tried
                    }
                });
            }
            if let Some(why) = why {
                return Err(Met::Stopped { why, in_part: !conn.inbound().is_empty() });
            }
        }
    }

    /// Lets go of an answer: its connection goes back, or ends.
    pub fn done(&self, answer: Answer) {
        match answer.keep {
            Some(until) if answer.rest == 0 => {
                answer.conn.inbound().consume(answer.extent.all);
                self.rest(&answer.worker, answer.conn.clone(), until);
            }
            _ => self.end(&answer.conn),
        }
    }
}

/// How long an answer is waited for, and for whom.
struct Wait<'a> {
    alarms: &'a Alarms,
    until: Time,
    carrier: &'a Carrier,
}

impl Wait<'_> {
    /// Why no more is waited for, as the connection stands.
    fn over(&self, stop: Stop) -> Option<Why> {
        match stop {
            Stop::Open if self.carrier.is_gone() => Some(Why::ClientGone),
            Stop::Open if self.alarms.now() >= self.until => Some(Why::TimeUp),
            Stop::Open => None,
            Stop::Orderly | Stop::Broken => Some(Why::Lost),
        }
    }
}

/// A try that ended without an answer to pass on.
fn ended(step: Step) -> Tried {
    let (verdict, outcome) = match step {
        Step::Over(End { verdict, outcome, .. }) => (verdict, outcome),
        // A try whose connection is let go has ended.
        Step::GoOn | Step::PassOver => (Verdict::MayHaveRun, Outcome::Errored),
    };
    Tried { verdict, outcome, answer: None }
}

/// A try of which nothing went out.
fn unsent(met: Met) -> Tried {
    ended(Try::begin(true).step(met))
}

/// An answer at the front of what came in.
struct Found {
    heard: Heard,
    extent: Extent,
    /// Only its beginning is here; so many bytes of the body are to come.
    rest: usize,
    /// How long the worker keeps the connection, where it says so.
    keep: Option<Span>,
}

/// The answer at the front, once it is whole, or, where it is long, once its head is.
fn look_at(inbound: &mut Ring, attempt: &str, stop: Stop) -> Result<Option<Found>, Met> {
    if inbound.is_empty() {
        return Ok(None);
    }
    let bytes = inbound.bytes();
    let (head, mut heard, long, keep) = match http::answer(bytes) {
        Ok(None) => return Ok(None),
        Err(_) => return Err(Met::Garbled),
        Ok(Some((answer, head))) => {
            let headers = &answer.headers;
            let has = |name| headers.get(name).is_some();
            let whose = match headers.only("attempt-id") {
                Ok(Some(id)) if id == attempt => Whose::Ours,
                Ok(Some(_)) => Whose::Anothers,
                Ok(None) => Whose::Nobodys,
                Err(_) => Whose::Unclear,
            };
            let heard = Heard {
                whose,
                status: answer.status,
                says_not_run: has("not-run"),
                is_sealed: has("server-seal"),
                is_encoded: has("content-encoding"),
                is_clean: false,
            };
            let length = headers.get("content-length").and_then(|l| l.parse::<usize>().ok());
            let long = length.filter(|l| *l > HELD && !has("transfer-encoding"));
            (head, heard, long, headers.get("keep-alive").and_then(idle_of))
        }
    };
    let here = bytes.len() - head;
    match (http::answer_extent(bytes, stop, MOST_HELD), long) {
        (Ok(Some(extent)), _) => {
            heard.is_clean = extent.keep_alive && extent.all == inbound.len() && stop == Stop::Open;
            Ok(Some(Found { heard, extent, rest: 0, keep }))
        }
        // A long one is passed on as it comes, once it is known to be the right one.
        (Ok(None) | Err(Bad(413, _)), Some(length)) if stop == Stop::Open && length > here => {
            let extent = Extent { head, body: head..head + here, all: head + here, keep_alive: false };
            Ok(Some(Found { heard, extent, rest: length - here, keep }))
        }
        (Ok(None), _) => Ok(None),
        (Err(_), _) => Err(Met::Garbled),
    }
}

/// How long a worker keeps an idle connection, by its own word.
fn idle_of(value: &str) -> Option<Span> {
    let timeout = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    Some(Span::from_secs(timeout.parse().ok()?))
}

fn idle_for(said: Option<Span>) -> Span {
    let most = said.map_or(IDLE, |s| Span::from_nanos(s.nanos().saturating_sub(IDLE_MARGIN.nanos())));
    most.min(IDLE)
}

/// The request as the worker gets it: unchanged but for what concerns one connection, the key, and what we add.
fn put_request(ring: &mut Ring, out: &Outgoing, worker: &Worker, left_ms: u64) -> io::Result<()> {
    let call = out.call;
    write!(
        ring,
        "{} {} HTTP/1.1\r\nAttempt-Id: {}\r\nTime-Left-Ms: {left_ms}\r\nTarget-Instance: {}\r\n",
        call.method, call.target, out.attempt, worker.id
    )?;
    if let Some(tenant) = out.tenant {
        write!(ring, "Tenant: {tenant}\r\n")?;
    }
    if !out.body.is_empty() || !matches!(call.method, "GET" | "HEAD" | "DELETE") {
        write!(ring, "Content-Length: {}\r\n", out.body.len())?;
    }
    // The id by our own hand: a client may name it in `Connection`, and without it nobody could tell whose an answer is.
    const OURS: [&str; 5] = ["attempt-id", "time-left-ms", "target-instance", "tenant", "authorization"];
    for (name, value) in call.headers.passed_on() {
        if !OURS.iter().any(|o| name.eq_ignore_ascii_case(o)) {
            http::put_header(ring, name, value)?;
        }
    }
    ring.write_all(b"\r\n")?;
    ring.write_all(out.body)
}

impl Answer {
    /// Writes the head and what is here of the body.
    pub fn put(&self, out: &mut Ring, connection: &str) -> io::Result<()> {
        let mut inbound = self.conn.inbound();
        let bytes = inbound.bytes();
        let Ok(Some((answer, _))) = http::answer(&bytes[..self.extent.head]) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let body = &bytes[self.extent.body.clone()];
        write!(out, "HTTP/1.1 {} {}\r\n", self.status, http::reason(self.status))?;
        let bare = matches!(self.status, 204 | 304);
        if !bare {
            write!(out, "Content-Length: {}\r\n", body.len() + self.rest)?;
        }
        out.write_all(connection.as_bytes())?;
        for (name, value) in answer.headers.passed_on() {
            http::put_header(out, name, value)?;
        }
        out.write_all(b"\r\n")?;
        out.write_all(body)
    }

    /// Takes the rest of a long body, a piece whenever there is room for it; false where it broke off.
    pub fn more(
        &mut self,
        alarms: &Alarms,
        until: Time,
        carrier: &Carrier,
        mut has_room: impl FnMut() -> bool,
        mut put: impl FnMut(&[u8]) -> bool,
    ) -> bool {
        self.conn.inbound().consume(self.extent.all);
        self.extent = Extent::default();
        alarms.nudge(until, &self.conn);
        while self.rest > 0 {
            // Waited for with no lock held.
            if !has_room() {
                return false;
            }
            {
                let mut inbound = self.conn.inbound();
                let n = inbound.len().min(self.rest);
                if n > 0 {
                    if !put(&inbound.bytes()[..n]) {
                        return false;
                    }
                    inbound.consume(n);
                    self.rest -= n;
                    continue;
                }
            }
            // What the kernel holds already counts, however late we look.
            let is_over = carrier.is_gone() || alarms.now() >= until;
            let got = if is_over { self.conn.look().unwrap_or(Got::Broken) } else { self.conn.read() };
            if got != Got::Bytes && self.conn.inbound().is_empty() {
                return false;
            }
        }
        true
    }
}
