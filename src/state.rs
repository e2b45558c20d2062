//! State of a gatekeeper: per attempt, request, worker and tenant, and for the gatekeeper as a whole.

use std::collections::BTreeMap;

use crate::types::{
    AttemptNumber, CellId, Idempotency, Operation, OperationId, Plan, PlanId, RequestId, Span, TenantId,
    Time, WorkerId, WorkerInfo, WorkerPhase, ZoneId,
};

/// Kind of work, by operation and plan. Failure rates of workers are kept for each kind.
pub type WorkKind = (OperationId, PlanId);

/// A token bucket. Rate and depth are given with each refill.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    /// Number of tokens; negative if more were taken than available.
    pub level: f64,
    /// Time of the last refill.
    pub refilled_at: Time,
}

impl TokenBucket {
    /// Refills the bucket up to `now`, at `rate` tokens per second up to `depth`, and returns the level.
    pub fn refill(&mut self, now: Time, rate: f64, depth: f64) -> f64 {
        self.level = (self.level + rate * (now - self.refilled_at).secs()).min(depth);
        self.refilled_at = now;
        self.level
    }
}

/// An attempt in flight.
pub struct Attempt {
    /// Worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Send time.
    pub sent_at: Time,
    /// Kind of work.
    pub work: WorkKind,
    /// Size class of the request.
    pub size_class: usize,
    /// Typical latency of such requests at the send time, in seconds.
    pub expected_s: f64,
    /// Tenant of the request.
    pub tenant: TenantId,
}

/// Stage of an open request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestStage {
    /// Admitted, with no attempt in flight.
    #[default]
    Admitted,
    /// One attempt in flight.
    Sent,
    /// Two attempts in flight.
    Hedged,
    /// The response stream has started; the request can no longer be retried.
    Streaming,
    /// Final answer sent.
    Answered,
}

/// A request without a final answer.
#[derive(Default)]
pub struct OpenRequest {
    /// Current stage.
    pub stage: RequestStage,
    /// Requested operation.
    pub operation: OperationId,
    /// Plan of the tenant.
    pub plan: PlanId,
    /// Tenant whose quota was charged.
    pub tenant: TenantId,
    /// Units charged.
    pub units: f64,
    /// Arrival time; estimated if the request waited during a stall of the process.
    pub arrived_at: Time,
    /// Time after which the client no longer waits.
    pub deadline: Time,
    /// Workers tried, one per attempt, in order.
    pub tried: Vec<WorkerId>,
    /// Number of attempts that may have been processed.
    pub possibly_run: u32,
    /// Send time of the first attempt since `possibly_run` was last 0, and its worker's zone and cell at that
    /// time; `None` if `possibly_run` is 0.
    pub first_possible_run: Option<(Time, ZoneId, CellId)>,
}

impl OpenRequest {
    /// Moves the request to a stage. All stage changes go through here.
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

    /// Kind of work.
    pub fn work(&self) -> WorkKind {
        (self.operation, self.plan)
    }

    /// Records that one of the attempts was not processed.
    pub fn on_never_ran(&mut self) {
        self.possibly_run -= 1;
        if self.possibly_run == 0 {
            self.first_possible_run = None;
        }
    }
}

/// A listed worker.
#[derive(Default)]
pub struct Worker {
    /// Zone of the worker.
    pub zone: ZoneId,
    /// Cell of the worker.
    pub cell: CellId,
    /// `true` if the worker accepts no new requests.
    pub is_draining: bool,
    /// Capacity relative to other workers.
    pub weight: f64,
    /// Start time; `None` if the worker has warmed up.
    pub started_at: Option<Time>,
    /// Number of this gatekeeper's attempts in flight at the worker.
    pub in_flight: u32,
    /// Sum of the expected latencies of the attempts in flight, in seconds.
    pub load_s: f64,
    /// Latency relative to the typical latency of all workers.
    pub relative_latency: f64,
    /// Start of the current period without a reply of any kind.
    pub silent_since: Time,
    /// Failure rate of each kind of work, and the time of its last update.
    pub failure_rates: BTreeMap<WorkKind, (f64, Time)>,
    /// End of the ejection. Until then the worker only receives attempts if no healthy worker is eligible.
    pub ejected_until: Time,
    /// Time at which a connection was last left open; `None` before the first attempt has ended, and after
    /// one that closed its connection.
    pub connection_idle_since: Option<Time>,
    /// `true` if a health check is scheduled or in flight.
    pub is_being_checked: bool,
    /// Attempts that slow start still admits while the worker is warming up.
    pub slow_start: TokenBucket,
}

impl Worker {
    /// Applies an entry of the list of workers.
    pub fn update(&mut self, info: &WorkerInfo) {
        self.is_draining = info.phase == WorkerPhase::Draining;
        self.weight = info.weight();
        self.zone = info.zone;
        self.cell = info.cell;
    }

    /// Records an attempt sent to the worker, with an expected latency in seconds.
    pub fn on_sent(&mut self, now: Time, expected_s: f64) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        self.load_s += expected_s;
    }

    /// Failure rate of a kind of work, decayed since its last update.
    pub fn failure_rate(&self, work: WorkKind, now: Time, time_constant_s: f64) -> f64 {
        self.failure_rates
            .get(&work)
            .map_or(0.0, |(rate, at)| rate * (now - *at).decay_factor(time_constant_s))
    }

    /// Cost of the load in flight. Attempts count by expected latency, as large requests take longer.
    pub fn cost(&self) -> f64 {
        self.load_s * self.relative_latency / self.weight
    }

    /// Fraction of its full capacity that the worker has at `now`.
    pub fn warm_fraction(&self, now: Time, settings: &DerivedSettings) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let age = (now - started_at).secs() / settings.warm_up.secs().max(1e-3);
        (settings.initial_capacity + (1.0 - settings.initial_capacity) * age).min(1.0)
    }

    /// Returns `true` if slow start admits another attempt.
    pub fn has_slow_start_token(&self, now: Time, settings: &DerivedSettings) -> bool {
        self.warm_fraction(now, settings) >= 1.0 || self.slow_start.level >= 1.0
    }

    /// Records the end of an attempt.
    pub fn on_ended(&mut self, expected_s: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.load_s = if self.in_flight == 0 { 0.0 } else { (self.load_s - expected_s).max(0.0) };
    }
}

/// State of the shared counter for one tenant and window.
#[derive(Default)]
pub struct SharedCount {
    /// Number of the window.
    pub window: u64,
    /// Last total returned by the counter, plus amounts added since then whose total was unreadable.
    pub total: f64,
    /// Total held by the counter before it lost its state.
    pub lost: f64,
    /// Amount that failed calls did not add.
    pub not_added: f64,
    /// Amount sent in a call that is in flight.
    pub in_flight: Option<f64>,
    /// Time of the last call.
    pub called_at: Time,
}

/// A tenant with recent requests.
#[derive(Default)]
pub struct Tenant {
    /// Plan of the tenant.
    pub plan: PlanId,
    /// Number of gatekeepers that receive the tenant's requests, the largest value so far.
    pub spread: f64,
    /// Token bucket of the quota.
    pub tokens: TokenBucket,
    /// This gatekeeper's share of the hard rate limit.
    pub hard_limit: TokenBucket,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Arrival time of the last request.
    pub last_request_at: Time,
    /// Mean time between requests at this gatekeeper, in seconds.
    pub arrival_gap_s: f64,
    /// Units admitted here that are not yet reported to the counter.
    pub unreported: f64,
    /// `true` if a report is scheduled.
    pub is_report_due: bool,
    /// State of the shared counter.
    pub shared: SharedCount,
    /// Units per second admitted by the other gatekeepers, averaged over the totals.
    pub peer_rate: f64,
    /// Units admitted here that the last total does not include.
    pub admitted_since_total: f64,
    /// Units charged since the last total for the estimated usage at other gatekeepers.
    pub peer_estimate: f64,
    /// Time of the last total, or the start of the window or of this state if later.
    pub total_at: Time,
    /// End of the throttling that follows an exhausted window quota.
    pub throttled_until: Time,
}

impl Tenant {
    /// Charges the units of an admitted request.
    pub fn charge(&mut self, units: f64) {
        self.tokens.level -= units;
        self.hard_limit.level -= units;
        self.admitted_since_total += units;
        if self.is_report_due {
            self.unreported += units;
        }
    }

    /// Replaces the units charged to the quota for a request by its actual units.
    pub fn correct_charge(&mut self, charged: f64, actual: f64) {
        self.tokens.level -= actual - charged;
        self.unreported += actual - charged;
    }

    /// Enters a window that began `elapsed` ago. Units estimated for the time before it stay charged.
    pub fn enter_window(&mut self, now: Time, window: u64, elapsed: Span) {
        self.shared = SharedCount { window, ..SharedCount::default() };
        self.peer_estimate = self.peer_estimate.min(self.peer_rate * elapsed.secs());
        self.total_at = self.total_at.max(now.saturating_sub(elapsed));
        self.admitted_since_total = self.unreported;
    }

    /// Marks all unreported units as sent in a call at `now`, and returns their sum.
    pub fn begin_report(&mut self, now: Time) -> f64 {
        let amount = self.unreported + self.shared.not_added;
        self.unreported = 0.0;
        self.shared.not_added = 0.0;
        self.shared.in_flight = Some(amount);
        self.shared.called_at = now;
        amount
    }
}

/// State of the gatekeeper and of its workers as a whole.
#[derive(Default)]
pub struct GatekeeperState {
    /// Retries that the retry budget still allows.
    pub retry_budget: f64,
    /// Successful attempts per second, as a decaying average.
    pub success_rate: f64,
    /// Decaying peak of the success rate per unit of warm worker weight.
    pub peak_rate: f64,
    /// Time of the last update of the two rates.
    pub rates_updated_at: Time,
    /// Token bucket of the calls to the counter.
    pub counter_calls: TokenBucket,
    /// Calls to the counter per second that are allowed.
    pub call_rate: f64,
    /// Time of the last reduction of the call rate.
    pub call_cut_at: Time,
    /// Due time of the next periodic maintenance.
    pub tick_due: Time,
    /// Time at which the last stall of the process was detected.
    pub resumed_at: Time,
    /// Estimated duration of that stall.
    pub stall_duration: Span,
    /// Mean time from arrival to deadline for each operation, in seconds.
    pub client_timeout_s: Vec<f64>,
    /// Typical latency of each operation and size class, in seconds.
    pub typical_latency_s: Vec<Vec<f64>>,
    /// Moving average of the fraction of answered attempts that are late.
    pub late_fraction: f64,
    /// Adapted maximum number of attempts in flight; 0 until it is first adapted.
    pub concurrency_limit: f64,
    /// Time of the last reduction of the concurrency limit.
    pub limit_cut_at: Time,
    /// Mean number of attempts in flight.
    pub mean_in_flight: f64,
    /// Time of the last update of the mean.
    pub mean_updated_at: Time,
}

impl GatekeeperState {
    /// Updates the mean number of attempts in flight with the current number, and returns it.
    pub fn update_mean(&mut self, now: Time, in_flight: f64, time_constant_s: f64) -> f64 {
        self.mean_in_flight += (in_flight - self.mean_in_flight)
            * (1.0 - (now - self.mean_updated_at).decay_factor(time_constant_s));
        self.mean_updated_at = now;
        self.mean_in_flight
    }
}

/// Values derived from an operation's settings.
pub struct OperationLimits {
    /// Latency within which an answer is in time.
    pub objective: Span,
    /// `true` if an answer after the latency objective still has a value.
    pub is_late_useful: bool,
    /// Rule for repeating a request.
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

/// Values derived from a plan's settings.
pub struct PlanLimits {
    /// Quota in units per second; `None` if the plan has no quota.
    pub rate: Option<f64>,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of concurrent requests; 0 for no limit.
    pub max_open: u32,
    /// Hard rate limit in units per second; 0 for none.
    pub hard_limit_rate: f64,
    /// Capacity of the hard limit's token bucket, in units.
    pub hard_limit_burst: f64,
    /// Window over which all gatekeepers count usage together.
    pub window: Span,
    /// Units that all gatekeepers together may admit in a window.
    pub window_quota: f64,
    /// Time for which the counter keeps the count of a window.
    pub retention: Span,
}

impl PlanLimits {
    /// Derives the limits of a plan. Negative values count as zero.
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

/// Values derived from the settings at the start.
pub struct DerivedSettings {
    /// Number of gatekeepers.
    pub gatekeepers: f64,
    /// Time reserved before a request's deadline for returning the answer.
    pub deadline_margin: Span,
    /// Operations, indexed by `OperationId`.
    pub operations: Vec<OperationLimits>,
    /// Plans, indexed by `PlanId`.
    pub plans: Vec<PlanLimits>,
    /// `true` if the gatekeepers share a counter of usage.
    pub has_counter: bool,
    /// Time after which a reply of the counter is late.
    pub counter_timeout: Span,
    /// Time after which an idle connection to a worker is closed.
    pub idle_timeout: Span,
    /// `true` if workers answer health checks.
    pub has_health_checks: bool,
    /// `true` if attempts can be cancelled.
    pub can_cancel: bool,
    /// Longest `Retry-After` time; `None` if rejections carry none.
    pub max_retry_after: Option<Span>,
    /// `true` if a second attempt may be sent while the first is in flight.
    pub allows_hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Fraction of its capacity that a worker has at its start.
    pub initial_capacity: f64,
    /// Time after its start at which a worker has its full capacity.
    pub warm_up: Span,
    /// Multiple of its current capacity that a worker may be sent while it is warming up.
    pub slow_start_headroom: f64,
    /// Minimum rate at which slow start admits attempts at a worker, per second.
    pub min_slow_start_rate: f64,
    /// Delay before a failed subscription is repeated.
    pub resubscribe_after: Span,
}

impl DerivedSettings {
    /// Returns the limits of a configured operation.
    pub fn operation(&self, id: OperationId) -> &OperationLimits {
        &self.operations[usize::from(id.0)]
    }

    /// Returns the limits of a configured plan.
    pub fn plan(&self, id: PlanId) -> &PlanLimits {
        &self.plans[usize::from(id.0)]
    }
}

/// Key of an attempt.
pub type AttemptKey = (RequestId, AttemptNumber);
