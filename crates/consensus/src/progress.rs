//! Leader-side view of the other nodes: one entry for each address it sends to, and one for each disk.

use lynxstair::types::Time;
use lynxstair_protocol::consensus::LogId;

/// Address that the leader sends to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerContact {
    /// State last sent to this address; `None` before the first one, after a reconnection and after a
    /// change of disk.
    pub sent: Option<SentState>,
    /// Clock of the peer in its last reply.
    pub clock: Option<PeerClock>,
    /// Time of the last reply, or of the last sign of a connection to the peer.
    pub seen_at: Time,
}

/// State sent to a peer, and the heartbeat round that carried it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SentState {
    pub position: LogId,
    pub round: u64,
}

/// Reading of a peer's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PeerClock {
    /// Time on the peer's clock, in nanoseconds.
    pub value: u64,
    /// Time of arrival on this node's clock.
    pub received_at: Time,
}

/// Replication progress of a disk, from its replies in this term.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Progress {
    /// Newest round that the disk answered, 0 if none.
    pub round: u64,
    /// Newest position that the disk reported as synced.
    pub stored: LogId,
    /// Time of the last reply. Until the first reply, the time at which this entry was created.
    pub last_contact_at: Time,
    /// Time of the last request to be replaced.
    pub leave_requested_at: Option<Time>,
}

impl PeerContact {
    pub fn new(now: Time) -> PeerContact {
        PeerContact { sent: None, clock: None, seen_at: now }
    }
}

impl Progress {
    pub fn new(now: Time) -> Progress {
        Progress { round: 0, stored: LogId::default(), last_contact_at: now, leave_requested_at: None }
    }
}
