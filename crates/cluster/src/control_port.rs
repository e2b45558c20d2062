//! Server of the control port: one request line and one response line per connection. The number of
//! connections, the request length and the duration are limited. A malformed request is refused with the
//! parse error.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair::types::{Span, Time};
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::server;
use lynxstair_net::wake_timer::WakeTimer;
use may::io::{CoIo, WaitIo};
use tracing::warn;

use crate::error::StartError;
use crate::protocol::{MAX_REQUEST_BYTES, Request, Response};
use crate::sync::lock;

/// Most concurrent connections; further ones are closed without a response.
const MAX_CONNECTIONS: usize = 16;
/// Longest duration of a connection.
const CONNECTION_TIMEOUT: Span = Span::from_millis(3_000);
/// Timer interval while there is no connection.
const IDLE_TICK_INTERVAL: Span = Span::from_millis(3_600_000);
const READ_BUFFER_BYTES: usize = 512;

struct Connection {
    io: CoIo<TcpStream>,
    accepted_at: Time,
}

/// The listening socket and its connections.
pub(crate) struct ControlPort {
    listener: CoIo<TcpListener>,
    clock: Clock,
    wake_timer: Arc<WakeTimer>,
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    next_id: AtomicU64,
}

impl ControlPort {
    /// Listens on `addr`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn listen(
        addr: SocketAddrV4,
        clock: Clock,
        wake_timer: Arc<WakeTimer>,
    ) -> Result<Arc<Self>, StartError> {
        let listener =
            server::listen(addr.into()).map_err(|e| StartError::ControlPort { addr, source: e.source })?;
        let (connections, next_id) = (Mutex::default(), AtomicU64::new(0));
        Ok(Arc::new(ControlPort { listener, clock, wake_timer, connections, next_id }))
    }

    /// Accepts connections and serves their requests with `handler`. Never returns; runs on a coroutine.
    pub fn serve_all<H>(self: &Arc<Self>, handler: &Arc<H>)
    where
        H: Fn(Request) -> Response + Send + Sync + 'static,
    {
        let admit = |stream| self.admit(handler, stream);
        server::accept_reporting(&self.listener, admit, |e| warn!(%e, "fleet: control port: accept failed"));
    }

    /// Starts a coroutine for a connection, or drops the connection if there are too many.
    fn admit<H>(self: &Arc<Self>, handler: &Arc<H>, stream: TcpStream)
    where
        H: Fn(Request) -> Response + Send + Sync + 'static,
    {
        if lock(&self.connections).len() >= MAX_CONNECTIONS {
            return;
        }
        let Ok(io) = CoIo::new(stream) else { return };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection { io, accepted_at: self.clock.now() });
        lock(&self.connections).insert(id, connection.clone());
        self.wake_timer.wake_by(connection.accepted_at + CONNECTION_TIMEOUT);
        let (port, handler) = (self.clone(), handler.clone());
        let remove = move |_| {
            lock(&port.connections).remove(&id);
        };
        spawn_then("control connection", move || connection.serve(&*handler), remove);
    }

    /// Closes connections that exceeded [`CONNECTION_TIMEOUT`].
    pub fn tick(&self, now: Time) {
        let connections = lock(&self.connections);
        for connection in connections.values().filter(|c| now - c.accepted_at >= CONNECTION_TIMEOUT) {
            let _ = connection.io.inner().shutdown(Shutdown::Both);
        }
    }

    /// Returns the interval until the next tick.
    pub fn tick_interval(&self) -> Span {
        if lock(&self.connections).is_empty() { IDLE_TICK_INTERVAL } else { CONNECTION_TIMEOUT }
    }
}

impl Connection {
    fn serve(&self, handler: &impl Fn(Request) -> Response) {
        let Some(line) = self.read_line() else { return };
        let response = match serde_json::from_slice::<Request>(&line) {
            Ok(request) => handler(request),
            Err(e) => Response::Refused { reason: format!("request not understood: {e}") },
        };
        let Ok(mut bytes) = serde_json::to_vec(&response) else { return };
        bytes.push(b'\n');
        self.write_all(&bytes);
        let _ = self.io.inner().shutdown(Shutdown::Write);
    }

    /// Reads one line; `None` if the connection ends before it is complete or it is too long.
    fn read_line(&self) -> Option<Vec<u8>> {
        let mut line = Vec::new();
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match (&mut self.io.inner()).read(&mut buffer) {
                Ok(0) => return None,
                Ok(length) => {
                    line.extend(&buffer[..length]);
                    if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
                        line.truncate(end);
                        return Some(line);
                    }
                    if line.len() > MAX_REQUEST_BYTES {
                        return None;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.io.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    fn write_all(&self, mut rest: &[u8]) {
        while !rest.is_empty() {
            match (&mut self.io.inner()).write(rest) {
                Ok(0) => return,
                Ok(length) => rest = &rest[length..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.io.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }
}
