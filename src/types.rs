//! Ids, time and the settings as they are handed over.

use std::ops::{Add, Sub};

/// A point in time of the instance's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A length of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    pub const fn from_nanos(n: u64) -> Self {
        Time(n)
    }

    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// The number of whole periods of this length before this point.
    pub fn periods(self, length: Span) -> u64 {
        self.0 / length.0.max(1)
    }

    pub fn saturating_sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_nanos(n: u64) -> Self {
        Span(n)
    }

    pub const fn from_millis(n: u64) -> Self {
        Span(n * 1_000_000)
    }

    /// From seconds; what is not a positive number is no time at all.
    pub fn from_secs(s: f64) -> Self {
        Span((s.max(0.0) * 1e9) as u64)
    }

    pub const fn nanos(self) -> u64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// What is left, after this long, of a figure that fades over so many seconds.
    pub fn fading(self, over: f64) -> f64 {
        (-self.secs() / over).exp()
    }

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
    InvId(u32);
    /// Opaque: four bytes of address and a port, as one number.
    WorkerId(u64);
    CustomerId(u64);
    OperationId(u8);
    PlanId(u16);
    ZoneId(u16);
    KindId(u16);
    CellId(u16);
    /// Which delivery of an invocation, from 0.
    DeliveryNo(u8);
    CountName(u64);
    TimerTag(u64);
}

/// What a timer is set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    Delivery(InvId, DeliveryNo),
    Report(CustomerId),
    Worker(WorkerId),
    Subscribe,
    Beat,
}

impl Wake {
    /// As the number that the timer gives back.
    pub fn tag(self) -> TimerTag {
        let (kind, value) = match self {
            Wake::Delivery(inv, no) => (1, u64::from(inv.0) << 8 | u64::from(no.0)),
            Wake::Report(customer) => (2, customer.0),
            Wake::Worker(worker) => (3, worker.0),
            Wake::Subscribe => (4, 0),
            Wake::Beat => (5, 0),
        };
        TimerTag(kind << 56 | value)
    }

    pub fn of(tag: TimerTag) -> Option<Self> {
        let value = tag.0 & ((1 << 56) - 1);
        match tag.0 >> 56 {
            1 => Some(Wake::Delivery(InvId((value >> 8) as u32), DeliveryNo(value as u8))),
            2 => Some(Wake::Report(CustomerId(value))),
            3 => Some(Wake::Worker(WorkerId(value))),
            4 => Some(Wake::Subscribe),
            5 => Some(Wake::Beat),
            _ => None,
        }
    }
}

/// How a delivery, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Errored,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the delivery never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Delta,
    Full,
    Cached,
}

/// A line of the list of workers.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub worker: WorkerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub phase: Phase,
    pub heft: f32,
    /// None: long ago.
    pub started_at: Option<Time>,
}

impl Listed {
    /// What a worker weighs against others; 1 where that is not told.
    pub fn heft(&self) -> f64 {
        if self.heft.is_finite() && self.heft > 0.0 { f64::from(self.heft) } else { 1.0 }
    }
}

/// An invocation as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub inv: InvId,
    pub valid_until: Time,
    pub customer: CustomerId,
    pub operation: OperationId,
    pub plan: PlanId,
    /// How many gatekeepers may get this customer's invocations.
    pub spread: f32,
    pub units: f32,
}

impl Arrival {
    /// The units that it counts; one where that is not told.
    pub fn units(&self) -> f64 {
        if self.units.is_finite() && self.units >= 0.0 { f64::from(self.units) } else { 1.0 }
    }

    /// At how many of so many gatekeepers the customer comes in; at all where that is not told.
    pub fn spread_among(&self, gatekeepers: f64) -> f64 {
        let told = self.spread.is_finite() && self.spread >= 1.0;
        if told { f64::from(self.spread).min(gatekeepers) } else { gatekeepers }
    }
}

/// The end of a delivery.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    pub inv: InvId,
    pub no: DeliveryNo,
    pub worker: WorkerId,
    pub outcome: Outcome,
    pub took: Span,
    /// Nothing more is owed for the invocation.
    pub last: bool,
    /// The customer's use of its rate in a past period by all gatekeepers, as a share.
    pub used: Option<f32>,
    /// The units that take the place of the guess.
    pub actual: Option<f32>,
    pub load: &'a [f32],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    /// Repeats are dropped within the group, for a window from the first send that may have run.
    Tokened(Group, Span),
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct Operation {
    pub latency_objective: Span,
    pub integration_timeout: Span,
    pub late_share: f32,
    pub billed_value: f32,
    pub repeat: Repeat,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub rate: f64,
    pub burst: f64,
    pub open: u32,
    pub price: f64,
    pub beyond_costs: f64,
    pub beyond_earns: f64,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
}

/// What a load report says, in its order; other values are of no use here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    Inflight,
    Queue,
    LatencyMs,
    Other,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub me: u32,
    pub gatekeepers: u32,
    pub zone: ZoneId,
    pub step: Span,
    pub operations: Vec<Operation>,
    pub plans: Vec<Plan>,
    pub counter: bool,
    /// How long an answer of the counter may take.
    pub counter_timeout: Span,
    pub meter_period: Span,
    /// The list of workers comes only after a subscription.
    pub list_is_asked: bool,
    pub must_ask_in: Span,
    /// For how long an idle connection to a worker stays open.
    pub idle: Span,
    pub probes: bool,
    pub cancel: bool,
    pub retry_after: bool,
    pub max_retry_after: Span,
    pub second_copies: bool,
    pub max_deliveries: u32,
    pub start_share: f64,
    pub warm_within: Span,
    pub fall: Span,
    pub fall_multiple: f64,
    pub load: Vec<LoadField>,
}
