//! Whether a proxy may rely on what the controllers told it of workers. While none of them is certain to know the newest state,
//! workers may say to other controllers, or to nobody, that they warm up; and after a silence they need a heartbeat's time
//! to say it again.

use lynxstair::types::{Span, Time};

/// If controllers were heard within this time, what workers report arrives here through them: somewhat more than the
/// heartbeat interval.
pub const CONTACT_TIMEOUT: Span = Span::from_millis(1_700);

/// When controllers with quorum contact were heard.
#[derive(Debug, Default)]
pub struct ControllerContact {
    heard_at: Option<Time>,
    /// When the last silence that was longer than the time-out ended, where what workers said since is not known to be
    /// here. To a process, the time before it began is such a silence.
    regained_at: Option<Time>,
}

impl ControllerContact {
    /// A controller with quorum contact was heard. `knows_instances`: every worker has had the time to report to it, and
    /// what it knows of them came before this (`HeartbeatAck`).
    /// Returns whether that ends a silence in which this process may have missed what workers said.
    pub fn on_heard(&mut self, now: Time, knows_instances: bool) -> bool {
        let is_first = self.heard_at.is_none();
        let is_regained = self.heard_at.is_none_or(|at| now - at >= CONTACT_TIMEOUT);
        if is_regained {
            self.regained_at = Some(now);
        }
        self.heard_at = self.heard_at.max(Some(now));
        if knows_instances {
            self.regained_at = None;
        }
        is_regained && !is_first
    }

    /// Whether workers have had time to report since the last silence. `unreported`: how long they may need.
    pub fn is_settled(&self, now: Time, unreported: Span) -> bool {
        self.heard_at.is_some_and(|at| now - at < CONTACT_TIMEOUT)
            && self.regained_at.is_none_or(|at| now - at >= unreported)
    }
}
