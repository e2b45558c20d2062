//! Replies of workers: finding them in what came in, and relaying them to clients.

use std::io::{self, Write};
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_net::alarms::Alarms;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::http::{self, Extent, HttpError, MAX_HEAD, StreamState};
use lynxstair_net::ring_buffer::RingBuffer;
use lynxstair_routing::attempt::{AttemptEvent, ReplyHead, ReplyOwner};
use lynxstair_routing::locality_balancer::Worker;

use crate::cancellation::CancelToken;

/// A reply with a body up to this long is held until it is complete; a longer one is relayed as it comes.
const MAX_HELD_BODY: usize = 64 << 10;
/// What is held of a reply that does not tell its length, until it is complete.
const MAX_HELD_UNSIZED: usize = (1 << 20) + MAX_HEAD;

/// A worker's reply that may be relayed.
pub struct WorkerReply {
    pub(crate) connection: Arc<Connection>,
    pub(crate) worker: Arc<Worker>,
    /// Its status.
    pub status: u16,
    pub(crate) extent: Extent,
    /// So many bytes of the body are still to come.
    pub remaining: usize,
    /// Until when the connection may be reused; None where it ends.
    pub(crate) reusable_until: Option<Time>,
}

/// A reply at the front of what came in.
pub(crate) struct FoundReply {
    pub head: ReplyHead,
    pub extent: Extent,
    /// So many bytes of the body are still to come.
    pub remaining: usize,
    /// How long the worker keeps the connection, where it says so.
    pub keep_alive: Option<Span>,
}

/// The head of a reply as the search goes by it.
struct ParsedHead {
    reply: ReplyHead,
    bytes: usize,
    /// The length of a body that is relayed as it comes.
    long_body: Option<usize>,
    keep_alive: Option<Span>,
}

/// The reply at the front, once it is complete, or, where it is long, once its head is.
pub(crate) fn find_reply(
    inbound: &mut RingBuffer,
    attempt_id: &str,
    stop: StreamState,
) -> Result<Option<FoundReply>, AttemptEvent> {
    if inbound.is_empty() {
        return Ok(None);
    }
    let bytes = inbound.bytes();
    let Some(ParsedHead { mut reply, bytes: head, long_body, keep_alive }) = parse_head(bytes, attempt_id)?
    else {
        return Ok(None);
    };
    let here = bytes.len() - head;
    match (http::response_extent(bytes, stop, MAX_HELD_UNSIZED), long_body) {
        (Ok(Some(extent)), _) => {
            reply.allows_reuse =
                extent.keep_alive && extent.total == inbound.len() && stop == StreamState::Open;
            Ok(Some(FoundReply { head: reply, extent, remaining: 0, keep_alive }))
        }
        // A long one is relayed as it comes, once it is known to be the right one.
        (Ok(None) | Err(HttpError { status: 413, .. }), Some(length))
            if stop == StreamState::Open && length > here =>
        {
            let extent = Extent { head, body: head..head + here, total: head + here, keep_alive: false };
            Ok(Some(FoundReply { head: reply, extent, remaining: length - here, keep_alive }))
        }
        (Ok(None), _) => Ok(None),
        (Err(_), _) => Err(AttemptEvent::MalformedReply),
    }
}

fn parse_head(bytes: &[u8], attempt_id: &str) -> Result<Option<ParsedHead>, AttemptEvent> {
    let (answer, head) = match http::parse_response_head(bytes) {
        Ok(Some(found)) => found,
        Ok(None) => return Ok(None),
        Err(_) => return Err(AttemptEvent::MalformedReply),
    };
    let headers = &answer.headers;
    let has = |name| headers.get(name).is_some();
    let owner = match headers.single("attempt-id") {
        Ok(Some(id)) if id == attempt_id => ReplyOwner::Own,
        Ok(Some(_)) => ReplyOwner::Other,
        Ok(None) => ReplyOwner::Unidentified,
        Err(_) => ReplyOwner::Ambiguous,
    };
    let length = headers.get("content-length").and_then(|l| l.parse::<usize>().ok());
    Ok(Some(ParsedHead {
        reply: ReplyHead {
            owner,
            status: answer.status,
            reports_not_run: has("not-run"),
            is_sealed: has("server-seal"),
            is_encoded: has("content-encoding"),
            allows_reuse: false,
        },
        bytes: head,
        long_body: length.filter(|l| *l > MAX_HELD_BODY && !has("transfer-encoding")),
        keep_alive: headers.get("keep-alive").and_then(keep_alive_timeout),
    }))
}

/// How long a worker keeps an idle connection, by its `Keep-Alive` header.
fn keep_alive_timeout(value: &str) -> Option<Span> {
    let timeout = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    Some(Span::from_secs(timeout.parse().ok()?))
}

impl WorkerReply {
    /// Writes the head and what is here of the body.
    pub fn write_head(&self, out: &mut RingBuffer, connection: &str) -> io::Result<()> {
        let mut inbound = self.connection.inbound();
        let bytes = inbound.bytes();
        let Ok(Some((answer, _))) = http::parse_response_head(&bytes[..self.extent.head]) else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let body = &bytes[self.extent.body.clone()];
        write!(out, "HTTP/1.1 {} {}\r\n", self.status, http::reason_phrase(self.status))?;
        let has_no_body = matches!(self.status, 204 | 304);
        if !has_no_body {
            write!(out, "Content-Length: {}\r\n", body.len() + self.remaining)?;
        }
        out.write_all(connection.as_bytes())?;
        for (name, value) in answer.headers.end_to_end() {
            http::write_header(out, name, value)?;
        }
        out.write_all(b"\r\n")?;
        out.write_all(body)
    }

    /// Relays the rest of a long body, a piece whenever there is room for it; false where it broke off.
    pub fn relay_rest(
        &mut self,
        alarms: &Alarms,
        deadline: Time,
        cancel: &CancelToken,
        mut wait_for_room: impl FnMut() -> bool,
        mut write: impl FnMut(&[u8]) -> bool,
    ) -> bool {
        self.connection.inbound().consume(self.extent.total);
        self.extent = Extent::default();
        alarms.wake_connection(deadline, &self.connection);
        while self.remaining > 0 {
            // Waited for with no lock held.
            if !wait_for_room() {
                return false;
            }
            {
                let mut inbound = self.connection.inbound();
                let n = inbound.len().min(self.remaining);
                if n > 0 {
                    if !write(&inbound.bytes()[..n]) {
                        return false;
                    }
                    inbound.consume(n);
                    self.remaining -= n;
                    continue;
                }
            }
            // What the kernel holds already counts, however late we look.
            let is_over = cancel.is_cancelled() || alarms.now() >= deadline;
            let got = if is_over {
                self.connection.try_read().unwrap_or(ReadOutcome::Broken)
            } else {
                self.connection.read()
            };
            if got != ReadOutcome::Bytes && self.connection.inbound().is_empty() {
                return false;
            }
        }
        true
    }
}
