//! A request as it is forwarded to a worker.

use std::io::{self, Write};

use lynxstair::types::Time;
use lynxstair_net::http;
use lynxstair_net::ring_buffer::RingBuffer;
use lynxstair_routing::locality_balancer::Worker;

/// Headers that the proxy writes itself. The attempt id is among them: a client may name it in `Connection`, and without
/// it nobody could tell whose a reply is.
const OWN_HEADERS: [&str; 5] = ["attempt-id", "time-left-ms", "target-instance", "tenant", "authorization"];

/// What is forwarded.
pub struct OutgoingRequest<'a> {
    /// The client's request.
    pub head: &'a http::RequestHead<'a>,
    /// Its body.
    pub body: &'a [u8],
    /// The tenant that its key belongs to.
    pub tenant: Option<&'a str>,
    /// The client's id of the attempt.
    pub attempt_id: &'a str,
    /// Asked right before the request is handed over: whether it may still go to this worker.
    pub may_forward: &'a dyn Fn(Time) -> bool,
}

impl OutgoingRequest<'_> {
    /// Writes the request unchanged, but for what concerns one connection, the key, and what the proxy adds.
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
