//! Actions that the state machine returns to its caller, and the state that the caller stores on disk.

use lynxstair::types::Time;
use lynxstair_protocol::consensus::{LogId, Message, ReplicatedState};
use lynxstair_protocol::messages::Bytes;
use serde::{Deserialize, Serialize};

use crate::NodeAddress;

/// Raft state stored on disk, replaced as a whole by each write. The field names are part of the stored
/// format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Random identity of the disk, generated when the disk is first written; 0 on a founding member. An
    /// emptied disk gets a new identity.
    pub disk: u64,
    /// The current term.
    pub term: u64,
    /// Candidate that this disk voted for in the current term.
    pub vote: Option<NodeAddress>,
    /// Position of the newest state.
    pub last: LogId,
    /// Newest state, which may be uncommitted.
    pub state: ReplicatedState,
}

/// Action for the caller; actions are performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the state, sync it, then call `on_persisted` with the number. A write that has not started may
    /// be skipped in favour of a later one.
    Persist {
        /// Sequence number of the write.
        number: u64,
        /// State to write.
        state: PersistentState,
    },
    /// Send a message without waiting for pending writes.
    Send {
        /// Recipient.
        to: NodeAddress,
        /// Message to send.
        message: Message,
    },
    /// A configuration is committed.
    Committed {
        /// Position of the committed state.
        position: LogId,
        /// Encoded configuration store.
        config: Bytes,
    },
    /// A proposal is no longer pending.
    ProposalDone {
        /// Number returned by `propose`.
        number: u64,
        /// Outcome of the proposal.
        outcome: RequestOutcome,
    },
    /// A read is no longer pending.
    ReadDone {
        /// Number returned by `request_read`.
        number: u64,
        /// `Confirmed` if the read may be served from the state that is committed on this node now.
        outcome: RequestOutcome,
    },
}

/// Outcome of a proposal or a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Confirmed by a quorum: the proposal is committed, or the read is linearizable.
    Confirmed,
    /// This node stopped leading first. The proposal may still be committed later, or never.
    Unknown,
}

/// Message with its recipient.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub to: NodeAddress,
    pub message: Message,
}

/// Write that is not yet reported as synced, with the messages held back until then. A vote or an
/// acknowledgement sent before the sync could be lost on power failure.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub number: u64,
    pub last: LogId,
    pub requested_at: Time,
    pub messages: Vec<Envelope>,
}
