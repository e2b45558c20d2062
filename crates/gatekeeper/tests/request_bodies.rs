//! Requests whose body has no certain end.

mod support;

use support::{TestEnv, request_text};

const ID: &str = "00000000000000ff";
const CHUNKS: &str = "4\r\nbody\r\n0\r\n\r\n";

/// Returns a request with these codings and this encoded body.
fn encoded(codings: &str, body: &str) -> String {
    let request = request_text("put", "wide", ID, 800);
    let head = request.strip_suffix("body").expect("a body");
    head.replace("Content-Length: 4", &format!("Transfer-Encoding: {codings}")) + body
}

/// Guards against bodies that reach a worker in another form than the client sent, and against the rest of a body that is
/// taken for the next request.
#[test]
fn requests_with_ambiguous_bodies_are_rejected() {
    let env = TestEnv::new(2, 0, Some(1.0));
    let cases = [
        encoded("gzip, chunked", CHUNKS),
        encoded("chunked, gzip", CHUNKS),
        encoded("chunked\r\nTransfer-Encoding: chunked", CHUNKS),
        encoded("chunked", CHUNKS).replace("HTTP/1.1", "HTTP/1.0"),
        encoded("chunked", "4\r\nbody\r\n\r\n\r\n"),
        encoded("chunked", "4\r\nbody\r\n;x\r\n\r\n"),
        encoded("chunked", "4 \r\nbody\r\n0\r\n\r\n"),
        encoded("chunked", "4;x\n\r\nbody\r\n0\r\n\r\n"),
        encoded("chunked", "4\r\nbody\r\n0\r\nmore\r\n\r\n"),
    ];
    let statuses = cases.clone().map(|text| env.send(&text).unwrap_or_default().status());
    assert_eq!(statuses, cases.map(|_| 400));
    assert_eq!(env.log.attempts_of(ID).len(), 0);
}
