//! What the programs on sockets stand on: a monotonic clock, coroutines with a guard, one timer, log lines.
//! Called by the gatekeeper and by the fleet's control side; it knows neither, and decides nothing.
#![deny(unsafe_code)]

pub mod clock;
pub mod coroutine;
pub mod log;
pub mod ticker;
