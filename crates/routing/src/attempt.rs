//! An attempt: one forwarding of a request to one worker, from the connection to the end. What the kernel took of it, what
//! came back and whose reply that was; and so, at its end, what may be claimed of the request. `docs/design/attempts.md` has
//! the same rows. The proxy reports events and does what the steps say.

use lynxstair::types::Outcome;

use crate::execution::Execution;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// The kernel has taken nothing of the request.
    Unsent,
    /// A part of it; the last byte is still here, and is never sent once the attempt has ended.
    PartlySent,
    /// All of it: it may arrive and run, whatever becomes of the connection or of this process.
    Sent,
    /// Nothing more happens.
    Ended,
}

/// Whose a reply is, by the ids that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyOwner {
    /// This attempt's.
    Own,
    /// It carries the id of another request: it came too late, or is a surplus one.
    Other,
    /// It carries no id.
    Unidentified,
    /// It carries more than one id.
    Ambiguous,
}

/// The head of a reply; the complete reply is there, or, where it is long, its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// Whose it is.
    pub owner: ReplyOwner,
    /// Its status.
    pub status: u16,
    /// The worker says that the request has not run.
    pub reports_not_run: bool,
    /// It bears the worker's seal.
    pub is_sealed: bool,
    /// Its body is encoded, which was not asked for.
    pub is_encoded: bool,
    /// Nothing of it is still to come, nothing follows it, and the worker keeps the connection open.
    pub allows_reuse: bool,
}

/// Why no more is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The connection was closed in order, or reset.
    ConnectionLost,
    /// The client has left.
    ClientGone,
    /// The deadline has passed.
    DeadlineReached,
    /// The process is about to end.
    ShuttingDown,
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEvent {
    /// No connection came up in time, or none may be opened.
    NoConnection,
    /// The request may not be sent any more: its deadline has passed, its zone is evacuated, the lease has run out.
    SendNotPermitted,
    /// The kernel has taken some of the request.
    Written {
        /// Whether all of it.
        is_complete: bool,
    },
    /// A reply has come.
    Reply(ReplyHead),
    /// Bytes that form no reply.
    MalformedReply,
    /// All that the kernel held was read, and none of it was the reply.
    Stopped {
        /// Why no more is waited for.
        reason: StopReason,
        /// An unfinished reply is there.
        has_partial_reply: bool,
    },
}

/// What follows from an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// There is more to wait for.
    Continue,
    /// The reply is not this request's: it is skipped, and the next one looked at.
    SkipReply,
    /// The attempt has ended.
    Ended(AttemptEnd),
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Whether the request may have run.
    pub execution: Execution,
    /// What the decision module is told.
    pub outcome: Outcome,
    /// The connection may carry another request.
    pub keep_connection: bool,
}

/// One attempt.
#[derive(Debug)]
pub struct Attempt {
    state: AttemptState,
    /// The connection carried no other request before.
    is_first_on_connection: bool,
    /// Something came that was not this request's.
    has_surplus: bool,
}

impl Attempt {
    /// An attempt of which nothing is sent yet.
    pub fn new(is_first_on_connection: bool) -> Attempt {
        Attempt { state: AttemptState::Unsent, is_first_on_connection, has_surplus: false }
    }

    /// How far it has come.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// Takes an event. Every change of state is made here.
    pub fn on_event(&mut self, event: AttemptEvent) -> AttemptStep {
        let step = match event {
            AttemptEvent::NoConnection => ended(Execution::NeverRan, Outcome::ConnectFailed),
            AttemptEvent::SendNotPermitted => ended(Execution::NeverRan, Outcome::Cancelled),
            AttemptEvent::Written { is_complete } => {
                self.state = if is_complete { AttemptState::Sent } else { AttemptState::PartlySent };
                AttemptStep::Continue
            }
            AttemptEvent::Reply(head) => self.on_reply(head),
            // A worker that answers something has read something: also where the end of the request has not left.
            AttemptEvent::MalformedReply => ended(Execution::MayHaveRun, Outcome::Errored),
            AttemptEvent::Stopped { reason, has_partial_reply } => self.on_stopped(reason, has_partial_reply),
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
            // The one reply without an id that is somebody's: to a request that came without one. Only where no other
            // request can be meant.
            ReplyOwner::Unidentified
                if head.status == 400
                    && head.reports_not_run
                    && self.is_first_on_connection
                    && !self.has_surplus =>
            {
                ended(Execution::NeverRan, Outcome::Full)
            }
            ReplyOwner::Other | ReplyOwner::Unidentified => {
                self.has_surplus = true;
                AttemptStep::SkipReply
            }
        }
    }

    fn on_own_reply(&self, head: ReplyHead) -> AttemptStep {
        let keep_connection = head.allows_reuse && !self.has_surplus && self.state == AttemptState::Sent;
        let end = |execution, outcome| AttemptStep::Ended(AttemptEnd { execution, outcome, keep_connection });
        match (head.status, head.reports_not_run) {
            (400 | 429 | 503, true) | (421, _) => end(Execution::NeverRan, Outcome::Full),
            // It contradicts itself; or it is a promise that the worker did not give and a proxy can't.
            (_, true) | (408 | 429 | 503, false) => ended(Execution::MayHaveRun, Outcome::Errored),
            _ if head.is_encoded => ended(Execution::MayHaveRun, Outcome::Errored),
            (200..300, _) if !head.is_sealed => ended(Execution::MayHaveRun, Outcome::Errored),
            (500.., _) => end(Execution::Failed, Outcome::Errored),
            _ => end(Execution::Ran, Outcome::Succeeded),
        }
    }

    fn on_stopped(&self, reason: StopReason, has_partial_reply: bool) -> AttemptStep {
        let outcome = match reason {
            StopReason::ConnectionLost => Outcome::Reset,
            StopReason::ClientGone | StopReason::ShuttingDown => Outcome::Cancelled,
            StopReason::DeadlineReached => Outcome::TimedOut,
        };
        // Where a reply has begun, the worker did not wait for the end of the request.
        let may_have_run =
            self.state >= AttemptState::Sent || self.state == AttemptState::PartlySent && has_partial_reply;
        match (may_have_run, reason) {
            (true, _) => ended(Execution::MayHaveRun, outcome),
            (false, StopReason::ClientGone | StopReason::ShuttingDown) => {
                ended(Execution::NeverRan, Outcome::Cancelled)
            }
            (false, _) => ended(Execution::NeverRan, Outcome::ConnectFailed),
        }
    }
}

/// An end after which the connection carries nothing more.
fn ended(execution: Execution, outcome: Outcome) -> AttemptStep {
    AttemptStep::Ended(AttemptEnd { execution, outcome, keep_connection: false })
}
