//! UDP socket for the datagrams between members, with a rate limit on received ones.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use lynxstair::types::Time;
use lynxstair_net::clock::Clock;
use may::coroutine::yield_now;
use may::io::{CoIo, WaitIo};
use tracing::warn;

use crate::error::StartError;

/// Most datagrams read before yielding to other coroutines of the thread.
const MAX_DATAGRAMS_PER_TURN: usize = 16;
/// Rate limit of received datagrams; the burst is one second of datagrams. Excess datagrams are dropped.
const MAX_DATAGRAMS_PER_SECOND: u64 = 4_000;
/// One byte more than the longest valid datagram, so that an oversized one is not truncated to a valid
/// length.
const BUFFER_BYTES: usize = lynxstair_leases::MAX_DATAGRAM_BYTES + 1;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Non-blocking UDP socket. A datagram that can't be sent at once is dropped and counted; the protocols
/// retransmit.
pub(crate) struct DatagramSocket {
    socket: CoIo<UdpSocket>,
    dropped: AtomicU64,
    unsent: AtomicU64,
}

impl DatagramSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn bind(addr: SocketAddrV4) -> Result<Self, StartError> {
        let open = || -> io::Result<CoIo<UdpSocket>> {
            let socket = UdpSocket::bind(addr)?;
            socket.set_nonblocking(true)?;
            Ok(CoIo::new(socket)?)
        };
        let socket = open().map_err(|source| StartError::DatagramSocket { addr, source })?;
        Ok(DatagramSocket { socket, dropped: AtomicU64::new(0), unsent: AtomicU64::new(0) })
    }

    /// Sends a datagram, or drops it if it can't be sent at once.
    pub fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        if self.socket.inner().send_to(datagram, to).is_err() {
            self.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of datagrams dropped by the rate limit.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams that could not be sent.
    pub fn unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Passes each received datagram to `deliver`. Never returns; runs on a coroutine.
    pub fn receive_all(&self, clock: Clock, deliver: impl Fn(Time, SocketAddrV4, &[u8])) {
        // On the heap, because coroutine stacks are small.
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
                    if in_turn >= MAX_DATAGRAMS_PER_TURN {
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
                    warn!(%e, "fleet: receiving datagrams failed");
                    yield_now();
                }
            }
        }
    }
}

/// Token bucket with a burst of one second of datagrams.
struct RateLimit {
    tokens: u64,
    refilled_at: Time,
}

impl RateLimit {
    fn new(now: Time) -> Self {
        RateLimit { tokens: MAX_DATAGRAMS_PER_SECOND, refilled_at: now }
    }

    fn take(&mut self, now: Time) -> bool {
        let earned = (now - self.refilled_at).nanos() * MAX_DATAGRAMS_PER_SECOND / NANOS_PER_SECOND;
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(MAX_DATAGRAMS_PER_SECOND);
            self.refilled_at = now;
        }
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }
}
