//! Runs the `lynxstair` command, and starts gatekeepers of a small fleet as processes.
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

/// Returns the gatekeeper program, which a build of the workspace places in the directory of the command.
pub fn gatekeeper_program() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_lynxstair")).with_file_name("lynxstair-gatekeeper");
    assert!(program.exists(), "{}: run the tests with --workspace", program.display());
    program
}

/// Runs the command. Returns its exit code, standard output and standard error.
pub fn run(args: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } = lynxstair().args(args).output().expect("runs");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (status.code().unwrap_or(-1), text(stdout), text(stderr))
}

/// Waits until the condition holds. Panics after 20 s.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(20), "time-out while waiting until {description}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Gatekeepers of one fleet, named g1, g2 and so on.
pub struct TestFleet {
    pub folder: TempDir,
    pub children: Vec<Option<Child>>,
    network_prefix: String,
    /// Further settings in each fleet file.
    extra_settings: String,
    /// Worker list, counter address and discovery address; `None` if the gatekeepers have no back ends.
    backends: Option<(String, std::net::SocketAddr, std::net::SocketAddr)>,
}

impl TestFleet {
    pub fn start(count: usize) -> TestFleet {
        TestFleet::start_with(count, false, |_| String::new(), None)
    }

    /// Starts the gatekeepers and waits until they serve. With `has_voters` the first three are voters.
    pub fn start_with(
        count: usize,
        has_voters: bool,
        extra_settings: impl Fn(&str) -> String,
        load: Option<&Load>,
    ) -> TestFleet {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        // Addresses that no other test and no trial uses.
        let network_prefix = format!("127.{}.{}", 16 + next, std::process::id() % 250 + 1);
        let folder = tempfile::tempdir().expect("a folder");
        let backends = load.map(|l| (l.worker_list(), l.counter.addr, l.discovery.addr));
        let mut fleet = TestFleet {
            folder,
            children: (0..count).map(|_| None).collect(),
            network_prefix,
            extra_settings: String::new(),
            backends,
        };
        if has_voters {
            let voter =
                |v: usize| format!("{{ name = \"g{}\", addr = \"{}\" }}", v + 1, fleet.member_addr(v));
            let all: Vec<_> = (0..3).map(voter).collect();
            fleet.extra_settings = format!("voters = [{}]\n", all.join(", "));
        }
        fleet.extra_settings += &extra_settings(&fleet.network_prefix);
        (0..count).for_each(|n| fleet.start_gatekeeper(n));
        fleet
    }

    pub fn member_addr(&self, n: usize) -> SocketAddrV4 {
        format!("{}.{}:7100", self.network_prefix, n + 1).parse().expect("an address")
    }

    pub fn serving_addr(&self, n: usize) -> SocketAddrV4 {
        format!("{}.{}:8443", self.network_prefix, n + 1).parse().expect("an address")
    }

    pub fn fleet_file(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("g{}.toml", n + 1))
    }

    pub fn start_gatekeeper(&mut self, n: usize) {
        let name = format!("g{}", n + 1);
        let unused = unused_address();
        let workers = r#"{"revision":1,"complete":true,"members":[]}"#;
        let (workers, counter, discovery) =
            self.backends.as_ref().map_or((workers, unused, unused), |(w, c, d)| (w.as_str(), *c, *d));
        let config = named_gatekeeper_config(&name, self.serving_addr(n).into(), workers, counter, discovery);
        let fleet = format!(
            "fleet = \"hand\"\nname = \"{name}\"\nhall = \"h1\"\nbind = \"{}\"\nseeds = [\"{}\"]\ndata = \"{name}\"\n{}",
            self.member_addr(n),
            self.member_addr(0),
            self.extra_settings
        );
        let config_file = self.folder.path().join(format!("{name}.json"));
        fs::write(&config_file, config).expect("written");
        fs::write(self.fleet_file(n), fleet).expect("written");
        let child = Command::new(gatekeeper_program())
            .arg("--fleet")
            .arg(self.fleet_file(n))
            .env("RELAY_CONFIG", config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        self.children[n] = Some(child);
        let addr = self.serving_addr(n);
        wait_until("the gatekeeper serves", || {
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
        let (code, out, err) = run(&["fleet", "status", &self.member_addr(n).to_string()]);
        (code, out + &err)
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|n| self.kill(n));
    }
}
