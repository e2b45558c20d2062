//! Workers of a soak. They process requests, send heartbeats, drain before they leave, and record each
//! request.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use lynxstair_fakes::HttpMessage;

use super::departures::Departure;
use super::replies::Reply;
use super::system::Net;

/// Interval between heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// Time from the acknowledgement of the draining state until a worker deregisters.
const DRAIN_PERIOD: Duration = Duration::from_secs(4);
/// Time-out for connecting, and for each read of a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Concurrency that a worker reports in its heartbeats.
const CAPACITY: u32 = 16;

/// Duration of the warm-up of a worker.
const WARMUP_DURATION: Duration = Duration::from_secs(3);
/// Request rate allowed for a worker that is warming up, per second. The load exceeds it.
pub(super) const WARMUP_RATE: f64 = 30.0;
/// A worker may receive `WARMUP_RATE * WARMUP_OVERSHOOT + WARMUP_SLACK` requests in any second.
pub(super) const WARMUP_OVERSHOOT: f64 = 1.5;
pub(super) const WARMUP_SLACK: f64 = 5.0;

/// State in which a worker starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartState {
    Warm,
    WarmingUp,
}

/// Period in which a worker is warming up, in seconds since the start of the soak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WarmupPeriod {
    /// Number of the worker.
    pub worker: usize,
    pub from_s: f64,
    pub until_s: f64,
}

/// Execution of a request by a worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Number of the worker.
    pub worker: usize,
    /// Id of the attempt.
    pub id: String,
    /// Start, in seconds since the start of the soak.
    pub start_s: f64,
    /// Time at which the processing is due to end.
    pub end_s: f64,
}

/// Log of the executions, warm-up periods and acknowledged departures of all workers.
#[derive(Clone)]
pub(super) struct RunLog {
    origin: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
    warmup_periods: Arc<Mutex<Vec<WarmupPeriod>>>,
    departures: Arc<Mutex<Vec<Departure>>>,
}

impl RunLog {
    pub fn new(origin: Instant) -> RunLog {
        RunLog { origin, runs: Arc::default(), warmup_periods: Arc::default(), departures: Arc::default() }
    }

    /// Returns all executions so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns all warm-up periods so far.
    pub fn warmup_periods(&self) -> Vec<WarmupPeriod> {
        self.warmup_periods.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns all acknowledged departures so far.
    pub fn departures(&self) -> Vec<Departure> {
        self.departures.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of acknowledged departures so far.
    pub fn departure_count(&self) -> usize {
        self.departures.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Records that the departure of a worker has just been acknowledged.
    fn record_departure(&self, worker: usize) {
        let acknowledged_s = self.origin.elapsed().as_secs_f64();
        let departure = Departure { worker, acknowledged_s };
        self.departures.lock().unwrap_or_else(PoisonError::into_inner).push(departure);
    }

    /// Records a warm-up period that begins now.
    fn record_warmup(&self, worker: usize) {
        let from_s = self.origin.elapsed().as_secs_f64();
        let period = WarmupPeriod { worker, from_s, until_s: from_s + WARMUP_DURATION.as_secs_f64() };
        self.warmup_periods.lock().unwrap_or_else(PoisonError::into_inner).push(period);
    }

    fn record(&self, worker: usize, id: &str, work: Duration) {
        let start_s = self.origin.elapsed().as_secs_f64();
        let run = Run { worker, id: id.to_string(), start_s, end_s: start_s + work.as_secs_f64() };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }
}

/// Sends one request on a new connection. Returns `None` if it fails or times out.
pub(super) fn send_request(to: SocketAddr, head: &str, body: &str) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&to, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    let length = body.len();
    write!(
        stream,
        "{head} HTTP/1.1\r\nHost: soak\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .ok()?;
    HttpMessage::read(&mut BufReader::new(stream))
}

/// A worker. It drains and leaves after [`Worker::leave`].
pub(super) struct Worker {
    number: usize,
    leave_requested: Arc<AtomicBool>,
    warming_up_until: Arc<Mutex<Option<Instant>>>,
    log: RunLog,
}

impl Worker {
    /// Starts a worker. Its id and address derive from its number.
    pub fn start(
        net: Net,
        number: usize,
        start_state: StartState,
        log: &RunLog,
        is_over: &Arc<AtomicBool>,
    ) -> std::io::Result<Worker> {
        let address = net.worker(number);
        let listener = TcpListener::bind(address)?;
        let leave_requested = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            number,
            leave_requested: leave_requested.clone(),
            warming_up_until: Arc::default(),
            log: log.clone(),
        };
        if start_state == StartState::WarmingUp {
            worker.start_warmup();
        }
        let (log, heartbeat_log, is_done) = (log.clone(), log.clone(), is_over.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let log = log.clone();
                thread::spawn(move || serve(&stream, number, &log));
            }
        });
        let (over, warming_up_until) = (is_over.clone(), worker.warming_up_until.clone());
        thread::spawn(move || {
            send_heartbeats(net, number, address, &leave_requested, &warming_up_until, &heartbeat_log, &over)
        });
        Ok(worker)
    }

    /// Connects to a worker, so that its accept loop checks whether the soak is over.
    pub fn wake_listener(net: Net, number: usize) {
        let _ = TcpStream::connect_timeout(&net.worker(number), CALL_TIMEOUT);
    }

    /// Starts a warm-up period. The next heartbeat reports it.
    pub fn start_warmup(&self) {
        *self.warming_up_until.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Instant::now() + WARMUP_DURATION);
        self.log.record_warmup(self.number);
    }

    /// Requests that the worker drains and leaves.
    pub fn leave(&self) {
        self.leave_requested.store(true, Ordering::Relaxed);
    }
}

fn serve(stream: &TcpStream, number: usize, log: &RunLog) {
    let mut reader = BufReader::new(stream);
    while let Some(message) = HttpMessage::read(&mut reader) {
        let id = message.header("attempt-id").to_string();
        let work = processing_time(&id);
        log.record(number, &id, work);
        thread::sleep(work);
        let reply = Reply::new(number, &id);
        if !reply.write(stream) || reply.closes {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Returns the processing time of a request, derived from its id: mostly some milliseconds, sometimes
/// seconds.
fn processing_time(id: &str) -> Duration {
    let number = id.bytes().fold(7u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    Duration::from_millis(match number % 100 {
        0 => 2_500,
        1..=5 => 400 + number / 100 % 900,
        _ => 3 + number / 100 % 50,
    })
}

fn send_heartbeats(
    net: Net,
    number: usize,
    address: SocketAddr,
    leave_requested: &AtomicBool,
    warming_up_until: &Mutex<Option<Instant>>,
    log: &RunLog,
    is_over: &AtomicBool,
) {
    let mut drain_end = None;
    let mut calls = 0;
    while !is_over.load(Ordering::Relaxed) {
        let is_draining = leave_requested.load(Ordering::Relaxed);
        if is_draining && deregisters_first(number) {
            if deregister(net, &mut calls, number) {
                log.record_departure(number);
                return;
            }
            thread::sleep(HEARTBEAT_PERIOD);
            continue;
        }
        let state = if is_draining { "draining" } else { "ready" };
        // The remaining warm-up time is computed anew for each call.
        let body = |sequence: usize| {
            let warming_up_until = *warming_up_until.lock().unwrap_or_else(PoisonError::into_inner);
            let warmup_left =
                warming_up_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()));
            let warmup_left_s = warmup_left.as_secs_f64();
            format!(
                r#"{{"service":"s","address":"{address}","zone":"z1","capacity":{CAPACITY},"state":"{state}","cold-left-s":{warmup_left_s},"call-seq":{sequence}}}"#
            )
        };
        let is_acknowledged =
            call_any_controller(net, &mut calls, &format!("PUT /instances/i-{number}"), &body);
        if is_draining && is_acknowledged && drain_end.is_none() {
            log.record_departure(number);
            drain_end = Some(Instant::now() + DRAIN_PERIOD);
        }
        if drain_end.is_some_and(|until| Instant::now() >= until) {
            deregister(net, &mut calls, number);
            return;
        }
        thread::sleep(HEARTBEAT_PERIOD);
    }
}

/// Returns `true` if a worker deregisters when it leaves and serves on, without draining before.
fn deregisters_first(number: usize) -> bool {
    number % 2 == 1
}

/// Deregisters a worker. Returns `true` if a controller acknowledged it.
fn deregister(net: Net, calls: &mut usize, number: usize) -> bool {
    call_any_controller(net, calls, &format!("DELETE /instances/i-{number}"), &|_| String::new())
}

/// Calls the controllers in turn, each once at most, and returns `true` as soon as one answers 200. `calls`
/// counts the calls of the worker; `body` receives the number of the call.
fn call_any_controller(net: Net, calls: &mut usize, head: &str, body: &dyn Fn(usize) -> String) -> bool {
    (0..super::SoakShape::CONTROLLERS).any(|_| {
        *calls += 1;
        let controller = net.controller(*calls % super::SoakShape::CONTROLLERS);
        send_request(controller, head, &body(*calls)).is_some_and(|m| m.status() == 200)
    })
}
