//! Processes of the members and their disks: start, kill, pause, and faults of the disks.

use super::*;

impl OwnershipSimulation {
    /// Starts a member with the contents of its disk. Does nothing if it is running.
    pub fn start(&mut self, member: usize) {
        self.start_with_lost_records(member, false);
    }

    /// Starts a member like [`Self::start`]. If `lost_records` is `true`, the voter starts with
    /// the information that records are missing at the end of its disk.
    pub fn start_with_lost_records(&mut self, member: usize, lost_records: bool) {
        if self.nodes[member].process.is_some() {
            return;
        }
        let initial_voters: Vec<_> = (0..self.config.voters).map(|v| (member_name(v), address(v))).collect();
        let (seed, holder_incarnation) = (self.rng.next_u64(), self.rng.next_u64());
        let now = self.clock(member);
        let persistent_state = PersistentState::decode(&self.nodes[member].disk)
            .expect("the records were encoded by this simulation");
        let (times, disabled_parts) = (self.config.times, self.config.disabled);
        let voter = Voter::new(
            now,
            VoterConfig {
                fleet: "f".to_string(),
                name: member_name(member),
                addr: address(member),
                initial_voters: initial_voters.clone(),
                state: persistent_state,
                has_lost_records: lost_records,
                seed,
                times,
                disabled: disabled_parts,
            },
        );
        let holder = LeaseHolder::new(
            now,
            HolderConfig {
                fleet: "f".to_string(),
                name: member_name(member),
                voters: initial_voters.into_iter().map(|(_, a)| a).collect(),
                duties: vec![DUTY.to_string()],
                seed,
                incarnation: holder_incarnation,
                times,
                disabled: disabled_parts,
            },
        );
        let node = &mut self.nodes[member];
        node.run += 1;
        let run = node.run;
        let receive_buffer = VecDeque::new();
        let pending_effect = None;
        node.process = Some(Process {
            voter,
            holder,
            paused: false,
            receive_buffer,
            next_tick_at: None,
            pending_effect,
            last_effect: 0,
            last_stored: 0,
        });
        self.schedule_after(EFFECT_INTERVAL, ScheduledEvent::EffectCheck { member, run });
        self.carry_out_actions(member);
    }

    /// Ends the process of a member without notice. A random number of the unacknowledged records at the
    /// end of its disk is lost.
    pub fn kill(&mut self, member: usize) {
        let lost_count = self.random_below(self.nodes[member].unacknowledged_records as u64 + 1) as usize;
        let node = &mut self.nodes[member];
        node.process = None;
        node.disk.truncate(node.disk.len().saturating_sub(lost_count));
        node.unacknowledged_records = 0;
    }

    /// Kills a member before it carries out a later write or send. `action_count` is the number of writes
    /// and sends that it still completes.
    pub fn kill_before_action(&mut self, member: usize, action_count: u64) {
        self.nodes[member].actions_until_kill = Some(action_count);
    }

    /// Erases the disk of a member.
    pub fn erase_disk(&mut self, member: usize) {
        self.nodes[member].disk.clear();
        self.nodes[member].unacknowledged_records = 0;
    }

    /// Removes the last record from the disk of a member.
    pub fn remove_last_record(&mut self, member: usize) {
        self.nodes[member].disk.pop();
    }

    /// Encoded records on the disk of a member.
    pub fn disk(&mut self, member: usize) -> &mut Vec<Vec<u8>> {
        &mut self.nodes[member].disk
    }

    /// Sets the duration of later writes of a member.
    pub fn set_write_time(&mut self, member: usize, write_time: Span) {
        self.nodes[member].write_time = write_time;
    }

    /// Makes later writes of a member fail or succeed.
    pub fn set_write_failure(&mut self, member: usize, fails: bool) {
        self.nodes[member].writes_fail = fails;
    }

    /// Pauses a process: datagrams fill its socket buffer, and its timers are delayed.
    pub fn pause(&mut self, member: usize) {
        if let Some(process) = self.nodes[member].process.as_mut() {
            process.paused = true;
        }
    }

    /// Resumes a paused process. An effect for which the lease was checked before the pause is sent without
    /// another check.
    pub fn resume(&mut self, member: usize) {
        let now = self.clock(member);
        let run = self.nodes[member].run;
        let timers_first: bool = self.rng.random();
        let Some(process) = self.nodes[member].process.as_mut().filter(|p| p.paused) else { return };
        process.paused = false;
        process.next_tick_at = None;
        if timers_first {
            process.voter.tick(now);
            process.holder.tick(now);
        }
        let pending_effect = process.pending_effect.take();
        for (from, datagram) in std::mem::take(&mut process.receive_buffer) {
            receive(process, now, from, &datagram);
        }
        if let Some((epoch, number)) = pending_effect {
            self.schedule_after(ms(1), ScheduledEvent::EffectArrival { member, epoch, number });
        }
        self.schedule_after(EFFECT_INTERVAL, ScheduledEvent::EffectCheck { member, run });
        self.carry_out_actions(member);
    }

    /// Makes a member release its duties and stop claiming them.
    pub fn leave(&mut self, member: usize) {
        let now = self.clock(member);
        if let Some(process) = self.nodes[member].process.as_mut() {
            process.holder.leave(now);
        }
        self.carry_out_actions(member);
    }
}
