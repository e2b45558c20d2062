//! What voters and lease holders hand out: actions to carry out, and events to log.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::identity::Epoch;
use crate::message::Response;
use crate::phase::Phase;
use crate::record::Record;

/// What is to be done for a voter or a lease holder.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// Its bytes.
        datagram: Vec<u8>,
    },
    /// Write a record, in the order of the actions, then call `on_written` with its ticket.
    Write {
        /// Identifies the write.
        ticket: u64,
        /// The record.
        record: Record,
    },
    /// Log an event.
    Emit(Event),
}

/// What happened, for the log and the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A voter's phase changed.
    VoterPhase {
        /// Before.
        from: Phase,
        /// Now.
        to: Phase,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// This voter began to lead, or ceased to.
    #[serde(rename = "leads")]
    Leadership {
        /// Raft's term.
        term: u64,
        /// Whether it leads now.
        #[serde(rename = "leads")]
        is_leader: bool,
    },
    /// A duty was granted; each voter emits it when it applies the entry.
    Granted {
        /// The duty.
        duty: String,
        /// The owner's name.
        owner: String,
        /// Which start of the owner's process.
        #[serde(rename = "stand")]
        incarnation: u64,
        /// The owner's epoch.
        epoch: Epoch,
    },
    /// A duty has no owner any more; each voter emits it when it applies the entry.
    Released {
        /// The duty.
        duty: String,
        /// Who owned it.
        owner: String,
        /// In this epoch.
        epoch: Epoch,
    },
    /// The voters changed.
    Voters {
        /// All of them.
        names: Vec<String>,
    },
    /// This member began to own a duty.
    #[serde(rename = "owns")]
    OwnershipAcquired {
        /// The duty.
        duty: String,
        /// In this epoch.
        epoch: Epoch,
    },
    /// This member ceased to own a duty.
    #[serde(rename = "owns_no_more")]
    OwnershipLost {
        /// The duty.
        duty: String,
        /// In this epoch.
        epoch: Epoch,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A received message that is for the lease holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderMessage {
    /// A response to its request.
    Response {
        /// Of the request.
        number: u64,
        /// The response.
        response: Response,
    },
    /// A duty changed.
    DutyChanged {
        /// The duty.
        duty: String,
    },
}
