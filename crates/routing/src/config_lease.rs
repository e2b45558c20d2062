//! The configuration lease of a proxy: when it was last certain that no newer configuration had been committed, by its own
//! steady clock only. Where revoked keys must stop working everywhere, a proxy whose lease has run out serves no tenant.

use lynxstair::types::{Span, Time};

/// Kept back of the granted time, for the way of a request to its worker and for late timers.
const MARGIN: Span = Span::from_millis(350);

/// How long the configuration that is held may be acted on.
#[derive(Debug, Default)]
pub struct ConfigLease {
    confirmed_at: Option<Time>,
}

impl ConfigLease {
    /// A heartbeat that was sent at `sent_at` is acknowledged: no newer configuration than `revision` was committed
    /// `confirmed_ago` before it arrived. That counts only where this revision is held here (`held_revision`).
    pub fn renew(&mut self, sent_at: Time, revision: u64, confirmed_ago: Span, held_revision: u64) {
        if revision <= held_revision {
            self.confirmed_at = self.confirmed_at.max(Some(sent_at.saturating_sub(confirmed_ago)));
        }
    }

    /// Whether requests of tenants may go to workers, where a revoked key may work for no longer than `revoke` anywhere;
    /// None where that binds only proxies in touch with the controllers.
    pub fn is_valid(&self, now: Time, revoke: Option<Span>) -> bool {
        match (revoke, self.confirmed_at) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(revoke), Some(confirmed)) => now + MARGIN < confirmed + revoke,
        }
    }

    /// Whether the configuration was certain to be the newest within the given time.
    pub fn is_fresh(&self, now: Time, within: Span) -> bool {
        self.confirmed_at.is_some_and(|confirmed| now - confirmed < within)
    }
}
