//! Faults that tests put into the simulated system to verify that the checker detects them. Each is a
//! plausible programming error.

#[cfg(feature = "deliberate-faults")]
use lynxstair_consensus::Fault;

/// Error in the simulated system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliberateFault {
    /// A vote is reported as synced but not stored on disk.
    UnsyncedVote,
    /// A controller that lost its disk starts as a founding member, and votes.
    EmptiedVotes,
    /// A command is acknowledged as soon as it is proposed.
    EarlyAnswer,
    /// The leader answers reads and rejections by a read lease, without quorum contact.
    LeaseRead,
    /// Acknowledgements of learners count towards the commit quorum.
    LearnerCounts,
    /// A voter is replaced in a single membership change.
    TwoAtOnce,
    /// Votes of removed members and of emptied disks count in elections.
    RemovedVotes,
    /// A replicated state loses the table of recently applied commands on the way to another controller.
    MarkLost,
    /// A controller without quorum contact acknowledges heartbeats of workers.
    CutOffBeats,
}

impl DeliberateFault {
    /// All deliberate faults.
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

    /// Name in output.
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

    /// Returns the fault to enable in the consensus state machine. `None` if the simulation implements it.
    #[cfg(feature = "deliberate-faults")]
    pub(crate) fn consensus_fault(self) -> Option<Fault> {
        match self {
            DeliberateFault::LearnerCounts => Some(Fault::LearnersInCommitQuorum),
            DeliberateFault::TwoAtOnce => Some(Fault::VoterReplacedInOneChange),
            DeliberateFault::RemovedVotes => Some(Fault::UncheckedVotes),
            _ => None,
        }
    }
}
