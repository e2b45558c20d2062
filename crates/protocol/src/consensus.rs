//! The messages by which the huts agree on the book, and what they agree on. `crates/consensus` decides, `crates/controller`
//! carries them. No message holds a time of day: what one hut knows of another's clock it has from an echo of its
//! own.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::messages::Bytes;

/// A place in the order of all states: the term that a state was written in, then its index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogId {
    pub term: u64,
    pub index: u64,
}

/// A hut with the disk that it votes by. A disk that was emptied comes back under another number, and so is another
/// member: what it has forgotten can't be held against anybody. Founders' disks have the number 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub node: SocketAddr,
    pub disk: u64,
}

/// What is agreed on: the book, and who votes on what follows. Each state holds all before it, so it is its own
/// snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub voters: Vec<Member>,
    /// The voter whose place another has taken: it leaves with the next change, whoever leads by then.
    pub outgoing: Option<Member>,
    pub book: Bytes,
}

/// Between huts, about the book.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Would you have me lead this term? A pre-vote only asks whether asking is of use, and binds nobody.
    RequestVote {
        term: u64,
        last: LogId,
        pre: bool,
    },
    VoteReply {
        term: u64,
        granted: bool,
        pre: bool,
        disk: u64,
    },
    /// From the leader, each round: what it wrote last, the state itself where the other lacks it, what is
    /// committed. `echo` is the other's own clock as last heard, `fresh` how long before that answer's arrival the
    /// leader is known to have been the only one.
    Append {
        term: u64,
        round: u64,
        last: LogId,
        state: Option<State>,
        committed: LogId,
        echo: u64,
        fresh: Option<u64>,
    },
    /// To the leader: what is stored here, and synced, on which disk.
    AppendReply {
        term: u64,
        round: u64,
        stored: LogId,
        disk: u64,
        clock: u64,
    },
    /// From a leader that ends to the voter that is to lead after it: ask for votes at once.
    TimeoutNow {
        term: u64,
    },
    /// To the leader: the one who speaks was told to end, and asks to be replaced.
    Leaving {
        disk: u64,
    },
}
