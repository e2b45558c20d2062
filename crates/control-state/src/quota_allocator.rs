//! The quota allocator: decides which proxies get the quota tokens that the
//! [token ledger](crate::token_ledger) allows to grant. The leader runs it on the reports that each proxy sends
//! every second. Requests are admitted without waiting for it.
//!
//! It can't exceed a limit, whatever it decides: the ledger says how many tokens there are. It follows demand,
//! so that tokens are where requests arrive, and keeps a reserve for proxies that have none.
//!
//! A tenant whose usage comes close to its limit is blocked at all proxies until the usage has decreased. That
//! tells clients to come later instead of trying one proxy after the other; the limit does not rest on it.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_protocol::messages::{QuotaGrants, QuotaReport, QuotaShare, TenantUsage, TokenCounts};

use crate::proxy_membership::ProxyMembership;
use crate::quota_limits::QuotaTolerance;
use crate::sliding_count::SlidingCount;
use crate::token_ledger::{ProxyProcess, TokenLedger};

/// Weight of a new report that covers one second in the moving average of a proxy's demand.
const DEMAND_WEIGHT: f64 = 0.12;
/// A report this many standard deviations above the estimated demand replaces the estimate at once.
const DEMAND_JUMP_DEVIATIONS: f64 = 3.0;
/// Mean demand of all proxies, in requests per second, at which the estimate for one proxy has as much weight
/// as the mean.
const RELIABLE_DEMAND_PER_S: f64 = 0.25;
/// Estimated demand below this many requests per second is dropped.
const NEGLIGIBLE_DEMAND_PER_S: f64 = 0.01;
/// Shortest time between two updates of a proxy's demand, in seconds.
const MIN_DEMAND_GAP_S: f64 = 0.9;
/// Longest time that one update is taken to cover, in seconds.
const MAX_DEMAND_GAP_S: f64 = 2.0;
/// Time of its estimated demand for which a proxy gets tokens, in seconds. Reports are a second apart, and a
/// change of the leader interrupts them.
const COVERED_DEMAND_S: f64 = 3.0;
/// Tokens beyond that, in standard deviations of the demand.
const COVERED_DEVIATIONS: f64 = 2.0;
/// Fraction of the unspent tokens that is left for proxies with demand and without a token.
const RESERVE_FRACTION: f64 = 0.05;
/// Smallest number of parts into which the free tokens are divided for proxies with more demand than their
/// part.
const MIN_EXTRA_PARTS: u64 = 4;
/// A proxy that was silent for this long is removed.
const PROXY_RETENTION: Span = Span::from_millis(12_000);
/// A tenant is blocked if its usage reaches this fraction of its limit.
const BLOCK_FRACTION: f64 = 0.85;
/// A tenant is blocked until its usage, decreasing at the tenant's rate, reaches this fraction of its quota,
/// but for one window at most.
const UNBLOCK_FRACTION: f64 = 0.85;
/// Minimum time that a tenant is blocked for, in seconds.
const MIN_BLOCK_S: f64 = 0.5;

/// What a report is answered with.
#[derive(Debug, Default)]
pub struct QuotaDecision {
    /// Tokens for the reporting proxy.
    pub grants: QuotaGrants,
    /// Tenants that all proxies are to block.
    pub blocked: Vec<TenantBlock>,
}

/// A tenant that all proxies are to block.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantBlock {
    /// Name of the tenant.
    pub tenant: String,
    /// Reported usage in the last window.
    pub used: u64,
    /// Largest usage in a window that the quota and its tolerance allow.
    pub limit: u64,
    /// Time for which it is blocked.
    pub duration: Span,
}

impl From<&TenantBlock> for QuotaShare {
    fn from(block: &TenantBlock) -> QuotaShare {
        QuotaShare {
            tenant: block.tenant.clone(),
            // Proxies of earlier builds keep their fractions.
            fraction: f32::NAN,
            blocked_ms: (block.duration.nanos() / 1_000_000) as u32,
            throttled_ms: 0,
        }
    }
}

/// State of the leader that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct LeaderState<'a> {
    /// Term in which it leads.
    pub term: u64,
    /// Committed membership of the proxies.
    pub membership: &'a ProxyMembership,
    /// Tenants of the committed configuration.
    pub tenants: &'a [Tenant],
}

/// Presence and demand of one proxy.
#[derive(Debug, Default)]
struct QuotaConsumer {
    zone: String,
    last_heartbeat_at: Time,
    /// Estimated demand by tenant, in requests per second.
    demand: HashMap<String, f64>,
    /// Requests since the last update of the demand.
    requests: HashMap<String, u32>,
    demand_updated_at: Option<Time>,
    /// Number of updates of the demand for this leader.
    reports: u32,
}

impl QuotaConsumer {
    /// Counts the requests of a report, and updates the demand about once per second. Changes of it are added to
    /// `total`, the demand at all proxies.
    fn update_demand(&mut self, now: Time, counts: &[TokenCounts], total: &mut HashMap<String, f64>) {
        for counts in counts.iter().filter(|counts| counts.admitted + counts.rejected > 0) {
            *self.requests.entry(counts.tenant.clone()).or_default() += counts.admitted + counts.rejected;
        }
        let gap_s = self.demand_updated_at.map_or(1.0, |at| (now - at).secs());
        if gap_s < MIN_DEMAND_GAP_S {
            return;
        }
        let gap_s = gap_s.min(MAX_DEMAND_GAP_S);
        self.demand_updated_at = Some(now);
        self.reports += 1;
        // The first reports have equal weight.
        let weight = (DEMAND_WEIGHT * gap_s.min(1.0)).max(1.0 / f64::from(self.reports));
        let mut add = |tenant: &str, change: f64| match total.get_mut(tenant) {
            Some(total) => *total = (*total + change).max(0.0),
            None => drop(total.insert(tenant.to_string(), change.max(0.0))),
        };
        for (tenant, demand) in &mut self.demand {
            add(tenant, -weight * *demand);
            *demand *= 1.0 - weight;
        }
        for (tenant, count) in self.requests.drain() {
            let demand = self.demand.entry(tenant.clone()).or_default();
            let before = *demand;
            let reported = f64::from(count) / gap_s;
            *demand += weight * reported;
            if reported > *demand + DEMAND_JUMP_DEVIATIONS * (*demand + 1.0).sqrt() {
                *demand = reported;
            }
            add(&tenant, *demand - before);
        }
        self.demand.retain(|tenant, demand| {
            let is_kept = *demand > NEGLIGIBLE_DEMAND_PER_S;
            if !is_kept {
                add(tenant, -*demand);
            }
            is_kept
        });
    }
}

/// Need of a proxy for tokens of a tenant.
struct TokenNeed {
    /// The proxy has received requests of the tenant lately.
    has_demand: bool,
    /// Number of tokens that it needs until the next reports.
    tokens: u64,
    /// Its part, by demand, of the tokens that are not spent.
    part: u64,
}

/// Grants the quota tokens of all tenants.
#[derive(Debug)]
pub struct QuotaAllocator {
    tolerance: QuotaTolerance,
    ledger: TokenLedger,
    consumers: HashMap<String, QuotaConsumer>,
    /// Estimated demand of each tenant at all proxies, in requests per second.
    total_demand: HashMap<String, f64>,
    usage: HashMap<String, SlidingCount>,
    blocked_until: HashMap<String, Time>,
    term: u64,
}

impl QuotaAllocator {
    /// Creates an allocator without proxies.
    pub fn new(tolerance: QuotaTolerance) -> QuotaAllocator {
        QuotaAllocator {
            tolerance,
            ledger: TokenLedger::new(tolerance.counted_window()),
            consumers: HashMap::new(),
            total_demand: HashMap::new(),
            usage: HashMap::new(),
            blocked_until: HashMap::new(),
            term: 0,
        }
    }

    /// Records that a heartbeat of a proxy was received, whether this controller leads or not.
    pub fn on_proxy_seen(&mut self, now: Time, node: &str, zone: &str) {
        let consumer = self.consumers.entry(node.to_string()).or_default();
        consumer.zone = zone.to_string();
        consumer.last_heartbeat_at = now;
        let total_demand = &mut self.total_demand;
        self.consumers.retain(|_, consumer| {
            let is_kept = now - consumer.last_heartbeat_at < PROXY_RETENTION;
            for (tenant, demand) in consumer.demand.iter().filter(|_| !is_kept) {
                if let Some(total) = total_demand.get_mut(tenant) {
                    *total = (*total - demand).max(0.0);
                }
            }
            is_kept
        });
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

    /// Starts anew if this controller leads in a new term. Returns `true` if the tokens of earlier leaders are
    /// known.
    pub fn lead(&mut self, now: Time, leader: LeaderState) -> bool {
        if self.term != leader.term {
            self.term = leader.term;
            self.total_demand.clear();
            self.usage.clear();
            self.blocked_until.clear();
            for consumer in self.consumers.values_mut() {
                consumer.demand.clear();
                (consumer.demand_updated_at, consumer.reports) = (None, 0);
            }
        }
        self.ledger.lead(now, leader.term);
        self.ledger.knows_earlier_tokens(now, leader.membership)
    }

    /// Handles a report of a proxy to this leader; [`QuotaAllocator::lead`] was called before. Returns `None`
    /// if the report is for another leader.
    pub fn on_report(
        &mut self,
        now: Time,
        proxy: ProxyProcess,
        report: &QuotaReport,
        leader: LeaderState,
    ) -> Option<QuotaDecision> {
        if report.term != leader.term {
            return None;
        }
        let account = self.ledger.on_report(now, proxy, report);
        if let Some(consumer) = self.consumers.get_mut(proxy.node) {
            consumer.update_demand(now, &report.counts, &mut self.total_demand);
        }
        let is_known = self.ledger.knows_earlier_tokens(now, leader.membership);
        let mut tokens = Vec::new();
        if is_known && leader.membership.contains(proxy.node) {
            tokens = self.grant(now, proxy.node, leader);
        }
        // A snapshot comes on a new connection; grants on the one before may be lost.
        if report.account != Some(account) || report.spent.is_some() {
            tokens = self.ledger.granted_totals(proxy.node);
        }
        for counts in &report.counts {
            self.add_usage(now, &counts.tenant, counts.admitted);
        }
        let blocked = self.block_exceeded(now, report.counts.iter().map(|c| &c.tenant[..]), leader);
        let wait_ms = (self.ledger.expected_wait(now).nanos() / 1_000_000) as u32;
        let grants = QuotaGrants { term: leader.term, account: Some(account), tokens, wait_ms };
        Some(QuotaDecision { grants, blocked })
    }

    /// Records the usage that a proxy of an earlier build reports; it spends no tokens. Returns the tenants
    /// that all proxies are to block.
    pub fn on_usage_without_tokens(
        &mut self,
        now: Time,
        usage: &[TenantUsage],
        leader: LeaderState,
    ) -> Vec<TenantBlock> {
        for usage in usage {
            let at = now.saturating_sub(Span::from_millis(usage.age_ms.into()));
            self.ledger.add_spent(at, &usage.tenant, usage.admitted.into());
            self.add_usage(at, &usage.tenant, usage.admitted);
        }
        self.block_exceeded(now, usage.iter().map(|u| &u.tenant[..]), leader)
    }

    /// Returns the granted part of a tenant's limit. During a membership change it leaves room for the
    /// standing parts before and after it.
    fn granted_part(&self, tenant: &Tenant, membership: &ProxyMembership) -> u64 {
        let (before, after) = membership.quota_counts();
        let part = |members| self.tolerance.granted_part(tenant, members);
        part(before).min(part(after))
    }

    /// Grants tokens of all tenants to a proxy.
    fn grant(&mut self, now: Time, node: &str, leader: LeaderState) -> Vec<TokenCounts> {
        let mut granted = Vec::new();
        for tenant in leader.tenants.iter().filter(|tenant| tenant.rate > 0.0) {
            let granted_part = self.granted_part(tenant, leader.membership);
            let available = self.ledger.available(now, &tenant.name, granted_part);
            if available == 0 {
                continue;
            }
            let unspent = granted_part.saturating_sub(self.ledger.spent(now, &tenant.name));
            let need = self.need(node, &tenant.name, unspent);
            let held = self.ledger.held(node, &tenant.name);
            let usable = (unspent as f64 * (1.0 - RESERVE_FRACTION)) as u64;
            let free = usable.saturating_sub(self.ledger.outstanding(&tenant.name));
            let needs_first = need.has_demand && held == 0;
            // Only if there is enough for the others as well.
            let extra = free / (self.consumers.len() as u64).max(MIN_EXTRA_PARTS);
            let missing = need.tokens.saturating_sub(held);
            let part = need.part.saturating_sub(held).max(extra);
            let count = missing.min(part).min(free).max(u64::from(needs_first)).min(available);
            if count > 0 {
                granted.extend(self.ledger.grant(node, &tenant.name, count));
            }
        }
        granted
    }

    /// Returns the need of a proxy for a tenant's tokens, of which `unspent` may be held by all proxies.
    fn need(&self, node: &str, tenant: &str, unspent: u64) -> TokenNeed {
        let own = self.consumers.get(node).and_then(|c| c.demand.get(tenant)).copied();
        let demand = own.unwrap_or(0.0);
        let total = self.total_demand.get(tenant).copied().unwrap_or(0.0).max(demand);
        // Few requests say little about the demand of one proxy; then the mean has more weight.
        let mean = total / self.consumers.len().max(1) as f64;
        let mean_weight = RELIABLE_DEMAND_PER_S / (RELIABLE_DEMAND_PER_S + mean);
        let likely = mean_weight * mean + (1.0 - mean_weight) * demand;
        let covered = demand.max(likely) * COVERED_DEMAND_S;
        let tokens = covered + COVERED_DEVIATIONS * covered.sqrt();
        let part = if total > 0.0 { unspent as f64 * likely / total } else { 0.0 };
        TokenNeed {
            has_demand: own.is_some(),
            tokens: (tokens.ceil() as u64).max(1),
            part: (part as u64).max(1),
        }
    }

    fn add_usage(&mut self, at: Time, tenant: &str, admitted: u32) {
        if admitted > 0 {
            self.usage.entry(tenant.to_string()).or_default().add(at, admitted.into());
        }
    }

    /// Returns the blocks of those tenants whose usage is close to the limit and that are not blocked yet.
    fn block_exceeded<'a>(
        &mut self,
        now: Time,
        names: impl Iterator<Item = &'a str>,
        leader: LeaderState,
    ) -> Vec<TenantBlock> {
        let mut blocked = Vec::new();
        for name in names {
            let Some(tenant) = leader.tenants.iter().find(|t| t.name == name && t.rate > 0.0) else {
                continue;
            };
            if self.blocked_until.get(name).is_some_and(|until| now < *until) {
                continue;
            }
            let (window, limit) = (self.tolerance.window, self.tolerance.limit(tenant));
            let used = self.usage.get_mut(name).map_or(0, |usage| usage.sum(now, window));
            if (used as f64) < limit * BLOCK_FRACTION {
                continue;
            }
            let excess_s = (used as f64 - self.tolerance.quota(tenant) * UNBLOCK_FRACTION) / tenant.rate;
            let duration = Span::from_secs(excess_s.clamp(MIN_BLOCK_S, window.secs()));
            self.blocked_until.insert(name.to_string(), now + duration);
            blocked.push(TenantBlock { tenant: name.to_string(), used, limit: limit as u64, duration });
        }
        blocked
    }

    /// Removes what is kept for tenants that are no longer in the configuration.
    pub fn retain_tenants(&mut self, now: Time, tenants: &[Tenant]) {
        let is_configured = |name: &str| tenants.iter().any(|tenant| tenant.name == *name);
        self.ledger.retain_tenants(now, is_configured);
        self.usage.retain(|name, _| is_configured(name));
        self.blocked_until.retain(|name, _| is_configured(name));
        self.total_demand.retain(|name, _| is_configured(name));
    }
}
