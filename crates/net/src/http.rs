//! HTTP/1.1 messages: finding the end of a message, parsing its head, writing responses.

mod chunked;
mod headers;

use std::fmt;
use std::io::{self, Write};
use std::ops::{Range, RangeInclusive};

use httparse::{EMPTY_HEADER, Status};

use crate::ring_buffer::RingBuffer;

pub use chunked::chunk_at;
pub use headers::Headers;
use headers::{Framing, MAX_HEADERS};

/// Default limit on the length of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit on the length of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Buffer size for a message and the framing of its body, in bytes.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 2 * MAX_HEAD_BYTES;

/// Valid status codes (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Error in a message. It is permanent: the same message always fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// Status of the response to the sender.
    pub status: u16,
    /// Description of the error.
    pub reason: &'static str,
}

impl HttpError {
    /// Creates an error.
    pub const fn new(status: u16, reason: &'static str) -> HttpError {
        HttpError { status, reason }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.status, self.reason)
    }
}

impl std::error::Error for HttpError {}

/// State of the connection on which a response is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// More bytes may be received.
    Open,
    /// The peer has closed its sending direction in order.
    Ended,
    /// The connection was reset, timed out or was closed by this side: the received bytes may be incomplete.
    Broken,
}

/// Layout of a complete message at the front of a buffer, in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Extent {
    /// Length of the head.
    pub head: usize,
    /// Range of the decoded body.
    pub body: Range<usize>,
    /// Length of the whole message. A chunked body takes more than its decoded length.
    pub total: usize,
    /// `true` if the connection may carry another message.
    pub keep_alive: bool,
}

/// Head of a request.
pub struct RequestHead<'a> {
    /// `true` for HTTP/1.0, where a connection carries one message unless `keep-alive` is given.
    is_http_1_0: bool,
    /// Method.
    pub method: &'a str,
    /// Request target: path and query.
    pub target: &'a str,
    /// Headers.
    pub headers: Headers<'a>,
}

/// Head of a response.
pub struct ResponseHead<'a> {
    is_http_1_0: bool,
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Headers<'a>,
}

/// Parses the head of a request. Returns it with its length, or `None` if it is incomplete.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<(RequestHead<'_>, usize)>, HttpError> {
    let mut all = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut all);
    let length = match parsed.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::new(431, "head too large")),
        Err(_) => return Err(HttpError::new(400, "malformed")),
    };
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let count = parsed.headers.len();
    let is_http_1_0 = parsed.version == Some(0);
    let headers = Headers::new(all, count);
    Ok(Some((RequestHead { is_http_1_0, method, target, headers }, length)))
}

/// Parses the head of a response. Returns it with its length, or `None` if it is incomplete.
///
/// Fails if the head is malformed or its status code is not one of 100 to 599.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<(ResponseHead<'_>, usize)>, HttpError> {
    let mut all = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut all);
    match parsed.parse(bytes) {
        Ok(Status::Complete(length)) => {
            let status = parsed.code.unwrap_or(0);
            if !STATUS_CODES.contains(&status) {
                return Err(HttpError::new(502, "invalid status code"));
            }
            let count = parsed.headers.len();
            let is_http_1_0 = parsed.version == Some(0);
            let headers = Headers::new(all, count);
            Ok(Some((ResponseHead { is_http_1_0, status, headers }, length)))
        }
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(HttpError::new(502, "malformed response")),
    }
}

/// Finds the end of the request at the front of `bytes`; returns `None` if it is incomplete.
///
/// A complete chunked body is decoded in place. Fails if the message is malformed or the body exceeds
/// `max_body_bytes`.
pub fn request_extent(bytes: &mut [u8], max_body_bytes: usize) -> Result<Option<Extent>, HttpError> {
    let Some((request, head)) = parse_request_head(bytes)? else { return Ok(None) };
    let framing = request.headers.framing()?.unwrap_or(Framing::Length(0));
    let has_connection_token = |token| request.headers.has_token("connection", token);
    let keep_alive =
        !has_connection_token("close") && (!request.is_http_1_0 || has_connection_token("keep-alive"));
    extent(bytes, head, framing, keep_alive, max_body_bytes)
}

/// Finds the end of the response at the front of `bytes`; returns `None` if it is incomplete.
///
/// A response ends by its length, by its last chunk or, if it has neither, by an orderly end of the
/// connection. A response that a reset or a time-out cut short is never complete. A complete chunked body is
/// decoded in place. Fails if the message is malformed, or as soon as its body is known to exceed
/// `max_body_bytes`.
pub fn response_extent(
    bytes: &mut [u8],
    stream: StreamState,
    max_body_bytes: usize,
) -> Result<Option<Extent>, HttpError> {
    let Some((response, head)) = parse_response_head(bytes)? else { return Ok(None) };
    let has_no_body = response.status < 200 || matches!(response.status, 204 | 304);
    let framing = match has_no_body {
        true => Framing::Length(0),
        false => response.headers.framing()?.unwrap_or(Framing::UntilEnd),
    };
    let keep_alive = !response.is_http_1_0 && !response.headers.has_token("connection", "close");
    match framing {
        Framing::UntilEnd if stream != StreamState::Ended => {
            let is_too_large = bytes.len() - head > max_body_bytes;
            if is_too_large { Err(HttpError::new(502, "response too large")) } else { Ok(None) }
        }
        Framing::UntilEnd => extent(bytes, head, Framing::Length(bytes.len() - head), false, max_body_bytes),
        framing => extent(bytes, head, framing, keep_alive, max_body_bytes),
    }
}

fn extent(
    bytes: &mut [u8],
    head: usize,
    framing: Framing,
    keep_alive: bool,
    max_body: usize,
) -> Result<Option<Extent>, HttpError> {
    let (body, encoded_len) = match framing {
        Framing::Length(length) if length > max_body => return Err(HttpError::new(413, "body too large")),
        Framing::Length(length) => (length, length),
        Framing::Chunked | Framing::UntilEnd => match chunked::decode(&mut bytes[head..], max_body)? {
            Some(decoded) => (decoded.body, decoded.encoded_len),
            None => return Ok(None),
        },
    };
    if bytes.len() < head + encoded_len {
        return Ok(None);
    }
    Ok(Some(Extent { head, body: head..head + body, total: head + encoded_len, keep_alive }))
}

/// Writes a header line.
pub fn write_header(out: &mut RingBuffer, name: &str, value: &[u8]) -> io::Result<()> {
    out.write_all(name.as_bytes())?;
    out.write_all(b": ")?;
    out.write_all(value)?;
    out.write_all(b"\r\n")
}

/// Writes a response with a text body. `headers` holds complete header lines.
pub fn write_response(
    out: &mut RingBuffer,
    status: u16,
    headers: &str,
    body: &str,
    keep_alive: bool,
) -> io::Result<()> {
    let connection = if keep_alive { "" } else { "Connection: close\r\n" };
    let (reason, length) = (reason_phrase(status), body.len());
    write!(out, "HTTP/1.1 {status} {reason}\r\n{headers}{connection}Content-Length: {length}\r\n\r\n{body}")
}

/// Reason phrase of a status code; `Error` for an unlisted one.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        307 => "Temporary Redirect",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests;
