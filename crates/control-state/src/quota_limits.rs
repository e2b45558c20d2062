//! How many requests of a tenant all proxies together may send in any sliding window, and how this limit is
//! divided into two parts that are bounded independently of each other:
//!
//! - The *standing part* consists of whole units, which are split over the members of the replicated
//!   [proxy membership](crate::proxy_membership). Each fills a bucket of its own with its units and needs no
//!   leader.
//!   In any window, a bucket of depth `depth` and fill rate `rate` admits at most `depth + rate * window`,
//!   also over restarts, because a process starts with an empty bucket.
//! - The *granted part* is held in tokens that the leader grants to proxies
//!   ([`crate::token_ledger`]).
//!
//! A tenant whose limit is small for the number of members has a granted part only.

use lynxstair::types::Span;
use lynxstair_config::configuration::Tenant;

/// Longest time between the admission of a request and its sending to a worker. A request that waits longer
/// needs another token.
pub const MAX_TOKEN_AGE: Span = Span::from_millis(250);
/// Part of the limit per member that is always granted. Tokens that follow demand use a small limit better
/// than parts that are fixed.
const GRANTED_PER_MEMBER: f64 = 3.0;
/// Fraction of the limit beyond that which is standing.
const STANDING_FRACTION: f64 = 0.5;
/// Requests per window in one unit of the standing part. Enough for an empty bucket to have a token soon.
const STANDING_UNIT: f64 = 5.0;
/// Fraction of a member's standing part that is the depth of its bucket.
const STANDING_DEPTH_FRACTION: f64 = 0.1;
/// Minimum depth of a member's bucket, in tokens. A bucket that holds less than one token admits nothing.
const MIN_STANDING_DEPTH: f64 = 1.0;

/// Usage that is allowed beyond a quota, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// Sliding window in which usage is counted.
    pub window: Span,
    /// Number of requests allowed beyond the quota in a window.
    pub slack: f64,
    /// Fraction of the quota that is allowed beyond it, in addition to `slack`.
    pub overshoot: f64,
}

/// One member's bucket for a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StandingPart {
    /// Maximum number of tokens.
    pub depth: f64,
    /// Fill rate in tokens per second.
    pub rate: f64,
}

impl QuotaTolerance {
    /// Returns the time for which a token counts as usage after it was spent. Longer than the window by the
    /// time that a request may wait after its admission.
    pub fn counted_window(&self) -> Span {
        self.window + MAX_TOKEN_AGE
    }

    /// Returns the quota of a tenant in a window.
    pub fn quota(&self, tenant: &Tenant) -> f64 {
        tenant.rate * self.window.secs() + tenant.burst
    }

    /// Returns the largest number of requests of a tenant in a window.
    pub fn limit(&self, tenant: &Tenant) -> f64 {
        self.quota(tenant) * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the standing parts of `members` members together.
    fn standing_total(&self, tenant: &Tenant, members: u32) -> f64 {
        let always_granted = GRANTED_PER_MEMBER * f64::from(members.max(1));
        (self.limit(tenant) - always_granted).max(0.0) * STANDING_FRACTION
    }

    /// Returns the number of whole units of the standing part, which are split over `members` members.
    pub fn standing_units(&self, tenant: &Tenant, members: u32) -> u32 {
        (self.standing_total(tenant, members) / STANDING_UNIT) as u32
    }

    /// Returns the bucket of a member with this number of units.
    pub fn standing_part(&self, units: u32) -> StandingPart {
        let part = STANDING_UNIT * f64::from(units);
        let depth = (part * STANDING_DEPTH_FRACTION).max(MIN_STANDING_DEPTH);
        StandingPart { depth, rate: (part - depth).max(0.0) / self.counted_window().secs() }
    }

    /// Returns the number of tokens that may be granted in a window beside the standing parts of `members`
    /// members. Never decreases with the limit of the tenant, so that tokens granted under a lower limit leave
    /// room for standing parts under a higher one.
    pub fn granted_part(&self, tenant: &Tenant, members: u32) -> u64 {
        (self.limit(tenant) - self.standing_total(tenant, members)) as u64
    }
}
