//! The quota allocator and the token buckets of all proxies on a virtual clock: the total usage stays within
//! the quota and its tolerance, and the quota can be used.

use std::collections::HashMap;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::quota_allocator::{QuotaAllocator, QuotaTolerance, UsageReport};
use lynxstair_protocol::messages::QuotaShare;
use lynxstair_routing::token_buckets::TokenBuckets;

const TOLERANCE: QuotaTolerance =
    QuotaTolerance { window: Span::from_millis(5000), slack: 20.0, overshoot: 0.1 };

fn tenant(rate: f64) -> Tenant {
    Tenant { name: "t".into(), priority: None, rate, burst: rate, home_regions: vec![] }
}

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

/// Proxies and the allocator in steps of 10 ms. Each proxy sends a heartbeat at its own time in each second;
/// responses take 60 ms, and a fraction of heartbeats and responses is lost.
struct Simulation {
    tenant: Tenant,
    allocator: QuotaAllocator,
    proxies: Vec<TokenBuckets>,
    received: Vec<u64>,
    /// Time of arrival, proxy, sequence number, time of sending, and shares.
    in_flight: Vec<(u64, usize, u64, u64, Vec<QuotaShare>)>,
    admitted: Vec<u64>,
    rejected: u64,
    rng: Rng,
    loss: f64,
}

impl Simulation {
    fn new(rate: f64, n: usize, seed: u64) -> Simulation {
        let mut proxies: Vec<TokenBuckets> = (0..n).map(|_| TokenBuckets::new(20.0, 0.1)).collect();
        proxies.iter_mut().for_each(|r| r.set_proxy_count(n as u32));
        Simulation {
            tenant: tenant(rate),
            allocator: QuotaAllocator::new(TOLERANCE),
            proxies,
            received: vec![0; n],
            in_flight: Vec::new(),
            admitted: Vec::new(),
            rejected: 0,
            rng: Rng::new(seed),
            loss: 0.0,
        }
    }

    /// `load` gives the requests per second at each proxy.
    fn step(&mut self, ms: u64, load: &dyn Fn(usize) -> f64) {
        let now = at(ms);
        for n in 0..self.proxies.len() {
            let mut due = load(n) * 0.01;
            while self.rng.next_f64() < due {
                due -= 1.0;
                match self.proxies[n].admit(now, &self.tenant) {
                    Ok(()) => self.admitted.push(ms),
                    Err(_) => self.rejected += 1,
                }
            }
            let heartbeat_ms = 10 * (n as u64 * 37 % 100);
            if ms % 1000 == heartbeat_ms && self.rng.next_f64() >= self.loss {
                let (usage, received) = (self.proxies[n].take_usage(), self.received[n]);
                let tenants = std::slice::from_ref(&self.tenant);
                self.allocator.on_proxy_seen(now, &n.to_string(), "z", true);
                if ms < 2000 {
                    self.allocator.set_held_shares(&n.to_string(), &self.proxies[n].held_shares(now));
                }
                let blocked = self.allocator.report_usage(
                    now,
                    &n.to_string(),
                    "z",
                    &UsageReport { usage: &usage, received_shares: received },
                    tenants,
                );
                if !blocked.is_empty() {
                    (0..self.proxies.len())
                        .for_each(|to| self.in_flight.push((ms + 60, to, 0, ms, blocked.clone())));
                }
                let allocated = self.allocator.allocate(now, &n.to_string(), tenants);
                let (number, shares) = allocated.unwrap_or_default();
                self.in_flight.push((ms + 60, n, number, ms, shares));
            }
        }
        let due: Vec<_> = self.in_flight.extract_if(.., |(arrives_at, ..)| *arrives_at <= ms).collect();
        for (_, n, number, sent_ms, shares) in due {
            if self.rng.next_f64() >= self.loss {
                self.proxies[n].renew_shares(at(sent_ms));
                self.proxies[n].apply_shares(now, at(sent_ms), &shares);
                self.received[n] = self.received[n].max(number);
            }
        }
    }

    /// Returns the maximum usage in any window as a fraction of the quota with its tolerance.
    fn max_usage(&self) -> f64 {
        let limit = (self.tenant.rate * 5.0 + self.tenant.burst) * 1.1 + 20.0;
        let mut by_ms: HashMap<u64, u64> = HashMap::new();
        self.admitted.iter().for_each(|ms| *by_ms.entry(*ms / 10).or_default() += 1);
        let end = self.admitted.last().copied().unwrap_or(0) / 10;
        let sum = |from: u64| (from..from + 500).filter_map(|m| by_ms.get(&m)).sum::<u64>();
        (0..=end).step_by(5).map(|from| sum(from) as f64 / limit).fold(0.0, f64::max)
    }
}

/// A tenant whose load suddenly rises eightfold, with few or many proxies and small or large quotas.
#[test]
fn a_tenant_with_a_load_spike_stays_within_its_quota() {
    for (n, rate) in [(8, 43.0), (11, 5.0), (89, 3.0), (89, 18.0), (89, 40.0), (89, 90.0), (89, 170.0)] {
        let mut simulation = Simulation::new(rate, n, rate as u64);
        let usual = rate / 1.6 / n as f64;
        for ms in (0..20_000).step_by(10) {
            let load_factor = if (8_000..16_000).contains(&ms) { 8.0 } else { 1.0 };
            simulation.step(ms, &|_| usual * load_factor);
        }
        let max_usage = simulation.max_usage();
        assert!(max_usage <= 1.0, "{n} proxies, {rate} per second: {max_usage:.3} of the limit");
    }
}

/// Random loads that shift between proxies, lost messages and a restarted proxy.
#[test]
fn total_usage_stays_within_the_quota() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(40.0, 6, seed);
        simulation.loss = 0.15;
        let mut load = [0.0; 6];
        for ms in (0..25_000).step_by(10) {
            if ms % 2000 == 0 {
                load = std::array::from_fn(|_| 30.0 * simulation.rng.next_f64());
            }
            simulation.step(ms, &|n| load[n]);
            if ms == 9_000 {
                // One proxy restarts.
                simulation.proxies[2] = TokenBuckets::new(20.0, 0.1);
                simulation.proxies[2].set_proxy_count(6);
            }
        }
        let max_usage = simulation.max_usage();
        assert!(max_usage <= 1.0, "seed {seed}: {max_usage:.3} of the limit");
    }
}

/// A tenant with load spread unevenly, or thinly over many proxies, can use its quota.
#[test]
fn a_granted_quota_can_be_used() {
    // Number of proxies, rate, and the fraction of the load at the first two proxies.
    for (n, rate, at_two) in
        [(8, 40.0, 0.9), (8, 40.0, 0.25), (11, 6.0, 0.2), (89, 18.0, 0.03), (89, 3.0, 0.03)]
    {
        let mut simulation = Simulation::new(rate, n, n as u64);
        let total_load = rate / 1.6;
        let load = |m: usize| {
            if m < 2 { total_load * at_two / 2.0 } else { total_load * (1.0 - at_two) / (n - 2) as f64 }
        };
        let mut before = (0, 0);
        for ms in (0..40_000).step_by(10) {
            if ms == 10_000 {
                before = (simulation.admitted.len(), simulation.rejected);
            }
            simulation.step(ms, &load);
        }
        let (admitted, rejected) = (simulation.admitted.len() - before.0, simulation.rejected - before.1);
        let rejected_fraction = rejected as f64 / (admitted as u64 + rejected) as f64;
        assert!(
            rejected_fraction < 0.04,
            "{n} proxies, {rate} per second: {rejected_fraction:.3} of requests rejected below the quota"
        );
    }
}
