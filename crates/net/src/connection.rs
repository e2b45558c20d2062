//! A connection: a socket and one ring buffer for each direction. One coroutine waits on it and reads; whoever has a message
//! writes it at once, and what the kernel does not take is sent later by the one that reads.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use lynxstair::types::Span;
use may::io::{CoIo, WaitIo};
use nix::sys::epoll::EpollFlags;
use socket2::{Domain, Socket, Type};

use crate::log_limited;
use crate::ring_buffer::RingBuffer;

/// What a waiter is told when another coroutine wakes it; no event of epoll has this bit.
const WOKEN: usize = 0x8000_0000;

/// One connection. Reading and waiting are for one coroutine, everything else for any.
pub struct Connection {
    io: CoIo<TcpStream>,
    inbound: Mutex<RingBuffer>,
    outbound: Mutex<RingBuffer>,
    is_closed: AtomicBool,
    /// All that the kernel held was read: nothing to read until the next event.
    is_drained: AtomicBool,
    /// The end of the other side was signalled: what is left is to be read up to it.
    is_ending: AtomicBool,
    /// An error was met. The kernel reports it once, to a read or to a write, and after that it looks like an orderly end: so
    /// it is kept.
    is_broken: AtomicBool,
}

/// What became of reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// There may be something new in the buffer.
    Bytes,
    /// The other side has ended its sending in order: all that it sent is in the buffer.
    End,
    /// The connection broke, or was closed here: what is in the buffer may lack its end.
    Broken,
}

fn lock(buffer: &Mutex<RingBuffer>) -> MutexGuard<'_, RingBuffer> {
    buffer.lock().unwrap_or_else(|e| e.into_inner())
}

impl Connection {
    /// A connection that was accepted. `max_buffer`: the bound of each buffer, in bytes.
    pub fn new(stream: TcpStream, max_buffer: usize) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Connection {
            io: CoIo::new(stream).map_err(|e| io::Error::other(e.to_string()))?,
            inbound: Mutex::new(RingBuffer::new(max_buffer)),
            outbound: Mutex::new(RingBuffer::new(max_buffer)),
            is_closed: AtomicBool::new(false),
            is_drained: AtomicBool::new(false),
            is_ending: AtomicBool::new(false),
            is_broken: AtomicBool::new(false),
        })
    }

    /// Begins to connect; `wait_connected` waits for the end of that.
    pub fn open(to: SocketAddr, max_buffer: usize) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(nix::errno::Errno::EINPROGRESS as i32) => {}
            Err(e) => return Err(e),
        }
        Connection::new(socket.into(), max_buffer)
    }

    /// Ends the connection where the other side does not acknowledge bytes for this long (`TCP_USER_TIMEOUT`): it would
    /// hang otherwise while the network is partitioned.
    pub fn set_unacknowledged_timeout(&self, timeout: Span) {
        let timeout = std::time::Duration::from_nanos(timeout.nanos());
        if let Err(e) = socket2::SockRef::from(self.io.inner()).set_tcp_user_timeout(Some(timeout)) {
            log_limited!("no limit to silence: {e}");
        }
    }

    /// Waits until it is connected.
    pub fn wait_connected(&self) -> io::Result<()> {
        self.wait_connected_until(|| false)
    }

    /// The same, until `is_over`; whoever asks has it woken then.
    pub fn wait_connected_until(&self, is_over: impl Fn() -> bool) -> io::Result<()> {
        loop {
            if self.is_closed() || is_over() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if let Some(e) = self.io.inner().take_error()? {
                self.is_broken.store(true, Ordering::Relaxed);
                return Err(e);
            }
            if self.io.inner().peer_addr().is_ok() {
                return Ok(());
            }
            self.io.wait_io();
        }
    }

    /// What has come in and was not consumed. Not to be held over a wait.
    pub fn inbound(&self) -> MutexGuard<'_, RingBuffer> {
        lock(&self.inbound)
    }

    /// Waits until there is something to read, the end, or a call of `wake`; reads what there is.
    pub fn read(&self) -> ReadOutcome {
        loop {
            if !self.is_drained.load(Ordering::Relaxed) {
                match self.read_available() {
                    Ok(0) => {}
                    Ok(_) => return ReadOutcome::Bytes,
                    Err(_) => return self.end(),
                }
            }
            if self.is_closed() || self.flush().is_err() {
                return self.end();
            }
            let events = self.io.wait_io();
            let is_woken = events & WOKEN != 0;
            let events = EpollFlags::from_bits_truncate(events as i32);
            let ends = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
            if events.intersects(ends) {
                self.is_ending.store(true, Ordering::Relaxed);
            }
            if events.intersects(ends | EpollFlags::EPOLLIN) {
                self.is_drained.store(false, Ordering::Relaxed);
            }
            if is_woken {
                return if self.is_closed() { self.end() } else { ReadOutcome::Bytes };
            }
        }
    }

    /// Reads what the kernel holds by now, without waiting. None: nothing more, for now.
    pub fn try_read(&self) -> Option<ReadOutcome> {
        match self.read_available() {
            Ok(0) => None,
            Ok(_) => Some(ReadOutcome::Bytes),
            Err(_) => Some(self.end()),
        }
    }

    /// How it ended: in order only where nothing broke and nobody closed it here. A reset is no orderly end.
    fn end(&self) -> ReadOutcome {
        let is_broken = self.is_broken.load(Ordering::Relaxed) || self.is_closed();
        // A reset that came behind the last bytes is still with the kernel.
        let is_broken = is_broken || !matches!(self.io.inner().take_error(), Ok(None));
        self.is_broken.store(is_broken, Ordering::Relaxed);
        if is_broken { ReadOutcome::Broken } else { ReadOutcome::End }
    }

    /// Reads what is there; an error is the end. A piece that is not filled up means that no more is there, which saves a
    /// system call: the next bytes are signalled anew.
    fn read_available(&self) -> io::Result<usize> {
        let mut inbound = self.inbound();
        let mut total = 0;
        while !inbound.is_full() {
            match inbound.read_from(&mut self.io.inner()) {
                Ok((0, _)) => {
                    return if total > 0 { Ok(total) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
                }
                Ok((n, is_filled)) => {
                    total += n;
                    if !is_filled && !self.is_ending.load(Ordering::Relaxed) {
                        self.is_drained.store(true, Ordering::Relaxed);
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.is_drained.store(true, Ordering::Relaxed);
                    break;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.is_broken.store(true, Ordering::Relaxed);
                    return if total > 0 { Ok(total) } else { Err(e) };
                }
            }
        }
        Ok(total)
    }

    /// Writes a message, with one system call where the kernel takes all of it. An error means that the connection broke, or
    /// that the buffer could not hold the message; `unsent` then tells whether all of it was handed to the kernel.
    pub fn write(&self, message: impl FnOnce(&mut RingBuffer) -> io::Result<()>) -> io::Result<()> {
        message(&mut lock(&self.outbound))?;
        self.flush()
    }

    fn flush(&self) -> io::Result<()> {
        let mut outbound = lock(&self.outbound);
        match outbound.write_to(&mut self.io.inner()) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => {
                self.is_broken.store(true, Ordering::Relaxed);
                Err(e)
            }
            Ok(()) => Ok(()),
        }
    }

    /// Waits until the kernel has taken all that was written; false where the connection broke, or `is_over`: whoever asks
    /// has it woken then. For the coroutine that reads, when it reads no more.
    pub fn wait_flushed(&self, is_over: impl Fn() -> bool) -> bool {
        while !self.is_closed() && !is_over() && self.flush().is_ok() {
            if self.unsent() == 0 {
                return true;
            }
            self.io.wait_io();
        }
        false
    }

    /// How many bytes the kernel has not taken yet.
    pub fn unsent(&self) -> usize {
        lock(&self.outbound).len()
    }

    /// Whether the other side has ended it or sent something unasked, without waiting.
    pub fn is_stale(&self) -> bool {
        let peeked = self.io.inner().peek(&mut [0]);
        self.is_closed() || !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the other side has ended it, without waiting. What it sent besides is no end.
    pub fn is_ended_by_peer(&self) -> bool {
        let is_ended = match self.io.inner().peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock && e.kind() != io::ErrorKind::Interrupted,
        };
        self.is_closed() || is_ended
    }

    /// Whether it was closed here.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Wakes the coroutine that waits on it, to look at the buffer again.
    pub fn wake(&self) {
        self.io.waker().wakeup();
    }

    /// Ends it in both directions, and wakes the coroutine that waits on it.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let _ = self.io.inner().shutdown(Shutdown::Both);
        self.wake();
    }

    /// Ends the sending: the other side gets all that the kernel has taken, and then the end. What it has not taken is lost:
    /// see `wait_flushed`.
    pub fn shut_down_write(&self) {
        let _ = self.io.inner().shutdown(Shutdown::Write);
    }
}
