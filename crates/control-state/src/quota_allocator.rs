//! The quota allocator: how a tenant's quota is split over the proxies, by the usage that each of them reports, and the
//! total of what all admitted. Held by the leader, from the heartbeats that all proxies send each second. No request waits
//! for it.
//!
//! Two things keep the sum within the quota. The shares that are held anywhere never come to more than one. And where
//! shares are so small that token buckets hold more than their share (`quota_limits::MIN_BUCKET_DEPTH`), the total of a sliding
//! window, with what is not reported yet estimated from the newest reports, blocks a tenant everywhere before it exceeds
//! what is granted.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_protocol::messages::{QuotaShare, TenantUsage};

use crate::usage_window::UsageWindow;

/// The fraction of a quota that is split evenly among the proxies that are heard.
const EVEN_PART: f64 = 0.4;
/// The weight of a new report in the estimated demand of a proxy.
const DEMAND_WEIGHT: f64 = 0.12;
/// A report this many standard deviations above the demand is not explained by chance and replaces it at once.
const DEMAND_DEVIATIONS: f64 = 3.0;
/// How long a silent proxy is assumed to keep its share; longer than it goes on spending it.
const SHARE_RETENTION: Span = Span::from_millis(3_300);
/// After that it is assumed to hold an even share, until it has been silent for this long and is forgotten.
const PROXY_RETENTION: Span = Span::from_millis(12_000);
/// How many reports it takes to know the demand of a proxy.
const SETTLED_REPORTS: u32 = 3;
/// The least demand, in requests a second: a proxy that has none may get some at any time.
const MIN_DEMAND: f64 = 0.3;
/// Demand below this is forgotten.
const NEGLIGIBLE_DEMAND: f64 = 0.001;
/// A share is sent again where it changed by more than this fraction.
const SHARE_TOLERANCE: f64 = 0.12;
/// Reports come a second apart; a shorter or longer time between two of them counts as one of these, in seconds.
const MIN_REPORT_GAP_S: f64 = 0.2;
const MAX_REPORT_GAP_S: f64 = 2.0;
/// The time that a report covers that also holds the usage of earlier seconds, in seconds.
const MAX_BACKLOG_GAP_S: f64 = 1.0;
/// The time that the first report of a proxy is taken to cover.
const FIRST_REPORT_GAP: Span = Span::from_millis(1_000);

/// What the operators grant.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// The sliding window in which usage is counted.
    pub window: Span,
    /// Requests beyond the quota in a window.
    pub slack: f64,
    /// The fraction by which the quota may be exceeded on top of that.
    pub overshoot: f64,
}

/// What a proxy reports in a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport<'a> {
    /// Its usage since the last report.
    pub usage: &'a [TenantUsage],
    /// The number of the newest shares that it received.
    pub received_shares: u64,
}

/// One proxy.
#[derive(Debug, Default)]
struct QuotaConsumer {
    zone: String,
    heard_at: Time,
    /// Its estimated demand for each tenant, in requests a second.
    demand: HashMap<String, f64>,
    /// The share of each tenant's quota that it holds, as far as it has said so.
    held: HashMap<String, f64>,
    /// What was sent to it since, and by which number.
    sent: HashMap<String, f64>,
    sent_number: u64,
    /// It has said which shares it holds, since this allocator is the one that allocates.
    has_reported_shares: bool,
    /// How often it has reported usage, since then.
    reports: u32,
}

impl QuotaConsumer {
    /// Whether it keeps its share, although it may be silent.
    fn keeps_share(&self, now: Time) -> bool {
        now - self.heard_at < SHARE_RETENTION
    }

    fn is_settled(&self) -> bool {
        self.has_reported_shares && self.reports >= SETTLED_REPORTS
    }

    fn demand_for(&self, tenant: &str) -> f64 {
        self.demand.get(tenant).copied().unwrap_or(0.0).max(MIN_DEMAND)
    }

    /// The largest share that it may hold now. `even`: an even share of the whole, `least`: what each may hold.
    fn max_held(&self, now: Time, tenant: &str, even: f64, least: f64) -> f64 {
        if !self.keeps_share(now) || !self.has_reported_shares {
            return even;
        }
        let held = self.held.get(tenant).copied().unwrap_or(even);
        held.max(self.sent.get(tenant).copied().unwrap_or(0.0)).max(least)
    }

    fn update_demand(&mut self, usage: &[TenantUsage], gap_s: f64) {
        self.reports += 1;
        // The first reports are all that is known of it.
        let weight = (DEMAND_WEIGHT * gap_s.min(1.0)).max(1.0 / f64::from(self.reports));
        for demand in self.demand.values_mut() {
            *demand *= 1.0 - weight;
        }
        for usage in usage.iter().filter(|usage| usage.age_ms == 0) {
            let demand = self.demand.entry(usage.tenant.clone()).or_default();
            let seen = f64::from(usage.admitted + usage.rejected) / gap_s;
            *demand += weight * seen;
            if seen > *demand + DEMAND_DEVIATIONS * (*demand + 1.0).sqrt() {
                *demand = seen;
            }
        }
        self.demand.retain(|_, demand| *demand > NEGLIGIBLE_DEMAND);
    }

    /// Shares go to it under the next number, which is returned.
    fn on_shares_sent(&mut self, shares: &[QuotaShare]) -> u64 {
        self.sent_number += 1;
        for share in shares.iter().filter(|share| share.fraction.is_finite()) {
            // What was sent before and is not acknowledged may be held as well.
            let sent = self.sent.entry(share.tenant.clone()).or_default();
            *sent = sent.max(f64::from(share.fraction));
            if let Some(held) = self.held.get_mut(&share.tenant) {
                *held = held.max(f64::from(share.fraction)).max(*sent);
            }
        }
        self.sent_number
    }
}

/// The quotas of all tenants over all proxies.
#[derive(Debug)]
pub struct QuotaAllocator {
    grant: QuotaTolerance,
    consumers: HashMap<String, QuotaConsumer>,
    windows: HashMap<String, UsageWindow>,
}

impl QuotaAllocator {
    /// An allocator that knows no proxy yet.
    pub fn new(grant: QuotaTolerance) -> QuotaAllocator {
        QuotaAllocator { grant, consumers: HashMap::new(), windows: HashMap::new() }
    }

    /// A proxy was heard; `is_allocating`: this allocator is the one that allocates. One that does not only knows who is
    /// there.
    pub fn on_proxy_seen(&mut self, now: Time, node: &str, zone: &str, is_allocating: bool) {
        let before = now.saturating_sub(FIRST_REPORT_GAP);
        let new = || QuotaConsumer { heard_at: before, ..QuotaConsumer::default() };
        let consumer = self.consumers.entry(node.to_string()).or_insert_with(new);
        consumer.zone = zone.to_string();
        if !is_allocating {
            consumer.heard_at = now;
            consumer.has_reported_shares = false;
            consumer.reports = 0;
            consumer.demand.clear();
            consumer.sent.clear();
        }
        self.expire_consumers(now);
    }

    /// A proxy says which shares it holds: those that another allocator gave.
    pub fn set_held_shares(&mut self, node: &str, held: &[(String, f32)]) {
        if let Some(consumer) = self.consumers.get_mut(node) {
            consumer.held = held.iter().map(|(tenant, part)| (tenant.clone(), f64::from(*part))).collect();
            consumer.sent.clear();
            consumer.has_reported_shares = true;
        }
    }

    /// A proxy reports its usage. Returns the tenants that are to be blocked everywhere at once.
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
        // A proxy that was out of reach reports what it counted in each second since.
        let has_backlog = usage.iter().any(|usage| usage.age_ms > 0);
        let max_gap = if has_backlog { MAX_BACKLOG_GAP_S } else { MAX_REPORT_GAP_S };
        let gap_s = (now - consumer.heard_at).secs().clamp(MIN_REPORT_GAP_S, max_gap);
        consumer.zone = zone.to_string();
        consumer.heard_at = now;
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
                && window.blocks(now, self.grant, proxies, tenant)
            {
                // The fraction stays as it is.
                blocked.push(window.share(now, tenant, f32::NAN));
            }
        }
        blocked
    }

    fn expire_consumers(&mut self, now: Time) {
        self.consumers.retain(|_, consumer| now - consumer.heard_at < PROXY_RETENTION);
    }

    /// How many proxies there are in each zone.
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

    /// The shares of one proxy that have changed for it, and the number that acknowledges them. All that is held anywhere never
    /// comes to more than the quota: a proxy that needs more gets it once another holds less.
    pub fn allocate(&mut self, now: Time, node: &str, tenants: &[Tenant]) -> Option<(u64, Vec<QuotaShare>)> {
        // An allocator that has just begun does not know yet what the others hold and need: it leaves things as they are.
        let is_settled = self.consumers.values().all(|c| c.is_settled() || !c.keeps_share(now));
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

    /// One tenant's share for one proxy, whose state is `own`, if it has changed for it.
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
        let is_changed = |new: &f64| last.is_none_or(|last| (new - last).abs() > SHARE_TOLERANCE * last);
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

    /// The fraction of a quota that a proxy's demand asks for, as far as the others leave room.
    fn fair_fraction(&self, now: Time, node: &str, own: &QuotaConsumer, tenant: &str) -> f64 {
        let even = 1.0 / self.consumers.len().max(1) as f64;
        let least = EVEN_PART * even;
        let counted = self.consumers.values().filter(|consumer| consumer.keeps_share(now));
        let total: f64 = counted.map(|consumer| consumer.demand_for(tenant)).sum();
        let demand = own.demand_for(tenant);
        let wanted = least + (1.0 - EVEN_PART) * (demand / total.max(demand));
        let others = self.consumers.iter().filter(|(other, _)| *other != node);
        let held_elsewhere: f64 =
            others.map(|(_, consumer)| consumer.max_held(now, tenant, even, least)).sum();
        wanted.min(1.0 - held_elsewhere).max(least)
    }

    /// Forgets tenants that the configuration does not hold any more.
    pub fn retain_tenants(&mut self, tenants: &[Tenant]) {
        self.windows.retain(|name, _| tenants.iter().any(|tenant| tenant.name == *name));
    }
}
