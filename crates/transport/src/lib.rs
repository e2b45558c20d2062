//! Connections between the system's own processes: CBOR frames on one TCP connection. Writes never wait; a connection that
//! breaks is reopened by the side that opened it. What was in flight is lost then, and both sides know that.
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

/// The buffer of one direction, in bytes: it holds the longest frame.
pub const MAX_BUFFER_LEN: usize = frames::MAX_FRAME_LEN + 4;
/// A connection ends if bytes stay unacknowledged for this long (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Span = Span::from_millis(1_500);

/// Opens a connection; None where that fails or takes longer than `timeout`. The time-out should be little more than the
/// longest round trip: a lost opening packet is repeated after seconds only.
pub fn connect(alarms: &Alarms, to: SocketAddr, timeout: Span) -> Option<Arc<Connection>> {
    let connection = Arc::new(Connection::open(to, MAX_BUFFER_LEN).ok()?);
    let deadline = alarms.now() + timeout;
    alarms.wake_connection(deadline, &connection);
    if connection.wait_connected_until(|| alarms.now() >= deadline).is_err() {
        connection.close();
        return None;
    }
    limit_unacknowledged(&connection);
    Some(connection)
}

/// How a connection is kept open.
#[derive(Clone, Copy, Debug)]
pub struct ReconnectPolicy {
    /// How long an attempt to connect may take.
    pub connect_timeout: Span,
    /// The pause after a connection has ended, and after the first failed attempt.
    pub min_delay: Span,
    /// The longest pause, after many failed attempts.
    pub max_delay: Span,
}

/// Each failed attempt makes the next pause longer by this factor.
const BACKOFF_FACTOR: f64 = 1.25;

/// Keeps a connection open for as long as it is wanted. Each one is served, and closed once `serve` returns; for a
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

/// Has the kernel end a connection whose bytes nobody acknowledges.
pub fn limit_unacknowledged(connection: &Connection) {
    connection.set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT);
}

/// A message encoded as a frame, for several connections perhaps.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    let mut out = Vec::new();
    frames::encode(message, &mut out);
    out
}

/// Writes a frame without waiting. The connection is closed where more than `max_unsent` bytes are still unsent, as
/// nobody reads at its other end.
pub fn write(connection: &Connection, frame: &[u8], max_unsent: usize) {
    if connection.unsent() > max_unsent || connection.write(|out| out.write_all(frame)).is_err() {
        connection.close();
    }
}

/// Reads messages until the connection ends or `handle` returns false.
pub fn read<T: DeserializeOwned>(connection: &Connection, mut handle: impl FnMut(T) -> bool) {
    read_with_wakeups(connection, |message: Option<T>| message.is_none_or(&mut handle));
}

/// The same, where `handle` is also called with None at each wake-up, before what arrived is decoded.
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
                Ok(None) => break,
                Ok(Some((message, length))) => {
                    inbound.consume(length);
                    // The handler may write to this connection.
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
