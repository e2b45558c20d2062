//! Detection of clients that don't read their responses.

use lynxstair::types::{Span, Time};
use lynxstair_net::connection::Connection;

/// When the client of a connection last took bytes of its responses.
#[derive(Default)]
pub struct SendProgress {
    /// Bytes that the kernel had taken by then, and the time of the check that found them; `None` if no response is
    /// unsent.
    last: Option<(u64, Time)>,
}

impl SendProgress {
    /// Returns `true` if responses are unsent and the kernel has taken nothing of them for `timeout`. To be called
    /// at least that often.
    pub fn has_stalled(&mut self, now: Time, connection: &Connection, timeout: Span) -> bool {
        if connection.unsent() == 0 {
            self.last = None;
            return false;
        }
        let sent = connection.sent_bytes();
        match self.last {
            Some((before, since)) if before == sent => now - since >= timeout,
            _ => {
                self.last = Some((sent, now));
                false
            }
        }
    }

    /// Returns the time of the next check; `None` if no response was unsent at the last one.
    pub fn next_check(&self, timeout: Span) -> Option<Time> {
        self.last.map(|(_, since)| since + timeout)
    }
}
