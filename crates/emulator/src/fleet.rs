//! Simulation of a fleet on a virtual clock. Each member is a `lynxstair_membership` state machine with a
//! disk, a socket buffer and an address.

mod processes;

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use lynxstair::types::{Span, Time};
use lynxstair_membership::{
    Action, DisabledParts, Event, Identity, Incarnation, KnownMember, Membership, MembershipConfig, Name,
    Notice, Phase, Record, State, Times, View,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;

use crate::event_queue::EventQueue;
use crate::network::Network;

/// Capacity of a socket's receive buffer; the default on Linux.
const SOCKET_BUFFER_BYTES: usize = 212_992;
/// Buffer space that the kernel charges for a datagram in addition to its payload.
const DATAGRAM_OVERHEAD_BYTES: usize = 576;
/// Duration of the write of an incarnation. Other records are written at once.
const WRITE_TIME: Span = Span::from_millis(2);

/// Contents of a member's disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    /// Last incarnation that the member started.
    pub last: Option<Incarnation>,
    /// Members that it knew when it last recorded them.
    pub known: Vec<KnownMember>,
    /// Recorded notices, oldest first.
    pub notices: Vec<Notice>,
}

/// Event that a member emitted.
#[derive(Clone, Debug)]
pub struct RecordedEvent {
    /// Time on the simulation's clock.
    pub at: Time,
    /// Number of the member.
    pub member: usize,
    pub event: Event,
}

struct Process {
    membership: Membership,
    paused: bool,
    /// Datagrams received while the process is paused, with the address of the sender.
    receive_buffer: VecDeque<(SocketAddrV4, Vec<u8>)>,
    /// Space that they take in the socket's buffer, including the overhead.
    buffered_bytes: usize,
    /// Time of the next scheduled tick, on the simulation's clock.
    next_tick_at: Option<Time>,
}

struct Node {
    name: Name,
    zone: Name,
    addr: SocketAddrV4,
    disk: Disk,
    process: Option<Process>,
    /// Number of process starts. Ticks and completed writes of earlier processes are ignored.
    run: u32,
    /// Time by which the member's clock is ahead of the simulation's clock.
    clock_offset: Span,
}

enum ScheduledEvent {
    Arrival { from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8> },
    Tick { member: usize, run: u32 },
    WriteCompleted { member: usize, run: u32, incarnation: Incarnation },
}

/// Parameters of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of members.
    pub members: usize,
    /// Number of zones, to which the members are assigned in turn.
    pub zones: usize,
    /// Number of seed members, which are the first ones.
    pub seeds: usize,
    /// Intervals and time-outs of the membership.
    pub times: Times,
    /// Safeguards that are disabled in all members.
    pub disabled: DisabledParts,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        FleetConfig {
            members: 6,
            zones: 2,
            seeds: 2,
            times: Times::default(),
            disabled: DisabledParts::default(),
            seed: 1,
        }
    }
}

/// Simulated fleet. Members are numbered from 0 and named g1, g2 and so on.
pub struct Fleet {
    config: FleetConfig,
    /// Network between the members.
    pub network: Network,
    now: Time,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    members_by_addr: HashMap<SocketAddrV4, usize>,
    event_queue: EventQueue<ScheduledEvent>,
    history: Vec<RecordedEvent>,
    /// Number of datagrams sent by all members.
    pub datagrams_sent: u64,
    /// Payload bytes sent by all members.
    pub bytes_sent: u64,
    /// Payload of the largest datagram sent.
    pub largest_datagram_bytes: usize,
    /// Datagrams dropped because the socket buffer of a paused process was full.
    pub dropped_datagrams: u64,
}

fn name(prefix: &str, number: usize) -> Name {
    Name::new(&format!("{prefix}{number}")).expect("letters and digits")
}

impl Fleet {
    /// Creates a fleet in which no member runs yet.
    pub fn new(config: FleetConfig) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        let nodes: Vec<_> = (0..config.members)
            .map(|n| Node {
                name: name("g", n + 1),
                zone: name("h", n % config.zones.max(1) + 1),
                addr: address(n, 0),
                disk: Disk::default(),
                process: None,
                run: 0,
                clock_offset: Span::from_millis(7_200_000),
            })
            .collect();
        let members_by_addr = nodes.iter().enumerate().map(|(n, node)| (node.addr, n)).collect();
        Fleet {
            config,
            network: Network::default(),
            now: Time::from_nanos(0) + Span::from_millis(1_000_000),
            rng,
            nodes,
            members_by_addr,
            event_queue: EventQueue::default(),
            history: Vec::new(),
            datagrams_sent: 0,
            bytes_sent: 0,
            largest_datagram_bytes: 0,
            dropped_datagrams: 0,
        }
    }

    /// Creates a fleet and starts the members one after another within a second.
    pub fn started(config: FleetConfig) -> Self {
        let mut fleet = Fleet::new(config);
        for member in 0..fleet.nodes.len() {
            fleet.start(member);
            fleet.run_for(Span::from_millis(1_000 / fleet.nodes.len() as u64));
        }
        fleet
    }

    /// Creates a fleet in which all members run and know each other. Clears the history and the counters of
    /// sent datagrams and bytes.
    pub fn settled(config: FleetConfig) -> Self {
        let mut fleet = Fleet::new(config);
        let probe_interval = fleet.config.times.probe_interval;
        let all: Vec<Identity> = (0..fleet.nodes.len()).map(|member| fleet.create_process(member)).collect();
        let mut tick_times = Vec::new();
        for _ in 0..fleet.nodes.len() {
            tick_times.push(fleet.now + probe_interval.times(fleet.rng.random()));
        }
        // The members are independent of each other here, so the order has no influence on the result.
        fleet.nodes.par_iter_mut().enumerate().for_each(|(member, node)| {
            let Some(process) = node.process.as_mut() else { return };
            let at = tick_times[member] + node.clock_offset;
            process.membership.on_written(at, all[member].incarnation);
            process.membership.start_joined(at, &all);
            process.next_tick_at = None;
            node.disk.last = Some(all[member].incarnation);
        });
        for (member, at) in tick_times.into_iter().enumerate() {
            let run = fleet.nodes[member].run;
            fleet.schedule(at, ScheduledEvent::Tick { member, run });
        }
        fleet.run_for(probe_interval.times(2.0));
        fleet.history.clear();
        (fleet.datagrams_sent, fleet.bytes_sent) = (0, 0);
        fleet
    }

    /// Current time of the simulation's clock.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Current time of a member's own clock.
    fn clock(&self, member: usize) -> Time {
        self.now + self.nodes[member].clock_offset
    }

    /// Kills a member and sets its clock back by an hour. A process reads the wall clock only when it
    /// starts, so a running one would not notice the change.
    pub fn set_clock_back(&mut self, member: usize) {
        self.kill(member);
        let hour = Span::from_millis(3_600_000);
        self.nodes[member].clock_offset =
            (Time::default() + self.nodes[member].clock_offset) - (Time::default() + hour);
    }

    /// Returns the view that a member has of the fleet, or `None` if it is not running.
    pub fn view(&self, member: usize) -> Option<View> {
        self.membership(member).map(|membership| membership.view(self.clock(member)))
    }

    /// Number of members, including copies and those that are not running.
    pub fn member_count(&self) -> usize {
        self.nodes.len()
    }

    /// Name of a member.
    pub fn name_of(&self, member: usize) -> &Name {
        &self.nodes[member].name
    }

    /// Returns `true` if the member's process exists, even if it is paused.
    pub fn is_running(&self, member: usize) -> bool {
        self.nodes[member].process.is_some()
    }

    /// State machine of a member, or `None` if it is not running.
    pub fn membership(&self, member: usize) -> Option<&Membership> {
        self.nodes[member].process.as_ref().map(|p| &p.membership)
    }

    /// Disk of a member.
    pub fn disk(&mut self, member: usize) -> &mut Disk {
        &mut self.nodes[member].disk
    }

    /// Events emitted since the start or the last [`Self::clear_history`], in order.
    pub fn history(&self) -> &[RecordedEvent] {
        &self.history
    }

    /// Discards the recorded events.
    pub fn clear_history(&mut self) {
        self.history.clear();
    }

    /// Calls `operation` on a member's state machine, then carries out the resulting actions.
    pub fn with_membership(&mut self, member: usize, operation: impl FnOnce(&mut Membership, Time)) {
        let now = self.clock(member);
        if let Some(process) = self.nodes[member].process.as_mut() {
            operation(&mut process.membership, now);
        }
        self.carry_out_actions(member);
    }

    /// Delivers a datagram after 1 ms, without the faults of the network.
    pub fn inject(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        let (from, to) = (self.nodes[from].addr, self.nodes[to].addr);
        let at = self.now + Span::from_millis(1);
        self.schedule(at, ScheduledEvent::Arrival { from, to, datagram });
    }

    fn schedule(&mut self, at: Time, event: ScheduledEvent) {
        self.event_queue.schedule(at, event);
    }

    /// Runs the simulation for `duration`.
    pub fn run_for(&mut self, duration: Span) {
        let end = self.now + duration;
        while let Some((at, event)) = self.event_queue.pop_due(end) {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs the simulation until `condition` holds, which is checked every 20 ms. Returns the elapsed
    /// time, or `None` after `timeout`.
    pub fn run_until(&mut self, timeout: Span, mut condition: impl FnMut(&Fleet) -> bool) -> Option<Span> {
        let start = self.now;
        while !condition(self) {
            if self.now - start >= timeout {
                return None;
            }
            self.run_for(Span::from_millis(20));
        }
        Some(self.now - start)
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        let now = self.now;
        match event {
            ScheduledEvent::Arrival { from, to, datagram } => {
                let Some(member) = self.members_by_addr.get(&to).copied() else { return };
                let clock_offset = self.nodes[member].clock_offset;
                let Some(process) = self.nodes[member].process.as_mut() else { return };
                if process.paused {
                    let size = datagram.len() + DATAGRAM_OVERHEAD_BYTES;
                    if process.buffered_bytes + size > SOCKET_BUFFER_BYTES {
                        self.dropped_datagrams += 1;
                        return;
                    }
                    process.buffered_bytes += size;
                    process.receive_buffer.push_back((from, datagram));
                    return;
                }
                process.membership.receive(now + clock_offset, from, &datagram);
                self.carry_out_actions(member);
            }
            ScheduledEvent::Tick { member, run } => {
                if self.nodes[member].run != run {
                    return;
                }
                let clock_offset = self.nodes[member].clock_offset;
                let Some(process) = self.nodes[member].process.as_mut().filter(|p| !p.paused) else { return };
                // The next tick is due later.
                if process.next_tick_at.is_some_and(|at| at > now) {
                    return;
                }
                process.next_tick_at = None;
                process.membership.tick(now + clock_offset);
                self.carry_out_actions(member);
            }
            ScheduledEvent::WriteCompleted { member, run, incarnation } => {
                if self.nodes[member].run != run {
                    return;
                }
                let node = &mut self.nodes[member];
                let Some(process) = node.process.as_mut() else { return };
                node.disk.last = Some(incarnation);
                if process.paused {
                    let at = now + WRITE_TIME;
                    self.schedule(at, ScheduledEvent::WriteCompleted { member, run, incarnation });
                    return;
                }
                process.membership.on_written(now + node.clock_offset, incarnation);
                self.carry_out_actions(member);
            }
        }
    }

    /// Carries out the actions of a member and schedules its next tick.
    fn carry_out_actions(&mut self, member: usize) {
        let now = self.now;
        let (addr, run, clock_offset) =
            (self.nodes[member].addr, self.nodes[member].run, self.nodes[member].clock_offset);
        let Some(process) = self.nodes[member].process.as_mut() else { return };
        for action in process.membership.take_actions() {
            match action {
                Action::Send { to, datagram } => self.send(member, addr, to, datagram),
                Action::Write(Record::IncarnationStarted { incarnation }) => {
                    self.schedule(
                        now + WRITE_TIME,
                        ScheduledEvent::WriteCompleted { member, run, incarnation },
                    );
                }
                Action::Write(Record::Members { known }) => self.nodes[member].disk.known = known,
                Action::Write(Record::Notice { notice }) => self.nodes[member].disk.notices.push(notice),
                Action::Emit(event) => self.history.push(RecordedEvent { at: now, member, event }),
            }
        }
        let Some(process) = self.nodes[member].process.as_mut() else { return };
        let due = process.membership.next_deadline().map(|at| at.saturating_sub(clock_offset));
        if let Some(at) = due
            && process.next_tick_at.is_none_or(|scheduled| at < scheduled)
        {
            process.next_tick_at = Some(at);
            self.schedule(at.max(now), ScheduledEvent::Tick { member, run });
        }
    }

    fn send(&mut self, member: usize, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        self.datagrams_sent += 1;
        self.bytes_sent += datagram.len() as u64;
        self.largest_datagram_bytes = self.largest_datagram_bytes.max(datagram.len());
        let Some(other) = self.members_by_addr.get(&to).copied() else { return };
        let delays = self.network.delivery_delays(member, other, &mut self.rng);
        for delay in delays {
            let at = self.now + delay;
            self.schedule(at, ScheduledEvent::Arrival { from, to, datagram: datagram.clone() });
        }
    }

    /// Returns the state of member `other` as seen by `member`, or `None` if `member` is not running or
    /// does not know the other.
    pub fn observed_state(&self, member: usize, other: usize) -> Option<State> {
        let other = &self.nodes[other].name;
        self.membership(member)?.state_of(other).map(|(state, _)| state)
    }

    /// Returns `true` if all running members are in the fleet and see exactly the running members as
    /// present.
    pub fn all_agree(&self) -> bool {
        let running: Vec<_> = (0..self.nodes.len()).filter(|n| self.is_running(*n)).collect();
        running.iter().all(|&member| {
            self.membership(member).is_some_and(|m| m.phase() == Phase::In)
                && (0..self.nodes.len()).filter(|&other| other != member).all(|other| {
                    let is_present = self.observed_state(member, other).is_some_and(State::is_present);
                    is_present == self.is_running(other)
                })
        })
    }

    /// Returns the recorded failure declarations: time, number of the declaring member and name of the
    /// failed member.
    pub fn declared_failed(&self) -> impl Iterator<Item = (Time, usize, &Name)> {
        self.history.iter().filter_map(|h| match &h.event {
            Event::Member { name, to: State::Failed, .. } => Some((h.at, h.member, name)),
            _ => None,
        })
    }
}

/// Returns an address that is unique for each member and subnet.
fn address(member: usize, subnet: u8) -> SocketAddrV4 {
    let [_, _, high, low] = (member as u32 + 1).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 100 + subnet, high, low), 7_000)
}
