//! Processes and their disks: starts, kills, pauses, and what becomes of their records.

use super::*;

impl Owners {
    /// Starts a process with what is on its disk.
    pub fn start(&mut self, who: usize) {
        self.start_having_lost(who, false);
    }

    /// The same; the end of its records is missing.
    pub fn start_having_lost(&mut self, who: usize, lost: bool) {
        if self.nodes[who].process.is_some() {
            return;
        }
        let named: Vec<_> = (0..self.plan.voters).map(|v| (name(v), address(v))).collect();
        let (seed, stand) = (self.chance.next_u64(), self.chance.next_u64());
        let now = self.clock(who);
        let image = PersistentState::decode(&self.nodes[who].disk).expect("its own records");
        let (times, broken) = (self.plan.times, self.plan.broken);
        let voter = Voter::new(
            now,
            VoterConfig {
                fleet: "f".to_string(),
                name: name(who),
                addr: address(who),
                initial_voters: named.clone(),
                state: image,
                has_lost_records: lost,
                seed,
                times,
                disabled: broken,
            },
        );
        let holder = LeaseHolder::new(
            now,
            HolderConfig {
                fleet: "f".to_string(),
                name: name(who),
                voters: named.into_iter().map(|(_, a)| a).collect(),
                duties: vec![DUTY.to_string()],
                seed,
                incarnation: stand,
                times,
                disabled: broken,
            },
        );
        let node = &mut self.nodes[who];
        node.runs += 1;
        let run = node.runs;
        let buffer = VecDeque::new();
        let checked = None;
        node.process = Some(Process {
            voter,
            holder,
            stopped: false,
            buffer,
            wakes_at: None,
            checked,
            effects: 0,
            last_kept: 0,
        });
        self.later(EFFECT, Next::Checks { who, run });
        self.after(who);
    }

    /// Ended without a word. What was being written may be on disk or not.
    pub fn kill(&mut self, who: usize) {
        let lost = self.draw(self.nodes[who].untold as u64 + 1) as usize;
        let node = &mut self.nodes[who];
        node.process = None;
        node.disk.truncate(node.disk.len().saturating_sub(lost));
        node.untold = 0;
    }

    /// Ended at the point where it would write or send for this time more: before it, and nothing after it.
    pub fn die_at(&mut self, who: usize, write_or_send: u64) {
        self.nodes[who].dies_at = Some(write_or_send);
    }

    pub fn empty_disk(&mut self, who: usize) {
        self.nodes[who].disk.clear();
        self.nodes[who].untold = 0;
    }

    /// The last record is gone.
    pub fn tear_disk(&mut self, who: usize) {
        self.nodes[who].disk.pop();
    }

    pub fn disk(&mut self, who: usize) -> &mut Vec<Vec<u8>> {
        &mut self.nodes[who].disk
    }

    /// Writing takes so long from now on.
    pub fn slow_disk(&mut self, who: usize, takes: Span) {
        self.nodes[who].disk_takes = takes;
    }

    pub fn fail_disk(&mut self, who: usize, fails: bool) {
        self.nodes[who].disk_fails = fails;
    }

    pub fn pause(&mut self, who: usize) {
        if let Some(process) = self.nodes[who].process.as_mut() {
            process.stopped = true;
        }
    }

    /// It goes on with what it had begun: what was checked before is written now.
    pub fn resume(&mut self, who: usize) {
        let now = self.clock(who);
        let run = self.nodes[who].runs;
        let timers_first: bool = self.chance.random();
        let Some(process) = self.nodes[who].process.as_mut().filter(|p| p.stopped) else { return };
        process.stopped = false;
        process.wakes_at = None;
        if timers_first {
            process.voter.tick(now);
            process.holder.tick(now);
        }
        let checked = process.checked.take();
        for (from, datagram) in std::mem::take(&mut process.buffer) {
            hear(process, now, from, &datagram);
        }
        if let Some((epoch, number)) = checked {
            self.later(ms(1), Next::Lands { who, epoch, number });
        }
        self.later(EFFECT, Next::Checks { who, run });
        self.after(who);
    }

    pub fn leave(&mut self, who: usize) {
        let now = self.clock(who);
        if let Some(process) = self.nodes[who].process.as_mut() {
            process.holder.leave(now);
        }
        self.after(who);
    }
}
