//! SIGTERM at every moment of a request, with the programs on loopback: `docs/design/attempts.md` has the rows. Nothing
//! sleeps: that the proxy closes is told by the end of a connection that rests.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lynxstair_fakes::{Message, PATIENCE, until};
use tempfile::TempDir;

struct System {
    _folder: TempDir,
    controllers: Vec<SocketAddr>,
    front: SocketAddr,
    children: Vec<Child>,
}

impl Drop for System {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl System {
    /// Three controllers and one proxy, the last child.
    fn start() -> System {
        let net = format!("127.{}.{}", 160 + std::process::id() % 90, std::process::id() / 90 % 250);
        let at =
            |n: usize, port: u16| -> SocketAddr { format!("{net}.{n}:{port}").parse().expect("an address") };
        let controllers: Vec<SocketAddr> = (1..=3).map(|n| at(n, 8383)).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let mut system = System { _folder: folder, controllers, front: at(11, 8389), children: Vec::new() };
        for (name, own) in [("controller1", 0), ("controller2", 1), ("controller3", 2), ("proxy1", 3)] {
            let own = system.controllers.get(own).copied().unwrap_or(system.front);
            system.start_one(name, own);
        }
        system
    }

    fn start_one(&mut self, name: &str, own: SocketAddr) {
        let (kind, _) = name.split_at(name.len() - 1);
        let ip = own.ip();
        let bind = match kind {
            "controller" => format!("  control: \"{own}\"\n  directory: \"{ip}:8385\"\n"),
            _ => format!("  front: \"{own}\"\n  readiness: \"{ip}:8384\"\n"),
        };
        let seeds: String = self.controllers.iter().map(|h| format!("  - \"{h}\"\n")).collect();
        let folder = self._folder.path();
        let text = format!(
            "node-name: \"{name}\"\nip: \"{ip}\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"\nbind:\n{bind}\
             port-range:\n  - 7460\n  - 7475\nseeds:\n{seeds}bootstrap: true\nlimits:\n  memory-mb: 64\n  \
             max-fds: 900\ndata-dir: \"{}\"\nbeat-period-s: 0.3\nbounds: \"revoke-final=true,grace-s=4\"\n",
            folder.join(name).display()
        );
        let file = folder.join(format!("{name}.yaml"));
        std::fs::write(&file, text).expect("written");
        let program =
            Path::new(env!("CARGO_BIN_EXE_lynxstair-proxy")).with_file_name(format!("lynxstair-{kind}"));
        assert!(program.exists(), "{}: run the tests with --workspace", program.display());
        let child = Command::new(program).env("LYNXSTAIR_BOOT", &file).stderr(Stdio::null()).spawn();
        self.children.push(child.expect("started"));
    }

    /// A client's connection to the proxy.
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.front).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream
    }
}

fn call(to: SocketAddr, head: &str, body: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    write!(
        stream,
        "{head}\r\nHost: h.example\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
    .ok()?;
    Message::read(&mut BufReader::new(stream))
}

fn request(id: &str) -> String {
    format!(
        "POST /{id} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
    )
}

/// What lets each request that is held go on.
type Held = Arc<Mutex<Vec<Sender<()>>>>;

/// A worker: answers at once, but for ids that begin with "held", which it says it has and answers when told.
fn worker(at: SocketAddr, controllers: Vec<SocketAddr>, has: Sender<String>, held: Held) -> Sender<()> {
    let listener = TcpListener::bind(at).expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (has, held) = (has.clone(), held.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
                while let Some(message) = Message::read(&mut reader) {
                    let id = message.header("attempt-id");
                    if id.starts_with("held") {
                        let (go, told) = channel();
                        held.lock().expect("held").push(go);
                        has.send(id.to_string()).expect("heard");
                        let _ = told.recv();
                    }
                    let n = id.len();
                    let _ = write!(
                        stream,
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: {n}\r\n\r\n{id}"
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

const CONFIGURATION: &str = r#"{"generation":"00000005","base-version":"00000000",
    "routes":{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
    "rows":[["all","h.example","/","unsafe",20,1,"s",3]]},"limits":{"idle-timeout-s":30},
    "services":{"columns":["name","max-conns"],"rows":[["s",100]]},
    "tenants":{"columns":["name","api-keys","rate-per-s","burst"],"rows":[]}}"#;

#[test]
fn whatever_was_read_is_answered() {
    let mut system = System::start();
    let (has, heard) = channel();
    let at = SocketAddr::new(
        format!("{}", system.front.ip()).replace(".11", ".21").parse().expect("an address"),
        9000,
    );
    let held = Held::default();
    let stop = worker(at, system.controllers.clone(), has, held.clone());
    until("a configuration", || {
        system
            .controllers
            .iter()
            .find_map(|h| call(*h, "PUT /config HTTP/1.1", CONFIGURATION).filter(|m| m.status() == 200))
    });
    until("served", || {
        call(system.front, "POST /warm HTTP/1.1\r\nAttempt-Id: warm", "").filter(|m| m.status() == 200)
    });
    let send = |stream: &TcpStream, text: &str| {
        (&mut &*stream).write_all(text.as_bytes()).expect("written");
    };

    // Before SIGTERM: one rests, one has a request at work, one has another behind that, one has sent a part.
    let [rests, works, two, part] = [0; 4].map(|_| system.connect());
    send(&rests, &request("rests"));
    assert_eq!(Message::read(&mut BufReader::new(&rests)).expect("an answer").body, b"rests");
    send(&works, &request("held-1"));
    send(&two, &(request("held-2") + &request("behind")));
    let whole = request("part");
    send(&part, &whole[..40]);
    let mut at_work: Vec<String> =
        (0..2).map(|_| heard.recv_timeout(PATIENCE).expect("at the worker")).collect();
    at_work.sort();
    assert_eq!(at_work, ["held-1", "held-2"]);
    let pid = system.children[3].id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().expect("told").success());

    // Clients still come for a while; what rests is ended then, with nothing said.
    let late = until("told to leave", || {
        let ready = SocketAddr::new(system.front.ip(), 8384);
        call(ready, "GET /readiness HTTP/1.1", "").filter(|m| m.status() == 503)?;
        Some(system.connect())
    });
    send(&late, &request("late"));
    assert_eq!(Message::read(&mut BufReader::new(&late)).expect("an answer").body, b"late");
    let mut rest = Vec::new();
    assert!((&rests).read_to_end(&mut rest).is_ok() && rest.is_empty(), "closed, nothing said");

    // Closing: what was read goes on, in order, and each connection ends behind its last answer.
    send(&part, &whole[40..]);
    held.lock().expect("held").drain(..).for_each(|go| go.send(()).expect("told"));
    for (stream, wanted) in [(&works, &["held-1"][..]), (&two, &["held-2", "behind"]), (&part, &["part"])] {
        let mut reader = BufReader::new(stream);
        for (n, id) in wanted.iter().enumerate() {
            let answer = Message::read(&mut reader).unwrap_or_else(|| panic!("no answer to {id}"));
            assert_eq!((answer.status(), &answer.body[..]), (200, id.as_bytes()));
            let is_last = n + 1 == wanted.len();
            assert_eq!(answer.header("connection") == "close", is_last, "{id}");
        }
        // What is sent behind the last answer is not read, and not answered.
        let _ = (&mut &*stream).write_all(request("after").as_bytes());
        let mut rest = Vec::new();
        let _ = reader.read_to_end(&mut rest);
        assert!(rest.is_empty(), "{wanted:?}");
    }
    let status = system.children[3].wait().expect("ended");
    assert!(status.success(), "{status}");
    drop(stop);
}
