//! Faults that tests put into the state machine, to see that their checks find them. Not in any program.

/// A safety measure that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A learner counts towards what is committed.
    LearnersInCommitQuorum,
    /// A voter is exchanged for another in one change, its predecessor not committed first.
    VoterReplacedInOneChange,
    /// Votes count whoever gives them, removed members and emptied disks too.
    UncheckedVotes,
}
