//! What one member answers when an operator asks who is present.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::event::{Counters, Phase};
use crate::identity::{Identity, Incarnation, Name};
use crate::link_table::LinkState;
use crate::local_health::DegradedReason;
use crate::status::State;

/// Another member as seen from here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: Name,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// Where it is reached.
    pub addr: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// `Unknown` while this member is isolated.
    pub state: State,
    /// The last state that was known.
    #[serde(rename = "last")]
    pub last_state: State,
    /// For how long it has been in `state`, in milliseconds.
    pub for_ms: u64,
    /// Why.
    #[serde(rename = "why")]
    pub reason: String,
    /// The direct link to it.
    pub link: LinkView,
}

/// The direct link to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkView {
    /// Its state.
    pub state: LinkState,
    /// How long ago a datagram came directly from the member, in milliseconds; `None`: never.
    #[serde(rename = "heard_ms_ago")]
    pub last_received_ms_ago: Option<u64>,
}

/// Everything that one member knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The member itself.
    #[serde(rename = "me")]
    pub local: Identity,
    /// Its phase.
    pub phase: Phase,
    /// Why it is in this phase.
    #[serde(rename = "phase_why")]
    pub phase_reason: String,
    /// Why it doubts itself, and for how many milliseconds.
    #[serde(rename = "doubt")]
    pub degraded: Option<(DegradedReason, u64)>,
    /// By how many times their length its timeouts are extended now.
    #[serde(rename = "wider")]
    pub timeout_extension: u8,
    /// The other members.
    pub members: Vec<MemberView>,
    /// What was counted.
    pub counters: Counters,
}
