//! A connection: a socket and one ring buffer a direction. One coroutine waits on it and reads; whoever has
//! a message writes it at once, and what the kernel does not take is sent on by the one that waits.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};

use lynxstair::types::Span;
use may::io::{CoIo, WaitIo};
use nix::sys::epoll::EpollFlags;
use socket2::{Domain, Socket, Type};

use crate::log;

/// What a buffer starts with, and what it goes back to when it is empty.
const SMALL: usize = 2048;

/// What all buffers together may take up, and take up.
static MOST_BYTES: AtomicUsize = AtomicUsize::new(usize::MAX);
static BYTES: AtomicUsize = AtomicUsize::new(0);

/// Bounds what all buffers together take up. A connection that would need more breaks.
pub fn bound_buffers(most: usize) {
    MOST_BYTES.store(most, Ordering::Relaxed);
}

/// A ring buffer that grows up to a bound and shrinks again once empty.
pub struct Ring {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    most: usize,
}

impl Ring {
    pub fn new(most: usize) -> Self {
        Ring { bytes: Vec::new(), head: 0, len: 0, most }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn is_full(&self) -> bool {
        self.len >= self.most
    }

    /// All of it in one piece, which it nearly always is already.
    pub fn bytes(&mut self) -> &mut [u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &mut self.bytes[self.head..self.head + self.len]
    }

    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head += n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > SMALL {
                self.give_back();
            }
        } else if self.head >= self.bytes.len() {
            self.head -= self.bytes.len();
        }
    }

    fn give_back(&mut self) {
        BYTES.fetch_sub(self.bytes.len(), Ordering::Relaxed);
        self.bytes = Vec::new();
    }

    fn grow(&mut self, wanted: usize) -> io::Result<()> {
        self.bytes();
        let size = wanted.max(SMALL).next_power_of_two().min(self.most.max(SMALL));
        let more = size - self.bytes.len();
        if BYTES.fetch_add(more, Ordering::Relaxed) + more > MOST_BYTES.load(Ordering::Relaxed) {
            BYTES.fetch_sub(more, Ordering::Relaxed);
            log!("the buffers of all connections are full");
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.bytes.resize(size, 0);
        Ok(())
    }

    /// The next free piece; empty where there is none.
    fn free(&mut self) -> &mut [u8] {
        let (size, end) = (self.bytes.len(), self.head + self.len);
        if end < size { &mut self.bytes[end..] } else { &mut self.bytes[end - size..self.head] }
    }

    /// Reads once; whether the piece that was free was filled up, so that there may be more.
    fn read_from(&mut self, source: &mut impl Read) -> io::Result<(usize, bool)> {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1)?;
        }
        let free = self.free();
        let room = free.len();
        let n = source.read(free)?;
        self.len += n;
        Ok((n, n == room))
    }

    fn write_to(&mut self, sink: &mut impl Write) -> io::Result<()> {
        while !self.is_empty() {
            match sink.write(self.bytes()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.consume(n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

impl Drop for Ring {
    fn drop(&mut self) {
        self.give_back();
    }
}

impl Write for Ring {
    /// Takes all of it or fails.
    fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        if self.len + from.len() > self.most {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        if self.len + from.len() > self.bytes.len() {
            self.grow(self.len + from.len())?;
        }
        let mut rest = from;
        while !rest.is_empty() {
            let free = self.free();
            let n = free.len().min(rest.len());
            free[..n].copy_from_slice(&rest[..n]);
            self.len += n;
            rest = &rest[n..];
        }
        Ok(from.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

pub struct Conn {
    io: CoIo<TcpStream>,
    inbound: Mutex<Ring>,
    outbound: Mutex<Ring>,
    closed: AtomicBool,
    /// All that was there is read: nothing to read until the next event.
    dry: AtomicBool,
    /// The end of the other side was signalled: what is left is to be read up to it.
    ending: AtomicBool,
    /// An error was met. The kernel tells it once, to a read or to a write, and after that it looks like an
    /// orderly end: so it is kept.
    broken: AtomicBool,
}

/// What a waiter is told when it is woken by another coroutine; no event of epoll has this bit.
const NUDGED: usize = 0x8000_0000;

/// What became of reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    /// There may be something new in the buffer.
    Bytes,
    /// The other side has ended its sending in order: all that it sent is in the buffer.
    End,
    /// The connection broke, or was closed here: what is in the buffer may lack its end.
    Broken,
}

fn lock(ring: &Mutex<Ring>) -> MutexGuard<'_, Ring> {
    ring.lock().unwrap_or_else(|e| e.into_inner())
}

impl Conn {
    pub fn new(stream: TcpStream, most: usize) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Conn {
            io: CoIo::new(stream).map_err(|e| io::Error::other(e.to_string()))?,
            inbound: Mutex::new(Ring::new(most)),
            outbound: Mutex::new(Ring::new(most)),
            closed: AtomicBool::new(false),
            dry: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            broken: AtomicBool::new(false),
        })
    }

    /// Begins to connect; `connected` waits for the end of that.
    pub fn open(to: SocketAddr, most: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(nix::errno::Errno::EINPROGRESS as i32) => {}
            Err(e) => return Err(e),
        }
        Conn::new(socket.into(), most)
    }

    /// Bytes that the other side does not acknowledge for so long end the connection: across a cut it would
    /// otherwise hang.
    pub fn limit_silence(&self, most: Span) {
        let most = std::time::Duration::from_nanos(most.nanos());
        if let Err(e) = socket2::SockRef::from(self.io.inner()).set_tcp_user_timeout(Some(most)) {
            log!("no limit to silence: {e}");
        }
    }

    pub fn connected(&self) -> io::Result<()> {
        self.connected_by(|| false)
    }

    /// The same, until its time is up; whoever asks has it nudged then.
    pub fn connected_by(&self, is_over: impl Fn() -> bool) -> io::Result<()> {
        loop {
            if self.is_closed() || is_over() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if let Some(e) = self.io.inner().take_error()? {
                self.broken.store(true, Ordering::Relaxed);
                return Err(e);
            }
            if self.io.inner().peer_addr().is_ok() {
                return Ok(());
            }
            self.io.wait_io();
        }
    }

    /// What has come in and was not consumed. Not to be held over a wait.
    pub fn inbound(&self) -> MutexGuard<'_, Ring> {
        lock(&self.inbound)
    }

    /// Waits until there is something to read or the end, and reads it.
    pub fn read(&self) -> Got {
        loop {
            if !self.dry.load(Ordering::Relaxed) {
                match self.read_now() {
                    Ok(0) => {}
                    Ok(_) => return Got::Bytes,
                    Err(_) => return self.end(),
                }
            }
            if self.is_closed() || self.flush().is_err() {
                return self.end();
            }
            let events = self.io.wait_io();
            let nudged = events & NUDGED != 0;
            let events = EpollFlags::from_bits_truncate(events as i32);
            let ends = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
            if events.intersects(ends) {
                self.ending.store(true, Ordering::Relaxed);
            }
            if events.intersects(ends | EpollFlags::EPOLLIN) {
                self.dry.store(false, Ordering::Relaxed);
            }
            if nudged {
                return if self.is_closed() { self.end() } else { Got::Bytes };
            }
        }
    }

    /// Reads what the kernel holds by now, without waiting. None: nothing more, for now.
    pub fn look(&self) -> Option<Got> {
        match self.read_now() {
            Ok(0) => None,
            Ok(_) => Some(Got::Bytes),
            Err(_) => Some(self.end()),
        }
    }

    /// How it ended: in order only where nothing broke and nobody closed it here. A reset is no end.
    fn end(&self) -> Got {
        let broke = self.broken.load(Ordering::Relaxed) || self.is_closed();
        // A reset that came behind the last bytes is still with the kernel.
        let broke = broke || !matches!(self.io.inner().take_error(), Ok(None));
        self.broken.store(broke, Ordering::Relaxed);
        if broke { Got::Broken } else { Got::End }
    }

    /// Reads what is there; an error is the end. A piece not filled up tells that no more is there, which
    /// saves a call: the next bytes are signalled anew.
    fn read_now(&self) -> io::Result<usize> {
        let mut ring = self.inbound();
        let mut total = 0;
        while !ring.is_full() {
            match ring.read_from(&mut self.io.inner()) {
                Ok((0, _)) => {
                    return if total > 0 { Ok(total) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
                }
                Ok((n, filled)) => {
                    total += n;
                    if !filled && !self.ending.load(Ordering::Relaxed) {
                        self.dry.store(true, Ordering::Relaxed);
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.dry.store(true, Ordering::Relaxed);
                    break;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.broken.store(true, Ordering::Relaxed);
                    return if total > 0 { Ok(total) } else { Err(e) };
                }
            }
        }
        Ok(total)
    }

    /// Writes a message, in one call where the kernel takes it whole. An error means that the connection
    /// broke; `unsent` then tells whether all of it was handed to the kernel.
    pub fn write(&self, message: impl FnOnce(&mut Ring) -> io::Result<()>) -> io::Result<()> {
        message(&mut lock(&self.outbound))?;
        self.flush()
    }

    fn flush(&self) -> io::Result<()> {
        let mut ring = lock(&self.outbound);
        match ring.write_to(&mut self.io.inner()) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => {
                self.broken.store(true, Ordering::Relaxed);
                Err(e)
            }
            Ok(()) => Ok(()),
        }
    }

    /// Waits until the kernel has taken all that was written; false where the connection broke or the time for that is
    /// up: whoever asks has it nudged then. For the one that reads, when it reads no more.
    pub fn drained(&self, is_over: impl Fn() -> bool) -> bool {
        while !self.is_closed() && !is_over() && self.flush().is_ok() {
            if self.unsent() == 0 {
                return true;
            }
            self.io.wait_io();
        }
        false
    }

    /// Bytes that the kernel has not taken.
    pub fn unsent(&self) -> usize {
        lock(&self.outbound).len()
    }

    /// Whether the other side has ended or sent something unasked, without waiting.
    pub fn is_stale(&self) -> bool {
        let peeked = self.io.inner().peek(&mut [0]);
        self.is_closed() || !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the other side has ended it, without waiting. What it sent besides is no end.
    pub fn has_ended(&self) -> bool {
        let ended = match self.io.inner().peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock && e.kind() != io::ErrorKind::Interrupted,
        };
        self.is_closed() || ended
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Wakes whoever waits on it, to look at the buffer again.
    pub fn nudge(&self) {
        self.io.waker().wakeup();
    }

    /// Ends it both ways, and wakes whoever waits on it.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        let _ = self.io.inner().shutdown(Shutdown::Both);
        self.nudge();
    }

    /// Ends the sending: the other side gets all that the kernel has taken, and then the end. What it has not taken is
    /// lost: see `drained`.
    pub fn finish(&self) {
        let _ = self.io.inner().shutdown(Shutdown::Write);
    }
}

#[cfg(test)]
mod tests;
