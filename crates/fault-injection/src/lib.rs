//! Fault injection: runs several processes of the program on loopback, injects faults, and checks what they
//! recorded.
//!
//! A trial file is read and validated ([`Trial::read`]), run ([`run_trial`]), and its trace is checked
//! ([`check_trial`]): the histories of the gatekeepers, and the records of clients, workers and the sink. The
//! checker parses text and shares no code with the state machines that it checks. The gatekeepers of a trial
//! exit with this process, even if it is killed. [`soak`] tests controllers and proxies.
//!
//! Used by `lynxstair trial` and `lynxstair soak`.
#![forbid(unsafe_code)]

mod checker;
mod file;
mod hunt;
mod ports;
mod relay;
mod run;
pub mod soak;

pub use checker::{ProcessTrace, RULES, Rule, TrialTrace, Verdict, Violation, check_trial};
pub use file::{DiskState, Expectations, Fault, FaultKind, Links, Trial, TrialLoad};
pub use hunt::{minimize_trial, random_trial};
pub use run::{TrialError, TrialOptions, run_trial};
