//! The control port: an operator asks one thing in one line, and gets one line. Bounded in connections, bytes
//! and time; what can't be understood is told so.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_net::coroutine::spawn_then;
use may::io::{CoIo, WaitIo};
use tracing::warn;

use crate::protocol::{Answer, Ask, LONGEST_ASKED};
use crate::side::Side;

/// So many operators at once; the next one is closed at once.
const MOST: usize = 16;
/// From connecting to the last byte of the answer.
const LONGEST: Span = Span::from_millis(3_000);

struct Caller {
    io: CoIo<TcpStream>,
    since: Time,
}

pub(crate) struct Control {
    listener: CoIo<TcpListener>,
    callers: Mutex<HashMap<u64, Arc<Caller>>>,
    last: AtomicU64,
}

impl Control {
    pub fn listen(on: SocketAddrV4) -> Result<Self, String> {
        let why = |e: &dyn std::fmt::Display| format!("control port on {on}: {e}");
        let listener = TcpListener::bind(on).map_err(|e| why(&e))?;
        let listener = CoIo::new(listener).map_err(|e| why(&e))?;
        Ok(Control { listener, callers: Mutex::new(HashMap::new()), last: AtomicU64::new(0) })
    }

    fn callers(&self) -> MutexGuard<'_, HashMap<u64, Arc<Caller>>> {
        self.callers.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn accept(&self, side: &Arc<Side>) {
        loop {
            match self.listener.inner().accept() {
                Ok((stream, _)) => self.admit(side, stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.listener.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    // No descriptor, say: the next one that comes tries again.
                    warn!(%e, "fleet: control port");
                    self.listener.wait_io();
                }
            }
        }
    }

    fn admit(&self, side: &Arc<Side>, stream: TcpStream) {
        if self.callers().len() >= MOST {
            return;
        }
        let Ok(io) = CoIo::new(stream) else { return };
        let number = self.last.fetch_add(1, Ordering::Relaxed);
        let caller = Arc::new(Caller { io, since: side.clock().now() });
        self.callers().insert(number, caller.clone());
        side.ticker().wake_by(caller.since + LONGEST);
        let (asked, over) = (side.clone(), side.clone());
        spawn_then("an operator", move || caller.serve(&asked), move |_| over.forget(number));
    }

    /// Whoever takes too long is cut off.
    pub fn tick(&self, now: Time) {
        for caller in self.callers().values().filter(|c| now - c.since >= LONGEST) {
            let _ = caller.io.inner().shutdown(Shutdown::Both);
        }
    }

    /// When it is to be looked at again.
    pub fn wakes_after(&self) -> Span {
        if self.callers().is_empty() { Span::from_millis(3_600_000) } else { LONGEST }
    }
}

impl Side {
    fn forget(&self, number: u64) {
        self.control_port().callers().remove(&number);
    }
}

impl Caller {
    fn serve(&self, side: &Arc<Side>) {
        let Some(line) = self.line() else { return };
        let answer = match serde_json::from_slice::<Ask>(&line) {
            Ok(ask) => side.answer(ask),
            Err(e) => Answer::No { why: format!("not understood: {e}") },
        };
        let Ok(mut text) = serde_json::to_vec(&answer) else { return };
        text.push(b'\n');
        self.say(&text);
        let _ = self.io.inner().shutdown(Shutdown::Write);
    }

    fn line(&self) -> Option<Vec<u8>> {
        let mut line = Vec::new();
        let mut piece = [0; 512];
        loop {
            match (&mut self.io.inner()).read(&mut piece) {
                Ok(0) => return None,
                Ok(n) => {
                    line.extend(&piece[..n]);
                    if let Some(end) = line.iter().position(|b| *b == b'\n') {
                        line.truncate(end);
                        return Some(line);
                    }
                    if line.len() > LONGEST_ASKED {
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

    fn say(&self, mut rest: &[u8]) {
        while !rest.is_empty() {
            match (&mut self.io.inner()).write(rest) {
                Ok(0) => return,
                Ok(n) => rest = &rest[n..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.io.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }
}
