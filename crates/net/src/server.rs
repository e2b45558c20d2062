//! A small HTTP server: readiness of the platform, commands of the operator, calls of workers, look-ups. One message after
//! another on a connection; a handler gives each its response, and may wait for it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lynxstair::types::Span;
use may::io::{CoIo, WaitIo};

use crate::alarms::Alarms;
use crate::connection::{Connection, ReadOutcome};
use crate::coroutine::spawn_then;
use crate::http::{self, Extent, MAX_HEAD_BYTES};
use crate::log_limited;

/// A connection that brings nothing for this long is closed.
const IDLE_TIMEOUT: Span = Span::from_millis(15_000);
/// How much longer a message may take to be complete, and a last response to be taken.
const MESSAGE_TIMEOUT: Span = Span::from_millis(5_000);

/// A request as its handler gets it.
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The segments of the path, empty ones left out.
    pub segments: Vec<&'a str>,
    /// What follows the question mark, or nothing.
    pub query: &'a str,
    /// The body.
    pub body: &'a [u8],
    caller: &'a Connection,
}

impl Request<'_> {
    /// Whether the caller has ended its connection, and so waits for no response.
    pub fn has_caller_disconnected(&self) -> bool {
        self.caller.is_ended_by_peer()
    }

    /// The value of a name in the query, as it stands there.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Complete header lines.
    pub headers: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response without a body.
    pub fn new(status: u16) -> Response {
        Response { status, headers: String::new(), body: Vec::new() }
    }

    /// A response with a JSON body.
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

/// An address that can't be listened on. Trying again may help: another process may hold it.
#[derive(Debug)]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// Why.
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

/// Binds a listener for coroutines.
pub fn listen(address: SocketAddr) -> Result<CoIo<TcpListener>, ListenError> {
    let listener = TcpListener::bind(address).and_then(|listener| Ok(CoIo::new(listener)?));
    listener.map_err(|source| ListenError { address, source })
}

/// Accepts connections and hands each to `admit`; never returns. Errors are logged.
pub fn accept(listener: &CoIo<TcpListener>, admit: impl FnMut(TcpStream)) {
    accept_reporting(listener, admit, |e| log_limited!("accepting: {e}"));
}

/// The same, and hands errors to `report`.
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
                // Out of descriptors: those that wait are let in once a connection ends.
                report(&e);
                listener.wait_io();
            }
        }
    }
}

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The longest body, in bytes.
    pub max_body_bytes: usize,
    /// The most connections.
    pub max_connections: usize,
}

/// Serves requests on a listener; never returns.
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
        let has_part = !connection.inbound().is_empty();
        if waited >= IDLE_TIMEOUT || has_part && waited >= IDLE_TIMEOUT + MESSAGE_TIMEOUT {
            return connection.close();
        }
        let (message, extent) = match take_message(connection, max_body_bytes) {
            Ok(Some(message)) => message,
            Ok(None) => continue,
            Err(error) => {
                let write = |out: &mut _| http::write_response(out, error.status, "", error.reason, false);
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

/// Removes the message at the front of the buffer, once it is complete.
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

/// Ends a connection behind its last response. A long one is more than the kernel takes at once, and must not be cut short.
fn finish(connection: &Arc<Connection>, alarms: &Alarms) {
    let deadline = alarms.now() + MESSAGE_TIMEOUT;
    alarms.wake_connection(deadline, connection);
    if connection.wait_flushed(|| alarms.now() >= deadline) {
        connection.shut_down_write();
    } else {
        connection.close();
    }
}
