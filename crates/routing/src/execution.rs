//! Whether a request may have run: what a response to its client may promise, and whether it may be retried.

/// What is known of one attempt at a worker, or of all attempts of a request together; a later variant outweighs an
/// earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Execution {
    /// It has not run and never will: its last byte never left, or the worker itself said so.
    NeverRan,
    /// It was handed over, and nothing certain came back.
    MayHaveRun,
    /// The worker ran it and answered with a failure.
    Failed,
    /// The worker answered it.
    Ran,
}

impl Execution {
    /// Whether the request may go to a worker once more.
    pub fn may_retry(self, is_idempotent: bool) -> bool {
        match self {
            Execution::NeverRan => true,
            Execution::MayHaveRun | Execution::Failed => is_idempotent,
            Execution::Ran => false,
        }
    }

    /// Whether the client may be told that it has not run (429, 503, 408, 421). An idempotent request may be told so only
    /// where it is true as well: the statuses mean the same for all kinds.
    pub fn may_claim_not_run(self) -> bool {
        self == Execution::NeverRan
    }

    /// What is known after a further attempt.
    pub fn combine(self, later: Execution) -> Execution {
        self.max(later)
    }
}
