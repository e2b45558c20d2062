//! Writing of headers and of responses.

use std::io::{self, Write};

use crate::ring_buffer::RingBuffer;

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
