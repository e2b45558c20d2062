//! Outputs of [`crate::Membership`]: actions to execute, events to log, and records to store.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::identity::{Identity, Incarnation, Name};
use crate::link_table::LinkState;
use crate::local_health::DegradedReason;
use crate::notices::Notice;
use crate::packet::DropReason;
use crate::status::State;

/// Action that the caller executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddrV4,
        /// Bytes of the datagram.
        datagram: Vec<u8>,
    },
    /// Write a record to disk. After [`Record::IncarnationStarted`] is written, call
    /// [`crate::Membership::on_written`].
    Write(Record),
    /// Log an event.
    Emit(Event),
}

/// Phase of this member in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// An incarnation is being written to disk. It isn't sent to other members before the write has ended.
    Recording,
    /// The member sends joins.
    Joining,
    /// The member has joined.
    In,
    /// The member announces that it leaves.
    Leaving,
    /// The member has announced that it left.
    Left,
    /// Joining was refused: another process holds the name, or the member limit is reached. Retried
    /// periodically.
    Refused,
    /// An operator shut the member out. Joining is retried periodically.
    ShutOut,
}

/// Reason for a change of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeReason {
    /// The member was on disk at start-up.
    Remembered,
    /// The member sent a join.
    Asked,
    /// A message came from the member, or gossip reported it alive.
    Heard,
    /// The member did not answer a probe of this or another member.
    NoAnswer,
    /// The member did not refute a suspicion, raised by this or another member, in time.
    NoObjection,
    /// The member announced that it leaves.
    SaidSo,
    /// Command of an operator.
    Operator,
}

/// Record stored on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum Record {
    /// A new incarnation of this member. It isn't sent to other members before it is on disk.
    #[serde(rename = "began")]
    IncarnationStarted {
        /// The new incarnation.
        incarnation: Incarnation,
    },
    /// Members to which joins are sent after a restart.
    Members {
        /// The present members.
        known: Vec<KnownMember>,
    },
    /// Notice that must survive a restart.
    Notice {
        /// The admission notice.
        notice: Notice,
    },
}

/// Member stored on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMember {
    /// Last known identity of the member.
    #[serde(rename = "ident")]
    pub identity: Identity,
}

/// Event for the log and the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A new incarnation is on disk and in use.
    #[serde(rename = "began")]
    IncarnationStarted {
        /// Identity of this member with the incarnation.
        #[serde(rename = "ident")]
        identity: Identity,
    },
    /// This member's phase changed.
    Phase {
        /// Previous phase.
        from: Phase,
        /// New phase.
        to: Phase,
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Another member's state changed.
    Member {
        /// Name of the member.
        name: Name,
        /// Address of the member.
        addr: SocketAddrV4,
        /// Previous state.
        from: State,
        /// Previous incarnation.
        #[serde(rename = "was")]
        from_incarnation: Incarnation,
        /// New state.
        to: State,
        /// New incarnation.
        incarnation: Incarnation,
        /// Reason for the change.
        #[serde(rename = "why")]
        reason: ChangeReason,
    },
    /// This process was paused.
    #[serde(rename = "stood")]
    Paused {
        /// Length of the pause in milliseconds.
        ms: u64,
    },
    /// The local health became degraded. Until it recovers, this member declares no member failed.
    #[serde(rename = "doubt_began")]
    HealthDegraded {
        /// Reason for the change.
        #[serde(rename = "why")]
        reason: DegradedReason,
    },
    /// The local health recovered: a reply was received, or no other member is present.
    #[serde(rename = "doubt_ended")]
    HealthRecovered {
        /// Duration of the degraded state in milliseconds.
        ms: u64,
    },
    /// The direct link to a member changed.
    Link {
        /// Name of the member.
        to: Name,
        /// New state of the link.
        state: LinkState,
    },
    /// A member that asked to join was refused.
    #[serde(rename = "turned_away")]
    JoinRefused {
        /// Name of the member.
        name: Name,
        /// Address from its identity.
        addr: SocketAddrV4,
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes of the received datagrams.
    pub bytes_in: u64,
    /// Bytes of the sent datagrams.
    pub bytes_out: u64,
    /// Messages relayed for other members.
    #[serde(rename = "passed_on")]
    pub relayed: u64,
    /// Received datagrams that were dropped, by reason.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Rejected changes of a member's state that are not allowed.
    #[serde(rename = "refused_changes")]
    pub invalid_transitions: u64,
}
