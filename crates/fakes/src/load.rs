//! Load generator for several gatekeepers, with its own workers, counter and discovery service. Records all
//! requests and attempts. One worker can be drained during the load.

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
use crate::{Counter, bind_listener, lock, ok_response, serve};

/// Time-out that clients send with a request, in milliseconds.
const CLIENT_TIMEOUT_MS: u32 = 800;
/// Time that clients wait for a late response after the time-out, in milliseconds.
const LATE_RESPONSE_WAIT_MS: u64 = 1_200;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time before a client checks whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const CLIENTS_PER_GATEKEEPER: usize = 4;
const TENANT_COUNT: u64 = 7;
const FIRST_TENANT: u64 = 0xb4d6_5521;
/// Number of different start times of clients within their request interval.
const START_OFFSET_COUNT: u64 = 97;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Returns the monotonic clock of the machine, in nanoseconds. It is the same for all processes.
pub fn monotonic_nanos() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() as u64 * NANOS_PER_SECOND + now.tv_nsec() as u64)
}

/// Outcome of a request, as observed by its client.
#[derive(Clone, Debug, Serialize)]
pub struct RequestOutcome {
    /// Request id.
    pub id: u64,
    /// Name of the gatekeeper that the request was sent to.
    pub gatekeeper: String,
    /// Tenant key.
    #[serde(rename = "customer")]
    pub tenant: u64,
    /// Operation: `get` or `put`.
    pub operation: &'static str,
    /// Time before sending, by [`monotonic_nanos`].
    #[serde(rename = "sent")]
    pub sent_at: u64,
    /// Time of the response or failure, by [`monotonic_nanos`].
    #[serde(rename = "ended")]
    pub ended_at: u64,
    /// HTTP status; `None` if there was no response.
    pub status: Option<u16>,
    /// Reason for a missing response: `broke off`, `crossed`, `closed`, `none` or `reset`; empty with a
    /// status.
    #[serde(rename = "why")]
    pub reason: &'static str,
    /// Number of bytes received after the response.
    #[serde(rename = "extra")]
    pub extra_bytes: usize,
}

/// An attempt received, and run, by a worker.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ReceivedAttempt {
    /// Request id.
    pub id: u64,
    /// Number of the worker.
    pub worker: usize,
    /// Time of receipt, by [`monotonic_nanos`].
    #[serde(rename = "at")]
    pub received_at: u64,
}

/// Recorded requests and attempts.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Outcomes observed by clients.
    pub outcomes: Mutex<Vec<RequestOutcome>>,
    /// Attempts received by workers.
    pub attempts: Mutex<Vec<ReceivedAttempt>>,
    /// Number of the drained worker, and the time when its draining was published, by [`monotonic_nanos`].
    pub drained_worker: Mutex<Option<(usize, u64)>>,
}

/// Size of the load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Request rate over all gatekeepers.
    pub requests_per_second: f64,
    /// Number of workers.
    pub workers: usize,
}

/// A running load: fake peers and, once started, clients.
pub struct Load {
    plan: LoadPlan,
    /// Addresses of the workers.
    pub workers: Vec<SocketAddr>,
    /// Counter for the gatekeepers.
    pub counter: Counter,
    /// Discovery service for the gatekeepers.
    pub discovery: Discovery,
    /// Requests and attempts recorded so far.
    pub traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the peers without clients.
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

    /// Returns the worker list in the format of a boot configuration.
    pub fn worker_list(&self) -> String {
        let entry = |(number, addr): (usize, &SocketAddr)| worker_entry(number, *addr, "SERVING");
        let entries: Vec<_> = self.workers.iter().enumerate().map(entry).collect();
        format!(r#"{{"revision":7,"complete":true,"members":[{}]}}"#, entries.join(","))
    }

    /// Starts clients for each gatekeeper, given by name and address.
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

    /// Publishes to all gatekeepers that the first worker is draining.
    pub fn drain_first_worker(&self) {
        let entry = worker_entry(0, self.workers[0], "DRAINING");
        let update = format!(r#"{{"revision":8,"complete":false,"members":[{entry}]}}"#);
        self.discovery.publish(&update);
        *lock(&self.traffic.drained_worker) = Some((0, monotonic_nanos()));
    }

    /// Stops the clients; each one finishes its current request.
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

/// Starts a worker that records each attempt and responds 200. Returns its address.
fn start_worker(number: usize, traffic: Arc<Traffic>) -> SocketAddr {
    let (listener, addr) = bind_listener();
    serve(listener, move |stream| {
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
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
    /// Interval between requests.
    interval: Duration,
    next_id: Arc<AtomicU64>,
    traffic: Arc<Traffic>,
    stop: Arc<AtomicBool>,
}

impl Client {
    fn run(&self) {
        let mut connection: Option<Connection> = None;
        let offset = (self.number % START_OFFSET_COUNT) as f64 / START_OFFSET_COUNT as f64;
        let mut due = Instant::now() + self.interval.mul_f64(offset);
        while !self.stop.load(Ordering::SeqCst) {
            let now = Instant::now();
            if now < due {
                thread::sleep((due - now).min(STOP_CHECK_INTERVAL));
                continue;
            }
            // Of several overdue requests, one more is sent at once; the others are skipped.
            due = (due + self.interval).max(now);
            self.send_request(&mut connection);
        }
    }

    fn connect(&self) -> Option<Connection> {
        let timeout = Duration::from_millis(u64::from(CLIENT_TIMEOUT_MS) + LATE_RESPONSE_WAIT_MS);
        let stream = TcpStream::connect_timeout(&self.addr, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        Some(BufReader::new(stream))
    }

    /// Sends one request and records its outcome. Keeps the connection in `reusable` if it may be reused.
    fn send_request(&self, reusable: &mut Option<Connection>) {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let operation = if id.is_multiple_of(3) { "put" } else { "get" };
        let is_reused = reusable.is_some();
        let Some(mut connection) = reusable.take().or_else(|| self.connect()) else { return };
        let tenant = FIRST_TENANT + id % TENANT_COUNT;
        let request =
            tenant_request_text(tenant, operation, "wide", &format!("{id:016x}"), CLIENT_TIMEOUT_MS);
        let sent_at = monotonic_nanos();
        if connection.get_mut().write_all(request.as_bytes()).is_err() {
            // The request could not be written because the connection had ended; it has no outcome.
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
                    *reusable = Some(connection);
                }
            }
            Err(reason) => outcome.reason = reason,
        }
        outcome.ended_at = monotonic_nanos();
        lock(&self.traffic.outcomes).push(outcome);
    }
}

/// Waits for the response. The error is the reason for a missing one: `crossed` if the gatekeeper closed a
/// reused connection while the request was being sent, which neither side can avoid.
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

/// Blocks until a byte arrives. Returns 0 if the connection was closed.
fn wait_for_first_byte(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match stream.peek(&mut [0]) {
            // A read with a time-out is interrupted when the machine is paused.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}
