//! A small HTTP server.
//!
//! Requests on a connection are served one after another. A handler returns the response to each, and may
//! wait for it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lynxstair::types::Span;
use may::io::{CoIo, WaitIo};

use crate::alarms::Alarms;
use crate::connection::{Connection, ReadOutcome};
use crate::coroutine::spawn_then;
use crate::http::{self, Extent, MAX_HEAD_BYTES, RequestMethod};
use crate::log_limited;

/// A connection is closed if no request has been completed for this long after its start or its last
/// response.
const IDLE_TIMEOUT: Span = Span::from_millis(15_000);
/// Time limit for sending the last response of a connection.
const MESSAGE_TIMEOUT: Span = Span::from_millis(5_000);

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
    /// Maximum number of concurrent connections. Further ones are closed at once.
    pub max_connections: usize,
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
        let Ok(connection) = Connection::new(stream, limits.max_body_bytes + 2 * MAX_HEAD_BYTES) else {
            return;
        };
        open.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(connection);
        let (alarms, handler, open) = (alarms.clone(), handler.clone(), open.clone());
        spawn_then(
            "a server connection",
            move || serve_connection(&connection, &alarms, limits.max_body_bytes, &*handler),
            move |_| {
                open.fetch_sub(1, Ordering::Relaxed);
            },
        );
    });
}

fn serve_connection<H>(connection: &Arc<Connection>, alarms: &Alarms, max_body_bytes: usize, handler: &H)
where
    H: Fn(&Request) -> Response,
{
    let mut idle_since = alarms.now();
    alarms.wake_connection(idle_since + IDLE_TIMEOUT, connection);
    loop {
        if connection.read() != ReadOutcome::Bytes {
            return connection.close();
        }
        let waited = alarms.now() - idle_since;
        let is_partial = !connection.inbound().is_empty();
        if waited >= IDLE_TIMEOUT || is_partial && waited >= IDLE_TIMEOUT + MESSAGE_TIMEOUT {
            return connection.close();
        }
        let (message, extent) = match take_message(connection, max_body_bytes) {
            Ok(Some(message)) => message,
            Ok(None) => continue,
            Err(error) => {
                let write = |out: &mut _| {
                    http::write_response(out, RequestMethod::Other, error.status, "", error.reason, false)
                };
                let _ = connection.write(write);
                return connection.shut_down_write();
            }
        };
        let response = respond(connection, &message, &extent, handler);
        drop(message);
        if connection.write(|out| response.write(out, extent.keep_alive)).is_err() {
            return connection.close();
        }
        if !extent.keep_alive {
            return finish(connection, alarms);
        }
        idle_since = alarms.now();
        alarms.wake_connection(idle_since + IDLE_TIMEOUT, connection);
        connection.wake();
    }
}

/// Removes the message at the front of the buffer; returns `None` if it is incomplete.
fn take_message(
    connection: &Connection,
    max_body_bytes: usize,
) -> Result<Option<(Vec<u8>, Extent)>, http::HttpError> {
    let mut inbound = connection.inbound();
    let Some(extent) = http::request_extent(inbound.bytes(), max_body_bytes)? else { return Ok(None) };
    let message = inbound.bytes()[..extent.total].to_vec();
    inbound.consume(extent.total);
    Ok(Some((message, extent)))
}

fn respond<H>(connection: &Connection, message: &[u8], extent: &Extent, handler: &H) -> Response
where
    H: Fn(&Request) -> Response,
{
    let Ok(Some((head, _))) = http::parse_request_head(&message[..extent.head]) else {
        return Response::new(400);
    };
    let (path, query) = head.target.split_once('?').unwrap_or((head.target, ""));
    let segments = path.split('/').filter(|segment| !segment.is_empty()).collect();
    let body = &message[extent.body.clone()];
    handler(&Request { method: head.method, segments, query, body, caller: connection })
}

/// Closes a connection after its last response. Waits first, as the kernel does not take a long response at
/// once and closing would truncate it.
fn finish(connection: &Arc<Connection>, alarms: &Alarms) {
    let deadline = alarms.now() + MESSAGE_TIMEOUT;
    alarms.wake_connection(deadline, connection);
    if connection.wait_flushed(|| alarms.now() >= deadline) {
        connection.shut_down_write();
    } else {
        connection.close();
    }
}
