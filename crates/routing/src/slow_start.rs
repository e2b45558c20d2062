//! Slow start: what all proxies together may send to a worker that is warming up is split over those of its own zone, so
//! that the sum stays within what it bears, whoever is in touch with whom.

use std::collections::HashMap;

use lynxstair::state::TokenBucket;
use lynxstair::types::{Span, Time};

/// The fraction of a warming worker's rate that is used.
const USED_PART: f64 = 0.9;
/// Requests that may go to it at once, and those that may go at first.
const BURST: f64 = 1.5;
const INITIAL_TOKENS: f64 = 0.5;
/// After the evacuation of a zone ends, its workers may be cold and not have reported it yet: how long they count as warming
/// up, in heartbeat periods.
const UNREPORTED_HEARTBEATS: f64 = 1.6;

/// While the controllers are out of reach, a worker may have started to warm up, or its zone may have been evacuated and
/// restored, unknown to this proxy. Each worker of the own zone then gets no more than a warming one may get in a second:
/// this fraction of it as a steady rate,
const UNKNOWN_RATE_PART: f64 = 0.65;
/// and this fraction as a burst.
const UNKNOWN_BURST_PART: f64 = 0.25;
/// How long after that the count of a worker is forgotten.
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

/// Token buckets of the workers that are, or may be, warming up.
#[derive(Default)]
pub struct SlowStart {
    /// Requests that went to each since the last look: to it as known to warm up, and as one that may.
    sent: HashMap<String, (u32, u32)>,
    warming: HashMap<String, TokenBucket>,
    unknown: HashMap<String, TokenBucket>,
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
    /// warms up, in requests a second; `proxies`: how many there are in its zone, 0 where that is not known. Proxies that
    /// have just begun and do not know it would each take the whole.
    pub fn admits_unknown(&mut self, now: Time, worker: &str, rate: f64, proxies: u32) -> bool {
        if proxies == 0 {
            return false;
        }
        let own = (rate * self.overshoot + self.slack) / f64::from(proxies);
        let burst = (own * UNKNOWN_BURST_PART).max(1.0);
        let bucket =
            self.unknown.entry(worker.to_string()).or_insert(TokenBucket { level: 1.0, refilled_at: now });
        bucket.refill(now, own * UNKNOWN_RATE_PART, burst) >= 1.0
    }

    /// A request went to it.
    pub fn spend_unknown(&mut self, worker: &str) {
        if let Some(bucket) = self.unknown.get_mut(worker) {
            bucket.level -= 1.0;
        }
        self.sent.entry(worker.to_string()).or_default().1 += 1;
    }

    /// Whether a request may go to a warming worker now.
    pub fn admits(&mut self, now: Time, worker: &str, rate: f64, proxies: u32) -> bool {
        if proxies == 0 {
            return false;
        }
        let own = rate * USED_PART / f64::from(proxies);
        let new = TokenBucket { level: INITIAL_TOKENS, refilled_at: now };
        let bucket = self.warming.entry(worker.to_string()).or_insert(new);
        bucket.refill(now, own, BURST) >= 1.0
    }

    /// A request went to it.
    pub fn spend(&mut self, worker: &str) {
        if let Some(bucket) = self.warming.get_mut(worker) {
            bucket.level -= 1.0;
        }
        self.sent.entry(worker.to_string()).or_default().0 += 1;
    }

    /// Forgets workers that are warm or gone, and what was counted while the controllers were out of reach.
    pub fn expire(&mut self, now: Time, is_warming: impl Fn(&str) -> bool) {
        self.unknown.retain(|_, bucket| now - bucket.refilled_at < UNKNOWN_RETENTION);
        self.warming.retain(|worker, _| is_warming(worker));
    }

    /// What was sent since the last call; None for nothing.
    pub fn take_usage(&mut self) -> Option<WarmUpUsage> {
        if self.sent.is_empty() {
            return None;
        }
        let mut usage = WarmUpUsage { workers: self.sent.len(), ..WarmUpUsage::default() };
        for (_, (known, unknown)) in self.sent.drain() {
            usage.known += known;
            usage.unknown += unknown;
            usage.most = usage.most.max(known + unknown);
        }
        Some(usage)
    }

    /// For how long the workers of a restored zone count as warming up, until they say otherwise.
    pub fn unreported_time(heartbeat_period: Span) -> Span {
        heartbeat_period.times(UNREPORTED_HEARTBEATS)
    }
}
