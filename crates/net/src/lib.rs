//! Socket I/O in blocking style on `may` coroutines, shared by the programs.
//!
//! All coroutines run on one worker thread. No function may block that thread, and no lock is held across a
//! wait. Buffers are bounded.
//!
//! | module | contents |
//! | --- | --- |
//! | [`clock`] | monotonic clock |
//! | [`wake_timer`], [`alarms`] | timer of one coroutine; wake-ups of any number of coroutines |
//! | [`coroutine`] | starting coroutines and containing their panics |
//! | [`connection`], [`ring_buffer`] | socket with a bounded buffer for each direction |
//! | [`memory_budget`] | limit on the memory of all connections and requests |
//! | [`http`], [`server`] | HTTP/1.1 messages; a small HTTP server |
//! | [`log`] | rate-limited log lines |
#![deny(unsafe_code)]

pub mod alarms;
pub mod clock;
pub mod connection;
pub mod coroutine;
pub mod http;
pub mod log;
pub mod memory_budget;
pub mod ring_buffer;
pub mod server;
pub mod wake_timer;
