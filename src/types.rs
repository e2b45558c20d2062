//! Ids, time, and what the decisions are told: requests, workers, outcomes, settings.

use std::ops::{Add, Sub};

/// A point in time of the instance's own clock, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A length of time, in nanoseconds. Arithmetic saturates: there is no negative one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    /// The point `n` nanoseconds after the clock's zero.
    pub const fn from_nanos(n: u64) -> Self {
        Time(n)
    }

    /// Nanoseconds since the clock's zero.
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// The number of complete periods of this length before this point.
    pub fn periods(self, length: Span) -> u64 {
        self.0 / length.0.max(1)
    }

    /// The point that lies `span` earlier, or the clock's zero.
    pub fn saturating_sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);

    /// A span of `n` nanoseconds.
    pub const fn from_nanos(n: u64) -> Self {
        Span(n)
    }

    /// A span of `n` milliseconds.
    pub const fn from_millis(n: u64) -> Self {
        Span(n * 1_000_000)
    }

    /// A span of `s` seconds; zero where `s` is not a positive number.
    pub fn from_secs(s: f64) -> Self {
        Span((s.max(0.0) * 1e9) as u64)
    }

    /// Its length in nanoseconds.
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// Its length in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// The factor by which a value has decayed after this span, with a time constant of `over` seconds.
    pub fn decay_factor(self, time_constant_s: f64) -> f64 {
        (-self.secs() / time_constant_s).exp()
    }

    /// The span multiplied by a factor; zero where the factor is negative.
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    /// Zero where the other point is later.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A request of a client; unique among those that are open.
    RequestId(u32);
    /// A worker. Opaque: four bytes of address and a port, as one number.
    WorkerId(u64);
    /// A tenant, whose quota a request is charged to.
    TenantId(u64);
    /// An operation, by its position in the settings.
    OperationId(u8);
    /// A plan, by its position in the settings.
    PlanId(u16);
    /// A zone, by its position in the settings.
    ZoneId(u16);
    /// A kind of worker, by its position in the settings.
    KindId(u16);
    /// A cell: a group of workers within a zone.
    CellId(u16);
    /// Which attempt of a request, from 0.
    AttemptNumber(u8);
    /// The key of a count at the shared counter: one tenant in one window.
    CounterKey(u64);
    /// What a timer gives back when it is due: a `TimerEvent` as a number.
    TimerTag(u64);
}

/// What a timer is set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// It is time to check on an attempt that is in flight.
    AttemptCheck(RequestId, AttemptNumber),
    /// A tenant's usage is to be reported.
    UsageReport(TenantId),
    /// A worker's health is to be checked.
    HealthCheck(WorkerId),
    /// The list of workers is to be subscribed to.
    Subscribe,
    /// The periodic upkeep.
    Tick,
}

impl TimerEvent {
    /// The event as the number that the timer gives back.
    pub fn tag(self) -> TimerTag {
        let (kind, value) = match self {
            TimerEvent::AttemptCheck(request, attempt) => {
                (1, u64::from(request.0) << 8 | u64::from(attempt.0))
            }
            TimerEvent::UsageReport(tenant) => (2, tenant.0),
            TimerEvent::HealthCheck(worker) => (3, worker.0),
            TimerEvent::Subscribe => (4, 0),
            TimerEvent::Tick => (5, 0),
        };
        TimerTag(kind << 56 | value)
    }

    /// The event that a tag stands for; None for a number that is no tag.
    pub fn from_tag(tag: TimerTag) -> Option<Self> {
        let value = tag.0 & ((1 << 56) - 1);
        match tag.0 >> 56 {
            1 => Some(TimerEvent::AttemptCheck(RequestId((value >> 8) as u32), AttemptNumber(value as u8))),
            2 => Some(TimerEvent::UsageReport(TenantId(value))),
            3 => Some(TimerEvent::HealthCheck(WorkerId(value))),
            4 => Some(TimerEvent::Subscribe),
            5 => Some(TimerEvent::Tick),
            _ => None,
        }
    }
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with success.
    Succeeded,
    /// It was answered with an error.
    Errored,
    /// The other side rejected it unprocessed, for want of capacity.
    Full,
    /// No answer came in time.
    TimedOut,
    /// No connection came up, or the last byte of the request was never sent.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    Reset,
    /// It was cancelled from this side.
    Cancelled,
    /// It was never made, as its request was answered before.
    Superseded,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Superseded)
    }
}

/// The state of a worker, as the list of workers has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerPhase {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer there.
    Removed,
}

/// What a list of workers replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the workers that it names.
    Delta,
    /// Everything: workers that it does not name are gone.
    Full,
    /// Everything, by a copy that may be old.
    Cached,
}

/// An entry of the list of workers.
#[derive(Clone, Copy, Debug)]
pub struct WorkerInfo {
    /// Which worker.
    pub worker: WorkerId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub phase: WorkerPhase,
    /// Its capacity in relation to others; not a positive number where that is not known.
    pub weight: f32,
    /// When it started; None where that is long ago.
    pub started_at: Option<Time>,
}

impl WorkerInfo {
    /// Its capacity in relation to others; 1 where that is not known.
    pub fn weight(&self) -> f64 {
        if self.weight.is_finite() && self.weight > 0.0 { f64::from(self.weight) } else { 1.0 }
    }
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// When its client gives up.
    pub deadline: Time,
    /// Whose quota it is charged to.
    pub tenant: TenantId,
    /// What it asks for.
    pub operation: OperationId,
    /// The tenant's plan.
    pub plan: PlanId,
    /// How many gatekeepers may get this tenant's requests; below 1 where that is not known.
    pub spread: f32,
    /// The units of the quota that it takes; negative or not a number where that is not known.
    pub units: f32,
}

impl Request {
    /// The units of the quota that it takes; 1 where that is not known.
    pub fn units(&self) -> f64 {
        if self.units.is_finite() && self.units >= 0.0 { f64::from(self.units) } else { 1.0 }
    }

    /// At how many of the gatekeepers the tenant's requests arrive; at all where that is not known.
    pub fn spread_among(&self, gatekeepers: f64) -> f64 {
        let is_known = self.spread.is_finite() && self.spread >= 1.0;
        if is_known { f64::from(self.spread).min(gatekeepers) } else { gatekeepers }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// The request.
    pub request_id: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNumber,
    /// The worker that it went to.
    pub worker: WorkerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub duration: Span,
    /// Nothing more is owed for the request.
    pub is_final: bool,
    /// The tenant's use of its rate in a past period by all gatekeepers, as a fraction.
    pub quota_used: Option<f32>,
    /// The units that it took, in place of the estimate that was charged.
    pub actual_units: Option<f32>,
    /// The worker's load report, as `Settings::load_fields` orders it.
    pub load: &'a [f32],
}

/// Where repeats of one request are recognized and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Everywhere.
    All,
    /// Within a zone.
    Zone,
    /// Within a cell.
    Cell,
}

/// Whether a request that may have run may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Repeats are dropped within the scope, for a window from the first attempt that may have run.
    Deduplicated(DedupScope, Span),
    /// Never.
    NonIdempotent,
}

/// What the settings say of an operation.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The latency that an answer should stay below.
    pub latency_objective: Span,
    /// The longest time that a client waits.
    pub integration_timeout: Span,
    /// What an answer after the objective is worth, as a fraction of one in time.
    pub late_value: f32,
    /// What an answer in time is worth.
    pub billed_value: f32,
    /// Whether it may run again.
    pub idempotency: Idempotency,
}

/// What the settings say of a plan.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The quota, in units a second; 0 for none.
    pub rate: f64,
    /// Units that may come on top of the rate at once.
    pub burst: f64,
    /// How many requests may be open at once; 0 for no limit.
    pub max_open: u32,
    /// What the plan costs its tenants.
    pub price: f64,
    /// What use beyond the quota costs.
    pub overage_cost: f64,
    /// What use beyond the quota earns.
    pub overage_revenue: f64,
    /// The hard rate limit, in units a second, that is never exceeded; 0 for none.
    pub hard_limit_rate: f64,
    /// The burst of the hard limit, in units.
    pub hard_limit_burst: f64,
}

/// A value of a worker's load report; others are of no use here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests that it works on.
    Inflight,
    /// Requests that wait there.
    Queue,
    /// Its mean latency, in milliseconds.
    LatencyMs,
    /// Anything else.
    Other,
}

/// What a gatekeeper is configured with.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This gatekeeper's number.
    pub gatekeeper_number: u32,
    /// How many gatekeepers there are.
    pub gatekeepers: u32,
    /// This gatekeeper's zone.
    pub zone: ZoneId,
    /// Events closer together than this count as simultaneous.
    pub time_resolution: Span,
    /// The operations, by their ids.
    pub operations: Vec<Operation>,
    /// The plans, by their ids.
    pub plans: Vec<Plan>,
    /// There is a shared counter.
    pub has_counter: bool,
    /// How long an answer of the counter may take.
    pub counter_timeout: Span,
    /// The period that use is billed by.
    pub metering_period: Span,
    /// The list of workers comes only after a subscription.
    pub must_subscribe: bool,
    /// How soon after the start the subscription has to be made.
    pub subscribe_within: Span,
    /// How long an idle connection to a worker stays open.
    pub idle_timeout: Span,
    /// Workers answer health checks.
    pub has_health_checks: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Rejections tell when to come back.
    pub sends_retry_after: bool,
    /// The longest time that a rejection may tell.
    pub max_retry_after: Span,
    /// A second attempt may be made while the first is in flight (hedged requests).
    pub allows_hedging: bool,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The fraction of its capacity that a worker has right after its start.
    pub initial_capacity: f64,
    /// How long after its start a worker has all of its capacity.
    pub warm_up: Span,
    /// How long a worker takes to recover from being overloaded while it is cold.
    pub overload_recovery: Span,
    /// The multiple of its capacity that overloads a cold worker.
    pub overload_multiple: f64,
    /// The values of a worker's load report, in their order.
    pub load_fields: Vec<LoadField>,
}
