//! The limit on the memory of connections and requests. One test, as the limit is that of the process.

use std::io::Write;

use lynxstair_net::memory_budget::{
    MAX_BASIC_BYTES, Need, OutOfMemory, Reservation, limit_connection_memory,
};
use lynxstair_net::ring_buffer::RingBuffer;

const LIMIT_BYTES: usize = 1 << 20;

#[test]
fn long_buffers_leave_room_for_short_ones() {
    limit_connection_memory(LIMIT_BYTES);
    // Buffers that only grow reach their part of the limit, and fail without losing what they hold.
    let mut long: Vec<RingBuffer> = (0..4).map(|_| RingBuffer::new(LIMIT_BYTES)).collect();
    let piece = [7; 64 << 10];
    while long.iter_mut().any(|buffer| buffer.write_all(&piece).is_ok()) {}
    let held: usize = long.iter().map(RingBuffer::len).sum();
    assert!(held > LIMIT_BYTES / 4 && held <= LIMIT_BYTES * 3 / 4, "{held}");
    assert_eq!(Reservation::new(LIMIT_BYTES / 2, Need::Additional).map(|_| ()), Err(OutOfMemory));
    // Short ones still find room, up to the limit.
    let short: Vec<Reservation> =
        std::iter::from_fn(|| Reservation::new(MAX_BASIC_BYTES, Need::Basic).ok()).collect();
    assert!(short.len() * MAX_BASIC_BYTES >= LIMIT_BYTES / 4, "{}", short.len());
    let mut buffer = RingBuffer::new(LIMIT_BYTES);
    assert!(buffer.write_all(b"short").is_err());
    // All is given back.
    drop(short);
    long.iter_mut().for_each(|buffer| buffer.consume(LIMIT_BYTES));
    assert!(buffer.write_all(b"short").is_ok());
    drop((buffer, long));
    assert!(Reservation::new(LIMIT_BYTES, Need::Basic).is_ok());
    // The system's own connections are exempt.
    let _all = Reservation::new(LIMIT_BYTES, Need::Basic).expect("room");
    assert!(RingBuffer::exempt(LIMIT_BYTES).write_all(&piece).is_ok());
}
