//! Runs a cluster of controller processes on loopback. The tests act as workers, operator and proxies, and
//! poll for each expected state instead of sleeping.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use lynxstair_config::json;
use lynxstair_fakes::{WAIT_TIMEOUT, wait_until};
use lynxstair_protocol::messages::{ProxyInfo, Readiness, ToController, ToProxy};
use nix::sys::signal::Signal;

use support::{Cluster, InternalConnection, call, configuration, heartbeat, proxy, send};

/// Time-out of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);

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

/// The directory takes the homes of a host from the configuration. Guards against requests with homes that it
/// sends to a region that is no home while the proxies of the client's region are restarted (review, case 8).
#[test]
fn the_directory_returns_no_proxy_outside_the_home_regions() {
    let mut cluster = Cluster::new(13);
    cluster.start(1, &[1], true);
    let homes = configuration(5, 0)
        .replace(r#""max-attempts"]"#, r#""max-attempts","home-regions"]"#)
        .replace(r#""s",2]"#, r#""s",2,["r1","r2"]]"#);
    assert_eq!(cluster.operator_request("PUT /config", &homes), 200);
    let mut proxies = [("e1", "r1"), ("e2", "r2"), ("e3", "r3")].map(|(node, region)| {
        let client_address = format!("10.0.0.{}:80", &node[1..]).parse().expect("an address");
        let proxy = ProxyInfo { region: region.into(), client_address, ..proxy(node) };
        let mut connection = InternalConnection::open(cluster.control_address(1));
        connection.send(&ToController::Subscribe { proxy, wants_instances: false });
        connection
    });
    let look_up = |host: &str| {
        let answer = call(cluster.directory(1), &format!("GET /resolve?name={host}&region=r1&zone=z1"), "")?;
        (answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).into_owned())
    };
    let names_all = |answer: &String| (2..=3).all(|n| answer.contains(&format!("\"10.0.0.{n}:80\"")));
    wait_until("all proxies but the one that shuts down", || {
        proxies.iter_mut().for_each(|connection| connection.send_heartbeat(Readiness::Ready));
        proxies[0].send_heartbeat(Readiness::ShuttingDown);
        look_up("elsewhere.example").filter(names_all)
    });
    let answer = look_up("h.example").expect("an answer");
    assert!(answer.contains("10.0.0.2:80") && !answer.contains("10.0.0.3:80"), "{answer}");
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
    cluster.kill(lost);
    let disk = cluster.data_folder(lost);
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
