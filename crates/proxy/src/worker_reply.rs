//! Replies of workers: detection in the receive buffer, and relay to clients.

use std::io::{self, Write};
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_net::alarms::Alarms;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::http::{
    self, Extent, MAX_HEAD_BYTES, RequestMethod, ResponseBody, ResponseFraming, StreamState,
};
use lynxstair_net::ring_buffer::RingBuffer;
use lynxstair_routing::attempt::{AttemptEvent, ReplyHead, ReplyOwner};
use lynxstair_routing::locality_balancer::Worker;

use crate::cancellation::CancelToken;

/// Longest body with a declared length that is buffered until the reply is complete; a longer one is relayed
/// as it arrives.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Longest body without a declared length that is buffered until the reply is complete.
const MAX_BUFFERED_UNSIZED_BYTES: usize = (1 << 20) + MAX_HEAD_BYTES;
/// Bytes of a reply that are received at first: all of one that is buffered until it is complete, unless its body has
/// no declared length.
pub(crate) const MAX_FIRST_READ_BYTES: usize = MAX_BUFFERED_BODY_BYTES + 2 * MAX_HEAD_BYTES;
/// Headers that a worker must not restrict to its connection with the proxy.
const END_TO_END_HEADERS: [&str; 2] = ["attempt-id", "server-seal"];
/// Most bytes of a body that are written to the client's buffer at once.
pub const MAX_PIECE_BYTES: usize = 128 << 10;

/// A worker's reply that may be relayed to the client.
pub struct WorkerReply {
    pub(crate) connection: Arc<Connection>,
    pub(crate) worker: Arc<Worker>,
    /// HTTP status.
    pub status: u16,
    pub(crate) extent: Extent,
    /// Method of the request.
    pub(crate) method: RequestMethod,
    /// `Content-Length` for the client; `None` if the response has none.
    pub(crate) content_length: Option<usize>,
    /// Number of bytes of the received body that are relayed.
    pub(crate) relayed: usize,
    /// Number of body bytes that are not yet in the receive buffer.
    pub remaining: usize,
    /// Time until which the connection may be reused; `None` if it must be closed.
    pub(crate) reusable_until: Option<Time>,
}

/// A reply at the start of the receive buffer.
pub(crate) struct FoundReply {
    pub head: ReplyHead,
    pub extent: Extent,
    /// Number of body bytes that are not yet in the receive buffer.
    pub remaining: usize,
    /// `Content-Length` for the client; `None` if the response has none.
    pub content_length: Option<usize>,
    /// Idle time-out announced by the worker's `Keep-Alive` header.
    pub keep_alive: Option<Span>,
}

/// The parsed head of a reply.
struct ParsedHead {
    reply: ReplyHead,
    framing: ResponseFraming,
    keep_alive: Option<Span>,
}

/// Returns the first reply in the buffer if it is complete, or, for a long body, if its head is complete.
/// `method`: of the request.
pub(crate) fn find_reply(
    inbound: &mut RingBuffer,
    method: RequestMethod,
    attempt_id: &str,
    stream: StreamState,
) -> Result<Option<FoundReply>, AttemptEvent> {
    if inbound.is_empty() {
        return Ok(None);
    }
    let bytes = inbound.bytes();
    let Some(ParsedHead { mut reply, framing, keep_alive }) = parse_head(bytes, method, attempt_id)? else {
        return Ok(None);
    };
    let received = bytes.len() - framing.head;
    let max_body_bytes = match framing.body {
        // The caller checks the attempt id in the head before it relays a long body.
        ResponseBody::Length(length) if length > received && length > MAX_BUFFERED_BODY_BYTES => {
            let is_arriving = stream == StreamState::Open;
            return Ok(is_arriving.then(|| found_in_part(reply, framing, length, received, keep_alive)));
        }
        ResponseBody::Length(length) => length.max(MAX_BUFFERED_BODY_BYTES),
        ResponseBody::Absent { .. } | ResponseBody::Chunked | ResponseBody::UntilEnd => {
            MAX_BUFFERED_UNSIZED_BYTES
        }
    };
    let Ok(found) = framing.extent(bytes, stream, max_body_bytes) else {
        return Err(AttemptEvent::MalformedReply);
    };
    let Some(extent) = found else { return Ok(None) };
    reply.allows_reuse = extent.keep_alive && extent.total == inbound.len() && stream == StreamState::Open;
    let content_length = match framing.body {
        ResponseBody::Absent { content_length } => content_length,
        _ => Some(extent.body.len()),
    };
    Ok(Some(FoundReply { head: reply, extent, remaining: 0, content_length, keep_alive }))
}

/// Returns a reply whose long body has arrived in part. Its connection is not reused.
fn found_in_part(
    head: ReplyHead,
    framing: ResponseFraming,
    length: usize,
    received: usize,
    keep_alive: Option<Span>,
) -> FoundReply {
    let total = framing.head + received;
    let extent = Extent { head: framing.head, body: framing.head..total, total, keep_alive: false };
    FoundReply { head, extent, remaining: length - received, content_length: Some(length), keep_alive }
}

fn parse_head(
    bytes: &[u8],
    method: RequestMethod,
    attempt_id: &str,
) -> Result<Option<ParsedHead>, AttemptEvent> {
    let response = match http::parse_response_head(bytes, method) {
        Ok(Some(found)) => found,
        Ok(None) => return Ok(None),
        Err(_) => return Err(AttemptEvent::MalformedReply),
    };
    let headers = &response.headers;
    // Otherwise the client would get a response without its id or seal.
    if END_TO_END_HEADERS.iter().any(|name| headers.has_token("connection", name)) {
        return Err(AttemptEvent::MalformedReply);
    }
    let owner = match headers.single("attempt-id") {
        Ok(Some(id)) if id == attempt_id => ReplyOwner::Own,
        Ok(Some(_)) => ReplyOwner::Other,
        Ok(None) => ReplyOwner::Unidentified,
        Err(_) => ReplyOwner::Ambiguous,
    };
    Ok(Some(ParsedHead {
        reply: ReplyHead {
            owner,
            status: response.status,
            reports_not_run: headers.contains("not-run"),
            is_sealed: headers.contains("server-seal"),
            is_encoded: headers.contains("content-encoding"),
            allows_reuse: false,
        },
        framing: response.framing,
        keep_alive: headers.get("keep-alive").and_then(keep_alive_timeout),
    }))
}

/// Parses the `timeout` parameter of a `Keep-Alive` header.
fn keep_alive_timeout(value: &str) -> Option<Span> {
    let timeout = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    Some(Span::from_secs(timeout.parse().ok()?))
}

impl WorkerReply {
    /// Writes the head and the first piece of the received body, which for most replies is all of it.
    /// `connection_headers`: header lines about the client connection.
    pub fn write_head(&mut self, out: &mut RingBuffer, connection_headers: &str) -> io::Result<()> {
        let mut inbound = self.connection.inbound();
        let bytes = inbound.bytes();
        let Ok(Some(response)) = http::parse_response_head(&bytes[..self.extent.head], self.method) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let body = &bytes[self.extent.body.clone()];
        write!(out, "HTTP/1.1 {} {}\r\n", self.status, http::reason_phrase(self.status))?;
        if let Some(content_length) = self.content_length {
            write!(out, "Content-Length: {content_length}\r\n")?;
        }
        out.write_all(connection_headers.as_bytes())?;
        for (name, value) in response.headers.end_to_end() {
            http::write_header(out, name, value)?;
        }
        out.write_all(b"\r\n")?;
        self.relayed = body.len().min(MAX_PIECE_BYTES);
        out.write_all(&body[..self.relayed])
    }

    /// Relays the rest of the received body in pieces. Calls `wait_for_client` before each of them. Returns
    /// `false` if it could not be relayed completely.
    pub fn relay_received(
        &mut self,
        mut wait_for_client: impl FnMut() -> bool,
        mut write: impl FnMut(&[u8]) -> bool,
    ) -> bool {
        let body = self.extent.body.clone();
        while self.relayed < body.len() {
            // No lock is held during the wait.
            if !wait_for_client() {
                return false;
            }
            let start = body.start + self.relayed;
            let end = body.end.min(start + MAX_PIECE_BYTES);
            if !write(&self.connection.inbound().bytes()[start..end]) {
                return false;
            }
            self.relayed += end - start;
        }
        true
    }

    /// Relays the remaining part of a long body as it arrives. Returns `false` if it could not be relayed
    /// completely.
    pub fn relay_remaining(
        &mut self,
        alarms: &Alarms,
        deadline: Time,
        cancel: &CancelToken,
        mut wait_for_client: impl FnMut() -> bool,
        mut write: impl FnMut(&[u8]) -> bool,
    ) -> bool {
        if self.remaining == 0 {
            return true;
        }
        self.connection.inbound().consume(self.extent.total);
        self.extent = Extent::default();
        alarms.wake_connection(deadline, &self.connection);
        while self.remaining > 0 {
            // No lock is held during the wait.
            if !wait_for_client() {
                return false;
            }
            {
                let mut inbound = self.connection.inbound();
                let n = inbound.len().min(self.remaining).min(MAX_PIECE_BYTES);
                if n > 0 {
                    if !write(&inbound.bytes()[..n]) {
                        return false;
                    }
                    inbound.consume(n);
                    self.remaining -= n;
                    continue;
                }
            }
            // Bytes already in the kernel's receive buffer are relayed even after the deadline or a
            // cancellation.
            let is_over = cancel.is_cancelled() || alarms.now() >= deadline;
            let outcome = if is_over {
                self.connection.try_read().unwrap_or(ReadOutcome::Broken)
            } else {
                self.connection.read()
            };
            if outcome != ReadOutcome::Bytes && self.connection.inbound().is_empty() {
                return false;
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
