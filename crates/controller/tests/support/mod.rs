//! Clusters of controller processes on loopback, and the calls of workers, operators and proxies to them.
#![allow(dead_code, reason = "each test uses a part")]

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use lynxstair_config::json::{self, Object, Value};
use lynxstair_fakes::{HttpMessage, WAIT_TIMEOUT, wait_until};
use lynxstair_protocol::frames;
use lynxstair_protocol::messages::{
    InstanceState, ProxyHeartbeat, ProxyInfo, Readiness, ToController, ToProxy,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

/// Limits of each controller.
pub const MEMORY_MB: u64 = 64;
pub const MAX_FDS: usize = 900;

/// Sends a request on a new connection, without reading the response.
pub fn send(to: SocketAddr, head: &str, body: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let n = body.len();
    write!(stream, "{head} HTTP/1.1\r\nHost: h\r\nContent-Length: {n}\r\nConnection: close\r\n\r\n{body}")
        .ok()?;
    Some(stream)
}

pub fn call(to: SocketAddr, head: &str, body: &str) -> Option<HttpMessage> {
    HttpMessage::read(&mut BufReader::new(send(to, head, body)?))
}

pub fn configuration(generation: u32, base: u32) -> String {
    format!(
        r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",
        "routes":{{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
        "rows":[["r","h.example","/","safe",3,0.8,"s",2]]}},
        "services":{{"columns":["name","health-path","max-conns","cold-s","cold-per-s"],"rows":[["s","/health",100,3,20]]}},
        "limits":{{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":15}},
        "tenants":{{"columns":["name","api-keys","rate-per-s","burst"],"rows":[["t",["k"],40,40]]}}}}"#
    )
}

pub fn heartbeat(seq: u32) -> String {
    format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z1","capacity":6,"state":"ready","cold-left-s":0,"call-seq":{seq}}}"#
    )
}

/// Controller processes by number, each with its own loopback address.
pub struct Cluster {
    /// Folder of the settings and the data of all controllers.
    pub folder: TempDir,
    net: String,
    /// Processes by the number of the controller.
    pub controllers: HashMap<usize, Child>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.controllers.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Cluster {
    /// Creates a cluster without processes. `test` must differ between tests, as they run concurrently.
    pub fn new(test: u32) -> Cluster {
        let net = format!("127.{}.{}", 160 + test, std::process::id() % 250);
        Cluster { folder: tempfile::tempdir().expect("a folder"), net, controllers: HashMap::new() }
    }

    pub fn control_address(&self, n: usize) -> SocketAddr {
        format!("{}.{n}:8383", self.net).parse().expect("an address")
    }

    pub fn directory(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.control_address(n).ip(), 8385)
    }

    /// Replaces the settings file of a controller atomically, and returns its path.
    pub fn write_settings(&self, n: usize, seeds: &[usize], bootstrap: bool) -> std::path::PathBuf {
        let own = self.control_address(n);
        let seeds: String = seeds.iter().map(|s| format!("  - \"{}\"\n", self.control_address(*s))).collect();
        let data = self.data_folder(n);
        let text = format!(
            "node-name: \"controller{n}\"\nip: \"{}\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\nbind:\n  \
             control: \"{own}\"\n  directory: \"{}\"\nport-range:\n  - 7460\n  - 7475\nseeds:\n{seeds}\
             bootstrap: {bootstrap}\nlimits:\n  memory-mb: {MEMORY_MB}\n  max-fds: {MAX_FDS}\nfault-budget:\n  machines: 1\n\
             data-dir: \"{}\"\nbeat-period-s: 0.3\n",
            own.ip(),
            self.directory(n),
            data.display()
        );
        let (new, file) =
            (self.folder.path().join("new"), self.folder.path().join(format!("controller{n}.yaml")));
        std::fs::write(&new, text).expect("written");
        std::fs::rename(&new, &file).expect("renamed");
        file
    }

    pub fn start(&mut self, n: usize, seeds: &[usize], bootstrap: bool) {
        let file = self.write_settings(n, seeds, bootstrap);
        let child = Command::new(env!("CARGO_BIN_EXE_lynxstair-controller"))
            .env("LYNXSTAIR_BOOT", &file)
            .stderr(self.log(n))
            .spawn()
            .expect("started");
        self.controllers.insert(n, child);
    }

    /// Returns the log output of a controller. The first one logs to a full disk, which must not stop it.
    pub fn log(&self, n: usize) -> Stdio {
        match std::fs::File::options().write(true).open("/dev/full") {
            Ok(full) if n == 1 => full.into(),
            _ => Stdio::null(),
        }
    }

    pub fn signal(&self, n: usize, signal: Signal) {
        kill(Pid::from_raw(self.controllers[&n].id() as i32), signal).expect("signalled");
    }

    /// Stops a controller by SIGSTOP. Returns when all its threads have stopped, as the signal alone lets them run
    /// on for a while.
    pub fn pause(&self, n: usize) {
        self.signal(n, Signal::SIGSTOP);
        let threads = format!("/proc/{}/task", self.controllers[&n].id());
        wait_until("stopped threads", || {
            let mut threads = std::fs::read_dir(&threads).expect("a process").flatten();
            let has_stopped = |state: String| state.contains("State:\tT");
            threads
                .all(|t| std::fs::read_to_string(t.path().join("status")).is_ok_and(has_stopped))
                .then_some(())
        });
    }

    /// Returns the status of a controller, or `None` if it does not respond.
    pub fn status(&self, n: usize) -> Option<Object> {
        let message = call(self.control_address(n), "GET /status", "")?;
        match json::parse(&message.body) {
            Ok(Value::Object(all)) => Some(all),
            _ => None,
        }
    }

    /// Returns a field of the status as JSON text; empty if it is not available.
    pub fn status_field(&self, n: usize, key: &str) -> String {
        let value = self.status(n).and_then(|all| json::get(&all, key).cloned());
        value.and_then(|v| v.stringify().ok()).unwrap_or_default()
    }

    pub fn leader(&self) -> Option<usize> {
        self.controllers.keys().copied().find(|n| self.status_field(*n, "role") == "\"leader\"")
    }

    /// Sends an operator request to the controllers until one of them responds with a status other than 307
    /// and 503.
    pub fn operator_request(&self, head: &str, body: &str) -> u16 {
        wait_until(head, || {
            self.controllers.keys().find_map(|n| {
                let status = call(self.control_address(*n), head, body)?.status();
                (status != 307 && status != 503).then_some(status)
            })
        })
    }

    pub fn data_folder(&self, n: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("controller{n}"))
    }

    pub fn kill(&mut self, n: usize) {
        let mut child = self.controllers.remove(&n).expect("runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    /// Returns `true` if the database of a controller or its log contains the id of an instance.
    pub fn has_stored(&self, n: usize, id: &str) -> bool {
        ["book.sqlite", "book.sqlite-wal"].iter().any(|name| {
            let bytes = std::fs::read(self.data_folder(n).join(name)).unwrap_or_default();
            bytes.windows(id.len()).any(|part| part == id.as_bytes())
        })
    }

    pub fn subscribe(&self, n: usize, wants_instances: bool) -> InternalConnection {
        self.subscribe_as("e1", n, wants_instances)
    }

    /// Subscribes to a controller as a proxy on this machine.
    pub fn subscribe_as(&self, node: &str, n: usize, wants_instances: bool) -> InternalConnection {
        let mut connection = InternalConnection::open(self.control_address(n));
        connection.send(&ToController::Subscribe { proxy: proxy(node), wants_instances });
        connection
    }

    /// Returns the state of an instance at a controller, or `None` if it is unknown there.
    pub fn instance_state(&self, n: usize, id: &str) -> Option<InstanceState> {
        let mut connection = self.subscribe_as("reader", n, true);
        loop {
            if let ToProxy::Instances { instances, .. } = connection.receive() {
                return instances.iter().find(|instance| instance.id == id).map(|instance| instance.state);
            }
        }
    }

    /// Waits until a controller runs and knows that an instance has departed.
    pub fn wait_until_departed(&self, n: usize, id: &str) {
        wait_until("the departed instance", || {
            let state = self.status(n).and_then(|_| self.instance_state(n, id))?;
            state.has_departed().then_some(())
        });
    }

    /// Starts three controllers that have stored this instance as ready.
    pub fn start_with_ready_instance(&mut self, id: &str) {
        (1..=3).for_each(|n| self.start(n, &[1, 2, 3], true));
        let head = format!("PUT /instances/{id}");
        assert_eq!(self.operator_request(&head, &heartbeat(1)), 200);
        wait_until("the stored instance", || (1..=3).all(|n| self.has_stored(n, id)).then_some(()));
    }

    /// Kills all controllers, then starts them again. `emptied` loses its disk.
    pub fn restart_all(&mut self, emptied: Option<usize>) {
        (1..=3).for_each(|n| self.kill(n));
        if let Some(n) = emptied {
            std::fs::remove_dir_all(self.data_folder(n)).expect("emptied");
        }
        (1..=3).for_each(|n| self.start(n, &[1, 2, 3], false));
    }
}

pub fn proxy(node: &str) -> ProxyInfo {
    ProxyInfo {
        node: node.into(),
        zone: "z1".into(),
        region: "r1".into(),
        client_address: "10.0.0.9:80".parse().expect("one"),
        incarnation: 1,
    }
}

/// Connection to the internal address of a controller, with the unread bytes.
pub struct InternalConnection(TcpStream, Vec<u8>);

impl InternalConnection {
    pub fn open(controller: SocketAddr) -> InternalConnection {
        let stream = TcpStream::connect(SocketAddr::new(controller.ip(), 7460)).expect("connected");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        InternalConnection(stream, Vec::new())
    }

    pub fn send(&mut self, message: &ToController) {
        let mut out = Vec::new();
        frames::encode(message, &mut out);
        self.0.write_all(&out).expect("written");
    }

    pub fn send_heartbeat(&mut self, readiness: Readiness) {
        self.send(&ToController::Heartbeat(ProxyHeartbeat {
            membership_revision: 0,
            clock: 1,
            revision: 0,
            readiness,
            received_shares_number: 0,
            usage: Vec::new(),
            held_shares: None,
            quota: None,
        }));
    }

    pub fn receive(&mut self) -> ToProxy {
        loop {
            if let Some((message, length)) = frames::decode(&self.1).expect("a valid frame") {
                self.1.drain(..length);
                return message;
            }
            let mut chunk = [0; 4096];
            let n = self.0.read(&mut chunk).expect("read");
            assert!(n > 0, "the controller has closed the connection");
            self.1.extend(&chunk[..n]);
        }
    }
}
