//! Token buckets for the standing parts of quotas, which this proxy holds as a member of the replicated proxy
//! membership, with or without a leader. [`lynxstair_control_state::quota_limits`] has their bound.

use std::collections::HashMap;

use lynxstair::state::TokenBucket;
use lynxstair::types::Time;
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::membership_planner::MEMBERSHIP_VALIDITY;
use lynxstair_control_state::proxy_membership::{PermitSplit, ProxyMembership};
use lynxstair_control_state::quota_limits::{QuotaTolerance, StandingPart};

/// The buckets of all tenants.
pub struct StandingBuckets {
    zone: String,
    node: String,
    started_at: Time,
    /// Number of members over which the standing parts are split.
    members: u32,
    split: PermitSplit,
    /// Time until which the membership may be used.
    valid_until: Option<Time>,
    buckets: HashMap<String, TokenBucket>,
}

impl StandingBuckets {
    /// Creates the buckets of the proxy `node`, whose process starts at `now`. All are empty.
    pub fn new(now: Time, zone: &str, node: &str) -> StandingBuckets {
        StandingBuckets {
            zone: zone.to_string(),
            node: node.to_string(),
            started_at: now,
            members: 0,
            split: PermitSplit::default(),
            valid_until: None,
            buckets: HashMap::new(),
        }
    }

    /// Sets the replicated membership.
    pub fn set_membership(&mut self, membership: &ProxyMembership) {
        self.members = membership.quota_counts().1;
        self.split = PermitSplit::new(membership, &self.zone, &self.node);
    }

    /// Records that a controller has confirmed the membership as the newest, as of at most
    /// `membership_planner::MAX_CONFIRMATION_AGE` ago.
    pub fn on_membership_confirmed(&mut self, now: Time) {
        self.valid_until = Some(now + MEMBERSHIP_VALIDITY);
    }

    fn part(&self, now: Time, tenant: &Tenant, tolerance: &QuotaTolerance) -> Option<StandingPart> {
        self.valid_until.filter(|until| now < *until)?;
        let total = tolerance.standing_units(tenant, self.members);
        let units = if total > 0 { self.split.units(&tenant.name, total) } else { 0 };
        (units > 0).then(|| tolerance.standing_part(units))
    }

    /// Takes a token. Returns `false` if there is none.
    pub fn try_spend(&mut self, now: Time, tenant: &Tenant, tolerance: &QuotaTolerance) -> bool {
        let Some(part) = self.part(now, tenant, tolerance) else { return false };
        let started_at = self.started_at;
        let new = || TokenBucket { level: 0.0, refilled_at: started_at };
        let bucket = match self.buckets.get_mut(&tenant.name) {
            Some(bucket) => bucket,
            None => self.buckets.entry(tenant.name.clone()).or_insert_with(new),
        };
        let has_token = bucket.refill(now, part.rate, part.depth) >= 1.0;
        if has_token {
            bucket.level -= 1.0;
        }
        has_token
    }

    /// Returns a token whose request was not sent to any worker. The next refill limits the level.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.level += 1.0;
        }
    }

    /// Removes tenants that are not configured and whose bucket is full: a new bucket may be full as well.
    pub fn retain_tenants(&mut self, now: Time, tolerance: &QuotaTolerance, configured: &[Tenant]) {
        let window = tolerance.counted_window();
        self.buckets.retain(|name, bucket| {
            configured.iter().any(|tenant| tenant.name == *name) || now - bucket.refilled_at < window
        });
    }
}
