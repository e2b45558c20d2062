//! Requests: the head, and the end of the message.

use httparse::{EMPTY_HEADER, Status};

use super::headers::{Framing, Headers, MAX_HEADERS};
use super::{Extent, HttpError, MAX_HEAD_BYTES, framed_extent};

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

/// Finds the end of the request at the front of `bytes`; returns `None` if it is incomplete.
///
/// A complete chunked body is decoded in place. Fails if the message is malformed or the body exceeds
/// `max_body_bytes`.
pub fn request_extent(bytes: &mut [u8], max_body_bytes: usize) -> Result<Option<Extent>, HttpError> {
    let Some((request, head)) = parse_request_head(bytes)? else { return Ok(None) };
    let framing = request.headers.framing(request.is_http_1_0)?.unwrap_or(Framing::Length(0));
    let has_connection_token = |token| request.headers.has_token("connection", token);
    let keep_alive =
        !has_connection_token("close") && (!request.is_http_1_0 || has_connection_token("keep-alive"));
    framed_extent(bytes, head, framing, keep_alive, max_body_bytes)
}
