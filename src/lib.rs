//! Admission gateway for services sold by plan. The decisions live in [`policy`]; how they are
//! called and answered is in [`port`].
#![forbid(unsafe_code)]

pub mod policy;
pub mod port;
pub mod rng;
pub mod state;
pub mod types;
