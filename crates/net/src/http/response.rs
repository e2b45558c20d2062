//! Responses: the head, and the end of the message.

use std::ops::RangeInclusive;

use httparse::{EMPTY_HEADER, Status};

use super::headers::{Framing, Headers, MAX_HEADERS};
use super::{Extent, HttpError, MAX_HEAD_BYTES, framed_extent};

/// Valid status codes (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

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

/// Head of a response.
pub struct ResponseHead<'a> {
    is_http_1_0: bool,
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Headers<'a>,
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
        false => response.headers.framing(response.is_http_1_0)?.unwrap_or(Framing::UntilEnd),
    };
    let keep_alive = !response.is_http_1_0 && !response.headers.has_token("connection", "close");
    match framing {
        Framing::UntilEnd if stream != StreamState::Ended => {
            let is_too_large = bytes.len() - head > max_body_bytes;
            if is_too_large { Err(HttpError::new(502, "response too large")) } else { Ok(None) }
        }
        Framing::UntilEnd => {
            framed_extent(bytes, head, Framing::Length(bytes.len() - head), false, max_body_bytes)
        }
        framing => framed_extent(bytes, head, framing, keep_alive, max_body_bytes),
    }
}
