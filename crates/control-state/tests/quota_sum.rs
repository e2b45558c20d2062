//! The quota allocator and the token buckets of all proxies together, on a virtual clock: the sum stays
//! within the quota, and the quota is given.

use std::collections::HashMap;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_control_state::quota_allocator::{QuotaAllocator, QuotaTolerance, UsageReport};
use lynxstair_protocol::messages::QuotaShare;
use lynxstair_routing::token_buckets::TokenBuckets;

/// What the operators' rule grants.
const GRANT: QuotaTolerance = QuotaTolerance { window: Span::from_millis(5000), slack: 20.0, overshoot: 0.1 };

fn tenant(rate: f64) -> Tenant {
    Tenant { name: "t".into(), priority: None, rate, burst: rate, homes: vec![] }
}

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

/// Proxies and the allocator, ten milliseconds a step, each with a second of its own for its ping; answers
/// take 60 ms, and a share of pings and answers is lost.
struct World {
    tenant: Tenant,
    allocator: QuotaAllocator,
    proxies: Vec<TokenBuckets>,
    received: Vec<u64>,
    in_flight: Vec<(u64, usize, u64, u64, Vec<QuotaShare>)>,
    admitted: Vec<u64>,
    rejected: u64,
    rng: Rng,
    lost: f64,
}

impl World {
    fn new(rate: f64, n: usize, seed: u64) -> World {
        let mut proxies: Vec<TokenBuckets> = (0..n).map(|_| TokenBuckets::new(20.0, 0.1)).collect();
        proxies.iter_mut().for_each(|r| r.set_proxy_count(n as u32));
        World {
            tenant: tenant(rate),
            allocator: QuotaAllocator::new(GRANT),
            proxies,
            received: vec![0; n],
            in_flight: Vec::new(),
            admitted: Vec::new(),
            rejected: 0,
            rng: Rng::new(seed),
            lost: 0.0,
        }
    }

    /// `load`: requests a second at each proxy.
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
            let own = 10 * (n as u64 * 37 % 100);
            if ms % 1000 == own && self.rng.next_f64() >= self.lost {
                let (counts, received) = (self.proxies[n].take_usage(), self.received[n]);
                let tenants = std::slice::from_ref(&self.tenant);
                self.allocator.on_proxy_seen(now, &n.to_string(), "z", true);
                if ms < 2000 {
                    self.allocator.set_held_shares(&n.to_string(), &self.proxies[n].held_shares(now));
                }
                let blocked = self.allocator.report_usage(
                    now,
                    &n.to_string(),
                    "z",
                    &UsageReport { usage: &counts, received_shares: received },
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
        let due: Vec<_> = self.in_flight.extract_if(.., |(when, ..)| *when <= ms).collect();
        for (_, n, number, sent, shares) in due {
            if self.rng.next_f64() >= self.lost {
                self.proxies[n].renew_shares(at(sent));
                self.proxies[n].apply_shares(now, at(sent), &shares);
                self.received[n] = self.received[n].max(number);
            }
        }
    }

    /// The most that was let through in any window, over what is granted.
    fn worst(&self) -> f64 {
        let granted = (self.tenant.rate * 5.0 + self.tenant.burst) * 1.1 + 20.0;
        let mut by_ms: HashMap<u64, u64> = HashMap::new();
        self.admitted.iter().for_each(|ms| *by_ms.entry(*ms / 10).or_default() += 1);
        let end = self.admitted.last().copied().unwrap_or(0) / 10;
        let sum = |from: u64| (from..from + 500).filter_map(|m| by_ms.get(&m)).sum::<u64>();
        (0..=end).step_by(5).map(|from| sum(from) as f64 / granted).fold(0.0, f64::max)
    }
}

/// A tenant that all at once sends many times its usual, at few or many proxies, small or large.
#[test]
fn a_hot_tenant_stays_within_its_quota() {
    for (n, rate) in [(8, 43.0), (11, 5.0), (89, 3.0), (89, 18.0), (89, 40.0), (89, 90.0), (89, 170.0)] {
        let mut world = World::new(rate, n, rate as u64);
        let usual = rate / 1.6 / n as f64;
        for ms in (0..20_000).step_by(10) {
            let hot = if (8_000..16_000).contains(&ms) { 8.0 } else { 1.0 };
            world.step(ms, &|_| usual * hot);
        }
        let worst = world.worst();
        assert!(worst <= 1.0, "{n} proxies, {rate} a second: {worst:.3} of what is granted");
    }
}

/// Over drawn stories of load that moves and answers that are lost the sum stays within what is granted.
#[test]
fn the_sum_stays_within_the_quota() {
    for seed in 0..40 {
        let mut world = World::new(40.0, 6, seed);
        world.lost = 0.15;
        let mut load = [0.0; 6];
        for ms in (0..25_000).step_by(10) {
            if ms % 2000 == 0 {
                load = std::array::from_fn(|_| 30.0 * world.rng.next_f64());
            }
            world.step(ms, &|n| load[n]);
            if ms == 9_000 {
                // One starts anew.
                world.proxies[2] = TokenBuckets::new(20.0, 0.1);
                world.proxies[2].set_proxy_count(6);
            }
        }
        let worst = world.worst();
        assert!(worst <= 1.0, "seed {seed}: {worst:.3} of what is granted");
    }
}

/// A tenant whose requests come in unevenly, or thinly at many proxies, still gets its quota.
#[test]
fn a_granted_quota_can_be_used() {
    // Proxies, rate, and the part of the load that two of them get.
    for (n, rate, at_two) in
        [(8, 40.0, 0.9), (8, 40.0, 0.25), (11, 6.0, 0.2), (89, 18.0, 0.03), (89, 3.0, 0.03)]
    {
        let mut world = World::new(rate, n, n as u64);
        let all = rate / 1.6;
        let load = |m: usize| if m < 2 { all * at_two / 2.0 } else { all * (1.0 - at_two) / (n - 2) as f64 };
        let mut before = (0, 0);
        for ms in (0..40_000).step_by(10) {
            if ms == 10_000 {
                before = (world.admitted.len(), world.rejected);
            }
            world.step(ms, &load);
        }
        let (admitted, rejected) = (world.admitted.len() - before.0, world.rejected - before.1);
        let share = rejected as f64 / (admitted as u64 + rejected) as f64;
        assert!(share < 0.04, "{n} proxies, {rate} a second: {share:.3} rejected with room left");
    }
}
