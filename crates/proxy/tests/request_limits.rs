//! Time-outs of requests, cancellation by client disconnects, and forwarded headers, with the programs on
//! loopback.

use std::io::BufReader;
use std::time::{Duration, Instant};

use lynxstair_fakes::HttpMessage;

mod support;

use support::fixture::{Fixture, connect, request, send};

/// Largest delay of a response after a time-out, and of a cancellation after a client disconnect.
const MAX_DELAY: Duration = Duration::from_millis(500);

#[test]
fn requests_respect_time_outs_and_client_disconnects() {
    let fixture = Fixture::start(163, 6);
    requests_are_forwarded_with_the_right_headers(&fixture);
    time_outs_are_answered_in_time(&fixture);
    a_client_disconnect_closes_worker_connections(&fixture);
}

fn requests_are_forwarded_with_the_right_headers(fixture: &Fixture) {
    let client = connect(&fixture.system);
    send(
        &client,
        "POST /echo HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: echo-1\r\nTime-Left-Ms: 3000\r\nX-Kept: a b\r\n\
         Tenant: forged\r\nTarget-Instance: forged\r\nAuthorization: Bearer secret\r\nConnection: keep-alive, x-hop\r\n\
         X-Hop: only here\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n",
    );
    let answer = HttpMessage::read(&mut BufReader::new(&client)).expect("an answer");
    assert_eq!(answer.status(), 200);
    let head = String::from_utf8(answer.body).expect("text");
    let value = |name: &str| {
        head.lines()
            .find_map(|line| line.split_once(": ").filter(|(n, _)| *n == name).map(|(_, value)| value))
    };
    assert_eq!((value("x-kept"), value("attempt-id")), (Some("a b"), Some("echo-1")), "{head}");
    // The proxy sets the target instance and ignores the client's value; there is no tenant without tenants
    // configured.
    assert_eq!((value("target-instance"), value("tenant")), (Some("i-1"), None), "{head}");
    assert_eq!((value("authorization"), value("x-hop"), value("keep-alive")), (None, None, None), "{head}");
    let left: u64 = value("time-left-ms").and_then(|left| left.parse().ok()).expect("a time");
    assert!((2_000..3_000).contains(&left), "{left}: at most the time of the client");
}

fn time_outs_are_answered_in_time(fixture: &Fixture) {
    // The route's time-out, and the client's if that is shorter.
    let by_route = request("held-1").replace("/held-1", "/short/held-1");
    let by_client = request("held-2").replace("20000", "400");
    for (text, id) in [(by_route, "held-1"), (by_client, "held-2")] {
        let client = connect(&fixture.system);
        let began = Instant::now();
        send(&client, &text);
        assert_eq!(fixture.wait_for_held(1), [id]);
        let answer = HttpMessage::read(&mut BufReader::new(&client)).expect("an answer");
        assert_eq!((answer.status(), answer.header("attempt-id")), (504, id));
        let took = began.elapsed();
        assert!(
            took >= Duration::from_millis(350) && took < Duration::from_millis(400) + MAX_DELAY,
            "{took:?}"
        );
    }
}

fn a_client_disconnect_closes_worker_connections(fixture: &Fixture) {
    let client = connect(&fixture.system);
    send(&client, &(request("watched-1") + &request("watched-2")));
    assert_eq!(fixture.wait_for_held(2), ["watched-1", "watched-2"]);
    let left = Instant::now();
    drop(client);
    assert_eq!(fixture.wait_for_held(2), ["gone watched-1", "gone watched-2"]);
    assert!(left.elapsed() < MAX_DELAY, "{:?}", left.elapsed());
    // Cancelled requests are not retried.
    let client = connect(&fixture.system);
    send(&client, &request("idle"));
    assert!(HttpMessage::read(&mut BufReader::new(&client)).is_some());
    assert!(fixture.reports.recv_timeout(Duration::ZERO).is_err());
}
