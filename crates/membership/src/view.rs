//! One member's view of the fleet, reported to operators.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::event::{Counters, Phase};
use crate::identity::{Identity, Incarnation, Name};
use crate::link_table::LinkState;
use crate::local_health::DegradedReason;
use crate::status::State;

/// Another member as seen by this one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the member.
    pub name: Name,
    /// Zone of the member.
    #[serde(rename = "hall")]
    pub zone: Name,
    /// Address of the member.
    pub addr: SocketAddrV4,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Current state. `Unknown` for a present member while this one is isolated.
    pub state: State,
    /// Last known state.
    #[serde(rename = "last")]
    pub last_state: State,
    /// Time in `state`, in milliseconds.
    pub for_ms: u64,
    /// Reason of the last change of the state.
    #[serde(rename = "why")]
    pub reason: String,
    /// Direct link to the member.
    pub link: LinkView,
}

/// Direct link to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkView {
    /// State of the link.
    pub state: LinkState,
    /// Time since a datagram last came directly from the member, in milliseconds, or `None` if none came.
    #[serde(rename = "heard_ms_ago")]
    pub last_received_ms_ago: Option<u64>,
}

/// One member's view of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Identity of the reporting member.
    #[serde(rename = "me")]
    pub local: Identity,
    /// Phase of the reporting member.
    pub phase: Phase,
    /// Reason of the last change of the phase.
    #[serde(rename = "phase_why")]
    pub phase_reason: String,
    /// Reason for the degraded local health and its duration in milliseconds; `None` while healthy.
    #[serde(rename = "doubt")]
    pub degraded: Option<(DegradedReason, u64)>,
    /// Time-outs are multiplied by one more than this.
    #[serde(rename = "wider")]
    pub timeout_extension: u8,
    /// Other members.
    pub members: Vec<MemberView>,
    /// Counters of the reporting member.
    pub counters: Counters,
}
