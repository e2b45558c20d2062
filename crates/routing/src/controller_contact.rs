//! Whether a proxy may rely on what the controllers told it of workers. While none of them is certain to know the newest state,
//! workers may say to other controllers, or to nobody, that they warm up; and after a silence they need a heartbeat's time
//! to say it again.

use lynxstair::types::{Span, Time};

/// If controllers were heard within this time, what workers report arrives here through them: somewhat more than the
/// heartbeat interval.
pub const CONTACT_TIMEOUT: Span = Span::from_millis(1_700);

/// When controllers with quorum contact were heard.
#[derive(Debug)]
pub struct ControllerContact {
    /// Last; at first, when this process began.
    heard_at: Time,
    /// When the last silence that was longer than the time-out ended.
    regained_at: Option<Time>,
}

impl ControllerContact {
    /// A process that begins. Where it hears nothing for longer than the time-out, that is a silence like any other.
    pub fn new(started_at: Time) -> ControllerContact {
        ControllerContact { heard_at: started_at, regained_at: None }
    }

    /// A controller with quorum contact was heard.
    pub fn on_heard(&mut self, now: Time) {
        if now - self.heard_at >= CONTACT_TIMEOUT {
            self.regained_at = Some(now);
        }
        self.heard_at = self.heard_at.max(now);
    }

    /// Whether workers have had time to report since the last silence. `unreported`: how long they may need.
    pub fn is_settled(&self, now: Time, unreported: Span) -> bool {
        now - self.heard_at < CONTACT_TIMEOUT && self.regained_at.is_none_or(|at| now - at >= unreported)
    }
}
