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
    write_response_head(out, status, headers, body.len(), keep_alive)?;
    out.write_all(body.as_bytes())
}

/// Writes the head of a response. `headers` holds complete header lines. The body, of `content_length` bytes, must
/// follow unless the request was a `HEAD`.
pub fn write_response_head(
    out: &mut RingBuffer,
    status: u16,
    headers: &str,
    content_length: usize,
    keep_alive: bool,
) -> io::Result<()> {
    let connection = if keep_alive { "" } else { "Connection: close\r\n" };
    let reason = reason_phrase(status);
    write!(out, "HTTP/1.1 {status} {reason}\r\n{headers}{connection}Content-Length: {content_length}\r\n\r\n")
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
