//! Effects of each fault on machines, links and disks, and the event log.

use super::*;
use rand::seq::{IndexedRandom, SliceRandom};

impl World {
    /// Adds a line to the event log, which keeps the first 400.
    pub(super) fn log_event(&mut self, event: String) {
        if self.event_log.len() < 400 {
            self.event_log.push(format!("{:.3} {event}", (self.now - self.began_at).secs()));
        }
    }

    pub fn log_controller_states(&mut self) {
        for m in PROXY_COUNT..self.machines.len() {
            let machine = &self.machines[m];
            let stored = machine.disk.load().map(|s| (s.disk, s.term, s.last));
            let status = self.controller(m).map(|controller| {
                let c = &controller.consensus;
                let voters: Vec<String> = c
                    .voters()
                    .iter()
                    .map(|v| format!("{}/{}", self::machine(v.node), v.disk % 1000))
                    .collect();
                format!(
                    "is leader {}, leader {:?} term {} committed {:?} voters {voters:?}",
                    c.is_established_leader(),
                    c.leader().map(self::machine),
                    c.term(),
                    c.committed()
                )
            });
            let is_paused = machine.is_paused;
            let state = format!(
                "controller {m}: deployed {}, paused {is_paused}, {status:?}, disk {stored:?}",
                machine.is_deployed
            );
            self.log_event(state);
        }
    }

    /// Picks the controller that a fault hits, or `None` if there is none that runs.
    pub(super) fn resolve_target(&mut self, target: Target) -> Option<usize> {
        let runs: Vec<usize> = self.controllers().filter(|m| self.machines[*m].process.is_some()).collect();
        let leader = self.leader();
        match target {
            Target::Leader => leader,
            Target::Follower => {
                let others: Vec<usize> = runs.into_iter().filter(|m| Some(*m) != leader).collect();
                others.choose(&mut self.rng).copied()
            }
            Target::Any => runs.choose(&mut self.rng).copied(),
            Target::Number(n) => Some(PROXY_COUNT + n).filter(|m| runs.contains(m)),
        }
    }

    /// Returns `true` if the loss of this machine is within the fault budget.
    pub(super) fn is_loss_within_budget(&self, machine: usize) -> bool {
        let lost = |m: &usize| *m != machine && self.machines[*m].lost_until > self.now;
        let missing = (2 * self.tolerated_disk_losses + 1).saturating_sub(self.controllers().count());
        self.controllers().filter(lost).count() + missing < self.tolerated_disk_losses
    }

    /// Returns `true` if no controller is missing or counts as lost.
    pub(super) fn has_full_budget(&self) -> bool {
        let missing = (2 * self.tolerated_disk_losses + 1).saturating_sub(self.controllers().count());
        missing == 0 && self.controllers().all(|m| self.machines[m].lost_until <= self.now)
    }

    /// Cuts links for a time. They heal once no cut is active any more.
    pub(super) fn cut_links(&mut self, pairs: Vec<(usize, usize)>, duration: Span) {
        self.cut_count += 1;
        let cut = self.cut_count;
        self.active_cuts.push(cut);
        pairs.into_iter().for_each(|(from, to)| self.links.cut(from, to));
        self.last_disturbed_at = self.now;
        self.schedule(duration, WorldEvent::CutEnds { cut });
    }

    /// Counts a machine as lost for the duration of a fault and the time to catch up.
    pub(super) fn mark_lost(&mut self, machine: usize, duration_ms: u64) {
        self.on_disturbed(machine);
        self.machines[machine].lost_until = self.now + ms(duration_ms) + CATCH_UP_TIME;
    }

    pub(super) fn inject(&mut self, fault: Fault) {
        let leader = self.leader();
        self.log_event(format!("{fault:?}, leader {leader:?}"));
        match fault {
            Fault::Kill { target, down } | Fault::Power { target, down } => {
                let is_power_loss = matches!(fault, Fault::Power { .. });
                let Some(machine) = self
                    .resolve_target(target)
                    .filter(|m| self.is_loss_within_budget(*m) || self.ignores_fault_budget)
                else {
                    return;
                };
                self.stop(machine, is_power_loss, Some(ms(down)));
            }
            Fault::All { power, down } => {
                for machine in self.controllers().collect::<Vec<_>>() {
                    let restart_after = down + self.rng.random_range(0..200);
                    self.stop(machine, power, Some(ms(restart_after)));
                }
            }
            Fault::Wipe { target, others, down } => {
                let Some(machine) = self.resolve_target(target).filter(|_| self.has_full_budget()) else {
                    return;
                };
                for other in self.controllers().collect::<Vec<_>>() {
                    if other == machine || others {
                        let restart_after = down + self.rng.random_range(0..300);
                        self.stop(other, true, Some(ms(restart_after)));
                    }
                }
                self.machines[machine].disk.wipe();
            }
            Fault::WipeToBudget { target, down } => {
                let Some(first) = self.resolve_target(target).filter(|_| self.has_full_budget()) else {
                    return;
                };
                let mut others: Vec<usize> = self.controllers().filter(|m| *m != first).collect();
                others.shuffle(&mut self.rng);
                let wiped: Vec<usize> = std::iter::once(first).chain(others.iter().copied()).collect();
                for machine in self.controllers().collect::<Vec<_>>() {
                    let restart_after = down + self.rng.random_range(0..300);
                    self.stop(machine, true, Some(ms(restart_after)));
                }
                wiped.iter().take(self.tolerated_disk_losses).for_each(|m| self.machines[*m].disk.wipe());
            }
            Fault::Freeze { target, long } => {
                let Some(machine) = self.resolve_target(target).filter(|m| self.is_loss_within_budget(*m))
                else {
                    return;
                };
                self.machines[machine].is_paused = true;
                self.mark_lost(machine, long);
                let instance = self.machines[machine].instance;
                self.schedule(ms(long), WorldEvent::Resume { machine, instance });
            }
            Fault::OneWay { target, hears, long } => {
                let Some(machine) = self.resolve_target(target).filter(|m| self.is_loss_within_budget(*m))
                else {
                    return;
                };
                let others: Vec<usize> = self.controllers().filter(|m| *m != machine).collect();
                let direction = |o: usize| if hears { (machine, o) } else { (o, machine) };
                self.cut_links(others.into_iter().map(direction).collect(), ms(long));
                self.mark_lost(machine, long);
            }
            Fault::CutOff { target, long } => {
                let Some(machine) = self
                    .resolve_target(target)
                    .filter(|m| self.is_loss_within_budget(*m) || self.ignores_fault_budget)
                else {
                    return;
                };
                let others: Vec<usize> = self.controllers().filter(|m| *m != machine).collect();
                let pairs = others.into_iter().flat_map(|o| [(machine, o), (o, machine)]).collect();
                self.cut_links(pairs, ms(long));
                self.mark_lost(machine, long);
            }
            Fault::Split { long } => {
                let Some(leader) = self.leader() else { return };
                let newest = self.controllers().max();
                let is_on_leader_side = |m: &usize| *m == leader || Some(*m) == newest;
                let (leader_side, other_side): (Vec<usize>, Vec<usize>) =
                    self.controllers().partition(is_on_leader_side);
                let mut pairs = Vec::new();
                for a in &leader_side {
                    pairs.extend(other_side.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
                }
                self.cut_links(pairs, ms(long));
                for machine in self.controllers().collect::<Vec<_>>() {
                    self.mark_lost(machine, long);
                }
            }
            Fault::SlowDisk { target, sync, long } => {
                let Some(machine) = self.resolve_target(target) else { return };
                self.machines[machine].disk.write_duration = ms(sync);
                self.on_slow_disk(long);
                self.schedule(ms(long), WorldEvent::DiskRecovers { machine });
            }
            Fault::HangDisk { target, long } | Fault::FullDisk { target, long } => {
                let Some(machine) = self.resolve_target(target).filter(|m| self.is_loss_within_budget(*m))
                else {
                    return;
                };
                let until = self.now + ms(long);
                let disk = &mut self.machines[machine].disk;
                match fault {
                    Fault::HangDisk { .. } => disk.hangs_until = until,
                    _ => disk.full_until = until,
                }
                self.on_slow_disk(long);
                self.mark_lost(machine, long);
            }
            Fault::Term { target, back } => {
                let Some(machine) =
                    self.resolve_target(target).filter(|m| self.is_loss_within_budget(*m) || back.is_none())
                else {
                    return;
                };
                let now = self.clock(machine);
                if self.machines[machine].is_paused {
                    return;
                }
                let Some(Process::Controller(controller)) = &mut self.machines[machine].process else {
                    return;
                };
                controller.consensus.begin_shutdown(now);
                let instance = self.machines[machine].instance;
                self.on_disturbed(machine);
                self.schedule_process_event(machine, self.now + ms(50), ProcessEvent::CheckShutdown);
                match back {
                    // The process exits on its own within `SHUTDOWN_GRACE`.
                    Some(down) => self.schedule(
                        SHUTDOWN_GRACE + ms(down),
                        WorldEvent::Restart { machine, instance: instance + 1 },
                    ),
                    None => self.machines[machine].is_deployed = false,
                }
                self.execute_outputs(machine);
            }
            Fault::Gone { target } | Fault::Removed { target } => {
                let Some(machine) = self.resolve_target(target).filter(|m| self.is_loss_within_budget(*m))
                else {
                    return;
                };
                self.stop(machine, true, None);
                self.machines[machine].is_deployed = false;
                if let Fault::Removed { .. } = fault {
                    self.removed_machine = Some(machine);
                } else {
                    self.machines[machine].disk.wipe();
                }
                self.last_disturbed_at = self.now;
            }
            Fault::Returns => {
                if let Some(machine) = self.removed_machine.take() {
                    self.machines[machine].is_deployed = true;
                    self.start(machine);
                }
            }
            Fault::New { stale } => {
                // The list of controllers is refreshed only periodically.
                let controllers: Vec<usize> =
                    if stale { self.listed_controllers.clone() } else { self.controllers().collect() };
                let mut seeds: Vec<SocketAddr> = controllers.into_iter().map(address).collect();
                while seeds.len() > 3 {
                    let index = self.rng.random_range(0..seeds.len());
                    seeds.remove(index);
                }
                let machine = self.add_machine(false, seeds);
                self.start(machine);
            }
            Fault::EdgeCut { long } => {
                let proxy = self.rng.random_range(0..PROXY_COUNT);
                let controllers: Vec<usize> = self.controllers().collect();
                let Some(controller) = controllers.choose(&mut self.rng).copied() else { return };
                let cuts_all = self.rng.random_bool(0.5);
                let is_one_way = self.rng.random_bool(0.4);
                let cut = controllers.into_iter().filter(|c| cuts_all || *c == controller);
                let pairs = cut
                    .flat_map(|c| [(proxy, c), if is_one_way { (proxy, c) } else { (c, proxy) }])
                    .collect();
                self.cut_links(pairs, ms(long));
                self.mark_lost(proxy, long);
            }
            Fault::EdgeFrozen { long } => {
                let proxy = self.rng.random_range(0..PROXY_COUNT);
                self.machines[proxy].is_paused = true;
                self.mark_lost(proxy, long);
                let instance = self.machines[proxy].instance;
                self.schedule(ms(long), WorldEvent::Resume { machine: proxy, instance });
            }
            Fault::AfterAck(fault) => self.fault_after_ack = Some(*fault),
            Fault::AfterVote { long } => self.cut_after_vote = Some(ms(long)),
        }
    }

    pub(super) fn on_slow_disk(&mut self, duration_ms: u64) {
        self.slow_disk_until = self.slow_disk_until.max(self.now + ms(duration_ms));
        self.last_disturbed_at = self.now;
    }
}
