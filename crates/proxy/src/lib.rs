//! The pass: one gatekeeper of the system's road, as a library, so that its parts can be driven by tests.
#![deny(unsafe_code)]

mod clients;
mod feed;
pub mod road;
mod rooms;
pub mod turns;
pub mod workers;
