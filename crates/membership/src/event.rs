//! What [`crate::Membership`] hands out: actions to carry out, events to log, records to store.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::identity::{Identity, Incarnation, Name};
use crate::link_table::LinkState;
use crate::local_health::DegradedReason;
use crate::notices::Notice;
use crate::packet::DropReason;
use crate::status::State;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddrV4,
        /// Its bytes.
        datagram: Vec<u8>,
    },
    /// Write a record. After [`Record::IncarnationStarted`] call `on_written`.
    Write(Record),
    /// Log an event.
    Emit(Event),
}

/// What this member is in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its incarnation is being written to disk; it tells nobody of itself.
    Recording,
    /// It asks to join.
    Joining,
    /// It takes part.
    In,
    /// It tells others that it leaves.
    Leaving,
    /// It has told them.
    Left,
    /// Another process bears its name. It asks again now and then.
    Refused,
    /// An operator excluded it. It asks again now and then.
    ShutOut,
}

/// Why a member's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeReason {
    /// Known from before the start.
    Remembered,
    /// It asked to join.
    Asked,
    /// Heard from it, or of it as alive.
    Heard,
    /// It did not answer, here or elsewhere.
    NoAnswer,
    /// It did not refute a suspicion in time, here or elsewhere.
    NoObjection,
    /// It said so itself.
    SaidSo,
    /// An operator's command.
    Operator,
}

/// What is stored on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum Record {
    /// An incarnation begins. Nobody is told of it before it is on disk and `on_written` was called.
    #[serde(rename = "began")]
    IncarnationStarted {
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// Members to ask after a restart.
    Members {
        /// The members.
        known: Vec<KnownMember>,
    },
    /// A notice that must outlast a restart.
    Notice {
        /// The notice.
        notice: Notice,
    },
}

/// A member as it was last known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownMember {
    /// Its identity.
    #[serde(rename = "ident")]
    pub identity: Identity,
}

/// What happened, for the log and the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// This incarnation is on disk; others are told of it from now on.
    #[serde(rename = "began")]
    IncarnationStarted {
        /// The member with its incarnation.
        #[serde(rename = "ident")]
        identity: Identity,
    },
    /// This member's phase changed.
    Phase {
        /// Before.
        from: Phase,
        /// Now.
        to: Phase,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Another member's state changed.
    Member {
        /// Its name.
        name: Name,
        /// Where it is reached.
        addr: SocketAddrV4,
        /// Its state before.
        from: State,
        /// Its incarnation before.
        #[serde(rename = "was")]
        from_incarnation: Incarnation,
        /// Its state now.
        to: State,
        /// Its incarnation now.
        incarnation: Incarnation,
        /// Why.
        #[serde(rename = "why")]
        reason: ChangeReason,
    },
    /// This process was paused.
    #[serde(rename = "stood")]
    Paused {
        /// For so many milliseconds.
        ms: u64,
    },
    /// This member began to doubt itself: it declares nobody failed.
    #[serde(rename = "doubt_began")]
    HealthDegraded {
        /// Why.
        #[serde(rename = "why")]
        reason: DegradedReason,
    },
    /// It has heard from others again.
    #[serde(rename = "doubt_ended")]
    HealthRecovered {
        /// After so many milliseconds.
        ms: u64,
    },
    /// The direct link to a member changed.
    Link {
        /// The member.
        to: Name,
        /// The link's state now.
        state: LinkState,
    },
    /// A member that asked to join was refused.
    #[serde(rename = "turned_away")]
    JoinRefused {
        /// Its name.
        name: Name,
        /// Where it is.
        addr: SocketAddrV4,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Their bytes received.
    pub bytes_in: u64,
    /// Their bytes sent.
    pub bytes_out: u64,
    /// Messages relayed for others.
    #[serde(rename = "passed_on")]
    pub relayed: u64,
    /// Datagrams dropped.
    pub dropped: BTreeMap<DropReason, u64>,
    /// Changes of a member's state that are not allowed and were not made.
    #[serde(rename = "refused_changes")]
    pub invalid_transitions: u64,
}
