//! The interface of the decisions.
//!
//! Calls come in as methods of [`crate::policy::Gatekeeper`]; its answers go out through a [`Port`],
//! at once and in the order given. Any protocol can be put before the decisions by calling the one
//! and implementing the other.

use crate::types::{CountName, DeliveryNo, InvId, Span, Time, TimerTag, WorkerId};

pub trait Port {
    /// Sends an invocation to a worker; the first is delivery 0, the next 1, and so on.
    fn deliver(&mut self, inv: InvId, worker: WorkerId, stop_at: Time);
    /// Final answer: throttled, trying again is harmless.
    fn throttle(&mut self, inv: InvId, retry_after: Option<Span>);
    /// Final answer: errored, nothing is promised.
    fn error(&mut self, inv: InvId);
    fn cancel(&mut self, inv: InvId, no: DeliveryNo);
    fn probe(&mut self, worker: WorkerId);
    /// Adds to a shared count; `keep` counts only for a name that is new.
    fn add_to_count(&mut self, name: CountName, keep: Span, amount: f32);
    fn set_timer(&mut self, after: Span, tag: TimerTag);
    /// Asks for the list of workers, where it does not come unasked.
    fn subscribe(&mut self);
}
