//! Reads one client's requests and starts the handling of each.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::http::{self, Extent, HttpError};
use lynxstair_net::server;
use may::io::CoIo;

use crate::cancellation::CancelToken;
use crate::client_connection::ClientConnection;
use crate::client_limits::{Limits, MAX_BUFFER};
use crate::local_response::LocalResponse;
use crate::proxy::Proxy;
use crate::request_handler::{ReadRequest, handle};

/// How many requests of one connection are in flight at once; the rest waits unread.
const MAX_PIPELINED: usize = 16;
/// How much longer a body may take than a head.
const BODY_TIMEOUT: Span = Span::from_millis(10_000);
/// How long a connection stays open after its last response, for its client to close it.
const LINGER_TIMEOUT: Span = Span::from_millis(1_000);

/// What follows from a look at what was read.
enum ReadStep {
    /// Wait for more.
    ReadMore,
    /// Look again.
    Again,
    /// The last request is read: what still comes is discarded, until the client is gone.
    Drain,
    /// The connection has ended.
    Done,
}

/// Accepts clients for ever; for a coroutine of its own.
pub fn accept_clients(proxy: &Arc<Proxy>, listener: &CoIo<TcpListener>) {
    server::accept(listener, |stream| {
        // Closed unread while the proxy is closing: its client knows that it may go elsewhere.
        if !proxy.clients.is_full() && !proxy.is_closing() {
            serve(proxy, stream);
        }
    });
}

/// Serves a new connection in a coroutine of its own.
fn serve(proxy: &Arc<Proxy>, stream: TcpStream) {
    let Ok(connection) = Connection::new(stream, MAX_BUFFER) else { return };
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
    /// Since when nothing was in flight.
    idle_since: Time,
    /// Since when a part of a request is there.
    partial_since: Option<Time>,
    has_sent_continue: bool,
}

impl ClientReader {
    fn new(proxy: Arc<Proxy>, client: Arc<ClientConnection>) -> ClientReader {
        let idle_since = proxy.alarms.now();
        ClientReader { proxy, client, idle_since, partial_since: None, has_sent_continue: false }
    }

    /// Reads one request after another and starts each.
    fn run(mut self) {
        loop {
            let limits = self.limits();
            let wake_at = match self.partial_since {
                Some(since) => since + limits.header_timeout,
                None => self.idle_since + limits.idle_timeout,
            };
            self.proxy.alarms.wake_connection(wake_at, &self.client.connection);
            // What is in flight goes on; only what is read next waits for room.
            if self.client.connection.read() != ReadOutcome::Bytes {
                return self.client.disconnect();
            }
            loop {
                match self.step(&limits) {
                    ReadStep::Again => {}
                    ReadStep::ReadMore => break,
                    ReadStep::Drain => return self.drain(),
                    ReadStep::Done => return,
                }
            }
        }
    }

    /// The limits for this client: what it was told holds, also where a new configuration grants less.
    fn limits(&self) -> Limits {
        let mut limits = Limits::in_force(&self.proxy.routing());
        limits.idle_timeout = limits.idle_timeout.max(self.client.advertised_idle());
        limits
    }

    /// Looks at what was read, for one request.
    fn step(&mut self, limits: &Limits) -> ReadStep {
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
            // What is read now would be lost: unread, its client knows that it may send it again.
            self.client.disconnect();
            return ReadStep::Done;
        }
        let client = self.client.clone();
        let mut inbound = client.connection.inbound();
        if inbound.is_empty() {
            drop(inbound);
            return self.on_empty(now, unanswered, limits);
        }
        if unanswered >= MAX_PIPELINED {
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

    /// Nothing is there. A connection that rests for too long is closed.
    fn on_empty(&mut self, now: Time, unanswered: usize, limits: &Limits) -> ReadStep {
        self.partial_since = None;
        if unanswered > 0 || self.client.connection.unsent() > 0 {
            // Also while the last response has not left: closed now, it would be cut short.
            self.idle_since = now;
        } else if self.proxy.is_closing() || now - self.idle_since >= limits.idle_timeout {
            // A process that was paused is late: a request that came meanwhile is there to be read.
            if self.client.connection.try_read() == Some(ReadOutcome::Bytes) {
                return ReadStep::Again;
            }
            // At once, and nothing is read any more: a request that crosses this is reset unread, and its client knows
            // that it may send it again.
            self.client.connection.close();
            return ReadStep::Done;
        }
        ReadStep::ReadMore
    }

    /// A part of a request is there. One that is not complete in time is rejected.
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
                return ReadStep::Again;
            }
            self.reject(HttpError::new(408, "not whole in time"));
            return ReadStep::Drain;
        }
        if now - since >= limits.header_timeout {
            self.proxy.alarms.wake_connection(since + timeout, &self.client.connection);
        }
        ReadStep::ReadMore
    }

    /// A complete request is there: it is handled in a coroutine of its own.
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
        if keep_alive { ReadStep::Again } else { ReadStep::Drain }
    }

    /// What can't be read is answered in its turn, and the connection ends.
    fn reject(&self, error: HttpError) {
        let number = self.client.requests().pipeline.on_request(true);
        let (client, ended) = (self.client.clone(), self.client.clone());
        let response = LocalResponse::new(error.status, error.reason);
        spawn_then(
            "rejection",
            move || {
                if client.wait_for_turn(number)
                    && client.connection.write(|out| response.write(out, None, "", false)).is_ok()
                {
                    client.requests().pipeline.on_answered(number);
                }
            },
            move |has_panicked| ended.on_request_done(number, has_panicked),
        );
    }

    /// Discards what still comes, until the client is gone or the last response is long written.
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
