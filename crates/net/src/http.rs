//! HTTP/1.1 messages: parsing heads, finding the ends of messages, writing responses.

mod chunked;
mod headers;
mod request;
mod response;
mod write;

use std::fmt;
use std::ops::Range;

pub use chunked::{Chunk, chunk_at};
use headers::Framing;
pub use headers::Headers;
pub use request::{RequestHead, parse_request_head, request_extent};
pub use response::{
    RequestMethod, ResponseBody, ResponseFraming, ResponseHead, StreamState, parse_response_head,
    response_extent,
};
pub use write::{reason_phrase, write_header, write_response};

/// Default limit on the length of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit on the length of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Buffer size for a message and the framing of its body, in bytes.
pub const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 2 * MAX_HEAD_BYTES;

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

/// Finds the end of the message whose head has `head` bytes; returns `None` if it is incomplete.
fn framed_extent(
    bytes: &mut [u8],
    head: usize,
    framing: Framing,
    keep_alive: bool,
    max_body: usize,
) -> Result<Option<Extent>, HttpError> {
    let (body, encoded_len) = match framing {
        Framing::Length(length) if length > max_body => return Err(HttpError::new(413, "body too large")),
        Framing::Length(length) => (length, length),
        Framing::Chunked => match chunked::decode(&mut bytes[head..], max_body)? {
            Some(decoded) => (decoded.body, decoded.encoded_len),
            None => return Ok(None),
        },
    };
    if bytes.len() < head + encoded_len {
        return Ok(None);
    }
    Ok(Some(Extent { head, body: head..head + body, total: head + encoded_len, keep_alive }))
}

#[cfg(test)]
mod tests;
