//! TCP connections that carry CBOR frames between the system's own processes.
//!
//! Writes never block. A failed connection is reopened by the side that opened it; messages in flight are
//! lost, and the protocols on both sides expect that.
#![deny(unsafe_code)]

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::Span;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_protocol::frames;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Buffer size for one direction of a connection, in bytes; holds the longest frame.
pub const MAX_BUFFER_LEN: usize = frames::MAX_FRAME_LEN + 4;
/// Time after which a connection with unacknowledged bytes is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Span = Span::from_millis(1_500);

/// Opens a connection. Returns `None` if it fails or takes longer than `timeout`, which should be slightly
/// longer than the longest round trip: a lost SYN packet is retransmitted only after a second or more.
pub fn connect(alarms: &Alarms, to: SocketAddr, timeout: Span) -> Option<Arc<Connection>> {
    let connection = Arc::new(Connection::open_internal(to, MAX_BUFFER_LEN).ok()?);
    let deadline = alarms.now() + timeout;
    alarms.wake_connection(deadline, &connection);
    if connection.wait_connected_until(|| alarms.now() >= deadline).is_err() {
        connection.close();
        return None;
    }
    limit_unacknowledged(&connection);
    Some(connection)
}

/// Time-out and retry delays of `keep_connected`.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectPolicy {
    /// Time-out of a connection attempt.
    pub connect_timeout: Span,
    /// Delay before reconnecting after a connection has ended; each failed attempt increases it.
    pub min_delay: Span,
    /// Upper bound of the delay.
    pub max_delay: Span,
}

/// Factor by which each failed attempt increases the delay.
const BACKOFF_FACTOR: f64 = 1.25;

/// Keeps a connection open, and reconnects until `is_wanted` returns `false`, which is checked before each
/// attempt. Runs `serve` on each connection and closes it when `serve` returns. Blocks, so it runs in a
/// coroutine of its own.
pub fn keep_connected(
    alarms: &Alarms,
    to: SocketAddr,
    policy: ReconnectPolicy,
    is_wanted: impl Fn() -> bool,
    mut serve: impl FnMut(&Arc<Connection>),
) {
    let mut delay = policy.min_delay;
    while is_wanted() {
        match connect(alarms, to, policy.connect_timeout) {
            Some(connection) => {
                delay = policy.min_delay;
                serve(&connection);
                connection.close();
            }
            None => delay = delay.times(BACKOFF_FACTOR).min(policy.max_delay),
        }
        alarms.sleep_until(alarms.now() + delay);
    }
}

/// Makes the kernel close the connection if sent bytes are not acknowledged within `UNACKNOWLEDGED_TIMEOUT`.
pub fn limit_unacknowledged(connection: &Connection) {
    connection.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT);
}

/// Encodes a message as a frame, which can be written to several connections.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::new();
    frames::encode(message, &mut out);
    out
}

/// Writes a frame without blocking. Closes the connection instead if more than `max_unsent` bytes are still
/// unsent, as the peer is not reading, or if the write fails.
pub fn write(connection: &Connection, frame: &[u8], max_unsent: usize) {
    if connection.unsent() > max_unsent || connection.write(|out| out.write_all(frame)).is_err() {
        connection.close();
    }
}

/// Reads messages until the connection ends, a frame is invalid or longer than the receive buffer, or `handle`
/// returns `false`.
pub fn read<T: DeserializeOwned>(connection: &Connection, mut handle: impl FnMut(T) -> bool) {
    read_with_wakeups(connection, |message: Option<T>| message.is_none_or(&mut handle));
}

/// Like [`read`], but also calls `handle` with `None` at each wake-up, before the received bytes are
/// decoded.
pub fn read_with_wakeups<T: DeserializeOwned>(
    connection: &Connection,
    mut handle: impl FnMut(Option<T>) -> bool,
) {
    loop {
        if connection.read() != ReadOutcome::Bytes || !handle(None) {
            return;
        }
        loop {
            let mut inbound = connection.inbound();
            match frames::decode::<T>(inbound.bytes()) {
                Ok(None) if inbound.is_full() => return,
                Ok(None) => break,
                Ok(Some((message, length))) => {
                    inbound.consume(length);
                    // Releases the read buffer: the handler may use this connection.
                    drop(inbound);
                    if !handle(Some(message)) {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }
}
