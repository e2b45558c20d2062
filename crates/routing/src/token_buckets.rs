//! The ordinary path of every request: one token bucket for each tenant at this proxy. A token, and the request goes on;
//! none, and it is rejected with the time to the next. The buckets of all proxies together hold what the tenant's quota is,
//! by the shares that the quota allocator gives them.

use std::collections::HashMap;

use lynxstair::state::TokenBucket;
use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::quota_limits::{
    MIN_BUCKET_DEPTH, OVERSHOOT_RATE_FRACTION, SLACK_DEPTH_FRACTION,
};
use lynxstair_protocol::messages::{QuotaShare, TenantUsage};

/// How long a share is valid without being renewed by the allocator; after that it is capped at an even share.
const SHARE_VALIDITY: Span = Span::from_millis(2_500);
/// The longest `Retry-After` while a tenant is blocked (docs/design.md).
const MAX_BLOCKED_WAIT: Span = Span::from_millis(1_000);
/// The shortest one.
const MIN_BLOCKED_WAIT: Span = Span::from_millis(1);
/// The least depth where a tenant was blocked lately, in tokens.
const MIN_THROTTLED_DEPTH: f64 = 1.0;
/// The assumed number of proxies until the leader tells it: after a start of all at once each would otherwise spend the
/// whole quota.
const INITIAL_PROXIES: f64 = 12.0;
/// A new bucket begins with this many tokens at the least.
const MIN_INITIAL_TOKENS: f64 = 2.0;

#[derive(Default)]
struct TenantBucket {
    tokens: TokenBucket,
    /// The share of the quota that was given, and when.
    share: Option<(f64, Time)>,
    blocked_until: Time,
    throttled_until: Time,
    admitted: u32,
    rejected: u32,
}

impl TenantBucket {
    fn share(&self, now: Time, proxies: f64) -> f64 {
        let even = 1.0 / proxies;
        match self.share {
            Some((share, at)) if now - at < SHARE_VALIDITY => share,
            Some((share, _)) => share.min(even),
            None => even,
        }
    }
}

/// The buckets of all tenants at this proxy.
pub struct TokenBuckets {
    buckets: HashMap<String, TenantBucket>,
    proxies: f64,
    /// Requests that the operators grant beyond the quota in a window, over all proxies.
    slack: f64,
    /// The fraction by which they let the quota be exceeded on top of that.
    overshoot: f64,
}

impl TokenBuckets {
    /// `slack` requests and a fraction `overshoot` of the quota are granted beyond it in a window.
    pub fn new(slack: f64, overshoot: f64) -> Self {
        TokenBuckets { buckets: HashMap::new(), proxies: INITIAL_PROXIES, slack, overshoot }
    }

    /// How many proxies there are in all.
    pub fn set_proxy_count(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
    }

    /// Takes a token for a tenant's request; the error is the time after which it may come back. Decided at once, always.
    pub fn admit(&mut self, now: Time, tenant: &Tenant) -> Result<(), Span> {
        if tenant.rate <= 0.0 {
            return Ok(());
        }
        let proxies = self.proxies;
        let bucket = self.buckets.entry(tenant.name.clone()).or_insert_with(|| TenantBucket {
            // The burst is split over the proxies.
            tokens: TokenBucket { level: (tenant.burst / proxies).max(MIN_INITIAL_TOKENS), refilled_at: now },
            ..TenantBucket::default()
        });
        let share = bucket.share(now, proxies);
        let rate = tenant.rate * share * (1.0 + self.overshoot * OVERSHOOT_RATE_FRACTION);
        let depth = tenant.burst * share + self.slack * SLACK_DEPTH_FRACTION / proxies;
        let min_depth = if now < bucket.throttled_until { MIN_THROTTLED_DEPTH } else { MIN_BUCKET_DEPTH };
        let level = bucket.tokens.refill(now, rate, depth.max(min_depth));
        if now < bucket.blocked_until {
            // Nothing is saved up meanwhile.
            bucket.tokens.level = level.min(0.0);
            bucket.rejected += 1;
            return Err(MAX_BLOCKED_WAIT.min(bucket.blocked_until - now).max(MIN_BLOCKED_WAIT));
        }
        if level < 1.0 {
            bucket.rejected += 1;
            return Err(Span::from_secs((1.0 - level) / rate));
        }
        bucket.tokens.level -= 1.0;
        bucket.admitted += 1;
        Ok(())
    }

    /// Returns a token that was not spent after all: the request went to no worker.
    pub fn refund(&mut self, tenant: &str) {
        if let Some(bucket) = self.buckets.get_mut(tenant).filter(|b| b.admitted > 0) {
            bucket.admitted -= 1;
            bucket.tokens.level += 1.0;
        }
    }

    /// The shares that were given, by tenant.
    pub fn held_shares(&self, now: Time) -> Vec<(String, f32)> {
        let given = self.buckets.iter().filter(|(_, bucket)| bucket.share.is_some());
        given.map(|(tenant, bucket)| (tenant.clone(), bucket.share(now, self.proxies) as f32)).collect()
    }

    /// What was counted since the last call.
    pub fn take_usage(&mut self) -> Vec<TenantUsage> {
        let counted = self.buckets.iter_mut().filter(|(_, b)| b.admitted + b.rejected > 0);
        counted
            .map(|(tenant, bucket)| TenantUsage {
                tenant: tenant.clone(),
                admitted: std::mem::take(&mut bucket.admitted),
                rejected: std::mem::take(&mut bucket.rejected),
                age_ms: 0,
            })
            .collect()
    }

    /// Takes over shares, as of `given_at`.
    pub fn apply_shares(&mut self, now: Time, given_at: Time, shares: &[QuotaShare]) {
        for share in shares {
            let bucket = self.buckets.entry(share.tenant.clone()).or_default();
            if share.fraction.is_finite() {
                bucket.share = Some((f64::from(share.fraction).clamp(0.0, 1.0), given_at));
            }
            if share.blocked_ms > 0 {
                bucket.blocked_until = now + Span::from_millis(u64::from(share.blocked_ms));
                bucket.tokens.level = bucket.tokens.level.min(0.0);
            }
            if share.throttled_ms > 0 {
                bucket.throttled_until = now + Span::from_millis(u64::from(share.throttled_ms));
            }
        }
    }

    /// The leader has acknowledged a heartbeat that was sent then: the shares that were given before still stand.
    pub fn renew_shares(&mut self, sent_at: Time) {
        for bucket in self.buckets.values_mut() {
            if let Some((_, at)) = &mut bucket.share {
                *at = sent_at.max(*at);
            }
        }
    }

    /// Forgets tenants that the configuration does not hold any more.
    pub fn retain_tenants(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.buckets.retain(|tenant, _| is_configured(tenant));
    }
}
