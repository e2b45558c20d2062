//! Broken and sound replies of a worker, through the programs: the client gets the sound reply, or the proxy's
//! own failure, and the responses around it on the same connection stay whole.

mod support;

use std::io::BufReader;
use std::net::TcpStream;
use std::sync::mpsc::TryRecvError;

use lynxstair_fakes::{HttpMessage, Pace, SoundReply, WAIT_TIMEOUT, broken_replies, sound_replies};

use support::fixture::{Fixture, RawReply, connect, request, request_with, send};

/// A system with two workers whose replies the test sets, and one client connection.
struct ReplyFixture {
    fixture: Fixture,
    client: TcpStream,
    exchanges: usize,
}

impl ReplyFixture {
    /// `net`: see `System::start`.
    fn start(net: u32) -> ReplyFixture {
        // A request that is sent again goes to the other worker.
        let fixture = Fixture::start_with_workers(net, 6, 2);
        let client = connect(&fixture.system);
        ReplyFixture { fixture, client, exchanges: 0 }
    }

    /// Sends three requests one behind the other. A worker answers the second one with the bytes that `reply`
    /// returns for its id, and the others properly. Checks the other responses and that the request ran once,
    /// and returns its response.
    fn exchange(
        &mut self,
        case: &str,
        method: &str,
        pace: Pace,
        closes: bool,
        reply: impl Fn(&str) -> Vec<u8>,
    ) -> HttpMessage {
        self.exchanges += 1;
        let [before, id, after] = ["before", "raw", "after"].map(|role| format!("{role}-{}", self.exchanges));
        let raw = RawReply { bytes: reply(&id), pace, closes };
        self.fixture.raw_replies.lock().expect("raw replies").insert(id.clone(), raw);
        send(&self.client, &[request(&before), request_with(method, &id), request(&after)].concat());
        let mut reader = BufReader::new(&self.client);
        let mut next = |method| {
            let response = HttpMessage::read_response_to(method, &mut reader);
            response.unwrap_or_else(|| panic!("{case}: no response"))
        };
        let [first, response, last] = [next("POST"), next(method), next("POST")];
        for (sound, id) in [(first, before), (last, after)] {
            assert_eq!((sound.status(), &sound.body[..]), (200, id.as_bytes()), "{case}: {id}");
        }
        assert_eq!(response.header("attempt-id"), id, "{case}");
        assert_eq!(self.fixture.reports.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok(&id[..]), "{case}");
        assert_eq!(self.fixture.reports.try_recv(), Err(TryRecvError::Empty), "{case}: executed twice");
        response
    }
}

/// Guards against replies of a worker in trouble that reach a client as responses (issue 67).
#[test]
fn a_broken_reply_becomes_a_failure_of_the_proxy() {
    let mut fixture = ReplyFixture::start(167);
    let mut failures = Vec::new();
    for reply in broken_replies() {
        for pace in Pace::ALL {
            let case = format!("{}, {pace:?}", reply.name);
            let response = fixture.exchange(&case, "POST", pace, reply.closes, |id| reply.bytes(id));
            if (response.status(), response.header("server-seal")) != (502, "") {
                failures.push(format!("{case}: {response:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against valid responses whose success the client could not attribute or trust.
#[test]
fn a_reply_with_unusable_headers_becomes_a_failure_of_the_proxy() {
    let mut fixture = ReplyFixture::start(170);
    let lines: [(&str, &[u8]); 4] = [
        ("content coding", b"Content-Encoding: gzip"),
        ("content coding that is no text", b"Content-Encoding: \xff"),
        ("seal for the connection only", b"Connection: server-seal"),
        ("attempt id for the connection only", b"Connection: keep-alive\r\nConnection: attempt-id"),
    ];
    let mut failures = Vec::new();
    for (case, line) in lines {
        let reply = |id: &str| {
            let start = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n");
            [start.as_bytes(), line, b"\r\nContent-Length: 2\r\n\r\nno"].concat()
        };
        let response = fixture.exchange(case, "POST", Pace::AtOnce, false, reply);
        if (response.status(), response.header("server-seal")) != (502, "") {
            failures.push(format!("{case}: {response:?}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against sound replies that do not reach the client, or with another body or length.
#[test]
fn a_sound_reply_reaches_the_client_unchanged() {
    let mut fixture = ReplyFixture::start(168);
    let mut failures = Vec::new();
    for reply in sound_replies() {
        for pace in Pace::ALL {
            let case = format!("{}, {pace:?}", reply.name);
            let response = fixture.exchange(&case, reply.method, pace, reply.closes, |id| reply.bytes(id));
            let is_same = response.status() == reply.status
                && response.body == reply.body
                && response.header("server-seal") == "s"
                && response.header("content-length") == expected_length(reply)
                && response.header("transfer-encoding").is_empty();
            if !is_same {
                let length = response.body.len();
                failures.push(format!(
                    "{case}: {length} bytes after {} {:?}",
                    response.start_line, response.headers
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns the `Content-Length` of the response to the client: that of the body or, for a response that has none,
/// that of the worker.
fn expected_length(reply: &SoundReply) -> String {
    match reply.status {
        204 => String::new(),
        _ if reply.method == "HEAD" || reply.status == 304 => {
            reply.content_length().unwrap_or("").to_string()
        }
        _ => reply.body.len().to_string(),
    }
}

/// Guards against a body of the proxy's own response to `HEAD`, which the client would take for the beginning of
/// the next response.
#[test]
fn a_failure_in_response_to_head_has_no_body() {
    let mut fixture = ReplyFixture::start(169);
    let reply = broken_replies().next().expect("a broken reply");
    let response = fixture.exchange(reply.name, "HEAD", Pace::AtOnce, reply.closes, |id| reply.bytes(id));
    assert_eq!(response.status(), 502);
}
