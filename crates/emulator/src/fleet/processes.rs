//! Processes of the members: start, kill, change of address, copy, pause and departure.

use super::*;

impl Fleet {
    /// Creates the process of a member from its disk. Does not carry out its actions.
    pub(super) fn create_process(&mut self, member: usize) -> Identity {
        let seeds: Vec<_> =
            (0..self.config.seeds.min(self.nodes.len())).map(|n| self.nodes[n].addr).collect();
        let node = &mut self.nodes[member];
        node.run += 1;
        let membership = Membership::new(
            self.now + node.clock_offset,
            MembershipConfig {
                fleet: name("f", 1),
                name: node.name.clone(),
                zone: node.zone.clone(),
                addr: node.addr,
                seeds,
                run: self.rng.random(),
                seed: self.rng.random(),
                last_incarnation: node.disk.last,
                known_members: node.disk.known.clone(),
                notices: node.disk.notices.clone(),
                times: self.config.times,
                disabled: self.config.disabled,
            },
        );
        let identity = membership.local().clone();
        node.process = Some(Process {
            membership,
            paused: false,
            receive_buffer: VecDeque::new(),
            buffered_bytes: 0,
            next_tick_at: None,
        });
        identity
    }

    /// Starts a member with the contents of its disk. Does nothing if it is running.
    pub fn start(&mut self, member: usize) {
        if self.nodes[member].process.is_none() {
            self.create_process(member);
            self.carry_out_actions(member);
        }
    }

    /// Ends the process of a member without notice. Its disk stays.
    pub fn kill(&mut self, member: usize) {
        self.nodes[member].process = None;
    }

    /// Moves a member to its address in another subnet. Datagrams to the old address are lost.
    pub fn change_address(&mut self, member: usize, subnet: u8) {
        let old = self.nodes[member].addr;
        self.members_by_addr.remove(&old);
        self.nodes[member].addr = address(member, subnet);
        self.members_by_addr.insert(self.nodes[member].addr, member);
    }

    /// Moves a member to the address of another one, which is unreachable from then on.
    pub fn take_address(&mut self, member: usize, previous_holder: usize) {
        let (old, addr) = (self.nodes[member].addr, self.nodes[previous_holder].addr);
        self.members_by_addr.remove(&old);
        self.nodes[member].addr = addr;
        self.members_by_addr.insert(addr, member);
    }

    /// Starts a further member with the name, the zone and a copy of the disk of another, at an address
    /// of its own. Returns its number.
    pub fn start_copy(&mut self, original: usize) -> usize {
        let member = self.nodes.len();
        let (name, zone) = (self.nodes[original].name.clone(), self.nodes[original].zone.clone());
        let (addr, disk) = (address(member, 0), self.nodes[original].disk.clone());
        let clock_offset = self.nodes[original].clock_offset;
        self.nodes.push(Node { name, zone, addr, disk, process: None, run: 0, clock_offset });
        self.members_by_addr.insert(addr, member);
        self.start(member);
        member
    }

    /// Pauses a process: datagrams fill its socket buffer, and its timers are delayed.
    pub fn pause(&mut self, member: usize) {
        if let Some(process) = self.nodes[member].process.as_mut() {
            process.paused = true;
        }
    }

    /// Resumes a paused process. It handles either its timers or the buffered datagrams first, at random.
    pub fn resume(&mut self, member: usize) {
        let timers_first: bool = self.rng.random();
        let (now, run, clock) = (self.now, self.nodes[member].run, self.clock(member));
        let Some(process) = self.nodes[member].process.as_mut().filter(|p| p.paused) else { return };
        process.paused = false;
        process.next_tick_at = None;
        if timers_first {
            process.membership.tick(clock);
        }
        process.buffered_bytes = 0;
        for (from, datagram) in std::mem::take(&mut process.receive_buffer) {
            process.membership.receive(clock, from, &datagram);
        }
        self.schedule(now, ScheduledEvent::Tick { member, run });
        self.carry_out_actions(member);
    }

    /// Makes a member announce its departure from the fleet.
    pub fn leave(&mut self, member: usize) {
        let now = self.clock(member);
        if let Some(process) = self.nodes[member].process.as_mut() {
            process.membership.leave(now);
        }
        self.carry_out_actions(member);
    }
}
