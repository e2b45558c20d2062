//! What an instance remembers, grouped by how long it lives.

use std::collections::BTreeMap;

use crate::types::{
    CellId, CustomerId, DeliveryNo, InvId, Listed, OperationId, Phase, PlanId, Repeat, Span, Time, WorkerId,
    ZoneId,
};

/// A store that fills by itself.
#[derive(Clone, Copy, Default)]
pub struct Store {
    pub level: f64,
    pub at: Time,
}

impl Store {
    /// Brings it up to now, at a rate a second and to no more than it holds.
    pub fn fill(&mut self, now: Time, rate: f64, most: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at).secs()).min(most);
        self.at = now;
        self.level
    }
}

/// For one delivery.
pub struct Delivery {
    pub worker: WorkerId,
    pub sent_at: Time,
    pub kind: (OperationId, PlanId),
    pub size: usize,
    /// What was usual for it, in seconds.
    pub weight: f64,
    pub customer: CustomerId,
}

/// Where an invocation stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Taken, and no delivery is out.
    #[default]
    Taken,
    /// One delivery is out.
    Out,
    /// Two are out.
    Doubled,
    /// Its answer has started; it belongs to the client.
    Streaming,
    /// Its final answer is given, or was given for us.
    Answered,
}

/// For one invocation.
#[derive(Default)]
pub struct Invocation {
    pub stage: Stage,
    pub operation: OperationId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub units: f64,
    pub arrived_at: Time,
    pub valid_until: Time,
    /// The workers tried, one for each delivery, in their order.
    pub tried: Vec<WorkerId>,
    /// Deliveries not proved never to have run.
    pub unproven: u32,
    /// Where and when the first delivery went that may have run, and the worker's zone and cell then.
    pub may_have_run: Option<(Time, ZoneId, CellId)>,
}

impl Invocation {
    /// Every change of an invocation's stage goes through here.
    pub fn step(&mut self, to: Stage) {
        let legal = match self.stage {
            Stage::Taken => matches!(to, Stage::Out | Stage::Answered),
            Stage::Out => to != Stage::Out,
            Stage::Doubled => matches!(to, Stage::Out | Stage::Streaming | Stage::Answered),
            Stage::Streaming => to == Stage::Answered,
            Stage::Answered => false,
        };
        debug_assert!(legal, "{:?} to {to:?}", self.stage);
        self.stage = to;
    }
}

/// For one worker, as long as it is listed.
#[derive(Default)]
pub struct Worker {
    pub zone: ZoneId,
    pub cell: CellId,
    pub draining: bool,
    pub heft: f64,
    pub started_at: Option<Time>,
    /// Deliveries of this gatekeeper that are out.
    pub out: u32,
    /// The same by what is usual for each, in seconds.
    pub load: f64,
    /// Its latency over what is usual for the fleet.
    pub slowness: f64,
    /// Since when deliveries are out with no answer of any kind.
    pub quiet_since: Time,
    /// The share that failed of each kind of work, and when that was reckoned.
    pub doubts: BTreeMap<(OperationId, PlanId), (f64, Time)>,
    pub avoid_until: Time,
    /// When a connection to it was last left open.
    pub used_at: Option<Time>,
    pub probe_out: bool,
    /// What may still be sent to it while it is cold.
    pub cold_budget: Store,
}

impl Worker {
    /// Takes over what the list says of it.
    pub fn place(&mut self, l: &Listed) {
        self.draining = l.phase == Phase::Draining;
        self.heft = l.heft();
        self.zone = l.zone;
        self.cell = l.cell;
    }

    /// Counts a delivery to it, with what is usual for it in seconds.
    pub fn sent(&mut self, now: Time, weight: f64) {
        if self.out == 0 {
            self.quiet_since = now;
        }
        self.out += 1;
        self.load += weight;
    }

    /// The share of a kind of work that failed lately; it fades where nothing more is heard.
    pub fn doubt(&self, kind: (OperationId, PlanId), now: Time, over: f64) -> f64 {
        self.doubts.get(&kind).map_or(0.0, |(share, at)| share * (now - *at).fading(over))
    }

    pub fn ended(&mut self, weight: f64) {
        self.out = self.out.saturating_sub(1);
        self.load = if self.out == 0 { 0.0 } else { (self.load - weight).max(0.0) };
    }
}

/// What a shared count is known to hold for one customer and window.
#[derive(Default)]
pub struct Shared {
    pub window: u64,
    /// The last total that came back.
    pub total: f64,
    /// What a counter that came back empty had held before.
    pub lost: f64,
    /// Known not to have been added.
    pub unadded: f64,
    /// Sent in a call with no answer yet.
    pub in_call: Option<f64>,
    pub asked_at: Time,
}

/// For one customer, until its bucket is full and idle.
#[derive(Default)]
pub struct Customer {
    pub plan: PlanId,
    pub spread: f64,
    /// The bucket.
    pub tokens: Store,
    /// This gatekeeper's part of a hard ceiling.
    pub ceiling: Store,
    pub out: u32,
    pub seen_at: Time,
    /// How far apart its invocations come in here, in seconds.
    pub gap: f64,
    /// Let through and not yet reported.
    pub unreported: f64,
    pub report_due: bool,
    pub shared: Shared,
    /// What the other gatekeepers let through in a second, by the totals.
    pub others_rate: f64,
    /// Let through here since the last total, and what was charged for the others on a guess.
    pub own_since: f64,
    pub guessed: f64,
    pub told_at: Time,
    pub throttled_until: Time,
}

/// For the instance.
#[derive(Default)]
pub struct Instance {
    /// What may still go into further deliveries.
    pub spare: f64,
    /// Deliveries that succeed in a second, lately, and the most of it for a unit of heft.
    pub rate: f64,
    pub carried: f64,
    pub carried_at: Time,
    /// Calls to the counter to spare, and how many come in a second.
    pub calls: Store,
    pub call_rate: f64,
    pub call_cut_at: Time,
    /// When the next beat is due; when the gatekeeper last found that it had stood still, and how long.
    pub beat_due: Time,
    pub woke_at: Time,
    pub stood: Span,
    /// How long the clients of each operation wait for one try, in seconds.
    pub patience: Vec<f64>,
    /// What is usual for each operation and size, in seconds.
    pub usual: Vec<Vec<f64>>,
    /// Of the deliveries that ended lately, the share that took too much of the objective.
    pub late_share: f64,
    /// How many deliveries may be out, and the last cut of that.
    pub limit: f64,
    /// How many were out lately, in the mean.
    pub mean: f64,
    pub mean_at: Time,
    pub cut_at: Time,
}

impl Instance {
    /// The running mean of what is out, by how much that is now.
    pub fn mean_out(&mut self, now: Time, out: f64, over: f64) -> f64 {
        self.mean += (out - self.mean) * (1.0 - (now - self.mean_at).fading(over));
        self.mean_at = now;
        self.mean
    }
}

/// What the decisions make of an operation's settings.
pub struct OperationFigures {
    pub objective: Span,
    /// Whether an answer after the latency objective is still worth something.
    pub late_pays: bool,
    pub repeat: Repeat,
}

/// What the decisions make of a plan's settings.
pub struct PlanFigures {
    /// None where the plan has no rate.
    pub rate: Option<f64>,
    pub burst: f64,
    pub open: u32,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub window: Span,
    pub allowance: f64,
    pub keep: Span,
}

/// What the decisions make of the settings, once, at the start.
pub struct Figures {
    pub gatekeepers: f64,
    pub margin: Span,
    pub operations: Vec<OperationFigures>,
    pub plans: Vec<PlanFigures>,
    pub counter: bool,
    pub counter_timeout: Span,
    /// For how long an idle connection stays open.
    pub idle: Span,
    pub probes: bool,
    pub cancel: bool,
    pub retry_after: Option<Span>,
    pub second_copies: bool,
    pub max_deliveries: usize,
    pub start_share: f64,
    pub warm_within: Span,
    /// How far over what it is sure to do a cold worker may be sent.
    pub cold_headroom: f64,
    /// Deliveries in a second that a cold worker may get in any case.
    pub trickle: f64,
    pub retry_subscription: Span,
}

/// The key of a delivery.
pub type DeliveryKey = (InvId, DeliveryNo);
