//! The project's own code on a virtual clock, with a network of its own whose faults are scripted.
//!
//! One seed gives one run, at any size and on any machine. It holds a fleet's membership, its owners of duties, and
//! the system's core; it decides nothing itself and knows no more of a member than what the room hands out.
#![forbid(unsafe_code)]

pub mod core;
mod event_queue;
pub mod experiment;
pub mod fleet;
pub mod network;
pub mod owners;
