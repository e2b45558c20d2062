//! Schedules snapshot requests of a proxy that holds unconfirmed instances.
//!
//! The proxy requests a snapshot from a leader that has no unconfirmed ready instance. If instances stay
//! unconfirmed at the proxy, the next request follows with exponential back-off.

use lynxstair::types::{Span, Time};

/// First and longest wait between two requests while instances stay unconfirmed.
const MIN_WAIT: Span = Span::from_millis(1_000);
const MAX_WAIT: Span = Span::from_millis(30_000);

/// Back-off state of the snapshot requests.
#[derive(Debug)]
pub struct SnapshotRequests {
    /// Earliest time of the next request.
    due_at: Time,
    /// Wait after the next request.
    wait: Span,
}

impl SnapshotRequests {
    /// Allows the first request immediately.
    pub fn new(now: Time) -> SnapshotRequests {
        SnapshotRequests { due_at: now, wait: MIN_WAIT }
    }

    /// Returns `true` if a snapshot must be requested from the leader that has just answered.
    /// `knows_instances`: the leader has no unconfirmed ready instance. `has_unconfirmed`: the proxy holds
    /// unconfirmed instances.
    pub fn poll(&mut self, now: Time, knows_instances: bool, has_unconfirmed: bool) -> bool {
        if !has_unconfirmed {
            self.wait = MIN_WAIT;
            return false;
        }
        if !knows_instances || now < self.due_at {
            return false;
        }
        self.due_at = now + self.wait;
        self.wait = self.wait.times(2.0).min(MAX_WAIT);
        true
    }
}
