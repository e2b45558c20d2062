//! Processes of the fleet: starts, kills, moves, copies and pauses.

use super::*;

impl Fleet {
    pub(super) fn begin(&mut self, who: usize) -> Identity {
        let seeds: Vec<_> = (0..self.plan.seeds.min(self.nodes.len())).map(|n| self.nodes[n].addr).collect();
        let node = &mut self.nodes[who];
        node.runs += 1;
        let membership = Membership::new(
            self.now + node.ahead,
            MembershipConfig {
                fleet: name("f", 1),
                name: node.name.clone(),
                zone: node.hall.clone(),
                addr: node.addr,
                seeds,
                run: self.chance.random(),
                seed: self.chance.random(),
                last_incarnation: node.disk.last,
                known_members: node.disk.known.clone(),
                notices: node.disk.notices.clone(),
                times: self.plan.times,
                disabled: self.plan.broken,
            },
        );
        let me = membership.local().clone();
        node.process = Some(Process {
            membership,
            stopped: false,
            buffer: VecDeque::new(),
            buffered: 0,
            wakes_at: None,
        });
        me
    }

    /// Starts a member's process with what it has on disk.
    pub fn start(&mut self, who: usize) {
        if self.nodes[who].process.is_none() {
            self.begin(who);
            self.after(who);
        }
    }

    /// Ends it without a word. Its disk stays.
    pub fn kill(&mut self, who: usize) {
        self.nodes[who].process = None;
    }

    /// Starts it again somewhere else; nobody is at the old address.
    pub fn move_to(&mut self, who: usize, place: u8) {
        let old = self.nodes[who].addr;
        self.places.remove(&old);
        self.nodes[who].addr = address(who, place);
        self.places.insert(self.nodes[who].addr, who);
    }

    /// It is at the address that another had, who is at none any more.
    pub fn take_place(&mut self, who: usize, of: usize) {
        let (old, place) = (self.nodes[who].addr, self.nodes[of].addr);
        self.places.remove(&old);
        self.nodes[who].addr = place;
        self.places.insert(place, who);
    }

    /// One more process under the name of another, with a copy of its disk, at an address of its own. Its
    /// number.
    pub fn copy(&mut self, of: usize) -> usize {
        let who = self.nodes.len();
        let (name, hall) = (self.nodes[of].name.clone(), self.nodes[of].hall.clone());
        let (addr, disk) = (address(who, 0), self.nodes[of].disk.clone());
        let ahead = self.nodes[of].ahead;
        self.nodes.push(Node { name, hall, addr, disk, process: None, runs: 0, ahead });
        self.places.insert(addr, who);
        self.start(who);
        who
    }

    /// It stands still: its socket fills, its timers pass.
    pub fn pause(&mut self, who: usize) {
        if let Some(process) = self.nodes[who].process.as_mut() {
            process.stopped = true;
        }
    }

    /// It goes on, first with what lies in its socket or first with its timers, as chance has it.
    pub fn resume(&mut self, who: usize) {
        let timers_first: bool = self.chance.random();
        let (now, run, clock) = (self.now, self.nodes[who].runs, self.clock(who));
        let Some(process) = self.nodes[who].process.as_mut().filter(|p| p.stopped) else { return };
        process.stopped = false;
        process.wakes_at = None;
        if timers_first {
            process.membership.tick(clock);
        }
        process.buffered = 0;
        for (from, datagram) in std::mem::take(&mut process.buffer) {
            process.membership.receive(clock, from, &datagram);
        }
        self.plan_next(now, Next::Wakes { who, run });
        self.after(who);
    }

    pub fn leave(&mut self, who: usize) {
        let now = self.clock(who);
        if let Some(process) = self.nodes[who].process.as_mut() {
            process.membership.leave(now);
        }
        self.after(who);
    }
}
