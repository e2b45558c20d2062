//! Several processes of the program with faults between them, and the judging of their histories.
//!
//! A trial file is read and checked whole ([`Trial::read`]), played ([`run_trial`]), and judged ([`check_trial`]) by
//! what each process wrote down and what clients and workers saw. The judge knows no code of what it judges:
//! it reads lines. Called by the `lynxstair` command; everything it starts ends with it, also where it is
//! killed.
#![forbid(unsafe_code)]

mod checker;
mod file;
mod hunt;
mod ports;
mod relay;
mod run;
pub mod soak;

pub use checker::{Observations, ProcessObservation, RULES, Rule, Verdict, Violation, check_trial};
pub use file::{Disk, Fault, Kind, Links, LoadPlan, Must, Trial};
pub use hunt::{minimize_trial, random_trial};
pub use run::{TrialError, TrialOptions, run_trial};
