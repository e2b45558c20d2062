//! What the programs on sockets stand on: a monotonic clock, coroutines with a guard, one timer, connections,
//! HTTP/1.1 messages, log lines. Called by the gatekeeper, by the fleet's control side and by the programs of the
//! system; it knows none of them, and decides nothing.
#![deny(unsafe_code)]

pub mod alarms;
pub mod calls;
pub mod clock;
pub mod conn;
pub mod coroutine;
pub mod http;
pub mod log;
pub mod ticker;
