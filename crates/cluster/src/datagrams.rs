//! The socket for datagrams among members, with a limit on how many are taken in a second.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use lynxstair::types::Time;
use lynxstair_net::clock::Clock;
use may::coroutine::yield_now;
use may::io::{CoIo, WaitIo};
use tracing::warn;

use crate::error::StartError;

/// Most datagrams read in one turn, before other coroutines on the thread have theirs.
const MAX_PER_TURN: usize = 16;
/// Most datagrams taken in a second, with a burst of as many. What is over is read and dropped.
const MAX_PER_SECOND: u64 = 4_000;
/// Longer than any datagram of the protocols, so that one that is too long is seen to be.
const BUFFER_BYTES: usize = lynxstair_leases::MAX_DATAGRAM_BYTES + 1;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// The socket. Nothing waits on a send: what can't go at once is dropped and counted, and the protocols repeat.
pub(crate) struct DatagramSocket {
    socket: CoIo<UdpSocket>,
    dropped: AtomicU64,
    unsent: AtomicU64,
}

impl DatagramSocket {
    /// Binds the socket.
    pub fn bind(addr: SocketAddrV4) -> Result<Self, StartError> {
        let open = || -> io::Result<CoIo<UdpSocket>> {
            let socket = UdpSocket::bind(addr)?;
            socket.set_nonblocking(true)?;
            Ok(CoIo::new(socket)?)
        };
        let socket = open().map_err(|source| StartError::DatagramSocket { addr, source })?;
        Ok(DatagramSocket { socket, dropped: AtomicU64::new(0), unsent: AtomicU64::new(0) })
    }

    /// Sends now or not at all.
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        if self.socket.inner().send_to(datagram, to).is_err() {
            self.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Datagrams dropped unread, since too many came.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Datagrams that could not be sent.
    pub fn unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Hands each datagram to `deliver`, for ever. Runs on a coroutine.
    pub fn receive_all(&self, clock: Clock, deliver: impl Fn(Time, SocketAddrV4, &[u8])) {
        // On the heap: a coroutine's stack is small.
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut limit = RateLimit::new(clock.now());
        let mut in_turn = 0;
        loop {
            match self.socket.inner().recv_from(&mut buffer) {
                Ok((length, SocketAddr::V4(from))) => {
                    let now = clock.now();
                    if limit.take(now) {
                        deliver(now, from, &buffer[..length]);
                    } else {
                        self.dropped.fetch_add(1, Ordering::Relaxed);
                    }
                    in_turn += 1;
                    if in_turn >= MAX_PER_TURN {
                        in_turn = 0;
                        yield_now();
                    }
                }
                Ok((_, SocketAddr::V6(_))) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    in_turn = 0;
                    self.socket.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    warn!(%e, "fleet: datagrams");
                    yield_now();
                }
            }
        }
    }
}

/// A token bucket with a burst of one second's datagrams.
struct RateLimit {
    tokens: u64,
    refilled_at: Time,
}

impl RateLimit {
    fn new(now: Time) -> Self {
        RateLimit { tokens: MAX_PER_SECOND, refilled_at: now }
    }

    fn take(&mut self, now: Time) -> bool {
        let earned = (now - self.refilled_at).nanos() * MAX_PER_SECOND / NANOS_PER_SECOND;
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(MAX_PER_SECOND);
            self.refilled_at = now;
        }
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }
}
