//! Clients on sockets: their connections, the requests on them, the answers in the order of the requests.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_net::calls;
use lynxstair_net::conn::{Conn, Got, Ring};
use lynxstair_net::coroutine::go_then;
use lynxstair_net::http::{self, Bad, Extent, MOST_HEAD};
use may::io::CoIo;
use may::sync::Blocker;

use crate::road::Road;
use crate::rooms::{Admitted, Asked, Own};
use crate::turns::{Then, Turn, Turns};
use crate::workers::{Answer, Carrier, Outgoing};

/// So many requests of one connection are at work at once; the rest waits unread.
const AT_ONCE: usize = 16;
/// Before a configuration is known: how long a head may take, and how long a connection may stand idle.
const HEADER_TIME: Span = Span::from_millis(3_000);
const IDLE_TIME: Span = Span::from_millis(15_000);
/// A body that comes is given this much longer than a head.
const BODY_TIME: Span = Span::from_millis(10_000);
/// A request's own answer comes this much before its client gives up.
const MARGIN: Span = Span::from_millis(4);
/// What a client does not read, of a long answer, waits in this many bytes at most.
const MOST_UNREAD: usize = 256 << 10;
const MOST: usize = (2 << 20) + MOST_HEAD;

pub struct Clients {
    most: usize,
    open: AtomicUsize,
    all: Mutex<HashMap<usize, Arc<Client>>>,
    last: AtomicUsize,
}

impl Clients {
    pub fn new(most: usize) -> Clients {
        Clients { most, open: AtomicUsize::new(0), all: Mutex::default(), last: AtomicUsize::new(0) }
    }

    fn all(&self) -> MutexGuard<'_, HashMap<usize, Arc<Client>>> {
        self.all.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    pub fn serve(road: &Arc<Road>, listener: &CoIo<TcpListener>) {
        calls::accept(listener, |stream| {
            let clients = &road.clients;
            if clients.count() >= clients.most || road.has_ended() {
                return;
            }
            let Ok(conn) = Conn::new(stream, MOST) else { return };
            let number = clients.last.fetch_add(1, Ordering::Relaxed);
            let client = Arc::new(Client {
                conn: Arc::new(conn),
                order: Mutex::default(),
                told_idle: AtomicU64::new(0),
            });
            clients.open.fetch_add(1, Ordering::Relaxed);
            clients.all().insert(number, client.clone());
            let (r, ending) = (road.clone(), road.clone());
            let leaving = client.clone();
            let serve = move || client.serve(&r);
            go_then("a client", serve, move |_| {
                leaving.leave();
                ending.clients.all().remove(&number);
                ending.clients.open.fetch_sub(1, Ordering::Relaxed);
            });
        });
    }

    /// Those that rest are ended, the others end with their last answer.
    pub fn finish(&self) {
        for client in self.all().values() {
            client.conn.nudge();
        }
    }
}

/// The order of answers on one connection.
#[derive(Default)]
struct Order {
    turns: Turns,
    /// Those that are ready before their turn.
    waiting: HashMap<u64, Arc<Blocker>>,
    at_work: HashMap<u64, Arc<Carrier>>,
}

struct Client {
    conn: Arc<Conn>,
    order: Mutex<Order>,
    /// How long the connection may stand idle, as its client was told last, in nanoseconds.
    told_idle: AtomicU64,
}

/// What is told of the time that a connection may stand idle is so much less than the time itself.
const IDLE_MARGIN: Span = Span::from_millis(1_000);

/// A request as it was read.
struct Request {
    number: u64,
    bytes: Vec<u8>,
    extent: Extent,
    read_at: Time,
}

impl Client {
    fn order(&self) -> MutexGuard<'_, Order> {
        self.order.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The connection has ended: nobody waits for what is at work.
    fn leave(&self) {
        self.conn.close();
        let mut order = self.order();
        order.turns.leave();
        order.at_work.values().for_each(|c| c.leave());
        order.waiting.values().for_each(|b| b.unpark());
    }

    /// Reads one request after another and starts each.
    fn serve(self: &Arc<Self>, road: &Arc<Road>) {
        let mut since = road.alarms.now();
        let mut part_since: Option<Time> = None;
        let mut told_to_go_on = false;
        loop {
            let (header_time, idle_time, most_body) = road.client_limits();
            // What the client was told holds, also where a new version grants less.
            let idle_time = idle_time.max(Span::from_nanos(self.told_idle.load(Ordering::Relaxed)));
            match part_since {
                Some(part) => road.alarms.nudge(part + header_time, &self.conn),
                None => road.alarms.nudge(since + idle_time, &self.conn),
            }
            // What is at work goes on; only what is read next waits for room.
            if self.conn.read() != Got::Bytes {
                return self.leave();
            }
            loop {
                let now = road.alarms.now();
                let busy = {
                    let order = self.order();
                    if !order.turns.takes_more() {
                        // The last request is read: its answer ends the connection.
                        drop(order);
                        return self.read_over(road);
                    }
                    order.turns.at_work() as usize
                };
                if road.has_ended() {
                    // What is read now would be lost: unread, its client knows that it may send it again.
                    return self.leave();
                }
                let mut inbound = self.conn.inbound();
                if inbound.is_empty() {
                    part_since = None;
                    if busy > 0 {
                        since = now;
                    } else if road.is_closing() || now - since >= idle_time {
                        // Whoever stood still is late: a request that came meanwhile is there to be read.
                        drop(inbound);
                        if self.conn.look() == Some(Got::Bytes) {
                            continue;
                        }
                        // At once, and nothing is read any more: a request that crosses this is reset unread, and
                        // its client knows that it may send it again.
                        return self.conn.close();
                    }
                    break;
                }
                if busy >= AT_ONCE {
                    break;
                }
                let bytes = inbound.bytes();
                let extent = match http::call_extent(bytes, most_body) {
                    Ok(Some(extent)) => extent,
                    Ok(None) => {
                        let part = *part_since.get_or_insert(now);
                        let head = http::call(bytes);
                        let expects = matches!(&head, Ok(Some((c, _))) if c.headers.get("expect").is_some());
                        let time =
                            if matches!(head, Ok(None)) { header_time } else { header_time + BODY_TIME };
                        if expects && !told_to_go_on && busy == 0 {
                            told_to_go_on = true;
                            let _ = self.conn.write(|out| out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n"));
                        }
                        if now - part >= time {
                            drop(inbound);
                            if self.conn.look() == Some(Got::Bytes) {
                                continue;
                            }
                            return self.refuse(road, Bad(408, "not whole in time"));
                        }
                        if now - part >= header_time {
                            road.alarms.nudge(part + time, &self.conn);
                        }
                        break;
                    }
                    Err(bad) => {
                        drop(inbound);
                        return self.refuse(road, bad);
                    }
                };
                let bytes = bytes[..extent.all].to_vec();
                inbound.consume(extent.all);
                drop(inbound);
                part_since = None;
                told_to_go_on = false;
                let keep = extent.keep_alive;
                let carrier = Arc::new(Carrier::default());
                let number = {
                    let mut order = self.order();
                    let number = order.turns.ask(!keep);
                    order.at_work.insert(number, carrier.clone());
                    number
                };
                let request = Request { number, bytes, extent, read_at: now };
                let (client, ending, r) = (self.clone(), self.clone(), road.clone());
                go_then(
                    "a request",
                    move || client.handle(&r, request, &carrier),
                    move |panicked| ending.over(number, panicked),
                );
                if !keep {
                    return self.read_over(road);
                }
            }
        }
    }

    /// Reads over what still comes, until the client is gone or the last answer is long written.
    fn read_over(&self, road: &Arc<Road>) {
        let mut done_at = None;
        loop {
            let idle = self.order().turns.is_done() && self.conn.unsent() == 0;
            let now = road.alarms.now();
            if idle {
                let done = *done_at.get_or_insert(now);
                if now - done >= Span::from_millis(1_000) {
                    return;
                }
                road.alarms.nudge(done + Span::from_millis(1_000), &self.conn);
            }
            if self.conn.read() != Got::Bytes {
                return;
            }
            let mut inbound = self.conn.inbound();
            let n = inbound.len();
            inbound.consume(n);
        }
    }

    /// What could not be read: said in its turn, and the connection ends.
    fn refuse(self: &Arc<Self>, road: &Arc<Road>, bad: Bad) {
        let number = self.order().turns.ask(true);
        let (client, ending) = (self.clone(), self.clone());
        let own = Own::new(bad.0, bad.1);
        go_then(
            "a refusal",
            move || {
                if client.wait_turn(number)
                    && client.conn.write(|out| put_own(out, &own, None, "", false)).is_ok()
                {
                    client.order().turns.answer(number);
                }
            },
            move |panicked| ending.over(number, panicked),
        );
        self.read_over(road);
    }

    /// Waits until all requests before this one are answered; false where the connection has ended.
    fn wait_turn(&self, number: u64) -> bool {
        loop {
            let blocker = {
                let mut order = self.order();
                match order.turns.turn(number) {
                    _ if self.conn.is_closed() => return false,
                    Turn::Never => return false,
                    Turn::Now => return true,
                    Turn::Later => {}
                }
                let blocker = Blocker::current();
                order.waiting.insert(number, blocker.clone());
                blocker
            };
            let _ = blocker.park(None);
        }
    }

    /// Whoever worked on a request has ended, or could not begin.
    fn over(&self, number: u64, panicked: bool) {
        let mut order = self.order();
        order.at_work.remove(&number);
        order.waiting.remove(&number);
        if panicked {
            order.turns.leave();
        }
        let then = order.turns.end(number);
        if let Then::Next(next) = then
            && let Some(next) = order.waiting.remove(&next)
        {
            next.unpark();
        }
        drop(order);
        match then {
            Then::Next(_) => {}
            // What is not sent yet goes out first; the reader ends the connection then.
            Then::Finish if self.conn.unsent() > 0 || self.conn.is_closed() => {}
            Then::Finish => self.conn.finish(),
            Then::Break => self.conn.close(),
        }
        // The reader looks again: at what waits unread, or at its end.
        self.conn.nudge();
    }

    /// From a request to its answer.
    fn handle(self: &Arc<Self>, road: &Arc<Road>, request: Request, carrier: &Arc<Carrier>) {
        let number = request.number;
        let head = &request.bytes[..request.extent.head];
        let Ok(Some((call, _))) = http::call(head) else { return self.conn.close() };
        let attempt = call.headers.get("attempt-id").unwrap_or("");
        let answered =
            road.carry(&call, &request.bytes[request.extent.body.clone()], attempt, request.read_at, carrier);
        if carrier.is_gone() || !self.wait_turn(number) {
            if let Ok((_, answer)) = answered {
                road.workers.done(answer);
            }
            return;
        }
        let keep = !self.order().turns.ends_with(number, road.is_closing());
        let connection = self.connection(road, keep);
        let is_whole = match answered {
            Err(own) => self.conn.write(|out| put_own(out, &own, Some(attempt), &connection, keep)).is_ok(),
            Ok((admitted, answer)) => self.pass_on(road, &admitted, answer, carrier, &connection),
        };
        if is_whole {
            self.order().turns.answer(number);
        }
    }

    /// The header lines that tell the client whether, and how long, the connection stays.
    fn connection(&self, road: &Road, keep: bool) -> String {
        if !keep {
            return "Connection: close\r\n".to_string();
        }
        let idle = road.client_limits().1;
        let told = idle.secs() - IDLE_MARGIN.secs();
        if told < 1.0 {
            return String::new();
        }
        self.told_idle.store(idle.nanos(), Ordering::Relaxed);
        format!("Keep-Alive: timeout={}\r\n", told.floor())
    }

    /// Passes a worker's answer on; false where it did not go out whole.
    fn pass_on(
        &self,
        road: &Arc<Road>,
        admitted: &Admitted,
        mut answer: Answer,
        carrier: &Carrier,
        connection: &str,
    ) -> bool {
        let mut is_whole = self.conn.write(|out| answer.put(out, connection)).is_ok();
        if is_whole && answer.rest > 0 {
            let has_room = || {
                while self.conn.unsent() > MOST_UNREAD {
                    if self.conn.is_closed() || carrier.is_gone() || road.alarms.now() >= admitted.until {
                        return false;
                    }
                    road.alarms.sleep_until(road.alarms.now() + Span::from_millis(5));
                }
                true
            };
            let by = admitted.until + Span::from_millis(500);
            // Cut short of its length, the client can tell.
            is_whole = answer.more(&road.alarms, by, carrier, has_room, |piece| {
                self.conn.write(|out| out.write_all(piece)).is_ok()
            });
        }
        road.workers.done(answer);
        is_whole
    }
}

/// Writes an answer of our own.
fn put_own(
    out: &mut Ring,
    own: &Own,
    attempt: Option<&str>,
    connection: &str,
    keep: bool,
) -> std::io::Result<()> {
    // `put_answer` says itself that a connection closes.
    let mut headers = if keep { connection.to_string() } else { String::new() };
    if let Some(wait) = own.retry_after {
        headers.push_str(&format!("Retry-After: {:.3}\r\n", wait.secs().max(0.001)));
    }
    if let Some(attempt) = attempt.filter(|a| !a.is_empty()) {
        headers.push_str(&format!("Attempt-Id: {attempt}\r\n"));
    }
    http::put_answer(out, own.status, &headers, own.why, keep)
}

impl Road {
    /// How long a head may take, how long a connection may stand idle, how long a body may be.
    fn client_limits(&self) -> (Span, Span, usize) {
        match self.rooms().mirror.version() {
            Some(version) => {
                let b = &version.configuration.bounds;
                (b.header_time, b.idle_time, b.body_bytes.min(MOST - MOST_HEAD))
            }
            None => (HEADER_TIME, IDLE_TIME, MOST - MOST_HEAD),
        }
    }

    /// Takes a request to a worker, and to another where that may be; the answer, or one of our own at once.
    fn carry(
        &self,
        call: &http::Call,
        body: &[u8],
        attempt: &str,
        read_at: Time,
        carrier: &Carrier,
    ) -> Result<(Admitted, Answer), Own> {
        let headers = &call.headers;
        let bad = |_| Own::new(400, "a header twice");
        let path = call.target.split(['?', '#']).next().unwrap_or("");
        let host = headers.only("host").map_err(bad)?.unwrap_or("");
        let key = headers.only("authorization").map_err(bad)?;
        let key = key.and_then(|k| k.split_once(' ')).filter(|(s, _)| s.eq_ignore_ascii_case("bearer"));
        headers.only("attempt-id").map_err(bad)?;
        let left = headers.only("time-left-ms").map_err(bad)?;
        let patience = left.and_then(|l| l.parse::<f64>().ok()).map(|ms| Span::from_secs(ms / 1000.0));
        if attempt.is_empty() || attempt.len() > 128 {
            return Err(Own::new(400, "no Attempt-Id"));
        }
        let asked = Asked { host, path, key: key.map(|(_, k)| k.trim()), patience };
        let mut request = self.rooms().admit(read_at, &asked)?;
        request.until = request.until.saturating_sub(MARGIN);
        let until = request.until;
        // A worker's own failure of what may be repeated: the client's answer where no other worker takes it.
        let mut failed: Option<Answer> = None;
        loop {
            let now = self.alarms.now();
            let picked = self.rooms().pick(now, &mut request);
            let sent = match (picked, failed.take()) {
                (Ok(sent), answer) => {
                    answer.into_iter().for_each(|a| self.workers.done(a));
                    sent
                }
                (Err(_), Some(answer)) => return Ok((request, answer)),
                (Err(own), None) => return Err(own),
            };
            let may_go = |now| self.rooms().may_go(now, &request, &sent.worker);
            let out = Outgoing { call, body, tenant: request.tenant.as_deref(), attempt, may_go: &may_go };
            let tried = self.workers.send(&self.alarms, &sent.worker, &out, until, carrier);
            let now = self.alarms.now();
            self.rooms().ended(now, &mut request, &sent, tried.outcome, tried.verdict);
            match tried.answer {
                Some(answer) if tried.verdict.may_go_again(request.kind.is_repeatable()) => {
                    failed = Some(answer)
                }
                Some(answer) => return Ok((request, answer)),
                None if carrier.is_gone() => return Err(Own::new(502, "the client has left")),
                None => {}
            }
        }
    }
}
