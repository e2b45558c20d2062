//! Runs a cluster of controller processes on loopback. The tests act as workers, operator and proxies, and
//! poll for each expected state instead of sleeping.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lynxstair_config::json::{self, Object, Value};
use lynxstair_fakes::{HttpMessage, WAIT_TIMEOUT, wait_until};
use lynxstair_protocol::frames;
use lynxstair_protocol::messages::{
    InstanceState, ProxyHeartbeat, ProxyInfo, Readiness, ToController, ToProxy,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

/// Time-out of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

/// Sends a request on a new connection, without reading the response.
fn send(to: SocketAddr, head: &str, body: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let n = body.len();
    write!(stream, "{head} HTTP/1.1\r\nHost: h\r\nContent-Length: {n}\r\nConnection: close\r\n\r\n{body}")
        .ok()?;
    Some(stream)
}

fn call(to: SocketAddr, head: &str, body: &str) -> Option<HttpMessage> {
    HttpMessage::read(&mut BufReader::new(send(to, head, body)?))
}

fn configuration(generation: u32, base: u32) -> String {
    format!(
        r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",
        "routes":{{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
        "rows":[["r","h.example","/","safe",3,0.8,"s",2]]}},
        "services":{{"columns":["name","health-path","max-conns","cold-s","cold-per-s"],"rows":[["s","/health",100,3,20]]}},
        "limits":{{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":15}},
        "tenants":{{"columns":["name","api-keys","rate-per-s","burst"],"rows":[["t",["k"],40,40]]}}}}"#
    )
}

fn heartbeat(seq: u32) -> String {
    format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z1","capacity":6,"state":"ready","cold-left-s":0,"call-seq":{seq}}}"#
    )
}

/// Controller processes by number, each with its own loopback address.
struct Cluster {
    folder: TempDir,
    net: String,
    controllers: HashMap<usize, Child>,
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
    fn new(test: u32) -> Cluster {
        let net = format!("127.{}.{}", 160 + test, std::process::id() % 250);
        Cluster { folder: tempfile::tempdir().expect("a folder"), net, controllers: HashMap::new() }
    }

    fn control_address(&self, n: usize) -> SocketAddr {
        format!("{}.{n}:8383", self.net).parse().expect("an address")
    }

    fn directory(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.control_address(n).ip(), 8385)
    }

    /// Replaces the settings file of a controller atomically, and returns its path.
    fn write_settings(&self, n: usize, seeds: &[usize], bootstrap: bool) -> std::path::PathBuf {
        let own = self.control_address(n);
        let seeds: String = seeds.iter().map(|s| format!("  - \"{}\"\n", self.control_address(*s))).collect();
        let data = self.folder.path().join(format!("controller{n}"));
        let text = format!(
            "node-name: \"controller{n}\"\nip: \"{}\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\nbind:\n  \
             control: \"{own}\"\n  directory: \"{}\"\nport-range:\n  - 7460\n  - 7475\nseeds:\n{seeds}\
             bootstrap: {bootstrap}\nlimits:\n  memory-mb: 64\n  max-fds: 900\nfault-budget:\n  machines: 1\n\
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

    fn start(&mut self, n: usize, seeds: &[usize], bootstrap: bool) {
        let file = self.write_settings(n, seeds, bootstrap);
        let child = Command::new(env!("CARGO_BIN_EXE_lynxstair-controller"))
            .env("LYNXSTAIR_BOOT", &file)
            .stderr(self.log(n))
            .spawn()
            .expect("started");
        self.controllers.insert(n, child);
    }

    /// Returns the log output of a controller. The first one logs to a full disk, which must not stop it.
    fn log(&self, n: usize) -> Stdio {
        match std::fs::File::options().write(true).open("/dev/full") {
            Ok(full) if n == 1 => full.into(),
            _ => Stdio::null(),
        }
    }

    fn signal(&self, n: usize, signal: Signal) {
        kill(Pid::from_raw(self.controllers[&n].id() as i32), signal).expect("signalled");
    }

    /// Returns the status of a controller, or `None` if it does not respond.
    fn status(&self, n: usize) -> Option<Object> {
        let message = call(self.control_address(n), "GET /status", "")?;
        match json::parse(&message.body) {
            Ok(Value::Object(all)) => Some(all),
            _ => None,
        }
    }

    /// Returns a field of the status as JSON text; empty if it is not available.
    fn status_field(&self, n: usize, key: &str) -> String {
        let value = self.status(n).and_then(|all| json::get(&all, key).cloned());
        value.and_then(|v| v.stringify().ok()).unwrap_or_default()
    }

    fn leader(&self) -> Option<usize> {
        self.controllers.keys().copied().find(|n| self.status_field(*n, "role") == "\"leader\"")
    }

    /// Sends an operator request to the controllers until one of them responds with a status other than 307
    /// and 503.
    fn operator_request(&self, head: &str, body: &str) -> u16 {
        wait_until(head, || {
            self.controllers.keys().find_map(|n| {
                let status = call(self.control_address(*n), head, body)?.status();
                (status != 307 && status != 503).then_some(status)
            })
        })
    }
}

impl Cluster {
    fn data_folder(&self, n: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("controller{n}"))
    }

    fn kill(&mut self, n: usize) {
        let mut child = self.controllers.remove(&n).expect("runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    /// Returns `true` if the database of a controller or its log contains the id of an instance.
    fn has_stored(&self, n: usize, id: &str) -> bool {
        ["book.sqlite", "book.sqlite-wal"].iter().any(|name| {
            let bytes = std::fs::read(self.data_folder(n).join(name)).unwrap_or_default();
            bytes.windows(id.len()).any(|part| part == id.as_bytes())
        })
    }

    fn subscribe(&self, n: usize, wants_instances: bool) -> InternalConnection {
        self.subscribe_as("e1", n, wants_instances)
    }

    /// Subscribes to a controller as a proxy on this machine.
    fn subscribe_as(&self, node: &str, n: usize, wants_instances: bool) -> InternalConnection {
        let mut connection = InternalConnection::open(self.control_address(n));
        connection.send(&ToController::Subscribe { proxy: proxy(node), wants_instances });
        connection
    }

    /// Returns the state of an instance at a controller, or `None` if it is unknown there.
    fn instance_state(&self, n: usize, id: &str) -> Option<InstanceState> {
        let mut connection = self.subscribe_as("reader", n, true);
        loop {
            if let ToProxy::Instances { instances, .. } = connection.receive() {
                return instances.iter().find(|instance| instance.id == id).map(|instance| instance.state);
            }
        }
    }

    /// Starts three controllers that have stored this instance as ready.
    fn start_with_ready_instance(&mut self, id: &str) {
        (1..=3).for_each(|n| self.start(n, &[1, 2, 3], true));
        let head = format!("PUT /instances/{id}");
        assert_eq!(self.operator_request(&head, &heartbeat(1)), 200);
        wait_until("the stored instance", || (1..=3).all(|n| self.has_stored(n, id)).then_some(()));
    }

    /// Kills all controllers, then starts them again. `emptied` loses its disk.
    fn restart_all(&mut self, emptied: Option<usize>) {
        (1..=3).for_each(|n| self.kill(n));
        if let Some(n) = emptied {
            std::fs::remove_dir_all(self.data_folder(n)).expect("emptied");
        }
        (1..=3).for_each(|n| self.start(n, &[1, 2, 3], false));
    }
}

fn proxy(node: &str) -> ProxyInfo {
    ProxyInfo {
        node: node.into(),
        zone: "z1".into(),
        region: "r1".into(),
        client_address: "10.0.0.9:80".parse().expect("one"),
        incarnation: 1,
    }
}

/// Connection to the internal address of a controller, with the unread bytes.
struct InternalConnection(TcpStream, Vec<u8>);

impl InternalConnection {
    fn open(controller: SocketAddr) -> InternalConnection {
        let stream = TcpStream::connect(SocketAddr::new(controller.ip(), 7460)).expect("connected");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        InternalConnection(stream, Vec::new())
    }

    fn send(&mut self, message: &ToController) {
        let mut out = Vec::new();
        frames::encode(message, &mut out);
        self.0.write_all(&out).expect("written");
    }

    fn send_heartbeat(&mut self, readiness: Readiness) {
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

    fn receive(&mut self) -> ToProxy {
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

/// Without quorum contact a controller acknowledges no worker, redirects no request and returns no
/// configuration. The other controllers receive its worker instances when they connect.
#[test]
fn an_isolated_controller_acknowledges_nothing() {
    let mut cluster = Cluster::new(1);
    cluster.start(1, &[1, 2, 3], true);
    wait_until("the first controller", || cluster.status(1));
    let at = cluster.control_address(1);
    assert_eq!(call(at, "PUT /instances/i-1", &heartbeat(1)).expect("answered").status(), 503);
    assert_eq!(call(at, "PUT /instances/i-1", "{}").expect("answered").status(), 400);
    for request in ["GET /config", "POST /evacuation/z1", "DELETE /instances/i-1"] {
        assert_eq!(call(at, request, "").expect("answered").status(), 503, "{request}");
    }
    assert_eq!(call(at, "PUT /instances/i-2", &heartbeat(1)).expect("answered").status(), 503);
    cluster.start(2, &[1, 2, 3], true);
    cluster.start(3, &[1, 2, 3], true);
    wait_until("a leader", || cluster.leader());
    wait_until("the instance at another controller", || {
        (cluster.status_field(2, "workers") == "1").then_some(())
    });
    for n in 1..=3 {
        wait_until("an acknowledged heartbeat", || {
            (call(cluster.control_address(n), "PUT /instances/i-2", &heartbeat(2))?.status() == 200)
                .then_some(())
        });
    }
}

/// A leader that receives SIGTERM exits successfully within the time-out, and the other controllers
/// continue from the acknowledged configuration.
#[test]
fn a_leader_that_shuts_down_transfers_leadership() {
    let mut cluster = Cluster::new(2);
    (1..=3).for_each(|n| cluster.start(n, &[1, 2, 3], true));
    assert_eq!(cluster.operator_request("PUT /config", &configuration(5, 0)), 200);
    let old = wait_until("a leader", || cluster.leader());
    let signalled_at = Instant::now();
    cluster.signal(old, Signal::SIGTERM);
    let mut child = cluster.controllers.remove(&old).expect("runs");
    let ended = child.wait().expect("ended");
    assert!(
        ended.success() && signalled_at.elapsed() < SHUTDOWN_TIMEOUT,
        "{ended} after {:?}",
        signalled_at.elapsed()
    );
    assert_eq!(cluster.operator_request("POST /evacuation/z1", ""), 200);
    assert_eq!(cluster.operator_request("GET /config", ""), 200);
    assert_eq!(
        cluster.operator_request("PUT /config", &configuration(6, 0)),
        412,
        "rejected by the version of the acknowledged configuration"
    );
}

/// A command that arrives during a pause of the controller is not applied if its caller has disconnected by
/// then: the command may have been applied and undone through another controller.
#[test]
fn a_command_whose_caller_has_disconnected_is_not_applied() {
    let mut cluster = Cluster::new(3);
    cluster.start(1, &[1], true);
    assert_eq!(cluster.operator_request("PUT /config", &configuration(5, 0)), 200);
    let revision: u64 = cluster.status_field(1, "number").parse().expect("a number");
    cluster.signal(1, Signal::SIGSTOP);
    for _ in 0..3 {
        drop(send(cluster.control_address(1), "POST /evacuation/z1", "").expect("sent"));
    }
    cluster.signal(1, Signal::SIGCONT);
    assert_eq!(cluster.operator_request("PUT /config", &configuration(6, 5)), 200);
    assert_eq!(cluster.status_field(1, "number"), (revision + 1).to_string());
}

/// A controller without reachable seeds reloads its settings without a signal. It then receives the
/// configuration, and answers look-ups from the reports of the other controllers.
#[test]
fn a_new_controller_finds_controllers_and_proxies() {
    let mut cluster = Cluster::new(4);
    cluster.start(1, &[1], true);
    assert_eq!(cluster.operator_request("PUT /config", &configuration(5, 0)), 200);
    let subscriber = proxy("e1");
    let mut connection = InternalConnection::open(cluster.control_address(1));
    connection.send(&ToController::Subscribe { proxy: subscriber, wants_instances: true });
    let ToProxy::Controllers { controllers, is_complete: complete } = connection.receive() else {
        panic!("the first message does not list the controllers")
    };
    assert_eq!(
        (controllers, complete),
        (vec![cluster.control_address(1)], true),
        "the leader sends the complete list"
    );
    connection.send_heartbeat(Readiness::Ready);
    cluster.start(2, &[7, 8, 9], false);
    wait_until("the new controller", || cluster.status(2));
    let look_up =
        || call(cluster.directory(2), "GET /resolve?name=h&region=r1&zone=z1", "").map(|m| m.status());
    assert_eq!(look_up(), Some(503), "it knows no proxies yet");
    cluster.write_settings(2, &[1], false);
    wait_until("the configuration at the new controller", || {
        (cluster.status_field(2, "in-touch") == "true"
            && cluster.status_field(2, "generation") == "\"00000005\"")
            .then_some(())
    });
    wait_until("an answered look-up", || {
        connection.send_heartbeat(Readiness::Ready);
        (look_up() == Some(200)).then_some(())
    });
    assert_eq!(call(cluster.control_address(2), "GET /config", "").expect("answered").status(), 307);
    wait_until("a list with the new controller", || match connection.receive() {
        ToProxy::Controllers { controllers, is_complete: true } => {
            controllers.contains(&cluster.control_address(2)).then_some(())
        }
        _ => None,
    });
    connection.send_heartbeat(Readiness::ShuttingDown);
    wait_until("the directory without the proxy that shuts down", || (look_up() == Some(503)).then_some(()));
}

/// A configuration above 64 KiB, which is parsed on the blocking pool, is applied and returned like any
/// other. A controller with an unreadable database quarantines it and catches up, even if its settings say
/// `bootstrap`.
#[test]
fn a_large_configuration_is_applied_and_an_unreadable_database_is_quarantined() {
    let mut cluster = Cluster::new(9);
    (1..=3).for_each(|n| cluster.start(n, &[1, 2, 3], true));
    let rows: String =
        (0..1200).map(|n| format!(r#",["r{n}","h{n}.example","/prefix-{n}/","safe",3,0.8,"s",2]"#)).collect();
    let large =
        |generation, base| configuration(generation, base).replace("\"s\",2]", &format!("\"s\",2]{rows}"));
    let body = large(5, 0);
    assert!(body.len() > 64 << 10, "{} bytes", body.len());
    assert_eq!(cluster.operator_request("PUT /config", &body), 200);
    assert_eq!(cluster.operator_request("PUT /config", &body), 200, "a retry is acknowledged");
    assert_eq!(cluster.operator_request("PUT /config", &large(5, 0).replace("h7.", "h8.")), 412);
    assert_eq!(
        cluster.operator_request("PUT /config", &large(6, 5).replace("\"r7\"", "\"r8\"")),
        400,
        "duplicate name"
    );
    assert_eq!(cluster.operator_request("PUT /config", &body[..body.len() - 9]), 400);

    let leader = wait_until("a leader", || cluster.leader());
    let lost = (1..=3).find(|n| *n != leader).expect("one");
    let mut child = cluster.controllers.remove(&lost).expect("runs");
    child.kill().expect("killed");
    child.wait().expect("ended");
    let disk = cluster.folder.path().join(format!("controller{lost}"));
    std::fs::write(disk.join("book.sqlite"), "no database at all".repeat(500)).expect("corrupted");
    std::fs::remove_file(disk.join("book.sqlite-wal"))
        .expect("removed the log, which alone contains the whole state");
    cluster.start(lost, &[1, 2, 3], true);
    wait_until("the restarted controller to catch up", || {
        (cluster.status_field(lost, "generation") == "\"00000005\"").then_some(())
    });
    assert!(disk.join("book.sqlite.unreadable").exists());
    let patch = r#"{"generation":"00000007","base-version":"00000005","remove":{"routes":["r1"]}}"#;
    assert_eq!(cluster.operator_request("PATCH /config", patch), 200);
    wait_until("the patched configuration", || {
        (cluster.status_field(lost, "generation") == "\"00000007\"").then_some(())
    });
    let read = wait_until("the configuration", || {
        let message = call(cluster.control_address(cluster.leader()?), "GET /config", "")?;
        (message.status() == 200).then_some(message.body)
    });
    let text = String::from_utf8(read).expect("text");
    assert!(json::parse(text.as_bytes()).is_ok() && text.len() > 64 << 10, "{} bytes", text.len());
    assert!(text.contains("\"r1199\"") && !text.contains("\"r1\"") && text.contains("00000007"));
}

/// A partitioned connection can stay open at the sender while it delivers nothing. A controller reopens its
/// connection when the peer reports that it receives no heartbeats.
#[test]
fn a_connection_that_delivers_nothing_is_reopened() {
    let mut cluster = Cluster::new(5);
    let other = TcpListener::bind(SocketAddr::new(cluster.control_address(2).ip(), 7460))
        .expect("listens as a controller");
    cluster.start(1, &[1, 2], true);
    let (first, _) = other.accept().expect("its connection");
    first.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
    let mut inbound = InternalConnection::open(cluster.control_address(1));
    let mut ended = first.try_clone().expect("cloned");
    ended.set_nonblocking(true).expect("non-blocking");
    wait_until("the connection to be closed", || {
        inbound.send(&ToController::PeerHeartbeat {
            from: cluster.control_address(2),
            hears_recipient: false,
            known_peers: Vec::new(),
            confirms_departures: false,
        });
        let mut chunk = [0; 4096];
        loop {
            match ended.read(&mut chunk) {
                Ok(0) => return Some(()),
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
                Err(_) => return Some(()),
            }
        }
    });
    let (again, _) = other.accept().expect("another connection");
    wait_until("the status after a heartbeat is received", || {
        inbound.send(&ToController::PeerHeartbeat {
            from: cluster.control_address(2),
            hears_recipient: true,
            known_peers: Vec::new(),
            confirms_departures: false,
        });
        cluster.status(1).map(|_| ())
    });
    again.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
    let mut chunk = [0; 4096];
    assert!(matches!((&again).read(&mut chunk), Ok(n) if n > 0), "it sends on the new connection");
}

/// A new controller whose only seed is a follower finds the other controllers through it, and receives
/// messages of the leader.
#[test]
fn a_new_controller_with_one_seed_finds_the_leader() {
    let mut cluster = Cluster::new(6);
    (1..=3).for_each(|n| cluster.start(n, &[1, 2, 3], true));
    let leader = wait_until("a leader", || cluster.leader());
    let follower = (1..=3).find(|n| *n != leader).expect("a follower");
    cluster.start(4, &[follower], false);
    let known_leader = wait_until("the leader at the new controller", || {
        let leader = cluster.status_field(4, "leader");
        (!leader.is_empty() && leader != "null").then_some(leader)
    });
    assert!(
        (1..=3).any(|n| known_leader.contains(&cluster.control_address(n).to_string())),
        "{known_leader}"
    );
}

/// Guards against a deregistration that is acknowledged and then forgotten when all controllers are killed:
/// proxies would send to the worker again (review, case 2).
#[test]
fn an_acknowledged_deregistration_outlasts_a_kill_of_all_controllers() {
    let mut cluster = Cluster::new(7);
    cluster.start_with_ready_instance("i-leaves");
    assert_eq!(cluster.operator_request("DELETE /instances/i-leaves", ""), 200);
    cluster.restart_all(None);
    for n in 1..=3 {
        wait_until("the departed instance", || {
            let state = cluster.status(n).and_then(|_| cluster.instance_state(n, "i-leaves"))?;
            state.has_departed().then_some(())
        });
    }
}

/// Guards against the same failure where the controller that acknowledged also loses its disk, which the fault
/// budget allows: a departure must be on more disks than may be lost.
#[test]
fn an_acknowledged_drain_outlasts_the_loss_of_the_disk_of_its_controller() {
    let mut cluster = Cluster::new(8);
    cluster.start_with_ready_instance("i-drains");
    let draining = heartbeat(2).replace("ready", "draining");
    let acknowledging = wait_until("an acknowledgement", || {
        (1..=3).find(|n| {
            let address = cluster.control_address(*n);
            call(address, "PUT /instances/i-drains", &draining).is_some_and(|m| m.status() == 200)
        })
    });
    cluster.restart_all(Some(acknowledging));
    for n in 1..=3 {
        wait_until("the departed instance", || {
            let state = cluster.status(n).and_then(|_| cluster.instance_state(n, "i-drains"))?;
            state.has_departed().then_some(())
        });
    }
}

/// A departure that no other controller stores is not acknowledged.
#[test]
fn a_departure_that_is_not_durable_is_not_acknowledged() {
    let mut cluster = Cluster::new(10);
    cluster.start_with_ready_instance("i-stays");
    let leader = wait_until("a leader", || cluster.leader());
    let followers: Vec<usize> = (1..=3).filter(|n| *n != leader).collect();
    followers.iter().for_each(|n| cluster.signal(*n, Signal::SIGSTOP));
    let message = call(cluster.control_address(leader), "DELETE /instances/i-stays", "").expect("answered");
    assert_eq!(message.status(), 503);
    followers.iter().for_each(|n| cluster.signal(*n, Signal::SIGCONT));
    assert_eq!(cluster.operator_request("DELETE /instances/i-stays", ""), 200);
}

/// Guards against a departure that a proxy never learns of, because its connection to the acknowledging
/// controller was cut before that controller was lost: the next leader announces all departures.
#[test]
fn a_new_leader_announces_departures() {
    let mut cluster = Cluster::new(11);
    cluster.start_with_ready_instance("i-leaves");
    let leader = wait_until("a leader", || cluster.leader());
    let followers: Vec<usize> = (1..=3).filter(|n| *n != leader).collect();
    // The proxy is connected to the followers only.
    let mut connections: Vec<InternalConnection> =
        followers.iter().map(|n| cluster.subscribe(*n, true)).collect();
    assert_eq!(cluster.instance_state(followers[0], "i-leaves"), Some(InstanceState::Ready));
    wait_until("an acknowledgement", || {
        let message = call(cluster.control_address(leader), "DELETE /instances/i-leaves", "")?;
        (message.status() == 200).then_some(())
    });
    cluster.kill(leader);
    let new_leader = wait_until("another leader", || cluster.leader());
    let position = followers.iter().position(|n| *n == new_leader).expect("a follower leads");
    wait_until("the announced departure", || match connections[position].receive() {
        ToProxy::Instances { instances, .. } => {
            instances.iter().any(|i| i.id == "i-leaves" && i.state.has_departed()).then_some(())
        }
        _ => None,
    });
}

/// Guards against a proxy that took its snapshot from a controller that did not know of a departure yet: each
/// further subscription tells it the departures.
#[test]
fn a_subscription_without_a_snapshot_receives_the_departures() {
    let mut cluster = Cluster::new(12);
    cluster.start_with_ready_instance("i-leaves");
    assert_eq!(cluster.operator_request("DELETE /instances/i-leaves", ""), 200);
    wait_until("the departure at the first controller", || {
        cluster.instance_state(1, "i-leaves").filter(|state| state.has_departed())
    });
    let mut connection = cluster.subscribe(1, false);
    connection.send_heartbeat(Readiness::Ready);
    let first = loop {
        match connection.receive() {
            ToProxy::Instances { instances, is_snapshot } => break Some((instances, is_snapshot)),
            ToProxy::HeartbeatAck { .. } => break None,
            _ => {}
        }
    };
    let (instances, is_snapshot) = first.expect("departures before the first acknowledgement");
    assert!(!is_snapshot);
    assert!(instances.iter().any(|i| i.id == "i-leaves" && i.state.has_departed()), "{instances:?}");
}
