//! Stand-ins for worker, counter and discovery, written from the protocol's page, and a gatekeeper started as a
//! program. All on free loopback ports.
#![allow(dead_code)]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a worker does with one delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Succeeds,
    /// Succeeds after so many milliseconds.
    SucceedsIn(u64),
    SucceedsChunked,
    /// Succeeds, and closes the connection at once without having said so.
    SucceedsAndCloses,
    Errors,
    TurnsAway,
    /// Answers 503 without the mark that it never ran.
    SaysBusy,
    Resets,
    BreaksOff,
    Hangs,
}

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one; None at the end of the connection.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut first = String::new();
        from.read_line(&mut first).ok().filter(|n| *n > 0)?;
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let length = headers.get("content-length").map_or(0, |l| l.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        Some(Message { first: first.trim_end().to_string(), headers, body })
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn serve(on: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in on.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
}

fn listener() -> (TcpListener, SocketAddr) {
    let on = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = on.local_addr().expect("bound");
    (on, addr)
}

/// What all workers of a test saw: deliveries with the worker that got them, and connections.
#[derive(Default)]
pub struct Seen {
    pub deliveries: Mutex<Vec<(usize, Message)>>,
    pub connections: AtomicU32,
    pub closed: AtomicU32,
}

impl Seen {
    pub fn of(&self, id: &str) -> Vec<(usize, Message)> {
        let all = self.deliveries.lock().expect("not poisoned");
        all.iter().filter(|(_, m)| m.header("request-id") == id).cloned().collect()
    }
}

/// A worker that does with each invocation's deliveries what the script for its id says, in turn.
fn worker(me: usize, seen: Arc<Seen>, script: Arc<Mutex<HashMap<String, Vec<Does>>>>) -> SocketAddr {
    let (on, addr) = listener();
    serve(on, move |stream| {
        seen.connections.fetch_add(1, Ordering::SeqCst);
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(message) = Message::read(&mut reader) {
            let id = message.header("request-id").to_string();
            let no = {
                let mut deliveries = seen.deliveries.lock().expect("not poisoned");
                deliveries.push((me, message));
                deliveries.iter().filter(|(_, m)| m.header("request-id") == id).count() - 1
            };
            let does = script.lock().expect("not poisoned").get(&id).and_then(|s| s.get(no).copied());
            let body = format!("answer to {id}");
            let whole =
                |rest: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{rest}\r\n{body}", body.len());
            let mut out = &stream;
            let mut say = |text: String| out.write_all(text.as_bytes()).is_ok();
            let goes_on = match does.unwrap_or(Does::Succeeds) {
                Does::Succeeds => say(whole("X-Kind: plain\r\n")),
                Does::SucceedsIn(ms) => {
                    thread::sleep(Duration::from_millis(ms));
                    say(whole(""))
                }
                Does::SucceedsChunked => say(format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                    body.len()
                )),
                Does::SucceedsAndCloses => {
                    say(whole(""));
                    false
                }
                Does::Errors => say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_string()),
                Does::TurnsAway => {
                    say("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n".to_string())
                }
                Does::SaysBusy => say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_string()),
                Does::Resets => false,
                Does::BreaksOff => {
                    say(whole("")[..60].to_string());
                    false
                }
                // Until the other side closes.
                Does::Hangs => {
                    let _ = reader.read(&mut [0]);
                    false
                }
            };
            if !goes_on {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        seen.closed.fetch_add(1, Ordering::SeqCst);
    });
    addr
}

/// Adds to counts and gives the total, or another total, or nothing.
pub struct Counter {
    pub addr: SocketAddr,
    pub calls: Arc<Mutex<Vec<String>>>,
    /// Connections that ended.
    pub closed: Arc<AtomicU32>,
}

pub fn counter(total: Option<f64>) -> Counter {
    let total = total.map(|t| t.to_string());
    counter_that_says(total.map(|t| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{t}", t.len())))
}

/// The same, which gives each call one and the same answer.
pub fn counter_that_says(answer: Option<String>) -> Counter {
    let (on, addr) = listener();
    let counter = Counter { addr, calls: Arc::default(), closed: Arc::default() };
    let (calls, closed) = (counter.calls.clone(), counter.closed.clone());
    serve(on, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(message) = Message::read(&mut reader) {
            calls.lock().expect("not poisoned").push(message.first);
            let _ = answer.iter().try_for_each(|a| (&stream).write_all(a.as_bytes()));
        }
        closed.fetch_add(1, Ordering::SeqCst);
    });
    counter
}

/// Tells the list to those who watch, and what came later to those who come later.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    pub asked: Arc<Mutex<Vec<String>>>,
}

pub fn discovery() -> Discovery {
    let (on, addr) = listener();
    let told = Discovery { addr, watches: Arc::default(), asked: Arc::default() };
    let kept = told.clone();
    serve(on, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let Some(message) = Message::read(&mut reader) else { return };
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
        if stream.write_all(head).is_ok() {
            kept.watches.lock().expect("not poisoned").push(stream);
            kept.asked.lock().expect("not poisoned").push(message.first);
        }
    });
    told
}

impl Discovery {
    pub fn tell(&self, news: &str) {
        let piece = format!("{:x}\r\n{news}\n\r\n", news.len() + 1);
        self.watches.lock().expect("not poisoned").retain_mut(|w| w.write_all(piece.as_bytes()).is_ok());
    }
}

/// A member of the list.
pub fn member(n: usize, addr: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{n}","host_port":"{addr}","locality":"z","flavor":"k","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

pub struct World {
    pub addr: SocketAddr,
    child: Child,
    pub seen: Arc<Seen>,
    pub workers: Vec<SocketAddr>,
    pub counter: Counter,
    pub discovery: Discovery,
    script: Arc<Mutex<HashMap<String, Vec<Does>>>>,
    ids: AtomicU32,
    file: PathBuf,
}

impl World {
    /// A gatekeeper that knows so many workers, and as many again that take no connections.
    pub fn new(alive: usize, dead: usize, total: Option<f64>) -> World {
        World::with_timeout(alive, dead, total, 4_000)
    }

    /// The same, where the integration timeout of all operations is so many milliseconds.
    pub fn with_timeout(alive: usize, dead: usize, total: Option<f64>, timeout_ms: u32) -> World {
        let (seen, script) = (Arc::new(Seen::default()), Arc::default());
        let mut workers: Vec<SocketAddr> =
            (0..alive).map(|n| worker(n, Arc::clone(&seen), Arc::clone(&script))).collect();
        // The port of a listener that is gone refuses.
        workers.extend((0..dead).map(|_| listener().1));
        let members: Vec<String> =
            workers.iter().enumerate().map(|(n, addr)| member(n, *addr, "SERVING")).collect();
        let known = format!(r#"{{"revision":7,"complete":true,"members":[{}]}}"#, members.join(","));
        let (counter, discovery) = (counter(total), discovery());
        let (addr, child, file) = start(&known, counter.addr, discovery.addr, timeout_ms);
        let ids = AtomicU32::new(1);
        let world = World { addr, child, seen, workers, counter, discovery, script, ids, file };
        world.until("the gatekeeper is up", || {
            TcpStream::connect(addr)
                .is_ok_and(|s| ask(&s, "GET /up HTTP/1.1\r\n\r\n").is_some_and(|m| m.status() == 200))
        });
        world
    }

    /// Waits, for ten seconds at most.
    pub fn until(&self, what: &str, is_so: impl Fn() -> bool) {
        let started = Instant::now();
        while !is_so() {
            assert!(started.elapsed() < Duration::from_secs(10), "not in time: {what}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// An id no invocation has yet, and what becomes of its deliveries.
    pub fn script(&self, does: &[Does]) -> String {
        let id = format!("{:016x}", self.ids.fetch_add(1, Ordering::SeqCst));
        self.script.lock().expect("not poisoned").insert(id.clone(), does.to_vec());
        id
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("connected");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
        stream
    }

    /// Sends one invocation on a connection of its own.
    pub fn invoke(&self, text: &str) -> Option<Message> {
        ask(&self.client(), text)
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("sh").success());
    }

    /// Puts a configuration in the place of the one at hand, and says so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("written");
        self.signal("HUP");
    }

    pub fn ended(&mut self, within: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < within {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn ask(stream: &TcpStream, text: &str) -> Option<Message> {
    let mut out = stream;
    out.write_all(text.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// An invocation: `get` is idempotent, `put` is not.
pub fn text(operation: &str, plan: &str, id: &str, patience_ms: u32) -> String {
    let method = if operation == "get" { "GET" } else { "POST" };
    let body = if operation == "get" { "" } else { "Content-Length: 4\r\n" };
    let content = if operation == "get" { "" } else { "body" };
    format!(
        "{method} /{operation}/a?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nX-Tariff: {plan}\r\n\
         Cookie: other=1; key=00000000b4d65521\r\nRequest-Timeout-Ms: {patience_ms}\r\n\
         X-Weight: units=1,spread=2,first=0\r\nX-More: kept\r\n{body}\r\n{content}"
    )
}

const SETTINGS: &str = r#"{"areas":["z"],"shapes":["k"],"balancers":2,"me":0,"myZone":0,"step":4000000,"family":"gate",
 "classes":[{"name":"get","onTime":2000000000,"deadline":4000000000,"idempotency":"retryable","group":"all","points":1},
            {"name":"put","onTime":2000000000,"deadline":4000000000,"idempotency":"fragile","group":"all","points":1}],
 "packages":[{"name":"wide","refill":1000,"depth":1000,"pays":1},{"name":"narrow","refill":0.5,"depth":4,"pays":1}],
 "familyInfo":{"mayCount":true,"maxUnits":4,"counterTimeout":50000000},
 "limits":{"cancel":true,"connectTimeout":250000000,"idleClose":1500000000,"maxAttempts":3,"maxRetryAfter":1000000000,
           "probes":true,"retryAfter":true,"secondCopies":true},
 "rules":{"fall":2000000000,"fallMultiple":2,"startCapacity":0.2,"stopSendingWithin":250000000,"warmWithin":10000000000}}"#;

pub fn config(listen: SocketAddr, known: &str, counter: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","counter":"{counter}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// The program with a configuration, and the file that this is in.
pub fn program(config: &str) -> (Command, PathBuf) {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let name = format!("gatekeeper-{}-{number}.json", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lynxstair-gatekeeper"));
    command.env("RELAY_CONFIG", &path).stdin(Stdio::null()).stdout(Stdio::null());
    (command, path)
}

/// On a port that is free; another one where it was taken meanwhile.
fn start(
    known: &str,
    counter: SocketAddr,
    discovery: SocketAddr,
    timeout_ms: u32,
) -> (SocketAddr, Child, PathBuf) {
    let timeout = format!("\"deadline\":{timeout_ms}000000");
    for _ in 0..10 {
        let listen = listener().1;
        let (mut command, file) =
            program(&config(listen, known, counter, discovery).replace("\"deadline\":4000000000", &timeout));
        let mut child = command.stderr(Stdio::null()).spawn().expect("starts");
        thread::sleep(Duration::from_millis(50));
        if child.try_wait().expect("a child").is_none() {
            return (listen, child, file);
        }
    }
    panic!("no gatekeeper could be started");
}
