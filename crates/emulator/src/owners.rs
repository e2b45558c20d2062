//! Simulation of voters and lease holders on a virtual clock. Their disks can be slow, fail, or lose
//! records. The owner of the duty sends numbered effects to a receiver; a process can be paused between
//! checking its lease and sending the effect.

mod checker;
mod processes;

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

use lynxstair::types::{Span, Time};
use lynxstair_leases::{
    Action, AdminCommand, DisabledParts, Epoch, Event, HolderConfig, HolderMessage, LeaseHolder,
    PersistentState, Phase, QueryStatus, Record, Times, Voter, VoterConfig,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event_queue::EventQueue;
use crate::network::Network;

/// Name of the duty that all members claim.
pub const DUTY: &str = "export";
/// Interval at which a member checks its lease and, if it owns the duty, produces an effect.
const EFFECT_INTERVAL: Span = Span::from_millis(40);
/// Maximum time between sending an effect and its arrival at the receiver.
const MAX_EFFECT_DELAY: Span = Span::from_millis(60);
/// Capacity of a socket's receive buffer, in datagrams.
const MAX_BUFFERED_DATAGRAMS: usize = 256;

fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

/// Parameters of an ownership simulation.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// Number of members.
    pub members: usize,
    /// Number of initial voters, which are the first members.
    pub voters: usize,
    /// Intervals and time-outs of voters and lease holders.
    pub times: Times,
    /// Safeguards that are disabled in all members and in the receiver.
    pub disabled: DisabledParts,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        let (times, disabled) = (Times::default(), DisabledParts::default());
        OwnershipConfig { members: 5, voters: 3, times, disabled, seed: 1 }
    }
}

/// Violation of a rule. Only the first one of each rule is recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time on the simulation's clock.
    pub at: Time,
    /// Human-readable description.
    pub description: String,
}

struct Process {
    voter: Voter,
    holder: LeaseHolder,
    paused: bool,
    /// Datagrams received while the process is paused, with the address of the sender.
    receive_buffer: VecDeque<(SocketAddrV4, Vec<u8>)>,
    /// Time of the next scheduled tick, on the simulation's clock.
    next_tick_at: Option<Time>,
    /// Epoch and number of an effect for which the lease was checked and which was not sent yet.
    pending_effect: Option<(Epoch, u64)>,
    /// Highest effect number that was produced or accepted.
    last_effect: u64,
    /// Highest effect number passed to the lease holder for storage.
    last_stored: u64,
}

#[derive(Default)]
struct Node {
    /// Encoded records.
    disk: Vec<Vec<u8>>,
    /// Number of records at the end of the disk whose write was not confirmed to the voter yet. A kill
    /// may lose them.
    unacknowledged_records: usize,
    /// Duration of the write of a record.
    write_time: Span,
    writes_fail: bool,
    process: Option<Process>,
    /// Number of process starts. Events scheduled for earlier processes are ignored.
    run: u32,
    /// Time by which the member's clock is ahead of the simulation's clock.
    clock_offset: Span,
    /// Number of writes and sends left before the process is killed; `None` if no kill is planned.
    actions_until_kill: Option<u64>,
}

enum ScheduledEvent {
    Arrival {
        from: usize,
        to: usize,
        datagram: Vec<u8>,
    },
    Tick {
        member: usize,
        run: u32,
    },
    WriteCompleted {
        member: usize,
        run: u32,
        ticket: u64,
        succeeded: bool,
    },
    /// The member checks whether it holds the lease.
    EffectCheck {
        member: usize,
        run: u32,
    },
    /// An effect arrives at the receiver.
    EffectArrival {
        member: usize,
        epoch: Epoch,
        number: u64,
    },
}

/// Receiver of effects. Refuses those with an epoch lower than the highest one that it has accepted.
#[derive(Clone, Debug, Default)]
pub struct EffectReceiver {
    /// Highest epoch accepted so far.
    pub highest_epoch: Epoch,
    /// Accepted effects: time, epoch and number of the member.
    pub accepted: Vec<(Time, Epoch, usize)>,
    /// Number of refused effects.
    pub refused: u64,
}

/// Simulation of voters and lease holders of one duty. Members are numbered from 0 and named g1, g2 and
/// so on.
pub struct OwnershipSimulation {
    /// Parameters of the simulation.
    pub config: OwnershipConfig,
    /// Network between the members.
    pub network: Network,
    now: Time,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    event_queue: EventQueue<ScheduledEvent>,
    /// Receiver of the effects.
    pub receiver: EffectReceiver,
    /// Events emitted by the members: time, number of the member and event.
    pub events: Vec<(Time, usize, Event)>,
    /// Rules that were violated.
    pub violations: Vec<Violation>,
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Name and incarnation of the owner by granted epoch.
    granted: BTreeMap<Epoch, (String, u64)>,
    /// Highest effect number whose storage was acknowledged by a quorum.
    acknowledged_number: u64,
    /// Time until which two members may hold a lease, since a deposed owner may not know of it yet.
    overlap_allowed_until: Time,
}

fn address(member: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, (member / 250) as u8, (member % 250 + 1) as u8), 7_100)
}

fn member_at(addr: SocketAddrV4) -> usize {
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

fn member_name(member: usize) -> String {
    format!("g{}", member + 1)
}

impl OwnershipSimulation {
    /// Creates a simulation and starts all members at once.
    pub fn started(config: OwnershipConfig) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        let mut simulation = OwnershipSimulation {
            network: Network::default(),
            now: Time::from_nanos(0) + ms(10_000_000),
            rng,
            nodes: (0..config.members).map(|_| Node { write_time: ms(2), ..Node::default() }).collect(),
            event_queue: EventQueue::default(),
            receiver: EffectReceiver::default(),
            events: Vec::new(),
            violations: Vec::new(),
            datagrams: 0,
            granted: BTreeMap::new(),
            acknowledged_number: 0,
            overlap_allowed_until: Time::default(),
            config,
        };
        for member in 0..simulation.nodes.len() {
            simulation.nodes[member].clock_offset = ms(simulation.rng.random_range(0..7_200_000));
            simulation.start(member);
        }
        simulation
    }

    /// Current time of the simulation's clock.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Number of members, including those that are not running.
    pub fn member_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns `true` if the member's process exists, even if it is paused.
    pub fn is_running(&self, member: usize) -> bool {
        self.nodes[member].process.is_some()
    }

    /// Current time of a member's own clock.
    fn clock(&self, member: usize) -> Time {
        self.now + self.nodes[member].clock_offset
    }

    fn schedule_after(&mut self, delay: Span, event: ScheduledEvent) {
        self.event_queue.schedule(self.now + delay, event);
    }

    /// Draws a number below `limit` from the simulation's random number generator. Returns 0 if `limit`
    /// is 0.
    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.random_range(0..limit.max(1))
    }

    /// Sends an operator's command through a member, or reads the table if there is none, and returns the
    /// status. Calls with the same id refer to the same query. Returns `None` if the member is not running.
    pub fn query(&mut self, member: usize, id: u64, command: Option<&AdminCommand>) -> Option<QueryStatus> {
        let now = self.clock(member);
        if matches!(command, Some(AdminCommand::Depose { .. })) {
            // A query is dropped after 5 s, so the command may take effect up to then.
            self.overlap_allowed_until = self.now + ms(5_000) + self.config.times.lease;
        }
        let status = self.nodes[member].process.as_mut().map(|p| p.holder.query(now, id, command));
        self.carry_out_actions(member);
        status
    }

    /// Address of a member.
    pub fn address_of(&self, member: usize) -> SocketAddrV4 {
        address(member)
    }

    /// Returns the members that hold a lease by their own clocks and are not paused.
    pub fn owners(&self) -> Vec<usize> {
        let holds_lease = |member: &usize| {
            let process = self.nodes[*member].process.as_ref();
            process.is_some_and(|p| !p.paused && p.holder.leased_epoch(self.clock(*member), DUTY).is_some())
        };
        (0..self.nodes.len()).filter(holds_lease).collect()
    }

    /// Returns the member whose voter believes that it is the leader, except paused ones; the last one if
    /// there are several.
    pub fn leader(&self) -> Option<usize> {
        let is_leader =
            |m: &usize| self.nodes[*m].process.as_ref().is_some_and(|p| !p.paused && p.voter.is_leader());
        (0..self.nodes.len()).rev().find(is_leader)
    }

    /// Phase of a member's voter, or `None` if the member is not running.
    pub fn phase(&self, member: usize) -> Option<Phase> {
        self.nodes[member].process.as_ref().map(|p| p.voter.phase())
    }

    /// Number of entries in a voter's log; 0 if it is not running.
    pub fn log_entries(&self, member: usize) -> u64 {
        self.nodes[member].process.as_ref().map_or(0, |p| p.voter.view(self.clock(member)).log_entries)
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

    /// Runs the simulation until `condition` holds, which is checked every 10 ms. Returns the elapsed
    /// time, or `None` after `timeout`.
    pub fn run_until(
        &mut self,
        timeout: Span,
        mut condition: impl FnMut(&OwnershipSimulation) -> bool,
    ) -> Option<Span> {
        let start = self.now;
        while !condition(self) {
            if self.now - start >= timeout {
                return None;
            }
            self.run_for(ms(10));
        }
        Some(self.now - start)
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival { from, to, datagram } => {
                let now = self.clock(to);
                let Some(process) = self.nodes[to].process.as_mut() else { return };
                if process.paused {
                    if process.receive_buffer.len() < MAX_BUFFERED_DATAGRAMS {
                        process.receive_buffer.push_back((address(from), datagram));
                    }
                    return;
                }
                receive(process, now, address(from), &datagram);
                self.carry_out_actions(to);
            }
            ScheduledEvent::Tick { member, run } => {
                let (now, clock) = (self.now, self.clock(member));
                if self.nodes[member].run != run {
                    return;
                }
                let Some(process) = self.nodes[member].process.as_mut().filter(|p| !p.paused) else { return };
                if process.next_tick_at.is_some_and(|at| at > now) {
                    return;
                }
                process.next_tick_at = None;
                process.voter.tick(clock);
                process.holder.tick(clock);
                self.carry_out_actions(member);
            }
            ScheduledEvent::WriteCompleted { member, run, ticket, succeeded } => {
                let clock = self.clock(member);
                if self.nodes[member].run != run {
                    return;
                }
                let mut unacknowledged_records = self.nodes[member].unacknowledged_records;
                let Some(process) = self.nodes[member].process.as_mut() else { return };
                if process.paused {
                    return self.schedule_after(
                        ms(1),
                        ScheduledEvent::WriteCompleted { member, run, ticket, succeeded },
                    );
                }
                unacknowledged_records = unacknowledged_records.saturating_sub(usize::from(succeeded));
                process.voter.on_written(
                    clock,
                    ticket,
                    if succeeded { Ok(()) } else { Err("simulated write failure") },
                );
                self.nodes[member].unacknowledged_records = unacknowledged_records;
                self.carry_out_actions(member);
            }
            ScheduledEvent::EffectCheck { member, run } => self.check_effect(member, run),
            ScheduledEvent::EffectArrival { member, epoch, number } => {
                if epoch < self.receiver.highest_epoch && !self.config.disabled.no_refusal {
                    self.receiver.refused += 1;
                    let (now, highest_epoch) = (self.clock(member), self.receiver.highest_epoch);
                    if let Some(process) = self.nodes[member].process.as_mut().filter(|p| !p.paused) {
                        process.holder.on_fenced(now, DUTY, highest_epoch);
                    }
                    return;
                }
                if epoch < self.receiver.highest_epoch {
                    let description = format!(
                        "an effect in {epoch:?} was accepted after one in {:?}",
                        self.receiver.highest_epoch
                    );
                    self.record_violation("effects-in-order", description);
                }
                self.receiver.highest_epoch = self.receiver.highest_epoch.max(epoch);
                self.receiver.accepted.push((self.now, epoch, member));
                // The owner stores the number of its last accepted effect with the duty.
                let now = self.clock(member);
                if let Some(process) = self.nodes[member].process.as_mut().filter(|p| !p.paused) {
                    process.last_effect = process.last_effect.max(number);
                    if number > process.last_stored {
                        process.last_stored = number;
                        process.holder.store(now, DUTY, &number.to_be_bytes());
                    }
                }
                self.carry_out_actions(member);
            }
        }
    }

    /// Carries out the actions of a process and schedules its next tick. Kills the process at a write or
    /// a send for which [`Self::kill_before_action`] planned it.
    fn carry_out_actions(&mut self, member: usize) {
        let (run, clock_offset) = (self.nodes[member].run, self.nodes[member].clock_offset);
        let Some(process) = self.nodes[member].process.as_mut() else { return };
        let mut actions = process.voter.take_actions();
        actions.extend(process.holder.take_actions());
        for action in actions {
            if !matches!(action, Action::Emit(_)) {
                match self.nodes[member].actions_until_kill.as_mut() {
                    Some(0) => {
                        self.nodes[member].actions_until_kill = None;
                        return self.kill(member);
                    }
                    Some(remaining) => *remaining -= 1,
                    None => {}
                }
            }
            match action {
                Action::Send { to, datagram } => self.send(member, member_at(to), datagram),
                Action::Write { ticket, record } => self.write(member, run, ticket, &record),
                Action::Emit(event) => self.record_event(member, event),
            }
        }
        let now = self.now;
        let Some(process) = self.nodes[member].process.as_mut().filter(|p| !p.paused) else { return };
        if let Some(state) = process.holder.acknowledged_state(DUTY).and_then(|s| s.try_into().ok()) {
            self.acknowledged_number = self.acknowledged_number.max(u64::from_be_bytes(state));
        }
        let due = process.voter.next_deadline().into_iter().chain(process.holder.next_deadline()).min();
        let Some(due) = due else { return };
        let at = now.max(Time::default() + (due - (Time::default() + clock_offset)));
        if process.next_tick_at.is_none_or(|scheduled| at < scheduled || scheduled <= now) {
            process.next_tick_at = Some(at);
            self.schedule_after(at - now, ScheduledEvent::Tick { member, run });
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        self.datagrams += 1;
        if from == to {
            return self
                .schedule_after(Span::from_nanos(20_000), ScheduledEvent::Arrival { from, to, datagram });
        }
        for delay in self.network.delivery_delays(from, to, &mut self.rng) {
            self.schedule_after(delay, ScheduledEvent::Arrival { from, to, datagram: datagram.clone() });
        }
    }

    fn write(&mut self, member: usize, run: u32, ticket: u64, record: &Record) {
        let node = &mut self.nodes[member];
        let succeeded = !node.writes_fail;
        if succeeded && *record != Record::Probe {
            node.disk.push(record.to_bytes());
            node.unacknowledged_records += 1;
        }
        let write_time = node.write_time;
        self.schedule_after(write_time, ScheduledEvent::WriteCompleted { member, run, ticket, succeeded });
    }
}

/// Passes a datagram to the voter, and a resulting response or notification to the lease holder.
fn receive(process: &mut Process, now: Time, from: SocketAddrV4, datagram: &[u8]) {
    match process.voter.receive(now, from, datagram) {
        Ok(Some(HolderMessage::Response { number, response })) => {
            process.holder.on_response(now, number, response)
        }
        Ok(Some(HolderMessage::DutyChanged { duty })) => process.holder.on_duty_changed(now, &duty),
        Ok(None) | Err(_) => {}
    }
}

/// Cause of a change of the owner, in [`takeover_time`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCause {
    /// The owner is killed.
    Kill,
    /// The duty is first handed over to the leader of the voters, which is then killed.
    KillLeader,
    /// The owner is paused.
    Pause,
    /// All links of the owner to other members are cut in both directions.
    Isolate,
    /// An operator hands the duty over to another member.
    HandOver,
}

/// Returns the time in seconds from `cause` until another member owns the duty, or `None` if that takes
/// more than 20 s or the initial state is not reached.
pub fn takeover_time(members: usize, cause: TakeoverCause, seed: u64) -> Option<f64> {
    let mut simulation =
        OwnershipSimulation::started(OwnershipConfig { members, seed, ..OwnershipConfig::default() });
    simulation.run_until(ms(10_000), |s| s.owners().len() == 1)?;
    let wait_ms = 2_000 + simulation.random_below(1_000);
    simulation.run_for(ms(wait_ms));
    if cause == TakeoverCause::KillLeader {
        let leader = simulation.leader()?;
        let command = AdminCommand::HandOver { duty: DUTY.to_string(), to: member_name(leader) };
        simulation.query(leader, 1, Some(&command));
        simulation.run_until(ms(5_000), |s| s.owners() == [leader])?;
        simulation.run_for(ms(wait_ms));
    }
    let owner = *simulation.owners().first()?;
    match cause {
        TakeoverCause::Kill | TakeoverCause::KillLeader => simulation.kill(owner),
        TakeoverCause::Pause => simulation.pause(owner),
        TakeoverCause::Isolate => {
            (0..members).filter(|o| *o != owner).for_each(|o| simulation.network.cut_both(owner, o))
        }
        TakeoverCause::HandOver => {
            let to = (owner + 1) % members;
            let command = AdminCommand::HandOver { duty: DUTY.to_string(), to: member_name(to) };
            simulation.query(to, 2, Some(&command));
        }
    }
    let elapsed = simulation.run_until(ms(20_000), |s| s.owners().iter().any(|o| *o != owner))?;
    Some(elapsed.secs())
}

/// Returns the number of datagrams per second that all members together send without faults or commands.
pub fn idle_datagrams_per_second(members: usize, seed: u64) -> f64 {
    let mut simulation =
        OwnershipSimulation::started(OwnershipConfig { members, seed, ..OwnershipConfig::default() });
    simulation.run_for(ms(5_000));
    let before = simulation.datagrams;
    simulation.run_for(ms(20_000));
    (simulation.datagrams - before) as f64 / 20.0
}
