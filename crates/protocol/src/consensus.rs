//! Messages of the consensus protocol, and the replicated state.
//!
//! `lynxstair-consensus` implements the protocol and `lynxstair-controller` sends its messages. Messages
//! carry no wall-clock time: a clock value is only meaningful to the node that sent it, and is echoed back
//! to it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::messages::Bytes;

/// Position of a state in the total order of states: its term, then its index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogId {
    /// Term of the leader that wrote the state.
    pub term: u64,
    /// Index of the state; a leader increments it with each state.
    pub index: u64,
}

/// Node together with its disk. An emptied disk gets a new identity and is therefore a different member, so
/// that a node that has lost its votes can't vote twice. The disks of founding members have the identity 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Control address of the node.
    pub node: SocketAddr,
    /// Identity of its disk.
    pub disk: u64,
}

/// Replicated state: the configuration and the voters. Each state replaces its predecessor, so it is also
/// the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Voters; majorities are counted among them.
    pub voters: Vec<Member>,
    /// Voter that has been replaced. The next membership change removes it, also under a new leader.
    #[serde(rename = "outgoing")]
    pub outgoing_voter: Option<Member>,
    /// Encoded configuration store, opaque to the protocol.
    #[serde(rename = "book")]
    pub config: Bytes,
}

/// Message between consensus nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Vote request of a candidate.
    RequestVote {
        /// Term of the election.
        term: u64,
        /// Position of the candidate's newest state.
        last: LogId,
        /// `true` for a pre-vote, which does not bind the voter.
        #[serde(rename = "pre")]
        is_pre_vote: bool,
    },
    /// Reply to `RequestVote`.
    VoteReply {
        /// Requested term. If a pre-vote is rejected, the voter's current term.
        term: u64,
        /// `true` if the vote is granted.
        granted: bool,
        /// `true` in reply to a pre-vote.
        #[serde(rename = "pre")]
        is_pre_vote: bool,
        /// Identity of the voter's disk.
        disk: u64,
    },
    /// Heartbeat of the leader, sent in each round.
    Append {
        /// Term of the leader.
        term: u64,
        /// Number of the heartbeat round, echoed in the reply.
        round: u64,
        /// Position of the leader's newest state.
        last: LogId,
        /// State at position `last`, if the leader expects that the recipient lacks it.
        state: Option<ReplicatedState>,
        /// Newest committed position.
        committed: LogId,
        /// Clock of the recipient from its last reply, in nanoseconds; 0 before its first reply.
        #[serde(rename = "echo")]
        clock_echo: u64,
        /// Time from the leader's last confirmation by a quorum to the arrival of that reply, in
        /// nanoseconds. `None` before the first reply, and until a state of the leader's term is committed.
        #[serde(rename = "fresh")]
        confirmed_ns_ago: Option<u64>,
    },
    /// Reply to `Append`.
    AppendReply {
        /// Term of the sender.
        term: u64,
        /// Number of the answered round; 0 if the round had an earlier term.
        round: u64,
        /// Newest position that is synced on the sender's disk.
        stored: LogId,
        /// Identity of that disk.
        disk: u64,
        /// Monotonic clock of the sender, in nanoseconds.
        clock: u64,
    },
    /// Leadership transfer: the recipient starts an election at once.
    TimeoutNow {
        /// Term of the leader.
        term: u64,
    },
    /// Request to the leader for a replacement, as the sender shuts down.
    #[serde(rename = "Leaving")]
    LeaveRequest {
        /// Identity of the sender's disk.
        disk: u64,
    },
}
