//! Responses that are no valid HTTP/1.1, and valid ones, at once and byte by byte.

use lynxstair_fakes::{broken_replies, sound_replies};
use lynxstair_net::http::{
    HttpError, MAX_HEAD_BYTES, RequestMethod, StreamState, parse_response_head, response_extent,
};

const MAX_BODY_BYTES: usize = 1 << 21;

/// Status and body of a final response, and the number of bytes up to its end.
#[derive(Debug, PartialEq)]
struct Found {
    status: u16,
    body: Vec<u8>,
    end: usize,
    keep_alive: bool,
}

/// Reads the first final response, as the readers of responses do.
fn read_final(bytes: &[u8], method: RequestMethod, stream: StreamState) -> Result<Option<Found>, HttpError> {
    let mut start = 0;
    loop {
        let mut rest = bytes[start..].to_vec();
        let Some(extent) = response_extent(&mut rest, method, stream, MAX_BODY_BYTES)? else {
            return Ok(None);
        };
        let head = parse_response_head(&rest[..extent.head], method)?.expect("complete");
        start += extent.total;
        if !head.is_interim() {
            let body = rest[extent.body].to_vec();
            return Ok(Some(Found { status: head.status, body, end: start, keep_alive: extent.keep_alive }));
        }
    }
}

/// However many bytes have arrived, and also after an orderly end, a broken reply is no response. An error stays one.
#[test]
fn broken_replies_are_never_responses() {
    for reply in broken_replies() {
        let bytes = reply.bytes("id");
        let mut has_failed = false;
        for received in 0..=bytes.len() {
            let found = read_final(&bytes[..received], RequestMethod::Other, StreamState::Open);
            assert!(!matches!(found, Ok(Some(_))), "{}: {found:?} after {received} bytes", reply.name);
            assert!(!has_failed || found.is_err(), "{}: no error after {received} bytes", reply.name);
            has_failed = found.is_err();
        }
        let found = read_final(&bytes, RequestMethod::Other, StreamState::Ended);
        assert!(!matches!(found, Ok(Some(_))), "{}: {found:?} after the end", reply.name);
        // Otherwise a client would wait up to its deadline.
        assert!(has_failed || reply.closes, "{}: still waits for more bytes", reply.name);
    }
}

/// A valid response is found with its last byte, or at the end of the connection if it has no length.
#[test]
fn sound_replies_are_found_with_their_last_byte() {
    for reply in sound_replies() {
        let bytes = reply.bytes("id");
        let method = RequestMethod::from(reply.method);
        // Every byte of a short reply, and the last ones of a long one.
        let first_cut = if bytes.len() > 5_000 { bytes.len() - 500 } else { 0 };
        for received in first_cut..bytes.len() {
            let found = read_final(&bytes[..received], method, StreamState::Open);
            assert_eq!(found, Ok(None), "{} after {received} bytes", reply.name);
        }
        let stream = if reply.closes { StreamState::Ended } else { StreamState::Open };
        let found = read_final(&bytes, method, stream).expect("valid").expect("complete");
        let expected = Found {
            status: reply.status,
            body: reply.body.clone(),
            end: bytes.len(),
            keep_alive: reply.allows_reuse,
        };
        assert_eq!(found, expected, "{}", reply.name);
    }
}

#[test]
fn only_status_codes_from_100_to_599_are_valid() {
    for status in 0..=999 {
        let text = format!("HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response_head(text.as_bytes(), RequestMethod::Other);
        // Nobody requests another protocol.
        let is_valid = (100..=599).contains(&status) && status != 101;
        assert_eq!(parsed.is_ok_and(|head| head.is_some()), is_valid, "{status}");
    }
}

/// Each byte at each position of a name and of a value that is longer than any vector register. Guards against
/// differences between the vectorized parsers of processors.
#[test]
fn names_are_tokens_and_values_have_no_control_bytes() {
    const LENGTH: usize = 70;
    let parses = |name: &[u8], value: &[u8]| {
        let text = [b"HTTP/1.1 200 OK\r\n", name, b": ", value, b"\r\nContent-Length: 0\r\n\r\n"].concat();
        parse_response_head(&text, RequestMethod::Other).is_ok_and(|head| head.is_some())
    };
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    let is_value = |byte: u8| byte == b'\t' || byte >= b' ' && byte != 0x7f;
    // A line feed ends a line, also without a carriage return.
    for byte in (0..=u8::MAX).filter(|byte| *byte != b'\n') {
        for position in 0..LENGTH {
            let mut text = [b'a'; LENGTH];
            text[position] = byte;
            // A colon ends the name; the rest belongs to the value.
            let is_name = is_token(byte) || byte == b':' && position > 0;
            assert_eq!(parses(&text, b"v"), is_name, "byte {byte} at {position} of a name");
            assert_eq!(parses(b"n", &text), is_value(byte), "byte {byte} at {position} of a value");
        }
    }
}

/// The limit on a head does not depend on how its bytes arrive.
#[test]
fn long_heads_are_rejected_at_once_and_byte_by_byte() {
    let head_of = |length: usize| {
        let (start, end) = ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nFill: ", "\r\n\r\n");
        format!("{start}{}{end}", "f".repeat(length - start.len() - end.len()))
    };
    let longest = head_of(MAX_HEAD_BYTES);
    let parsed = parse_response_head(longest.as_bytes(), RequestMethod::Other);
    assert_eq!(parsed.ok().flatten().map(|head| head.framing.head), Some(MAX_HEAD_BYTES));
    let too_long = head_of(MAX_HEAD_BYTES + 1);
    assert!(parse_response_head(too_long.as_bytes(), RequestMethod::Other).is_err(), "at once");
    let is_found = |received: usize| {
        parse_response_head(&too_long.as_bytes()[..received], RequestMethod::Other)
            .is_ok_and(|head| head.is_some())
    };
    assert!(!(MAX_HEAD_BYTES - 10..=too_long.len()).any(is_found), "byte by byte");
}

#[test]
fn heads_have_at_most_64_fields() {
    let parses = |fields: usize| {
        let text = format!("HTTP/1.1 200 OK\r\n{}\r\n", "N: v\r\n".repeat(fields));
        parse_response_head(text.as_bytes(), RequestMethod::Other).is_ok_and(|head| head.is_some())
    };
    assert_eq!([63, 64, 65].map(parses), [true, true, false]);
}

/// A success would turn the connection into a tunnel to the worker.
#[test]
fn a_connect_request_gets_no_successful_response() {
    let parse = |status: u16| {
        let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        parse_response_head(text.as_bytes(), RequestMethod::Connect).is_ok_and(|head| head.is_some())
    };
    assert!(!parse(200) && !parse(204));
    assert!(parse(405) && parse(502));
}
