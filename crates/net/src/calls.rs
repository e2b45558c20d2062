//! A plain server of calls: what the platform, the operator, workers and look-ups ask. One message after another
//! on a connection; a handler gives each its reply, and may wait for it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lynxstair::types::Span;
use may::io::{CoIo, WaitIo};

use crate::alarms::Alarms;
use crate::conn::{Conn, Got};
use crate::coroutine::go_then;
use crate::http::{self, MOST_HEAD};
use crate::log;

/// A connection that brings nothing for so long is closed, and one whose message is not whole by then, too.
const IDLE: Span = Span::from_millis(15_000);
const WHOLE: Span = Span::from_millis(5_000);

/// A call as its handler gets it: method, path segments, query, body.
pub struct Call<'a> {
    pub method: &'a str,
    pub segments: Vec<&'a str>,
    pub query: &'a str,
    pub body: &'a [u8],
    caller: &'a Conn,
}

impl Call<'_> {
    /// Whether the caller has ended its connection, and so waits for no answer.
    pub fn has_hung_up(&self) -> bool {
        self.caller.has_ended()
    }

    /// The value of a name in the query, as it stands there.
    pub fn asked(&self, name: &str) -> Option<&str> {
        self.query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub status: u16,
    /// Whole header lines.
    pub headers: String,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn new(status: u16) -> Reply {
        Reply { status, headers: String::new(), body: Vec::new() }
    }

    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Reply {
        Reply { status, headers: "Content-Type: application/json\r\n".to_string(), body: body.into() }
    }
}

/// An address that can't be listened on.
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

/// Accepts for ever and hands each connection on. `Err` of `admit` closes it.
pub fn accept(listener: &CoIo<TcpListener>, mut admit: impl FnMut(std::net::TcpStream)) {
    loop {
        match listener.inner().accept() {
            Ok((stream, _)) => admit(stream),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                listener.wait_io();
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => {
                // Out of descriptors: those that wait are let in once one goes.
                log!("accepting: {e}");
                listener.wait_io();
            }
        }
    }
}

/// How much and how many a server of calls takes.
#[derive(Clone, Copy)]
pub struct Most {
    pub body: usize,
    pub connections: usize,
}

/// Serves calls on a listener for ever.
pub fn serve<H>(listener: &CoIo<TcpListener>, alarms: &Arc<Alarms>, most: Most, handler: Arc<H>)
where
    H: Fn(&Call) -> Reply + Send + Sync + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    accept(listener, |stream| {
        if open.load(Ordering::Relaxed) >= most.connections {
            return;
        }
        let Ok(conn) = Conn::new(stream, most.body + 2 * MOST_HEAD) else { return };
        open.fetch_add(1, Ordering::Relaxed);
        let (conn, alarms, handler, open) = (Arc::new(conn), alarms.clone(), handler.clone(), open.clone());
        go_then(
            "a call",
            move || converse(&conn, &alarms, most.body, &*handler),
            move |_| {
                open.fetch_sub(1, Ordering::Relaxed);
            },
        );
    });
}

fn converse<H: Fn(&Call) -> Reply>(conn: &Arc<Conn>, alarms: &Alarms, most: usize, handler: &H) {
    let mut since = alarms.now();
    alarms.nudge(since + IDLE, conn);
    loop {
        if conn.read() != Got::Bytes {
            return conn.close();
        }
        let now = alarms.now();
        let mut inbound = conn.inbound();
        let waited = now - since;
        if waited >= IDLE || !inbound.is_empty() && waited >= IDLE + WHOLE {
            return conn.close();
        }
        let (message, extent) = match http::call_extent(inbound.bytes(), most) {
            Ok(None) => continue,
            Ok(Some(extent)) => {
                let message = inbound.bytes()[..extent.all].to_vec();
                inbound.consume(extent.all);
                (message, extent)
            }
            Err(bad) => {
                drop(inbound);
                let _ = conn.write(|out| http::put_answer(out, bad.0, "", bad.1, false));
                return conn.finish();
            }
        };
        drop(inbound);
        let reply = match http::call(&message[..extent.head]) {
            Ok(Some((call, _))) => {
                let (path, query) = call.target.split_once('?').unwrap_or((call.target, ""));
                let segments = path.split('/').filter(|s| !s.is_empty()).collect();
                let body = &message[extent.body.clone()];
                handler(&Call { method: call.method, segments, query, body, caller: conn })
            }
            _ => Reply::new(400),
        };
        drop(message);
        let keep = extent.keep_alive;
        let written = conn.write(|out| {
            let connection = if keep { "" } else { "Connection: close\r\n" };
            let (status, n) = (reply.status, reply.body.len());
            let reason = http::reason(status);
            write!(
                out,
                "HTTP/1.1 {status} {reason}\r\n{}{connection}Content-Length: {n}\r\n\r\n",
                reply.headers
            )?;
            out.write_all(&reply.body)
        });
        if written.is_err() {
            return conn.close();
        }
        if !keep {
            // A long reply is more than the kernel takes at once, and its end is not to cut it short.
            let until = alarms.now() + WHOLE;
            alarms.nudge(until, conn);
            return if conn.drained(|| alarms.now() >= until) { conn.finish() } else { conn.close() };
        }
        since = alarms.now();
        alarms.nudge(since + IDLE, conn);
        conn.nudge();
    }
}
