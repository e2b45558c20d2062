//! Faults that tests inject into the state machine to verify that their checks detect them. Compiled only
//! with the `deliberate-faults` feature, which no program enables.

/// Safety rule that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Acknowledgements of learners count towards the commit quorum.
    LearnersInCommitQuorum,
    /// A voter is added and its predecessor removed in a single change, instead of two committed one after
    /// the other.
    VoterReplacedInOneChange,
    /// Votes of removed members and of emptied disks count in elections.
    UncheckedVotes,
}
