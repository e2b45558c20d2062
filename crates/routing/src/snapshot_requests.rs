//! When a proxy that holds unconfirmed instances asks a leader for a snapshot: one that knows all its own as confirmed may
//! not know all that are known here, so its snapshot says which are; where that leaves some, the next one is asked for later.

use lynxstair::types::{Span, Time};

/// Between two snapshots, as long as instances stay unconfirmed: at first, and at the most.
const MIN_WAIT: Span = Span::from_millis(1_000);
const MAX_WAIT: Span = Span::from_millis(30_000);

/// When the next one may be asked for, and how long after that the one behind it.
#[derive(Debug)]
pub struct SnapshotRequests {
    due_at: Time,
    wait: Span,
}

impl SnapshotRequests {
    /// One may be asked for at once.
    pub fn new(now: Time) -> SnapshotRequests {
        SnapshotRequests { due_at: now, wait: MIN_WAIT }
    }

    /// A leader was heard that knows all its instances as confirmed, or not; whether its snapshot is to be asked for.
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
