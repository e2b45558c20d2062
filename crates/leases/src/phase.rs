//! Lifecycle of a voter.

use serde::{Deserialize, Serialize};

/// Phase in the lifecycle of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The member is not a voter.
    #[serde(rename = "idle")]
    NotVoter,
    /// The record of a new identity is being written. The identity is not sent to others yet.
    #[serde(rename = "drawing")]
    NewIdentity,
    /// The voter has an identity and no table. It bootstraps a table with the initial voters or joins
    /// voters that have one.
    #[serde(rename = "blank")]
    NoTable,
    /// The voter has joined a cluster and has not received its table yet.
    CatchingUp,
    /// The voter has a table and takes part in Raft.
    Voting,
    /// The voter does not take part, since a write or `raft` failed. It restarts from its records.
    #[serde(rename = "aside")]
    Suspended,
}

impl Phase {
    /// Returns `true` if `raft` runs in this phase.
    pub(crate) fn runs_raft(self) -> bool {
        matches!(self, Phase::CatchingUp | Phase::Voting)
    }

    /// Returns `true` if the transition from `from` to this phase is allowed.
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
