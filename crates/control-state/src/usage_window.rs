//! One tenant's usage over all proxies in a sliding window, and whether it blocks the tenant.

use std::collections::VecDeque;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_protocol::messages::QuotaShare;

use crate::quota_allocator::QuotaTolerance;
use crate::quota_limits::{MIN_BUCKET_DEPTH, OVERSHOOT_RATE_FRACTION, SLACK_DEPTH_FRACTION};

/// Reports come a second apart, so part of the current usage is not reported yet. It is estimated as another copy of the
/// reports of this last stretch of time.
const UNREPORTED: Span = Span::from_millis(600);
/// A tenant is blocked when its usage reaches this fraction of what is granted.
const BLOCK_AT: f64 = 0.88;
/// It stays blocked until its usage, falling at its rate, is down to this fraction of the quota; then it is throttled for
/// one window.
const BLOCK_UNTIL: f64 = 0.85;
/// The shortest time that a tenant is blocked for, in seconds.
const MIN_BLOCK_S: f64 = 0.5;

/// Usage by the time it was counted at.
#[derive(Debug, Default)]
pub(crate) struct UsageWindow {
    reported: VecDeque<(Time, f64)>,
    sum: f64,
    blocked_until: Time,
    throttled_until: Time,
}

impl UsageWindow {
    pub fn add(&mut self, at: Time, admitted: f64) {
        let position = self.reported.iter().rposition(|(t, _)| *t <= at).map_or(0, |p| p + 1);
        self.reported.insert(position, (at, admitted));
        self.sum += admitted;
    }

    /// The usage in the window up to now, with an estimate of what is not reported yet.
    fn usage(&mut self, now: Time, window: Span) -> f64 {
        while let Some((_, admitted)) = self.reported.pop_front_if(|(at, _)| now - *at >= window) {
            self.sum -= admitted;
        }
        if self.reported.is_empty() {
            // Rounding errors do not pile up.
            self.sum = 0.0;
        }
        let newest = self.reported.iter().rev().take_while(|(at, _)| now - *at < UNREPORTED);
        self.sum + newest.map(|(_, admitted)| admitted).sum::<f64>()
    }

    /// Whether the tenant is to be blocked from now on.
    pub fn blocks(&mut self, now: Time, grant: QuotaTolerance, proxies: f64, tenant: &Tenant) -> bool {
        let window = grant.window.secs();
        let quota = tenant.rate * window + tenant.burst;
        let granted = quota * (1.0 + grant.overshoot) + grant.slack;
        // Where the buckets alone can't hold more, nobody has to be blocked.
        let depth = (tenant.burst + grant.slack * SLACK_DEPTH_FRACTION).max(MIN_BUCKET_DEPTH * proxies);
        if tenant.rate * window * (1.0 + grant.overshoot * OVERSHOOT_RATE_FRACTION) + depth <= granted {
            return false;
        }
        let usage = self.usage(now, grant.window);
        if usage < granted * BLOCK_AT || now < self.blocked_until {
            return false;
        }
        let excess_s = (usage - quota * BLOCK_UNTIL) / tenant.rate;
        self.blocked_until = now + Span::from_secs(excess_s.clamp(MIN_BLOCK_S, window));
        self.throttled_until = self.blocked_until + grant.window;
        true
    }

    pub fn is_throttled(&self, now: Time) -> bool {
        now < self.throttled_until
    }

    /// A share of this fraction, with for how long the tenant is blocked and throttled.
    pub fn share(&self, now: Time, tenant: &Tenant, fraction: f32) -> QuotaShare {
        let ms = |until: Time| ((until - now).nanos() / 1_000_000) as u32;
        QuotaShare {
            tenant: tenant.name.clone(),
            fraction,
            blocked_ms: ms(self.blocked_until),
            throttled_ms: ms(self.throttled_until),
        }
    }
}
