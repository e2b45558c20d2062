//! A core of controllers as programs on loopback, workers, an operator and proxies played here. Nothing waits for a time:
//! what is to come is asked for until it is there.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lynxstair_config::json::{self, Object, Value};
use lynxstair_fakes::{HttpMessage, WAIT_TIMEOUT, wait_until};
use lynxstair_protocol::frames;
use lynxstair_protocol::messages::{ProxyHeartbeat, ProxyInfo, Readiness, ToController, ToProxy};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

/// A process told to end has this long, by the operators' usual grace.
const GRACE: Duration = Duration::from_secs(6);

/// One call on a connection of its own, not read yet.
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

/// Controllers by their number, each at an address of its own.
struct Core {
    folder: TempDir,
    net: String,
    controllers: HashMap<usize, Child>,
}

impl Drop for Core {
    fn drop(&mut self) {
        for child in self.controllers.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Core {
    /// `test`: another number for each, as tests of one process run at once.
    fn new(test: u32) -> Core {
        let net = format!("127.{}.{}", 160 + test, std::process::id() % 250);
        Core { folder: tempfile::tempdir().expect("a folder"), net, controllers: HashMap::new() }
    }

    fn at(&self, n: usize) -> SocketAddr {
        format!("{}.{n}:8383", self.net).parse().expect("an address")
    }

    fn directory(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.at(n).ip(), 8385)
    }

    /// Puts a controller's settings in place, whole.
    fn settle(&self, n: usize, seeds: &[usize], bootstrap: bool) -> std::path::PathBuf {
        let own = self.at(n);
        let seeds: String = seeds.iter().map(|s| format!("  - \"{}\"\n", self.at(*s))).collect();
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
        let file = self.settle(n, seeds, bootstrap);
        let child = Command::new(env!("CARGO_BIN_EXE_lynxstair-controller"))
            .env("LYNXSTAIR_BOOT", &file)
            .stderr(self.log(n))
            .spawn()
            .expect("started");
        self.controllers.insert(n, child);
    }

    /// The first controller's log is on a disk that is full: what can't be logged ends nothing.
    fn log(&self, n: usize) -> Stdio {
        match std::fs::File::options().write(true).open("/dev/full") {
            Ok(full) if n == 1 => full.into(),
            _ => Stdio::null(),
        }
    }

    fn signal(&self, n: usize, signal: Signal) {
        kill(Pid::from_raw(self.controllers[&n].id() as i32), signal).expect("signalled");
    }

    /// What a controller says of itself.
    fn status(&self, n: usize) -> Option<Object> {
        let message = call(self.at(n), "GET /status", "")?;
        match json::parse(&message.body) {
            Ok(Value::Object(all)) => Some(all),
            _ => None,
        }
    }

    fn says(&self, n: usize, key: &str) -> String {
        let value = self.status(n).and_then(|all| json::get(&all, key).cloned());
        value.and_then(|v| v.stringify().ok()).unwrap_or_default()
    }

    fn leader(&self) -> Option<usize> {
        self.controllers.keys().copied().find(|n| self.says(*n, "role") == "\"leader\"")
    }

    /// The operator's order, to any controller, where it is sent on and again until it is clear.
    fn order(&self, head: &str, body: &str) -> u16 {
        wait_until(head, || {
            self.controllers.keys().find_map(|n| {
                let status = call(self.at(*n), head, body)?.status();
                (status != 307 && status != 503).then_some(status)
            })
        })
    }
}

/// A proxy's line to a controller.
struct Line(TcpStream, Vec<u8>);

impl Line {
    fn open(controller: SocketAddr) -> Line {
        let stream = TcpStream::connect(SocketAddr::new(controller.ip(), 7460)).expect("connected");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
        Line(stream, Vec::new())
    }

    fn say(&mut self, word: &ToController) {
        let mut out = Vec::new();
        frames::encode(word, &mut out);
        self.0.write_all(&out).expect("written");
    }

    fn ping(&mut self, readiness: Readiness) {
        self.say(&ToController::Heartbeat(ProxyHeartbeat {
            membership_revision: 0,
            clock: 1,
            revision: 0,
            readiness,
            received_shares_number: 0,
            usage: Vec::new(),
            held_shares: None,
        }));
    }

    fn hear(&mut self) -> ToProxy {
        loop {
            if let Some((word, length)) = frames::decode(&self.1).expect("a word") {
                self.1.drain(..length);
                return word;
            }
            let mut piece = [0; 4096];
            let n = self.0.read(&mut piece).expect("read");
            assert!(n > 0, "the controller has ended the line");
            self.1.extend(&piece[..n]);
        }
    }
}

/// Out of touch with a majority a controller promises workers nothing, sends nobody to a leader and reads nothing out; what it
/// heard meanwhile the others know as soon as they are there.
#[test]
fn an_isolated_controller_acknowledges_nothing() {
    let mut core = Core::new(1);
    core.start(1, &[1, 2, 3], true);
    wait_until("the first controller", || core.status(1));
    let at = core.at(1);
    assert_eq!(call(at, "PUT /instances/i-1", &heartbeat(1)).expect("answered").status(), 503);
    assert_eq!(call(at, "PUT /instances/i-1", "{}").expect("answered").status(), 400);
    for order in ["GET /config", "POST /evacuation/z1", "DELETE /instances/i-1"] {
        assert_eq!(call(at, order, "").expect("answered").status(), 503, "{order}");
    }
    assert_eq!(call(at, "PUT /instances/i-2", &heartbeat(1)).expect("answered").status(), 503);
    core.start(2, &[1, 2, 3], true);
    core.start(3, &[1, 2, 3], true);
    wait_until("a leader", || core.leader());
    wait_until("the instance is known", || (core.says(2, "workers") == "1").then_some(()));
    for n in 1..=3 {
        wait_until("a promise", || {
            (call(core.at(n), "PUT /instances/i-2", &heartbeat(2))?.status() == 200).then_some(())
        });
    }
}

/// A leader that is told to end hands over, is answered for by the others, and ends in order.
#[test]
fn a_leader_that_shuts_down_transfers_leadership() {
    let mut core = Core::new(2);
    (1..=3).for_each(|n| core.start(n, &[1, 2, 3], true));
    assert_eq!(core.order("PUT /config", &configuration(5, 0)), 200);
    let old = wait_until("a leader", || core.leader());
    let told_at = Instant::now();
    core.signal(old, Signal::SIGTERM);
    let mut child = core.controllers.remove(&old).expect("runs");
    let ended = child.wait().expect("ended");
    assert!(ended.success() && told_at.elapsed() < GRACE, "{ended} after {:?}", told_at.elapsed());
    assert_eq!(core.order("POST /evacuation/z1", ""), 200);
    assert_eq!(core.order("GET /config", ""), 200);
    assert_eq!(
        core.order("PUT /config", &configuration(6, 0)),
        412,
        "by the configuration that was acknowledged"
    );
}

/// An order that lay unread while the controller stood still is not taken once its caller has gone: it may have been taken
/// elsewhere, and taken back.
#[test]
fn a_command_whose_caller_has_hung_up_is_not_applied() {
    let mut core = Core::new(3);
    core.start(1, &[1], true);
    assert_eq!(core.order("PUT /config", &configuration(5, 0)), 200);
    let before: u64 = core.says(1, "number").parse().expect("a number");
    core.signal(1, Signal::SIGSTOP);
    for _ in 0..3 {
        drop(send(core.at(1), "POST /evacuation/z1", "").expect("sent"));
    }
    core.signal(1, Signal::SIGCONT);
    assert_eq!(core.order("PUT /config", &configuration(6, 5)), 200);
    assert_eq!(core.says(1, "number"), (before + 1).to_string());
}

/// A controller whose seeds are all gone reads its settings again without a signal; it is taken in as a learner, knows the configuration,
/// and answers look-ups by what the others know of proxies.
#[test]
fn a_new_controller_finds_controllers_and_proxies() {
    let mut core = Core::new(4);
    core.start(1, &[1], true);
    assert_eq!(core.order("PUT /config", &configuration(5, 0)), 200);
    let edge = ProxyInfo {
        node: "e1".into(),
        zone: "z1".into(),
        region: "r1".into(),
        client_address: "10.0.0.9:80".parse().expect("one"),
        incarnation: 1,
    };
    let mut line = Line::open(core.at(1));
    line.say(&ToController::Subscribe { proxy: edge, wants_instances: true });
    let ToProxy::Controllers { controllers, is_complete: whole } = line.hear() else {
        panic!("the controllers come first")
    };
    assert_eq!((controllers, whole), (vec![core.at(1)], true), "as the leader says");
    line.ping(Readiness::Ready);
    core.start(2, &[7, 8, 9], false);
    wait_until("the newcomer", || core.status(2));
    let look_up = || call(core.directory(2), "GET /resolve?name=h&region=r1&zone=z1", "").map(|m| m.status());
    assert_eq!(look_up(), Some(503), "it knows nobody");
    core.settle(2, &[1], false);
    wait_until("the configuration", || {
        (core.says(2, "in-touch") == "true" && core.says(2, "generation") == "\"00000005\"").then_some(())
    });
    wait_until("an answer", || {
        line.ping(Readiness::Ready);
        (look_up() == Some(200)).then_some(())
    });
    assert_eq!(call(core.at(2), "GET /config", "").expect("answered").status(), 307);
    wait_until("news of the newcomer", || match line.hear() {
        ToProxy::Controllers { controllers, is_complete: true } => {
            controllers.contains(&core.at(2)).then_some(())
        }
        _ => None,
    });
    line.ping(Readiness::ShuttingDown);
    wait_until("who leaves is not named", || (look_up() == Some(503)).then_some(()));
}

/// A configuration that is parsed on the blocking pool (over 64 KiB) is decided as any other, and given back whole; a controller whose disk can't
/// be read any more starts all the same, counts as emptied though its settings say that all begins, and is caught up.
#[test]
fn a_large_configuration_and_an_unreadable_disk() {
    let mut core = Core::new(9);
    (1..=3).for_each(|n| core.start(n, &[1, 2, 3], true));
    let rows: String =
        (0..1200).map(|n| format!(r#",["r{n}","h{n}.example","/prefix-{n}/","safe",3,0.8,"s",2]"#)).collect();
    let large =
        |generation, base| configuration(generation, base).replace("\"s\",2]", &format!("\"s\",2]{rows}"));
    let body = large(5, 0);
    assert!(body.len() > 64 << 10, "{} bytes", body.len());
    assert_eq!(core.order("PUT /config", &body), 200);
    assert_eq!(core.order("PUT /config", &body), 200, "known again");
    assert_eq!(core.order("PUT /config", &large(5, 0).replace("h7.", "h8.")), 412);
    assert_eq!(core.order("PUT /config", &large(6, 5).replace("\"r7\"", "\"r8\"")), 400, "two of one name");
    assert_eq!(core.order("PUT /config", &body[..body.len() - 9]), 400);

    let leader = wait_until("a leader", || core.leader());
    let lost = (1..=3).find(|n| *n != leader).expect("one");
    let mut child = core.controllers.remove(&lost).expect("runs");
    child.kill().expect("killed");
    child.wait().expect("ended");
    let disk = core.folder.path().join(format!("controller{lost}"));
    std::fs::write(disk.join("book.sqlite"), "no database at all".repeat(500)).expect("spoiled");
    std::fs::remove_file(disk.join("book.sqlite-wal")).expect("its log, which holds all by itself");
    core.start(lost, &[1, 2, 3], true);
    wait_until("it is caught up", || (core.says(lost, "generation") == "\"00000005\"").then_some(()));
    assert!(disk.join("book.sqlite.unreadable").exists());
    let patch = r#"{"generation":"00000007","base-version":"00000005","remove":{"routes":["r1"]}}"#;
    assert_eq!(core.order("PATCH /config", patch), 200);
    wait_until("the change", || (core.says(lost, "generation") == "\"00000007\"").then_some(()));
    let read = wait_until("the whole", || {
        let message = call(core.at(core.leader()?), "GET /config", "")?;
        (message.status() == 200).then_some(message.body)
    });
    let text = String::from_utf8(read).expect("text");
    assert!(json::parse(text.as_bytes()).is_ok() && text.len() > 64 << 10, "{} bytes", text.len());
    assert!(text.contains("\"r1199\"") && !text.contains("\"r1\"") && text.contains("00000007"));
}

/// A line that was cut may stand at this end and bring nothing to the other: a controller that is told that it is not heard opens
/// its line anew. Before, such a controller stayed unheard for as long as the line stood, and the next loss left no majority.
#[test]
fn a_connection_that_delivers_nothing_is_reopened() {
    let mut core = Core::new(5);
    let other = TcpListener::bind(SocketAddr::new(core.at(2).ip(), 7460)).expect("a controller, played here");
    core.start(1, &[1, 2], true);
    let (first, _) = other.accept().expect("its line");
    first.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
    let mut says = Line::open(core.at(1));
    let mut ended = first.try_clone().expect("the same");
    ended.set_nonblocking(true).expect("looked at only");
    wait_until("the line that is not heard ends", || {
        says.say(&ToController::PeerHeartbeat {
            from: core.at(2),
            hears_recipient: false,
            known_peers: Vec::new(),
        });
        let mut piece = [0; 4096];
        loop {
            match ended.read(&mut piece) {
                Ok(0) => return Some(()),
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
                Err(_) => return Some(()),
            }
        }
    });
    let (again, _) = other.accept().expect("another line");
    wait_until("it stands as long as it is heard", || {
        says.say(&ToController::PeerHeartbeat {
            from: core.at(2),
            hears_recipient: true,
            known_peers: Vec::new(),
        });
        core.status(1).map(|_| ())
    });
    again.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a limit");
    let mut piece = [0; 4096];
    assert!(matches!((&again).read(&mut piece), Ok(n) if n > 0), "it speaks on the new one");
}

/// A newcomer that was told of one controller only, and not of the one that leads, finds the others by it, and becomes a learner
/// at least: before, the leader never spoke to it.
#[test]
fn a_new_controller_that_knows_one_finds_all() {
    let mut core = Core::new(6);
    (1..=3).for_each(|n| core.start(n, &[1, 2, 3], true));
    let leader = wait_until("a leader", || core.leader());
    let knows = (1..=3).find(|n| *n != leader).expect("one that follows");
    core.start(4, &[knows], false);
    let leads = wait_until("the newcomer hears a leader", || {
        let said = core.says(4, "leader");
        (!said.is_empty() && said != "null").then_some(said)
    });
    assert!((1..=3).any(|n| leads.contains(&core.at(n).to_string())), "{leads}");
}
