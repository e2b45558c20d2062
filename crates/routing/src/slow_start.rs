//! Slow start: the one place that decides how much of a worker that is, or may be, warming up is whose.
//!
//! All proxies together may send it so many requests in any second (the operators' rate x overshoot + slack). That many
//! **permits** there are for each worker, and proxies hold them, each a whole number, by the replicated [proxy
//! membership](lynxstair_control_state::proxy_membership): most of them those of the worker's own zone. A permit is for one
//! request in any [`PERMIT_WINDOW`], whatever is known of the worker, so that the sum holds however that changes and however
//! much proxies differ in what they know:
//!
//! - members' parts never add up to more than the whole, also while the membership changes;
//! - a process does not use its permits in its first second: the process before it on the same machine may just have;
//! - a permit is taken, or taken again, in the same step that hands the request over ([`SlowStart::may_hand_over`]), and is
//!   free again a window after that, by a steady clock.
//!
//! Below that bound a token bucket for each worker keeps to what it bears in the long run. A worker that is known to warm up
//! gets requests from its own zone only; one that may, unknown to a proxy, from all.

use std::collections::HashMap;

use lynxstair::state::TokenBucket;
use lynxstair::types::{Span, Time};
use lynxstair_control_state::membership_planner::MEMBERSHIP_VALIDITY;
use lynxstair_control_state::proxy_membership::{PermitShare, PermitSplit, ProxyMembership};

/// A process does not use its permits for this long: the second that the operators' bound counts in. What the process
/// before it handed over, its clients had sent before this one began.
const FIRST_WINDOW: Span = Span::from_millis(1_000);
/// For how long a permit is taken: the second that the operators' bound counts in, and what may pass between the decision
/// to hand a request over and its last byte (a process may be stalled for a tenth of a second).
pub const PERMIT_WINDOW: Span = Span::from_millis(1_100);
/// What is used of a warming worker's rate.
const USED_PART: f64 = 0.9;
/// Requests that a member may save up for a worker that is known to warm up.
const WARMING_BURST: f64 = 1.5;
/// While it is not known whether a worker warms up, this fraction of its permits is used as a steady rate,
const UNKNOWN_RATE_PART: f64 = 0.9;
/// and this fraction as a burst.
const UNKNOWN_BURST_PART: f64 = 0.25;
/// How long after its last use a worker that does not warm up is forgotten.
const RETENTION: Span = Span::from_millis(5_000);

/// What is known here of how warm the workers of a zone are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpKnowledge {
    /// What they said last.
    Reported,
    /// The zone's evacuation has just ended: they may be cold and not have said so yet.
    NotYetReported,
    /// The controllers are out of reach, or have only just been heard: they may have said anything.
    Unknown,
}

/// How a worker is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpState {
    /// It is warm: nothing limits it here.
    Warm,
    /// It warms up.
    Warming,
    /// It may be warming up, unknown to this proxy.
    Unknown,
}

impl WarmUpState {
    /// By what is known of its zone, by whether it has said that it warms up, and by whether it may be cold and not have
    /// been able to say so.
    pub fn of(knowledge: WarmUpKnowledge, is_warming: bool, is_unconfirmed: bool) -> WarmUpState {
        match knowledge {
            _ if is_warming => WarmUpState::Warming,
            WarmUpKnowledge::NotYetReported => WarmUpState::Warming,
            _ if is_unconfirmed => WarmUpState::Unknown,
            WarmUpKnowledge::Unknown => WarmUpState::Unknown,
            WarmUpKnowledge::Reported => WarmUpState::Warm,
        }
    }
}

/// A worker that is, or may be, warming up.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpQuery<'a> {
    /// Its id.
    pub worker: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// What it bears while it warms up, in requests a second.
    pub rate: f64,
    /// How it is to be treated.
    pub state: WarmUpState,
}

/// What went to workers that are, or may be, warming up: for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmUpUsage {
    /// How many such workers got requests.
    pub workers: usize,
    /// How many requests went to those that are known to warm up.
    pub known: u32,
    /// How many to those that may, unknown to this proxy.
    pub unknown: u32,
    /// The most that went to one of them.
    pub most: u32,
}

/// What this proxy has of one worker.
struct WorkerPermits {
    zone: String,
    /// How many permits there are, and what of them is this proxy's.
    total: u32,
    part: PermitShare,
    /// When those were taken that are not free again.
    taken: Vec<Time>,
    tokens: TokenBucket,
    known: u32,
    unknown: u32,
}

impl WorkerPermits {
    fn has_free(&mut self, now: Time) -> bool {
        self.taken.retain(|at| now - *at < PERMIT_WINDOW);
        self.taken.len() < self.part.permits as usize
    }

    /// Refills the bucket as the state asks, and returns what it holds.
    fn refill(&mut self, now: Time, query: &WarmUpQuery) -> f64 {
        let part = f64::from(self.part.permits);
        let (rate, burst) = match query.state {
            WarmUpState::Unknown => (part * UNKNOWN_RATE_PART, part * UNKNOWN_BURST_PART),
            _ => (query.rate * USED_PART * part / f64::from(self.part.group_total.max(1)), WARMING_BURST),
        };
        self.tokens.refill(now, rate, burst.max(1.0))
    }
}

/// The permits of this proxy.
pub struct SlowStart {
    zone: String,
    node: String,
    started_at: Time,
    overshoot: f64,
    slack: f64,
    split: PermitSplit,
    /// Until when this split may be acted on.
    valid_until: Option<Time>,
    workers: HashMap<String, WorkerPermits>,
}

impl SlowStart {
    /// Of the proxy on machine `node` in a zone, a process that begins. The operators' bounds: a warming worker may get its
    /// rate x `overshoot` + `slack` requests in any second, from all proxies together.
    pub fn new(now: Time, zone: &str, node: &str, overshoot: f64, slack: f64) -> SlowStart {
        SlowStart {
            zone: zone.to_string(),
            node: node.to_string(),
            started_at: now,
            overshoot,
            slack,
            split: PermitSplit::default(),
            valid_until: None,
            workers: HashMap::new(),
        }
    }

    /// The proxies that hold permits, as replicated.
    pub fn set_membership(&mut self, membership: &ProxyMembership) {
        self.split = PermitSplit::new(membership, &self.zone, &self.node);
        for (worker, permits) in &mut self.workers {
            permits.part = self.split.share(&permits.zone, worker, permits.total);
        }
    }

    /// A controller is certain that the membership held here is the newest, or was a moment ago
    /// (`membership_planner::MAX_CONFIRMATION_AGE`).
    pub fn on_membership_confirmed(&mut self, now: Time) {
        self.valid_until = Some(now + MEMBERSHIP_VALIDITY);
    }

    /// For how long this process does not use its permits yet.
    pub fn unusable_for(&self, now: Time) -> Span {
        self.started_at + FIRST_WINDOW - now
    }

    /// Whether this proxy may send to a worker in that state at all.
    fn may_use_permits(&self, now: Time, query: &WarmUpQuery) -> bool {
        (query.state == WarmUpState::Unknown || query.zone == self.zone)
            && now - self.started_at >= FIRST_WINDOW
            && self.valid_until.is_some_and(|until| now < until)
    }

    /// Whether a request may go to a worker now.
    pub fn admits(&mut self, now: Time, query: &WarmUpQuery) -> bool {
        if query.state == WarmUpState::Warm {
            return true;
        }
        if !self.may_use_permits(now, query) {
            return false;
        }
        let permits = self.permits(now, query);
        permits.has_free(now) && permits.refill(now, query) >= 1.0
    }

    /// A request was admitted to it and is on its way to be handed over: a permit is taken.
    pub fn spend(&mut self, now: Time, query: &WarmUpQuery) {
        if query.state == WarmUpState::Warm {
            return;
        }
        let permits = self.permits(now, query);
        permits.taken.push(now);
        permits.tokens.level -= 1.0;
        match query.state {
            WarmUpState::Unknown => permits.unknown += 1,
            _ => permits.known += 1,
        }
    }

    /// Whether a request that was admitted at `picked_at` may be handed over to the worker now, which may have become cold
    /// meanwhile. The permit that was taken then, or else a free one, is taken as of now.
    pub fn may_hand_over(&mut self, now: Time, query: &WarmUpQuery, picked_at: Time) -> bool {
        if query.state == WarmUpState::Warm {
            return true;
        }
        if !self.may_use_permits(now, query) {
            return false;
        }
        let permits = self.permits(now, query);
        if let Some(taken) = permits.taken.iter().position(|at| *at == picked_at) {
            permits.taken.swap_remove(taken);
        }
        let is_free = permits.has_free(now);
        if is_free {
            permits.taken.push(now);
        }
        is_free
    }

    fn permits(&mut self, now: Time, query: &WarmUpQuery) -> &mut WorkerPermits {
        let total = (query.rate * self.overshoot + self.slack).max(0.0) as u32;
        if !self.workers.contains_key(query.worker) {
            let part = self.split.share(query.zone, query.worker, total);
            // Members that hear of a worker together do not all begin with it at once.
            let level = if query.state == WarmUpState::Unknown { 1.0 } else { 1.0 - part.start_offset };
            let tokens = TokenBucket { level, refilled_at: now };
            let zone = query.zone.to_string();
            let new = WorkerPermits { zone, total, part, taken: Vec::new(), tokens, known: 0, unknown: 0 };
            self.workers.insert(query.worker.to_string(), new);
        }
        let permits = self.workers.get_mut(query.worker).expect("inserted above");
        if permits.total != total {
            permits.total = total;
            permits.part = self.split.share(query.zone, query.worker, total);
        }
        permits
    }

    /// Forgets workers that are warm or gone and were not used lately.
    pub fn expire(&mut self, now: Time, is_warming: impl Fn(&str) -> bool) {
        self.workers.retain(|worker, permits| {
            now - permits.tokens.refilled_at < RETENTION || !permits.taken.is_empty() || is_warming(worker)
        });
        self.workers.values_mut().for_each(|permits| permits.taken.retain(|at| now - *at < PERMIT_WINDOW));
    }

    /// What was sent since the last call; None for nothing.
    pub fn take_usage(&mut self) -> Option<WarmUpUsage> {
        let mut usage = WarmUpUsage::default();
        for permits in self.workers.values_mut() {
            let (known, unknown) = (std::mem::take(&mut permits.known), std::mem::take(&mut permits.unknown));
            usage.workers += usize::from(known + unknown > 0);
            usage.known += known;
            usage.unknown += unknown;
            usage.most = usage.most.max(known + unknown);
        }
        (usage.workers > 0).then_some(usage)
    }
}
