//! Clients send safe requests one behind the other on a kept connection, and read the answers at the pace of a slow
//! link. With `TROUBLE=0` they read at full speed.

mod harness;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::*;

/// Length of each answer; `manifest-pull` of zwrotnik-lynx has up to 540,000 bytes.
const ANSWER_BYTES: usize = 500_000;
/// Requests that are sent one behind the other.
const REQUESTS: usize = 14;
/// Connections, one after the other.
const CONNECTIONS: usize = 4;
/// Pace of the slow link, in bytes a second (8 Mbit/s).
const BYTES_PER_S: f64 = 1_000_000.0;
const TIME_LEFT_MS: u64 = 18_000;

/// Receive window of the slow link, in bytes.
const WINDOW_BYTES: i32 = 128 << 10;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Gives the connection a small window (`SO_RCVBUF`).
fn limit_window(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the value is an integer of the given length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4) };
}

/// Reads at the pace of a link.
struct Paced {
    stream: TcpStream,
    bytes_per_s: Option<f64>,
    since: Instant,
    read: usize,
}

impl Read for Paced {
    fn read(&mut self, out: &mut [u8]) -> std::io::Result<usize> {
        let most = out.len().min(16 << 10);
        let n = self.stream.read(&mut out[..most])?;
        self.read += n;
        if let Some(pace) = self.bytes_per_s {
            let due = Duration::from_secs_f64(self.read as f64 / pace);
            thread::sleep(due.saturating_sub(self.since.elapsed()));
        }
        Ok(n)
    }
}

fn long_answer(worker: &Worker, message: &Message, out: &mut TcpStream) -> bool {
    thread::sleep(ms(20));
    let id = message.header("attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}\r\nConnection: close\r\n\r\n",
        worker.id
    );
    let body: Vec<u8> = id.bytes().cycle().take(ANSWER_BYTES).collect();
    let is_written = out.write_all(head.as_bytes()).and_then(|()| out.write_all(&body)).is_ok();
    if !is_written {
        worker.record.log(format!("{}: the connection was closed while it wrote the answer to {id}", worker.id));
    }
    false
}

/// Sends requests on one connection. Returns the ids of those that got no complete answer, and whether the
/// proxy closed the connection before the deadline.
fn converse(record: &Record, front: SocketAddr, path: &str) -> (Vec<String>, bool) {
    let stream = TcpStream::connect(front).unwrap_or_else(|e| could_not_run(&e.to_string()));
    stream.set_read_timeout(Some(ms(TIME_LEFT_MS))).unwrap();
    if has_trouble() {
        limit_window(&stream);
    }
    let mut out = stream.try_clone().unwrap();
    let bytes_per_s = has_trouble().then_some(BYTES_PER_S);
    let paced = Paced { stream, bytes_per_s, since: Instant::now(), read: 0 };
    let mut reader = BufReader::with_capacity(16 << 10, paced);
    let mut unanswered = Vec::new();
    // The first request and its answer: from then on the connection is a kept one.
    for count in [1, REQUESTS] {
        let ids: Vec<String> = (0..count).map(|_| new_id()).collect();
        let heads = ids.iter().map(|id| format!("{}\r\n\r\n", request_head("GET", path, id, TIME_LEFT_MS)));
        let sent = out.write_all(heads.collect::<String>().as_bytes());
        record.log(format!("client sends {count} requests from {:?} to {front}: {sent:?}", out.local_addr()));
        let began = Instant::now();
        let mut has_ended = false;
        for id in &ids {
            let answer = if has_ended { None } else { read_message(&mut reader).ok().flatten() };
            let is_own = answer.as_ref().is_some_and(|m| m.whole && m.header("attempt-id") == id);
            let status = answer.as_ref().map_or(0, Message::status);
            record.log(format!("client {id}: status {status}, whole {is_own}, {:.2} s", began.elapsed().as_secs_f64()));
            if !is_own {
                has_ended = true;
                unanswered.push(id.clone());
            }
        }
        if has_ended {
            return (unanswered, began.elapsed() < ms(TIME_LEFT_MS));
        }
    }
    (unanswered, false)
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut system = System::new(&record, 1);
    system.start_all();
    system.await_leader();
    let config = configuration(1, 0, 200).replace("\"/safe/\",\"safe\",3,0.5", "\"/safe/\",\"safe\",20,2");
    if system.order("PUT /config", &config) != 200 {
        could_not_run("first configuration refused");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _workers: Vec<Worker> =
        (1..=4).map(|n| Worker::start(&system, n, "shelf", &runs, Arc::new(long_answer))).collect();
    system.await_ready();
    thread::sleep(ms(6000));
    let (mut lost, mut answered) = (0, 0);
    for n in 1..=CONNECTIONS {
        let (unanswered, was_closed) = converse(&record, system.fronts()[0], "/safe/manifest");
        let ran = runs.lock().unwrap().clone();
        let passed_on = unanswered.iter().filter(|id| ran.iter().any(|r| r.id == **id)).count();
        record.say(format!(
            "connection {n}: {} of {} requests answered, {passed_on} of the others ran; closed early: {was_closed}",
            1 + REQUESTS - unanswered.len(),
            1 + REQUESTS
        ));
        answered += 1 + REQUESTS - unanswered.len();
        lost += if was_closed { passed_on } else { 0 };
    }
    for node in system.controllers.iter_mut().chain(&mut system.proxies) {
        if let Some(status) = node.ended() {
            record.say(format!("{} has ended by itself: {status}", node.name));
        }
    }
    record.say(format!("{answered} answered; passed on to a worker and not answered before the close: {lost}"));
    let is_broken = lost > 3;
    record.say(if is_broken { "LOST broken" } else { "LOST held" });
    drop(system);
    std::process::exit(i32::from(is_broken));
}
