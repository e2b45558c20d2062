//! `lynxstair fleet` against processes, and that nothing of a fleet is there where none is asked for.

mod support;

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use lynxstair_fakes::{named_gatekeeper_config, unused_address};
use nix::sys::signal::Signal;
use support::{Hand, gatekeeper, run, until};

/// Three by hand: all agree; one that is gone shows as unknown, with since when; nobody there is told as
/// that.
#[test]
fn three_by_hand() {
    let mut hand = Hand::start(3);
    until("they see each other", || hand.status(0).0 == 0);
    let (code, out) = hand.status(2);
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("3 of 3 members answered; all joined members agree"), "{out}");
    // By the file as by the address.
    let (code, out, _) = run(&["fleet", "status", &hand.fleet_file(1).display().to_string(), "--json"]);
    assert_eq!(code, 0, "{out}");
    let status: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (status["agree"].as_bool(), status["members"].as_array().map(Vec::len)),
        (Some(true), Some(3))
    );

    hand.kill(2);
    // As long as it is not yet seen as failed, since when nobody can say; a slow machine may be past that.
    let (code, out) = hand.status(0);
    let past = out.contains("failed for");
    assert!(past || code == 1 && out.contains("unknown, duration unknown (request failed"), "{out}");
    // One finds out before the other: only once both have, all that are in see the same.
    until("its death is seen by both", || {
        let (code, out) = hand.status(0);
        code == 0 && out.contains("failed for") && out.contains("2 of 3 members answered")
    });
    let (_, out) = hand.status(0);
    assert!(out.contains("unknown, for "), "{out}");

    hand.start_one(2);
    until("it is back", || hand.status(0).0 == 0 && hand.status(0).1.contains("3 of 3"));
    (0..3).for_each(|n| hand.kill(n));
    let (code, out) = hand.status(0);
    assert_eq!(code, 2, "{out}");
    assert!(out.contains("no member could be reached"), "{out}");
}

/// The files of the README's example can be used.
#[test]
fn the_example_files() {
    for n in 1..=3 {
        let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/fleet");
        let fleet = lynxstair_cluster::Config::read(&folder.join(format!("g{n}.toml"))).expect("can be used");
        assert_eq!(fleet.name.as_str(), format!("g{n}"));
        let config = fs::read_to_string(folder.join(format!("g{n}.json"))).expect("there");
        let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
        assert_eq!(config["name"], fleet.name.as_str());
    }
}

/// Disagreement is shown, by whom: a member that hears nobody says unknown of all.
#[test]
fn disagreement_is_shown() {
    let hand = Hand::start(3);
    until("they see each other", || hand.status(0).0 == 0);
    hand.signal(1, Signal::SIGSTOP);
    hand.signal(2, Signal::SIGSTOP);
    until("it says that it does not know", || hand.status(0).1.contains("unknown for"));
    let (code, out) = hand.status(0);
    assert_eq!(code, 1, "{out}");
    assert!(out.contains("degraded for"), "{out}");
    hand.signal(1, Signal::SIGCONT);
    hand.signal(2, Signal::SIGCONT);
    until("all is well again", || hand.status(0).0 == 0);
}

/// Leaving, shutting out and letting in, by command.
#[test]
fn leave_and_shut_out() {
    let hand = Hand::start(3);
    until("they see each other", || hand.status(0).0 == 0);
    let addr = hand.member(0).to_string();
    let (code, _, err) = run(&["fleet", "shut-out", &addr, "g3", "--why", "an old program"]);
    assert_eq!(code, 0, "{err}");
    until("it is out", || hand.status(0).1.contains("shutout: an old program"));
    let (code, _, err) = run(&["fleet", "let-in", &addr, "g3"]);
    assert_eq!(code, 0, "{err}");
    until("it is in again", || hand.status(0).0 == 0 && hand.status(2).1.contains("3 of 3"));

    let (code, _, err) = run(&["fleet", "leave", &hand.fleet_file(1).display().to_string()]);
    assert_eq!(code, 0, "{err}");
    until("it has left", || hand.status(0).1.contains("left for"));
    assert!(!hand.status(0).1.contains("failed"));
    let (code, _, err) = run(&["fleet", "shut-out", &addr, "g1", "--why", "x"]);
    assert_eq!(code, 2);
    assert!(err.contains("can't shut out itself"), "{err}");
    let (code, out, _) = run(&["fleet", "watch", &addr, "--for", "0.1", "--json"]);
    assert_eq!(code, 0);
    assert!(out.contains(r#"{"by":"g1","is":"left","member":"g2","was":null}"#), "{out}");
}

/// What can't be used is told with file, line and key; what is not understood at a port gets no more than a
/// no.
#[test]
fn bad_input() {
    let hand = Hand::start(1);
    let file = hand.folder.path().join("bad.toml");
    let good = fs::read_to_string(hand.fleet_file(0)).expect("there");
    fs::write(&file, good.replace("bind = \"127", "bind = \"x127")).expect("written");
    let (code, _, err) = run(&["fleet", "status", &file.display().to_string()]);
    assert_eq!(code, 2);
    assert!(err.contains("bad.toml:4: bind: "), "{err}");
    let started = Command::new(gatekeeper())
        .arg("--fleet")
        .arg(&file)
        .env("RELAY_CONFIG", hand.folder.path().join("g1.json"))
        .output()
        .expect("runs");
    assert!(!started.status.success());
    assert!(String::from_utf8_lossy(&started.stderr).contains("bad.toml:4: bind: "));

    let says = |what: &[u8]| {
        let mut stream = TcpStream::connect(hand.member(0)).expect("connected");
        stream.set_read_timeout(Some(Duration::from_secs(6))).expect("set");
        let _ = stream.write_all(what);
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
    };
    assert!(says(b"{\"ask\":\"everything\"}\n").contains("not understood"));
    assert!(says(b"GET / HTTP/1.1\r\n\r\n").contains("not understood"));
    assert_eq!(says(&[b'x'; 10_000]), "", "too long");
    assert_eq!(says(b"half a line"), "", "cut off when its time is up");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for n in 0..2_000usize {
        let junk: Vec<u8> = (0..n % 1_500).map(|i| (i * 31 + n * 7) as u8).collect();
        socket.send_to(&junk, hand.member(0)).expect("sent");
    }
    let (code, out) = hand.status(0);
    assert_eq!(code, 0, "it serves on: {out}");
    socket.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
    assert!(socket.recv_from(&mut [0; 2_000]).is_err(), "nothing of it is answered");
}

/// One process has a data folder; the folder of another member is refused.
#[test]
fn data_folders() {
    let hand = Hand::start(2);
    let again = |fleet: String| {
        let file = hand.folder.path().join("again.toml");
        fs::write(&file, fleet).expect("written");
        let config =
            named_gatekeeper_config("g9", unused_address(), "{}", unused_address(), unused_address());
        let config_file = hand.folder.path().join("again.json");
        fs::write(&config_file, config).expect("written");
        let mut command = Command::new(gatekeeper());
        command.arg("--fleet").arg(file).env("RELAY_CONFIG", config_file);
        let out = command.output().expect("runs");
        assert!(!out.status.success());
        String::from_utf8_lossy(&out.stderr).into_owned()
    };
    let good = fs::read_to_string(hand.fleet_file(0)).expect("there");
    let elsewhere = good.replace(&hand.member(0).to_string(), &unused_address().to_string());
    let said = again(elsewhere.clone());
    assert!(said.contains("another process has this folder open"), "{said}");
    fs::create_dir(hand.folder.path().join("copy")).expect("made");
    fs::copy(hand.folder.path().join("g1/ledger"), hand.folder.path().join("copy/ledger")).expect("copied");
    let said =
        again(elsewhere.replace("\"g1\"\nhall", "\"g7\"\nhall").replace("data = \"g1\"", "data = \"copy\""));
    assert!(said.contains("the records are those of hand/g1, not of hand/g7"), "{said}");
}

/// Descriptors by kind, threads by name, and files made, of a process.
fn parts(pid: i32) -> (Vec<String>, Vec<String>) {
    let kind = |link: String| link.split(':').next().unwrap_or_default().to_string();
    let links = fs::read_dir(format!("/proc/{pid}/fd")).expect("its own");
    let mut open: Vec<_> = links
        .flatten()
        .filter_map(|f| fs::read_link(f.path()).ok())
        .map(|l| kind(l.display().to_string()))
        .filter(|k| k != "pipe" && !k.starts_with("/dev"))
        .collect();
    open.sort();
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("its own");
    let mut threads: Vec<_> = tasks
        .flatten()
        .filter_map(|t| fs::read_to_string(t.path().join("comm")).ok())
        .map(|n| n.trim().to_string())
        .collect();
    threads.sort();
    (open, threads)
}

/// Without `--fleet` a gatekeeper has the sockets, threads and files that it always had, and no more.
#[test]
fn nothing_of_it_without_a_fleet() {
    let folder = tempfile::tempdir().expect("a folder");
    let listen = unused_address();
    let known = r#"{"revision":1,"complete":true,"members":[]}"#;
    let config = named_gatekeeper_config("g1", listen, known, unused_address(), unused_address());
    let file = folder.path().join("g1.json");
    fs::write(&file, config).expect("written");
    let mut child = Command::new(gatekeeper())
        .env("RELAY_CONFIG", &file)
        .current_dir(folder.path())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("starts");
    until("it serves", || TcpStream::connect(listen).is_ok());
    // What a moment's connection of ours, or one to a list that is not there, adds goes again.
    thread::sleep(Duration::from_millis(300));
    let (mut open, threads) = parts(child.id() as i32);
    open.retain(|k| k != "socket");
    let udp = fs::read_to_string(format!("/proc/{}/net/udp", child.id())).expect("its own");
    let listens = listen.port();
    let _ = child.kill();
    let _ = child.wait();
    // epoll, may's eventfd, the one timer.
    assert_eq!(
        open.iter().filter(|k| k.contains("timerfd")).count()
            + open.iter().filter(|k| *k == "anon_inode").count(),
        open.len(),
        "{open:?}"
    );
    assert!(threads.len() <= 3, "{threads:?}");
    assert!(!threads.iter().any(|t| ["ledger", "history", "log"].contains(&t.as_str())), "{threads:?}");
    assert!(!udp.contains(&format!(":{listens:04X} ")), "no datagram socket at its address");
    let files: Vec<_> =
        fs::read_dir(folder.path()).expect("there").flatten().map(|f| f.file_name()).collect();
    assert_eq!(files, ["g1.json"]);

    // The same look at one that takes part finds what is new: the test would see it.
    let hand = Hand::start(1);
    let (with, threads_with) = parts(hand.pid(0));
    assert!(threads_with.contains(&"ledger".to_string()), "{threads_with:?}");
    assert!(threads_with.len() > threads.len() && with.len() > open.len(), "{with:?}");
}
