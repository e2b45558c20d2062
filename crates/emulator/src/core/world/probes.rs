//! What the judges are shown: requests through the edges, and how long orders wait; and the end of a scenario.

use super::*;

impl World {
    pub fn closing_read(&mut self, operator: usize) {
        let now = self.now;
        self.operators[operator].begins(now, Wants::Read);
        self.turn(operator);
    }

    /// A change on top of what was read last.
    pub fn closing_change(&mut self, operator: usize) {
        let now = self.now;
        let last = self.judges.store.iter().rev().find_map(|c| match c.output {
            CallOutput::Holds(version) => Some(version),
            _ => None,
        });
        self.last_mark += 1;
        let wants = change(&mut self.chance, last.flatten(), self.last_mark);
        self.operators[operator].begins(now, wants);
        self.turn(operator);
    }

    pub fn read_since(&self, since: Time) -> bool {
        self.judges.store.iter().any(|c| matches!(c.output, CallOutput::Holds(_)) && c.sent_at >= since)
    }

    /// Whether an edge is fresh, and what it shows.
    pub fn edge_stands(&self, edge: usize) -> (bool, Option<crate::core::linearizability::Version>) {
        let clock = self.clock(edge);
        self.edge(edge).map_or((false, None), |e| (e.is_fresh(clock), e.in_force().map(|(v, _)| v)))
    }

    /// Workers that heartbeat, and were not acknowledged for a heartbeat and a half.
    pub fn unheard_workers(&self) -> usize {
        let heard = |w: &Worker| w.acked.last().is_some_and(|at| self.now - *at < BEAT.times(1.7));
        let old = |w: &Worker| self.now - w.began_at > ms(5_000);
        self.workers.iter().filter(|w| w.goes == Goes::Ready && old(w) && !heard(w)).count()
    }

    /// The controllers that more than half of the core runs and is connected with, where it has been calm for the contact time.
    pub fn settled(&self) -> Option<Vec<usize>> {
        if self.now - self.troubled_at < CONTACT || self.slow_until > self.now {
            return None;
        }
        let runs = |m: &usize| self.machines[*m].process.is_some() && !self.machines[*m].frozen;
        let all: Vec<usize> = self.controllers().collect();
        let best = all.iter().copied().filter(runs).map(|a| {
            let with = all.iter().copied().filter(runs).filter(|b| a == *b || self.lines.joined(a, *b));
            with.collect::<Vec<usize>>()
        });
        best.max_by_key(Vec::len).filter(|c| c.len() * 2 > all.len())
    }

    pub(super) fn probe(&mut self) {
        let now = self.now;
        let settled = self.settled();
        for edge in 0..EDGES {
            if self.machines[edge].frozen {
                continue;
            }
            let clock = self.clock(edge);
            let in_touch = settled.as_ref().is_some_and(|controllers| {
                let m = &self.machines[edge];
                m.lost_until <= now
                    && now - m.began_at > CONTACT
                    && controllers.iter().all(|h| self.lines.joined(edge, *h))
            });
            let instance = self.machines[edge].instance;
            let Some(of) = self.edge(edge) else { continue };
            let (shown, serves) = (of.in_force(), of.serves_tenants(clock, crate::core::checker::REVOKE));
            let mut broken = Vec::new();
            if in_touch {
                for worker in &self.workers {
                    let sends = of.sends_to(&worker.id());
                    let what = |what: &str| format!("edge {edge}: {} {what}", worker.id());
                    if !sends && worker.is_promised(now, crate::core::checker::CONVERGE) {
                        broken.push((Check::Promised, what("heartbeats and is heard, and gets nothing")));
                    }
                    let told = worker.out_acked_at.is_some_and(|at| {
                        now - at > crate::core::checker::DRAIN && self.troubled_at + CONTACT < at
                    });
                    let dead = worker
                        .over_at
                        .is_some_and(|at| now - at > ms(16_000) && now - self.troubled_at > ms(16_000));
                    if sends && told {
                        broken.push((Check::Drained, what("was told that it leaves, and is sent to")));
                    }
                    if sends && dead {
                        let known = self.leader().and_then(|l| self.controller(l)).map(|h| {
                            h.detector.registry().instances().get(&worker.id()).map(|known| known.state)
                        });
                        let of = format!("is dead for long, and is sent to; the leader knows {known:?}");
                        broken.push((Check::Drained, what(&of)));
                    }
                }
            }
            for (zone, name) in crate::core::ZONES.iter().enumerate() {
                let is_empty = shown.as_ref().is_some_and(|(_, zones)| zones.contains(*name));
                let must = self.judges.zone(zone, now.saturating_sub(crate::core::checker::EVACUATE));
                let newest = self.judges.zones.iter().rev().find(|c| c.zone == zone).map(|c| c.empties);
                if in_touch
                    && shown.is_some()
                    && must.is_some_and(|must| must != is_empty && newest == Some(must))
                {
                    broken
                        .push((Check::Evacuated, format!("edge {edge}: zone {name} is emptied: {is_empty}")));
                }
            }
            self.judges.edge(now, (edge, instance), shown.map(|(v, _)| v), serves, in_touch);
            for (judge, what) in broken {
                self.judges.breaks(now, judge, || what);
            }
        }
        // A call that began before the core was settled may have to be sent again.
        let since = self.troubled_at + CONTACT;
        if settled.is_some() {
            for n in 0..self.operators.len() {
                let order = &self.operators[n];
                let waits = !matches!(order.wants, Wants::Rest);
                if waits && now - order.since.max(since) > crate::core::checker::ACK {
                    let what = format!(
                        "operator {n}: {:?} waits since {:.3} s",
                        order.wants,
                        (order.since - self.began_at).secs()
                    );
                    self.judges.breaks(now, Check::Acknowledged, || what);
                }
            }
        }
    }
}
