//! Writing of headers and of responses.

use std::io::{self, Write};

use super::RequestMethod;
use crate::ring_buffer::RingBuffer;

/// Writes a header line.
pub fn write_header(out: &mut RingBuffer, name: &str, value: &[u8]) -> io::Result<()> {
    out.write_all(name.as_bytes())?;
    out.write_all(b": ")?;
    out.write_all(value)?;
    out.write_all(b"\r\n")
}

/// Writes the response to a request with `method`, with a text body. `headers` holds complete header lines.
///
/// The response to `HEAD` has the length of the body but not the body, which would be taken for the beginning of the
/// next response.
pub fn write_response(
    out: &mut RingBuffer,
    method: RequestMethod,
    status: u16,
    headers: &str,
    body: &str,
    keep_alive: bool,
) -> io::Result<()> {
    let connection = if keep_alive { "" } else { "Connection: close\r\n" };
    let (reason, length) = (reason_phrase(status), body.len());
    let body = if method == RequestMethod::Head { "" } else { body };
    write!(out, "HTTP/1.1 {status} {reason}\r\n{headers}{connection}Content-Length: {length}\r\n\r\n{body}")
}

/// Reason phrase of a status code; empty for an unlisted one.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        205 => "Reset Content",
        206 => "Partial Content",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
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
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    }
}
