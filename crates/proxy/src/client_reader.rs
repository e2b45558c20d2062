//! Accepts client connections, reads their requests, and starts a coroutine for each request.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::http::{self, Extent, HttpError, RequestMethod};
use lynxstair_net::server;
use may::io::CoIo;

use crate::cancellation::CancelToken;
use crate::client_connection::ClientConnection;
use crate::client_limits::{Limits, MAX_BUFFER_BYTES};
use crate::local_response::LocalResponse;
use crate::proxy::Proxy;
use crate::request_handler::{ReadRequest, handle};

/// Maximum number of requests in flight on one connection; further ones stay in the receive buffer.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Time for a request's body, in addition to the header time-out.
const BODY_TIMEOUT: Span = Span::from_millis(10_000);
/// Time that a connection stays open after its last response so that the client can close it.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);

/// Next step of the reader after a look at the receive buffer.
enum ReadStep {
    /// Wait for more bytes.
    ReadMore,
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
    let Ok(connection) = Connection::new(stream, MAX_BUFFER_BYTES) else { return };
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
    has_sent_continue: bool,
}

impl ClientReader {
    fn new(proxy: Arc<Proxy>, client: Arc<ClientConnection>) -> ClientReader {
        let idle_since = proxy.alarms.now();
        ClientReader { proxy, client, idle_since, partial_since: None, has_sent_continue: false }
    }

    /// Reads requests and starts a coroutine for each, until the connection ends.
    fn run(mut self) {
        loop {
            let limits = self.limits();
            let wake_at = match self.partial_since {
                Some(since) => since + limits.header_timeout,
                None => self.idle_since + limits.idle_timeout,
            };
            self.proxy.alarms.wake_connection(wake_at, &self.client.connection);
            // Requests in flight continue meanwhile.
            if self.client.connection.read() != ReadOutcome::Bytes {
                return self.client.disconnect();
            }
            loop {
                match self.parse_next(&limits) {
                    ReadStep::ParseNext => {}
                    ReadStep::ReadMore => break,
                    ReadStep::Drain => return self.drain(),
                    ReadStep::Done => return,
                }
            }
        }
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
        let client = self.client.clone();
        let mut inbound = client.connection.inbound();
        if inbound.is_empty() {
            drop(inbound);
            return self.on_empty(now, unanswered, limits);
        }
        if unanswered >= MAX_PIPELINED_REQUESTS {
            return ReadStep::ReadMore;
        }
        let bytes = inbound.bytes();
        match http::request_extent(bytes, limits.max_body) {
            Ok(Some(extent)) => {
                let bytes = bytes[..extent.total].to_vec();
                inbound.consume(extent.total);
                drop(inbound);
                self.start_request(now, bytes, extent)
            }
            Ok(None) => {
                let head = http::parse_request_head(bytes);
                let has_head = !matches!(head, Ok(None));
                let expects = matches!(&head, Ok(Some((call, _))) if call.headers.get("expect").is_some());
                drop(inbound);
                self.on_partial(now, unanswered, limits, has_head, expects)
            }
            Err(error) => {
                drop(inbound);
                self.reject(error);
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
        let timeout = if has_head { limits.header_timeout + BODY_TIMEOUT } else { limits.header_timeout };
        if expects_continue && !self.has_sent_continue && unanswered == 0 {
            self.has_sent_continue = true;
            let _ = self.client.connection.write(|out| out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n"));
        }
        if now - since >= timeout {
            if self.client.connection.try_read() == Some(ReadOutcome::Bytes) {
                return ReadStep::ParseNext;
            }
            self.reject(HttpError::new(408, "not whole in time"));
            return ReadStep::Drain;
        }
        if now - since >= limits.header_timeout {
            self.proxy.alarms.wake_connection(since + timeout, &self.client.connection);
        }
        ReadStep::ReadMore
    }

    /// Starts the handling of a complete request in its own coroutine.
    fn start_request(&mut self, now: Time, bytes: Vec<u8>, extent: Extent) -> ReadStep {
        self.partial_since = None;
        self.has_sent_continue = false;
        let keep_alive = extent.keep_alive;
        let cancel = Arc::new(CancelToken::default());
        let number = self.client.begin_request(!keep_alive, now, &cancel);
        let request = ReadRequest { number, bytes, extent, read_at: now };
        let (proxy, client, ended) = (self.proxy.clone(), self.client.clone(), self.client.clone());
        spawn_then(
            "request",
            move || handle(&proxy, &client, &request, &cancel),
            move |has_panicked| ended.on_request_done(number, has_panicked),
        );
        if keep_alive { ReadStep::ParseNext } else { ReadStep::Drain }
    }

    /// Answers a malformed or late request in its turn; the connection ends after that response.
    fn reject(&self, error: HttpError) {
        let number = self.client.requests().pipeline.on_request(true);
        let (client, ended) = (self.client.clone(), self.client.clone());
        let response = LocalResponse::new(error.status, error.reason);
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

    /// Discards further bytes until the client closes the connection, or `LINGER_TIMEOUT` after the last
    /// response.
    fn drain(&self) {
        let connection = &self.client.connection;
        let mut done_at = None;
        loop {
            let is_done = self.client.requests().pipeline.is_done() && connection.unsent() == 0;
            let now = self.proxy.alarms.now();
            if is_done {
                let done = *done_at.get_or_insert(now);
                if now - done >= LINGER_TIMEOUT {
                    return;
                }
                self.proxy.alarms.wake_connection(done + LINGER_TIMEOUT, connection);
            }
            if connection.read() != ReadOutcome::Bytes {
                return;
            }
            let mut inbound = connection.inbound();
            let n = inbound.len();
            inbound.consume(n);
        }
    }
}
