//! Clients that read slowly.

mod support;

use std::io::{BufReader, Write};

use lynxstair_fakes::{HttpMessage, WAIT_TIMEOUT};

use support::fixture::{Fixture, LARGE_BODY_BYTES, connect, request};

/// Requests that are sent one behind the other. Their replies exceed the buffers of the proxy and the kernel.
const REQUESTS: usize = 12;
/// Round trips on another connection, after which the proxy has written all that it will.
const ROUND_TRIPS: usize = 50;

/// Guards against replies that are lost because the buffer of the client's connection is full: the proxy must
/// wait until the client has read (review, case 3).
#[test]
fn a_client_that_reads_slowly_gets_all_replies() {
    let fixture = Fixture::start(163, 6);
    let mut slow = connect(&fixture.system);
    socket2::SockRef::from(&slow).set_recv_buffer_size(64 << 10).expect("set");
    let ids = (0..REQUESTS).map(|n| format!("unsized-{n}"));
    for id in ["held-first".to_string()].into_iter().chain(ids) {
        slow.write_all(request(&id).as_bytes()).expect("sent");
        assert_eq!(fixture.reports.recv_timeout(WAIT_TIMEOUT).expect("ran"), id);
    }
    fixture.held.lock().expect("held").remove(0).send(()).expect("released");

    let mut other = connect(&fixture.system);
    let mut reader = BufReader::new(other.try_clone().expect("cloned"));
    for n in 0..ROUND_TRIPS {
        other.write_all(request(&format!("other-{n}")).as_bytes()).expect("sent");
        assert_eq!(HttpMessage::read(&mut reader).expect("a response").status(), 200);
    }

    let mut reader = BufReader::new(&slow);
    assert_eq!(HttpMessage::read(&mut reader).expect("the first response").body, b"held-first");
    for n in 0..REQUESTS {
        let response = HttpMessage::read(&mut reader).unwrap_or_else(|| panic!("no response {n}"));
        assert_eq!((response.status(), response.body.len()), (200, LARGE_BODY_BYTES), "response {n}");
        assert_eq!(response.header("attempt-id"), format!("unsized-{n}"));
    }
}
