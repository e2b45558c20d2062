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
    Persist(u64, PersistentState),
    /// Send now.
    Send(NodeAddress, Message),
    /// This state is committed.
    Committed(LogId, Bytes),
    /// The proposal with this number is committed (true), or its fate is unknown (false).
    ProposalDone(u64, bool),
    /// The read with this number may be answered by what is committed here now (true), or this node can't tell (false).
    ReadDone(u64, bool),
}

/// A write that is not known to be synced, and the messages that wait for it: a vote or an acknowledgement that left
/// before its sync could be forgotten by a loss of power.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub number: u64,
    pub last: LogId,
    pub since: Time,
    pub messages: Vec<(NodeAddress, Message)>,
}
