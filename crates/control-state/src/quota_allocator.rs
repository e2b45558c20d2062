//! The quota allocator: splits each tenant's quota over the proxies by the usage that they report. The
//! leader runs it on the heartbeats that each proxy sends every second. Requests are admitted without
//! waiting for it.
//!
//! Two mechanisms keep the total usage within the quota and its tolerance. A share grows only as far as the
//! shares that the other proxies may hold leave room, except that each proxy always gets a minimum share. If
//! shares are so small that token buckets hold more than their share (`quota_limits::MIN_BUCKET_DEPTH`), the
//! total usage in a sliding window, including an estimate of unreported usage, blocks a tenant at all
//! proxies before it exceeds the tolerance.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_protocol::messages::{QuotaShare, TenantUsage};

use crate::usage_window::UsageWindow;

/// Fraction of a quota that is split evenly over all known proxies; the rest is split by demand.
const EVEN_FRACTION: f64 = 0.4;
/// Weight of a new report that covers one second in the moving average of a proxy's demand.
const DEMAND_WEIGHT: f64 = 0.12;
/// A report this many standard deviations above the estimated demand replaces the estimate at once.
const DEMAND_JUMP_DEVIATIONS: f64 = 3.0;
/// Time for which a silent proxy is assumed to hold its share; longer than the share is valid at the proxy.
const SHARE_RETENTION: Span = Span::from_millis(3_300);
/// A proxy that was silent for this long is removed. Between `SHARE_RETENTION` and this time it is assumed
/// to hold an even share.
const PROXY_RETENTION: Span = Span::from_millis(12_000);
/// Minimum number of usage reports for a reliable demand estimate.
const MIN_SETTLED_REPORTS: u32 = 3;
/// Minimum assumed demand, in requests per second, so that a proxy without traffic keeps some share.
const MIN_DEMAND_PER_S: f64 = 0.3;
/// Estimated demand below this many requests per second is dropped.
const NEGLIGIBLE_DEMAND_PER_S: f64 = 0.001;
/// Relative change of a share above which the new share is sent to the proxy.
const SHARE_UPDATE_THRESHOLD: f64 = 0.12;
/// Bounds on the time that one report is taken to cover, in seconds. Reports are sent once per second.
const MIN_REPORT_GAP_S: f64 = 0.2;
const MAX_REPORT_GAP_S: f64 = 2.0;
/// Upper bound on the time covered by the current entries of a report that also has entries for earlier
/// seconds.
const MAX_BACKLOG_GAP_S: f64 = 1.0;
/// Time that the first report of a proxy is taken to cover.
const FIRST_REPORT_GAP: Span = Span::from_millis(1_000);

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

/// The quota part of a proxy's heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport<'a> {
    /// Usage since the last report.
    pub usage: &'a [TenantUsage],
    /// Sequence number of the newest shares that the proxy received.
    pub received_shares: u64,
}

/// Allocation state of one proxy.
#[derive(Debug, Default)]
struct QuotaConsumer {
    zone: String,
    last_heartbeat_at: Time,
    /// Estimated demand by tenant, in requests per second.
    demand: HashMap<String, f64>,
    /// Largest share of each tenant's quota that the proxy may hold, from its reports, its acknowledgements
    /// and the shares sent since.
    held: HashMap<String, f64>,
    /// Largest share of each tenant that was sent and is not acknowledged yet.
    sent: HashMap<String, f64>,
    /// Sequence number of the newest shares that were sent.
    sent_number: u64,
    /// The proxy has reported the shares that it holds since this controller became the allocating one.
    has_reported_shares: bool,
    /// Number of usage reports since then.
    reports: u32,
}

impl QuotaConsumer {
    /// Returns `true` if the proxy may still spend its share, even if it is silent.
    fn may_spend_share(&self, now: Time) -> bool {
        now - self.last_heartbeat_at < SHARE_RETENTION
    }

    fn is_settled(&self) -> bool {
        self.has_reported_shares && self.reports >= MIN_SETTLED_REPORTS
    }

    fn demand_for(&self, tenant: &str) -> f64 {
        self.demand.get(tenant).copied().unwrap_or(0.0).max(MIN_DEMAND_PER_S)
    }

    /// Returns the largest share that the proxy may hold now. `even` is an even share of the quota, `least`
    /// the share that every proxy may hold.
    fn max_held(&self, now: Time, tenant: &str, even: f64, least: f64) -> f64 {
        if !self.may_spend_share(now) || !self.has_reported_shares {
            return even;
        }
        let held = self.held.get(tenant).copied().unwrap_or(even);
        held.max(self.sent.get(tenant).copied().unwrap_or(0.0)).max(least)
    }

    fn update_demand(&mut self, usage: &[TenantUsage], gap_s: f64) {
        self.reports += 1;
        // The first reports have equal weight.
        let weight = (DEMAND_WEIGHT * gap_s.min(1.0)).max(1.0 / f64::from(self.reports));
        for demand in self.demand.values_mut() {
            *demand *= 1.0 - weight;
        }
        for usage in usage.iter().filter(|usage| usage.age_ms == 0) {
            let demand = self.demand.entry(usage.tenant.clone()).or_default();
            let reported = f64::from(usage.admitted + usage.rejected) / gap_s;
            *demand += weight * reported;
            if reported > *demand + DEMAND_JUMP_DEVIATIONS * (*demand + 1.0).sqrt() {
                *demand = reported;
            }
        }
        self.demand.retain(|_, demand| *demand > NEGLIGIBLE_DEMAND_PER_S);
    }

    /// Records that shares are sent to the proxy. Returns their sequence number.
    fn on_shares_sent(&mut self, shares: &[QuotaShare]) -> u64 {
        self.sent_number += 1;
        for share in shares.iter().filter(|share| share.fraction.is_finite()) {
            // The proxy may hold any of the unacknowledged shares.
            let sent = self.sent.entry(share.tenant.clone()).or_default();
            *sent = sent.max(f64::from(share.fraction));
            if let Some(held) = self.held.get_mut(&share.tenant) {
                *held = held.max(f64::from(share.fraction)).max(*sent);
            }
        }
        self.sent_number
    }
}

/// Allocates the quotas of all tenants to all proxies.
#[derive(Debug)]
pub struct QuotaAllocator {
    tolerance: QuotaTolerance,
    consumers: HashMap<String, QuotaConsumer>,
    windows: HashMap<String, UsageWindow>,
}

impl QuotaAllocator {
    /// Creates an allocator without proxies.
    pub fn new(tolerance: QuotaTolerance) -> QuotaAllocator {
        QuotaAllocator { tolerance, consumers: HashMap::new(), windows: HashMap::new() }
    }

    /// Records that a heartbeat of a proxy was received. If `is_allocating` is false, another controller
    /// allocates the quotas: only the presence of the proxy is recorded, and its demand and unacknowledged
    /// shares are reset.
    pub fn on_proxy_seen(&mut self, now: Time, node: &str, zone: &str, is_allocating: bool) {
        let before = now.saturating_sub(FIRST_REPORT_GAP);
        let new = || QuotaConsumer { last_heartbeat_at: before, ..QuotaConsumer::default() };
        let consumer = self.consumers.entry(node.to_string()).or_insert_with(new);
        consumer.zone = zone.to_string();
        if !is_allocating {
            consumer.last_heartbeat_at = now;
            consumer.has_reported_shares = false;
            consumer.reports = 0;
            consumer.demand.clear();
            consumer.sent.clear();
        }
        self.expire_consumers(now);
    }

    /// Sets the shares that a proxy reports to hold, which another controller allocated.
    pub fn set_held_shares(&mut self, node: &str, held: &[(String, f32)]) {
        if let Some(consumer) = self.consumers.get_mut(node) {
            consumer.held = held.iter().map(|(tenant, share)| (tenant.clone(), f64::from(*share))).collect();
            consumer.sent.clear();
            consumer.has_reported_shares = true;
        }
    }

    /// Records the usage that a proxy reports. Returns the tenants that all proxies are to block at once.
    pub fn report_usage(
        &mut self,
        now: Time,
        node: &str,
        zone: &str,
        report: &UsageReport,
        tenants: &[Tenant],
    ) -> Vec<QuotaShare> {
        let consumer = self.consumers.entry(node.to_string()).or_default();
        let usage = report.usage;
        // After a lost connection, a proxy reports the usage of each second since then.
        let has_backlog = usage.iter().any(|usage| usage.age_ms > 0);
        let max_gap = if has_backlog { MAX_BACKLOG_GAP_S } else { MAX_REPORT_GAP_S };
        let gap_s = (now - consumer.last_heartbeat_at).secs().clamp(MIN_REPORT_GAP_S, max_gap);
        consumer.zone = zone.to_string();
        consumer.last_heartbeat_at = now;
        if report.received_shares >= consumer.sent_number {
            consumer.held.extend(consumer.sent.drain());
        }
        consumer.update_demand(usage, gap_s);
        self.expire_consumers(now);
        let proxies = self.consumers.len() as f64;
        let mut blocked = Vec::new();
        for usage in usage.iter().filter(|usage| usage.admitted > 0) {
            let window = self.windows.entry(usage.tenant.clone()).or_default();
            let at = now.saturating_sub(Span::from_millis(usage.age_ms.into()));
            window.add(at, f64::from(usage.admitted));
            if let Some(tenant) = tenants.iter().find(|t| t.name == usage.tenant && t.rate > 0.0)
                && window.block_if_exceeded(now, self.tolerance, proxies, tenant)
            {
                // NaN: the proxies keep their fractions.
                blocked.push(window.share(now, tenant, f32::NAN));
            }
        }
        blocked
    }

    fn expire_consumers(&mut self, now: Time) {
        self.consumers.retain(|_, consumer| now - consumer.last_heartbeat_at < PROXY_RETENTION);
    }

    /// Returns the number of known proxies in each zone, sorted by zone.
    pub fn proxy_counts(&self) -> Vec<(String, u32)> {
        let mut zones: Vec<(String, u32)> = Vec::new();
        for consumer in self.consumers.values() {
            match zones.iter_mut().find(|(zone, _)| *zone == consumer.zone) {
                Some((_, count)) => *count += 1,
                None => zones.push((consumer.zone.clone(), 1)),
            }
        }
        zones.sort();
        zones
    }

    /// Returns the changed shares of one proxy and their sequence number, or `None` if none have changed. A
    /// share grows only as far as the shares that the others may hold leave room, but each proxy always gets
    /// its minimum share.
    pub fn allocate(&mut self, now: Time, node: &str, tenants: &[Tenant]) -> Option<(u64, Vec<QuotaShare>)> {
        // Shares stay unchanged until all active proxies have reported their shares and their demand.
        let is_settled = self.consumers.values().all(|c| c.is_settled() || !c.may_spend_share(now));
        let own = self.consumers.get(node)?;
        let limited = tenants.iter().filter(|t| t.rate > 0.0);
        let changed = limited.filter_map(|tenant| self.changed_share(now, node, own, tenant, is_settled));
        let shares: Vec<QuotaShare> = changed.collect();
        if shares.is_empty() {
            return None;
        }
        let number = self.consumers.get_mut(node)?.on_shares_sent(&shares);
        Some((number, shares))
    }

    /// Returns one tenant's share for proxy `node`, whose state is `own`, if it has changed.
    fn changed_share(
        &self,
        now: Time,
        node: &str,
        own: &QuotaConsumer,
        tenant: &Tenant,
        is_settled: bool,
    ) -> Option<QuotaShare> {
        let last = own.sent.get(&tenant.name).or(own.held.get(&tenant.name)).copied();
        let fraction = is_settled.then(|| self.fair_fraction(now, node, own, &tenant.name));
        let is_changed =
            |new: &f64| last.is_none_or(|last| (new - last).abs() > SHARE_UPDATE_THRESHOLD * last);
        let changed = fraction.filter(is_changed);
        let window = self.windows.get(&tenant.name).filter(|window| window.is_throttled(now));
        if changed.is_none() && window.is_none() {
            return None;
        }
        let fraction = changed.unwrap_or(f64::NAN) as f32;
        Some(match window {
            Some(window) => window.share(now, tenant, fraction),
            None => QuotaShare { tenant: tenant.name.clone(), fraction, blocked_ms: 0, throttled_ms: 0 },
        })
    }

    /// Returns the fraction of a quota by the proxy's demand, limited by the shares that the others may
    /// hold.
    fn fair_fraction(&self, now: Time, node: &str, own: &QuotaConsumer, tenant: &str) -> f64 {
        let even = 1.0 / self.consumers.len().max(1) as f64;
        let least = EVEN_FRACTION * even;
        let counted = self.consumers.values().filter(|consumer| consumer.may_spend_share(now));
        let total: f64 = counted.map(|consumer| consumer.demand_for(tenant)).sum();
        let demand = own.demand_for(tenant);
        let wanted = least + (1.0 - EVEN_FRACTION) * (demand / total.max(demand));
        let others = self.consumers.iter().filter(|(other, _)| *other != node);
        let held_elsewhere: f64 =
            others.map(|(_, consumer)| consumer.max_held(now, tenant, even, least)).sum();
        wanted.min(1.0 - held_elsewhere).max(least)
    }

    /// Removes the usage windows of tenants that are no longer in the configuration.
    pub fn retain_tenants(&mut self, tenants: &[Tenant]) {
        self.windows.retain(|name, _| tenants.iter().any(|tenant| tenant.name == *name));
    }
}
