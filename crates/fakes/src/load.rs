//! A load of clients on several gatekeepers, with workers, a counter and a list of their own, and a trace of
//! all that was sent and answered. One worker is drained half way.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::counter::counting;
use crate::list::{Discovery, discovery, member};
use crate::message::{Message, text_of};
use crate::{Counter, listener, serve};

/// The client waits so long, in milliseconds.
const PATIENCE_MS: u32 = 800;
/// And looks so much longer for an answer that comes too late.
const LATE_MS: u64 = 1_200;
const CLIENTS: usize = 4;
const CUSTOMERS: u64 = 7;
const FIRST_CUSTOMER: u64 = 0xb4d6_5521;

/// The machine's monotonic clock, in nanoseconds: the same for all processes on it.
pub fn mono() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC).map(|t| (t.tv_sec() as u64, t.tv_nsec() as u64));
    now.map_or(0, |(secs, nanos)| secs * 1_000_000_000 + nanos)
}

/// What became of one invocation, as its client saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Answered {
    pub id: u64,
    pub gatekeeper: String,
    pub customer: u64,
    pub operation: &'static str,
    /// By `mono`.
    pub sent: u64,
    pub ended: u64,
    /// None: no answer, for the reason that stands beside it.
    pub status: Option<u16>,
    pub why: &'static str,
    /// Bytes that came behind the one answer.
    pub extra: usize,
}

/// A delivery, as its worker saw it. Each that comes is run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Delivered {
    pub id: u64,
    pub worker: usize,
    pub at: u64,
}

/// All that happened.
#[derive(Debug, Default)]
pub struct Traffic {
    pub answered: Mutex<Vec<Answered>>,
    pub delivered: Mutex<Vec<Delivered>>,
    /// The worker that was drained, and when all were told.
    pub drained: Mutex<Option<(usize, u64)>>,
}

/// What load there is to be.
#[derive(Clone, Debug)]
pub struct Plan {
    pub per_second: f64,
    pub workers: usize,
}

/// The peers, and the clients while they run.
pub struct Load {
    plan: Plan,
    pub workers: Vec<SocketAddr>,
    pub counter: Counter,
    pub discovery: Discovery,
    pub traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

fn locked<T>(of: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|e| e.into_inner())
}

impl Load {
    /// Starts the peers; no client yet.
    pub fn new(plan: Plan) -> Self {
        let traffic = Arc::new(Traffic::default());
        let workers = (0..plan.workers).map(|n| worker(n, traffic.clone())).collect();
        let stop = Arc::new(AtomicBool::new(false));
        Load {
            plan,
            workers,
            counter: counting(),
            discovery: discovery(),
            traffic,
            stop,
            clients: Vec::new(),
        }
    }

    /// The list as a configuration holds it.
    pub fn known(&self) -> String {
        let members: Vec<_> =
            self.workers.iter().enumerate().map(|(n, a)| member(n, *a, "SERVING")).collect();
        format!(r#"{{"revision":7,"complete":true,"members":[{}]}}"#, members.join(","))
    }

    /// Starts clients for each of these gatekeepers.
    pub fn begin(&mut self, gatekeepers: &[(String, SocketAddr)]) {
        let ids = Arc::new(AtomicU64::new(1));
        let apart = (gatekeepers.len() * CLIENTS) as f64 / self.plan.per_second.max(0.1);
        for (number, (name, addr)) in gatekeepers.iter().enumerate() {
            for client in 0..CLIENTS {
                let client = Client {
                    gatekeeper: name.clone(),
                    addr: *addr,
                    number: (number * CLIENTS + client) as u64,
                    apart: Duration::from_secs_f64(apart),
                    ids: ids.clone(),
                    traffic: self.traffic.clone(),
                    stop: self.stop.clone(),
                };
                self.clients.push(thread::spawn(move || client.run()));
            }
        }
    }

    /// Tells all gatekeepers that the first worker drains.
    pub fn drain_one(&self) {
        let line = member(0, self.workers[0], "DRAINING");
        let news = format!(r#"{{"revision":8,"complete":false,"members":[{line}]}}"#);
        self.discovery.tell_all(&news);
        *locked(&self.traffic.drained) = Some((0, mono()));
    }

    /// Ends the clients; what is out is waited for.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.end();
    }
}

/// A worker that runs whatever comes, and writes it down.
fn worker(me: usize, traffic: Arc<Traffic>) -> SocketAddr {
    let (on, addr) = listener();
    serve(on, move |stream| {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(message) = Message::read(&mut reader) {
            if let Ok(id) = u64::from_str_radix(message.header("request-id"), 16) {
                locked(&traffic.delivered).push(Delivered { id, worker: me, at: mono() });
            }
            if (&stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    });
    addr
}

struct Client {
    gatekeeper: String,
    addr: SocketAddr,
    number: u64,
    apart: Duration,
    ids: Arc<AtomicU64>,
    traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
}

type Reader = BufReader<TcpStream>;

impl Client {
    fn run(&self) {
        let mut kept: Option<Reader> = None;
        let began = Instant::now();
        // Spread over the time between two, so that not all of them come at once.
        let first = self.apart.mul_f64((self.number % 97) as f64 / 97.0);
        let mut at = began + first;
        while !self.stop.load(Ordering::SeqCst) {
            let now = Instant::now();
            if now < at {
                thread::sleep((at - now).min(Duration::from_millis(20)));
                continue;
            }
            // What could not be sent in time is not made up for.
            at = (at + self.apart).max(now);
            self.one(&mut kept);
        }
    }

    fn connect(&self) -> Option<Reader> {
        let stream = TcpStream::connect_timeout(&self.addr, Duration::from_millis(300)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(u64::from(PATIENCE_MS) + LATE_MS))).ok()?;
        Some(BufReader::new(stream))
    }

    fn one(&self, kept: &mut Option<Reader>) {
        let id = self.ids.fetch_add(1, Ordering::SeqCst);
        let operation = if id.is_multiple_of(3) { "put" } else { "get" };
        let was_kept = kept.is_some();
        let Some(mut reader) = kept.take().or_else(|| self.connect()) else { return };
        let customer = FIRST_CUSTOMER + id % CUSTOMERS;
        let said = text_of(customer, operation, "wide", &format!("{id:016x}"), PATIENCE_MS);
        let sent = mono();
        let mut note = Answered {
            id,
            gatekeeper: self.gatekeeper.clone(),
            customer,
            operation,
            sent,
            ended: sent,
            status: None,
            why: "",
            extra: 0,
        };
        if reader.get_mut().write_all(said.as_bytes()).is_err() {
            // Not taken: the connection had ended.
            return;
        }
        let mut first = [0];
        // The first byte apart from the rest: a connection that was closed as we wrote gives none.
        let peeked = loop {
            match reader.get_ref().peek(&mut first) {
                // A machine that stands still interrupts a read that has a time limit.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                peeked => break peeked,
            }
        };
        match peeked {
            Ok(1..) => match Message::read(&mut reader) {
                Some(answer) => {
                    note.status = Some(answer.status());
                    note.extra = reader.buffer().len();
                    if answer.header("connection") != "close" {
                        *kept = Some(reader);
                    }
                }
                None => note.why = "broke off",
            },
            Ok(0) if was_kept => note.why = "crossed",
            Ok(_) => note.why = "closed",
            Err(e) if was_kept && e.kind() == std::io::ErrorKind::ConnectionReset => note.why = "crossed",
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                note.why = "none";
            }
            Err(_) => note.why = "reset",
        }
        note.ended = mono();
        locked(&self.traffic.answered).push(note);
    }
}
