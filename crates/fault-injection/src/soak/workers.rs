//! Workers of a soak: each serves, sends heartbeats and leaves in order. All of them write down what they
//! ran.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use lynxstair_fakes::HttpMessage;

use super::system::Net;

/// The pause between two heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);
/// How long a worker serves on after it has said that it is draining.
const DRAIN: Duration = Duration::from_secs(4);
/// How long a controller may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How many requests one works on at a time.
const CAPACITY: u32 = 16;

/// For how long a worker is cold,
const COLD: Duration = Duration::from_secs(3);
/// and what it bears then, in requests a second. The load makes more of it.
pub(super) const COLD_RATE: f64 = 30.0;
/// Of that it may get this many times so much, and a slack, in any second.
pub(super) const COLD_OVERSHOOT: f64 = 1.5;
pub(super) const COLD_SLACK: f64 = 5.0;

/// Whether a worker starts cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Warmth {
    Warm,
    Cold,
}

/// A time in which a worker is cold, in seconds of the soak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ColdSpell {
    /// Which worker, by its number.
    pub worker: usize,
    pub from: f64,
    pub until: f64,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// Which worker ran it, by its number.
    pub worker: usize,
    /// The id of the attempt.
    pub id: String,
    /// When it began, in seconds of the soak.
    pub began: f64,
    /// When the worker is done with it.
    pub ends: f64,
}

/// What all workers ran.
#[derive(Clone)]
pub(super) struct RunLog {
    origin: Instant,
    runs: Arc<Mutex<Vec<Run>>>,
    cold_spells: Arc<Mutex<Vec<ColdSpell>>>,
}

impl RunLog {
    pub fn new(origin: Instant) -> RunLog {
        RunLog { origin, runs: Arc::default(), cold_spells: Arc::default() }
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// All times in which a worker was cold.
    pub fn cold_spells(&self) -> Vec<ColdSpell> {
        self.cold_spells.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// A worker is cold from now on.
    fn record_cold(&self, worker: usize) {
        let from = self.origin.elapsed().as_secs_f64();
        let spell = ColdSpell { worker, from, until: from + COLD.as_secs_f64() };
        self.cold_spells.lock().unwrap_or_else(PoisonError::into_inner).push(spell);
    }

    fn record(&self, worker: usize, id: &str, work: Duration) {
        let began = self.origin.elapsed().as_secs_f64();
        let run = Run { worker, id: id.to_string(), began, ends: began + work.as_secs_f64() };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }
}

/// Makes one call at a controller; its status.
pub(super) fn call(to: SocketAddr, head: &str, body: &str) -> Option<HttpMessage> {
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

/// A worker; it leaves in order when it is told to.
pub(super) struct Worker {
    number: usize,
    leaves: Arc<AtomicBool>,
    cold_until: Arc<Mutex<Option<Instant>>>,
    log: RunLog,
}

impl Worker {
    /// Starts the worker with this number, which is its id and its address.
    pub fn start(
        net: Net,
        number: usize,
        warmth: Warmth,
        log: &RunLog,
        is_over: &Arc<AtomicBool>,
    ) -> std::io::Result<Worker> {
        let address = net.worker(number);
        let listener = TcpListener::bind(address)?;
        let leaves = Arc::new(AtomicBool::new(false));
        let worker = Worker { number, leaves: leaves.clone(), cold_until: Arc::default(), log: log.clone() };
        if warmth == Warmth::Cold {
            worker.turn_cold();
        }
        let (log, is_done) = (log.clone(), is_over.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_done.load(Ordering::Relaxed) {
                    return;
                }
                let log = log.clone();
                thread::spawn(move || serve(&stream, number, &log));
            }
        });
        let (over, cold_until) = (is_over.clone(), worker.cold_until.clone());
        thread::spawn(move || send_heartbeats(net, number, address, &leaves, &cold_until, &over));
        Ok(worker)
    }

    /// Has the listener of a worker look whether all is over.
    pub fn wake(net: Net, number: usize) {
        let _ = TcpStream::connect_timeout(&net.worker(number), CALL_TIMEOUT);
    }

    /// It turns cold; its next heartbeat says so.
    pub fn turn_cold(&self) {
        *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + COLD);
        self.log.record_cold(self.number);
    }

    /// Tells it to leave.
    pub fn leave(&self) {
        self.leaves.store(true, Ordering::Relaxed);
    }
}

fn serve(stream: &TcpStream, number: usize, log: &RunLog) {
    let mut reader = BufReader::new(stream);
    while let Some(message) = HttpMessage::read(&mut reader) {
        let id = message.header("attempt-id").to_string();
        let work = work_of(&id);
        log.record(number, &id, work);
        thread::sleep(work);
        let mut out = stream;
        let written = write!(
            out,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        );
        if written.is_err() {
            return;
        }
    }
}

/// How long a request takes: mostly some milliseconds, now and then seconds. The id says it: the same in
/// every play.
fn work_of(id: &str) -> Duration {
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
    leaves: &AtomicBool,
    cold_until: &Mutex<Option<Instant>>,
    is_over: &AtomicBool,
) {
    let mut drains_until = None;
    let mut calls = 0;
    while !is_over.load(Ordering::Relaxed) {
        let is_draining = leaves.load(Ordering::Relaxed);
        let state = if is_draining { "draining" } else { "ready" };
        // Each call says how the worker is as it is made.
        let body = |sequence: usize| {
            let cold_until = *cold_until.lock().unwrap_or_else(PoisonError::into_inner);
            let cold_left =
                cold_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(Instant::now()));
            let cold_left_s = cold_left.as_secs_f64();
            format!(
                r#"{{"service":"s","address":"{address}","zone":"z1","capacity":{CAPACITY},"state":"{state}","cold-left-s":{cold_left_s},"call-seq":{sequence}}}"#
            )
        };
        let is_acknowledged = tell_any(net, &mut calls, &format!("PUT /instances/i-{number}"), &body);
        if is_draining && is_acknowledged && drains_until.is_none() {
            drains_until = Some(Instant::now() + DRAIN);
        }
        if drains_until.is_some_and(|until| Instant::now() >= until) {
            tell_any(net, &mut calls, &format!("DELETE /instances/i-{number}"), &|_| String::new());
            return;
        }
        thread::sleep(HEARTBEAT_PERIOD);
    }
}

/// Calls one controller after the other until one takes it. `calls`: how many calls were made; `body`: of a
/// call, by its number.
fn tell_any(net: Net, calls: &mut usize, head: &str, body: &dyn Fn(usize) -> String) -> bool {
    (0..super::SoakShape::CONTROLLERS).any(|_| {
        *calls += 1;
        let controller = net.controller(*calls % super::SoakShape::CONTROLLERS);
        call(controller, head, &body(*calls)).is_some_and(|m| m.status() == 200)
    })
}
