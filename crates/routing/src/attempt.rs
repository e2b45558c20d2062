//! State machine of one attempt to deliver a request to a worker.
//!
//! The proxy reports socket events with [`Attempt::on_event`] and acts on the returned [`AttemptStep`]. The
//! end of an attempt states whether the request may have run, which decides on retries and on the response
//! to the client.

use lynxstair::types::Outcome;

use crate::execution::Execution;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// The kernel has accepted no byte of the request.
    Unsent,
    /// The kernel has accepted some bytes, but not the last one, which is not sent after the attempt has
    /// ended. A worker may begin before it has read the whole body, so the request may run.
    PartlySent,
    /// The kernel has accepted the whole request, which is a condition for the reuse of the connection.
    Sent,
    /// The attempt is over.
    Ended,
}

/// The attempt that a reply belongs to, by the attempt id in its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOwner {
    /// The reply carries the id of this attempt.
    Own,
    /// The reply carries the id of another attempt: it is late or surplus.
    Other,
    /// The reply carries no id.
    Unidentified,
    /// The reply carries more than one id.
    Ambiguous,
}

/// The head of a reply. The reply has been received completely or, if it is long, in part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// The attempt that the reply belongs to.
    pub owner: ReplyOwner,
    /// HTTP status code.
    pub status: u16,
    /// The worker reports that the request has not run.
    pub reports_not_run: bool,
    /// The reply has the `server-seal` header.
    pub is_sealed: bool,
    /// The body has a content encoding, which the proxy doesn't request.
    pub is_encoded: bool,
    /// The reply is complete, no bytes follow it, and the worker keeps the connection open.
    pub allows_reuse: bool,
}

/// Reason to stop waiting for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The worker closed or reset the connection.
    ConnectionLost,
    /// The client has disconnected.
    ClientGone,
    /// The deadline has passed.
    DeadlineReached,
    /// The process is shutting down.
    ShuttingDown,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No connection was established in time, or none may be opened.
    NoConnection,
    /// The request may no longer be sent: for example its deadline has passed, its zone is evacuated or the
    /// configuration lease has expired.
    SendNotPermitted,
    /// The kernel has accepted at least one byte of the request.
    Written {
        /// The whole request has been accepted.
        is_complete: bool,
    },
    /// The head of a reply was received.
    Reply(ReplyHead),
    /// The received bytes are not a valid reply.
    MalformedReply,
    /// Waiting has ended; all received bytes were read and hold no complete reply to this attempt.
    Stopped(StopReason),
}

/// Next action of the caller after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// Wait for the next event.
    Continue,
    /// Skip the reply, which is interim or not for this attempt, and parse the next one.
    SkipReply,
    /// The attempt is over.
    Ended(AttemptEnd),
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Execution state of the request.
    pub execution: Execution,
    /// Outcome to report to the dispatcher.
    pub outcome: Outcome,
    /// The connection may be reused for another request.
    pub keep_connection: bool,
}

/// State of one attempt.
#[derive(Debug)]
pub struct Attempt {
    state: AttemptState,
    /// No earlier request was sent on the connection.
    is_first_on_connection: bool,
    /// A reply that is not for this attempt was received.
    has_foreign_reply: bool,
}

impl Attempt {
    /// Creates an attempt whose request is unsent.
    pub fn new(is_first_on_connection: bool) -> Attempt {
        Attempt { state: AttemptState::Unsent, is_first_on_connection, has_foreign_reply: false }
    }

    /// Returns the progress of the attempt.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Processes an event. All state transitions are made here.
    pub fn on_event(&mut self, event: AttemptEvent) -> AttemptStep {
        let step = match event {
            AttemptEvent::NoConnection => ended(Execution::NeverRan, Outcome::ConnectFailed),
            AttemptEvent::SendNotPermitted => ended(Execution::NeverRan, Outcome::Cancelled),
            AttemptEvent::Written { is_complete } => {
                self.state = if is_complete { AttemptState::Sent } else { AttemptState::PartlySent };
                AttemptStep::Continue
            }
            AttemptEvent::Reply(head) => self.on_reply(head),
            // A worker that answers may have acted on the request, even if the last byte was not sent.
            AttemptEvent::MalformedReply => ended(Execution::MayHaveRun, Outcome::Errored),
            AttemptEvent::Stopped(reason) => self.on_stopped(reason),
        };
        if matches!(step, AttemptStep::Ended(_)) {
            self.state = AttemptState::Ended;
        }
        step
    }

    fn on_reply(&mut self, head: ReplyHead) -> AttemptStep {
        if (100..200).contains(&head.status) {
            return AttemptStep::SkipReply;
        }
        match head.owner {
            ReplyOwner::Own => self.on_own_reply(head),
            ReplyOwner::Ambiguous => ended(Execution::MayHaveRun, Outcome::Errored),
            // A worker replies without an id to a request that reached it without one. Accepted only if no
            // other request on the connection can be meant.
            ReplyOwner::Unidentified
                if head.status == 400
                    && head.reports_not_run
                    && self.is_first_on_connection
                    && !self.has_foreign_reply =>
            {
                ended(Execution::NeverRan, Outcome::Full)
            }
            ReplyOwner::Other | ReplyOwner::Unidentified => {
                self.has_foreign_reply = true;
                AttemptStep::SkipReply
            }
        }
    }

    fn on_own_reply(&self, head: ReplyHead) -> AttemptStep {
        let keep_connection =
            head.allows_reuse && !self.has_foreign_reply && self.state == AttemptState::Sent;
        let end = |execution, outcome| AttemptStep::Ended(AttemptEnd { execution, outcome, keep_connection });
        match (head.status, head.reports_not_run) {
            (400 | 429 | 503, true) | (421, _) => end(Execution::NeverRan, Outcome::Full),
            // A not-run header contradicts any other status. Without it, these statuses can't be forwarded:
            // to a client they mean that the request has not run.
            (_, true) | (408 | 429 | 503, false) => ended(Execution::MayHaveRun, Outcome::Errored),
            _ if head.is_encoded => ended(Execution::MayHaveRun, Outcome::Errored),
            (200..300, _) if !head.is_sealed => ended(Execution::MayHaveRun, Outcome::Errored),
            (500.., _) => end(Execution::Failed, Outcome::Errored),
            _ => end(Execution::Ran, Outcome::Succeeded),
        }
    }

    fn on_stopped(&self, reason: StopReason) -> AttemptStep {
        let outcome = match reason {
            StopReason::ConnectionLost => Outcome::Reset,
            StopReason::ClientGone | StopReason::ShuttingDown => Outcome::Cancelled,
            StopReason::DeadlineReached => Outcome::TimedOut,
        };
        match (self.state, reason) {
            (AttemptState::Unsent, StopReason::ClientGone | StopReason::ShuttingDown) => {
                ended(Execution::NeverRan, Outcome::Cancelled)
            }
            (AttemptState::Unsent, _) => ended(Execution::NeverRan, Outcome::ConnectFailed),
            (AttemptState::PartlySent | AttemptState::Sent | AttemptState::Ended, _) => {
                ended(Execution::MayHaveRun, outcome)
            }
        }
    }
}

/// Ends the attempt without reusing the connection.
fn ended(execution: Execution, outcome: Outcome) -> AttemptStep {
    AttemptStep::Ended(AttemptEnd { execution, outcome, keep_connection: false })
}
