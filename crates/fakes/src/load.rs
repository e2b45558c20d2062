//! A load of clients on several gatekeepers, with workers, a counter and discovery of their own, and a record of
//! all that was sent and received. One worker may be drained_worker meanwhile.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::counter::start_adding_counter;
use crate::discovery::{Discovery, start_discovery, worker_entry};
use crate::message::{HttpMessage, tenant_request_text};
use crate::{Counter, listener, lock, ok_response, serve};

/// How long a client waits for a response, in milliseconds.
const CLIENT_TIMEOUT_MS: u32 = 800;
/// For so much longer it looks for one that comes too late.
const LATE_RESPONSE_MS: u64 = 1_200;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A client looks so often whether it is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const CLIENTS_PER_GATEKEEPER: usize = 4;
const TENANTS: u64 = 7;
const FIRST_TENANT: u64 = 0xb4d6_5521;
/// Clients begin at so many different parts of their interval, so that not all requests come at once.
const START_OFFSETS: u64 = 97;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// The machine's monotonic clock, in nanoseconds: the same for all processes on it.
pub fn monotonic_nanos() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() as u64 * NANOS_PER_SECOND + now.tv_nsec() as u64)
}

/// What became of a request, as its client saw it.
#[derive(Clone, Debug, Serialize)]
pub struct RequestOutcome {
    /// The request's id.
    pub id: u64,
    /// The gatekeeper that it was sent to.
    pub gatekeeper: String,
    /// The tenant's key.
    #[serde(rename = "customer")]
    pub tenant: u64,
    /// `get` or `put`.
    pub operation: &'static str,
    /// By [`monotonic_nanos`].
    #[serde(rename = "sent")]
    pub sent_at: u64,
    /// By [`monotonic_nanos`].
    #[serde(rename = "ended")]
    pub ended_at: u64,
    /// `None`: no response, for `reason`.
    pub status: Option<u16>,
    /// `broke off`, `crossed`, `closed`, `none` or `reset`; empty with a status.
    #[serde(rename = "why")]
    pub reason: &'static str,
    /// Bytes that followed the response.
    #[serde(rename = "extra")]
    pub extra_bytes: usize,
}

/// An attempt as its worker received it. The worker runs each.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ReceivedAttempt {
    /// The request's id.
    pub id: u64,
    /// Index of the worker.
    pub worker: usize,
    /// By [`monotonic_nanos`].
    #[serde(rename = "at")]
    pub received_at: u64,
}

/// All that happened.
#[derive(Debug, Default)]
pub struct Traffic {
    /// What clients saw.
    pub outcomes: Mutex<Vec<RequestOutcome>>,
    /// What workers saw.
    pub attempts: Mutex<Vec<ReceivedAttempt>>,
    /// The worker that was drained_worker, and when all were told.
    pub drained_worker: Mutex<Option<(usize, u64)>>,
}

/// How much load there is.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Over all gatekeepers.
    pub requests_per_second: f64,
    /// How many workers.
    pub workers: usize,
}

/// The peers, and the clients while they run.
pub struct Load {
    plan: LoadPlan,
    /// Where the workers listen.
    pub workers: Vec<SocketAddr>,
    /// The counter.
    pub counter: Counter,
    /// The list of workers.
    pub discovery: Discovery,
    /// What happened so far.
    pub traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the peers; no client yet.
    pub fn new(plan: LoadPlan) -> Self {
        let traffic = Arc::new(Traffic::default());
        let workers = (0..plan.workers).map(|number| start_worker(number, traffic.clone())).collect();
        Load {
            plan,
            workers,
            counter: start_adding_counter(),
            discovery: start_discovery(),
            traffic,
            stop: Arc::default(),
            clients: Vec::new(),
        }
    }

    /// The list of workers as a boot configuration holds it.
    pub fn worker_list(&self) -> String {
        let entry = |(number, addr): (usize, &SocketAddr)| worker_entry(number, *addr, "SERVING");
        let entries: Vec<_> = self.workers.iter().enumerate().map(entry).collect();
        format!(r#"{{"revision":7,"complete":true,"members":[{}]}}"#, entries.join(","))
    }

    /// Starts clients for each of these gatekeepers.
    pub fn start_clients(&mut self, gatekeepers: &[(String, SocketAddr)]) {
        let next_id = Arc::new(AtomicU64::new(1));
        let clients = (gatekeepers.len() * CLIENTS_PER_GATEKEEPER) as f64;
        let interval = Duration::from_secs_f64(clients / self.plan.requests_per_second.max(0.1));
        let mut number = 0;
        for (name, addr) in gatekeepers {
            for _ in 0..CLIENTS_PER_GATEKEEPER {
                let client = Client {
                    gatekeeper: name.clone(),
                    addr: *addr,
                    number,
                    interval,
                    next_id: next_id.clone(),
                    traffic: self.traffic.clone(),
                    stop: self.stop.clone(),
                };
                number += 1;
                self.clients.push(thread::spawn(move || client.run()));
            }
        }
    }

    /// Tells all gatekeepers that the first worker drains.
    pub fn drain_first_worker(&self) {
        let entry = worker_entry(0, self.workers[0], "DRAINING");
        let update = format!(r#"{{"revision":8,"complete":false,"members":[{entry}]}}"#);
        self.discovery.publish(&update);
        *lock(&self.traffic.drained_worker) = Some((0, monotonic_nanos()));
    }

    /// Stops the clients, each after its request.
    pub fn stop_clients(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop_clients();
    }
}

/// A worker that runs every attempt and records it.
fn start_worker(number: usize, traffic: Arc<Traffic>) -> SocketAddr {
    let (on, addr) = listener();
    serve(on, move |stream| {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(message) = HttpMessage::read(&mut reader) {
            if let Ok(id) = u64::from_str_radix(message.header("request-id"), 16) {
                let received_at = monotonic_nanos();
                lock(&traffic.attempts).push(ReceivedAttempt { id, worker: number, received_at });
            }
            if (&stream).write_all(ok_response("ok").as_bytes()).is_err() {
                return;
            }
        }
    });
    addr
}

type Connection = BufReader<TcpStream>;

struct Client {
    gatekeeper: String,
    addr: SocketAddr,
    number: u64,
    /// Between two requests.
    interval: Duration,
    next_id: Arc<AtomicU64>,
    traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
}

impl Client {
    fn run(&self) {
        let mut connection: Option<Connection> = None;
        let offset = (self.number % START_OFFSETS) as f64 / START_OFFSETS as f64;
        let mut due = Instant::now() + self.interval.mul_f64(offset);
        while !self.stop.load(Ordering::SeqCst) {
            let now = Instant::now();
            if now < due {
                thread::sleep((due - now).min(STOP_CHECK_INTERVAL));
                continue;
            }
            // Requests that could not be sent in time are not made up for.
            due = (due + self.interval).max(now);
            self.send_request(&mut connection);
        }
    }

    fn connect(&self) -> Option<Connection> {
        let timeout = Duration::from_millis(u64::from(CLIENT_TIMEOUT_MS) + LATE_RESPONSE_MS);
        let stream = TcpStream::connect_timeout(&self.addr, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(BufReader::new(stream))
    }

    /// Sends one request and records what became of it. The connection is kept where it may be used again.
    fn send_request(&self, kept: &mut Option<Connection>) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let operation = if id.is_multiple_of(3) { "put" } else { "get" };
        let is_reused = kept.is_some();
        let Some(mut connection) = kept.take().or_else(|| self.connect()) else { return };
        let tenant = FIRST_TENANT + id % TENANTS;
        let request =
            tenant_request_text(tenant, operation, "wide", &format!("{id:016x}"), CLIENT_TIMEOUT_MS);
        let sent_at = monotonic_nanos();
        if connection.get_mut().write_all(request.as_bytes()).is_err() {
            // Not sent: the connection had ended.
            return;
        }
        let mut outcome = RequestOutcome {
            id,
            gatekeeper: self.gatekeeper.clone(),
            tenant,
            operation,
            sent_at,
            ended_at: sent_at,
            status: None,
            reason: "",
            extra_bytes: 0,
        };
        match receive(&mut connection, is_reused) {
            Ok(response) => {
                outcome.status = Some(response.status());
                outcome.extra_bytes = connection.buffer().len();
                if response.header("connection") != "close" {
                    *kept = Some(connection);
                }
            }
            Err(reason) => outcome.reason = reason,
        }
        outcome.ended_at = monotonic_nanos();
        lock(&self.traffic.outcomes).push(outcome);
    }
}

/// The response, or why there is none. A reused connection that the gatekeeper closed as the request was sent is
/// `crossed`, not an error of either side.
fn receive(connection: &mut Connection, is_reused: bool) -> Result<HttpMessage, &'static str> {
    match wait_for_first_byte(connection.get_ref()) {
        Ok(1..) => HttpMessage::read(connection).ok_or("broke off"),
        Ok(0) if is_reused => Err("crossed"),
        Ok(_) => Err("closed"),
        Err(e) if is_reused && e.kind() == io::ErrorKind::ConnectionReset => Err("crossed"),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Err("none"),
        Err(_) => Err("reset"),
    }
}

/// Returns 0 where the connection was closed.
fn wait_for_first_byte(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match stream.peek(&mut [0]) {
            // A paused machine interrupts a read that has a time limit.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}
