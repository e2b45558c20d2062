//! A system with one proxy, and a worker whose behaviour depends on the attempt id.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lynxstair_fakes::{HttpMessage, Pace, WAIT_TIMEOUT, wait_until};

use super::{System, call};

/// Opens a client connection to the proxy.
pub fn connect(system: &System) -> TcpStream {
    let stream = TcpStream::connect(system.proxy_addresses[0]).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream
}

/// Returns the text of a `POST` request with this path and attempt id.
pub fn request(id: &str) -> String {
    request_with("POST", id)
}

/// Returns the text of a request with this method, path and attempt id.
pub fn request_with(method: &str, id: &str) -> String {
    format!(
        "{method} /{id} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Length of a large body without a length, a little less than a proxy takes.
pub const LARGE_BODY_BYTES: usize = 1_000_000;

/// Senders that release the requests held by the worker, in order of arrival.
pub type Held = Arc<Mutex<Vec<Sender<()>>>>;

/// Bytes that the worker sends as its reply to one attempt.
#[derive(Clone, Debug)]
pub struct RawReply {
    pub bytes: Vec<u8>,
    pub pace: Pace,
    /// Whether the connection is closed after the last byte.
    pub closes: bool,
}

/// Raw replies by attempt id.
pub type RawReplies = Arc<Mutex<HashMap<String, RawReply>>>;

/// What the connections of the worker share.
#[derive(Clone)]
struct WorkerState {
    reporter: Sender<String>,
    held: Held,
    raw_replies: RawReplies,
}

impl WorkerState {
    fn report(&self, text: impl Into<String>) {
        self.reporter.send(text.into()).expect("test is running");
    }

    /// Serves a connection until it ends.
    fn serve(&self, mut stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(message) = HttpMessage::read(&mut reader) {
            let id = message.header("attempt-id");
            let raw = self.raw_replies.lock().expect("raw replies").get(id).cloned();
            if let Some(raw) = raw {
                self.report(id);
                if !raw.pace.write(stream, &raw.bytes) || raw.closes {
                    return;
                }
                continue;
            }
            if id.starts_with("held") {
                let (release, released) = channel();
                self.held.lock().expect("held").push(release);
                self.report(id);
                let _ = released.recv();
            }
            if id.starts_with("watched") {
                self.report(id);
                let _ = reader.read(&mut [0]);
                return self.report(format!("gone {id}"));
            }
            if id.starts_with("unsized") {
                let body = "b".repeat(LARGE_BODY_BYTES);
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n");
                let _ = write!(stream, "{head}Connection: close\r\n\r\n{body}");
                return self.report(id);
            }
            let body = if id.starts_with("echo") { head_of(&message) } else { id.to_string() };
            let n = body.len();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: {n}\r\n\r\n{body}"
            );
        }
    }
}

/// Starts a worker that answers each request with its id, and its heartbeats. Ids with an entry in
/// `raw_replies` are reported and answered with these bytes. Ids that begin with "held" are
/// reported and answered once released. Ids that begin with "unsized" are reported and answered with
/// [`LARGE_BODY_BYTES`] without a length, which end with the connection. Ids that begin with "watched" are
/// reported, and again when their connection ends. Ids that begin with "echo" are answered with the received
/// headers. The heartbeats stop when the result is dropped.
fn worker(number: usize, at: SocketAddr, controllers: Vec<SocketAddr>, state: WorkerState) -> Sender<()> {
    let listener = TcpListener::bind(at).expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = state.clone();
            thread::spawn(move || state.serve(&stream));
        }
    });
    let (heartbeat_guard, dropped): (Sender<()>, Receiver<()>) = channel();
    thread::spawn(move || {
        for seq in 1.. {
            let body = format!(
                r#"{{"service":"s","address":"{at}","zone":"z1","capacity":6,"state":"ready","cold-left-s":0,"call-seq":{seq}}}"#
            );
            let accepts = |controller: &&SocketAddr| {
                call(**controller, &format!("PUT /instances/i-{number} HTTP/1.1"), &body)
                    .is_some_and(|m| m.status() == 200)
            };
            controllers.iter().cycle().skip(seq % 3).take(3).find(accepts);
            if dropped.recv_timeout(Duration::from_millis(300)) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    });
    heartbeat_guard
}

/// Returns one line per header, sorted.
fn head_of(message: &HttpMessage) -> String {
    let mut lines: Vec<String> =
        message.headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
    lines.sort();
    lines.join("\n")
}

const CONFIGURATION: &str = r#"{"generation":"00000005","base-version":"00000000",
    "routes":{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
    "rows":[["all","h.example","/","unsafe",20,1,"s",3],["short","h.example","/short/","unsafe",0.4,0.3,"s",3]]},"limits":{"idle-timeout-s":30},
    "services":{"columns":["name","max-conns"],"rows":[["s",100]]},
    "tenants":{"columns":["name","api-keys","rate-per-s","burst"],"rows":[]}}"#;

/// A system whose proxy serves, with one worker.
pub struct Fixture {
    pub system: System,
    /// Ids reported by the worker, in order.
    pub reports: Receiver<String>,
    pub held: Held,
    pub raw_replies: RawReplies,
    _heartbeats: Vec<Sender<()>>,
}

impl Fixture {
    /// Starts a system with one worker. `net`: see [`System::start`].
    pub fn start(net: u32, grace_s: u32) -> Fixture {
        Fixture::start_with_workers(net, grace_s, 1)
    }

    /// Starts a system with some workers. `net`: see [`System::start`].
    pub fn start_with_workers(net: u32, grace_s: u32, workers: usize) -> Fixture {
        let system = System::start(net, 1, grace_s);
        let (reporter, reports) = channel();
        let state = WorkerState { reporter, held: Held::default(), raw_replies: RawReplies::default() };
        let (held, raw_replies) = (state.held.clone(), state.raw_replies.clone());
        let start_worker =
            |number| worker(number, system.worker_address(number), system.controllers.clone(), state.clone());
        let heartbeats = (1..=workers).map(start_worker).collect();
        let put = wait_until("a configuration", || {
            let put = |h: &SocketAddr| call(*h, "PUT /config HTTP/1.1", CONFIGURATION);
            system.controllers.iter().find_map(|h| put(h).filter(|m| m.status() == 200))
        });
        assert_eq!(put.status(), 200);
        wait_until("served", || {
            call(system.proxy_addresses[0], "POST /warm HTTP/1.1\r\nAttempt-Id: warm", "")
                .filter(|m| m.status() == 200)
        });
        Fixture { system, reports, held, raw_replies, _heartbeats: heartbeats }
    }

    /// Returns an idle connection on which one request was served.
    pub fn idle_connection(&self) -> TcpStream {
        let idle = connect(&self.system);
        send(&idle, &request("idle"));
        assert_eq!(HttpMessage::read(&mut BufReader::new(&idle)).expect("a response").body, b"idle");
        idle
    }

    /// Waits until the worker has reported `count` requests. Returns their ids, sorted.
    pub fn wait_for_held(&self, count: usize) -> Vec<String> {
        let mut ids: Vec<String> =
            (0..count).map(|_| self.reports.recv_timeout(WAIT_TIMEOUT).expect("at the worker")).collect();
        ids.sort();
        ids
    }

    /// Waits until the proxy process has exited successfully.
    pub fn wait_for_exit(&mut self) {
        let status = self.system.children.get_mut("proxy1").expect("runs").wait().expect("ended");
        assert!(status.success(), "{status}");
    }
}

/// Writes text to a connection.
pub fn send(stream: &TcpStream, text: &str) {
    (&mut &*stream).write_all(text.as_bytes()).expect("written");
}
