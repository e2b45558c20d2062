//! Broken and sound replies of workers: the client gets the sound reply, or the gatekeeper's own failure, and the
//! responses around it on the same connection stay whole.

mod support;

use std::io::{BufReader, Write};

use lynxstair_fakes::{Pace, broken_replies, sound_replies};

use support::{HttpMessage, TestEnv, WorkerAction, request_text};

/// Longest body of a reply that the gatekeeper relays, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Sends three requests one behind the other, of which the first worker handles the second one by `action`.
/// Checks the other responses and that the request ran once, and returns its response.
fn exchange(env: &TestEnv, case: &str, action: WorkerAction) -> HttpMessage {
    let [before, id, after] = [env.script(&[]), env.script(&[action]), env.script(&[])];
    let requests = [&before, &id, &after].map(|id| request_text("put", "wide", id, 5_000));
    let client = env.client();
    (&client).write_all(requests.concat().as_bytes()).expect("sent");
    let mut reader = BufReader::new(&client);
    let mut next = || HttpMessage::read(&mut reader).unwrap_or_else(|| panic!("{case}: no response"));
    let [first, response, last] = [next(), next(), next()];
    for (sound, id) in [(first, before), (last, after)] {
        let body = format!("answer to {id}").into_bytes();
        assert_eq!((sound.status(), sound.body), (200, body), "{case}");
    }
    assert_eq!(env.log.attempts_of(&id).len(), 1, "{case}: executed twice");
    response
}

/// Guards against replies of a worker in trouble that reach a client as responses (issue 67).
#[test]
fn a_broken_reply_becomes_a_failure_of_the_gatekeeper() {
    let mut failures = Vec::new();
    for reply in broken_replies() {
        // A new environment for each reply, so that worker health and quotas start afresh.
        let env = TestEnv::new(4, 0, Some(1.0));
        for pace in Pace::ALL {
            let case = format!("{}, {pace:?}", reply.name);
            let response = exchange(&env, &case, WorkerAction::SendBroken(reply, pace));
            if (response.status(), response.header("server-seal")) != (502, "") {
                failures.push(format!("{case}: {response:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Replies with another status than 200 become failures, and so do bodies above the limit.
#[test]
fn a_sound_reply_reaches_the_client_with_its_body() {
    let mut failures = Vec::new();
    for reply in sound_replies().iter().filter(|reply| reply.method != "HEAD") {
        let env = TestEnv::new(4, 0, Some(1.0));
        let expected = if reply.status == 200 && reply.body.len() <= MAX_BODY_BYTES { 200 } else { 502 };
        for pace in Pace::ALL {
            let case = format!("{}, {pace:?}", reply.name);
            let response = exchange(&env, &case, WorkerAction::SendSound(reply, pace));
            if response.status() != expected || expected == 200 && response.body != reply.body {
                failures.push(format!("{case}: {} bytes after {}", response.body.len(), response.start_line));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
