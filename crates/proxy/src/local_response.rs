//! Responses that the proxy gives itself.

use std::io;

use lynxstair::types::Span;
use lynxstair_net::http;
use lynxstair_net::ring_buffer::RingBuffer;

/// The shortest time to come back after, in seconds: 0 would mean at once.
const MIN_RETRY_AFTER_S: f64 = 0.001;

/// A response without a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct LocalResponse {
    /// Its status.
    pub status: u16,
    /// Why, for its body.
    pub reason: &'static str,
    /// When the client may come back.
    pub retry_after: Option<Span>,
}

impl LocalResponse {
    /// A final response.
    pub fn new(status: u16, reason: &'static str) -> LocalResponse {
        LocalResponse { status, reason, retry_after: None }
    }

    /// A response that asks the client to come back.
    pub fn retry_after(status: u16, reason: &'static str, after: Span) -> LocalResponse {
        LocalResponse { status, reason, retry_after: Some(after) }
    }

    /// Writes it. `connection`: the header lines that tell how long the connection stays, where `keep_alive`.
    pub fn write(
        &self,
        out: &mut RingBuffer,
        attempt_id: Option<&str>,
        connection: &str,
        keep_alive: bool,
    ) -> io::Result<()> {
        // `write_response` says itself that a connection closes.
        let mut headers = if keep_alive { connection.to_string() } else { String::new() };
        if let Some(wait) = self.retry_after {
            headers.push_str(&format!("Retry-After: {:.3}\r\n", wait.secs().max(MIN_RETRY_AFTER_S)));
        }
        if let Some(attempt_id) = attempt_id.filter(|id| !id.is_empty()) {
            headers.push_str(&format!("Attempt-Id: {attempt_id}\r\n"));
        }
        http::write_response(out, self.status, &headers, self.reason, keep_alive)
    }
}
