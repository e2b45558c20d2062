//! What a request may take and how it is passed on, with the programs on loopback: the client's time, the route's, the client's
//! leaving, and the headers.

use std::io::BufReader;
use std::time::{Duration, Instant};

use lynxstair_fakes::HttpMessage;

mod support;

use support::scene::{Scene, connect, request, send};

/// How long after a time-out its response may come, and a cancellation after the client has left.
const ALLOWED: Duration = Duration::from_millis(500);

#[test]
fn requests_end_in_time_and_with_their_clients() {
    let scene = Scene::start(163, 6);
    requests_are_passed_on_with_their_own_headers(&scene);
    time_outs_are_answered_in_time(&scene);
    workers_learn_that_a_client_has_left(&scene);
}

fn requests_are_passed_on_with_their_own_headers(scene: &Scene) {
    let client = connect(&scene.system);
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
    // Its own instance, never what a client says; a route without tenants has none.
    assert_eq!((value("target-instance"), value("tenant")), (Some("i-1"), None), "{head}");
    assert_eq!((value("authorization"), value("x-hop"), value("keep-alive")), (None, None, None), "{head}");
    let left: u64 = value("time-left-ms").and_then(|left| left.parse().ok()).expect("a time");
    assert!((2_000..3_000).contains(&left), "{left}: no more than the client has");
}

fn time_outs_are_answered_in_time(scene: &Scene) {
    // The route's time, and the client's where that is less.
    let by_route = request("held-1").replace("/held-1", "/short/held-1");
    let by_client = request("held-2").replace("20000", "400");
    for (text, id) in [(by_route, "held-1"), (by_client, "held-2")] {
        let client = connect(&scene.system);
        let began = Instant::now();
        send(&client, &text);
        assert_eq!(scene.wait_for_held(1), [id]);
        let answer = HttpMessage::read(&mut BufReader::new(&client)).expect("an answer");
        assert_eq!((answer.status(), answer.header("attempt-id")), (504, id));
        let took = began.elapsed();
        assert!(
            took >= Duration::from_millis(350) && took < Duration::from_millis(400) + ALLOWED,
            "{took:?}"
        );
    }
}

fn workers_learn_that_a_client_has_left(scene: &Scene) {
    let client = connect(&scene.system);
    send(&client, &(request("watched-1") + &request("watched-2")));
    assert_eq!(scene.wait_for_held(2), ["watched-1", "watched-2"]);
    let left = Instant::now();
    drop(client);
    assert_eq!(scene.wait_for_held(2), ["gone watched-1", "gone watched-2"]);
    assert!(left.elapsed() < ALLOWED, "{:?}", left.elapsed());
    // Nothing of it is sent again.
    let client = connect(&scene.system);
    send(&client, &request("rests"));
    assert!(HttpMessage::read(&mut BufReader::new(&client)).is_some());
    assert!(scene.heard.recv_timeout(Duration::ZERO).is_err());
}
