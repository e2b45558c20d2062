use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::thread;

use lynxstair_export::{Batch, BatchReply, StreamId};
use lynxstair_leases::Epoch;

use super::SinkClient;

/// Reply of a sink that has stored a batch.
const STORED: &str = r#"{"says":"taken","again":false}"#;

/// Sends a batch to a sink that answers with `response`. Returns the reply; `None` for an error.
fn send_batch(response: String) -> Option<BatchReply> {
    let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("bound");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { panic!("not an IPv4 address") };
    let sink = thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        let mut lines = BufReader::new(&stream).lines();
        lines.find(|line| line.as_ref().is_ok_and(String::is_empty)).expect("a head").expect("read");
        (&stream).write_all(response.as_bytes()).expect("written");
    });
    let stream = StreamId { gatekeeper: "g1".to_string(), directory_id: 7 };
    let batch = Batch { stream, number: 1, sums: Vec::new(), unreadable_records: 0 };
    let reply = SinkClient::new(address).send_batch(Epoch(1), &batch);
    sink.join().expect("served");
    reply.ok()
}

/// Guards against replies that are taken for an acknowledgement although they are no valid responses, or are
/// responses with another status (issue 67).
#[test]
fn only_valid_responses_acknowledge_a_batch() {
    let length = STORED.len();
    let stored = Some(BatchReply::Accepted { already_stored: false });
    let cases = [
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{STORED}"), &stored),
        (
            format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{STORED}\r\n0\r\n\r\n"
            ),
            &stored,
        ),
        (format!("HTTP/1.1 200 OK\r\n\r\n{STORED}"), &stored),
        (
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{STORED}"
            ),
            &stored,
        ),
        (format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{STORED}"), &None),
        (format!("HTTP/1.1 500 No\r\nContent-Length: {length}\r\n\r\n{STORED}"), &None),
        (format!("HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: {length}\r\n\r\n{STORED}"), &None),
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{STORED}", length + 1), &None),
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nContent-Length: 1\r\n\r\n{STORED}"), &None),
    ];
    let has_failed =
        |(response, expected): &(String, &Option<BatchReply>)| send_batch(response.clone()) != **expected;
    let failures: Vec<_> = cases.into_iter().filter(has_failed).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
