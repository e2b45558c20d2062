//! DeliberateFault faults, by name: each is what a plausible slip in the system would do. The tests of `core` have each of
//! them found by a judge; a fault that none finds is a hole in the judges.

#[cfg(feature = "deliberate-faults")]
use lynxstair_consensus::Fault;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliberateFault {
    /// A disk says that a vote is synced, and has not kept it.
    UnsyncedVote,
    /// A controller whose disk was emptied starts as a founder, and votes.
    EmptiedVotes,
    /// 200 to a change as soon as it is proposed.
    EarlyAnswer,
    /// Reads and refusals are answered by a lease: whoever was sure lately answers.
    LeaseRead,
    /// A learner counts towards what is committed.
    LearnerCounts,
    /// A voter is exchanged for another in one change.
    TwoAtOnce,
    /// The vote of a member that was removed, or whose disk was emptied, counts.
    RemovedVotes,
    /// A state on its way to another controller loses the marks of the changes that were taken.
    MarkLost,
    /// A controller out of touch says 200 to heartbeats.
    CutOffBeats,
}

impl DeliberateFault {
    pub const ALL: [DeliberateFault; 9] = [
        DeliberateFault::UnsyncedVote,
        DeliberateFault::EmptiedVotes,
        DeliberateFault::EarlyAnswer,
        DeliberateFault::LeaseRead,
        DeliberateFault::LearnerCounts,
        DeliberateFault::TwoAtOnce,
        DeliberateFault::RemovedVotes,
        DeliberateFault::MarkLost,
        DeliberateFault::CutOffBeats,
    ];

    pub fn name(self) -> &'static str {
        match self {
            DeliberateFault::UnsyncedVote => "unsynced-vote",
            DeliberateFault::EmptiedVotes => "emptied-votes",
            DeliberateFault::EarlyAnswer => "early-answer",
            DeliberateFault::LeaseRead => "lease-read",
            DeliberateFault::LearnerCounts => "learner-counts",
            DeliberateFault::TwoAtOnce => "two-at-once",
            DeliberateFault::RemovedVotes => "removed-votes",
            DeliberateFault::MarkLost => "mark-lost",
            DeliberateFault::CutOffBeats => "cut-off-beats",
        }
    }

    /// Those that sit inside the consensus; the others are put in by the world round it.
    #[cfg(feature = "deliberate-faults")]
    pub(crate) fn in_room(self) -> Option<Fault> {
        match self {
            DeliberateFault::LearnerCounts => Some(Fault::LearnersInCommitQuorum),
            DeliberateFault::TwoAtOnce => Some(Fault::VoterReplacedInOneChange),
            DeliberateFault::RemovedVotes => Some(Fault::UncheckedVotes),
            _ => None,
        }
    }
}
