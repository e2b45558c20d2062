//! Admission control for services sold by plan. [`policy`] decides on requests; [`port`] is the interface
//! for its actions.
#![forbid(unsafe_code)]

pub mod policy;
pub mod port;
pub mod rng;
pub mod state;
pub mod types;
