//! A socket with a ring buffer for each direction.
//!
//! One coroutine waits on the connection and reads. Any coroutine may write; what the kernel does not take at
//! once is sent later by the reading coroutine.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use lynxstair::types::Span;
use may::io::{CoIo, WaitIo};
use nix::sys::epoll::EpollFlags;
use socket2::{Domain, Socket, Type};

use crate::alarms::ConnectionAlarm;
use crate::log_limited;
use crate::ring_buffer::RingBuffer;

/// Event bit that is set when another coroutine wakes the waiting one. No epoll event uses it.
const WOKEN: usize = 0x8000_0000;

/// A connection. Only one coroutine may read and wait; the other methods may be called by any.
pub struct Connection {
    io: CoIo<TcpStream>,
    inbound: Mutex<RingBuffer>,
    outbound: Mutex<RingBuffer>,
    is_closed: AtomicBool,
    /// `true` if nothing is left to read until the next event.
    is_drained: AtomicBool,
    /// `true` if the end of the peer's stream was signalled: the remaining bytes must be read up to it.
    is_ending: AtomicBool,
    /// `true` after an error. The kernel reports it only once, to a read or a write; later reads look like an
    /// orderly end.
    is_broken: AtomicBool,
    /// Number of bytes that the kernel has taken.
    sent_bytes: AtomicU64,
    /// Pending wake-up, owned by [`Alarms`](crate::alarms::Alarms).
    pub(crate) alarm: Mutex<ConnectionAlarm>,
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The buffer may contain new bytes.
    Bytes,
    /// The peer has closed its sending direction in order. The buffer contains all remaining bytes.
    End,
    /// The connection failed or was closed by this side. The bytes in the buffer may be incomplete.
    Broken,
    /// The memory budget has no room for more bytes. The connection is intact.
    OutOfMemory,
}

fn start_connecting(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(nix::errno::Errno::EINPROGRESS as i32) => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}

fn lock_buffer(buffer: &Mutex<RingBuffer>) -> MutexGuard<'_, RingBuffer> {
    buffer.lock().unwrap_or_else(|e| e.into_inner())
}

impl Connection {
    /// Wraps an accepted stream. `max_buffer_bytes` is the limit of each of the two buffers.
    pub fn new(stream: TcpStream, max_buffer_bytes: usize) -> io::Result<Self> {
        Connection::with_buffers(stream, || RingBuffer::new(max_buffer_bytes))
    }

    /// Like `new`, for a connection between the system's own processes: its buffers are exempt from the memory
    /// budget.
    pub fn new_internal(stream: TcpStream, max_buffer_bytes: usize) -> io::Result<Self> {
        Connection::with_buffers(stream, || RingBuffer::exempt(max_buffer_bytes))
    }

    fn with_buffers(stream: TcpStream, new_buffer: impl Fn() -> RingBuffer) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Connection {
            io: CoIo::new(stream).map_err(|e| io::Error::other(e.to_string()))?,
            inbound: Mutex::new(new_buffer()),
            outbound: Mutex::new(new_buffer()),
            is_closed: AtomicBool::new(false),
            is_drained: AtomicBool::new(false),
            is_ending: AtomicBool::new(false),
            is_broken: AtomicBool::new(false),
            sent_bytes: AtomicU64::new(0),
            alarm: Mutex::default(),
        })
    }

    /// Starts to connect to `address`. `wait_connected` waits until the connection is established.
    pub fn open(address: SocketAddr, max_buffer_bytes: usize) -> io::Result<Self> {
        Connection::new(start_connecting(address)?, max_buffer_bytes)
    }

    /// Like `open`, for a connection between the system's own processes.
    pub fn open_internal(address: SocketAddr, max_buffer_bytes: usize) -> io::Result<Self> {
        Connection::new_internal(start_connecting(address)?, max_buffer_bytes)
    }

    /// Sets the time after which the connection fails if the peer acknowledges no bytes (`TCP_USER_TIMEOUT`).
    /// Without it, the connection would hang during a network partition.
    pub fn set_unacknowledged_timeout(&self, timeout: Span) {
        let timeout = std::time::Duration::from_nanos(timeout.nanos());
        if let Err(e) = socket2::SockRef::from(self.io.inner()).set_tcp_user_timeout(Some(timeout)) {
            log_limited!("cannot set TCP_USER_TIMEOUT: {e}");
        }
    }

    /// Waits until the connection is established. Fails if it cannot be established or is closed by this
    /// side.
    pub fn wait_connected(&self) -> io::Result<()> {
        self.wait_connected_until(|| false)
    }

    /// Like `wait_connected`, but also fails once `is_over` returns `true`. The caller must have the
    /// connection woken then.
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

    /// Locks the buffer of received bytes. The lock must not be held across a wait.
    pub fn inbound(&self) -> MutexGuard<'_, RingBuffer> {
        lock_buffer(&self.inbound)
    }

    /// Reads the available bytes. If there are none, waits for bytes, for the end or for a call of `wake`.
    ///
    /// While the buffer is full nothing is read, and an end is noticed only by an error of the connection.
    pub fn read(&self) -> ReadOutcome {
        self.read_until(|| false)
    }

    /// Like `read`, but also returns `Bytes` once `is_ready` returns `true`, which is asked after each event, for
    /// example when the peer has taken bytes.
    pub fn read_until(&self, is_ready: impl Fn() -> bool) -> ReadOutcome {
        loop {
            if !self.is_drained.load(Ordering::Relaxed) {
                match self.read_available() {
                    Ok(0) => {}
                    Ok(_) => return ReadOutcome::Bytes,
                    Err(e) => return self.end_after(&e),
                }
            }
            if self.is_closed() || self.flush().is_err() {
                return self.end();
            }
            if is_ready() {
                return ReadOutcome::Bytes;
            }
            let is_woken = self.wait_event();
            if is_woken {
                return if self.is_closed() { self.end() } else { ReadOutcome::Bytes };
            }
        }
    }

    /// Waits for an event of the socket or a call of `wake`, and records what it says of the inbound direction.
    /// Returns `true` after a call of `wake`.
    fn wait_event(&self) -> bool {
        let bits = self.io.wait_io();
        let events = EpollFlags::from_bits_truncate(bits as i32);
        let ends = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
        if events.intersects(ends) {
            self.is_ending.store(true, Ordering::Relaxed);
        }
        if events.intersects(ends | EpollFlags::EPOLLIN) {
            self.is_drained.store(false, Ordering::Relaxed);
        }
        bits & WOKEN != 0
    }

    /// Reads the available bytes without waiting; `None` if there are none or the buffer is full.
    pub fn try_read(&self) -> Option<ReadOutcome> {
        match self.read_available() {
            Ok(0) => None,
            Ok(_) => Some(ReadOutcome::Bytes),
            Err(e) => Some(self.end_after(&e)),
        }
    }

    fn end_after(&self, error: &io::Error) -> ReadOutcome {
        if error.kind() == io::ErrorKind::OutOfMemory { ReadOutcome::OutOfMemory } else { self.end() }
    }

    /// Returns `End` if the connection ended in order, and `Broken` after an error or if this side closed it.
    fn end(&self) -> ReadOutcome {
        let is_broken = self.is_broken.load(Ordering::Relaxed) || self.is_closed();
        // The kernel may still hold the error of a reset that followed the last bytes.
        let is_broken = is_broken || !matches!(self.io.inner().take_error(), Ok(None));
        self.is_broken.store(is_broken, Ordering::Relaxed);
        if is_broken { ReadOutcome::Broken } else { ReadOutcome::End }
    }

    /// Reads the available bytes and returns their number; fails at the end of the stream.
    ///
    /// A read that does not fill the free part of the buffer has emptied the socket. Stopping there saves a
    /// system call, as an event signals further bytes.
    fn read_available(&self) -> io::Result<usize> {
        let mut inbound = self.inbound();
        let mut received = 0;
        while !inbound.is_full() {
            match inbound.read_from(&mut self.io.inner()) {
                Ok((0, _)) => {
                    return if received > 0 {
                        Ok(received)
                    } else {
                        Err(io::ErrorKind::UnexpectedEof.into())
                    };
                }
                Ok((n, is_filled)) => {
                    received += n;
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
                    let is_broken = e.kind() != io::ErrorKind::OutOfMemory;
                    self.is_broken.fetch_or(is_broken, Ordering::Relaxed);
                    return if received > 0 { Ok(received) } else { Err(e) };
                }
            }
        }
        Ok(received)
    }

    /// Writes a message, with one system call if the kernel takes all of it.
    ///
    /// Fails if the connection has failed or the buffer cannot hold the message. After an error, `unsent`
    /// shows whether the kernel has taken all of it.
    pub fn write(&self, message: impl FnOnce(&mut RingBuffer) -> io::Result<()>) -> io::Result<()> {
        message(&mut lock_buffer(&self.outbound))?;
        self.flush()
    }

    fn flush(&self) -> io::Result<()> {
        let mut outbound = lock_buffer(&self.outbound);
        let unsent = outbound.len();
        let written = outbound.write_to(&mut self.io.inner());
        self.sent_bytes.fetch_add((unsent - outbound.len()) as u64, Ordering::Relaxed);
        match written {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => {
                self.is_broken.store(true, Ordering::Relaxed);
                Err(e)
            }
            Ok(()) => Ok(()),
        }
    }

    /// Waits until the kernel has taken all written bytes.
    ///
    /// Returns `false` if the connection failed or was closed, or if `is_over` returned `true`; the caller
    /// must have the connection woken then. Only the reading coroutine may call this.
    pub fn wait_flushed(&self, is_over: impl Fn() -> bool) -> bool {
        while !self.is_closed() && !is_over() && self.flush().is_ok() {
            if self.unsent() == 0 {
                return true;
            }
            self.wait_event();
        }
        false
    }

    /// Number of bytes that the kernel has taken since the start.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns `true` if the peer has closed its sending direction, or the connection has failed, even if bytes
    /// from before are still unread.
    pub fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::Relaxed)
    }

    /// Number of written bytes that the kernel has not taken yet.
    pub fn unsent(&self) -> usize {
        lock_buffer(&self.outbound).len()
    }

    /// Returns `true` if an idle connection cannot be reused: it was closed by either side, or unread bytes
    /// have been received. Does not wait.
    pub fn is_stale(&self) -> bool {
        let peeked = self.io.inner().peek(&mut [0]);
        self.is_closed() || !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns `true` if either side has closed the connection. Does not wait, and does not see an end behind
    /// unread bytes.
    pub fn is_ended_by_peer(&self) -> bool {
        let is_ended = match self.io.inner().peek(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock && e.kind() != io::ErrorKind::Interrupted,
        };
        self.is_closed() || is_ended
    }

    /// Returns `true` if this side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Wakes the coroutine that waits on the connection.
    pub fn wake(&self) {
        self.io.waker().wakeup();
    }

    /// Closes both directions and wakes the coroutine that waits on the connection.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let _ = self.io.inner().shutdown(Shutdown::Both);
        self.wake();
    }

    /// Closes the sending direction. The peer receives what the kernel has taken; bytes still in the buffer
    /// are lost unless `wait_flushed` was called before.
    pub fn shut_down_write(&self) {
        let _ = self.io.inner().shutdown(Shutdown::Write);
    }
}
