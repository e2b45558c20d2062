//! Deliberate faults, by name: each is what a plausible slip in the system would do. The tests of `core` have each of
//! them found by a judge; a fault that none finds is a hole in the judges.

#[cfg(feature = "deliberate-faults")]
use lynxstair_consensus::Fault;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deliberate {
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

impl Deliberate {
    pub const ALL: [Deliberate; 9] = [
        Deliberate::UnsyncedVote,
        Deliberate::EmptiedVotes,
        Deliberate::EarlyAnswer,
        Deliberate::LeaseRead,
        Deliberate::LearnerCounts,
        Deliberate::TwoAtOnce,
        Deliberate::RemovedVotes,
        Deliberate::MarkLost,
        Deliberate::CutOffBeats,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Deliberate::UnsyncedVote => "unsynced-vote",
            Deliberate::EmptiedVotes => "emptied-votes",
            Deliberate::EarlyAnswer => "early-answer",
            Deliberate::LeaseRead => "lease-read",
            Deliberate::LearnerCounts => "learner-counts",
            Deliberate::TwoAtOnce => "two-at-once",
            Deliberate::RemovedVotes => "removed-votes",
            Deliberate::MarkLost => "mark-lost",
            Deliberate::CutOffBeats => "cut-off-beats",
        }
    }

    /// Those that sit inside the consensus; the others are put in by the world round it.
    #[cfg(feature = "deliberate-faults")]
    pub(crate) fn in_room(self) -> Option<Fault> {
        match self {
            Deliberate::LearnerCounts => Some(Fault::LearnersInCommitQuorum),
            Deliberate::TwoAtOnce => Some(Fault::VoterReplacedInOneChange),
            Deliberate::RemovedVotes => Some(Fault::UncheckedVotes),
            _ => None,
        }
    }
}
