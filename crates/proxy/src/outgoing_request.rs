//! Serialization of a request for a worker.

use std::io::{self, Write};

use lynxstair::types::Time;
use lynxstair_net::http;
use lynxstair_net::ring_buffer::RingBuffer;
use lynxstair_routing::locality_balancer::Worker;

/// Headers of the client that are not copied: the proxy sets them itself, except for `Authorization`, which
/// workers never get. `Attempt-Id` is set explicitly because a client may list it in `Connection`, which
/// would drop it.
const OWN_HEADERS: [&str; 5] = ["attempt-id", "time-left-ms", "target-instance", "tenant", "authorization"];

/// A request to forward to a worker.
pub struct OutgoingRequest<'a> {
    /// Head of the client's request.
    pub head: &'a http::RequestHead<'a>,
    /// Body of the request.
    pub body: &'a [u8],
    /// Tenant that owns the API key, if the route needs one.
    pub tenant: Option<&'a str>,
    /// Attempt id chosen by the client.
    pub attempt_id: &'a str,
    /// Returns `true` if the request may still go to this worker. Called right before it is sent.
    pub may_forward: &'a dyn Fn(Time) -> bool,
}

impl OutgoingRequest<'_> {
    /// Writes the request with the proxy's own headers, without hop-by-hop headers and without the API key.
    pub(crate) fn write(&self, out: &mut RingBuffer, worker: &Worker, time_left_ms: u64) -> io::Result<()> {
        let head = self.head;
        write!(
            out,
            "{} {} HTTP/1.1\r\nAttempt-Id: {}\r\nTime-Left-Ms: {time_left_ms}\r\nTarget-Instance: {}\r\n",
            head.method, head.target, self.attempt_id, worker.id
        )?;
        if let Some(tenant) = self.tenant {
            write!(out, "Tenant: {tenant}\r\n")?;
        }
        if !self.body.is_empty() || !matches!(head.method, "GET" | "HEAD" | "DELETE") {
            write!(out, "Content-Length: {}\r\n", self.body.len())?;
        }
        for (name, value) in head.headers.end_to_end() {
            if !OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own)) {
                http::write_header(out, name, value)?;
            }
        }
        out.write_all(b"\r\n")?;
        out.write_all(self.body)
    }
}
