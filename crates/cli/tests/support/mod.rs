//! The two programs, and a few gatekeepers of a fleet started by hand.
#![allow(dead_code)]

use std::fs;
use std::net::{SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lynxstair_fakes::{Load, exchange, named_gatekeeper_config, unused_address};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

pub fn lynxstair() -> Command {
    Command::new(env!("CARGO_BIN_EXE_lynxstair"))
}

/// Built with the workspace; it lies beside the command.
pub fn gatekeeper() -> PathBuf {
    let beside = Path::new(env!("CARGO_BIN_EXE_lynxstair")).with_file_name("lynxstair-gatekeeper");
    assert!(beside.exists(), "{}: run the tests with --workspace", beside.display());
    beside
}

pub fn run(args: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } = lynxstair().args(args).output().expect("runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (status.code().unwrap_or(-1), text(stdout), text(stderr))
}

pub fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_so() {
        assert!(began.elapsed() < Duration::from_secs(20), "not in time: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Some gatekeepers of one fleet, g1 and so on.
pub struct Hand {
    pub folder: TempDir,
    pub children: Vec<Option<Child>>,
    net: String,
    /// Added to each fleet file.
    more: String,
    /// What the gatekeepers serve with; none: nobody is there.
    load: Option<(String, std::net::SocketAddr, std::net::SocketAddr)>,
}

impl Hand {
    pub fn start(many: usize) -> Hand {
        Hand::start_with(many, false, |_| String::new(), None)
    }

    /// The first three are voters, where `voters`; `more` is added to each fleet file.
    pub fn start_with(many: usize, voters: bool, more: impl Fn(&str) -> String, load: Option<&Load>) -> Hand {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        // Addresses of its own: no other test, and no trial, is there.
        let net = format!("127.{}.{}", 16 + next, std::process::id() % 250 + 1);
        let folder = tempfile::tempdir().expect("a folder");
        let load = load.map(|l| (l.worker_list(), l.counter.addr, l.discovery.addr));
        let mut hand =
            Hand { folder, children: (0..many).map(|_| None).collect(), net, more: String::new(), load };
        if voters {
            let voter = |v: usize| format!("{{ name = \"g{}\", addr = \"{}\" }}", v + 1, hand.member(v));
            let all: Vec<_> = (0..3).map(voter).collect();
            hand.more = format!("voters = [{}]\n", all.join(", "));
        }
        hand.more += &more(&hand.net);
        (0..many).for_each(|n| hand.start_one(n));
        hand
    }

    pub fn member(&self, n: usize) -> SocketAddrV4 {
        format!("{}.{}:7100", self.net, n + 1).parse().expect("an address")
    }

    pub fn serving(&self, n: usize) -> SocketAddrV4 {
        format!("{}.{}:8443", self.net, n + 1).parse().expect("an address")
    }

    pub fn fleet_file(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("g{}.toml", n + 1))
    }

    pub fn start_one(&mut self, n: usize) {
        let name = format!("g{}", n + 1);
        let nobody = unused_address();
        let known = r#"{"revision":1,"complete":true,"members":[]}"#;
        let (known, counter, discovery) =
            self.load.as_ref().map_or((known, nobody, nobody), |(k, c, d)| (k.as_str(), *c, *d));
        let config = named_gatekeeper_config(&name, self.serving(n).into(), known, counter, discovery);
        let fleet = format!(
            "fleet = \"hand\"\nname = \"{name}\"\nhall = \"h1\"\nbind = \"{}\"\nseeds = [\"{}\"]\ndata = \"{name}\"\n{}",
            self.member(n),
            self.member(0),
            self.more
        );
        let config_file = self.folder.path().join(format!("{name}.json"));
        fs::write(&config_file, config).expect("written");
        fs::write(self.fleet_file(n), fleet).expect("written");
        let child = Command::new(gatekeeper())
            .arg("--fleet")
            .arg(self.fleet_file(n))
            .env("RELAY_CONFIG", config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        self.children[n] = Some(child);
        let addr = self.serving(n);
        until("it serves", || {
            TcpStream::connect(addr)
                .is_ok_and(|s| exchange(&s, "GET /up HTTP/1.1\r\n\r\n").is_some_and(|m| m.status() == 200))
        });
    }

    pub fn pid(&self, n: usize) -> i32 {
        self.children[n].as_ref().expect("runs").id() as i32
    }

    pub fn signal(&self, n: usize, signal: Signal) {
        kill(Pid::from_raw(self.pid(n)), signal).expect("there");
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn status(&self, n: usize) -> (i32, String) {
        let (code, out, err) = run(&["fleet", "status", &self.member(n).to_string()]);
        (code, out + &err)
    }
}

impl Drop for Hand {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|n| self.kill(n));
    }
}
