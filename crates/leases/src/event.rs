//! Output of voters and lease holders: actions that the caller carries out, and events for the log.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::identity::Epoch;
use crate::message::Response;
use crate::phase::Phase;
use crate::record::Record;

/// Action that the caller of a voter or lease holder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddrV4,
        /// Encoded datagram.
        datagram: Vec<u8>,
    },
    /// Writes a record. Records are written in the order of the actions; [`Voter::on_written`] is called
    /// with the ticket when the write has ended.
    ///
    /// [`Voter::on_written`]: crate::Voter::on_written
    Write {
        /// Identifies the write.
        ticket: u64,
        /// Record to append.
        record: Record,
    },
    /// Logs an event.
    Emit(Event),
}

/// Event for the log and the history file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The phase of this voter changed.
    VoterPhase {
        /// Previous phase.
        from: Phase,
        /// New phase.
        to: Phase,
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// This voter became the leader, or is not the leader any more.
    #[serde(rename = "leads")]
    Leadership {
        /// Raft term.
        term: u64,
        /// `true` if this voter is the leader now.
        #[serde(rename = "leads")]
        is_leader: bool,
    },
    /// A duty was granted. Each voter emits this when it applies the entry.
    Granted {
        /// Name of the duty.
        duty: String,
        /// Name of the owner.
        owner: String,
        /// Incarnation of the owner.
        #[serde(rename = "stand")]
        incarnation: u64,
        /// Epoch of the grant.
        epoch: Epoch,
    },
    /// A duty has no owner any more. Each voter emits this when it applies the entry.
    Released {
        /// Name of the duty.
        duty: String,
        /// Name of the former owner.
        owner: String,
        /// Epoch of the former owner.
        epoch: Epoch,
    },
    /// The set of voters changed.
    Voters {
        /// Names of all voters.
        names: Vec<String>,
    },
    /// This member became the owner of a duty.
    #[serde(rename = "owns")]
    OwnershipAcquired {
        /// Name of the duty.
        duty: String,
        /// Epoch of the ownership.
        epoch: Epoch,
    },
    /// This member is not the owner of a duty any more.
    #[serde(rename = "owns_no_more")]
    OwnershipLost {
        /// Name of the duty.
        duty: String,
        /// Epoch of the ownership.
        epoch: Epoch,
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Received message for the lease holder of this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderMessage {
    /// Response to a request of the lease holder.
    Response {
        /// Number of the request.
        number: u64,
        /// Content of the response.
        response: Response,
    },
    /// The lease holder should claim or renew a duty now.
    DutyChanged {
        /// Name of the duty.
        duty: String,
    },
}
