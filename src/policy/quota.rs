//! Quotas: token buckets, reports to the shared counter, estimates of the others' use, throttles, hard limits.

use super::*;

/// The weight of a new gap between requests of a tenant.
const GAP_WEIGHT: f64 = 0.3;
/// Where the last total is old, the next report comes after this fraction of an interval.
const EARLY_REPORT_PART: f64 = 0.2;
/// A window is several report intervals long, as in the paper; the counter keeps a count for no more than a minute.
pub(super) const MIN_WINDOW_INTERVALS: f64 = 20.0;
pub(super) const MAX_RETENTION: Span = Span::from_millis(60_000);
/// How long the others' use is estimated without a new total, for each of them up to so many.
const ESTIMATE_VALIDITY: Span = Span::from_millis(3000);
const MAX_ESTIMATE_PEERS: f64 = 10.0;
/// The most others that are taken to admit as much as this one: a tenant is met more often by those that get much of it.
const MAX_SIMILAR_PEERS: f64 = 60.0;
/// The growth of the call rate in a second with answers; what a failure leaves of it; the least time between two cuts.
const CALL_RATE_STEP: f64 = 1.0;
const CALL_RATE_CUT: f64 = 0.7;
const CALL_CUT_INTERVAL: Span = Span::from_millis(300);
/// The weight of a new total in the rate of the others' use.
const USE_WEIGHT: f64 = 0.3;
/// Calls to the counter in a second, at least and at most.
const MIN_CALL_RATE: f64 = 0.3;
const MAX_CALL_RATE: f64 = 200.0;
/// The bits of a counter key that hold the tenant; the window is above them.
const TENANT_BITS: u32 = 34;
const TENANT_MASK: u64 = (1 << TENANT_BITS) - 1;
/// The fraction of its even share of a hard limit that a gatekeeper uses.
const HARD_LIMIT_PART: f64 = 0.999;

impl Gatekeeper {
    /// Whether the tenant's quota and limits let a request pass; the error is the time after which it may come back.
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
        // Hard limits hold without agreement: each gatekeeper spends its even share only.
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

    /// Brings a tenant's buckets up to now; creates them for one that is new.
    pub(super) fn refresh_tenant(&mut self, now: Time, request: &Request) {
        let plan = self.settings.plan(request.plan);
        let spread = request.spread_among(self.settings.gatekeepers);
        let tenant = self.tenants.entry(request.tenant).or_insert_with(|| Tenant {
            // The bucket is full at first; what the others take of it is estimated until a total tells.
            tokens: TokenBucket { level: plan.burst, refilled_at: now },
            // That of the hard limit is empty, so that a restart never fills it.
            hard_limit: TokenBucket { level: 0.0, refilled_at: now },
            total_at: now,
            ..Tenant::default()
        });
        // Nothing is known of the gap between its requests with the first of them.
        if tenant.seen_at != Time::default() {
            let gap_s = (now - tenant.seen_at).secs();
            let weight = if tenant.arrival_gap_s > 0.0 { GAP_WEIGHT } else { 1.0 };
            tenant.arrival_gap_s += weight * (gap_s - tenant.arrival_gap_s);
        }
        tenant.plan = request.plan;
        tenant.spread = tenant.spread.max(spread);
        tenant.seen_at = now;
        refill_tenant(tenant, plan, now);
    }

    /// A tenant's use is reported one interval after there is something to report.
    pub(super) fn schedule_report(&mut self, now: Time, id: TenantId, port: &mut impl Port) {
        let tenant = self.tenants.get_mut(&id).expect("refreshed with its request");
        let has_rate = self.settings.plan(tenant.plan).rate.is_some();
        if !self.settings.has_counter || !has_rate || tenant.spread <= 1.0 || tenant.is_report_due {
            return;
        }
        tenant.is_report_due = true;
        // What is known of the others is old, or nothing: then the total is asked for soon.
        let is_total_old = now - tenant.total_at > REPORT_INTERVAL.times(2.0);
        let is_early = is_total_old || tenant.shared.called_at == Time::default();
        let after = if is_early { REPORT_INTERVAL.times(EARLY_REPORT_PART) } else { REPORT_INTERVAL };
        port.set_timer(after, TimerEvent::UsageReport(id).tag());
    }

    /// Adds what a tenant used to its shared count, and asks for the total by that.
    pub(super) fn report_use(&mut self, now: Time, id: TenantId, port: &mut impl Port) {
        let Some(tenant) = self.tenants.get_mut(&id) else { return };
        let plan = self.settings.plan(tenant.plan);
        tenant.is_report_due = false;
        let amount = tenant.unreported + tenant.shared.unadded;
        // Where calls are scarce, one that only reads is left out; one that adds waits for another interval.
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

    /// A call to the counter has ended. `total`: what the count holds now; not a number where that can't be read.
    pub fn on_counter_reply(&mut self, now: Time, key: CounterKey, outcome: Outcome, total: f32) {
        let id = TenantId(key.0 & TENANT_MASK);
        let Some(tenant) = self.tenants.get_mut(&id) else { return };
        if key != counter_key(id, tenant.shared.window) {
            return;
        }
        let Some(amount) = tenant.shared.in_flight.take() else { return };
        // Calls that fail or come late mean that all gatekeepers together ask too much of the counter.
        let is_late = now - tenant.shared.called_at > self.settings.counter_timeout;
        let state = &mut self.state;
        if outcome == Outcome::Succeeded && !is_late {
            state.call_rate = (state.call_rate + CALL_RATE_STEP / state.call_rate).min(MAX_CALL_RATE);
        } else if now - state.call_cut_at > CALL_CUT_INTERVAL {
            state.call_cut_at = now;
            state.call_rate = (state.call_rate * CALL_RATE_CUT).max(MIN_CALL_RATE);
        }
        let plan = self.settings.plan(tenant.plan);
        match outcome {
            Outcome::Succeeded if total.is_finite() => {
                refill_tenant(tenant, plan, now);
                apply_total(tenant, plan, now, f64::from(total), amount);
            }
            // Added, but the total can't be read: the next one is known to hold this.
            Outcome::Succeeded => tenant.shared.total += amount,
            // Not added: goes with this window's next report. Later windows leave out what piled up meanwhile.
            Outcome::Full | Outcome::ConnectFailed => tenant.shared.unadded += amount,
            // Perhaps added: then it comes back as the others' use.
            _ => {}
        }
    }

    /// Keeps memory bounded: tenants that have long been idle with a full bucket are dropped.
    pub(super) fn expire_tenants(&mut self, now: Time) {
        let settings = &self.settings;
        self.tenants.retain(|_, tenant| {
            let plan = settings.plan(tenant.plan);
            refill_tenant(tenant, plan, now);
            let is_full = plan.rate.is_none() || tenant.tokens.level >= plan.burst;
            let is_reported = tenant.unreported == 0.0 && !tenant.is_report_due;
            let is_idle = tenant.in_flight == 0 && now - tenant.seen_at > TENANT_RETENTION;
            !(is_full && is_reported && is_idle)
        });
    }
}

/// The key of a tenant's count for a window of the clock.
fn counter_key(id: TenantId, window: u64) -> CounterKey {
    CounterKey(window << TENANT_BITS | id.0 & TENANT_MASK)
}

/// Refills the bucket at the plan's rate, less what the others are estimated to take of it.
fn refill_tenant(tenant: &mut Tenant, plan: &PlanLimits, now: Time) {
    let part = HARD_LIMIT_PART / tenant.spread;
    tenant.hard_limit.refill(now, plan.hard_limit_rate * part, plan.hard_limit_burst * part);
    let Some(rate) = plan.rate else { return };
    tenant.tokens.refill(now, rate, plan.burst);
    charge_estimated_use(tenant, now);
}

/// Between totals the others are charged by the larger of two estimates: that they go on as they did, and that each admits
/// as much as this one, as in a sudden flood. What finds no tokens stays owed until a total corrects it: without that a
/// heavy tenant is taken for a quiet one too soon.
pub(super) fn charge_estimated_use(tenant: &mut Tenant, now: Time) {
    let peers = tenant.spread - 1.0;
    let validity = ESTIMATE_VALIDITY.times(peers.min(MAX_ESTIMATE_PEERS));
    let elapsed_s = (now - tenant.total_at).min(validity).secs();
    let estimate = (tenant.others_rate * elapsed_s).max(peers.min(MAX_SIMILAR_PEERS) * tenant.own_since);
    let more = (estimate - tenant.estimated).clamp(0.0, tenant.tokens.level.max(0.0));
    tenant.estimated += more;
    tenant.tokens.level -= more;
}

/// A total came back: the others' part of it is charged here too, in place of what was estimated.
fn apply_total(tenant: &mut Tenant, plan: &PlanLimits, now: Time, total: f64, amount: f64) {
    let shared = &mut tenant.shared;
    if total + 0.001 < shared.total {
        // The counter came back empty: what it held is kept, and the count goes on from here.
        shared.lost += shared.total;
        shared.total = 0.0;
    }
    let others = (total - shared.total - amount).max(0.0);
    shared.total = total;
    let elapsed_s = (now - tenant.total_at).secs().max(0.1);
    tenant.others_rate += USE_WEIGHT * (others / elapsed_s - tenant.others_rate);
    tenant.own_since = tenant.unreported;
    // What the others admitted beyond the bucket is owed as far as it would fill up again before the tenant comes back
    // here: one that is seldom met would otherwise find a full bucket each time, at each of hundreds.
    let owed = (plan.rate.unwrap_or(0.0) * tenant.arrival_gap_s).min(plan.burst);
    tenant.tokens.level = (tenant.tokens.level + tenant.estimated - others).clamp(-owed, plan.burst);
    tenant.estimated = 0.0;
    tenant.total_at = now;
    if shared.total + shared.lost > plan.window_quota {
        tenant.throttled_until = Time::from_nanos((shared.window + 1) * plan.window.nanos());
    }
}
