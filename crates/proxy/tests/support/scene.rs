//! One proxy that serves, and a worker that does what the ids of requests tell it.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lynxstair_fakes::{HttpMessage, WAIT_TIMEOUT, wait_until};

use super::{System, call};

/// A client's connection to the proxy.
pub fn connect(system: &System) -> TcpStream {
    let stream = TcpStream::connect(system.fronts[0]).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream
}

pub fn request(id: &str) -> String {
    format!(
        "POST /{id} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
    )
}

/// What lets each request that is held go on.
pub type Held = Arc<Mutex<Vec<Sender<()>>>>;

/// A worker: answers at once with the id. Ids that begin with "held" it says it has and answers when told; those that begin
/// with "watched" it says it has, and says so again when their connection has ended; those with "echo" it answers with the head
/// that it received.
fn worker(at: SocketAddr, controllers: Vec<SocketAddr>, has: Sender<String>, held: Held) -> Sender<()> {
    let listener = TcpListener::bind(at).expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (has, held) = (has.clone(), held.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
                while let Some(message) = HttpMessage::read(&mut reader) {
                    let id = message.header("attempt-id");
                    if id.starts_with("held") {
                        let (go, told) = channel();
                        held.lock().expect("held").push(go);
                        has.send(id.to_string()).expect("heard");
                        let _ = told.recv();
                    }
                    if id.starts_with("watched") {
                        has.send(id.to_string()).expect("heard");
                        let _ = reader.read(&mut [0]);
                        has.send(format!("gone {id}")).expect("heard");
                        return;
                    }
                    let body = if id.starts_with("echo") { head_of(&message) } else { id.to_string() };
                    let n = body.len();
                    let _ = write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: {n}\r\n\r\n{body}"
                    );
                }
            });
        }
    });
    let (stop, stopped): (Sender<()>, Receiver<()>) = channel();
    thread::spawn(move || {
        for seq in 1.. {
            let body = format!(
                r#"{{"service":"s","address":"{at}","zone":"z1","capacity":6,"state":"ready","cold-left-s":0,"call-seq":{seq}}}"#
            );
            let taken = |controller: &&SocketAddr| {
                call(**controller, "PUT /instances/i-1 HTTP/1.1", &body).is_some_and(|m| m.status() == 200)
            };
            controllers.iter().cycle().skip(seq % 3).take(3).find(taken);
            if stopped.recv_timeout(Duration::from_millis(300)) != Err(RecvTimeoutError::Timeout) {
                return;
            }
        }
    });
    stop
}

/// A line for each header, sorted.
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

/// A system whose proxy serves, with a worker that holds what it is told to hold.
pub struct Scene {
    pub system: System,
    /// Ids of the requests that the worker holds, as they reach it.
    pub heard: Receiver<String>,
    pub held: Held,
    _heartbeats: Sender<()>,
}

impl Scene {
    /// `net`: see [`System::start`].
    pub fn start(net: u32, grace_s: u32) -> Scene {
        let system = System::start(net, 1, grace_s);
        let (has, heard) = channel();
        let held = Held::default();
        let heartbeats = worker(system.worker_address(1), system.controllers.clone(), has, held.clone());
        let put = wait_until("a configuration", || {
            let put = |h: &SocketAddr| call(*h, "PUT /config HTTP/1.1", CONFIGURATION);
            system.controllers.iter().find_map(|h| put(h).filter(|m| m.status() == 200))
        });
        assert_eq!(put.status(), 200);
        wait_until("served", || {
            call(system.fronts[0], "POST /warm HTTP/1.1\r\nAttempt-Id: warm", "")
                .filter(|m| m.status() == 200)
        });
        Scene { system, heard, held, _heartbeats: heartbeats }
    }

    /// A connection on which a request was served, and that rests.
    pub fn resting_connection(&self) -> TcpStream {
        let rests = connect(&self.system);
        send(&rests, &request("rests"));
        assert_eq!(HttpMessage::read(&mut BufReader::new(&rests)).expect("an answer").body, b"rests");
        rests
    }

    /// Waits until so many requests are at the worker.
    pub fn wait_for_held(&self, count: usize) -> Vec<String> {
        let mut at_work: Vec<String> =
            (0..count).map(|_| self.heard.recv_timeout(WAIT_TIMEOUT).expect("at the worker")).collect();
        at_work.sort();
        at_work
    }

    /// Waits until the proxy has ended by itself.
    pub fn wait_for_end(&mut self) {
        let status = self.system.children.get_mut("proxy1").expect("runs").wait().expect("ended");
        assert!(status.success(), "{status}");
    }
}

/// Writes to a connection.
pub fn send(stream: &TcpStream, text: &str) {
    (&mut &*stream).write_all(text.as_bytes()).expect("written");
}
