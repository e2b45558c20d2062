//! The control port's server: an operator sends one request in one line and gets one line back. Connections,
//! bytes and time are bounded; a request that can't be understood is answered so.

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

/// Most connections at once; a further one is closed at once.
const MAX_CONNECTIONS: usize = 16;
/// From connecting to the last byte of the response.
const CONNECTION_TIMEOUT: Span = Span::from_millis(3_000);
/// How often the port is looked at while nobody is connected.
const IDLE_INTERVAL: Span = Span::from_millis(3_600_000);
const READ_BYTES: usize = 512;

struct Connection {
    io: CoIo<TcpStream>,
    since: Time,
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

    /// Accepts connections and has `handler` answer their requests, for ever. Runs on a coroutine.
    pub fn serve_all<H>(self: &Arc<Self>, handler: &Arc<H>)
    where
        H: Fn(Request) -> Response + Send + Sync + 'static,
    {
        let admit = |stream| self.admit(handler, stream);
        server::accept_reporting(&self.listener, admit, |e| warn!(%e, "fleet: control port"));
    }

    fn admit<H>(self: &Arc<Self>, handler: &Arc<H>, stream: TcpStream)
    where
        H: Fn(Request) -> Response + Send + Sync + 'static,
    {
        if lock(&self.connections).len() >= MAX_CONNECTIONS {
            return;
        }
        let Ok(io) = CoIo::new(stream) else { return };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection { io, since: self.clock.now() });
        lock(&self.connections).insert(id, connection.clone());
        self.wake_timer.wake_by(connection.since + CONNECTION_TIMEOUT);
        let (port, handler) = (self.clone(), handler.clone());
        let remove = move |_| {
            lock(&port.connections).remove(&id);
        };
        spawn_then("an operator", move || connection.serve(&*handler), remove);
    }

    /// Cuts off connections that took too long.
    pub fn tick(&self, now: Time) {
        let connections = lock(&self.connections);
        for connection in connections.values().filter(|c| now - c.since >= CONNECTION_TIMEOUT) {
            let _ = connection.io.inner().shutdown(Shutdown::Both);
        }
    }

    /// How long after a tick the next one is due.
    pub fn tick_interval(&self) -> Span {
        if lock(&self.connections).is_empty() { IDLE_INTERVAL } else { CONNECTION_TIMEOUT }
    }
}

impl Connection {
    fn serve(&self, handler: &impl Fn(Request) -> Response) {
        let Some(line) = self.read_line() else { return };
        let response = match serde_json::from_slice::<Request>(&line) {
            Ok(request) => handler(request),
            Err(e) => Response::Refused { reason: format!("not understood: {e}") },
        };
        let Ok(mut bytes) = serde_json::to_vec(&response) else { return };
        bytes.push(b'\n');
        self.write_all(&bytes);
        let _ = self.io.inner().shutdown(Shutdown::Write);
    }

    /// The first line; `None` where the connection ends before it does, or it is too long.
    fn read_line(&self) -> Option<Vec<u8>> {
        let mut line = Vec::new();
        let mut piece = [0; READ_BYTES];
        loop {
            match (&mut self.io.inner()).read(&mut piece) {
                Ok(0) => return None,
                Ok(length) => {
                    line.extend(&piece[..length]);
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
