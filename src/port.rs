//! The interface of the decisions.
//!
//! Events come in as calls of the methods of [`crate::policy::Gatekeeper`]; what it decides goes out through a [`Port`],
//! at once and in the order given. Any protocol can be put before the decisions by calling the one and implementing the
//! other.

use crate::types::{AttemptNumber, CounterKey, RequestId, Span, Time, TimerTag, WorkerId};

/// Carries out what the decisions ask for.
pub trait Port {
    /// Sends a request to a worker, to be given up at `deadline`. The first call for a request is attempt 0, the next 1,
    /// and so on.
    fn send_attempt(&mut self, request: RequestId, worker: WorkerId, deadline: Time);
    /// The final answer: rejected unprocessed, so that trying again is harmless.
    fn throttle(&mut self, request: RequestId, retry_after: Option<Span>);
    /// The final answer: an error. The request may have run.
    fn fail(&mut self, request: RequestId);
    /// Cancels an attempt that is in flight.
    fn cancel(&mut self, request: RequestId, attempt: AttemptNumber);
    /// Checks a worker's health.
    fn check_health(&mut self, worker: WorkerId);
    /// Adds to a shared count. `retention`: how long the counter keeps it; it counts only for a key that is new.
    fn add_to_counter(&mut self, key: CounterKey, retention: Span, amount: f32);
    /// Has `Gatekeeper::on_timer` called with the tag after this time.
    fn set_timer(&mut self, after: Span, tag: TimerTag);
    /// Subscribes to the list of workers, where it does not come by itself.
    fn subscribe(&mut self);
}
