//! What callers of the dispatcher are told to do. `T` is what the caller knows a request by; it comes back with each answer.

use lynxstair::types::{AttemptNumber, CounterKey, OperationId, RequestId, Span, TenantId, Time, WorkerId};

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment<T> {
    /// What the caller knows the request by.
    pub context: T,
    /// The request.
    pub request_id: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// The worker that it goes to.
    pub worker: WorkerId,
    /// When it is given up.
    pub deadline: Time,
    /// What it uses if it succeeds.
    pub usage: Usage,
}

/// What a request uses if it succeeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Whose quota it is charged to.
    pub tenant: TenantId,
    /// What it asks for.
    pub operation: OperationId,
    /// Units of the quota.
    pub units: f32,
}

/// A final reply of the gatekeeper itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalReply {
    /// Rejected unprocessed; trying again is harmless, after this time where it is told.
    Throttled(Option<Span>),
    /// An error; the request may have run.
    Errored,
}

/// What becomes of a request that has arrived.
#[derive(Debug, PartialEq)]
pub enum Decision<T> {
    /// Make this attempt.
    Forward(Assignment<T>),
    /// Reply at once.
    Reply(FinalReply),
}

/// What follows the end of an attempt.
#[derive(Debug, PartialEq)]
pub enum NextStep<T> {
    /// The worker's reply is the client's.
    Relay(T),
    /// Reply to the client.
    Reply(T, FinalReply),
    /// Make another attempt.
    Retry(Assignment<T>),
    /// Nothing now: another attempt is in flight, or the request is answered.
    Nothing,
}

/// An attempt that is in flight and is to be given up.
#[derive(Debug, PartialEq)]
pub struct Cancellation<T> {
    /// What the caller knows the request by.
    pub context: T,
    /// The request.
    pub request_id: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
}

/// An amount to be added to a shared count.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterAdd {
    /// The count.
    pub key: CounterKey,
    /// How long the counter keeps it, if it is new.
    pub retention: Span,
    /// How much to add.
    pub amount: f32,
}

/// What is due.
#[derive(Debug, PartialEq)]
pub struct DueWork<T> {
    /// Attempts to be made.
    pub attempts: Vec<Assignment<T>>,
    /// Attempts whose deadline has passed.
    pub timed_out: Vec<Cancellation<T>>,
    /// Attempts that nobody waits for any more.
    pub cancelled: Vec<Cancellation<T>>,
    /// Replies to clients.
    pub replies: Vec<(T, RequestId, FinalReply)>,
    /// Amounts to be added to shared counts.
    pub counter_adds: Vec<CounterAdd>,
    /// Workers whose health is to be checked.
    pub health_checks: Vec<WorkerId>,
}

impl<T> Default for DueWork<T> {
    fn default() -> Self {
        DueWork {
            attempts: Vec::new(),
            timed_out: Vec::new(),
            cancelled: Vec::new(),
            replies: Vec::new(),
            counter_adds: Vec::new(),
            health_checks: Vec::new(),
        }
    }
}
