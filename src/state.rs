//! What a gatekeeper remembers, grouped by how long it lives.

use std::collections::BTreeMap;

use crate::types::{
    AttemptNumber, CellId, Idempotency, Operation, OperationId, Plan, PlanId, RequestId, Span, TenantId,
    Time, WorkerId, WorkerInfo, WorkerPhase, ZoneId,
};

/// Requests of one operation and plan: what is learnt of a worker is learnt for each of these.
pub type WorkKind = (OperationId, PlanId);

/// A token bucket. Rate and depth are given with each refill.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    /// The tokens that it holds; negative where more was taken than there was.
    pub level: f64,
    /// When it was last refilled.
    pub refilled_at: Time,
}

impl TokenBucket {
    /// Refills it up to now, at `rate` tokens a second and up to `depth`; returns its level.
    pub fn refill(&mut self, now: Time, rate: f64, depth: f64) -> f64 {
        self.level = (self.level + rate * (now - self.refilled_at).secs()).min(depth);
        self.refilled_at = now;
        self.level
    }
}

/// An attempt that is in flight.
pub struct Attempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent_at: Time,
    /// The kind of work.
    pub work: WorkKind,
    /// The size class of its request.
    pub size: usize,
    /// The typical latency of such a request when it was sent, in seconds.
    pub expected_s: f64,
    /// Whose request it is.
    pub tenant: TenantId,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestStage {
    /// Admitted, and no attempt is in flight.
    #[default]
    Admitted,
    /// One attempt is in flight.
    Sent,
    /// Two are in flight.
    Hedged,
    /// Its answer has started; it belongs to the client.
    Streaming,
    /// Its final answer is given.
    Answered,
}

/// A request that is open.
#[derive(Default)]
pub struct OpenRequest {
    /// How far it has come.
    pub stage: RequestStage,
    /// What it asks for.
    pub operation: OperationId,
    /// Its tenant's plan.
    pub plan: PlanId,
    /// Whose quota it was charged to.
    pub tenant: TenantId,
    /// The units that it was charged.
    pub units: f64,
    /// When it arrived.
    pub arrived_at: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// The workers tried, one for each attempt, in their order.
    pub tried: Vec<WorkerId>,
    /// How many attempts are not proved never to have run.
    pub possibly_run: u32,
    /// Where and when the first attempt that may have run was sent, by the worker's zone and cell then.
    pub first_possible_run: Option<(Time, ZoneId, CellId)>,
}

impl OpenRequest {
    /// Enters a stage. Every change of stage is made here.
    pub fn enter(&mut self, to: RequestStage) {
        let is_legal = match self.stage {
            RequestStage::Admitted => matches!(to, RequestStage::Sent | RequestStage::Answered),
            RequestStage::Sent => to != RequestStage::Sent,
            RequestStage::Hedged => {
                matches!(to, RequestStage::Sent | RequestStage::Streaming | RequestStage::Answered)
            }
            RequestStage::Streaming => to == RequestStage::Answered,
            RequestStage::Answered => false,
        };
        debug_assert!(is_legal, "{:?} to {to:?}", self.stage);
        self.stage = to;
    }

    /// Its kind of work.
    pub fn work(&self) -> WorkKind {
        (self.operation, self.plan)
    }

    /// One of its attempts is proved never to have run.
    pub fn on_never_ran(&mut self) {
        self.possibly_run -= 1;
        if self.possibly_run == 0 {
            self.first_possible_run = None;
        }
    }
}

/// A worker, for as long as it is listed.
#[derive(Default)]
pub struct Worker {
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// It takes nothing new.
    pub is_draining: bool,
    /// Its capacity in relation to others.
    pub weight: f64,
    /// When it started; None where that is long ago.
    pub started_at: Option<Time>,
    /// Attempts of this gatekeeper that are in flight there.
    pub in_flight: u32,
    /// The same by their expected latencies, in seconds.
    pub load_s: f64,
    /// Its latency in relation to what is typical for all workers.
    pub relative_latency: f64,
    /// Since when attempts are in flight without an answer of any kind.
    pub silent_since: Time,
    /// The fraction that failed of each kind of work, and when that was last updated.
    pub failure_rates: BTreeMap<WorkKind, (f64, Time)>,
    /// Until then it is ejected: nothing is sent to it where another worker can do it.
    pub ejected_until: Time,
    /// When a connection to it was last left open.
    pub connected_at: Option<Time>,
    /// A health check is to be made or in flight.
    pub is_being_checked: bool,
    /// What may still be sent to it while it is cold.
    pub slow_start: TokenBucket,
}

impl Worker {
    /// Takes over what the list says of it.
    pub fn update(&mut self, info: &WorkerInfo) {
        self.is_draining = info.phase == WorkerPhase::Draining;
        self.weight = info.weight();
        self.zone = info.zone;
        self.cell = info.cell;
    }

    /// An attempt was sent to it, whose latency is expected to be `expected_s` seconds.
    pub fn on_sent(&mut self, now: Time, expected_s: f64) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.load_s += expected_s;
    }

    /// The fraction of a kind of work that failed lately. It decays over `over` seconds where nothing more is heard.
    pub fn failure_rate(&self, work: WorkKind, now: Time, over: f64) -> f64 {
        self.failure_rates.get(&work).map_or(0.0, |(rate, at)| rate * (now - *at).decay_factor(over))
    }

    /// The cost of one more attempt. What is in flight counts by its expected latency: a large request is as much as many
    /// small ones.
    pub fn cost(&self) -> f64 {
        self.load_s * self.relative_latency / self.weight
    }

    /// The fraction of its capacity that it is sure to have by now.
    pub fn warm_fraction(&self, now: Time, settings: &DerivedSettings) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = (now - started_at).secs() / settings.warm_up.secs().max(1e-3);
        (settings.initial_capacity + (1.0 - settings.initial_capacity) * age).min(1.0)
    }

    /// Whether slow start lets it have another attempt.
    pub fn has_slow_start_token(&self, now: Time, settings: &DerivedSettings) -> bool {
        self.warm_fraction(now, settings) >= 1.0 || self.slow_start.level >= 1.0
    }

    /// An attempt has ended.
    pub fn on_ended(&mut self, expected_s: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.load_s = if self.in_flight == 0 { 0.0 } else { (self.load_s - expected_s).max(0.0) };
    }
}

/// What the shared counter is known to hold for one tenant and window.
#[derive(Default)]
pub struct SharedCount {
    /// The number of the window.
    pub window: u64,
    /// The last total that came back.
    pub total: f64,
    /// What a counter that came back empty had held before.
    pub lost: f64,
    /// What is known not to have been added.
    pub unadded: f64,
    /// What was sent in a call that has no answer yet.
    pub in_flight: Option<f64>,
    /// When that was sent.
    pub called_at: Time,
}

/// A tenant, until its bucket is full and idle.
#[derive(Default)]
pub struct Tenant {
    /// Its plan.
    pub plan: PlanId,
    /// At how many gatekeepers its requests arrive.
    pub spread: f64,
    /// Its quota.
    pub tokens: TokenBucket,
    /// This gatekeeper's share of its hard rate limit.
    pub hard_limit: TokenBucket,
    /// Attempts that are in flight for it.
    pub in_flight: u32,
    /// When its last request came.
    pub seen_at: Time,
    /// The mean time between its requests here, in seconds.
    pub arrival_gap_s: f64,
    /// Units admitted here and not yet reported.
    pub unreported: f64,
    /// A report is due.
    pub is_report_due: bool,
    /// What is known of the shared count.
    pub shared: SharedCount,
    /// Units that the other gatekeepers admit in a second, by the totals.
    pub others_rate: f64,
    /// Units admitted here since the last total.
    pub own_since: f64,
    /// Units charged for the other gatekeepers by estimate since then.
    pub estimated: f64,
    /// When the last total came.
    pub total_at: Time,
    /// Until then everything is throttled: the window's quota is used up.
    pub throttled_until: Time,
}

impl Tenant {
    /// Charges the units of a request that was admitted.
    pub fn charge(&mut self, units: f64) {
        self.tokens.level -= units;
        self.hard_limit.level -= units;
        self.own_since += units;
        if self.is_report_due {
            self.unreported += units;
        }
    }

    /// Replaces what was charged for a request by the units that it took.
    pub fn correct_charge(&mut self, charged: f64, actual: f64) {
        self.tokens.level -= actual - charged;
        self.unreported += actual - charged;
    }

    /// A window has begun `elapsed` ago. What was estimated for the time before it stays charged.
    pub fn enter_window(&mut self, now: Time, window: u64, elapsed: Span) {
        self.shared = SharedCount { window, ..SharedCount::default() };
        self.estimated = self.estimated.min(self.others_rate * elapsed.secs());
        self.total_at = self.total_at.max(now.saturating_sub(elapsed));
        self.own_since = self.unreported;
    }

    /// All that was not reported goes to the counter in a call now; how much that is.
    pub fn begin_report(&mut self, now: Time) -> f64 {
        let amount = self.unreported + self.shared.unadded;
        self.unreported = 0.0;
        self.shared.unadded = 0.0;
        self.shared.in_flight = Some(amount);
        self.shared.called_at = now;
        amount
    }
}

/// What a gatekeeper remembers of itself and of the workers together.
#[derive(Default)]
pub struct GatekeeperState {
    /// Retries that may still be made.
    pub retry_budget: f64,
    /// Attempts that succeed in a second, lately.
    pub success_rate: f64,
    /// The highest of it lately, for a unit of weight of the workers.
    pub peak_rate: f64,
    /// When the two were updated.
    pub rate_at: Time,
    /// Calls to the counter that may be made now.
    pub counter_calls: TokenBucket,
    /// Calls to the counter that may be made in a second.
    pub call_rate: f64,
    /// When that was last cut.
    pub call_cut_at: Time,
    /// When the next periodic upkeep is due.
    pub tick_due: Time,
    /// When it was last found that the process had stalled.
    pub resumed_at: Time,
    /// How long it had stalled then.
    pub stalled: Span,
    /// How long the clients of each operation wait for one attempt, in seconds.
    pub client_timeout_s: Vec<f64>,
    /// The typical latency of each operation and size class, in seconds.
    pub typical_latency_s: Vec<Vec<f64>>,
    /// The fraction of the attempts that ended lately which took too much of the latency objective.
    pub late_fraction: f64,
    /// How many attempts may be in flight.
    pub concurrency_limit: f64,
    /// When that was last cut.
    pub limit_cut_at: Time,
    /// How many attempts were in flight lately, on average.
    pub mean_in_flight: f64,
    /// When that was updated.
    pub mean_at: Time,
}

impl GatekeeperState {
    /// Updates the mean number of attempts in flight, by how many there are now.
    pub fn update_mean(&mut self, now: Time, in_flight: f64, over: f64) -> f64 {
        self.mean_in_flight +=
            (in_flight - self.mean_in_flight) * (1.0 - (now - self.mean_at).decay_factor(over));
        self.mean_at = now;
        self.mean_in_flight
    }
}

/// What the decisions derive from an operation's settings.
pub struct OperationLimits {
    /// The latency that an answer should stay below.
    pub objective: Span,
    /// An answer after the latency objective is still worth something.
    pub is_late_useful: bool,
    /// Whether it may run again.
    pub idempotency: Idempotency,
}

impl From<&Operation> for OperationLimits {
    fn from(operation: &Operation) -> Self {
        OperationLimits {
            objective: operation.latency_objective,
            is_late_useful: operation.late_value > 0.0,
            idempotency: operation.idempotency,
        }
    }
}

/// What the decisions derive from a plan's settings.
pub struct PlanLimits {
    /// Units a second; None where the plan has no quota.
    pub rate: Option<f64>,
    /// Units that may come on top of the rate at once.
    pub burst: f64,
    /// How many requests may be open at once; 0 for no limit.
    pub max_open: u32,
    /// The hard rate limit, in units a second; 0 for none.
    pub hard_limit_rate: f64,
    /// Its burst, in units.
    pub hard_limit_burst: f64,
    /// The window that use is counted in by all gatekeepers together.
    pub window: Span,
    /// The units that all may admit in a window.
    pub window_quota: f64,
    /// How long the counter keeps a window's count.
    pub retention: Span,
}

impl PlanLimits {
    /// A plan whose use is counted in windows of this length; values below zero count as zero.
    pub fn new(plan: &Plan, window: Span, retention: Span) -> Self {
        let (rate, burst) = (plan.rate.max(0.0), plan.burst.max(0.0));
        PlanLimits {
            rate: Some(rate).filter(|r| *r > 0.0),
            burst,
            max_open: plan.max_open,
            hard_limit_rate: plan.hard_limit_rate.max(0.0),
            hard_limit_burst: plan.hard_limit_burst.max(0.0),
            window,
            window_quota: burst + rate * window.secs(),
            retention,
        }
    }
}

/// What the decisions derive from the settings, once, at the start.
pub struct DerivedSettings {
    /// How many gatekeepers there are.
    pub gatekeepers: f64,
    /// An answer is on its way to the client for no longer than this.
    pub margin: Span,
    /// The operations, by their ids.
    pub operations: Vec<OperationLimits>,
    /// The plans, by their ids.
    pub plans: Vec<PlanLimits>,
    /// There is a shared counter.
    pub has_counter: bool,
    /// An answer of the counter after this time is late.
    pub counter_timeout: Span,
    /// How long an idle connection to a worker stays open.
    pub idle_timeout: Span,
    /// Workers answer health checks.
    pub has_health_checks: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// The longest time that a rejection may tell; None where it tells none.
    pub max_retry_after: Option<Span>,
    /// A second attempt may be made while the first is in flight.
    pub allows_hedging: bool,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// The fraction of its capacity that a worker has right after its start.
    pub initial_capacity: f64,
    /// How long after its start a worker has all of its capacity.
    pub warm_up: Span,
    /// The multiple of what a cold worker is sure to do that it may be sent.
    pub slow_start_headroom: f64,
    /// Attempts in a second that a cold worker may get in any case.
    pub min_slow_start_rate: f64,
    /// How soon a failed subscription is repeated.
    pub resubscribe_after: Span,
}

impl DerivedSettings {
    /// An operation that is known to be configured.
    pub fn operation(&self, id: OperationId) -> &OperationLimits {
        &self.operations[usize::from(id.0)]
    }

    /// A plan that is known to be configured.
    pub fn plan(&self, id: PlanId) -> &PlanLimits {
        &self.plans[usize::from(id.0)]
    }
}

/// The key of an attempt.
pub type AttemptKey = (RequestId, AttemptNumber);
