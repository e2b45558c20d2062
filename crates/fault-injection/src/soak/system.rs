//! The processes of a soak: addresses, settings, start and exit.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::SoakError;
use super::plan::{ProcessName, SoakShape};
use super::quota::{QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW_S};
use super::workers::{WARMUP_OVERSHOOT, WARMUP_SLACK};

const FRONT_PORT: u16 = 8389;
const READINESS_PORT: u16 = 8384;
const CONTROL_PORT: u16 = 8383;
const DIRECTORY_PORT: u16 = 8385;
const INTERNAL_PORTS: (u16, u16) = (7460, 7475);
const WORKER_PORT: u16 = 9000;
/// Number of addresses of proxies or workers for each value of the third octet.
const ADDRESSES_PER_BLOCK: usize = 200;
const FIRST_WORKER_BLOCK: usize = 100;

/// Loopback addresses of a soak, 127.x.0.0/16. Holds the second octet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Net(u8);

impl Net {
    /// Finds a network in which the address of the first controller is free. The search starts at a position
    /// derived from the process id, so that concurrent soaks rarely collide.
    fn find() -> Result<Net, SoakError> {
        let first = std::process::id() % 40;
        let mut last = std::io::Error::other("no addresses");
        for n in 0..40 {
            let net = Net((210 + (first + n) % 40) as u8);
            match TcpListener::bind(net.controller(0)) {
                Ok(_) => return Ok(net),
                Err(e) => last = e,
            }
        }
        Err(SoakError::Io { what: "finding free loopback addresses".to_string(), source: last })
    }

    fn address(self, block: usize, n: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, block as u8, n as u8), port))
    }

    /// Control address of a controller.
    pub fn controller(self, n: usize) -> SocketAddr {
        self.address(0, n + 1, CONTROL_PORT)
    }

    /// Directory address of a controller.
    pub fn directory(self, n: usize) -> SocketAddr {
        self.address(0, n + 1, DIRECTORY_PORT)
    }

    /// Address at which clients connect to a proxy.
    pub fn front(self, n: usize) -> SocketAddr {
        self.address(1 + n / ADDRESSES_PER_BLOCK, 1 + n % ADDRESSES_PER_BLOCK, FRONT_PORT)
    }

    /// Address at which a proxy reports its readiness.
    pub fn readiness(self, n: usize) -> SocketAddr {
        SocketAddr::new(self.front(n).ip(), READINESS_PORT)
    }

    /// Listening address of a worker.
    pub fn worker(self, n: usize) -> SocketAddr {
        self.address(FIRST_WORKER_BLOCK + n / ADDRESSES_PER_BLOCK, 1 + n % ADDRESSES_PER_BLOCK, WORKER_PORT)
    }
}

/// Running processes of the system.
pub(super) struct System {
    pub net: Net,
    dir: PathBuf,
    programs: PathBuf,
    grace_s: f64,
    children: BTreeMap<ProcessName, Child>,
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
        }
        for child in self.children.values_mut() {
            let _ = child.wait();
        }
    }
}

impl System {
    /// Starts all processes with `bootstrap` set.
    pub fn start(shape: &SoakShape, programs: &Path, dir: &Path) -> Result<System, SoakError> {
        let mut system = System {
            net: Net::find()?,
            dir: dir.to_path_buf(),
            programs: programs.to_path_buf(),
            grace_s: shape.grace_s,
            children: BTreeMap::new(),
        };
        let controllers = (0..SoakShape::CONTROLLERS).map(ProcessName::Controller);
        for name in controllers.chain((0..shape.proxies).map(ProcessName::Proxy)) {
            system.spawn(name, true)?;
        }
        Ok(system)
    }

    /// Starts a process. Its log is appended to the existing one.
    pub fn spawn(&mut self, name: ProcessName, bootstrap: bool) -> Result<(), SoakError> {
        let settings = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&settings, self.settings(name, bootstrap))
            .map_err(SoakError::io("writing settings"))?;
        let log = self.log(name).map_err(SoakError::io("opening a log"))?;
        let program = self.programs.join(match name {
            ProcessName::Controller(_) => "lynxstair-controller",
            ProcessName::Proxy(_) => "lynxstair-proxy",
        });
        let child = Command::new(&program).env("LYNXSTAIR_BOOT", &settings).stderr(log).spawn();
        let child = child.map_err(SoakError::io(program.display().to_string()))?;
        self.children.insert(name, child);
        Ok(())
    }

    fn log(&self, name: ProcessName) -> std::io::Result<File> {
        OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")))
    }

    fn settings(&self, name: ProcessName, bootstrap: bool) -> String {
        let (own, bind, data) = match name {
            ProcessName::Controller(n) => {
                let (control, directory) = (self.net.controller(n), self.net.directory(n));
                let data = format!("\"{}\"", self.dir.join(name.to_string()).display());
                (control, format!("  control: \"{control}\"\n  directory: \"{directory}\"\n"), data)
            }
            ProcessName::Proxy(n) => {
                let front = self.net.front(n);
                let readiness = self.net.readiness(n);
                let bind = format!("  front: \"{front}\"\n  readiness: \"{readiness}\"\n");
                (front, bind, "null".to_string())
            }
        };
        let seeds: String =
            (0..SoakShape::CONTROLLERS).map(|n| format!("  - \"{}\"\n", self.net.controller(n))).collect();
        format!(
            "node-name: \"{name}\"\nip: \"{ip}\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\nbind:\n{bind}\
             port-range:\n  - {}\n  - {}\nseeds:\n{seeds}bootstrap: {bootstrap}\ncounted: true\nlimits:\n  \
             memory-mb: 64\n  max-fds: 900\ndata-dir: {data}\nbeat-period-s: 1.5\nfault-budget:\n  machines: 1\n  \
             zones: 0\n  regions: 0\nbounds: \"revoke-final=true,grace-s={},\
             cold-overshoot={WARMUP_OVERSHOOT},cold-slack={WARMUP_SLACK},\
             quota-window-s={QUOTA_WINDOW_S},quota-overshoot={QUOTA_OVERSHOOT},quota-slack={QUOTA_SLACK}\"\n",
            INTERNAL_PORTS.0,
            INTERNAL_PORTS.1,
            self.grace_s,
            ip = own.ip(),
        )
    }

    /// Sends a signal. Returns `false` if the process is not running.
    pub fn signal(&self, name: ProcessName, signal: Signal) -> bool {
        let Some(child) = self.children.get(&name) else { return false };
        i32::try_from(child.id()).is_ok_and(|id| kill(Pid::from_raw(id), signal).is_ok())
    }

    /// Removes the processes that have exited, and returns them with their exit status.
    pub fn reap_all(&mut self) -> Vec<(ProcessName, ExitStatus)> {
        let ended =
            self.children.iter_mut().filter_map(|(name, child)| Some((*name, child.try_wait().ok()??)));
        let ended: Vec<(ProcessName, ExitStatus)> = ended.collect();
        for (name, _) in &ended {
            self.children.remove(name);
        }
        ended
    }
}
