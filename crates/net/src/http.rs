//! HTTP/1.1 messages: where they end, what their heads say, writing responses. Nothing here knows a peer's own headers.

mod chunked;
mod headers;

use std::fmt;
use std::io::{self, Write};
use std::ops::Range;

use httparse::{EMPTY_HEADER, Status};

use crate::ring_buffer::RingBuffer;

pub use chunked::chunk_at;
pub use headers::Headers;
use headers::{Framing, MAX_HEADERS};

/// The longest body, where a caller sets no other limit, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// What a connection may hold of one direction, in bytes: a message and the framing of its body.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 2 * MAX_HEAD_BYTES;

/// What is wrong with a message. The same message is wrong each time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The status that tells it to the sender.
    pub status: u16,
    /// Why.
    pub reason: &'static str,
}

impl HttpError {
    /// An error with this status.
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

/// How far the connection that a response comes on has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// More may come.
    Open,
    /// The other side has ended its sending in order.
    Ended,
    /// It broke, by a reset, by silence or closed here: what came may lack its end.
    Broken,
}

/// Where the parts of a complete message lie, which begins at the front of a buffer. All in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Extent {
    /// The length of the head.
    pub head: usize,
    /// The body.
    pub body: Range<usize>,
    /// The length of all that the message takes up; more than its parts where the body came in chunks.
    pub total: usize,
    /// Whether the connection may carry another message.
    pub keep_alive: bool,
}

/// The head of a request.
pub struct RequestHead<'a> {
    /// HTTP/1.0, where a connection carries one message unless it says otherwise.
    is_http_1_0: bool,
    /// The method.
    pub method: &'a str,
    /// The target: path and query.
    pub target: &'a str,
    /// Its headers.
    pub headers: Headers<'a>,
}

/// The head of a response.
pub struct ResponseHead<'a> {
    is_http_1_0: bool,
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers<'a>,
}

/// Parses the head of a request, once it is complete; with its length.
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

/// Parses the head of a response, once it is complete; with its length.
pub fn parse_response_head(bytes: &[u8]) -> Result<Option<(ResponseHead<'_>, usize)>, HttpError> {
    let mut all = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut all);
    match parsed.parse(bytes) {
        Ok(Status::Complete(length)) => {
            let status = parsed.code.unwrap_or(0);
            let count = parsed.headers.len();
            let is_http_1_0 = parsed.version == Some(0);
            let headers = Headers::new(all, count);
            Ok(Some((ResponseHead { is_http_1_0, status, headers }, length)))
        }
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(HttpError::new(502, "malformed answer")),
    }
}

/// Where a request ends, once it is complete. A chunked body is put together in place. `max_body_bytes`: the longest body.
pub fn request_extent(bytes: &mut [u8], max_body_bytes: usize) -> Result<Option<Extent>, HttpError> {
    let Some((request, head)) = parse_request_head(bytes)? else { return Ok(None) };
    let framing = request.headers.framing()?.unwrap_or(Framing::Length(0));
    let says = |token| request.headers.has_token("connection", token);
    let keep_alive = !says("close") && (!request.is_http_1_0 || says("keep-alive"));
    extent(bytes, head, framing, keep_alive, max_body_bytes)
}

/// Where a response ends, once it is complete: the one place that says so. By its length, by its last chunk, or, where it has
/// neither, by an orderly end of the connection only; a response that a reset or silence cut short is never complete.
/// `max_body_bytes`: the longest body; a response that says to be longer is an error at once.
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
            if is_too_large { Err(HttpError::new(502, "answer too large")) } else { Ok(None) }
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
    max_body_bytes: usize,
) -> Result<Option<Extent>, HttpError> {
    let (body, taken) = match framing {
        Framing::Length(length) if length > max_body_bytes => {
            return Err(HttpError::new(413, "body too large"));
        }
        Framing::Length(length) => (length, length),
        Framing::Chunked | Framing::UntilEnd => match chunked::decode(&mut bytes[head..], max_body_bytes)? {
            Some(decoded) => (decoded.body, decoded.taken),
            None => return Ok(None),
        },
    };
    if bytes.len() < head + taken {
        return Ok(None);
    }
    Ok(Some(Extent { head, body: head..head + body, total: head + taken, keep_alive }))
}

/// Writes one header line.
pub fn write_header(out: &mut RingBuffer, name: &str, value: &[u8]) -> io::Result<()> {
    out.write_all(name.as_bytes())?;
    out.write_all(b": ")?;
    out.write_all(value)?;
    out.write_all(b"\r\n")
}

/// Writes a response of the program itself. `headers`: complete header lines.
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

/// The reason phrase of a status.
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
