//! The outgoing interface of the decision module.
//!
//! Events are reported by calling the methods of [`crate::policy::Gatekeeper`], which executes its decisions
//! in order through a [`Port`] before the call returns. A protocol is connected by making those calls and
//! implementing this trait.

use crate::types::{AttemptNumber, CounterKey, RequestId, Span, Time, TimerTag, WorkerId};

/// Executes the actions of the decision module.
pub trait Port {
    /// Sends a request to a worker and gives up at `deadline`. The attempts of a request are numbered from 0
    /// in the order of these calls.
    fn send_attempt(&mut self, request: RequestId, worker: WorkerId, deadline: Time);
    /// Sends the final answer: rejected without processing, so that a retry is safe.
    fn throttle(&mut self, request: RequestId, retry_after: Option<Span>);
    /// Sends the final answer: an error. The request may have been processed.
    fn fail(&mut self, request: RequestId);
    /// Cancels an attempt in flight.
    fn cancel(&mut self, request: RequestId, attempt: AttemptNumber);
    /// Starts a health check of a worker.
    fn check_health(&mut self, worker: WorkerId);
    /// Adds to a shared count. The counter keeps a new key for `retention`, which is ignored for a known
    /// key.
    fn add_to_counter(&mut self, key: CounterKey, retention: Span, amount: f32);
    /// Calls `Gatekeeper::on_timer` with `tag` after the given time.
    fn set_timer(&mut self, after: Span, tag: TimerTag);
    /// Subscribes to the list of workers, if the list requires a subscription.
    fn subscribe(&mut self);
}
