//! `lynxstair fleet` against gatekeeper processes, and resources of a gatekeeper without a fleet.

mod support;

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use lynxstair_fakes::{named_gatekeeper_config, unused_address};
use nix::sys::signal::Signal;
use support::{TestFleet, gatekeeper_program, run, wait_until};

/// All agree at first; a killed member is shown as unknown with the time since then; a fleet without
/// reachable members is an error.
#[test]
fn status_of_three_gatekeepers() {
    let mut fleet = TestFleet::start(3);
    wait_until("the members see each other", || fleet.status(0).0 == 0);
    let (code, out) = fleet.status(2);
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("3 of 3 members answered; all joined members agree"), "{out}");
    // The fleet file is accepted in place of the address.
    let (code, out, _) = run(&["fleet", "status", &fleet.fleet_file(1).display().to_string(), "--json"]);
    assert_eq!(code, 0, "{out}");
    let status: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (status["agree"].as_bool(), status["members"].as_array().map(Vec::len)),
        (Some(true), Some(3))
    );

    fleet.kill(2);
    // The duration is unknown until a member has detected the failure, which a slow machine may already have.
    let (code, out) = fleet.status(0);
    let detected = out.contains("failed for");
    assert!(detected || code == 1 && out.contains("unknown, duration unknown (no valid response"), "{out}");
    // The members agree again once both have detected the failure.
    wait_until("both members have detected the failure", || {
        let (code, out) = fleet.status(0);
        code == 0 && out.contains("failed for") && out.contains("2 of 3 members answered")
    });
    let (_, out) = fleet.status(0);
    assert!(out.contains("unknown, for "), "{out}");

    fleet.start_gatekeeper(2);
    wait_until("the member is back", || fleet.status(0).0 == 0 && fleet.status(0).1.contains("3 of 3"));
    (0..3).for_each(|n| fleet.kill(n));
    let (code, out) = fleet.status(0);
    assert_eq!(code, 2, "{out}");
    assert!(out.contains("no member could be reached"), "{out}");
}

/// The files in deploy/fleet are valid and use matching names.
#[test]
fn example_files_are_valid() {
    for n in 1..=3 {
        let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet");
        let fleet = lynxstair_cluster::Config::read(&folder.join(format!("g{n}.toml"))).expect("valid");
        assert_eq!(fleet.name.as_str(), format!("g{n}"));
        let config = fs::read_to_string(folder.join(format!("g{n}.json"))).expect("readable");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        assert_eq!(config["name"], fleet.name.as_str());
    }
}

/// An isolated member reports the others as unknown and itself as degraded.
#[test]
fn disagreement_is_shown() {
    let fleet = TestFleet::start(3);
    wait_until("the members see each other", || fleet.status(0).0 == 0);
    fleet.signal(1, Signal::SIGSTOP);
    fleet.signal(2, Signal::SIGSTOP);
    wait_until("the member reports the others as unknown", || fleet.status(0).1.contains("unknown for"));
    let (code, out) = fleet.status(0);
    assert_eq!(code, 1, "{out}");
    assert!(out.contains("degraded for"), "{out}");
    fleet.signal(1, Signal::SIGCONT);
    fleet.signal(2, Signal::SIGCONT);
    wait_until("the members agree again", || fleet.status(0).0 == 0);
}

#[test]
fn leave_and_shut_out() {
    let fleet = TestFleet::start(3);
    wait_until("the members see each other", || fleet.status(0).0 == 0);
    let addr = fleet.member_addr(0).to_string();
    let (code, _, err) = run(&["fleet", "shut-out", &addr, "g3", "--why", "an old program"]);
    assert_eq!(code, 0, "{err}");
    wait_until("the member is shut out", || fleet.status(0).1.contains("shutout: an old program"));
    let (code, _, err) = run(&["fleet", "let-in", &addr, "g3"]);
    assert_eq!(code, 0, "{err}");
    wait_until("the member has joined again", || {
        fleet.status(0).0 == 0 && fleet.status(2).1.contains("3 of 3")
    });

    let (code, _, err) = run(&["fleet", "leave", &fleet.fleet_file(1).display().to_string()]);
    assert_eq!(code, 0, "{err}");
    wait_until("the member has left", || fleet.status(0).1.contains("left for"));
    assert!(!fleet.status(0).1.contains("failed"));
    let (code, _, err) = run(&["fleet", "shut-out", &addr, "g1", "--why", "x"]);
    assert_eq!(code, 2);
    assert!(err.contains("can't shut out itself"), "{err}");
    let (code, out, _) = run(&["fleet", "watch", &addr, "--for", "0.1", "--json"]);
    assert_eq!(code, 0);
    assert!(out.contains(r#"{"by":"g1","is":"left","member":"g2","was":null}"#), "{out}");
}

/// Errors in a fleet file name the file, line and key; invalid requests at the control port are rejected, and
/// invalid datagrams get no answer.
#[test]
fn invalid_input_is_rejected() {
    let fleet = TestFleet::start(1);
    let file = fleet.folder.path().join("bad.toml");
    let good = fs::read_to_string(fleet.fleet_file(0)).expect("there");
    fs::write(&file, good.replace("bind = \"127", "bind = \"x127")).expect("written");
    let (code, _, err) = run(&["fleet", "status", &file.display().to_string()]);
    assert_eq!(code, 2);
    assert!(err.contains("bad.toml:4: bind: "), "{err}");
    let started = Command::new(gatekeeper_program())
        .arg("--fleet")
        .arg(&file)
        .env("RELAY_CONFIG", fleet.folder.path().join("g1.json"))
        .output()
        .expect("runs");
    assert!(!started.status.success());
    assert!(String::from_utf8_lossy(&started.stderr).contains("bad.toml:4: bind: "));

    let answer_to = |request: &[u8]| {
        let mut stream = TcpStream::connect(fleet.member_addr(0)).expect("connected");
        stream.set_read_timeout(Some(Duration::from_secs(6))).expect("set");
        let _ = stream.write_all(request);
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
    };
    assert!(answer_to(b"{\"ask\":\"everything\"}\n").contains("not understood"));
    assert!(answer_to(b"GET / HTTP/1.1\r\n\r\n").contains("not understood"));
    assert_eq!(answer_to(&[b'x'; 10_000]), "", "too long");
    assert_eq!(answer_to(b"half a line"), "", "closed after a time-out");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for n in 0..2_000usize {
        let datagram: Vec<u8> = (0..n % 1_500).map(|i| (i * 31 + n * 7) as u8).collect();
        socket.send_to(&datagram, fleet.member_addr(0)).expect("sent");
    }
    let (code, out) = fleet.status(0);
    assert_eq!(code, 0, "the gatekeeper stopped serving: {out}");
    socket.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    assert!(socket.recv_from(&mut [0; 2_000]).is_err(), "an invalid datagram was answered");
}

/// A data directory that another process has open or that belongs to another member is rejected.
#[test]
fn foreign_data_directories_are_rejected() {
    let fleet = TestFleet::start(2);
    let start_error = |settings: String| {
        let file = fleet.folder.path().join("again.toml");
        fs::write(&file, settings).expect("written");
        let config =
            named_gatekeeper_config("g9", unused_address(), "{}", unused_address(), unused_address());
        let config_file = fleet.folder.path().join("again.json");
        fs::write(&config_file, config).expect("written");
        let mut command = Command::new(gatekeeper_program());
        command.arg("--fleet").arg(file).env("RELAY_CONFIG", config_file);
        let out = command.output().expect("runs");
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let good = fs::read_to_string(fleet.fleet_file(0)).expect("there");
    let other_address = good.replace(&fleet.member_addr(0).to_string(), &unused_address().to_string());
    let error = start_error(other_address.clone());
    assert!(error.contains("another process has this folder open"), "{error}");
    fs::create_dir(fleet.folder.path().join("copy")).expect("made");
    fs::copy(fleet.folder.path().join("g1/ledger"), fleet.folder.path().join("copy/ledger")).expect("copied");
    let error = start_error(
        other_address.replace("\"g1\"\nhall", "\"g7\"\nhall").replace("data = \"g1\"", "data = \"copy\""),
    );
    assert!(error.contains("the records are those of hand/g1, not of hand/g7"), "{error}");
}

/// Returns the kinds of open descriptors and the names of threads of a process.
fn descriptors_and_threads(pid: i32) -> (Vec<String>, Vec<String>) {
    let kind = |link: String| link.split(':').next().unwrap_or_default().to_string();
    let links = fs::read_dir(format!("/proc/{pid}/fd")).expect("readable");
    let mut open: Vec<_> = links
        .flatten()
        .filter_map(|f| fs::read_link(f.path()).ok())
        .map(|l| kind(l.display().to_string()))
        .filter(|k| k != "pipe" && !k.starts_with("/dev"))
        .collect();
    open.sort();
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("readable");
    let mut threads: Vec<_> = tasks
        .flatten()
        .filter_map(|t| fs::read_to_string(t.path().join("comm")).ok())
        .map(|n| n.trim().to_string())
        .collect();
    threads.sort();
    (open, threads)
}

/// Without `--fleet` a gatekeeper has no sockets, threads or files of a fleet.
#[test]
fn no_fleet_resources_without_fleet_option() {
    let folder = tempfile::tempdir().expect("a folder");
    let listen = unused_address();
    let workers = r#"{"revision":1,"complete":true,"members":[]}"#;
    let config = named_gatekeeper_config("g1", listen, workers, unused_address(), unused_address());
    let file = folder.path().join("g1.json");
    fs::write(&file, config).expect("written");
    let mut child = Command::new(gatekeeper_program())
        .env("RELAY_CONFIG", &file)
        .current_dir(folder.path())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    wait_until("the gatekeeper serves", || TcpStream::connect(listen).is_ok());
    // Descriptors of the test's connection and of failed connections to the discovery are closed by then.
    thread::sleep(Duration::from_millis(300));
    let (mut open, threads) = descriptors_and_threads(child.id() as i32);
    open.retain(|k| k != "socket");
    let udp = fs::read_to_string(format!("/proc/{}/net/udp", child.id())).expect("readable");
    let port = listen.port();
    let _ = child.kill();
    let _ = child.wait();
    // The rest are anonymous inodes: epoll, the eventfd of `may` and a timer.
    assert_eq!(
        open.iter().filter(|k| k.contains("timerfd")).count()
            + open.iter().filter(|k| *k == "anon_inode").count(),
        open.len(),
        "{open:?}"
    );
    assert!(threads.len() <= 3, "{threads:?}");
    assert!(!threads.iter().any(|t| ["ledger", "history", "log"].contains(&t.as_str())), "{threads:?}");
    assert!(!udp.contains(&format!(":{port:04X} ")), "a datagram socket is open at the address");
    let files: Vec<_> =
        fs::read_dir(folder.path()).expect("there").flatten().map(|f| f.file_name()).collect();
    assert_eq!(files, ["g1.json"]);

    // With a fleet the same check finds further threads and descriptors.
    let fleet = TestFleet::start(1);
    let (open_with_fleet, threads_with_fleet) = descriptors_and_threads(fleet.pid(0));
    assert!(threads_with_fleet.contains(&"ledger".to_string()), "{threads_with_fleet:?}");
    assert!(
        threads_with_fleet.len() > threads.len() && open_with_fleet.len() > open.len(),
        "{open_with_fleet:?}"
    );
}
