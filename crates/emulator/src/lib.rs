//! Deterministic simulations of lynxstair on a virtual clock, with a simulated network and injected
//! faults. They run the state machines of the production code: the membership of a fleet, the ownership
//! of duties, and the controllers with the configuration state of the proxies. A seed determines the
//! whole run.
#![forbid(unsafe_code)]

pub mod core;
mod event_queue;
pub mod experiment;
pub mod fleet;
pub mod network;
pub mod owners;
