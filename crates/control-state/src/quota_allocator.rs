//! The purse: how a tenant's quota is split over the gatekeepers, by what each of them counted, and the total of what
//! all let through. Held by the core that leads, from the counts that all gatekeepers say each second. No request waits
//! for it.
//!
//! Two things keep the sum within the quota. The parts that are held anywhere never come to more than one. And where
//! the parts are so small that buckets hold more than their part (`buckets`), the total of a sliding window, with what
//! is not counted yet guessed from the newest counts, closes a tenant everywhere before it passes what is granted.

use std::collections::{HashMap, VecDeque};

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::Tenant;
use lynxstair_protocol::messages::{Count, Share};

use crate::quota_limits::{DEPTH, OVER_PART, SLACK_PART};

/// The part of the quota that is split evenly among those that are heard.
const FLOOR: f64 = 0.4;
/// The weight of a new count in what a gatekeeper needs. One that chance does not explain, so many deviations above,
/// counts at once.
const FRESH: f64 = 0.12;
const DEVIATIONS: f64 = 3.0;
/// A gatekeeper that says nothing keeps what it was given for so long, longer than it spends it, and then an even
/// part for as long as it is counted as one of them.
const RESERVED: Span = Span::from_millis(3300);
const COUNTED: Span = Span::from_millis(12_000);
/// So many counts say what a gatekeeper needs.
const SETTLED: u32 = 3;
/// A need below this, in requests a second, is taken for this: whoever has none may get some at any time.
const LEAST_NEED: f64 = 0.3;
/// A part is said anew where it changed by more than this.
const SAID: f64 = 0.12;
/// Counts come a second apart: of what flows now, about so much is not counted yet, going by the newest counts.
const UNCOUNTED: Span = Span::from_millis(600);
/// A tenant is closed when so much of what is granted is reached, until its total is down to this part of the quota
/// at its rate; after that it gets no more than its even flow for one window.
const CLOSE_AT: f64 = 0.88;
const CLOSE_TO: f64 = 0.85;

/// What the operators grant: the window, requests beyond the quota, and a part of it.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    pub window: Span,
    pub requests: f64,
    pub over: f64,
}

#[derive(Debug, Default)]
struct Spender {
    zone: String,
    heard_at: Time,
    /// What it needs for each tenant, in requests a second.
    needs: HashMap<String, f64>,
    /// The part of each tenant's quota that it holds, as far as it has said so.
    holds: HashMap<String, f64>,
    /// What it was told since, and by which number.
    told: HashMap<String, f64>,
    number: u64,
    /// It has said what it holds, since this purse is the one that gives.
    is_known: bool,
    /// How often it has said what it counted, since then.
    counts: u32,
}

#[derive(Debug, Default)]
struct Total {
    counted: VecDeque<(Time, f64)>,
    sum: f64,
    closed_until: Time,
    tight_until: Time,
}

#[derive(Debug)]
pub struct Purse {
    grant: Grant,
    spenders: HashMap<String, Spender>,
    totals: HashMap<String, Total>,
}

impl Total {
    fn add(&mut self, at: Time, passed: f64) {
        let place = self.counted.iter().rposition(|(t, _)| *t <= at).map_or(0, |p| p + 1);
        self.counted.insert(place, (at, passed));
        self.sum += passed;
    }

    /// What was let through in the window up to now, with what is not counted yet.
    fn reached(&mut self, now: Time, window: Span) -> f64 {
        while let Some((_, passed)) = self.counted.pop_front_if(|(at, _)| now - *at >= window) {
            self.sum -= passed;
        }
        if self.counted.is_empty() {
            self.sum = 0.0;
        }
        let newest = self.counted.iter().rev().take_while(|(at, _)| now - *at < UNCOUNTED);
        self.sum + newest.map(|(_, passed)| passed).sum::<f64>()
    }
}

impl Purse {
    pub fn new(grant: Grant) -> Purse {
        Purse { grant, spenders: HashMap::new(), totals: HashMap::new() }
    }

    /// A gatekeeper is there; whether or not this purse is the one that gives.
    pub fn meet(&mut self, now: Time, node: &str, zone: &str, gives: bool) {
        // Its first count is of about a second.
        let before = now.saturating_sub(Span::from_millis(1000));
        let new = || Spender { heard_at: before, ..Spender::default() };
        let spender = self.spenders.entry(node.to_string()).or_insert_with(new);
        spender.zone = zone.to_string();
        if !gives {
            spender.heard_at = now;
            spender.is_known = false;
            spender.counts = 0;
            spender.needs.clear();
            spender.told.clear();
        }
        self.spenders.retain(|_, s| now - s.heard_at < COUNTED);
    }

    /// A gatekeeper says which parts it holds: those that another purse gave.
    pub fn holds(&mut self, node: &str, holds: &[(String, f32)]) {
        if let Some(spender) = self.spenders.get_mut(node) {
            spender.holds = holds.iter().map(|(t, p)| (t.clone(), f64::from(*p))).collect();
            spender.told.clear();
            spender.is_known = true;
        }
    }

    /// A gatekeeper says what it counted, and which of the parts it was told it got. Who is to be closed at once.
    pub fn hear(
        &mut self,
        now: Time,
        node: &str,
        zone: &str,
        (counts, got): (&[Count], u64),
        tenants: &[Tenant],
    ) -> Vec<Share> {
        let spender = self.spenders.entry(node.to_string()).or_default();
        // Who was out of reach says what it counted each second since.
        let most = if counts.iter().any(|c| c.ago_ms > 0) { 1.0 } else { 2.0 };
        let gap = (now - spender.heard_at).secs().clamp(0.2, most);
        spender.zone = zone.to_string();
        spender.heard_at = now;
        if got >= spender.number {
            spender.holds.extend(spender.told.drain());
        }
        spender.counts += 1;
        // The first counts are all that is known of it.
        let weight = (FRESH * gap.min(1.0)).max(1.0 / f64::from(spender.counts));
        for need in spender.needs.values_mut() {
            *need *= 1.0 - weight;
        }
        for count in counts.iter().filter(|c| c.ago_ms == 0) {
            let need = spender.needs.entry(count.tenant.clone()).or_default();
            let seen = f64::from(count.passed + count.refused) / gap;
            *need += weight * seen;
            if seen > *need + DEVIATIONS * (*need + 1.0).sqrt() {
                *need = seen;
            }
        }
        spender.needs.retain(|_, n| *n > 0.001);
        self.spenders.retain(|_, s| now - s.heard_at < COUNTED);
        let mut closed = Vec::new();
        for count in counts.iter().filter(|c| c.passed > 0) {
            let total = self.totals.entry(count.tenant.clone()).or_default();
            total.add(now.saturating_sub(Span::from_millis(count.ago_ms.into())), f64::from(count.passed));
            if let Some(tenant) = tenants.iter().find(|t| t.name == count.tenant && t.rate > 0.0)
                && total.closes(now, self.grant, self.spenders.len() as f64, tenant)
            {
                // The part stays as it is.
                closed.push(total.share(now, tenant, f32::NAN));
            }
        }
        closed
    }

    /// How many gatekeepers there are in each zone.
    pub fn gatekeepers(&self) -> Vec<(String, u32)> {
        let mut zones: Vec<(String, u32)> = Vec::new();
        for spender in self.spenders.values() {
            match zones.iter_mut().find(|(z, _)| *z == spender.zone) {
                Some((_, n)) => *n += 1,
                None => zones.push((spender.zone.clone(), 1)),
            }
        }
        zones.sort();
        zones
    }

    /// What one gatekeeper's buckets may hold, where that is news to it, and the number it answers with. All that is
    /// held anywhere never comes to more than the quota: who needs more gets it once another holds less.
    pub fn shares(&mut self, now: Time, node: &str, tenants: &[Tenant]) -> Option<(u64, Vec<Share>)> {
        let n = self.spenders.len().max(1) as f64;
        let floor = FLOOR / n;
        let is_reserved = |s: &Spender| now - s.heard_at < RESERVED;
        let held = |s: &Spender, tenant: &str| {
            if !is_reserved(s) || !s.is_known {
                return 1.0 / n;
            }
            let holds = s.holds.get(tenant).copied().unwrap_or(1.0 / n);
            holds.max(s.told.get(tenant).copied().unwrap_or(0.0)).max(floor)
        };
        let need = |s: &Spender, tenant: &str| s.needs.get(tenant).copied().unwrap_or(0.0).max(LEAST_NEED);
        // Who has just begun to give knows not yet what the others hold and need: it leaves things as they are.
        let is_settled = |s: &Spender| s.is_known && s.counts >= SETTLED;
        let all_known = self.spenders.values().all(|s| is_settled(s) || !is_reserved(s));
        let mut shares = Vec::new();
        for tenant in tenants.iter().filter(|t| t.rate > 0.0) {
            let own = self.spenders.get(node)?;
            let name = &tenant.name;
            let all: f64 = self.spenders.values().filter(|s| is_reserved(s)).map(|s| need(s, name)).sum();
            let wanted = floor + (1.0 - FLOOR) * (need(own, name) / all.max(need(own, name)));
            let others = self.spenders.iter().filter(|(other, _)| *other != node);
            let others: f64 = others.map(|(_, s)| held(s, name)).sum();
            let last = own.told.get(name).or(own.holds.get(name)).copied();
            let part = if all_known { wanted.min(1.0 - others).max(floor) } else { last.unwrap_or(f64::NAN) };
            let is_news = all_known && last.is_none_or(|l| (part - l).abs() > SAID * l);
            let total = self.totals.get(name).filter(|t| now < t.tight_until);
            if !is_news && total.is_none() {
                continue;
            }
            let part = if is_news { part } else { f64::NAN };
            shares.push(match total {
                Some(total) => total.share(now, tenant, part as f32),
                None => Share { tenant: name.clone(), part: part as f32, closed_ms: 0, tight_ms: 0 },
            });
        }
        if shares.is_empty() {
            return None;
        }
        let spender = self.spenders.get_mut(node)?;
        spender.number += 1;
        for share in shares.iter().filter(|s| s.part.is_finite()) {
            // What was told before and is not said to have come may be held as well.
            let told = spender.told.entry(share.tenant.clone()).or_default();
            *told = told.max(f64::from(share.part));
            if let Some(holds) = spender.holds.get_mut(&share.tenant) {
                *holds = holds.max(f64::from(share.part)).max(*told);
            }
        }
        Some((spender.number, shares))
    }

    /// Lets go of tenants that no configuration holds any more.
    pub fn keep(&mut self, tenants: &[Tenant]) {
        self.totals.retain(|name, _| tenants.iter().any(|t| t.name == *name));
    }
}

impl Total {
    /// Whether a tenant has just reached what closes it.
    fn closes(&mut self, now: Time, grant: Grant, gatekeepers: f64, tenant: &Tenant) -> bool {
        let window = grant.window.secs();
        let quota = tenant.rate * window + tenant.burst;
        let granted = quota * (1.0 + grant.over) + grant.requests;
        // Where the buckets alone can't hold more, nothing has to be closed.
        let buckets = (tenant.burst + grant.requests * SLACK_PART).max(DEPTH * gatekeepers);
        if tenant.rate * window * (1.0 + grant.over * OVER_PART) + buckets <= granted {
            return false;
        }
        let reached = self.reached(now, grant.window);
        if reached < granted * CLOSE_AT || now < self.closed_until {
            return false;
        }
        let over = (reached - quota * CLOSE_TO) / tenant.rate;
        self.closed_until = now + Span::from_secs(over.clamp(0.5, window));
        self.tight_until = self.closed_until + grant.window;
        true
    }

    fn share(&self, now: Time, tenant: &Tenant, part: f32) -> Share {
        let ms = |until: Time| ((until - now).nanos() / 1_000_000) as u32;
        let (closed_ms, tight_ms) = (ms(self.closed_until), ms(self.tight_until));
        Share { tenant: tenant.name.clone(), part, closed_ms, tight_ms }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashMap;

    use lynxstair::rng::Rng;
    use lynxstair::types::{Span, Time};
    use lynxstair_config::configuration::Tenant;
    use lynxstair_protocol::messages::Share;

    use super::{Grant, Purse};
    use lynxstair_routing::token_buckets::Buckets;

    /// What the operators' rule grants.
    const GRANT: Grant = Grant { window: Span::from_millis(5000), requests: 20.0, over: 0.1 };

    fn tenant(rate: f64) -> Tenant {
        Tenant { name: "t".into(), priority: None, rate, burst: rate, homes: vec![] }
    }

    fn at(ms: u64) -> Time {
        Time::from_nanos((100_000 + ms) * 1_000_000)
    }

    /// Gatekeepers and the purse, ten milliseconds a step, each with a second of its own for its ping; answers take
    /// 60 ms, and a share of pings and answers is lost.
    struct World {
        tenant: Tenant,
        purse: Purse,
        roads: Vec<Buckets>,
        got: Vec<u64>,
        on_way: Vec<(u64, usize, u64, u64, Vec<Share>)>,
        passed: Vec<u64>,
        refused: u64,
        rng: Rng,
        lost: f64,
    }

    impl World {
        fn new(rate: f64, n: usize, seed: u64) -> World {
            let mut roads: Vec<Buckets> = (0..n).map(|_| Buckets::new(20.0, 0.1)).collect();
            roads.iter_mut().for_each(|r| r.shared_by(n as u32));
            World {
                tenant: tenant(rate),
                purse: Purse::new(GRANT),
                roads,
                got: vec![0; n],
                on_way: Vec::new(),
                passed: Vec::new(),
                refused: 0,
                rng: Rng::new(seed),
                lost: 0.0,
            }
        }

        /// `load`: requests a second at each gatekeeper.
        fn step(&mut self, ms: u64, load: &dyn Fn(usize) -> f64) {
            let now = at(ms);
            for n in 0..self.roads.len() {
                let mut due = load(n) * 0.01;
                while self.rng.unit() < due {
                    due -= 1.0;
                    match self.roads[n].admit(now, &self.tenant) {
                        Ok(()) => self.passed.push(ms),
                        Err(_) => self.refused += 1,
                    }
                }
                let own = 10 * (n as u64 * 37 % 100);
                if ms % 1000 == own && self.rng.unit() >= self.lost {
                    let (counts, got) = (self.roads[n].counts(), self.got[n]);
                    let tenants = std::slice::from_ref(&self.tenant);
                    self.purse.meet(now, &n.to_string(), "z", true);
                    if ms < 2000 {
                        self.purse.holds(&n.to_string(), &self.roads[n].holds(now));
                    }
                    let closed = self.purse.hear(now, &n.to_string(), "z", (&counts, got), tenants);
                    if !closed.is_empty() {
                        (0..self.roads.len())
                            .for_each(|to| self.on_way.push((ms + 60, to, 0, ms, closed.clone())));
                    }
                    let told = self.purse.shares(now, &n.to_string(), tenants);
                    let (number, shares) = told.unwrap_or_default();
                    self.on_way.push((ms + 60, n, number, ms, shares));
                }
            }
            let due: Vec<_> = self.on_way.extract_if(.., |(when, ..)| *when <= ms).collect();
            for (_, n, number, sent, shares) in due {
                if self.rng.unit() >= self.lost {
                    self.roads[n].renew(at(sent));
                    self.roads[n].hear(now, at(sent), &shares);
                    self.got[n] = self.got[n].max(number);
                }
            }
        }

        /// The most that was let through in any window, over what is granted.
        fn worst(&self) -> f64 {
            let granted = (self.tenant.rate * 5.0 + self.tenant.burst) * 1.1 + 20.0;
            let mut by_ms: HashMap<u64, u64> = HashMap::new();
            self.passed.iter().for_each(|ms| *by_ms.entry(*ms / 10).or_default() += 1);
            let end = self.passed.last().copied().unwrap_or(0) / 10;
            let sum = |from: u64| (from..from + 500).filter_map(|m| by_ms.get(&m)).sum::<u64>();
            (0..=end).step_by(5).map(|from| sum(from) as f64 / granted).fold(0.0, f64::max)
        }
    }

    /// A tenant that all at once sends many times its usual, at few or many gatekeepers, small or large.
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
            assert!(worst <= 1.0, "{n} gatekeepers, {rate} a second: {worst:.3} of what is granted");
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
                    load = std::array::from_fn(|_| 30.0 * world.rng.unit());
                }
                world.step(ms, &|n| load[n]);
                if ms == 9_000 {
                    // One starts anew.
                    world.roads[2] = Buckets::new(20.0, 0.1);
                    world.roads[2].shared_by(6);
                }
            }
            let worst = world.worst();
            assert!(worst <= 1.0, "seed {seed}: {worst:.3} of what is granted");
        }
    }

    /// A tenant whose requests come in unevenly, or thinly at many gatekeepers, still gets its quota.
    #[test]
    fn quotas_are_given() {
        // Gatekeepers, rate, and the part of the load that two of them get.
        for (n, rate, at_two) in
            [(8, 40.0, 0.9), (8, 40.0, 0.25), (11, 6.0, 0.2), (89, 18.0, 0.03), (89, 3.0, 0.03)]
        {
            let mut world = World::new(rate, n, n as u64);
            let all = rate / 1.6;
            let load =
                |m: usize| if m < 2 { all * at_two / 2.0 } else { all * (1.0 - at_two) / (n - 2) as f64 };
            let mut before = (0, 0);
            for ms in (0..40_000).step_by(10) {
                if ms == 10_000 {
                    before = (world.passed.len(), world.refused);
                }
                world.step(ms, &load);
            }
            let (passed, refused) = (world.passed.len() - before.0, world.refused - before.1);
            let share = refused as f64 / (passed as u64 + refused) as f64;
            assert!(share < 0.04, "{n} gatekeepers, {rate} a second: {share:.3} refused with room left");
        }
    }
}
