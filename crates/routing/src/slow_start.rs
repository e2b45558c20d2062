//! Slow start: limits the requests that a proxy sends to a worker that is, or may be, warming up.
//!
//! All proxies together may send such a worker rate x overshoot + slack requests in any second. Each worker
//! has that many **permits**, rounded down. They are split in whole numbers among the proxies by the
//! replicated [proxy membership](lynxstair_control_state::proxy_membership); proxies of the worker's own zone
//! hold most of them. A permit allows one request in any [`PERMIT_WINDOW`]. The limit holds even if proxies
//! have different information on the worker:
//!
//! - the shares of all members never add up to more than the total, also during a membership change;
//! - a process doesn't use its permits in its first second, because the previous process on the machine may
//!   just have;
//! - a permit is taken, or taken again, in the step that hands the request over
//!   ([`SlowStart::may_hand_over`]), and becomes free a window later, by a monotonic clock.
//!
//! Within this limit a token bucket for each worker bounds the long-term rate. A worker that is known to be
//! warming up receives requests from its own zone only, a worker in unknown state from all zones.

use std::collections::HashMap;

use lynxstair::state::TokenBucket;
use lynxstair::types::{Span, Time};
use lynxstair_control_state::membership_planner::MEMBERSHIP_VALIDITY;
use lynxstair_control_state::proxy_membership::{PermitShare, PermitSplit, ProxyMembership};

/// Time after its start during which a process doesn't use its permits: the window of the limit. The process
/// before it on the same machine may just have used them.
const STARTUP_DELAY: Span = Span::from_millis(1_000);
/// Duration for which a permit stays taken: the one-second window of the limit, plus 100 ms from the
/// decision to hand a request over to its last byte. A process may be stalled for a tenth of a second.
pub const PERMIT_WINDOW: Span = Span::from_millis(1_100);
/// Fraction of a warming worker's rate that is used.
const USED_RATE_FRACTION: f64 = 0.9;
/// Burst of a proxy to a worker that is known to be warming up, in requests.
const WARMING_BURST: f64 = 1.5;
/// Rate to a worker in unknown state, in requests a second for each permit.
const UNKNOWN_RATE_PER_PERMIT: f64 = 0.9;
/// Burst to a worker in unknown state, in requests for each permit.
const UNKNOWN_BURST_PER_PERMIT: f64 = 0.25;
/// Retention of the state of a worker that is not warming up, after its last use.
const RETENTION: Span = Span::from_millis(5_000);

/// Information of this proxy on the warm-up of the workers of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpKnowledge {
    /// The last reports of the workers are up to date.
    Reported,
    /// The evacuation of the zone has just ended: workers may be warming up without having reported it yet.
    NotYetReported,
    /// Contact with the controllers is lost or was only just regained: reports may have been missed.
    Unknown,
}

/// Warm-up state of a worker, as this proxy treats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpState {
    /// The worker is warm: slow start doesn't limit its requests.
    Warm,
    /// The worker is warming up.
    Warming,
    /// The worker may be warming up without this proxy knowing it.
    Unknown,
}

impl WarmUpState {
    /// Returns the state of a worker from the knowledge on its zone and its last report. `is_unconfirmed`:
    /// the worker may be warming up and unable to report it.
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

/// A worker, as slow start sees it.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpQuery<'a> {
    /// Id of the worker instance.
    pub worker: &'a str,
    /// Zone of the worker.
    pub zone: &'a str,
    /// Rate that the worker can take while warming up, in requests a second.
    pub rate: f64,
    /// Warm-up state of the worker.
    pub state: WarmUpState,
}

/// Number of requests sent to workers that are, or may be, warming up; for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmUpUsage {
    /// Workers that received requests.
    pub workers: usize,
    /// Requests to workers that were known to be warming up.
    pub to_warming: u32,
    /// Requests to workers in unknown state.
    pub to_unknown: u32,
    /// Most requests to a single worker.
    pub max_per_worker: u32,
}

/// Permits and token bucket of this proxy for one worker.
struct WorkerPermits {
    zone: String,
    /// Permits of all proxies together.
    total: u32,
    /// Share of this proxy.
    share: PermitShare,
    /// Times at which the permits in use were taken.
    taken: Vec<Time>,
    tokens: TokenBucket,
    /// Requests since the last `take_usage`, by state of the worker.
    sent_while_warming: u32,
    sent_while_unknown: u32,
}

impl WorkerPermits {
    fn has_free(&mut self, now: Time) -> bool {
        self.taken.retain(|at| now - *at < PERMIT_WINDOW);
        self.taken.len() < self.share.permits as usize
    }

    /// Refills the bucket at the rate for the worker's state. Returns its level in tokens.
    fn refill(&mut self, now: Time, query: &WarmUpQuery) -> f64 {
        let permits = f64::from(self.share.permits);
        let (rate, burst) = match query.state {
            WarmUpState::Unknown => (permits * UNKNOWN_RATE_PER_PERMIT, permits * UNKNOWN_BURST_PER_PERMIT),
            _ => (
                query.rate * USED_RATE_FRACTION * permits / f64::from(self.share.group_total.max(1)),
                WARMING_BURST,
            ),
        };
        self.tokens.refill(now, rate, burst.max(1.0))
    }
}

/// Permits of this proxy for all workers.
pub struct SlowStart {
    zone: String,
    node: String,
    started_at: Time,
    overshoot: f64,
    slack: f64,
    split: PermitSplit,
    /// The split may be used until this time.
    valid_until: Option<Time>,
    workers: HashMap<String, WorkerPermits>,
}

impl SlowStart {
    /// Creates the state of a new process on machine `node` in `zone`. All proxies together may send a
    /// worker that is warming up its rate x `overshoot` + `slack` requests in any second.
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

    /// Sets the replicated membership, which assigns permits to proxies.
    pub fn set_membership(&mut self, membership: &ProxyMembership) {
        self.split = PermitSplit::new(membership, &self.zone, &self.node);
        for (worker, permits) in &mut self.workers {
            permits.share = self.split.share(&permits.zone, worker, permits.total);
        }
    }

    /// Records that a controller has confirmed the membership as the newest, as of at most
    /// `membership_planner::MAX_CONFIRMATION_AGE` ago.
    pub fn on_membership_confirmed(&mut self, now: Time) {
        self.valid_until = Some(now + MEMBERSHIP_VALIDITY);
    }

    /// Returns the time until this process may use its permits.
    pub fn unusable_for(&self, now: Time) -> Span {
        self.started_at + STARTUP_DELAY - now
    }

    /// Returns `true` if this proxy may use permits for the worker.
    fn may_use_permits(&self, now: Time, query: &WarmUpQuery) -> bool {
        (query.state == WarmUpState::Unknown || query.zone == self.zone)
            && now - self.started_at >= STARTUP_DELAY
            && self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns `true` if a request may be sent to the worker now.
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

    /// Takes a permit for an admitted request.
    pub fn spend(&mut self, now: Time, query: &WarmUpQuery) {
        if query.state == WarmUpState::Warm {
            return;
        }
        let permits = self.permits(now, query);
        permits.taken.push(now);
        permits.tokens.level -= 1.0;
        match query.state {
            WarmUpState::Unknown => permits.sent_while_unknown += 1,
            _ => permits.sent_while_warming += 1,
        }
    }

    /// Returns `true` if a request that was admitted at `picked_at` may be handed over to the worker now.
    /// The permit taken at that time is renewed. Without one, for example because the worker was still
    /// warm, a free permit is needed.
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
            let share = self.split.share(query.zone, query.worker, total);
            // Staggers the first requests of proxies that learn of the worker at the same time.
            let level = if query.state == WarmUpState::Unknown { 1.0 } else { 1.0 - share.start_offset };
            let tokens = TokenBucket { level, refilled_at: now };
            let zone = query.zone.to_string();
            let new = WorkerPermits {
                zone,
                total,
                share,
                taken: Vec::new(),
                tokens,
                sent_while_warming: 0,
                sent_while_unknown: 0,
            };
            self.workers.insert(query.worker.to_string(), new);
        }
        let permits = self.workers.get_mut(query.worker).expect("inserted above");
        if permits.total != total {
            permits.total = total;
            permits.share = self.split.share(query.zone, query.worker, total);
        }
        permits
    }

    /// Removes workers that are not warming up, hold no taken permit and were not used within `RETENTION`.
    pub fn expire(&mut self, now: Time, is_warming: impl Fn(&str) -> bool) {
        self.workers.retain(|worker, permits| {
            now - permits.tokens.refilled_at < RETENTION || !permits.taken.is_empty() || is_warming(worker)
        });
        self.workers.values_mut().for_each(|permits| permits.taken.retain(|at| now - *at < PERMIT_WINDOW));
    }

    /// Returns the requests sent since the last call, or `None` if there were none.
    pub fn take_usage(&mut self) -> Option<WarmUpUsage> {
        let mut usage = WarmUpUsage::default();
        for permits in self.workers.values_mut() {
            let (warming, unknown) = (
                std::mem::take(&mut permits.sent_while_warming),
                std::mem::take(&mut permits.sent_while_unknown),
            );
            usage.workers += usize::from(warming + unknown > 0);
            usage.to_warming += warming;
            usage.to_unknown += unknown;
            usage.max_per_worker = usage.max_per_worker.max(warming + unknown);
        }
        (usage.workers > 0).then_some(usage)
    }
}
