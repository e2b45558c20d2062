//! SIGTERM at different points of a request, with the programs on loopback. The tests do not sleep: they
//! detect that the proxy is closing by the end of an idle connection.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;

use lynxstair_fakes::{HttpMessage, wait_until};

mod support;

use support::call;
use support::fixture::{Fixture, connect, request, send};

/// Waits until an idle connection is closed without a response, which shows that the proxy is closing.
fn wait_until_closing(idle: &TcpStream) {
    let mut rest = Vec::new();
    assert!((&*idle).read_to_end(&mut rest).is_ok() && rest.is_empty(), "closed without a response");
}

#[test]
fn every_request_that_was_read_is_answered() {
    let mut fixture = Fixture::start(160, 4);

    // Before SIGTERM: one connection is idle, one has a request at the worker, one has a second request
    // queued behind that, and one has sent a part of a request.
    let idle = fixture.idle_connection();
    let [busy, pipelined, partial] = [0; 3].map(|_| connect(&fixture.system));
    send(&busy, &request("held-1"));
    send(&pipelined, &(request("held-2") + &request("behind")));
    let partial_text = request("part");
    send(&partial, &partial_text[..40]);
    assert_eq!(fixture.wait_for_held(2), ["held-1", "held-2"]);
    fixture.system.terminate("proxy1");

    // New clients are still served for a while; then idle connections are closed.
    let late = wait_until("not ready any more", || {
        call(fixture.system.readiness(0), "GET /readiness HTTP/1.1", "").filter(|m| m.status() == 503)?;
        Some(connect(&fixture.system))
    });
    send(&late, &request("late"));
    assert_eq!(HttpMessage::read(&mut BufReader::new(&late)).expect("an answer").body, b"late");
    wait_until_closing(&idle);

    // Closing: requests that were read are answered in order, and each connection closes after its last
    // response.
    send(&partial, &partial_text[40..]);
    fixture.held.lock().expect("held").drain(..).for_each(|release| release.send(()).expect("released"));
    for (stream, expected_ids) in [(&busy, &["held-1"][..]), (&pipelined, &["held-2", "behind"])] {
        let mut reader = BufReader::new(stream);
        for (n, id) in expected_ids.iter().enumerate() {
            let answer = HttpMessage::read(&mut reader).unwrap_or_else(|| panic!("no answer to {id}"));
            assert_eq!((answer.status(), &answer.body[..]), (200, id.as_bytes()));
            let is_last = n + 1 == expected_ids.len();
            assert_eq!(answer.header("connection") == "close", is_last, "{id}");
        }
        // A request sent after the last response is neither read nor answered.
        let _ = (&mut &*stream).write_all(request("after").as_bytes());
        let mut rest = Vec::new();
        let _ = reader.read_to_end(&mut rest);
        assert!(rest.is_empty(), "{expected_ids:?}");
    }
    // A request completed only now is not forwarded; the response lets its client retry elsewhere at once.
    let mut reader = BufReader::new(&partial);
    let rejection = HttpMessage::read(&mut reader).expect("a response to the partial request");
    assert_eq!((rejection.status(), rejection.header("attempt-id")), (503, "part"));
    assert_eq!(rejection.header("connection"), "close");
    assert!(rejection.header("retry-after").parse::<f64>().is_ok_and(|wait| wait < 0.1));
    let mut rest = Vec::new();
    assert!(reader.read_to_end(&mut rest).is_ok() && rest.is_empty(), "nothing after the rejection");
    fixture.wait_for_exit();
}

/// A request forwarded while the proxy is closing may still run when the process exits, and its reply is lost
/// (issue 49).
#[test]
fn a_request_that_comes_while_closing_is_not_forwarded() {
    let mut fixture = Fixture::start(161, 4);
    let idle = fixture.idle_connection();
    let busy = connect(&fixture.system);
    send(&busy, &request("held-1"));
    assert_eq!(fixture.wait_for_held(1), ["held-1"]);
    fixture.system.terminate("proxy1");
    wait_until_closing(&idle);

    // On a connection kept open by its request in flight, and on a new connection.
    send(&busy, &request("held-behind"));
    let late = connect(&fixture.system);
    let _ = (&late).write_all(request("held-late").as_bytes());
    fixture.wait_for_exit();

    assert_eq!(fixture.reports.try_iter().collect::<Vec<_>>(), Vec::<String>::new(), "forwarded requests");
    // The late request is rejected or not read at all, so its client may retry elsewhere.
    if let Some(answer) = HttpMessage::read(&mut BufReader::new(&late)) {
        assert_eq!(answer.status(), 503);
    }
}

/// A reply that is already here must not be lost because an earlier request on the connection is unfinished
/// (issue 49).
#[test]
fn a_reply_queued_behind_a_slow_request_is_sent_at_shutdown() {
    let mut fixture = Fixture::start(162, 3);
    let pipelined = connect(&fixture.system);
    send(&pipelined, &(request("held-1") + &request("behind")));
    assert_eq!(fixture.wait_for_held(1), ["held-1"]);
    fixture.system.terminate("proxy1");
    fixture.wait_for_exit();

    let mut reader = BufReader::new(&pipelined);
    let first = HttpMessage::read(&mut reader).expect("a response to the slow request");
    assert_eq!((first.status(), first.header("attempt-id")), (502, "held-1"), "it may have run");
    let second = HttpMessage::read(&mut reader).expect("the queued response");
    assert_eq!((second.status(), &second.body[..]), (200, &b"behind"[..]));
    assert_eq!(second.header("connection"), "close");
}
