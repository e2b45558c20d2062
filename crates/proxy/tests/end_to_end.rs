//! End-to-end test on loopback with three controllers and three proxies as processes; the test acts as
//! workers, clients and operator. It polls for each expected state instead of waiting for a fixed time.

#![allow(clippy::too_many_lines, reason = "one sequence of dependent steps")]

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lynxstair_fakes::{HttpMessage, WAIT_TIMEOUT, wait_until};

mod support;

use support::{System, call};

/// Returns the body of a message as text.
fn text(message: &HttpMessage) -> &str {
    std::str::from_utf8(&message.body).expect("text")
}

/// Returns the worker behaviour that the request line selects.
fn behavior(path: &str) -> &'static str {
    ["cut", "late", "500", "full"].into_iter().find(|d| path.contains(d)).unwrap_or("serve")
}

/// Starts a worker that serves requests, sends heartbeats to the controllers in turn, and records the attempt
/// id and tenant of each request that it runs in `ran`. The heartbeats stop when the result is dropped.
fn worker(
    id: &str,
    at: SocketAddr,
    controllers: Vec<SocketAddr>,
    ran: Arc<Mutex<Vec<(String, String)>>>,
) -> Sender<()> {
    let listener = TcpListener::bind(at).expect("bound");
    let own = id.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (own, ran) = (own.clone(), ran.clone());
            thread::spawn(move || {
                let mut out = stream.try_clone().expect("cloned");
                let mut reader = BufReader::new(stream);
                while let Some(m) = HttpMessage::read(&mut reader) {
                    let attempt = m.header("attempt-id").to_string();
                    if m.header("target-instance") != own {
                        let _ = write!(
                            out,
                            "HTTP/1.1 421 No\r\nAttempt-Id: {attempt}\r\nInstance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
                        );
                        continue;
                    }
                    let behavior = behavior(&m.start_line);
                    if behavior == "full" {
                        let _ = write!(
                            out,
                            "HTTP/1.1 503 No\r\nAttempt-Id: {attempt}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                        );
                        continue;
                    }
                    ran.lock().expect("ran").push((attempt.clone(), m.header("tenant").to_string()));
                    let head = format!("Attempt-Id: {attempt}\r\nServer-Seal: {own}");
                    let _ = match behavior {
                        // No length, and a reset instead of an orderly end.
                        "cut" => {
                            let written = write!(out, "HTTP/1.1 200 OK\r\n{head}\r\n\r\nhalf");
                            let _ = socket2::SockRef::from(&out).set_linger(Some(Duration::ZERO));
                            drop((out, reader));
                            let _ = written;
                            return;
                        }
                        // A surplus reply with an unknown attempt id first.
                        "late" => write!(
                            out,
                            "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: x\r\nContent-Length: 3\r\n\r\nbad\
                             HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: 4\r\n\r\ngood"
                        ),
                        "500" => write!(out, "HTTP/1.1 500 No\r\n{head}\r\nContent-Length: 0\r\n\r\n"),
                        _ => write!(
                            out,
                            "HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: 4\r\n\r\n{}",
                            &m.start_line[..4]
                        ),
                    };
                }
            });
        }
    });
    let (heartbeat_guard, dropped) = channel();
    let id = id.to_string();
    thread::spawn(move || {
        for seq in 1.. {
            let body = format!(
                r#"{{"service":"s","address":"{at}","zone":"z1","capacity":6,"state":"ready","cold-left-s":0,"call-seq":{seq}}}"#
            );
            let accepts = |controller: &&SocketAddr| {
                call(**controller, &format!("PUT /instances/{id} HTTP/1.1"), &body)
                    .is_some_and(|m| m.status() == 200)
            };
            controllers.iter().cycle().skip(seq % 3).take(3).find(accepts);
            if !matches!(
                dropped.recv_timeout(Duration::from_millis(300)),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout)
            ) {
                return;
            }
        }
    });
    heartbeat_guard
}

/// Calls of clients and operators.
trait Calls {
    /// Sends a client request to a proxy.
    fn ask(&self, proxy: usize, method: &str, path: &str, id: &str, key: &str) -> Option<HttpMessage>;
    /// Waits for a leader and returns its index.
    fn leader(&self) -> usize;
}

impl Calls for System {
    fn ask(&self, proxy: usize, method: &str, path: &str, id: &str, key: &str) -> Option<HttpMessage> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 2000\r\nAuthorization: Bearer {key}"
        );
        call(self.proxy_addresses[proxy], &head, "")
    }

    fn leader(&self) -> usize {
        wait_until("a leader", || {
            let status = |controller: &SocketAddr| {
                call(*controller, "GET /status HTTP/1.1", "").map(|m| text(&m).to_string())
            };
            let is_leader = |n: usize| {
                status(&self.controllers[n])?
                    .contains(&format!("\"leader\":\"{}\"", self.controllers[n]))
                    .then_some(n)
            };
            (0..3).find_map(is_leader)
        })
    }
}

fn configuration(generation: u32, base: u32, keys: &str, rate: u32) -> String {
    format!(
        r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",
        "routes":{{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
        "rows":[["safe","h.example","/safe/","safe",2,1,"s",3],["unsafe","h.example","/unsafe/","unsafe",2,1,"s",3]]}},
        "limits":{{"idle-timeout-s":2}},
        "services":{{"columns":["name","max-conns"],"rows":[["s",100]]}},
        "tenants":{{"columns":["name","api-keys","rate-per-s","burst"],"rows":[["t1",{keys},0,0],
        ["small",["ks"],{rate},3]]}}}}"#
    )
}

#[test]
fn a_system_serves_from_bootstrap_to_graceful_shutdown() {
    let mut system = System::start(60, 3, 2);
    let ran = Arc::new(Mutex::new(Vec::new()));
    let start =
        |n| worker(&format!("i-{n}"), system.worker_address(n), system.controllers.clone(), ran.clone());
    let heartbeats: Vec<_> = (1..=3).map(start).collect();

    // Any controller accepts a configuration. An invalid one is rejected with the place of the error, one
    // with an outdated base version with 412, and a repeated one is accepted again.
    let first = configuration(5, 0, r#"["k1","k2"]"#, 1);
    assert_eq!(system.operator_call("PUT /config HTTP/1.1", &first).status(), 200);
    let bad = system.operator_call("PUT /config HTTP/1.1", &configuration(7, 5, r#"["ks"]"#, 1));
    assert!(bad.status() == 400 && text(&bad).contains("tenants.small"), "{}", text(&bad));
    let second = configuration(8, 5, r#"["k1"]"#, 1);
    assert_eq!(system.operator_call("PUT /config HTTP/1.1", &second).status(), 200);
    assert_eq!(
        system.operator_call("PUT /config HTTP/1.1", &configuration(9, 5, r#"["k3"]"#, 1)).status(),
        412
    );
    assert_eq!(system.operator_call("PUT /config HTTP/1.1", &second).status(), 200);

    // The directory lists all proxies, and each serves clients. Workers receive the tenant of a request.
    let directory: SocketAddr = format!("{}:8385", system.controllers[1].ip()).parse().expect("an address");
    wait_until("the directory names all three", || {
        let m = call(directory, "GET /resolve?name=h.example&region=r1&zone=z1 HTTP/1.1", "")?;
        (m.status() == 200 && system.proxy_addresses.iter().all(|f| text(&m).contains(&f.to_string())))
            .then_some(())
    });
    for proxy in 0..3 {
        wait_until("served", || {
            let m = system.ask(proxy, "GET", "/safe/x", &format!("a{proxy}"), "k1")?;
            (m.status() == 200 && text(&m) == "GET " && !m.header("server-seal").is_empty()).then_some(())
        });
        let seen = ran.lock().expect("ran").iter().any(|(a, t)| *a == format!("a{proxy}") && t == "t1");
        assert!(seen, "the worker received the tenant");
        let status = |path, key| system.ask(proxy, "GET", path, "b", key).map(|m| m.status());
        assert_eq!((status("/safe/x", "k2"), status("/none/", "k1")), (Some(401), Some(404)));
    }

    // Replies that break off, are surplus, fail, or report that the request was not run.
    let times = |id: &str| ran.lock().expect("ran").iter().filter(|(a, _)| a == id).count();
    let cut = system.ask(0, "POST", "/unsafe/cut", "u1", "k1").expect("an answer");
    assert_eq!((cut.status(), times("u1")), (502, 1), "it may have run, so it is not retried");
    // The retry budget of a new proxy is empty; requests fill it.
    for _ in 0..12 {
        assert_eq!(system.ask(0, "GET", "/safe/x", "b", "k1").map(|m| m.status()), Some(200));
    }
    let cut = system.ask(0, "GET", "/safe/cut", "s1", "k1").expect("an answer");
    assert!(cut.status() == 502 && times("s1") > 1, "{}: retried, never seen as complete", cut.status());
    let late = system.ask(1, "GET", "/safe/late", "s2", "k1").expect("an answer");
    assert_eq!((late.status(), text(&late)), (200, "good"));
    let failed = system.ask(1, "POST", "/unsafe/500", "u2", "k1").expect("an answer");
    assert_eq!((failed.status(), times("u2")), (500, 1), "the worker's own reply is relayed");
    let full = system.ask(2, "POST", "/unsafe/full", "u3", "k1").expect("an answer");
    assert!(full.status() == 503 && times("u3") == 0 && !full.header("retry-after").is_empty());

    // The idle time-out is advertised, and after it the connection is closed without a response.
    let stream = TcpStream::connect(system.proxy_addresses[0]).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    let request = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: k\r\nTime-Left-Ms: 2000\r\n";
    write!(&stream, "{request}Authorization: Bearer k1\r\n\r\n").expect("written");
    let mut reader = BufReader::new(&stream);
    let served = HttpMessage::read(&mut reader).expect("an answer");
    assert_eq!((served.status(), served.header("keep-alive")), (200, "timeout=1"));
    let mut rest = Vec::new();
    assert!(
        std::io::Read::read_to_end(&mut reader, &mut rest).is_ok() && rest.is_empty(),
        "closed without a response"
    );

    // A tenant over its quota is rejected with `Retry-After`.
    let rejected =
        wait_until("refused", || system.ask(0, "GET", "/safe/x", "q", "ks").filter(|m| m.status() == 429));
    assert!(rejected.header("retry-after").parse::<f64>().is_ok_and(|s| s > 0.0));

    // The leader is killed right after it acknowledged a change; the change stays in force.
    let third = configuration(12, 8, r#"["k4"]"#, 1);
    assert_eq!(system.operator_call("PUT /config HTTP/1.1", &third).status(), 200);
    let leader = system.leader();
    system.kill(&format!("controller{}", leader + 1));
    let read = system.operator_call("GET /config HTTP/1.1", "");
    assert!(read.status() == 200 && text(&read).contains("0000000c"), "{}", text(&read));
    wait_until("the removed key is rejected", || {
        system.ask(1, "GET", "/safe/x", "c", "k1").filter(|m| m.status() == 401)
    });
    wait_until("the new key works", || {
        system.ask(1, "GET", "/safe/x", "d", "k4").filter(|m| m.status() == 200)
    });

    // The killed controller restarts with an empty disk and catches up; then a further change is accepted.
    std::fs::remove_dir_all(system.folder.path().join(format!("controller{}", leader + 1))).expect("removed");
    system.start_program(&format!("controller{}", leader + 1), false);
    wait_until("the emptied controller follows", || {
        let m = call(system.controllers[leader], "GET /status HTTP/1.1", "")?;
        text(&m).contains("\"generation\":\"0000000c\"").then_some(())
    });
    let fourth = configuration(13, 12, r#"["k5"]"#, 1);
    assert_eq!(system.operator_call("PUT /config HTTP/1.1", &fourth).status(), 200);

    // A terminated proxy leaves the directory and exits successfully.
    system.terminate("proxy3");
    wait_until("it leaves the directory", || {
        let m = call(directory, "GET /resolve?name=h.example&region=r1&zone=z1 HTTP/1.1", "");
        m.filter(|m| m.status() == 200 && !text(m).contains(&system.proxy_addresses[2].to_string()))
    });
    let ended = system.children.remove("proxy3").expect("runs").wait().expect("ended");
    assert!(ended.success(), "{ended}");
    drop(heartbeats);
}

/// An invalid command line or settings file is reported, the latter with the key, with exit code 2.
#[test]
fn bad_command_lines_and_settings_are_reported() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    let run = |args: &[&str]| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lynxstair-proxy"));
        let out = child.args(args).env_remove("LYNXSTAIR_BOOT").output().expect("ran");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    std::fs::write(file.path(), "node-name: \"x\"\nip: \"nowhere\"\n").expect("written");
    let path = file.path().display().to_string();
    let cases: [(&[&str], &str); 4] = [
        (&["check", &path], "ip: expected an IP address"),
        (&["check"], "check: expected a settings file"),
        (&["dance"], "dance: unknown command"),
        (&[], "LYNXSTAIR_BOOT must name the settings file"),
    ];
    for (args, wanted) in cases {
        let (code, said) = run(args);
        assert!(code == Some(2) && said.contains(wanted), "{args:?}: {code:?} {said}");
    }
    assert_eq!(run(&["--version"]).0, Some(0));
}
