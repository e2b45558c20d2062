//! Identifiers, time, and the inputs of the decision module: requests, workers, outcomes and settings.

use std::ops::{Add, Sub};

/// A point in time, in nanoseconds since the clock's zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A non-negative length of time, in nanoseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Time {
    /// Returns the point `n` nanoseconds after the clock's zero.
    pub const fn from_nanos(n: u64) -> Self {
        Time(n)
    }

    /// Nanoseconds since the clock's zero.
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// Number of complete periods of `length` between the clock's zero and this point.
    pub fn periods(self, length: Span) -> u64 {
        self.0 / length.0.max(1)
    }

    /// Returns the point `span` earlier, but no earlier than the clock's zero.
    pub fn saturating_sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// Zero length.
    pub const ZERO: Span = Span(0);

    /// Creates a span of `n` nanoseconds.
    pub const fn from_nanos(n: u64) -> Self {
        Span(n)
    }

    /// Creates a span of `n` milliseconds.
    pub const fn from_millis(n: u64) -> Self {
        Span(n * 1_000_000)
    }

    /// Creates a span of `s` seconds; zero if `s` is negative or not a number.
    pub fn from_secs(s: f64) -> Self {
        Span((s.max(0.0) * 1e9) as u64)
    }

    /// Length in nanoseconds.
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// Length in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// Factor of an exponential decay over this span, with a time constant in seconds.
    pub fn decay_factor(self, time_constant_s: f64) -> f64 {
        (-self.secs() / time_constant_s).exp()
    }

    /// Multiplies the span by `factor`; zero if the factor is negative.
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
    /// Returns zero if `earlier` is the later point.
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
    /// Identifier of a client's request, unique among open requests.
    RequestId(u32);
    /// Identifier of a worker, opaque to the decision module.
    WorkerId(u64);
    /// Identifier of a tenant.
    TenantId(u64);
    /// Index of an operation in the settings.
    OperationId(u8);
    /// Index of a plan in the settings.
    PlanId(u16);
    /// Index of a zone in the settings.
    ZoneId(u16);
    /// Index of a kind of worker in the settings.
    KindId(u16);
    /// Identifier of a cell, a group of workers within a zone.
    CellId(u16);
    /// Number of an attempt within its request, from 0.
    AttemptNumber(u8);
    /// Key of a count at the shared counter, for one tenant and window.
    CounterKey(u64);
    /// Number passed back when a timer fires; encodes a [`TimerEvent`].
    TimerTag(u64);
}

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// Checks an attempt that may be late.
    AttemptCheck(RequestId, AttemptNumber),
    /// Reports a tenant's usage to the shared counter.
    UsageReport(TenantId),
    /// Checks a worker's health.
    HealthCheck(WorkerId),
    /// Subscribes to the list of workers.
    Subscribe,
    /// Runs the periodic maintenance.
    Tick,
}

impl TimerEvent {
    /// Encodes the event as a tag.
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

    /// Decodes a tag; `None` if its event code is unknown.
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

/// Result of an attempt, a health check or a counter call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A success was returned.
    Succeeded,
    /// An error was returned.
    Errored,
    /// Rejected unprocessed by the other side for lack of capacity.
    Full,
    /// No answer before the deadline.
    TimedOut,
    /// The connection could not be established, or the request was not sent completely.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    Reset,
    /// Cancelled by this side.
    Cancelled,
    /// Never sent because its request was answered first.
    Superseded,
}

impl Outcome {
    /// Returns `true` if the outcome proves that the worker did not process the attempt.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Superseded)
    }
}

/// State of a worker in the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerPhase {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// No longer exists.
    Removed,
}

/// Scope of an update to the list of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Adds, updates or removes only the listed workers.
    Delta,
    /// Replaces the whole list; workers that are not listed are removed.
    Full,
    /// Replaces the whole list by a copy that may be stale.
    Cached,
}

/// An entry of the list of workers.
#[derive(Clone, Copy, Debug)]
pub struct WorkerInfo {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Zone of the worker.
    pub zone: ZoneId,
    /// Kind of the worker.
    pub kind: KindId,
    /// Cell of the worker.
    pub cell: CellId,
    /// State of the worker.
    pub phase: WorkerPhase,
    /// Capacity relative to other workers; unknown unless positive and finite.
    pub weight: f32,
    /// Start time; `None` if the worker has warmed up.
    pub started_at: Option<Time>,
}

impl WorkerInfo {
    /// Capacity relative to other workers; 1 if unknown.
    pub fn weight(&self) -> f64 {
        if self.weight.is_finite() && self.weight > 0.0 { f64::from(self.weight) } else { 1.0 }
    }
}

/// A client's request on arrival.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Time after which the client no longer waits.
    pub deadline: Time,
    /// Tenant whose quota is charged.
    pub tenant: TenantId,
    /// Requested operation.
    pub operation: OperationId,
    /// Plan of the tenant.
    pub plan: PlanId,
    /// Number of gatekeepers that may receive the tenant's requests; unknown unless finite and at least 1.
    pub spread: f32,
    /// Units of the quota that the request uses; unknown unless finite and not negative.
    pub units: f32,
}

impl Request {
    /// Units of the quota that the request uses; 1 if unknown.
    pub fn units(&self) -> f64 {
        if self.units.is_finite() && self.units >= 0.0 { f64::from(self.units) } else { 1.0 }
    }

    /// Number of gatekeepers that receive the tenant's requests, at most `gatekeepers`; all if unknown.
    pub fn spread_among(&self, gatekeepers: f64) -> f64 {
        let is_known = self.spread.is_finite() && self.spread >= 1.0;
        if is_known { f64::from(self.spread).min(gatekeepers) } else { gatekeepers }
    }
}

/// Report of an attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport<'a> {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Duration of the attempt.
    pub duration: Span,
    /// `true` if the request needs no further attempt or reply.
    pub is_final: bool,
    /// Fraction of the tenant's rate that all gatekeepers together used in a past period.
    pub quota_used: Option<f32>,
    /// Units that the request used, which replace the estimate charged on admission.
    pub actual_units: Option<f32>,
    /// Load report of the worker, in the order of `Settings::load_fields`.
    pub load: &'a [f32],
}

/// Scope within which workers recognize and drop repeats of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All workers.
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// Rule for repeating a request that may have been processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May always be repeated.
    Idempotent,
    /// Repeats are dropped within the scope, for a window from the first attempt that may have run.
    Deduplicated(DedupScope, Span),
    /// Must not be repeated.
    NonIdempotent,
}

/// Settings of an operation.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Latency within which an answer is in time.
    pub latency_objective: Span,
    /// Longest time that a client waits for an answer.
    pub integration_timeout: Span,
    /// Value of an answer after the latency objective, as a fraction of the value of one in time.
    pub late_value: f32,
    /// Value of an answer in time.
    pub billed_value: f32,
    /// Rule for repeating a request.
    pub idempotency: Idempotency,
}

/// Settings of a plan.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Quota in units per second; 0 for none.
    pub rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub burst: f64,
    /// Maximum number of concurrent requests; 0 for no limit.
    pub max_open: u32,
    /// Price of the plan.
    pub price: f64,
    /// Cost of usage beyond the quota.
    pub overage_cost: f64,
    /// Revenue from usage beyond the quota.
    pub overage_revenue: f64,
    /// Hard rate limit in units per second, never exceeded; 0 for none.
    pub hard_limit_rate: f64,
    /// Capacity of the hard limit's token bucket, in units.
    pub hard_limit_burst: f64,
}

/// Meaning of a value in a worker's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Number of requests in process.
    Inflight,
    /// Number of queued requests.
    Queue,
    /// Mean latency, in milliseconds.
    LatencyMs,
    /// Any other value.
    Other,
}

/// Settings of a gatekeeper.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this gatekeeper.
    pub gatekeeper_number: u32,
    /// Number of gatekeepers.
    pub gatekeepers: u32,
    /// Zone of this gatekeeper.
    pub zone: ZoneId,
    /// Events closer together than this count as simultaneous.
    pub time_resolution: Span,
    /// Operations, indexed by `OperationId`.
    pub operations: Vec<Operation>,
    /// Plans, indexed by `PlanId`.
    pub plans: Vec<Plan>,
    /// `true` if the gatekeepers share a counter of usage.
    pub has_counter: bool,
    /// Time after which a reply of the counter is late.
    pub counter_timeout: Span,
    /// Billing period of usage.
    pub metering_period: Span,
    /// `true` if the list of workers is only sent after a subscription.
    pub must_subscribe: bool,
    /// Time after the start within which the subscription must be made.
    pub subscribe_within: Span,
    /// Time after which an idle connection to a worker is closed.
    pub idle_timeout: Span,
    /// `true` if workers answer health checks.
    pub has_health_checks: bool,
    /// `true` if attempts can be cancelled.
    pub can_cancel: bool,
    /// `true` if rejections carry a `Retry-After` time.
    pub sends_retry_after: bool,
    /// Longest `Retry-After` time.
    pub max_retry_after: Span,
    /// `true` if a second attempt may be sent while the first is in flight (hedged requests).
    pub allows_hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Fraction of its capacity that a worker has at its start.
    pub initial_capacity: f64,
    /// Time after its start at which a worker has its full capacity.
    pub warm_up: Span,
    /// Time that a worker needs to recover from an overload while it is warming up.
    pub overload_recovery: Span,
    /// Multiple of its current capacity at which a worker that is warming up is overloaded.
    pub overload_multiple: f64,
    /// Meanings of the values in a worker's load report, in their order.
    pub load_fields: Vec<LoadField>,
}
