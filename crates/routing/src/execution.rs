//! Records whether a request may have run on a worker. This decides on retries and on the status sent to
//! the client.

/// Execution state of one attempt, or of all attempts of a request combined. Variants are ordered: a later
/// one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Execution {
    /// The request has not run and will not run: no byte of it was sent, or the worker reported that it did
    /// not run.
    NeverRan,
    /// It is unknown whether the request has run: no conclusive reply was received.
    MayHaveRun,
    /// The worker ran the request and replied with a server error.
    Failed,
    /// The worker ran the request and replied.
    Ran,
}

impl Execution {
    /// Returns `true` if the request may be sent to a worker again.
    pub fn may_retry(self, is_idempotent: bool) -> bool {
        match self {
            Execution::NeverRan => true,
            Execution::MayHaveRun | Execution::Failed => is_idempotent,
            Execution::Ran => false,
        }
    }

    /// Returns `true` if the response may have a status that means "not run" (408, 421, 429 or 503). The rule
    /// is the same for idempotent requests.
    pub fn may_claim_not_run(self) -> bool {
        self == Execution::NeverRan
    }

    /// Combines the state so far with that of a later attempt.
    pub fn combine(self, later: Execution) -> Execution {
        self.max(later)
    }
}
