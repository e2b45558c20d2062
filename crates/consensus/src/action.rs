//! What the state machine asks its caller to do, and what it asks it to keep on disk.

use lynxstair::types::Time;
use lynxstair_protocol::consensus::{LogId, Message, ReplicatedState};
use lynxstair_protocol::messages::Bytes;
use serde::{Deserialize, Serialize};

use crate::NodeAddress;

/// What a node keeps on its disk, all of it in one write. Its field names lie on disks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistentState {
    /// The identity of the disk, drawn when it was first written; 0 on a founding member's. An emptied disk comes back
    /// with another one.
    pub disk: u64,
    /// The current term.
    pub term: u64,
    /// Who got this disk's vote in the term.
    pub vote: Option<NodeAddress>,
    /// The position of the newest state.
    pub last: LogId,
    /// The newest state, committed or not.
    pub state: ReplicatedState,
}

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write and sync; then call `on_persisted` with the number. A later write replaces one that has not begun.
    Persist {
        /// Rises with each write.
        number: u64,
        /// What to write.
        state: PersistentState,
    },
    /// Send now.
    Send {
        /// To whom.
        to: NodeAddress,
        /// What.
        message: Message,
    },
    /// This configuration is committed.
    Committed {
        /// Where it stands in the order of all states.
        position: LogId,
        /// The configuration store, encoded.
        config: Bytes,
    },
    /// A proposal is not pending any more.
    ProposalDone {
        /// As `propose` returned it.
        number: u64,
        /// What became of it.
        outcome: RequestOutcome,
    },
    /// A read is not pending any more.
    ReadDone {
        /// As `request_read` returned it.
        number: u64,
        /// Whether it may be answered by what is committed here now.
        outcome: RequestOutcome,
    },
}

/// What became of a proposal or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A quorum has confirmed it: a proposal is committed, a read is linearizable.
    Confirmed,
    /// This node can't tell any more: a proposal may be committed later, or never.
    Unknown,
}

/// A message and whom it goes to.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub to: NodeAddress,
    pub message: Message,
}

/// A write that is not known to be synced, and the messages that wait for it: a vote or an acknowledgement that left
/// before its sync could be forgotten by a loss of power.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub number: u64,
    pub last: LogId,
    pub since: Time,
    pub messages: Vec<Envelope>,
}
