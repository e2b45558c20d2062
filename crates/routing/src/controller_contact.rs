//! Tracks whether the worker states that a proxy received from the controllers are up to date.
//!
//! Without a controller that has quorum contact, the proxy may miss that a worker is warming up. After such
//! an interruption the states are up to date again only once a snapshot was received.
//! `Instance::is_unconfirmed` in the snapshot marks workers that may be warming up again but have not
//! reported since.

use lynxstair::types::{Span, Time};

/// Contact is lost if no controller with quorum contact has answered for this long. Longer than the
/// heartbeat interval.
pub const CONTACT_TIMEOUT: Span = Span::from_millis(1_700);

/// Contact with controllers that have quorum contact.
#[derive(Debug, Default)]
pub struct ControllerContact {
    contact_at: Option<Time>,
    /// A snapshot of all instances was received since contact was last regained, or since the process
    /// started.
    has_snapshot: bool,
}

impl ControllerContact {
    /// Records contact with a controller that has quorum contact. Returns `true` if contact had been lost,
    /// so that a snapshot must be requested.
    pub fn on_contact(&mut self, now: Time) -> bool {
        let is_regained = self.contact_at.is_some_and(|at| now - at >= CONTACT_TIMEOUT);
        if is_regained {
            self.has_snapshot = false;
        }
        self.contact_at = self.contact_at.max(Some(now));
        is_regained
    }

    /// Records a snapshot of all instances from a controller.
    pub fn on_snapshot(&mut self) {
        self.has_snapshot = true;
    }

    /// Returns `true` if the proxy holds the worker states that the controllers hold.
    pub fn is_current(&self, now: Time) -> bool {
        self.has_snapshot && self.contact_at.is_some_and(|at| now - at < CONTACT_TIMEOUT)
    }
}
