//! Workers on sockets: connections to them, and one try of a request at one of them.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Outcome, Span, Time};
use lynxstair_ridge::ladder::Worker;
use lynxstair_trailbook::verdict::Verdict;
use lynxstair_wire::alarms::Alarms;
use lynxstair_wire::conn::{Conn, Got, Ring};
use lynxstair_wire::http::{self, Extent, MOST_HEAD, Stop};

/// An answer up to this long is held until it is whole; a longer one is passed on as it comes.
const HELD: usize = 64 << 10;
/// What a connection holds of an answer that is not whole.
const MOST: usize = (1 << 20) + MOST_HEAD;
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

    /// One try of a request at a worker. It is given up when `until` comes.
    pub fn send(
        &self,
        alarms: &Alarms,
        worker: &Arc<Worker>,
        out: &Outgoing,
        until: Time,
        carrier: &Carrier,
    ) -> Tried {
        let tried = |verdict, outcome| Tried { verdict, outcome, answer: None };
        let never = |outcome| tried(Verdict::NeverRan, outcome);
        let now = alarms.now();
        let found = self.find(now, worker);
        let is_new = found.is_none();
        let conn = match found {
            Some(conn) => conn,
            None => {
                if !self.make_room() {
                    return never(Outcome::ConnectFailed);
                }
                let Ok(conn) = Conn::open(worker.address, MOST) else { return never(Outcome::ConnectFailed) };
                self.open.fetch_add(1, Ordering::Relaxed);
                Arc::new(conn)
            }
        };
        carrier.carries(&conn);
        if is_new {
            let by = (now + CONNECTING).min(until);
            alarms.nudge(by, &conn);
            if conn.connected_by(|| alarms.now() >= by || carrier.is_gone()).is_err() {
                self.end(&conn);
                let gone = carrier.is_gone();
                return never(if gone { Outcome::Cancelled } else { Outcome::ConnectFailed });
            }
        }
        let left = (until - alarms.now()).nanos() / 1_000_000;
        let written = conn.write(|ring| put_request(ring, out, worker, left));
        if written.is_err() {
            // What the kernel did not take whole, the worker can't have begun.
            let verdict = if conn.unsent() > 0 { Verdict::NeverRan } else { Verdict::MayHaveRun };
            self.end(&conn);
            let never = verdict == Verdict::NeverRan;
            return tried(verdict, if never { Outcome::ConnectFailed } else { Outcome::Reset });
        }
        alarms.nudge(until, &conn);
        let ended = self.hear(alarms, worker, &conn, out.attempt, until, carrier);
        match ended {
            Ok(answer) => answer,
            Err(outcome) => {
                let never = conn.unsent() > 0;
                self.end(&conn);
                match outcome {
                    _ if never => tried(Verdict::NeverRan, Outcome::ConnectFailed),
                    outcome => tried(Verdict::MayHaveRun, outcome),
                }
            }
        }
    }

    /// Waits for the answer that carries the request's id.
    fn hear(
        &self,
        alarms: &Alarms,
        worker: &Arc<Worker>,
        conn: &Arc<Conn>,
        attempt: &str,
        until: Time,
        carrier: &Carrier,
    ) -> Result<Tried, Outcome> {
        loop {
            let stop = match conn.read() {
                Got::Bytes => Stop::Open,
                Got::End => Stop::Orderly,
                Got::Broken => Stop::Broken,
            };
            loop {
                let mut inbound = conn.inbound();
                if inbound.is_empty() {
                    break;
                }
                let bytes = inbound.bytes();
                let (head, status, has_id, not_run, is_good, length, keep, coded) = match http::answer(bytes)
                {
                    Ok(None) => break,
                    Err(_) => return Err(Outcome::Errored),
                    Ok(Some((answer, head))) => {
                        let headers = &answer.headers;
                        let id = headers.get("attempt-id");
                        let coded = headers.get("content-encoding").is_some();
                        let seal = headers.get("server-seal").is_some();
                        let is_good = !coded && (seal || !(200..300).contains(&answer.status));
                        (
                            head,
                            answer.status,
                            id == Some(attempt),
                            headers.get("not-run").is_some() || answer.status == 421,
                            is_good,
                            headers.get("content-length").and_then(|l| l.parse::<usize>().ok()),
                            headers.get("keep-alive").and_then(idle_of),
                            headers.get("transfer-encoding").is_some(),
                        )
                    }
                };
                let extent = match http::answer_extent(bytes, stop, MOST) {
                    Ok(Some(extent)) => extent,
                    Ok(None) => {
                        // A long one is passed on as it comes, once it is known to be the right one.
                        if let Some(length) = length
                            && length > HELD
                            && !coded
                            && has_id
                            && is_good
                            && !not_run
                            && stop == Stop::Open
                        {
                            let here = bytes.len() - head;
                            let extent =
                                Extent { head, body: head..head + here, all: head + here, keep_alive: false };
                            let answer = Answer {
                                conn: conn.clone(),
                                status,
                                extent,
                                rest: length - here,
                                keep: None,
                                worker: worker.clone(),
                            };
                            return Ok(answered(status, answer));
                        }
                        break;
                    }
                    Err(_) => return Err(Outcome::Errored),
                };
                if (100..200).contains(&status) {
                    inbound.consume(extent.all);
                    continue;
                }
                if !has_id && !not_run {
                    // A surplus one, for a request before: the right one may still come.
                    inbound.consume(extent.all);
                    continue;
                }
                if not_run {
                    let keep = extent.keep_alive && inbound.len() == extent.all;
                    inbound.consume(extent.all);
                    drop(inbound);
                    let until = alarms.now() + idle_for(None);
                    if keep && stop == Stop::Open {
                        self.rest(worker, conn.clone(), until)
                    } else {
                        self.end(conn)
                    }
                    return Ok(Tried { verdict: Verdict::NeverRan, outcome: Outcome::Full, answer: None });
                }
                if !is_good {
                    return Err(Outcome::Errored);
                }
                let reuse = extent.keep_alive && inbound.len() == extent.all && stop == Stop::Open;
                let keep = reuse.then(|| alarms.now() + idle_for(keep));
                let (conn, worker) = (conn.clone(), worker.clone());
                return Ok(answered(status, Answer { conn, status, extent, rest: 0, keep, worker }));
            }
            if stop != Stop::Open {
                return Err(Outcome::Reset);
            }
            if carrier.is_gone() {
                return Err(Outcome::Cancelled);
            }
            if alarms.now() >= until {
                return Err(Outcome::TimedOut);
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

fn answered(status: u16, answer: Answer) -> Tried {
    let outcome = if status < 500 { Outcome::Succeeded } else { Outcome::Errored };
    Tried { verdict: Verdict::Ran, outcome, answer: Some(answer) }
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
        "{} {} HTTP/1.1\r\nTime-Left-Ms: {left_ms}\r\nTarget-Instance: {}\r\n",
        call.method, call.target, worker.id
    )?;
    if let Some(tenant) = out.tenant {
        write!(ring, "Tenant: {tenant}\r\n")?;
    }
    if !out.body.is_empty() || !matches!(call.method, "GET" | "HEAD" | "DELETE") {
        write!(ring, "Content-Length: {}\r\n", out.body.len())?;
    }
    const OURS: [&str; 4] = ["time-left-ms", "target-instance", "tenant", "authorization"];
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

    /// Takes the next piece of a long body; false where it broke off.
    pub fn more(
        &mut self,
        alarms: &Alarms,
        until: Time,
        carrier: &Carrier,
        mut put: impl FnMut(&[u8]) -> bool,
    ) -> bool {
        self.conn.inbound().consume(self.extent.all);
        self.extent = Extent::default();
        while self.rest > 0 {
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
            if carrier.is_gone() || alarms.now() >= until || self.conn.read() != Got::Bytes {
                let here = self.conn.inbound().len();
                if here == 0 {
                    return false;
                }
            }
        }
        true
    }
}
