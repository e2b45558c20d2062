//! Several processes of the program with faults between them, and the judging of their histories.
//!
//! A trial file is read and checked whole ([`Trial::read`]), played ([`play`]), and judged ([`judge`]) by
//! what each process wrote down and what clients and workers saw. The judge knows no code of what it judges:
//! it reads lines. Called by the `lynxstair` command; everything it starts ends with it, also where it is
//! killed.
#![forbid(unsafe_code)]

mod file;
mod hunt;
mod judge;
mod ports;
mod relay;
mod run;
pub mod soak;

pub use file::{Disk, Fault, Kind, Links, LoadPlan, Must, Trial};
pub use hunt::{drawn, shortened};
pub use judge::{Break, Observed, Process, RULES, Rule, Verdict, judge};
pub use run::{Failed, Stage, play};
