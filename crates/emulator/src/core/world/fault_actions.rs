//! What each fault does to machines, links and disks.

use super::*;
use rand::seq::{IndexedRandom, SliceRandom};

impl World {
    pub(super) fn log_event(&mut self, what: String) {
        if self.told.len() < 400 {
            self.told.push(format!("{:.3} {what}", (self.now - self.began_at).secs()));
        }
    }

    pub fn log_controllers(&mut self) {
        for m in EDGES..self.machines.len() {
            let machine = &self.machines[m];
            let found = machine.disk.found().map(|r| (r.disk, r.term, r.last));
            let stands = self.controller(m).map(|h| {
                let c = &h.consensus;
                let voters: Vec<String> = c
                    .voters()
                    .iter()
                    .map(|v| format!("{}/{}", self::machine(v.node), v.disk % 1000))
                    .collect();
                format!(
                    "leads {} leader {:?} term {} committed {:?} voters {voters:?}",
                    c.is_established_leader(),
                    c.leader().map(self::machine),
                    c.term(),
                    c.committed()
                )
            });
            let frozen = machine.frozen;
            let what = format!(
                "controller {m}: present {}, frozen {frozen}, {stands:?}, disk {found:?}",
                machine.present
            );
            self.log_event(what);
        }
    }

    pub(super) fn target(&mut self, target: Target) -> Option<usize> {
        let runs: Vec<usize> = self.controllers().filter(|m| self.machines[*m].process.is_some()).collect();
        let leader = self.leader();
        match target {
            Target::Leader => leader,
            Target::Follower => {
                let others: Vec<usize> = runs.into_iter().filter(|m| Some(*m) != leader).collect();
                others.choose(&mut self.chance).copied()
            }
            Target::Any => runs.choose(&mut self.chance).copied(),
            Target::Number(n) => Some(EDGES + n).filter(|m| runs.contains(m)),
        }
    }

    /// Whether one more may be lost now, inside the fault budget.
    pub(super) fn may_lose(&self, machine: usize) -> bool {
        let lost = |m: &usize| *m != machine && self.machines[*m].lost_until > self.now;
        let missing = (2 * self.tolerated + 1).saturating_sub(self.controllers().count());
        self.controllers().filter(lost).count() + missing < self.tolerated
    }

    pub(super) fn all_well(&self) -> bool {
        let missing = (2 * self.tolerated + 1).saturating_sub(self.controllers().count());
        missing == 0 && self.controllers().all(|m| self.machines[m].lost_until <= self.now)
    }

    pub(super) fn cut(&mut self, pairs: Vec<(usize, usize)>, long: Span) {
        self.cuts += 1;
        let cut = self.cuts;
        self.cut_now.push(cut);
        pairs.into_iter().for_each(|(from, to)| self.lines.cut(from, to));
        self.troubled_at = self.now;
        self.plan(long, Next::Mend { cut });
    }

    pub(super) fn loses(&mut self, machine: usize, long: u64) {
        self.harmed(machine);
        self.machines[machine].lost_until = self.now + ms(long) + CATCH_UP;
    }

    pub(super) fn fault(&mut self, fault: Fault) {
        let leader = self.leader();
        self.log_event(format!("{fault:?}, {leader:?} leads"));
        match fault {
            Fault::Kill { target, down } | Fault::Power { target, down } => {
                let power = matches!(fault, Fault::Power { .. });
                let Some(machine) = self.target(target).filter(|m| self.may_lose(*m) || self.beyond_budget)
                else {
                    return;
                };
                self.stop(machine, power, Some(ms(down)));
            }
            Fault::All { power, down } => {
                for machine in self.controllers().collect::<Vec<_>>() {
                    let later = down + self.chance.random_range(0..200);
                    self.stop(machine, power, Some(ms(later)));
                }
            }
            Fault::Wipe { target, others, down } => {
                let Some(machine) = self.target(target).filter(|_| self.all_well()) else { return };
                for other in self.controllers().collect::<Vec<_>>() {
                    if other == machine || others {
                        let later = down + self.chance.random_range(0..300);
                        self.stop(other, true, Some(ms(later)));
                    }
                }
                self.machines[machine].disk.wipe();
            }
            Fault::WipeToBudget { target, down } => {
                let Some(first) = self.target(target).filter(|_| self.all_well()) else { return };
                let mut others: Vec<usize> = self.controllers().filter(|m| *m != first).collect();
                others.shuffle(&mut self.chance);
                let wiped: Vec<usize> = std::iter::once(first).chain(others.iter().copied()).collect();
                for machine in self.controllers().collect::<Vec<_>>() {
                    let later = down + self.chance.random_range(0..300);
                    self.stop(machine, true, Some(ms(later)));
                }
                wiped.iter().take(self.tolerated).for_each(|m| self.machines[*m].disk.wipe());
            }
            Fault::Freeze { target, long } => {
                let Some(machine) = self.target(target).filter(|m| self.may_lose(*m)) else { return };
                self.machines[machine].frozen = true;
                self.loses(machine, long);
                let instance = self.machines[machine].instance;
                self.plan(ms(long), Next::Thaw { machine, instance });
            }
            Fault::OneWay { target, hears, long } => {
                let Some(machine) = self.target(target).filter(|m| self.may_lose(*m)) else { return };
                let others: Vec<usize> = self.controllers().filter(|m| *m != machine).collect();
                let way = |o: usize| if hears { (machine, o) } else { (o, machine) };
                self.cut(others.into_iter().map(way).collect(), ms(long));
                self.loses(machine, long);
            }
            Fault::CutOff { target, long } => {
                let Some(machine) = self.target(target).filter(|m| self.may_lose(*m) || self.beyond_budget)
                else {
                    return;
                };
                let others: Vec<usize> = self.controllers().filter(|m| *m != machine).collect();
                let pairs = others.into_iter().flat_map(|o| [(machine, o), (o, machine)]).collect();
                self.cut(pairs, ms(long));
                self.loses(machine, long);
            }
            Fault::Split { long } => {
                let Some(leader) = self.leader() else { return };
                let newest = self.controllers().max();
                let is_here = |m: &usize| *m == leader || Some(*m) == newest;
                let (here, there): (Vec<usize>, Vec<usize>) = self.controllers().partition(is_here);
                let mut pairs = Vec::new();
                for a in &here {
                    pairs.extend(there.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
                }
                self.cut(pairs, ms(long));
                for machine in self.controllers().collect::<Vec<_>>() {
                    self.loses(machine, long);
                }
            }
            Fault::SlowDisk { target, sync, long } => {
                let Some(machine) = self.target(target) else { return };
                self.machines[machine].disk.sync = ms(sync);
                self.slows(long);
                self.plan(ms(long), Next::Quick { machine });
            }
            Fault::HangDisk { target, long } | Fault::FullDisk { target, long } => {
                let Some(machine) = self.target(target).filter(|m| self.may_lose(*m)) else { return };
                let until = self.now + ms(long);
                let disk = &mut self.machines[machine].disk;
                match fault {
                    Fault::HangDisk { .. } => disk.hangs_until = until,
                    _ => disk.full_until = until,
                }
                self.slows(long);
                self.loses(machine, long);
            }
            Fault::Term { target, back } => {
                let Some(machine) = self.target(target).filter(|m| self.may_lose(*m) || back.is_none())
                else {
                    return;
                };
                let now = self.clock(machine);
                if self.machines[machine].frozen {
                    return;
                }
                let Some(Process::Controller(controller)) = &mut self.machines[machine].process else {
                    return;
                };
                controller.consensus.begin_shutdown(now);
                let instance = self.machines[machine].instance;
                self.harmed(machine);
                self.plan_at(machine, self.now + ms(50), Event::MayEnd);
                match back {
                    // It ends by itself within its grace, and comes back.
                    Some(down) => self.plan(GRACE + ms(down), Next::Back { machine, instance: instance + 1 }),
                    None => self.machines[machine].present = false,
                }
                self.after(machine);
            }
            Fault::Gone { target } | Fault::Removed { target } => {
                let Some(machine) = self.target(target).filter(|m| self.may_lose(*m)) else { return };
                self.stop(machine, true, None);
                self.machines[machine].present = false;
                if let Fault::Removed { .. } = fault {
                    self.removed = Some(machine);
                } else {
                    self.machines[machine].disk.wipe();
                }
                self.troubled_at = self.now;
            }
            Fault::Returns => {
                if let Some(machine) = self.removed.take() {
                    self.machines[machine].present = true;
                    self.start(machine);
                }
            }
            Fault::New { stale } => {
                // Stale: as the operator's list, which lags, has them.
                let of: Vec<usize> = if stale { self.listed.clone() } else { self.controllers().collect() };
                let mut seeds: Vec<SocketAddr> = of.into_iter().map(address).collect();
                while seeds.len() > 3 {
                    let which = self.chance.random_range(0..seeds.len());
                    seeds.remove(which);
                }
                let machine = self.add(false, seeds);
                self.start(machine);
            }
            Fault::EdgeCut { long } => {
                let edge = self.chance.random_range(0..EDGES);
                let controllers: Vec<usize> = self.controllers().collect();
                let Some(controller) = controllers.choose(&mut self.chance).copied() else { return };
                let all = self.chance.random_bool(0.5);
                let one_way = self.chance.random_bool(0.4);
                let of = controllers.into_iter().filter(|h| all || *h == controller);
                let pairs =
                    of.flat_map(|h| [(edge, h), if one_way { (edge, h) } else { (h, edge) }]).collect();
                self.cut(pairs, ms(long));
                self.loses(edge, long);
            }
            Fault::EdgeFrozen { long } => {
                let edge = self.chance.random_range(0..EDGES);
                self.machines[edge].frozen = true;
                self.loses(edge, long);
                let instance = self.machines[edge].instance;
                self.plan(ms(long), Next::Thaw { machine: edge, instance });
            }
            Fault::AfterAck(fault) => self.armed = Some(*fault),
            Fault::AfterVote { long } => self.votes_armed = Some(ms(long)),
        }
    }

    pub(super) fn slows(&mut self, long: u64) {
        self.slow_until = self.slow_until.max(self.now + ms(long));
        self.troubled_at = self.now;
    }
}
