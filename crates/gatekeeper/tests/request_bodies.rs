//! Requests whose body has no certain end, and requests whose response has no body.

mod support;

use std::io::{BufReader, Write};

use lynxstair_fakes::HttpMessage;

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

/// Guards against a body in response to `HEAD`, which the client would take for the beginning of the next response.
#[test]
fn responses_to_head_have_no_body() {
    let env = TestEnv::new(1, 0, Some(1.0));
    let client = env.client();
    let rejected = request_text("get", "wide", ID, 800).replace("GET ", "HEAD ");
    let requests = format!("HEAD /up HTTP/1.1\r\n\r\n{rejected}GET /up HTTP/1.1\r\n\r\n");
    (&client).write_all(requests.as_bytes()).expect("sent");
    let mut reader = BufReader::new(&client);
    let responses = ["HEAD", "HEAD", "GET"].map(|method| {
        let response = HttpMessage::read_response_to(method, &mut reader).expect("a response");
        (response.status(), response.header("content-length").to_string(), response.body)
    });
    let expected = [(200, "3", ""), (405, "10", ""), (200, "3", "up\n")];
    assert_eq!(
        responses,
        expected.map(|(status, n, body)| (status, n.to_string(), body.as_bytes().to_vec()))
    );
}
