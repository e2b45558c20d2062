//! Accepts client connections, reads their requests, and starts a coroutine for each request.
//!
//! A client that sends ahead or doesn't read is held up, and its later requests stay with the kernel: while it
//! has too many requests in flight or too many unsent bytes of responses, and, behind its first request, while the
//! memory budget has no room. Where the first request has no room either, it is refused.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::http::{self, Extent, MAX_HEAD_BYTES, RequestMethod};
use lynxstair_net::memory_budget::{CONNECTION_BYTES, Need, OutOfMemory, Reservation};
use lynxstair_net::server;
use may::io::CoIo;

use crate::cancellation::CancelToken;
use crate::client_connection::ClientConnection;
use crate::client_limits::{Limits, MAX_BUFFER_BYTES};
use crate::local_response::LocalResponse;
use crate::proxy::Proxy;
use crate::request_handler::{MAX_UNSENT_BYTES, ReadRequest, handle};
use crate::request_memory::RequestMemory;
use crate::send_progress::SendProgress;

/// Maximum number of requests in flight on one connection; further ones are not read.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Bytes read ahead of the next request. A request may be longer once its head is complete.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// `Retry-After` of a request for which the memory budget has no room.
const OUT_OF_MEMORY_RETRY_AFTER: Span = Span::from_millis(300);
/// Time for a request's body, in addition to the header time-out.
const BODY_TIMEOUT: Span = Span::from_millis(10_000);
/// Time that a connection stays open after its last response so that the client can close it.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);

/// Next step of the reader after a look at the receive buffer.
enum ReadStep {
    /// Wait for more bytes, or for the end of a request in flight.
    ReadMore,
    /// Wait until the client has read more of its responses.
    AwaitClient,
    /// Look for the next request in the buffer.
    ParseNext,
    /// The last request was read; discard further bytes until the client closes the connection.
    Drain,
    /// The connection was closed.
    Done,
}

/// Accepts clients; never returns. Runs in its own coroutine.
pub fn accept_clients(proxy: &Arc<Proxy>, listener: &CoIo<TcpListener>) {
    server::accept(listener, |stream| {
        // Otherwise the connection is closed unread, so its client may safely retry at another proxy.
        if !proxy.clients.is_full() && !proxy.is_closing() {
            serve(proxy, stream);
        }
    });
}

/// Serves a new connection in its own coroutine.
fn serve(proxy: &Arc<Proxy>, stream: TcpStream) {
    let Ok(reservation) = Reservation::new(CONNECTION_BYTES, Need::Basic) else { return };
    let Ok(connection) = Connection::new(stream, MAX_BUFFER_BYTES) else { return };
    connection.inbound().set_max_len(MAX_READ_AHEAD_BYTES);
    let client = Arc::new(ClientConnection::new(connection));
    let number = proxy.clients.add(&client);
    let (ended_client, ended_proxy) = (client.clone(), proxy.clone());
    let reader = ClientReader::new(proxy.clone(), client);
    spawn_then(
        "client connection",
        move || reader.run(),
        move |_| {
            ended_client.disconnect();
            ended_proxy.clients.remove(number);
            drop(reservation);
        },
    );
}

struct ClientReader {
    proxy: Arc<Proxy>,
    client: Arc<ClientConnection>,
    /// Last time at which a request was in flight or a response unsent; at first the start of the connection.
    idle_since: Time,
    /// Time since which an incomplete request is in the buffer; `None` if there is none.
    partial_since: Option<Time>,
    /// The incomplete request has a complete head.
    has_partial_head: bool,
    has_sent_continue: bool,
    send_progress: SendProgress,
}

impl ClientReader {
    fn new(proxy: Arc<Proxy>, client: Arc<ClientConnection>) -> ClientReader {
        ClientReader {
            idle_since: proxy.alarms.now(),
            proxy,
            client,
            partial_since: None,
            has_partial_head: false,
            has_sent_continue: false,
            send_progress: SendProgress::default(),
        }
    }

    /// Reads requests and starts a coroutine for each, until the connection ends.
    fn run(mut self) {
        let mut awaits_client = false;
        loop {
            let limits = self.limits();
            if self.has_client_stalled(&limits) {
                return self.client.disconnect();
            }
            self.proxy.alarms.wake_connection(self.wake_at(&limits), &self.client.connection);
            let connection = self.client.connection.clone();
            let is_ready = || awaits_client && connection.unsent() <= MAX_UNSENT_BYTES;
            // Requests in flight continue meanwhile.
            match connection.read_until(is_ready) {
                ReadOutcome::Bytes => {}
                ReadOutcome::OutOfMemory => {
                    self.refuse();
                    return self.drain();
                }
                ReadOutcome::End | ReadOutcome::Broken => return self.client.disconnect(),
            }
            let step = loop {
                match self.parse_next(&limits) {
                    ReadStep::ParseNext => {}
                    step => break step,
                }
            };
            match step {
                ReadStep::ParseNext | ReadStep::ReadMore => awaits_client = false,
                ReadStep::AwaitClient => awaits_client = true,
                ReadStep::Drain => return self.drain(),
                ReadStep::Done => return,
            }
            // The end of the client's stream would only be read behind the requests that wait.
            if connection.is_ending() && connection.inbound().is_full() {
                return self.client.disconnect();
            }
        }
    }

    /// Returns the time of the next check of the time-outs.
    fn wake_at(&self, limits: &Limits) -> Time {
        let request_due = match self.partial_since {
            Some(since) => since + self.request_timeout(limits),
            None => self.idle_since + limits.idle_timeout,
        };
        self.send_progress.next_check(limits.idle_timeout).map_or(request_due, |check| check.min(request_due))
    }

    /// Returns the time-out of the incomplete request.
    fn request_timeout(&self, limits: &Limits) -> Span {
        if self.has_partial_head { limits.header_timeout + BODY_TIMEOUT } else { limits.header_timeout }
    }

    fn has_client_stalled(&mut self, limits: &Limits) -> bool {
        let now = self.proxy.alarms.now();
        self.send_progress.has_stalled(now, &self.client.connection, limits.idle_timeout)
    }

    /// Returns the limits for this connection. An idle time-out already advertised to the client is not
    /// shortened.
    fn limits(&self) -> Limits {
        let mut limits = Limits::in_force(&self.proxy.routing());
        limits.idle_timeout = limits.idle_timeout.max(self.client.advertised_idle());
        limits
    }

    /// Looks for one request in the receive buffer and starts or rejects it.
    fn parse_next(&mut self, limits: &Limits) -> ReadStep {
        let now = self.proxy.alarms.now();
        let unanswered = {
            let mut requests = self.client.requests();
            if self.proxy.is_closing() {
                requests.pipeline.stop_reading();
            }
            if !requests.pipeline.accepts_requests() {
                return ReadStep::Drain;
            }
            requests.pipeline.unanswered() as usize
        };
        if self.proxy.has_ended() {
            // A request read now would get no response. If it is left unread, its client may safely retry.
            self.client.disconnect();
            return ReadStep::Done;
        }
        if self.client.connection.inbound().is_empty() {
            return self.on_empty(now, unanswered, limits);
        }
        if unanswered > 0 || self.client.connection.unsent() > 0 {
            self.idle_since = now;
        }
        if unanswered >= MAX_PIPELINED_REQUESTS {
            return ReadStep::ReadMore;
        }
        if self.client.connection.unsent() > MAX_UNSENT_BYTES {
            // The time of an incomplete request begins anew once it is looked at again.
            self.partial_since = None;
            return ReadStep::AwaitClient;
        }
        self.parse_buffered(now, unanswered, limits)
    }

    /// Parses the request at the start of the buffer, which is not empty, and starts or rejects it.
    fn parse_buffered(&mut self, now: Time, unanswered: usize, limits: &Limits) -> ReadStep {
        let client = self.client.clone();
        let mut inbound = client.connection.inbound();
        let bytes = inbound.bytes();
        match http::request_extent(bytes, limits.max_body) {
            Ok(Some(extent)) => match RequestMemory::reserve(extent.total, unanswered == 0) {
                Ok(memory) => {
                    let bytes = bytes[..extent.total].to_vec();
                    inbound.consume(extent.total);
                    inbound.set_max_len(MAX_READ_AHEAD_BYTES);
                    drop(inbound);
                    self.start_request(now, bytes, extent, memory)
                }
                // The end of a request in flight makes room.
                Err(OutOfMemory) if unanswered > 0 => ReadStep::ReadMore,
                Err(OutOfMemory) => {
                    drop(inbound);
                    self.refuse();
                    ReadStep::Drain
                }
            },
            Ok(None) => {
                let head = http::parse_request_head(bytes);
                let has_head = !matches!(head, Ok(None));
                let expects = matches!(&head, Ok(Some((call, _))) if call.headers.get("expect").is_some());
                if has_head {
                    inbound.set_max_len(MAX_BUFFER_BYTES);
                }
                drop(inbound);
                self.on_partial(now, unanswered, limits, has_head, expects)
            }
            Err(error) => {
                drop(inbound);
                self.reject(LocalResponse::new(error.status, error.reason));
                ReadStep::Drain
            }
        }
    }

    /// Handles an empty receive buffer: closes the connection after the idle time-out or while the proxy is
    /// closing.
    fn on_empty(&mut self, now: Time, unanswered: usize, limits: &Limits) -> ReadStep {
        self.partial_since = None;
        if unanswered > 0 || self.client.connection.unsent() > 0 {
            // A close before the last response is sent would cut it short.
            self.idle_since = now;
        } else if self.proxy.is_closing() || now - self.idle_since >= limits.idle_timeout {
            // If the process was paused, a request may have arrived in time and not been read yet.
            if self.client.connection.try_read() == Some(ReadOutcome::Bytes) {
                return ReadStep::ParseNext;
            }
            // Closes in both directions without further reads: a request that crosses the close stays unread
            // and its client gets a reset, so it may safely retry.
            self.client.connection.close();
            return ReadStep::Done;
        }
        ReadStep::ReadMore
    }

    /// Handles an incomplete request: answers `Expect`, and rejects the request after its time-out.
    fn on_partial(
        &mut self,
        now: Time,
        unanswered: usize,
        limits: &Limits,
        has_head: bool,
        expects_continue: bool,
    ) -> ReadStep {
        let since = *self.partial_since.get_or_insert(now);
        self.has_partial_head = has_head;
        if expects_continue && !self.has_sent_continue && unanswered == 0 {
            self.has_sent_continue = true;
            let _ = self.client.connection.write(|out| out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n"));
        }
        if now - since >= self.request_timeout(limits) {
            if self.client.connection.try_read() == Some(ReadOutcome::Bytes) {
                return ReadStep::ParseNext;
            }
            self.reject(LocalResponse::new(408, "not whole in time"));
            return ReadStep::Drain;
        }
        ReadStep::ReadMore
    }

    /// Starts the handling of a complete request in its own coroutine.
    fn start_request(
        &mut self,
        now: Time,
        bytes: Vec<u8>,
        extent: Extent,
        memory: RequestMemory,
    ) -> ReadStep {
        self.partial_since = None;
        self.has_sent_continue = false;
        let keep_alive = extent.keep_alive;
        let cancel = Arc::new(CancelToken::default());
        let number = self.client.begin_request(!keep_alive, now, &cancel);
        let RequestMemory { handling, message } = memory;
        let request = ReadRequest { number, bytes, extent, read_at: now, _reservation: message };
        let (proxy, client, ended) = (self.proxy.clone(), self.client.clone(), self.client.clone());
        spawn_then(
            "request",
            move || handle(&proxy, &client, request, &cancel),
            move |has_panicked| {
                drop(handling);
                ended.on_request_done(number, has_panicked);
            },
        );
        if keep_alive { ReadStep::ParseNext } else { ReadStep::Drain }
    }

    /// Refuses a request for which the memory budget has no room.
    fn refuse(&self) {
        self.reject(LocalResponse::retry_after(503, "out of memory now", OUT_OF_MEMORY_RETRY_AFTER));
    }

    /// Answers a request that is not handled in its turn; the connection ends after that response.
    fn reject(&self, response: LocalResponse) {
        let number = self.client.requests().pipeline.on_request(true);
        let (client, ended) = (self.client.clone(), self.client.clone());
        spawn_then(
            "rejection",
            move || {
                // The connection ends after the response, so that it may have a body whatever the method.
                let write = |out: &mut _| response.write(out, RequestMethod::Other, None, "", false);
                if client.wait_for_turn(number) && client.connection.write(write).is_ok() {
                    client.requests().pipeline.on_answered(number);
                }
            },
            move |has_panicked| ended.on_request_done(number, has_panicked),
        );
    }

    /// Discards further bytes until the client closes the connection or takes nothing of its responses, or
    /// `LINGER_TIMEOUT` after the last response.
    fn drain(mut self) {
        let connection = &self.client.clone().connection;
        let mut done_at = None;
        loop {
            let limits = self.limits();
            if self.has_client_stalled(&limits) {
                return;
            }
            // Before the next read, so that its memory is given back.
            connection.inbound().consume(usize::MAX);
            let is_done = self.client.requests().pipeline.is_done() && connection.unsent() == 0;
            let now = self.proxy.alarms.now();
            if is_done {
                let done = *done_at.get_or_insert(now);
                if now - done >= LINGER_TIMEOUT {
                    return;
                }
                self.proxy.alarms.wake_connection(done + LINGER_TIMEOUT, connection);
            } else if let Some(check) = self.send_progress.next_check(limits.idle_timeout) {
                self.proxy.alarms.wake_connection(check, connection);
            }
            if connection.read() != ReadOutcome::Bytes {
                return;
            }
        }
    }
}
