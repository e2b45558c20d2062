//! Input and output of the programs on sockets, in blocking style on `may` coroutines: a monotonic clock, coroutines that
//! contain panics, one timer, connections, HTTP/1.1 messages, a small HTTP server, rate-limited log lines.
//!
//! Contract: everything runs on one worker thread, so nothing here may block that thread, and no lock is held over a wait.
//! Buffers are bounded. Nothing is decided here, and no program is known.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`clock`], [`wake_timer`], [`alarms`] | time; one timer; waking whoever waits |
//! | [`coroutine`] | starting coroutines |
//! | [`connection`], [`ring_buffer`] | a socket with a buffer for each direction |
//! | [`http`], [`server`] | messages; a server of requests |
//! | [`log`] | log lines, no more than so many a second |
#![deny(unsafe_code)]

pub mod alarms;
pub mod clock;
pub mod connection;
pub mod coroutine;
pub mod http;
pub mod log;
pub mod ring_buffer;
pub mod server;
pub mod wake_timer;
