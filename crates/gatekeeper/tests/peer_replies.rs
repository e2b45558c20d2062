//! Interim and broken replies of the counter and of discovery.

mod support;

use std::sync::atomic::Ordering;

use lynxstair_fakes::start_discovery_with_stream;

use support::{TestEnv, gatekeeper_config, request_text, start_counter_with_response};

/// Updates of the worker list that remove the only worker.
const REMOVAL: &str =
    r#"{"revision":8,"complete":false,"members":[{"id":"s-0","phase":"DELETED"}],"more":1}"#;

/// Sends a request and returns the status of its response.
fn send_request(env: &TestEnv) -> u16 {
    let id = env.script(&[]);
    env.send(&request_text("put", "wide", &id, 3_000)).expect("a response").status()
}

/// Guards against interim responses that are taken for the reply to a call, which gives each later call the reply
/// to the one before.
#[test]
fn interim_responses_of_the_counter_are_skipped() {
    let env = TestEnv::new(2, 0, Some(1.0));
    let reply = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
    let counter = start_counter_with_response(Some(reply.to_string()));
    env.reload(&gatekeeper_config(env.addr, "{}", counter.addr, env.discovery.addr));
    let calls = || counter.request_lines.lock().expect("not poisoned").len();
    // A connection on which replies and calls do not match is closed before the next call.
    for count in 1..=3 {
        assert_eq!(send_request(&env), 200);
        env.wait_until("the counter is called", || calls() >= count);
    }
    assert_eq!(counter.connections_closed.load(Ordering::SeqCst), 0);
}

/// Guards against updates in something that is no chunked stream.
#[test]
fn updates_are_taken_from_valid_streams_only() {
    let chunk = format!("{:x}\r\n{REMOVAL}\n", REMOVAL.len() + 1);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        (format!("HTTP/1.1 103 Early Hints\r\n\r\n{chunked}{chunk}\r\n"), true),
        (format!("HTTP/1.1 200 OK\r\n\r\n{chunk}\r\n"), false),
        (format!("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{chunk}\r\n"), false),
        (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n{chunk}\r\n"), false),
        (format!("HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}\r\n"), false),
        (format!("{chunked}{chunk}\n\n"), false),
    ];
    for (stream, is_valid) in cases {
        let env = TestEnv::new(1, 0, Some(1.0));
        let discovery = start_discovery_with_stream(stream.as_bytes());
        env.reload(&gatekeeper_config(env.addr, "{}", env.counter.addr, discovery.addr));
        let watches = || discovery.request_lines.lock().expect("not poisoned").len();
        if is_valid {
            env.wait_until("the worker is removed", || send_request(&env) != 200);
        } else {
            env.wait_until("the watch is opened again", || watches() >= 2);
            assert_eq!(send_request(&env), 200, "{stream:?}");
        }
    }
}
