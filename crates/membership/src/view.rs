//! What one member answers when it is asked who is there.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::health::Doubt;
use crate::ident::{Ident, Incarnation, Name};
use crate::links::LinkState;
use crate::room::{Counters, Phase};
use crate::states::State;

/// Another member, as seen from here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberSeen {
    pub name: Name,
    pub hall: Name,
    pub addr: SocketAddrV4,
    pub incarnation: Incarnation,
    /// `unknown` while nothing can be said; `last` is what was said before.
    pub state: State,
    pub last: State,
    /// For how long it has been so, in milliseconds.
    pub for_ms: u64,
    pub why: String,
    pub link: LinkSeen,
}

/// The direct way to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkSeen {
    pub state: LinkState,
    /// How long ago a datagram came directly from it, in milliseconds; none: never.
    pub heard_ms_ago: Option<u64>,
}

/// All that one member knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub me: Ident,
    pub phase: Phase,
    pub phase_why: String,
    /// It doubts itself, and for how many milliseconds.
    pub doubt: Option<(Doubt, u64)>,
    /// By how many more of each its times are widened now.
    pub wider: u8,
    pub members: Vec<MemberSeen>,
    pub counters: Counters,
}
