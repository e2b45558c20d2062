//! Processes on machines: start, stop, pause and resumption, and the end of all faults.

use super::*;

impl World {
    /// Starts the process of a machine with the contents of its disk.
    pub(super) fn start(&mut self, machine: usize) {
        let clock_offset = ms(self.rng.random_range(1..7_200_000));
        let seed = self.rng.random();
        let m = &mut self.machines[machine];
        let is_first = m.instance == 0 && m.started_at == self.began_at;
        m.instance += 1;
        (m.clock_offset, m.is_paused, m.started_at, m.next_tick_at, m.is_work_scheduled) =
            (clock_offset, false, self.now, None, false);
        m.known_controllers.clear();
        m.deferred_events.clear();
        let now = self.now + clock_offset;
        if m.is_proxy {
            m.process = Some(Process::Proxy(Box::default()));
            let offset = ms(self.rng.random_range(0..1_000));
            self.schedule_process_event(machine, self.now + offset, ProcessEvent::SendHeartbeat);
        } else {
            let stored = m.disk.load();
            let is_emptied = stored.is_none() && !is_first;
            let bootstrap =
                is_first || is_emptied && self.deliberate_fault == Some(DeliberateFault::EmptiedVotes);
            let config = ConsensusConfig {
                me: address(machine),
                seeds: &m.seeds,
                rng_seed: seed,
                stored,
                bootstrap,
                tolerated_disk_losses: self.tolerated_disk_losses,
                catch_up_time: CATCH_UP_TIME,
            };
            let controller =
                Controller::start(now, config, &m.disk.instances, HEARTBEAT_PERIOD, self.deliberate_fault);
            m.process = Some(Process::Controller(Box::new(controller)));
            self.schedule_process_event(machine, self.now + ms(500), ProcessEvent::DetectUnresponsive);
        }
        for seed in self.machines[machine].seeds.clone() {
            self.add_known_controller(machine, self::machine(seed));
        }
        self.schedule_process_event(machine, self.now, ProcessEvent::OpenLinks);
        if !is_first {
            self.on_disturbed(machine);
        }
        self.execute_outputs(machine);
    }

    /// Records the begin or end of a fault at a machine: it counts as lost until it has caught up, and
    /// the core as not settled.
    pub(super) fn on_disturbed(&mut self, machine: usize) {
        self.log_event(format!(
            "machine {machine}: a fault began or ended, process runs: {}",
            self.machines[machine].process.is_some()
        ));
        let m = &mut self.machines[machine];
        m.lost_until = m.lost_until.max(self.now + CATCH_UP_TIME);
        self.last_disturbed_at = self.last_disturbed_at.max(self.now);
    }

    /// Stops the process of a machine, which restarts after `down` if it is given. A crash closes the
    /// connections of callers; after a loss of power their calls time out.
    pub(super) fn stop(&mut self, machine: usize, is_power_loss: bool, down: Option<Span>) {
        if self.machines[machine].process.is_none() {
            return;
        }
        let is_write_completed = self.rng.random_bool(0.5);
        let m = &mut self.machines[machine];
        m.process = None;
        m.is_paused = false;
        m.deferred_events.clear();
        m.instance += 1;
        m.disk.abort_writes(is_write_completed);
        let instance = m.instance;
        self.links.close_all(machine);
        for other in PROXY_COUNT..self.machines.len() {
            if machine < PROXY_COUNT
                && let Some(Process::Controller(controller)) = &mut self.machines[other].process
            {
                controller.unsubscribe(machine);
            }
        }
        if !is_power_loss {
            let open: Vec<u64> =
                self.open_calls.iter().filter(|(_, c)| c.controller == machine).map(|(n, _)| *n).collect();
            open.into_iter()
                .for_each(|call| self.schedule(ms(2), WorldEvent::Answered { call, answer: None }));
        }
        self.on_disturbed(machine);
        if let Some(down) = down {
            self.machines[machine].lost_until = self.now + down + CATCH_UP_TIME;
            self.schedule(down, WorldEvent::Restart { machine, instance });
        }
    }

    /// Stops a process whose graceful shutdown is complete.
    pub(super) fn finish_shutdown(&mut self, machine: usize) {
        self.stop(machine, false, None);
    }

    /// Resumes a paused process and handles its deferred events.
    pub(super) fn resume(&mut self, machine: usize) {
        if !self.machines[machine].is_paused {
            return;
        }
        self.machines[machine].is_paused = false;
        self.on_disturbed(machine);
        let mut deferred = std::mem::take(&mut self.machines[machine].deferred_events);
        // Received messages keep their order; timers may fire before or after them.
        if self.rng.random_bool(0.5) {
            deferred.sort_by_key(|e| matches!(e, ProcessEvent::Receive { .. } | ProcessEvent::Call { .. }));
        } else {
            deferred.sort_by_key(|e| !matches!(e, ProcessEvent::Receive { .. } | ProcessEvent::Call { .. }));
        }
        let instance = self.machines[machine].instance;
        for event in deferred {
            if self.machines[machine].instance == instance {
                self.handle_process_event(machine, event);
            }
        }
    }

    /// Ends all cuts. Messages that were held up arrive late, or their connection is lost.
    pub(super) fn heal_links(&mut self) {
        let now = self.now;
        let rng = &mut self.rng;
        let draw_delay = || rng.random_bool(0.7).then(|| ms(rng.random_range(0..300)));
        let held = self.links.heal(now, draw_delay);
        for (at, from, ends, message) in held {
            self.schedule_arrival(at, from, ends, message);
        }
        self.last_disturbed_at = self.last_disturbed_at.max(now);
    }

    /// Ends all faults: heals links, restores disks, resumes and restarts processes, and adds a machine
    /// for each missing controller.
    pub(super) fn end_faults(&mut self) {
        self.fault_after_ack = None;
        self.cut_after_vote = None;
        self.active_cuts.clear();
        self.heal_links();
        for machine in 0..self.machines.len() {
            let m = &mut self.machines[machine];
            m.disk.write_duration = ms(1);
            m.disk.hangs_until = m.disk.hangs_until.min(self.now);
            m.disk.full_until = m.disk.full_until.min(self.now);
            self.resume(machine);
            if self.machines[machine].is_deployed && self.machines[machine].process.is_none() {
                self.start(machine);
            }
        }
        let missing = (2 * self.tolerated_disk_losses + 1).saturating_sub(self.controllers().count());
        (0..missing).for_each(|_| self.inject(Fault::New { stale: false }));
        self.slow_disk_until = self.now;
        self.last_disturbed_at = self.now;
    }
}
