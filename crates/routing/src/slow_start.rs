//! Slow start: what all proxies together may send to a worker that is warming up is split over those of its own zone, so
//! that the sum stays within what it bears, whoever is in touch with whom.

use std::collections::HashMap;

use lynxstair::state::Store;
use lynxstair::types::{Span, Time};

/// The fraction of a warming worker's rate that is used.
const USED_PART: f64 = 0.9;
/// Requests that may go to it at once, and those that may go at first.
const BURST: f64 = 1.5;
const INITIAL_TOKENS: f64 = 0.5;
/// After the evacuation of a zone ends its workers may be cold and not have said so: for so long, in heartbeat periods, they
/// count as warming up.
const UNREPORTED_HEARTBEATS: f64 = 1.6;

/// While the controllers are out of reach, a worker may have started to warm up, or its zone have been evacuated and
/// restored, and nobody here be told: no worker of the own zone gets more then than a warming one may get in a second. This
/// fraction of it goes at a steady rate,
const UNKNOWN_RATE_PART: f64 = 0.65;
/// and this fraction at once.
const UNKNOWN_BURST_PART: f64 = 0.25;
/// What one worker got meanwhile is forgotten so long after.
const UNKNOWN_RETENTION: Span = Span::from_millis(5_000);

/// What is known here of how warm the workers of a zone are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpKnowledge {
    /// What they said last.
    Reported,
    /// The zone's evacuation has just ended: they may be cold and not have said so yet.
    NotYetReported,
    /// The controllers are out of reach: they may have said anything.
    Unknown,
}

/// Token buckets of the workers that are, or may be, warming up.
#[derive(Default)]
pub struct SlowStart {
    warming: HashMap<String, Store>,
    unknown: HashMap<String, Store>,
    overshoot: f64,
    slack: f64,
}

impl SlowStart {
    /// The operators' bounds: a warming worker may get its rate x `overshoot` + `slack` requests in any second, from all
    /// proxies together.
    pub fn new(overshoot: f64, slack: f64) -> SlowStart {
        SlowStart { overshoot, slack, ..SlowStart::default() }
    }

    /// Whether a worker that may be warming up, unknown to this proxy, may get a request. `rate`: what it bears while it
    /// warms up, in requests a second; `proxies`: how many there are in its zone.
    pub fn admits_unknown(&mut self, now: Time, worker: &str, rate: f64, proxies: u32) -> bool {
        let own = (rate * self.overshoot + self.slack) / f64::from(proxies.max(1));
        let burst = (own * UNKNOWN_BURST_PART).max(1.0);
        let store = self.unknown.entry(worker.to_string()).or_insert(Store { level: 1.0, at: now });
        store.fill(now, own * UNKNOWN_RATE_PART, burst) >= 1.0
    }

    /// A request went to it.
    pub fn spend_unknown(&mut self, worker: &str) {
        if let Some(store) = self.unknown.get_mut(worker) {
            store.level -= 1.0;
        }
    }

    /// Whether a request may go to a warming worker now.
    pub fn admits(&mut self, now: Time, worker: &str, rate: f64, proxies: u32) -> bool {
        if proxies == 0 {
            return false;
        }
        let own = rate * USED_PART / f64::from(proxies);
        let new = Store { level: INITIAL_TOKENS, at: now };
        let store = self.warming.entry(worker.to_string()).or_insert(new);
        store.fill(now, own, BURST) >= 1.0
    }

    /// A request went to it.
    pub fn spend(&mut self, worker: &str) {
        if let Some(store) = self.warming.get_mut(worker) {
            store.level -= 1.0;
        }
    }

    /// Forgets workers that are warm or gone, and what was counted while the controllers were out of reach.
    pub fn expire(&mut self, now: Time, is_warming: impl Fn(&str) -> bool) {
        self.unknown.retain(|_, store| now - store.at < UNKNOWN_RETENTION);
        self.warming.retain(|worker, _| is_warming(worker));
    }

    /// For how long the workers of a restored zone count as warming up, until they say otherwise.
    pub fn unreported_time(heartbeat_period: Span) -> Span {
        heartbeat_period.times(UNREPORTED_HEARTBEATS)
    }
}
