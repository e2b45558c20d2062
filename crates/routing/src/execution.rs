//! Whether a request may have run: what an answer to its client may promise, and whether it may be sent again.

/// What is known of one try at a worker, or of all tries of a request together; in the order of what outweighs what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// It has not run and never will: its last byte never left, or the worker itself said so.
    NeverRan,
    /// It was handed over, and nothing certain came back.
    MayHaveRun,
    /// The worker ran it and answered with a failure.
    Failed,
    /// The worker answered it.
    Ran,
}

impl Verdict {
    /// Whether the request may go to a worker once more.
    pub fn may_go_again(self, is_repeatable: bool) -> bool {
        match self {
            Verdict::NeverRan => true,
            Verdict::MayHaveRun | Verdict::Failed => is_repeatable,
            Verdict::Ran => false,
        }
    }

    /// Whether the client may be told that it has not run (429, 503, 408, 421). What is repeatable may be told so
    /// only where it is true as well: the words mean the same for all kinds.
    pub fn may_promise(self) -> bool {
        self == Verdict::NeverRan
    }

    /// What is known after a further try.
    pub fn and(self, later: Verdict) -> Verdict {
        self.max(later)
    }
}
