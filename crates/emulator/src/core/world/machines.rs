//! Processes on machines: how they start, stop, stand still and go on.

use super::*;

impl World {
    pub(super) fn start(&mut self, machine: usize) {
        let ahead = ms(self.chance.random_range(1..7_200_000));
        let seed = self.chance.random();
        let m = &mut self.machines[machine];
        let is_first = m.instance == 0 && m.began_at == self.began_at;
        m.instance += 1;
        (m.ahead, m.frozen, m.began_at, m.wakes_at, m.works) = (ahead, false, self.now, None, false);
        m.known.clear();
        m.waiting.clear();
        let now = self.now + ahead;
        if m.is_edge {
            m.process = Some(Process::Edge(Box::default()));
            let offset = ms(self.chance.random_range(0..1_000));
            self.plan_at(machine, self.now + offset, Event::Ping);
        } else {
            let found = m.disk.found();
            let is_emptied = found.is_none() && !is_first;
            let bootstrap = is_first || is_emptied && self.fault == Some(DeliberateFault::EmptiedVotes);
            let boot = ConsensusConfig {
                me: address(machine),
                seeds: &m.seeds,
                rng_seed: seed,
                stored: found,
                bootstrap,
                tolerated_disk_losses: self.tolerated,
                catch_up_time: CATCH_UP,
            };
            let controller = Controller::start(now, boot, &m.disk.instances, BEAT, self.fault);
            m.process = Some(Process::Controller(Box::new(controller)));
            self.plan_at(machine, self.now + ms(500), Event::Sweep);
        }
        for seed in self.machines[machine].seeds.clone() {
            self.knows(machine, self::machine(seed));
        }
        self.plan_at(machine, self.now, Event::Lines);
        if !is_first {
            self.harmed(machine);
        }
        self.after(machine);
    }

    /// A fault begins or ends at a machine: from now on it counts as lost for a while, and the core as unsettled.
    pub(super) fn harmed(&mut self, machine: usize) {
        self.log_event(format!(
            "machine {machine} is harmed: runs {}",
            self.machines[machine].process.is_some()
        ));
        let m = &mut self.machines[machine];
        m.lost_until = m.lost_until.max(self.now + CATCH_UP);
        self.troubled_at = self.troubled_at.max(self.now);
    }

    pub(super) fn stop(&mut self, machine: usize, power: bool, down: Option<Span>) {
        if self.machines[machine].process.is_none() {
            return;
        }
        let reached = self.chance.random_bool(0.5);
        let m = &mut self.machines[machine];
        m.process = None;
        m.frozen = false;
        m.waiting.clear();
        m.instance += 1;
        m.disk.cut_short(reached);
        let instance = m.instance;
        self.lines.close_all(machine);
        for other in EDGES..self.machines.len() {
            if machine < EDGES
                && let Some(Process::Controller(controller)) = &mut self.machines[other].process
            {
                controller.unfollow(machine);
            }
        }
        if !power {
            let open: Vec<u64> =
                self.calls.iter().filter(|(_, c)| c.controller == machine).map(|(n, _)| *n).collect();
            open.into_iter().for_each(|call| self.plan(ms(2), Next::Answered { call, answer: None }));
        }
        self.harmed(machine);
        if let Some(down) = down {
            self.machines[machine].lost_until = self.now + down + CATCH_UP;
            self.plan(down, Next::Back { machine, instance });
        }
    }

    /// One that was told to end has ended.
    pub(super) fn ends(&mut self, machine: usize) {
        self.stop(machine, false, None);
    }

    pub(super) fn thaw(&mut self, machine: usize) {
        if !self.machines[machine].frozen {
            return;
        }
        self.machines[machine].frozen = false;
        self.harmed(machine);
        let mut waiting = std::mem::take(&mut self.machines[machine].waiting);
        // What came over lines comes in order; timers may be looked at before it, or after.
        if self.chance.random_bool(0.5) {
            waiting.sort_by_key(|e| matches!(e, Event::Hears { .. } | Event::Called { .. }));
        } else {
            waiting.sort_by_key(|e| !matches!(e, Event::Hears { .. } | Event::Called { .. }));
        }
        let instance = self.machines[machine].instance;
        for event in waiting {
            if self.machines[machine].instance == instance {
                self.does(machine, event);
            }
        }
    }

    pub(super) fn mend(&mut self) {
        let now = self.now;
        let chance = &mut self.chance;
        let late = || chance.random_bool(0.7).then(|| ms(chance.random_range(0..300)));
        let held = self.lines.mend(now, late);
        for (at, from, ends, word) in held {
            self.arrives(at, from, ends, word);
        }
        self.troubled_at = self.troubled_at.max(now);
    }

    /// Nothing is wrong any more: cuts are mended, disks are quick, whoever stands still or is down goes on.
    pub(super) fn calm(&mut self) {
        self.armed = None;
        self.votes_armed = None;
        self.cut_now.clear();
        self.mend();
        for machine in 0..self.machines.len() {
            let m = &mut self.machines[machine];
            m.disk.sync = ms(1);
            m.disk.hangs_until = m.disk.hangs_until.min(self.now);
            m.disk.full_until = m.disk.full_until.min(self.now);
            self.thaw(machine);
            if self.machines[machine].present && self.machines[machine].process.is_none() {
                self.start(machine);
            }
        }
        let missing = (2 * self.tolerated + 1).saturating_sub(self.controllers().count());
        (0..missing).for_each(|_| self.fault(Fault::New { stale: false }));
        self.slow_until = self.now;
        self.troubled_at = self.now;
    }
}
