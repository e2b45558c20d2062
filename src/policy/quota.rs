//! Quotas: token buckets, reports to the shared counter, estimates of peer usage, hard limits.

use super::*;

/// Weight of a new sample in the mean gap between a tenant's requests.
const GAP_WEIGHT: f64 = 0.3;
/// Delay of a report if there is no recent total, as a fraction of the report interval.
const EARLY_REPORT_FRACTION: f64 = 0.2;
/// Shortest window, in report intervals, and the longest time that the counter keeps a count.
pub(super) const MIN_WINDOW_INTERVALS: f64 = 20.0;
pub(super) const MAX_RETENTION: Span = Span::from_millis(60_000);
/// Time for which peer usage is estimated without a new total, per peer up to the maximum number.
const ESTIMATE_VALIDITY: Span = Span::from_millis(3000);
const MAX_ESTIMATE_PEERS: f64 = 10.0;
/// Maximum number of peers that are assumed to admit as much as this gatekeeper. A tenant is met more often
/// by gatekeepers that get much of its load.
const MAX_SIMILAR_PEERS: f64 = 60.0;
/// Growth of the call rate per second of successful calls, factor of a cut, and least time between two cuts.
const CALL_RATE_INCREASE: f64 = 1.0;
const CALL_RATE_DECREASE_FACTOR: f64 = 0.7;
const MIN_CALL_RATE_CUT_INTERVAL: Span = Span::from_millis(300);
/// Weight of a new total in the rate of peer usage.
const PEER_RATE_WEIGHT: f64 = 0.3;
/// Limits of the rate of counter calls, per second.
const MIN_CALL_RATE: f64 = 0.3;
const MAX_CALL_RATE: f64 = 200.0;
/// Number of low bits of a counter key that hold the tenant; the window is above them.
const TENANT_BITS: u32 = 34;
const TENANT_MASK: u64 = (1 << TENANT_BITS) - 1;
/// Fraction of its even share of a hard limit that a gatekeeper uses.
const HARD_LIMIT_FRACTION: f64 = 0.999;

impl Gatekeeper {
    /// Checks the tenant's quota and limits. The error is the time after which the client may retry.
    pub(super) fn check_quota(&self, now: Time, request: &Request, units: f64) -> Result<(), Span> {
        let tenant = &self.tenants[&request.tenant];
        let plan = self.settings.plan(request.plan);
        if now < tenant.throttled_until {
            return Err(REPORT_INTERVAL);
        }
        if let Some(rate) = plan.rate
            && tenant.tokens.level < units
        {
            return Err(Span::from_secs((units - tenant.tokens.level) / rate));
        }
        // Hard limits hold without coordination: each gatekeeper spends only its even share.
        if plan.hard_limit_rate > 0.0 && tenant.hard_limit.level < units {
            let missing = (units - tenant.hard_limit.level) * tenant.spread;
            return Err(Span::from_secs(missing / plan.hard_limit_rate));
        }
        let max_open = (f64::from(plan.max_open) / tenant.spread).ceil();
        if plan.max_open > 0 && f64::from(tenant.in_flight) >= max_open {
            return Err(REPORT_INTERVAL);
        }
        Ok(())
    }

    /// Refills a tenant's buckets up to `now`; creates them for a new tenant.
    pub(super) fn refresh_tenant(&mut self, now: Time, request: &Request) {
        let plan = self.settings.plan(request.plan);
        let spread = request.spread_among(self.settings.gatekeepers);
        let tenant = self.tenants.entry(request.tenant).or_insert_with(|| Tenant {
            // The quota starts full; usage at the peers is estimated until the first total.
            tokens: TokenBucket { level: plan.burst, refilled_at: now },
            // The hard limit starts empty, so that a restart does not refill it.
            hard_limit: TokenBucket { level: 0.0, refilled_at: now },
            total_at: now,
            ..Tenant::default()
        });
        // The first request has no preceding gap.
        if tenant.last_request_at != Time::default() {
            let gap_s = (now - tenant.last_request_at).secs();
            let weight = if tenant.arrival_gap_s > 0.0 { GAP_WEIGHT } else { 1.0 };
            tenant.arrival_gap_s += weight * (gap_s - tenant.arrival_gap_s);
        }
        tenant.plan = request.plan;
        tenant.spread = tenant.spread.max(spread);
        tenant.last_request_at = now;
        refill_tenant(tenant, plan, now);
    }

    /// Schedules a report of a tenant's usage, unless one is scheduled or none is needed.
    pub(super) fn schedule_report(&mut self, now: Time, id: TenantId, port: &mut impl Port) {
        let tenant = self.tenants.get_mut(&id).expect("tenant is refreshed on its request");
        let has_rate = self.settings.plan(tenant.plan).rate.is_some();
        if !self.settings.has_counter || !has_rate || tenant.spread <= 1.0 || tenant.is_report_due {
            return;
        }
        tenant.is_report_due = true;
        // Without a recent total, the report is sent early.
        let is_total_old = now - tenant.total_at > REPORT_INTERVAL.times(2.0);
        let is_early = is_total_old || tenant.shared.called_at == Time::default();
        let after = if is_early { REPORT_INTERVAL.times(EARLY_REPORT_FRACTION) } else { REPORT_INTERVAL };
        port.set_timer(after, TimerEvent::UsageReport(id).tag());
    }

    /// Adds a tenant's unreported usage to its shared count. The reply returns the total.
    pub(super) fn report_usage(&mut self, now: Time, id: TenantId, port: &mut impl Port) {
        let Some(tenant) = self.tenants.get_mut(&id) else { return };
        let plan = self.settings.plan(tenant.plan);
        tenant.is_report_due = false;
        let amount = tenant.unreported + tenant.shared.not_added;
        // If calls are scarce, reports without usage are skipped and the rest are rescheduled.
        let rate = self.state.call_rate;
        let is_scarce = self.state.counter_calls.refill(now, rate, rate.max(1.0)) < 1.0;
        if is_scarce && amount == 0.0 {
            return;
        }
        if tenant.shared.in_flight.is_some() || is_scarce {
            return self.schedule_report(now, id, port);
        }
        self.state.counter_calls.level -= 1.0;
        refill_tenant(tenant, plan, now);
        let window = now.periods(plan.window);
        if tenant.shared.window != window {
            let elapsed = now - Time::from_nanos(window * plan.window.nanos());
            tenant.enter_window(now, window, elapsed);
        }
        let amount = tenant.begin_report(now);
        port.add_to_counter(counter_key(id, window), plan.retention, amount as f32);
    }

    /// Handles the reply to a counter call. `total` is the current count, not finite if it can't be read.
    pub fn on_counter_reply(&mut self, now: Time, key: CounterKey, outcome: Outcome, total: f32) {
        let id = TenantId(key.0 & TENANT_MASK);
        let Some(tenant) = self.tenants.get_mut(&id) else { return };
        if key != counter_key(id, tenant.shared.window) {
            return;
        }
        let Some(amount) = tenant.shared.in_flight.take() else { return };
        // Failed or late calls are a sign that all gatekeepers together overload the counter.
        let is_late = now - tenant.shared.called_at > self.settings.counter_timeout;
        let state = &mut self.state;
        if outcome == Outcome::Succeeded && !is_late {
            state.call_rate = (state.call_rate + CALL_RATE_INCREASE / state.call_rate).min(MAX_CALL_RATE);
        } else if now - state.call_cut_at > MIN_CALL_RATE_CUT_INTERVAL {
            state.call_cut_at = now;
            state.call_rate = (state.call_rate * CALL_RATE_DECREASE_FACTOR).max(MIN_CALL_RATE);
        }
        let plan = self.settings.plan(tenant.plan);
        match outcome {
            Outcome::Succeeded if total.is_finite() => {
                refill_tenant(tenant, plan, now);
                apply_total(tenant, plan, now, f64::from(total), amount);
            }
            // Added, but the total can't be read: the next total includes this amount.
            Outcome::Succeeded => tenant.shared.total += amount,
            // Not added: the next report in this window includes the amount; a new window drops it.
            Outcome::Full | Outcome::ConnectFailed => tenant.shared.not_added += amount,
            // Possibly added: a later total then shows the amount as peer usage.
            _ => {}
        }
    }

    /// Drops idle tenants with a full bucket, to bound memory.
    pub(super) fn expire_tenants(&mut self, now: Time) {
        let settings = &self.settings;
        self.tenants.retain(|_, tenant| {
            let plan = settings.plan(tenant.plan);
            refill_tenant(tenant, plan, now);
            let is_full = plan.rate.is_none() || tenant.tokens.level >= plan.burst;
            let is_reported = tenant.unreported == 0.0 && !tenant.is_report_due;
            let is_idle = tenant.in_flight == 0 && now - tenant.last_request_at > TENANT_RETENTION;
            !(is_full && is_reported && is_idle)
        });
    }
}

fn counter_key(id: TenantId, window: u64) -> CounterKey {
    CounterKey(window << TENANT_BITS | id.0 & TENANT_MASK)
}

/// Refills the buckets of a tenant and charges the estimated peer usage.
fn refill_tenant(tenant: &mut Tenant, plan: &PlanLimits, now: Time) {
    let share = HARD_LIMIT_FRACTION / tenant.spread;
    tenant.hard_limit.refill(now, plan.hard_limit_rate * share, plan.hard_limit_burst * share);
    let Some(rate) = plan.rate else { return };
    tenant.tokens.refill(now, rate, plan.burst);
    charge_peer_estimate(tenant, now);
}

/// Charges the peers' usage since the last total, by the larger of two estimates: their past rate continues,
/// or each of them admits as much as this gatekeeper. What exceeds the tokens is charged as they refill;
/// otherwise a heavy tenant would be taken for a quiet one too soon.
pub(super) fn charge_peer_estimate(tenant: &mut Tenant, now: Time) {
    let peers = tenant.spread - 1.0;
    let validity = ESTIMATE_VALIDITY.times(peers.min(MAX_ESTIMATE_PEERS));
    let elapsed_s = (now - tenant.total_at).min(validity).secs();
    let estimate =
        (tenant.peer_rate * elapsed_s).max(peers.min(MAX_SIMILAR_PEERS) * tenant.admitted_since_total);
    let additional = (estimate - tenant.peer_estimate).clamp(0.0, tenant.tokens.level.max(0.0));
    tenant.peer_estimate += additional;
    tenant.tokens.level -= additional;
}

/// Charges the peers' part of a new total in place of the estimate, and throttles the tenant if the total
/// exceeds the window's quota.
fn apply_total(tenant: &mut Tenant, plan: &PlanLimits, now: Time, total: f64, amount: f64) {
    let shared = &mut tenant.shared;
    if total + 0.001 < shared.total {
        // The counter lost its state: keep the previous total and count from zero.
        shared.lost += shared.total;
        shared.total = 0.0;
    }
    let peer_usage = (total - shared.total - amount).max(0.0);
    shared.total = total;
    let elapsed_s = (now - tenant.total_at).secs().max(0.1);
    tenant.peer_rate += PEER_RATE_WEIGHT * (peer_usage / elapsed_s - tenant.peer_rate);
    tenant.admitted_since_total = tenant.unreported;
    // Usage beyond the bucket stays owed, up to the refill expected before the tenant's next request here.
    // Otherwise a tenant with rare requests would find a full bucket at each of many gatekeepers.
    let owed = (plan.rate.unwrap_or(0.0) * tenant.arrival_gap_s).min(plan.burst);
    tenant.tokens.level = (tenant.tokens.level + tenant.peer_estimate - peer_usage).clamp(-owed, plan.burst);
    tenant.peer_estimate = 0.0;
    tenant.total_at = now;
    if shared.total + shared.lost > plan.window_quota {
        tenant.throttled_until = Time::from_nanos((shared.window + 1) * plan.window.nanos());
    }
}
