//! A small HTTP server.
//!
//! Requests on a connection are served one after another. A handler returns the response to each, and may
//! wait for it. A caller that sends ahead or doesn't read is held up: its next request is handled once the kernel
//! has taken most of the responses before it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lynxstair::types::{Span, Time};
use may::coroutine::yield_now;
use may::io::{CoIo, WaitIo};

use crate::alarms::Alarms;
use crate::connection::{Connection, ReadOutcome};
use crate::coroutine::spawn_then;
use crate::http::{self, Extent, HttpError, MAX_HEAD_BYTES, RequestMethod};
use crate::log_limited;
use crate::memory_budget::{CONNECTION_BYTES, Need, OutOfMemory, Reservation};

/// A connection is closed if no request has been completed for this long after its start or its last
/// response.
const IDLE_TIMEOUT: Span = Span::from_millis(15_000);
/// Time limit for sending the last response of a connection, and for a caller that takes no byte of a response.
const MESSAGE_TIMEOUT: Span = Span::from_millis(5_000);
/// Bytes read ahead of the request that is being handled. A request may be longer once its head is complete.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Unsent bytes of responses above which the next request waits.
const MAX_UNSENT_BYTES: usize = 64 << 10;

/// Bytes that the kernel receives ahead on a connection of a caller; it may take twice that.
const KERNEL_RECEIVE_BYTES: usize = 64 << 10;
/// Bytes of responses that the kernel holds for a caller; it may take twice that.
const KERNEL_SEND_BYTES: usize = 128 << 10;

/// A request to a handler.
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Segments of the path, without empty ones.
    pub segments: Vec<&'a str>,
    /// Query without the question mark; empty if there is none.
    pub query: &'a str,
    /// Body.
    pub body: &'a [u8],
    caller: &'a Connection,
}

impl Request<'_> {
    /// Returns `true` if the caller has closed its connection and no longer waits for the response.
    pub fn has_caller_disconnected(&self) -> bool {
        self.caller.is_ended_by_peer()
    }

    /// First value of a name in the query, without decoding.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Complete header lines, without `Connection` and `Content-Length`.
    pub headers: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without a body.
    pub fn new(status: u16) -> Response {
        Response { status, headers: String::new(), body: Vec::new() }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response { status, headers: "Content-Type: application/json\r\n".to_string(), body: body.into() }
    }

    fn write(&self, out: &mut impl Write, keep_alive: bool) -> io::Result<()> {
        let connection = if keep_alive { "" } else { "Connection: close\r\n" };
        let (status, reason, length) = (self.status, http::reason_phrase(self.status), self.body.len());
        write!(
            out,
            "HTTP/1.1 {status} {reason}\r\n{}{connection}Content-Length: {length}\r\n\r\n",
            self.headers
        )?;
        out.write_all(&self.body)
    }
}

/// Failure to listen on an address. It may be temporary: another process may be using the address.
#[derive(Debug)]
pub struct ListenError {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Cause.
    pub source: io::Error,
}

impl std::fmt::Display for ListenError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "listening on {}: {}", self.address, self.source)
    }
}

impl std::error::Error for ListenError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}

/// Binds a listener for use by a coroutine.
pub fn listen(address: SocketAddr) -> Result<CoIo<TcpListener>, ListenError> {
    let listener = TcpListener::bind(address).and_then(|listener| Ok(CoIo::new(listener)?));
    listener.map_err(|source| ListenError { address, source })
}

/// Binds a listener for callers outside the system. The kernel holds less for each of its connections than it
/// otherwise would, as unread requests and responses are not part of the memory budget.
pub fn listen_to_callers(address: SocketAddr) -> Result<CoIo<TcpListener>, ListenError> {
    let listener = listen(address)?;
    let socket = socket2::SockRef::from(listener.inner());
    // Accepted connections inherit both.
    let limited = socket
        .set_recv_buffer_size(KERNEL_RECEIVE_BYTES)
        .and_then(|()| socket.set_send_buffer_size(KERNEL_SEND_BYTES));
    if let Err(e) = limited {
        log_limited!("cannot limit the socket buffers: {e}");
    }
    Ok(listener)
}

/// Accepts connections and passes each to `admit`. Logs errors and never returns.
pub fn accept(listener: &CoIo<TcpListener>, admit: impl FnMut(TcpStream)) {
    accept_reporting(listener, admit, |e| log_limited!("cannot accept a connection: {e}"));
}

/// Accepts connections and passes each to `admit`, and errors to `report`. Never returns.
pub fn accept_reporting(
    listener: &CoIo<TcpListener>,
    mut admit: impl FnMut(TcpStream),
    report: impl Fn(&io::Error),
) {
    loop {
        match listener.inner().accept() {
            Ok((stream, _)) => admit(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                listener.wait_io();
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => {
                // Usually out of file descriptors: tries again after the next event of the listener.
                report(&e);
                listener.wait_io();
            }
        }
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of concurrent connections. Further ones are closed at once, and so are those that the
    /// memory budget has no room for.
    pub max_connections: usize,
}

impl ServerLimits {
    /// Longest request with its head and the framing of its body, in bytes.
    fn max_message_bytes(&self) -> usize {
        self.max_body_bytes + 2 * MAX_HEAD_BYTES
    }
}

/// Serves requests on a listener with `handler`. Never returns.
pub fn serve<H>(listener: &CoIo<TcpListener>, alarms: &Arc<Alarms>, limits: ServerLimits, handler: &Arc<H>)
where
    H: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    accept(listener, |stream| {
        if open.load(Ordering::Relaxed) >= limits.max_connections {
            return;
        }
        let Ok(reservation) = Reservation::new(CONNECTION_BYTES, Need::Basic) else { return };
        let Ok(connection) = Connection::new(stream, limits.max_message_bytes()) else { return };
        open.fetch_add(1, Ordering::Relaxed);
        let served = ServedConnection { connection: Arc::new(connection), alarms: alarms.clone(), limits };
        let (handler, open) = (handler.clone(), open.clone());
        spawn_then(
            "a server connection",
            move || served.run(&*handler),
            move |_| {
                drop(reservation);
                open.fetch_sub(1, Ordering::Relaxed);
            },
        );
    });
}

/// A connection that is served.
struct ServedConnection {
    connection: Arc<Connection>,
    alarms: Arc<Alarms>,
    limits: ServerLimits,
}

/// A complete request, removed from the receive buffer.
struct Message {
    bytes: Vec<u8>,
    extent: Extent,
    _reservation: Reservation,
}

/// End of a connection.
enum ConnectionEnd {
    /// It is closed at once.
    Close,
    /// The response with this error is the last one.
    Reject(HttpError),
    /// The last response was written.
    Finish,
}

impl ServedConnection {
    fn run<H>(&self, handler: &H)
    where
        H: Fn(&Request) -> Response,
    {
        let connection = &self.connection;
        match self.serve(handler) {
            ConnectionEnd::Close => connection.close(),
            ConnectionEnd::Reject(error) => {
                let headers = if error == BUSY { BUSY_RETRY_AFTER } else { "" };
                let write = |out: &mut _| {
                    http::write_response(
                        out,
                        RequestMethod::Other,
                        error.status,
                        headers,
                        error.reason,
                        false,
                    )
                };
                let _ = connection.write(write);
                connection.shut_down_write();
            }
            ConnectionEnd::Finish => self.finish(),
        }
    }

    /// Serves requests until the connection ends.
    fn serve<H>(&self, handler: &H) -> ConnectionEnd
    where
        H: Fn(&Request) -> Response,
    {
        loop {
            let message = match self.next_message() {
                Ok(message) => message,
                Err(end) => return end,
            };
            let response = respond(&self.connection, &message, handler);
            let keep_alive = message.extent.keep_alive;
            drop(message);
            if self.connection.write(|out| response.write(out, keep_alive)).is_err() {
                return ConnectionEnd::Close;
            }
            if !keep_alive {
                return ConnectionEnd::Finish;
            }
            if !self.wait_until_sent(MAX_UNSENT_BYTES) {
                return ConnectionEnd::Close;
            }
            // A caller that sends without a pause must not hold up the other connections.
            yield_now();
        }
    }

    /// Waits for the next complete request.
    fn next_message(&self) -> Result<Message, ConnectionEnd> {
        let connection = &self.connection;
        connection.inbound().set_max_len(MAX_READ_AHEAD_BYTES);
        let idle_since = self.alarms.now();
        self.alarms.wake_connection(idle_since + IDLE_TIMEOUT, connection);
        loop {
            if let Some(message) = self.take_message().map_err(ConnectionEnd::Reject)? {
                return Ok(message);
            }
            match connection.read() {
                ReadOutcome::Bytes => {}
                ReadOutcome::OutOfMemory => return Err(ConnectionEnd::Reject(BUSY)),
                ReadOutcome::End | ReadOutcome::Broken => return Err(ConnectionEnd::Close),
            }
            if self.has_timed_out(idle_since) {
                return Err(ConnectionEnd::Close);
            }
        }
    }

    /// Returns `true` if a request is not complete in time. One that has begun gets more time.
    fn has_timed_out(&self, idle_since: Time) -> bool {
        let timeout =
            if self.connection.inbound().is_empty() { IDLE_TIMEOUT } else { IDLE_TIMEOUT + MESSAGE_TIMEOUT };
        let is_over = self.alarms.now() - idle_since >= timeout;
        if !is_over {
            self.alarms.wake_connection(idle_since + timeout, &self.connection);
        }
        is_over
    }

    /// Removes the message at the front of the buffer; returns `None` if it is incomplete.
    fn take_message(&self) -> Result<Option<Message>, HttpError> {
        let mut inbound = self.connection.inbound();
        let Some(extent) = http::request_extent(inbound.bytes(), self.limits.max_body_bytes)? else {
            if matches!(http::parse_request_head(inbound.bytes()), Ok(Some(_))) {
                inbound.set_max_len(self.limits.max_message_bytes());
            }
            return Ok(None);
        };
        let reservation =
            Reservation::new(extent.total, Need::for_size(extent.total)).map_err(|OutOfMemory| BUSY)?;
        let bytes = inbound.bytes()[..extent.total].to_vec();
        inbound.consume(extent.total);
        Ok(Some(Message { bytes, extent, _reservation: reservation }))
    }

    /// Waits until at most `max_unsent` bytes of the responses are left. Returns `false` if the connection has
    /// ended, or if the caller takes no byte for `MESSAGE_TIMEOUT`.
    fn wait_until_sent(&self, max_unsent: usize) -> bool {
        let connection = &self.connection;
        while connection.unsent() > max_unsent {
            let sent = connection.sent_bytes();
            let deadline = self.alarms.now() + MESSAGE_TIMEOUT;
            self.alarms.wake_connection(deadline, connection);
            let is_over = || connection.sent_bytes() > sent || self.alarms.now() >= deadline;
            connection.wait_flushed(is_over);
            if connection.is_closed() || connection.sent_bytes() == sent {
                return connection.unsent() <= max_unsent;
            }
        }
        true
    }

    /// Closes a connection after its last response. Waits first, as the kernel does not take a long response at
    /// once and closing would truncate it.
    fn finish(&self) {
        if self.wait_until_sent(0) {
            self.connection.shut_down_write();
        } else {
            self.connection.close();
        }
    }
}

/// Response to a request for which the memory budget has no room.
const BUSY: HttpError = HttpError::new(503, "out of memory now; retry");
const BUSY_RETRY_AFTER: &str = "Retry-After: 0.2\r\n";

fn respond<H>(connection: &Connection, message: &Message, handler: &H) -> Response
where
    H: Fn(&Request) -> Response,
{
    let Message { bytes, extent, .. } = message;
    let Ok(Some((head, _))) = http::parse_request_head(&bytes[..extent.head]) else {
        return Response::new(400);
    };
    let (path, query) = head.target.split_once('?').unwrap_or((head.target, ""));
    let segments = path.split('/').filter(|segment| !segment.is_empty()).collect();
    let body = &bytes[extent.body.clone()];
    handler(&Request { method: head.method, segments, query, body, caller: connection })
}
