//! Messages among voters, and between voters and the members that claim duties.
//!
//! They are encoded by postcard: the order of variants and fields is the wire format, their names are not.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::identity::{ClusterId, Epoch, VoterInfo};
use crate::table::Lease;

/// Longest name of a member or duty, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Longest state stored with a duty, in bytes.
pub const MAX_STATE_BYTES: usize = 512;

/// What a member asks of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The sender wants to own a duty.
    Claim {
        /// The duty.
        duty: String,
        /// Drawn at each start of the process.
        incarnation: u64,
        /// The highest epoch known to the sender: no epoch is given twice, even where all voters lost their
        /// records.
        highest_epoch: Epoch,
    },
    /// The sender owns the duty in this epoch and wants that confirmed.
    Renew {
        /// The duty.
        duty: String,
        /// Drawn at each start of the process.
        incarnation: u64,
        /// The sender's epoch.
        epoch: Epoch,
    },
    /// The sender owns the duty in this epoch and gives it up.
    Release {
        /// The duty.
        duty: String,
        /// The sender's epoch.
        epoch: Epoch,
    },
    /// Stores a state with the duty.
    Store {
        /// The duty.
        duty: String,
        /// The sender's epoch.
        epoch: Epoch,
        /// At most [`MAX_STATE_BYTES`].
        state: Vec<u8>,
    },
    /// An operator's command; it takes effect once for each id.
    Admin {
        /// Chosen by the operator.
        id: u64,
        /// The command.
        command: AdminCommand,
    },
    /// The whole table and the voters, as confirmed by a majority.
    ReadTable,
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminCommand {
    /// The owner gives the duty up to another member.
    HandOver {
        /// The duty.
        duty: String,
        /// The member that is to have it.
        to: String,
    },
    /// The duty is taken from its owner, whether that can be reached or not.
    Depose {
        /// The duty.
        duty: String,
    },
    /// Another member becomes a voter in the place of one.
    ReplaceVoter {
        /// The voter that goes.
        old: String,
        /// The member that takes its place.
        new: String,
        /// Where that member is.
        addr: SocketAddrV4,
    },
}

/// A voter's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The sender owns the duty, and did when it asked.
    Granted {
        /// Its epoch.
        epoch: Epoch,
        /// What is stored with the duty.
        state: Vec<u8>,
    },
    /// The sender does not own the duty.
    Denied {
        /// Of the owner, or of the last one.
        epoch: Epoch,
        /// The owner; `None`: nobody yet.
        owner: Option<String>,
    },
    /// The request has taken effect, now or when it came first.
    Done,
    /// The request can't take effect.
    Refused {
        /// Why, for people.
        reason: String,
    },
    /// The table as a majority had it after the request was sent.
    Table {
        /// By duty.
        duties: Vec<(String, Lease)>,
        /// All voters.
        voters: Vec<VoterInfo>,
        /// The voter that leads.
        leader: String,
    },
    /// This voter does not lead.
    NotLeader {
        /// Where the leader is, as far as this voter knows.
        leader: Option<SocketAddrV4>,
        /// All voters.
        voters: Vec<VoterInfo>,
    },
    /// This voter can't tell now.
    Unavailable {
        /// Why, for people.
        reason: String,
    },
}

/// Whether a voter has a replicated table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordStatus {
    /// It has an identity and no table.
    Empty,
    /// It bootstrapped this cluster's table or joined it.
    Member(ClusterId),
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters: a message of `raft`.
    Raft {
        /// The sender's cluster.
        cluster_id: ClusterId,
        /// Encoded by `raft`.
        body: Vec<u8>,
    },
    /// Between voters: who the sender is.
    Hello {
        /// The sender.
        sender: VoterInfo,
        /// Whether it has a table.
        status: RecordStatus,
        /// The receiver is to answer with a hello of its own.
        wants_reply: bool,
    },
    /// To a member that is to become a voter.
    Invite,
    /// From a member.
    Request {
        /// The member's name.
        from: String,
        /// Drawn by the sender; the response bears it.
        number: u64,
        /// The request.
        request: Request,
    },
    /// To a member: the duty changed, claim or renew it now.
    DutyChanged {
        /// The duty.
        duty: String,
    },
    /// To a member.
    Response {
        /// Of the request.
        number: u64,
        /// The response.
        response: Response,
    },
}
