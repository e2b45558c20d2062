//! What a leader knows of the other nodes: of each address that it sends to, and of each disk that has answered.

use lynxstair::types::Time;
use lynxstair_protocol::consensus::LogId;

/// One address that the leader sends to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerContact {
    /// The last state that was sent to it, and in which round.
    pub sent: Option<SentState>,
    /// Its clock in its last reply.
    pub clock: Option<PeerClock>,
    /// When it was last seen, by a reply or by its connection.
    pub seen_at: Time,
}

/// A state that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SentState {
    pub position: LogId,
    pub round: u64,
}

/// A peer's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PeerClock {
    /// The peer's own time, in nanoseconds.
    pub value: u64,
    /// When it arrived, by this node's clock.
    pub received_at: Time,
}

/// One disk, as far as its replies in this term tell.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Progress {
    /// The newest round that it answered, 0 for none.
    pub round: u64,
    /// What it has stored.
    pub stored: LogId,
    /// When its last reply came; since this leader began, where none did.
    pub heard_at: Time,
    /// When it last asked to be replaced.
    pub leave_requested_at: Option<Time>,
}

impl PeerContact {
    pub fn seen(now: Time) -> PeerContact {
        PeerContact { sent: None, clock: None, seen_at: now }
    }
}

impl Progress {
    pub fn unheard(now: Time) -> Progress {
        Progress { round: 0, stored: LogId::default(), heard_at: now, leave_requested_at: None }
    }
}
