//! Crowds of callers that send ahead and read nothing, at each listener of a controller, and what must hold
//! beside them: the controller lives, stays within its limits, and answers an ordinary worker, an operator and a
//! look-up. The tests know no times and no shares of served requests.

mod support;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use lynxstair_fakes::{Crowd, CrowdPlan, ProcessUsage, wait_until};
use lynxstair_protocol::messages::{Readiness, ToController};

use support::{Cluster, InternalConnection, MAX_FDS, MEMORY_MB, call, configuration, heartbeat, proxy};

/// One crowd at a time: each needs the machine.
static SERIAL: Mutex<()> = Mutex::new(());

/// Number of routes of the configuration, which make its text some 100 kB long.
const ROUTES: usize = 1_500;

/// Sends a crowd to a controller, and checks the controller while the crowd's connections are open.
fn check(address: impl Fn(&Cluster) -> SocketAddr, plan: &CrowdPlan) {
    let _guard = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let mut cluster = Cluster::new(14);
    cluster.start(1, &[1], true);
    let controller = ProcessUsage(cluster.controllers[&1].id());
    assert_eq!(cluster.operator_request("PUT /config", &large_configuration(5, 0)), 200);
    let mut subscriber = InternalConnection::open(cluster.control_address(1));
    subscriber.send(&ToController::Subscribe { proxy: proxy("e1"), wants_instances: false });
    let crowd = Crowd::send(address(&cluster), plan);
    controller.assert_within(MEMORY_MB, MAX_FDS);
    assert_answers(&cluster, &mut subscriber, 1);
    controller.assert_within(MEMORY_MB, MAX_FDS);
    drop(crowd);
    // In calm, a single request within the limits is served.
    assert_answers(&cluster, &mut subscriber, 2);
    let current =
        u32::from_str_radix(cluster.status_field(1, "generation").trim_matches('"'), 16).expect("a number");
    assert_eq!(cluster.operator_request("PUT /config", &large_configuration(current + 1, current)), 200);
    controller.assert_within(MEMORY_MB, MAX_FDS);
}

fn large_configuration(generation: u32, base: u32) -> String {
    let rows: String = (0..ROUTES)
        .map(|n| format!(r#",["r{n}","h{n}.example","/prefix-{n}/","safe",3,0.8,"s",2]"#))
        .collect();
    configuration(generation, base).replace("\"s\",2]", &format!("\"s\",2]{rows}"))
}

/// A worker, an operator and a client each get an answer on a new connection.
fn assert_answers(cluster: &Cluster, subscriber: &mut InternalConnection, call_seq: u32) {
    assert_eq!(cluster.operator_request("PUT /instances/i-1", &heartbeat(call_seq)), 200);
    assert_eq!(cluster.operator_request("GET /config", ""), 200);
    wait_until("an answered look-up", || {
        subscriber.send_heartbeat(Readiness::Ready);
        let answer = call(cluster.directory(1), "GET /resolve?name=h&region=r1&zone=z1", "")?;
        (answer.status() == 200).then_some(())
    });
}

fn control(cluster: &Cluster) -> SocketAddr {
    cluster.control_address(1)
}

fn calls(head: &str, body: &str) -> Vec<u8> {
    format!("{head} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Guards against memory that grows with responses that their callers don't read.
#[test]
fn statuses_that_nobody_reads() {
    let repeated = calls("GET /status", "").repeat(100);
    check(control, &CrowdPlan { clients: 48, first: Vec::new(), repeated, repetitions: 400 });
}

/// Guards against memory that grows with long responses that their callers don't read.
#[test]
fn configurations_that_nobody_reads() {
    let repeated = calls("GET /config", "").repeat(100);
    check(control, &CrowdPlan { clients: 48, first: Vec::new(), repeated, repetitions: 10 });
}

/// Guards against memory that grows with refusals that their callers don't read.
#[test]
fn refusals_that_nobody_reads() {
    let repeated = calls("PUT /instances/i-2", "{}").repeat(100);
    check(control, &CrowdPlan { clients: 48, first: Vec::new(), repeated, repetitions: 400 });
}

/// Guards against long bodies that never end.
#[test]
fn long_bodies_that_never_end() {
    let first =
        format!("PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", 8 << 20).into_bytes();
    let repeated = vec![b' '; 64 << 10];
    check(control, &CrowdPlan { clients: 48, first, repeated, repetitions: 120 });
}

/// Guards against parsed configurations that wait for one another.
#[test]
fn many_configurations_at_once() {
    let mut text = large_configuration(7, 5);
    let routes = text.find(r#"["r700""#).expect("a row");
    let end = text.find("]},\n").expect("the end of the routes");
    text.replace_range(routes - 1..end, "");
    assert!(text.len() < 64 << 10, "parsed at once");
    let repeated = calls("PUT /config", &text);
    check(control, &CrowdPlan { clients: 300, first: Vec::new(), repeated, repetitions: 4 });
}

/// Returns heartbeats of this many instances.
fn heartbeats(instances: usize, service: &str) -> Vec<u8> {
    let body = heartbeat(1).replace(r#""s""#, &format!(r#""{service}""#));
    (0..instances).flat_map(|n| calls(&format!("PUT /instances/i-crowd-{n}"), &body)).collect()
}

/// Guards against instances that nobody has started.
#[test]
fn heartbeats_of_many_instances() {
    let first = heartbeats(60_000, &"s".repeat(200));
    check(control, &CrowdPlan { clients: 4, first, repeated: Vec::new(), repetitions: 0 });
}

/// Guards against long names of instances, which would be kept for minutes.
#[test]
fn heartbeats_with_long_names() {
    let first = heartbeats(4_000, &"s".repeat(16 << 10));
    check(control, &CrowdPlan { clients: 4, first, repeated: Vec::new(), repetitions: 0 });
}

/// Guards against connections that take all descriptors, or memory each.
#[test]
fn more_connections_than_descriptors() {
    let repeated = calls("GET /status", "").repeat(200);
    check(control, &CrowdPlan { clients: 1_200, first: Vec::new(), repeated, repetitions: 1 });
}

#[test]
fn look_ups_that_nobody_reads() {
    let repeated = calls("GET /resolve?name=h&region=r1", "").repeat(100);
    let plan = CrowdPlan { clients: 1_200, first: Vec::new(), repeated, repetitions: 20 };
    check(|cluster| cluster.directory(1), &plan);
}

/// Guards against frames of callers that are neither a proxy nor a controller.
#[test]
fn long_frames_of_strangers() {
    let address = |cluster: &Cluster| SocketAddr::new(cluster.control_address(1).ip(), 7460);
    let first = (15u32 << 20).to_be_bytes().to_vec();
    let plan = CrowdPlan { clients: 48, first, repeated: vec![0; 64 << 10], repetitions: 200 };
    check(address, &plan);
}
