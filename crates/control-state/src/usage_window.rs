//! One tenant's usage over all proxies in a sliding window, and the decision to block the tenant.

use std::collections::VecDeque;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_protocol::messages::QuotaShare;

use crate::quota_allocator::QuotaTolerance;
use crate::quota_limits::{MIN_BUCKET_DEPTH, OVERSHOOT_RATE_FRACTION, SLACK_DEPTH_FRACTION};

/// Usage of up to a second is not reported yet. It is estimated as equal to the usage reported for this last
/// span of time.
const UNREPORTED_SPAN: Span = Span::from_millis(600);
/// A tenant is blocked if its usage reaches this fraction of the quota with its tolerance.
const BLOCK_FRACTION: f64 = 0.88;
/// A tenant is blocked until its usage, decreasing at the tenant's rate, reaches this fraction of the quota,
/// but for one window at most. It is throttled for one more window after that.
const UNBLOCK_FRACTION: f64 = 0.85;
/// Minimum time that a tenant is blocked for, in seconds.
const MIN_BLOCK_S: f64 = 0.5;

/// Reported usage of one tenant by the time at which it was counted.
#[derive(Debug, Default)]
pub(crate) struct UsageWindow {
    /// Time and number of admitted requests, in the order of time.
    reported: VecDeque<(Time, f64)>,
    /// Number of admitted requests in `reported`.
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

    /// Returns the usage in the window up to now, including an estimate of unreported usage.
    fn usage(&mut self, now: Time, window: Span) -> f64 {
        while let Some((_, admitted)) = self.reported.pop_front_if(|(at, _)| now - *at >= window) {
            self.sum -= admitted;
        }
        if self.reported.is_empty() {
            // Clears accumulated rounding errors.
            self.sum = 0.0;
        }
        let newest = self.reported.iter().rev().take_while(|(at, _)| now - *at < UNREPORTED_SPAN);
        self.sum + newest.map(|(_, admitted)| admitted).sum::<f64>()
    }

    /// Blocks the tenant if its usage is close to the tolerance. Returns `true` if it is blocked anew.
    pub fn block_if_exceeded(
        &mut self,
        now: Time,
        tolerance: QuotaTolerance,
        proxies: f64,
        tenant: &Tenant,
    ) -> bool {
        let window = tolerance.window.secs();
        let quota = tenant.rate * window + tenant.burst;
        let limit = quota * (1.0 + tolerance.overshoot) + tolerance.slack;
        // If full buckets cannot exceed the tolerance, the tenant need not be blocked.
        let depth = (tenant.burst + tolerance.slack * SLACK_DEPTH_FRACTION).max(MIN_BUCKET_DEPTH * proxies);
        if tenant.rate * window * (1.0 + tolerance.overshoot * OVERSHOOT_RATE_FRACTION) + depth <= limit {
            return false;
        }
        let usage = self.usage(now, tolerance.window);
        if usage < limit * BLOCK_FRACTION || now < self.blocked_until {
            return false;
        }
        let excess_s = (usage - quota * UNBLOCK_FRACTION) / tenant.rate;
        self.blocked_until = now + Span::from_secs(excess_s.clamp(MIN_BLOCK_S, window));
        self.throttled_until = self.blocked_until + tolerance.window;
        true
    }

    pub fn is_throttled(&self, now: Time) -> bool {
        now < self.throttled_until
    }

    /// Creates a share with this fraction and the remaining times for which the tenant is blocked and
    /// throttled.
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
