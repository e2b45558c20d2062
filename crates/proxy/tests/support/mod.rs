//! The system's programs as processes on loopback, and plain HTTP calls to them.
#![allow(dead_code, reason = "each test uses a part")]

pub mod fixture;

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use lynxstair_fakes::{HttpMessage, wait_until};
use tempfile::TempDir;

/// Number of controllers of a system.
const CONTROLLERS: usize = 3;
/// Limits of each process.
pub const MEMORY_MB: u64 = 64;
pub const MAX_FDS: usize = 900;

/// Makes one HTTP call on a new connection. `head`: request line and headers.
pub fn call(to: SocketAddr, head: &str, body: &str) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let length = body.len();
    write!(
        stream,
        "{head}\r\nHost: h.example\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .ok()?;
    HttpMessage::read(&mut BufReader::new(stream))
}

/// Three controllers and some proxies, as processes that are killed on drop.
pub struct System {
    pub folder: TempDir,
    pub children: HashMap<String, Child>,
    /// Control addresses of the controllers.
    pub controllers: Vec<SocketAddr>,
    /// Client addresses of the proxies.
    pub proxy_addresses: Vec<SocketAddr>,
    net: String,
    grace_s: u32,
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl System {
    /// Starts all programs. `net`: second octet of the loopback addresses, different for each test.
    pub fn start(net: u32, proxies: usize, grace_s: u32) -> System {
        let process = std::process::id();
        let net = format!("127.{}.{}", net + process % 50, process / 50 % 250);
        let at =
            |n: usize, port: u16| -> SocketAddr { format!("{net}.{n}:{port}").parse().expect("an address") };
        let controllers: Vec<SocketAddr> = (1..=CONTROLLERS).map(|n| at(n, 8383)).collect();
        let proxy_addresses: Vec<SocketAddr> = (1..=proxies).map(|n| at(10 + n, 8389)).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let mut system =
            System { folder, children: HashMap::new(), controllers, proxy_addresses, net, grace_s };
        for n in 1..=CONTROLLERS {
            system.start_program(&format!("controller{n}"), true);
        }
        for n in 1..=proxies {
            system.start_program(&format!("proxy{n}"), true);
        }
        system
    }

    /// Starts `controllerN` or `proxyN`.
    pub fn start_program(&mut self, name: &str, bootstrap: bool) {
        let (kind, n) = name.split_at(name.len() - 1);
        let n: usize = n.parse().expect("a number");
        let own = if kind == "controller" { self.controllers[n - 1] } else { self.proxy_addresses[n - 1] };
        let ip = own.ip();
        let bind = if kind == "controller" {
            format!("  control: \"{own}\"\n  directory: \"{ip}:8385\"\n")
        } else {
            format!("  front: \"{own}\"\n  readiness: \"{ip}:8384\"\n")
        };
        let seeds: String = self.controllers.iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
        let settings = format!(
            "node-name: \"{name}\"\nip: \"{ip}\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\nbind:\n{bind}\
             port-range:\n  - 7460\n  - 7475\nseeds:\n{seeds}bootstrap: {bootstrap}\nlimits:\n  memory-mb: {MEMORY_MB}\n  \
             max-fds: {MAX_FDS}\ndata-dir: \"{}\"\nbeat-period-s: 0.3\nbounds: \"revoke-final=true,grace-s={}\"\n",
            self.folder.path().join(name).display(),
            self.grace_s
        );
        let file = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("written");
        let program =
            Path::new(env!("CARGO_BIN_EXE_lynxstair-proxy")).with_file_name(format!("lynxstair-{kind}"));
        assert!(program.exists(), "{}: run the tests with --workspace", program.display());
        let child = Command::new(program).env("LYNXSTAIR_BOOT", &file).stderr(Stdio::null()).spawn();
        self.children.insert(name.to_string(), child.expect("started"));
    }

    /// Returns the address reserved for a worker.
    pub fn worker_address(&self, n: usize) -> SocketAddr {
        format!("{}.{}:9000", self.net, 20 + n).parse().expect("an address")
    }

    /// Returns the readiness address of a proxy.
    pub fn readiness(&self, proxy: usize) -> SocketAddr {
        SocketAddr::new(self.proxy_addresses[proxy].ip(), 8384)
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.children.remove(name).expect("runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, name: &str) {
        let process = self.children.get(name).expect("runs").id().to_string();
        assert!(Command::new("kill").args(["-TERM", &process]).status().expect("ran").success());
    }

    /// Makes an operator call to any controller, follows a redirect to the leader, and repeats it until the
    /// status is below 500.
    pub fn operator_call(&self, head: &str, body: &str) -> HttpMessage {
        wait_until(head, || {
            self.controllers.iter().find_map(|controller| {
                let mut response = call(*controller, head, body)?;
                if response.status() == 307 {
                    let leader = response.header("location").split('/').nth(2)?.parse().ok()?;
                    response = call(leader, head, body)?;
                }
                (response.status() < 500 && response.status() != 307).then_some(response)
            })
        })
    }
}
