//! The control side of a gatekeeper on sockets. It ties `crates/membership` to datagrams, timers, a control
//! port and the records of `crates/record-log`; it decides nothing of who is there.
//!
//! Called by the gatekeeper where `--fleet FILE` names a file, and not otherwise: without it nothing here
//! runs, and no socket, thread or file is opened. Invocations never wait for it: it shares the coroutine
//! thread in short turns, and whatever waits for a disk has a thread of its own.
#![deny(unsafe_code)]

mod client;
mod config;
mod control;
mod exporter;
mod history;
mod kept;
mod log;
mod owners;
pub mod protocol;
mod side;
mod uses;

pub use client::ask;
pub use config::{Config, DUTIES, Invalid, LogForm, Ownership, TrialSwitches};
pub use side::Side;
pub use uses::Uses;
