//! The messages of the consensus protocol, and the state that it replicates. `lynxstair-consensus` decides,
//! `lynxstair-controller` carries them. No message holds a time of day: what one node knows of another's clock it has from
//! an echo of its own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::messages::Bytes;

/// A position in the order of all states: the term that a state was written in, then its index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogId {
    /// The term of the leader that wrote it.
    pub term: u64,
    /// Rises with each state.
    pub index: u64,
}

/// A node with the disk that it votes by. A disk that was emptied comes back under another identity, and so is another
/// member: the votes that it has forgotten can't be counted twice. The disks of founding members have the identity 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its control address.
    pub node: SocketAddr,
    /// The identity of its disk.
    pub disk: u64,
}

/// The replicated state: the configuration, and who votes on what follows. Each state replaces all before it, so it is
/// its own snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// Who votes.
    pub voters: Vec<Member>,
    /// The voter whose place another has taken: it is removed with the next change, whoever leads by then.
    #[serde(rename = "outgoing")]
    pub outgoing_voter: Option<Member>,
    /// The configuration store, encoded; opaque here.
    #[serde(rename = "book")]
    pub config: Bytes,
}

/// Between consensus members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks for a vote.
    RequestVote {
        /// The term that it wants to lead.
        term: u64,
        /// The position of its newest state.
        last: LogId,
        /// Only asks whether a campaign could succeed; binds nobody.
        #[serde(rename = "pre")]
        is_pre_vote: bool,
    },
    /// The answer to it.
    VoteReply {
        /// The term asked for, or the voter's own where it is later.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
        /// Answers a pre-vote.
        #[serde(rename = "pre")]
        is_pre_vote: bool,
        /// The identity of the voter's disk.
        disk: u64,
    },
    /// From the leader in each heartbeat round.
    Append {
        /// The leader's term.
        term: u64,
        /// The number of the round, echoed by the reply.
        round: u64,
        /// The position of the leader's newest state.
        last: LogId,
        /// That state, where the recipient lacks it.
        state: Option<ReplicatedState>,
        /// The newest committed position.
        committed: LogId,
        /// The recipient's own clock as last heard, in nanoseconds; 0 where it was not heard.
        #[serde(rename = "echo")]
        clock_echo: u64,
        /// How long before the arrival of that clock the leader was confirmed by a quorum, in nanoseconds.
        #[serde(rename = "fresh")]
        confirmed_ns_ago: Option<u64>,
    },
    /// To the leader.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// The round that it answers.
        round: u64,
        /// The position of what is synced on the sender's disk.
        stored: LogId,
        /// The identity of that disk.
        disk: u64,
        /// The sender's steady clock, in nanoseconds.
        clock: u64,
    },
    /// Leadership transfer: the recipient campaigns at once.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// To the leader: the sender shuts down and asks to be replaced.
    #[serde(rename = "Leaving")]
    LeaveRequest {
        /// The identity of the sender's disk.
        disk: u64,
    },
}
