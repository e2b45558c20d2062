//! Whether a proxy may rely on what the controllers told it of workers. While none of them is certain to know the newest state,
//! workers may say to other controllers, or to nobody, that they warm up; and after a silence what was said meanwhile is
//! missing until a snapshot has brought it. Which workers had no way to say anything stands in the snapshot
//! (`Instance::is_unconfirmed`).

use lynxstair::types::{Span, Time};

/// If controllers were heard within this time, what workers report arrives here through them: somewhat more than the
/// heartbeat interval.
pub const CONTACT_TIMEOUT: Span = Span::from_millis(1_700);

/// When controllers with quorum contact were heard.
#[derive(Debug, Default)]
pub struct ControllerContact {
    heard_at: Option<Time>,
    /// A snapshot of all instances has come since the last silence that was longer than the time-out. To a process, the
    /// time before it began is such a silence.
    has_snapshot: bool,
}

impl ControllerContact {
    /// A controller with quorum contact was heard. Returns whether that ends a silence, so that a snapshot is wanted.
    pub fn on_contact(&mut self, now: Time) -> bool {
        let is_regained = self.heard_at.is_some_and(|at| now - at >= CONTACT_TIMEOUT);
        if is_regained {
            self.has_snapshot = false;
        }
        self.heard_at = self.heard_at.max(Some(now));
        is_regained
    }

    /// A controller has sent all instances that it knows.
    pub fn on_snapshot(&mut self) {
        self.has_snapshot = true;
    }

    /// Whether what is known of workers here is what the controllers know.
    pub fn is_current(&self, now: Time) -> bool {
        self.has_snapshot && self.heard_at.is_some_and(|at| now - at < CONTACT_TIMEOUT)
    }
}
