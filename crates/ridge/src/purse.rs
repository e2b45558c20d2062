//! The purse: how a tenant's quota is split over the gatekeepers, by what each of them counted, and the window's
//! total. Held by every core alike, from the counts that all gatekeepers say each second; the core that leads
//! answers with it. No request waits for it.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_trailbook::configuration::Tenant;
use lynxstair_trailbook::words::{Count, Share};

/// The part of the quota that is split evenly, and that a gatekeeper may spend whatever it hears.
pub const FLOOR: f64 = 0.4;
/// The weight of a new count in what a gatekeeper needs. One that chance does not explain, so many deviations above,
/// counts at once.
const FRESH: f64 = 0.12;
const DEVIATIONS: f64 = 3.0;
/// A gatekeeper that says nothing keeps what it was given for so long, longer than it spends it; and it is counted
/// as one of them for as long as this.
const RESERVED: Span = Span::from_millis(7000);
const COUNTED: Span = Span::from_millis(12_000);
/// A need below this, in requests a second, is taken for this: whoever has none may get some at any time.
const LEAST_NEED: f64 = 0.3;

#[derive(Debug, Default)]
struct Spender {
    zone: String,
    heard_at: Time,
    /// What it needs for each tenant, in requests a second.
    needs: HashMap<String, f64>,
    /// The part of each tenant's quota that it holds, or was given since it last said what it holds.
    holds: HashMap<String, f64>,
}

#[derive(Debug, Default)]
pub struct Purse {
    spenders: HashMap<String, Spender>,
    /// The window that is counted, and what all let through in it, by tenant.
    window: u64,
    totals: HashMap<String, f64>,
}

impl Purse {
    /// A gatekeeper says what it counted, and which parts it holds.
    pub fn hear(
        &mut self,
        now: Time,
        node: &str,
        zone: &str,
        (counts, holds): (&[Count], &[(String, f32)]),
        window: Span,
    ) {
        let number = now.periods(window);
        if number != self.window {
            self.window = number;
            self.totals.clear();
        }
        let spender = self.spenders.entry(node.to_string()).or_default();
        let gap = (now - spender.heard_at).secs().clamp(0.2, 2.0);
        spender.zone = zone.to_string();
        spender.heard_at = now;
        spender.holds = holds.iter().map(|(t, p)| (t.clone(), f64::from(*p))).collect();
        let weight = FRESH * gap.min(1.0);
        for need in spender.needs.values_mut() {
            *need *= 1.0 - weight;
        }
        for count in counts {
            *self.totals.entry(count.tenant.clone()).or_default() += f64::from(count.passed);
            let need = spender.needs.entry(count.tenant.clone()).or_default();
            let seen = f64::from(count.passed + count.refused) / gap;
            *need += weight * seen;
            if seen > *need + DEVIATIONS * (*need + 1.0).sqrt() {
                *need = seen;
            }
        }
        spender.needs.retain(|_, n| *n > 0.001);
        self.spenders.retain(|_, s| now - s.heard_at < COUNTED);
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

    /// What one gatekeeper's buckets may hold. All that is held anywhere never comes to more than the quota: who needs
    /// more gets it once another has said that it holds less.
    pub fn shares(&mut self, now: Time, node: &str, tenants: &[Tenant], window: Span) -> Vec<Share> {
        let n = self.spenders.len().max(1) as f64;
        let floor = FLOOR / n;
        let left = Span::from_nanos(window.nanos() - now.nanos() % window.nanos().max(1));
        let need = |s: &Spender, tenant: &str| s.needs.get(tenant).copied().unwrap_or(0.0).max(LEAST_NEED);
        let mut shares = Vec::new();
        for tenant in tenants.iter().filter(|t| t.rate > 0.0) {
            let is_reserved = |s: &Spender| now - s.heard_at < RESERVED;
            let heard = self.spenders.values().filter(|s| is_reserved(s));
            let all: f64 = heard.map(|s| need(s, &tenant.name)).sum();
            let own = self.spenders.get(node).map_or(LEAST_NEED, |s| need(s, &tenant.name));
            let wanted = floor + (1.0 - FLOOR) * (own / all.max(own));
            let others = self.spenders.iter().filter(|(other, _)| *other != node).map(|(_, s)| {
                let holds = s.holds.get(&tenant.name).copied().filter(|_| is_reserved(s));
                holds.unwrap_or(floor).max(floor)
            });
            let part = wanted.min(1.0 - others.sum::<f64>()).max(floor);
            if let Some(spender) = self.spenders.get_mut(node) {
                let holds = spender.holds.entry(tenant.name.clone()).or_default();
                *holds = holds.max(part);
            }
            let total = self.totals.get(&tenant.name).copied().unwrap_or(0.0);
            let allowed = tenant.burst + tenant.rate * window.secs();
            let closed = if total > allowed { (left.nanos() / 1_000_000) as u32 } else { 0 };
            shares.push(Share { tenant: tenant.name.clone(), part: part as f32, closed_ms: closed });
        }
        shares
    }
}

#[cfg(test)]
mod tests {
    use std::collections::HashMap;

    use lynxstair::types::{Span, Time};
    use lynxstair_trailbook::configuration::Tenant;

    use super::Purse;
    use crate::buckets::Buckets;

    const WINDOW: Span = Span::from_millis(5000);
    /// What the operators' rule grants besides, in requests and as a part.
    const SLACK: (f64, f64) = (20.0, 0.1);

    fn tenant() -> Tenant {
        Tenant { name: "t".into(), priority: None, rate: 40.0, burst: 40.0, homes: vec![] }
    }

    /// What the gatekeepers let through in any five seconds, over a drawn story of load that moves, answers that are
    /// lost, gatekeepers that fall silent and start anew, stays within what the operators' rule grants.
    #[test]
    fn the_sum_stays_within_the_quota() {
        arbtest::arbtest(|u| {
            let (tenant, mut purse) = (tenant(), Purse::default());
            let mut roads: Vec<Buckets> = (0..6).map(|_| Buckets::new(SLACK)).collect();
            roads.iter_mut().for_each(|r| r.shared_by(6));
            let mut passed: Vec<u64> = Vec::new();
            let mut load = vec![0u32; 6];
            let mut restarts = 0;
            for tick in 0..300u64 {
                let now = Time::from_nanos((100_000 + tick * 100) * 1_000_000);
                if tick % 20 == 0 {
                    for l in &mut load {
                        *l = u.int_in_range(0..=30)?;
                    }
                }
                for (n, road) in roads.iter_mut().enumerate() {
                    for _ in 0..load[n] {
                        if road.admit(now, &tenant).is_ok() {
                            passed.push(tick);
                        }
                    }
                    if tick % 10 == n as u64 && u.ratio(8, 10)? {
                        let holds = road.holds(now);
                        purse.hear(now, &n.to_string(), "z", (&road.counts(), &holds), WINDOW);
                        if u.ratio(9, 10)? {
                            road.hear(
                                now,
                                now,
                                &purse.shares(now, &n.to_string(), std::slice::from_ref(&tenant), WINDOW),
                            );
                        }
                    }
                }
                if u.ratio(1, 100)? && restarts < 2 {
                    restarts += 1;
                    let n = u.int_in_range(0..=5)?;
                    roads[n] = Buckets::new(SLACK);
                    roads[n].shared_by(6);
                }
            }
            let mut by_tick: HashMap<u64, u64> = HashMap::new();
            passed.iter().for_each(|t| *by_tick.entry(*t).or_default() += 1);
            for start in 0..250 {
                let sum: u64 = (start..start + 50).filter_map(|t| by_tick.get(&t)).sum();
                assert!(sum <= 284, "{sum} in five seconds from tick {start}");
            }
            Ok(())
        });
    }

    /// A tenant whose requests come in unevenly still gets its quota, once the counts are known.
    #[test]
    fn an_uneven_tenant_gets_its_quota() {
        let (tenant, mut purse) = (tenant(), Purse::default());
        let mut roads: Vec<Buckets> = (0..8).map(|_| Buckets::new(SLACK)).collect();
        let (mut asked, mut refused) = (0, 0);
        for tick in 0..300u64 {
            let now = Time::from_nanos((100_000 + tick * 100) * 1_000_000);
            for (n, road) in roads.iter_mut().enumerate() {
                road.shared_by(8);
                // 25 a second of 40, nearly all at two of eight.
                let due = if n < 2 { tick % 10 != 0 } else { n == 2 && tick % 10 < 7 && tick % 2 == 0 };
                if due {
                    for _ in 0..if n < 2 { 1 } else { 2 } {
                        asked += u32::from(tick > 30);
                        refused += u32::from(road.admit(now, &tenant).is_err() && tick > 30);
                    }
                }
                if tick % 10 == n as u64 {
                    let holds = road.holds(now);
                    purse.hear(now, &n.to_string(), "z", (&road.counts(), &holds), WINDOW);
                    road.hear(
                        now,
                        now,
                        &purse.shares(now, &n.to_string(), std::slice::from_ref(&tenant), WINDOW),
                    );
                }
            }
        }
        assert!(refused * 50 < asked, "{refused} of {asked} refused with room left");
    }
}
