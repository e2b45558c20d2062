//! Configuration lease of a proxy.
//!
//! The lease records, by the proxy's own monotonic clock, the latest time at which its configuration was
//! confirmed as the newest committed one. If revoked API keys must stop working on every machine, a proxy
//! with an expired lease forwards no tenant requests.

use lynxstair::types::{Span, Time};

/// Subtracted from the lease duration to cover delivery of a request to its worker and late timers.
const MARGIN: Span = Span::from_millis(350);

/// The lease on the configuration that the proxy holds.
#[derive(Debug, Default)]
pub struct ConfigLease {
    confirmed_at: Option<Time>,
}

impl ConfigLease {
    /// Renews the lease after the acknowledgement of a heartbeat that was sent at `sent_at`. The
    /// acknowledgement states that `revision` was the newest committed one `confirmed_ago` before the
    /// heartbeat arrived. It is ignored if the proxy doesn't hold that revision yet.
    pub fn renew(&mut self, sent_at: Time, revision: u64, confirmed_ago: Span, held_revision: u64) {
        if revision <= held_revision {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at.saturating_sub(confirmed_ago)));
        }
    }

    /// Returns `true` if tenant requests may be forwarded. `revoke` is the longest time for which a revoked
    /// key may work on any machine, or `None` if the limit applies only to proxies in contact with the
    /// controllers.
    pub fn is_valid(&self, now: Time, revoke: Option<Span>) -> bool {
        match (revoke, self.confirmed_at) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(revoke), Some(confirmed)) => now + MARGIN < confirmed + revoke,
        }
    }

    /// Returns `true` if the configuration was confirmed as the newest less than `within` ago.
    pub fn is_fresh(&self, now: Time, within: Span) -> bool {
        self.confirmed_at.is_some_and(|confirmed| now - confirmed < within)
    }
}
