//! Responses: validation of the head, and the end of the message (RFC 9110, section 15; RFC 9112, sections 4 to 8).
//!
//! A head that [`parse_response_head`] returns has a valid status, valid field lines and an unambiguous body.
//! Everything else is an error as soon as it can be known, however the bytes are divided into reads.

use std::ops::RangeInclusive;

use httparse::{EMPTY_HEADER, Status};

use super::headers::{Framing, Headers, MAX_HEADERS};
use super::{Extent, HttpError, MAX_HEAD_BYTES, framed_extent};

/// Valid status codes (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
/// Status codes of interim responses, which a final response follows.
const INTERIM_STATUS_CODES: RangeInclusive<u16> = 100..=199;
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const RESET_CONTENT: u16 = 205;
const NOT_MODIFIED: u16 = 304;

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

/// Method of the request that a response answers, as far as the response depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestMethod {
    /// `HEAD`: the response has no body.
    Head,
    /// `CONNECT`: a successful response would start a tunnel, which is not supported.
    Connect,
    /// Any other method.
    Other,
}

impl From<&str> for RequestMethod {
    fn from(method: &str) -> RequestMethod {
        match method {
            "HEAD" => RequestMethod::Head,
            "CONNECT" => RequestMethod::Connect,
            _ => RequestMethod::Other,
        }
    }
}

/// Body of a response, as its head announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseBody {
    /// No body follows the head, whatever its fields say. `content_length`: length of the body that another
    /// request would get, if the head has one.
    Absent {
        /// `Content-Length`, in bytes.
        content_length: Option<usize>,
    },
    /// Body of this length, in bytes.
    Length(usize),
    /// Chunked body.
    Chunked,
    /// Body up to the end of the connection.
    UntilEnd,
}

/// Position of a response's end, as its head determines it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseFraming {
    /// Length of the head, in bytes.
    pub head: usize,
    /// Body that follows the head.
    pub body: ResponseBody,
    /// `true` if the connection may carry another response.
    pub keep_alive: bool,
    /// `true` if a body must be empty.
    forbids_content: bool,
}

/// Valid head of a response.
pub struct ResponseHead<'a> {
    /// Status code, 100 to 599 and not 101.
    pub status: u16,
    /// Headers.
    pub headers: Headers<'a>,
    /// End of the response.
    pub framing: ResponseFraming,
}

impl ResponseHead<'_> {
    /// Returns `true` for an interim response. It has no body, and another response to the same request
    /// follows it.
    pub fn is_interim(&self) -> bool {
        INTERIM_STATUS_CODES.contains(&self.status)
    }
}

/// Parses the head of the response to a request with `method`. Returns `None` if it is incomplete.
///
/// Fails if the head is no valid one: a status code outside 100 to 599, a malformed field line, lengths and transfer
/// codings from which the end of the body does not follow, a body that the status forbids, or a switch
/// to another protocol.
pub fn parse_response_head(
    bytes: &[u8],
    method: RequestMethod,
) -> Result<Option<ResponseHead<'_>>, HttpError> {
    let mut all = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut all);
    let length = match parsed.parse(bytes) {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(HttpError::new(502, "malformed response")),
    };
    let status = parsed.code.unwrap_or(0);
    let is_http_1_0 = parsed.version == Some(0);
    let count = parsed.headers.len();
    let headers = Headers::new(all, count);
    if !STATUS_CODES.contains(&status) {
        return Err(HttpError::new(502, "invalid status code"));
    }
    let framing = response_framing(length, status, is_http_1_0, &headers, method)?;
    Ok(Some(ResponseHead { status, headers, framing }))
}

/// Determines the end of a response (RFC 9112, section 6.3).
fn response_framing(
    head: usize,
    status: u16,
    is_http_1_0: bool,
    headers: &Headers,
    method: RequestMethod,
) -> Result<ResponseFraming, HttpError> {
    let announced = headers.framing(is_http_1_0)?;
    let has_content = !matches!(announced, None | Some(Framing::Length(0)));
    let content_length = match announced {
        Some(Framing::Length(length)) => Some(length),
        Some(Framing::Chunked) | None => None,
    };
    let is_success = (200..300).contains(&status);
    // A peer that announces a body may send it, although none may follow. The bytes would be taken for the next response.
    let mut may_be_followed = true;
    let body = match status {
        SWITCHING_PROTOCOLS => return Err(HttpError::new(502, "switch to another protocol")),
        _ if method == RequestMethod::Connect && is_success => {
            return Err(HttpError::new(502, "start of a tunnel"));
        }
        100..=199 | NO_CONTENT if has_content => {
            return Err(HttpError::new(502, "a body that the status forbids"));
        }
        100..=199 | NO_CONTENT => ResponseBody::Absent { content_length: None },
        _ if status == NOT_MODIFIED || method == RequestMethod::Head => {
            may_be_followed = !has_content;
            ResponseBody::Absent { content_length }
        }
        _ => match announced {
            Some(Framing::Length(length)) => ResponseBody::Length(length),
            Some(Framing::Chunked) => ResponseBody::Chunked,
            None => ResponseBody::UntilEnd,
        },
    };
    let is_last = is_http_1_0 || headers.has_token("connection", "close") || body == ResponseBody::UntilEnd;
    Ok(ResponseFraming {
        head,
        body,
        keep_alive: may_be_followed && !is_last,
        forbids_content: status == RESET_CONTENT,
    })
}

impl ResponseFraming {
    /// Finds the end of the response whose head is at the front of `bytes`; returns `None` if it is incomplete.
    ///
    /// A response ends by its length, by its last chunk or, if it has neither, by an orderly end of the
    /// connection. A response that a reset or a time-out cut short is never complete. A complete chunked body is
    /// decoded in place. Fails if the body is malformed, or as soon as it is known to exceed `max_body_bytes`.
    pub fn extent(
        &self,
        bytes: &mut [u8],
        stream: StreamState,
        max_body_bytes: usize,
    ) -> Result<Option<Extent>, HttpError> {
        let received = bytes.len() - self.head;
        let framing = match self.body {
            ResponseBody::Absent { .. } => Framing::Length(0),
            ResponseBody::Length(length) => Framing::Length(length),
            ResponseBody::Chunked => Framing::Chunked,
            ResponseBody::UntilEnd if received > max_body_bytes => {
                return Err(HttpError::new(502, "response too large"));
            }
            ResponseBody::UntilEnd if stream != StreamState::Ended => return Ok(None),
            ResponseBody::UntilEnd => Framing::Length(received),
        };
        let extent = framed_extent(bytes, self.head, framing, self.keep_alive, max_body_bytes)?;
        match extent {
            Some(extent) if self.forbids_content && !extent.body.is_empty() => {
                Err(HttpError::new(502, "a body that the status forbids"))
            }
            extent => Ok(extent),
        }
    }
}

/// Finds the end of the response at the front of `bytes`; returns `None` if it is incomplete.
///
/// Combines [`parse_response_head`] and [`ResponseFraming::extent`], and fails as they do.
pub fn response_extent(
    bytes: &mut [u8],
    method: RequestMethod,
    stream: StreamState,
    max_body_bytes: usize,
) -> Result<Option<Extent>, HttpError> {
    match parse_response_head(bytes, method)? {
        Some(ResponseHead { framing, .. }) => framing.extent(bytes, stream, max_body_bytes),
        None => Ok(None),
    }
}
