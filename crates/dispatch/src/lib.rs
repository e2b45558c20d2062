//! The facade of the decision module, in blocking style. Network code asks the [`Dispatcher`] what to do with a request,
//! reports how an attempt ended, and does what is due; it never sees the module's own events and actions.
//!
//! Contract: every call returns at once. One short lock is held meanwhile, never over input, output or a yield. A panic of
//! the module ends in an error for the request at hand: no other request is lost, and the program goes on.
//!
//! - `dispatcher`: the entry points.
//! - `outbox`: collects what the module decides, and keeps its timers.
//! - `answers`: what callers are told to do.
#![forbid(unsafe_code)]

mod answers;
mod dispatcher;
mod outbox;

pub use answers::{Assignment, Cancellation, CounterAdd, Decision, DueWork, FinalReply, NextStep, Usage};
pub use dispatcher::Dispatcher;

#[cfg(test)]
mod tests;
