//! Test environment: a gatekeeper process with fake workers, counter and discovery on free loopback ports.
#![allow(dead_code, unused_imports, reason = "each test uses a part")]

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub use lynxstair_fakes::{
    Counter, Discovery, HttpMessage, WorkerAction, WorkerLog, exchange, gatekeeper_config, request_text,
    start_counter, start_counter_with_response, start_discovery, worker_entry,
};
use lynxstair_fakes::{start_worker, unused_address};

pub struct TestEnv {
    pub addr: SocketAddr,
    child: Child,
    pub log: Arc<WorkerLog>,
    pub workers: Vec<SocketAddr>,
    pub counter: Counter,
    pub discovery: Discovery,
    script: Arc<Mutex<HashMap<String, Vec<WorkerAction>>>>,
    ids: AtomicU32,
    file: PathBuf,
}

impl TestEnv {
    /// Starts a gatekeeper with `live` workers and `refusing` workers that refuse connections. `total` is the
    /// reply of the counter; it never replies if `None`.
    pub fn new(live: usize, refusing: usize, total: Option<f64>) -> TestEnv {
        TestEnv::with_timeout(live, refusing, total, 4_000)
    }

    /// Like `new`, with an integration time-out for all operations.
    pub fn with_timeout(live: usize, refusing: usize, total: Option<f64>, timeout_ms: u32) -> TestEnv {
        let (log, script) = (Arc::new(WorkerLog::default()), Arc::default());
        let mut workers: Vec<SocketAddr> =
            (0..live).map(|n| start_worker(n, Arc::clone(&log), Arc::clone(&script))).collect();
        // Connections to a port without a listener are refused.
        workers.extend((0..refusing).map(|_| unused_address()));
        let members: Vec<String> =
            workers.iter().enumerate().map(|(n, addr)| worker_entry(n, *addr, "SERVING")).collect();
        let known = format!(r#"{{"revision":7,"complete":true,"members":[{}]}}"#, members.join(","));
        let (counter, discovery) = (start_counter(total), start_discovery());
        let (addr, child, file) = start(&known, counter.addr, discovery.addr, timeout_ms);
        let ids = AtomicU32::new(1);
        let env = TestEnv { addr, child, log, workers, counter, discovery, script, ids, file };
        env.wait_until("the gatekeeper is up", || {
            TcpStream::connect(addr)
                .is_ok_and(|s| exchange(&s, "GET /up HTTP/1.1\r\n\r\n").is_some_and(|m| m.status() == 200))
        });
        env
    }

    /// Waits until `condition` returns `true`; panics after ten seconds.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let started = Instant::now();
        while !condition() {
            assert!(started.elapsed() < Duration::from_secs(10), "timed out: {what}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns a new request id, and sets what the workers do on its attempts; after the last action they
    /// succeed.
    pub fn script(&self, actions: &[WorkerAction]) -> String {
        let id = format!("{:016x}", self.ids.fetch_add(1, Ordering::SeqCst));
        self.script.lock().expect("not poisoned").insert(id.clone(), actions.to_vec());
        id
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("connected");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
        stream
    }

    /// Sends a request on a new connection.
    pub fn send(&self, text: &str) -> Option<HttpMessage> {
        exchange(&self.client(), text)
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("sh").success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.file, config).expect("written");
        self.signal("HUP");
    }

    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the command that runs the program with a configuration, and the configuration file.
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

/// Starts the program on a free port. Tries again with another one if the port was taken meanwhile.
fn start(
    known: &str,
    counter: SocketAddr,
    discovery: SocketAddr,
    timeout_ms: u32,
) -> (SocketAddr, Child, PathBuf) {
    let timeout = format!("\"deadline\":{timeout_ms}000000");
    for _ in 0..10 {
        let listen = unused_address();
        let (mut command, file) = program(
            &gatekeeper_config(listen, known, counter, discovery)
                .replace("\"deadline\":4000000000", &timeout),
        );
        let mut child = command.stderr(Stdio::null()).spawn().expect("starts");
        thread::sleep(Duration::from_millis(50));
        if child.try_wait().expect("a child").is_none() {
            return (listen, child, file);
        }
    }
    panic!("no gatekeeper could be started");
}
