//! A voter's phases.

use serde::{Deserialize, Serialize};

/// A voter's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not a voter.
    #[serde(rename = "idle")]
    NotVoter,
    /// Its new identity is being written; nobody is told of it yet.
    #[serde(rename = "drawing")]
    NewIdentity,
    /// It has an identity and no table: it bootstraps one with the others, or joins theirs.
    #[serde(rename = "blank")]
    NoTable,
    /// It joined, and has received nothing of the table yet.
    CatchingUp,
    /// It votes.
    Voting,
    /// Its disk fails, or its records can't be trusted: it takes no part.
    #[serde(rename = "aside")]
    Suspended,
}

impl Phase {
    /// Whether `raft` runs.
    pub(crate) fn runs_raft(self) -> bool {
        matches!(self, Phase::CatchingUp | Phase::Voting)
    }

    /// Whether this phase may come directly after `from`.
    pub(crate) fn may_follow(self, from: Phase) -> bool {
        match self {
            Phase::NotVoter => false,
            Phase::NewIdentity => from != Phase::NewIdentity,
            Phase::NoTable => matches!(from, Phase::NewIdentity | Phase::NotVoter | Phase::Suspended),
            Phase::CatchingUp => matches!(from, Phase::NoTable | Phase::NotVoter | Phase::Suspended),
            Phase::Voting => {
                matches!(from, Phase::NoTable | Phase::CatchingUp | Phase::NotVoter | Phase::Suspended)
            }
            Phase::Suspended => from != Phase::Suspended,
        }
    }
}
