//! Crowds of clients that send ahead and read nothing, at each listener of a proxy, and what must hold beside
//! them: the proxy lives, stays within its limits, and answers an ordinary request. The tests know no times and
//! no shares of served requests.

mod support;

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use lynxstair_fakes::{Crowd, CrowdPlan, ProcessUsage, wait_until};

use support::fixture::{Fixture, request};
use support::{MAX_FDS, MEMORY_MB, call};

/// One crowd at a time: each needs the machine.
static SERIAL: Mutex<()> = Mutex::new(());

/// Body of a long request, within the limits of the proxy.
const LONG_BODY_BYTES: usize = 1_500_000;

/// Sends a crowd to a proxy with one worker, and checks the proxy while the crowd's connections are open.
///
/// `net`: different for each test, as the worker of an earlier one still listens.
fn check(net: u32, address: impl Fn(&Fixture) -> SocketAddr, plan: &CrowdPlan) {
    let _guard = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let fixture = Fixture::start(net, 6);
    let proxy = ProcessUsage(fixture.system.children["proxy1"].id());
    let crowd = Crowd::send(address(&fixture), plan);
    proxy.assert_within(MEMORY_MB, MAX_FDS);
    assert_served(&fixture, "");
    proxy.assert_within(MEMORY_MB, MAX_FDS);
    drop(crowd);
    // In calm, a single request within the limits is served, however long it is.
    assert_served(&fixture, &"b".repeat(LONG_BODY_BYTES));
    proxy.assert_within(MEMORY_MB, MAX_FDS);
}

fn assert_served(fixture: &Fixture, body: &str) {
    wait_until("an ordinary request is answered", || {
        let head = "POST /ordinary HTTP/1.1\r\nAttempt-Id: ordinary";
        call(fixture.system.proxy_addresses[0], head, body).filter(|message| message.status() == 200)
    });
}

fn front(fixture: &Fixture) -> SocketAddr {
    fixture.system.proxy_addresses[0]
}

fn long_request(id: &str) -> Vec<u8> {
    let head = request(id).replace("Content-Length: 0", &format!("Content-Length: {LONG_BODY_BYTES}"));
    [head.into_bytes(), vec![b'b'; LONG_BODY_BYTES]].concat()
}

/// Guards against memory that grows with refusals that their clients don't read.
#[test]
fn refusals_that_nobody_reads() {
    let refused = request("refused").replace("h.example", "unknown.example");
    let repeated = refused.repeat(100).into_bytes();
    check(61, front, &CrowdPlan { clients: 48, first: Vec::new(), repeated, repetitions: 400 });
}

/// Guards against memory that grows with short responses that their clients don't read.
#[test]
fn short_responses_that_nobody_reads() {
    let repeated = request("short").repeat(100).into_bytes();
    check(62, front, &CrowdPlan { clients: 48, first: Vec::new(), repeated, repetitions: 100 });
}

/// Guards against memory that grows with long responses that their clients don't read.
#[test]
fn long_responses_that_nobody_reads() {
    let repeated = request("unsized").into_bytes();
    check(63, front, &CrowdPlan { clients: 48, first: Vec::new(), repeated, repetitions: 40 });
}

/// Guards against copies of long requests that wait for the response to the first of their connection.
#[test]
fn long_requests_behind_one_that_lasts() {
    let first = request("held").into_bytes();
    check(64, front, &CrowdPlan { clients: 48, first, repeated: long_request("long"), repetitions: 20 });
}

/// Guards against long bodies that never end.
#[test]
fn long_requests_that_never_end() {
    let mut first = long_request("long");
    first.truncate(LONG_BODY_BYTES);
    check(65, front, &CrowdPlan { clients: 100, first, repeated: Vec::new(), repetitions: 0 });
}

/// Guards against memory and descriptors that grow with the connections, each with some requests in flight.
#[test]
fn more_connections_than_descriptors() {
    let repeated = request("held").repeat(20).into_bytes();
    check(66, front, &CrowdPlan { clients: 1_200, first: Vec::new(), repeated, repetitions: 1 });
}

#[test]
fn readiness_checks_that_nobody_reads() {
    let repeated = b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n".repeat(200);
    let plan = CrowdPlan { clients: 100, first: Vec::new(), repeated, repetitions: 100 };
    check(67, |fixture| fixture.system.readiness(0), &plan);
}
