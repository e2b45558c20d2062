//! Synchronous interface of the decision module. Network code asks the [`Dispatcher`] for decisions on
//! requests, reports the outcomes of attempts, and executes the actions that are due.
//!
//! Calls return at once: a lock is held briefly, never during I/O or a yield. A panic of the decision module
//! is caught; a request that it was deciding on ends with an error.
//!
//! - `dispatcher`: the entry points.
//! - `outbox`: collects the actions of the decision module, and keeps its timers.
//! - `answers`: the results returned to callers.
#![forbid(unsafe_code)]

mod answers;
mod dispatcher;
mod outbox;

pub use answers::{Assignment, Cancellation, CounterAdd, Decision, DueWork, FinalReply, NextStep, Usage};
pub use dispatcher::Dispatcher;

#[cfg(test)]
mod tests;
