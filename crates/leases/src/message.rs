//! Messages between voters, and between voters and lease holders.
//!
//! They are encoded with postcard: the order of variants and fields is part of the wire format, names are
//! not.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::identity::{ClusterId, Epoch, VoterInfo};
use crate::table::Lease;

/// Maximum length of the name of a member or duty, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum length of the state stored with a duty, in bytes.
pub const MAX_STATE_BYTES: usize = 512;

/// Request of a member to the voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Claims a duty.
    Claim {
        /// Name of the duty.
        duty: String,
        /// Incarnation of the sender; changes with each start of its process.
        incarnation: u64,
        /// Highest epoch of the duty known to the sender, so that no epoch is granted twice even if all
        /// voters lose their records.
        highest_epoch: Epoch,
    },
    /// Renews the lease of a duty that the sender owns.
    Renew {
        /// Name of the duty.
        duty: String,
        /// Incarnation of the sender; changes with each start of its process.
        incarnation: u64,
        /// Epoch in which the sender owns the duty.
        epoch: Epoch,
    },
    /// Releases a duty that the sender owns.
    Release {
        /// Name of the duty.
        duty: String,
        /// Epoch in which the sender owns the duty.
        epoch: Epoch,
    },
    /// Stores state with a duty that the sender owns.
    Store {
        /// Name of the duty.
        duty: String,
        /// Epoch in which the sender owns the duty.
        epoch: Epoch,
        /// State, at most [`MAX_STATE_BYTES`].
        state: Vec<u8>,
    },
    /// Operator's command; takes effect once per id.
    Admin {
        /// Idempotency key, chosen by the operator.
        id: u64,
        /// Command to carry out.
        command: AdminCommand,
    },
    /// Reads the leases of all duties and the voters, confirmed by a quorum.
    ReadTable,
}

/// Operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminCommand {
    /// Hands a duty over from its owner to another member.
    HandOver {
        /// Name of the duty.
        duty: String,
        /// Name of the member that becomes the owner.
        to: String,
    },
    /// Takes a duty from its owner, even if the owner is unreachable.
    Depose {
        /// Name of the duty.
        duty: String,
    },
    /// Replaces a voter by another member.
    ReplaceVoter {
        /// Name of the voter to remove.
        old: String,
        /// Name of the member that becomes a voter.
        new: String,
        /// Address of that member.
        addr: SocketAddrV4,
    },
}

/// Response of a voter to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The requester owns the duty, at some time after it sent the request.
    Granted {
        /// Epoch of the ownership.
        epoch: Epoch,
        /// State stored with the duty.
        state: Vec<u8>,
    },
    /// The requester does not own the duty.
    Denied {
        /// Epoch of the owner, or of the last one if there is none.
        epoch: Epoch,
        /// Name of the owner; `None` if the duty has none.
        owner: Option<String>,
    },
    /// The request has taken effect, now or by an earlier copy of it.
    Done,
    /// The request is rejected.
    Refused {
        /// Human-readable reason.
        reason: String,
    },
    /// The table, as confirmed by a quorum after the request was sent.
    Table {
        /// Duties and their leases.
        duties: Vec<(String, Lease)>,
        /// All voters.
        voters: Vec<VoterInfo>,
        /// Name of the leader.
        leader: String,
    },
    /// This voter is not the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<SocketAddrV4>,
        /// All voters.
        voters: Vec<VoterInfo>,
    },
    /// This voter can't answer now.
    Unavailable {
        /// Human-readable reason.
        reason: String,
    },
}

/// State of a voter's replicated table, as sent in a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordStatus {
    /// The voter has an identity and no table.
    Empty,
    /// The voter bootstrapped or joined this cluster.
    Member(ClusterId),
}

/// Message in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Raft message between voters.
    Raft {
        /// Cluster of the sender.
        cluster_id: ClusterId,
        /// `raft` message, encoded with protobuf.
        body: Vec<u8>,
    },
    /// Identity of a voter, sent to other voters.
    Hello {
        /// Identity and address of the sender.
        sender: VoterInfo,
        /// State of the sender's table.
        status: RecordStatus,
        /// `true` if the receiver has to answer with its own hello.
        wants_reply: bool,
    },
    /// Invitation of the leader to a member that is to become a voter.
    Invite,
    /// Request of a member to a voter.
    Request {
        /// Name of the member.
        from: String,
        /// Chosen by the sender; repeated in the response.
        number: u64,
        /// Content of the request.
        request: Request,
    },
    /// Notifies a member that it should claim or renew a duty now.
    DutyChanged {
        /// Name of the duty.
        duty: String,
    },
    /// Response of a voter to a member.
    Response {
        /// Number of the request.
        number: u64,
        /// Content of the response.
        response: Response,
    },
}
