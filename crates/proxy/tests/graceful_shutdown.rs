//! SIGTERM at every moment of a request, with the programs on loopback: `docs/design/attempts.md` has the rows. Nothing
//! sleeps: that the proxy closes is told by the end of a connection that rests.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;

use lynxstair_fakes::{HttpMessage, wait_until};

mod support;

use support::call;
use support::scene::{Scene, connect, request, send};

/// Waits until a connection that rests is closed, with nothing said: the proxy is closing.
fn wait_until_closing(rests: &TcpStream) {
    let mut rest = Vec::new();
    assert!((&*rests).read_to_end(&mut rest).is_ok() && rest.is_empty(), "closed, nothing said");
}

#[test]
fn every_request_that_was_read_is_answered() {
    let mut scene = Scene::start(160, 4);

    // Before SIGTERM: one rests, one has a request at work, one has another behind that, one has sent a part.
    let rests = scene.resting_connection();
    let [works, two, part] = [0; 3].map(|_| connect(&scene.system));
    send(&works, &request("held-1"));
    send(&two, &(request("held-2") + &request("behind")));
    let whole = request("part");
    send(&part, &whole[..40]);
    assert_eq!(scene.wait_for_held(2), ["held-1", "held-2"]);
    scene.system.terminate("proxy1");

    // Clients still come for a while; what rests is ended then, with nothing said.
    let late = wait_until("not ready any more", || {
        call(scene.system.readiness(0), "GET /readiness HTTP/1.1", "").filter(|m| m.status() == 503)?;
        Some(connect(&scene.system))
    });
    send(&late, &request("late"));
    assert_eq!(HttpMessage::read(&mut BufReader::new(&late)).expect("an answer").body, b"late");
    wait_until_closing(&rests);

    // Closing: what was read goes on, in order, and each connection ends behind its last answer.
    send(&part, &whole[40..]);
    scene.held.lock().expect("held").drain(..).for_each(|go| go.send(()).expect("told"));
    for (stream, wanted) in [(&works, &["held-1"][..]), (&two, &["held-2", "behind"])] {
        let mut reader = BufReader::new(stream);
        for (n, id) in wanted.iter().enumerate() {
            let answer = HttpMessage::read(&mut reader).unwrap_or_else(|| panic!("no answer to {id}"));
            assert_eq!((answer.status(), &answer.body[..]), (200, id.as_bytes()));
            let is_last = n + 1 == wanted.len();
            assert_eq!(answer.header("connection") == "close", is_last, "{id}");
        }
        // What is sent behind the last answer is not read, and not answered.
        let _ = (&mut &*stream).write_all(request("after").as_bytes());
        let mut rest = Vec::new();
        let _ = reader.read_to_end(&mut rest);
        assert!(rest.is_empty(), "{wanted:?}");
    }
    // What is complete only now may not be forwarded any more: its client is told so, and may go elsewhere at once.
    let mut reader = BufReader::new(&part);
    let refused = HttpMessage::read(&mut reader).expect("an answer to what was begun before");
    assert_eq!((refused.status(), refused.header("attempt-id")), (503, "part"));
    assert_eq!(refused.header("connection"), "close");
    assert!(refused.header("retry-after").parse::<f64>().is_ok_and(|wait| wait < 0.1));
    let mut rest = Vec::new();
    assert!(reader.read_to_end(&mut rest).is_ok() && rest.is_empty(), "nothing behind the refusal");
    scene.wait_for_end();
}

/// Whatever is forwarded while the proxy closes may still be at work when its process ends, and is lost then (issue 49).
#[test]
fn a_request_that_comes_while_closing_is_not_forwarded() {
    let mut scene = Scene::start(161, 4);
    let rests = scene.resting_connection();
    let works = connect(&scene.system);
    send(&works, &request("held-1"));
    assert_eq!(scene.wait_for_held(1), ["held-1"]);
    scene.system.terminate("proxy1");
    wait_until_closing(&rests);

    // On a connection that is kept by the request at work, and on a new one.
    send(&works, &request("held-behind"));
    let late = connect(&scene.system);
    let _ = (&late).write_all(request("held-late").as_bytes());
    scene.wait_for_end();

    assert_eq!(scene.heard.try_iter().collect::<Vec<_>>(), Vec::<String>::new(), "forwarded while closing");
    // The client of the late one knows that it may go elsewhere: it was refused, or not read at all.
    if let Some(answer) = HttpMessage::read(&mut BufReader::new(&late)) {
        assert_eq!(answer.status(), 503);
    }
}

/// A reply that is here must not be lost with the request before it, whose worker is still at work at the end (issue 49).
#[test]
fn a_reply_behind_a_request_that_takes_too_long_is_delivered_at_the_end() {
    let mut scene = Scene::start(162, 3);
    let two = connect(&scene.system);
    send(&two, &(request("held-1") + &request("behind")));
    assert_eq!(scene.wait_for_held(1), ["held-1"]);
    scene.system.terminate("proxy1");
    scene.wait_for_end();

    let mut reader = BufReader::new(&two);
    let first = HttpMessage::read(&mut reader).expect("an answer to the one that takes too long");
    assert_eq!((first.status(), first.header("attempt-id")), (502, "held-1"), "it may have run");
    let second = HttpMessage::read(&mut reader).expect("the answer that was here");
    assert_eq!((second.status(), &second.body[..]), (200, &b"behind"[..]));
    assert_eq!(second.header("connection"), "close");
}
