//! Simulated system: controllers and proxies as processes on machines with disks, clocks and network
//! links, the operators and workers that call them, and the injected faults, all on one virtual clock.

mod clients;
mod fault_actions;
mod machines;
mod messaging;
mod probes;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_consensus::ConsensusConfig;
use lynxstair_protocol::consensus::Message;
use lynxstair_protocol::messages::{Bytes, Instance, ToProxy};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::checker::{CONTACT_TIME, Check, Checker, ZoneCall};
use super::controller::{Answer, ClientCall, Controller, Output};
use super::deliberate_fault::DeliberateFault;
use super::disk::Disk;
use super::faults::{Fault, Target};
use super::linearizability::CallOutput;
use super::links::{LinkEnds, Links};
use super::operator::{Operator, OperatorTask, draw_change};
use super::proxy::Proxy;
use super::worker::{HEARTBEAT_PERIOD, Worker, WorkerPhase};
use crate::event_queue::EventQueue;

/// Number of proxies. They run on the first machines; the controllers run on all others.
pub(crate) const PROXY_COUNT: usize = 2;
const OPERATOR_COUNT: usize = 8;
const WORKER_COUNT: usize = 3;
/// Time after the return of a machine during which it still counts as lost.
pub(crate) const CATCH_UP_TIME: Span = Span::from_millis(4_000);
/// Time within which a graceful shutdown of a controller ends.
const SHUTDOWN_GRACE: Span = Span::from_millis(6_000);
/// Time-out of a call without an answer.
const CALL_TIMEOUT: Span = Span::from_millis(1_000);

pub(crate) fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub(crate) fn address(machine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, machine as u8 + 1], 80))
}

/// Returns the machine that has this address.
fn machine(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        std::net::IpAddr::V6(_) => unreachable!("simulated machines have IPv4 addresses"),
    }
}

/// Message between two processes over a link.
#[derive(Clone, Debug)]
pub(crate) enum LinkMessage {
    Consensus(Box<Message>),
    /// Worker instances, as known to the sending controller.
    Instances(Vec<Instance>),
    /// Heartbeat between controllers.
    PeerHeartbeat {
        /// Controllers to which the sender has an open link.
        known_peers: Vec<usize>,
    },
    /// Subscription of a proxy.
    Subscribe {
        wants_instances: bool,
    },
    /// Heartbeat of a proxy.
    Heartbeat {
        /// Clock of the proxy, in nanoseconds.
        clock: u64,
        /// Revision on which a delta may be based.
        revision: u64,
    },
    ToProxy(Box<ToProxy>),
}

/// Event of a process. It is deferred while the process is paused.
#[derive(Clone, Debug)]
enum ProcessEvent {
    Tick,
    DetectUnresponsive,
    ProcessCalls,
    WriteDone,
    OpenLinks,
    SendHeartbeat,
    CheckShutdown,
    Receive { ends: LinkEnds, connection: u64, from: usize, message: LinkMessage },
    Call { call: u64, request: ClientCall },
}

/// Scheduled event of the simulation.
enum WorldEvent {
    /// Event of the process `instance` on a machine; dropped if that process no longer runs.
    Process {
        machine: usize,
        instance: u64,
        event: ProcessEvent,
    },
    /// `None` if the answer or the connection was lost.
    Answered {
        call: u64,
        answer: Option<Answer>,
    },
    CallTimeout {
        call: u64,
    },
    OperatorTurn {
        operator: usize,
    },
    WorkerHeartbeat {
        worker: usize,
        instance: u32,
    },
    Restart {
        machine: usize,
        instance: u64,
    },
    Resume {
        machine: usize,
        instance: u64,
    },
    CutEnds {
        cut: u64,
    },
    /// A slow disk has its usual speed again.
    DiskRecovers {
        machine: usize,
    },
    Fault(Fault),
    /// No further faults; the effects of earlier ones end.
    FaultsEnd,
    RefreshControllerList,
    Probe,
}

pub(crate) enum Process {
    Controller(Box<Controller>),
    Proxy(Box<Proxy>),
}

pub(crate) struct Machine {
    pub process: Option<Process>,
    /// Number of the current process; increases at each start and stop.
    pub instance: u64,
    is_proxy: bool,
    pub is_paused: bool,
    /// Events that occurred while the process was paused.
    deferred_events: Vec<ProcessEvent>,
    /// Offset of the process's monotonic clock from the virtual clock, drawn anew at each start.
    clock_offset: Span,
    /// `false` once the machine was shut down for good, removed or lost.
    pub is_deployed: bool,
    pub disk: Disk,
    seeds: Vec<SocketAddr>,
    /// Controllers to which the process keeps a link open.
    known_controllers: Vec<usize>,
    next_tick_at: Option<Time>,
    is_work_scheduled: bool,
    /// The machine counts as lost until then, because of a fault.
    pub lost_until: Time,
    pub started_at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Operator(usize),
    Worker(usize, u32),
}

/// A call that waits for its answer.
struct OpenCall {
    caller: Caller,
    controller: usize,
    /// Index in the checker's history of configuration calls.
    call_index: Option<usize>,
    /// Index in the checker's history of zone commands.
    zone_index: Option<usize>,
}

pub(crate) struct World {
    pub now: Time,
    pub began_at: Time,
    pub rng: Pcg64Mcg,
    event_queue: EventQueue<WorldEvent>,
    pub machines: Vec<Machine>,
    links: Links<LinkMessage>,
    cut_count: u64,
    /// Numbers of the cuts that have not ended.
    active_cuts: Vec<u64>,
    open_calls: BTreeMap<u64, OpenCall>,
    last_call_id: u64,
    pub operators: Vec<Operator>,
    pub workers: Vec<Worker>,
    /// Controllers that operators and workers know; refreshed periodically.
    listed_controllers: Vec<usize>,
    last_mark: u32,
    pub checker: Checker,
    /// Last begin or end of a fault. The core counts as settled only `CONTACT_TIME` later.
    pub last_disturbed_at: Time,
    slow_disk_until: Time,
    /// Fault to inject after the next acknowledgement of a command.
    fault_after_ack: Option<Fault>,
    /// Duration for which the next candidate that receives a vote is cut off.
    cut_after_vote: Option<Span>,
    removed_machine: Option<usize>,
    tolerated_disk_losses: usize,
    /// Machines may be down or cut off beyond the fault budget, as long as no disk is lost.
    pub ignores_fault_budget: bool,
    pub deliberate_fault: Option<DeliberateFault>,
    /// Operators start no new tasks of their own.
    pub is_final_phase: bool,
    pub event_count: u64,
    pub event_log: Vec<String>,
}

impl World {
    pub fn new(
        seed: u64,
        controllers: usize,
        tolerated_disk_losses: usize,
        deliberate_fault: Option<DeliberateFault>,
    ) -> World {
        let now = Time::from_nanos(0) + ms(1_000_000);
        let mut world = World {
            now,
            began_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            event_queue: EventQueue::default(),
            machines: Vec::new(),
            links: Links::default(),
            cut_count: 0,
            active_cuts: Vec::new(),
            open_calls: BTreeMap::new(),
            last_call_id: 0,
            operators: vec![Operator::new(); OPERATOR_COUNT],
            workers: (0..WORKER_COUNT).map(|n| Worker::new(now, n, 1)).collect(),
            listed_controllers: (PROXY_COUNT..PROXY_COUNT + controllers).collect(),
            last_mark: 0,
            checker: Checker::new(now),
            last_disturbed_at: now,
            slow_disk_until: now,
            fault_after_ack: None,
            cut_after_vote: None,
            removed_machine: None,
            tolerated_disk_losses,
            ignores_fault_budget: false,
            deliberate_fault,
            is_final_phase: false,
            event_count: 0,
            event_log: Vec::new(),
        };
        let seeds: Vec<SocketAddr> = (PROXY_COUNT..PROXY_COUNT + 3).map(address).collect();
        for n in 0..PROXY_COUNT + controllers {
            world.add_machine(n < PROXY_COUNT, seeds.clone());
            let delay = ms(world.rng.random_range(0..300));
            world.schedule(delay, WorldEvent::Restart { machine: n, instance: 0 });
        }
        for operator in 0..OPERATOR_COUNT {
            let delay = ms(300 + world.rng.random_range(0..1_500));
            world.schedule(delay, WorldEvent::OperatorTurn { operator });
        }
        for worker in 0..WORKER_COUNT {
            let delay = ms(500 + world.rng.random_range(0..1_000));
            world.schedule(delay, WorldEvent::WorkerHeartbeat { worker, instance: 1 });
        }
        world.schedule(ms(3_000), WorldEvent::RefreshControllerList);
        world.schedule(ms(250), WorldEvent::Probe);
        world
    }

    /// Adds a machine on which no process runs yet, and returns its number.
    fn add_machine(&mut self, is_proxy: bool, seeds: Vec<SocketAddr>) -> usize {
        self.machines.push(Machine {
            process: None,
            instance: 0,
            is_proxy,
            is_paused: false,
            deferred_events: Vec::new(),
            clock_offset: Span::ZERO,
            is_deployed: true,
            disk: Disk::empty(),
            known_controllers: Vec::new(),
            seeds,
            next_tick_at: None,
            is_work_scheduled: false,
            lost_until: self.now,
            started_at: self.now,
        });
        self.machines.len() - 1
    }

    fn schedule(&mut self, delay: Span, event: WorldEvent) {
        self.event_queue.schedule(self.now + delay, event);
    }

    fn schedule_process_event(&mut self, machine: usize, at: Time, event: ProcessEvent) {
        let instance = self.machines[machine].instance;
        self.event_queue.schedule(at.max(self.now), WorldEvent::Process { machine, instance, event });
    }

    pub fn schedule_fault(&mut self, delay: Span, fault: Fault) {
        self.schedule(delay, WorldEvent::Fault(fault));
    }

    pub fn schedule_end_of_faults(&mut self, delay: Span) {
        self.schedule(delay, WorldEvent::FaultsEnd);
    }

    /// Advances the virtual clock and handles all events that become due.
    pub fn run(&mut self, duration: Span) {
        let until = self.now + duration;
        while let Some((at, event)) = self.event_queue.pop_due(until) {
            self.now = self.now.max(at);
            self.event_count += 1;
            self.handle(event);
        }
        self.now = until;
    }

    /// Returns the monotonic clock of a machine's process.
    fn clock(&self, machine: usize) -> Time {
        self.now + self.machines[machine].clock_offset
    }

    /// Machines of the deployed controllers, whether they run or not.
    pub fn controllers(&self) -> impl Iterator<Item = usize> {
        (PROXY_COUNT..self.machines.len()).filter(|m| self.machines[*m].is_deployed)
    }

    pub fn controller(&self, machine: usize) -> Option<&Controller> {
        match &self.machines[machine].process {
            Some(Process::Controller(controller)) => Some(controller),
            _ => None,
        }
    }

    pub fn proxy(&self, machine: usize) -> Option<&Proxy> {
        match &self.machines[machine].process {
            Some(Process::Proxy(proxy)) => Some(proxy),
            _ => None,
        }
    }

    /// Returns the established leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |m: &usize| self.controller(*m).is_some_and(|c| c.consensus.is_established_leader());
        self.controllers().filter(is_leader).max_by_key(|m| self.controller(*m).map(|c| c.consensus.term()))
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Process { machine, instance, event } => {
                let m = &mut self.machines[machine];
                if m.instance != instance || m.process.is_none() {
                    return;
                }
                if m.is_paused {
                    return m.deferred_events.push(event);
                }
                self.handle_process_event(machine, event);
            }
            WorldEvent::Answered { call, answer } => self.on_answer(call, answer),
            WorldEvent::CallTimeout { call } => self.on_answer(call, None),
            WorldEvent::OperatorTurn { operator } => self.operator_turn(operator),
            WorldEvent::WorkerHeartbeat { worker, instance } => self.worker_heartbeat(worker, instance),
            WorldEvent::Restart { machine, instance } => {
                if self.machines[machine].instance == instance && self.machines[machine].process.is_none() {
                    self.start(machine);
                }
            }
            WorldEvent::Resume { machine, instance } => {
                if self.machines[machine].instance == instance {
                    self.resume(machine);
                }
            }
            WorldEvent::CutEnds { cut } => {
                self.active_cuts.retain(|c| *c != cut);
                if self.active_cuts.is_empty() {
                    self.heal_links();
                }
            }
            WorldEvent::DiskRecovers { machine } => {
                self.machines[machine].disk.write_duration = ms(1);
                self.last_disturbed_at = self.now;
            }
            WorldEvent::Fault(fault) => self.inject(fault),
            WorldEvent::FaultsEnd => self.end_faults(),
            WorldEvent::RefreshControllerList => {
                self.listed_controllers = self.controllers().collect();
                self.schedule(ms(3_000), WorldEvent::RefreshControllerList);
            }
            WorldEvent::Probe => {
                self.probe();
                self.schedule(ms(250), WorldEvent::Probe);
            }
        }
    }

    fn handle_process_event(&mut self, machine: usize, event: ProcessEvent) {
        let now = self.clock(machine);
        if let ProcessEvent::OpenLinks = event {
            return self.open_links(machine);
        }
        if let ProcessEvent::Receive { ends, connection, from, message } = event {
            if self.links.connection_number(ends) == connection {
                self.receive(machine, from, message);
            }
            return;
        }
        let m = &mut self.machines[machine];
        match (&mut m.process, event) {
            (Some(Process::Controller(controller)), event) => match event {
                ProcessEvent::Tick => {
                    m.next_tick_at = None;
                    controller.tick(now);
                }
                ProcessEvent::DetectUnresponsive => {
                    controller.detect_unresponsive(now);
                    m.disk.instances = controller.detector.registry().snapshot(now);
                    self.schedule_process_event(
                        machine,
                        self.now + ms(500),
                        ProcessEvent::DetectUnresponsive,
                    );
                    self.send_peer_heartbeats(machine);
                }
                ProcessEvent::ProcessCalls => {
                    m.is_work_scheduled = false;
                    controller.process_calls(now);
                }
                ProcessEvent::WriteDone => {
                    let keeps_votes = self.deliberate_fault != Some(DeliberateFault::UnsyncedVote);
                    let written = m.disk.finish_write(self.now, keeps_votes);
                    if let Some(number) = written {
                        controller.on_persisted(now, number);
                    }
                    if let Some(at) = m.disk.begin_write(self.now) {
                        self.schedule_process_event(machine, at, ProcessEvent::WriteDone);
                    }
                }
                // The caller has closed its connection.
                ProcessEvent::Call { call, .. } if !self.open_calls.contains_key(&call) => {}
                ProcessEvent::Call { call, request } => controller.handle_call(now, call, request),
                ProcessEvent::CheckShutdown => {
                    if controller.consensus.may_shut_down(now) {
                        return self.finish_shutdown(machine);
                    }
                    self.schedule_process_event(machine, self.now + ms(50), ProcessEvent::CheckShutdown);
                }
                _ => {}
            },
            (Some(Process::Proxy(_)), ProcessEvent::SendHeartbeat) => {
                self.send_proxy_heartbeats(machine, None);
                self.schedule_process_event(machine, self.now + ms(1_000), ProcessEvent::SendHeartbeat);
            }
            _ => {}
        }
        self.execute_outputs(machine);
    }

    /// Executes the outputs of a controller and schedules its next events.
    fn execute_outputs(&mut self, machine: usize) {
        loop {
            let Some(Process::Controller(controller)) = &mut self.machines[machine].process else { return };
            let outputs = controller.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.execute_output(machine, output);
                if self.machines[machine].process.is_none() {
                    return;
                }
            }
        }
        let now = self.now;
        let m = &mut self.machines[machine];
        let Some(Process::Controller(controller)) = &m.process else { return };
        let due = now + (controller.consensus.next_due() - (now + m.clock_offset));
        let at = due.max(now + ms(1));
        let (needs_tick, needs_work) = (
            m.next_tick_at.is_none_or(|next| at < next),
            controller.has_pending_calls() && !m.is_work_scheduled,
        );
        if needs_tick {
            m.next_tick_at = Some(at);
        }
        m.is_work_scheduled |= needs_work;
        let voters: Vec<usize> =
            controller.consensus.voters().iter().map(|v| self::machine(v.node)).collect();
        for voter in voters {
            self.add_known_controller(machine, voter);
        }
        if needs_tick {
            self.schedule_process_event(machine, at, ProcessEvent::Tick);
        }
        if needs_work {
            self.schedule_process_event(machine, now + ms(4), ProcessEvent::ProcessCalls);
        }
    }

    fn execute_output(&mut self, machine: usize, output: Output) {
        match output {
            Output::Persist(number, state) => {
                let candidate = state.vote.filter(|v| *v != address(machine));
                let m = &mut self.machines[machine];
                if m.disk.queue_write(number, state)
                    && let Some(at) = m.disk.begin_write(self.now)
                {
                    self.schedule_process_event(machine, at, ProcessEvent::WriteDone);
                }
                if let (Some(duration), Some(candidate)) = (self.cut_after_vote, candidate) {
                    self.cut_after_vote = None;
                    // The power fails once the vote is synced and sent.
                    let fault = Fault::Power { target: Target::Number(machine - PROXY_COUNT), down: 60 };
                    self.schedule_fault(ms(6), fault);
                    let cut = Fault::CutOff {
                        target: Target::Number(self::machine(candidate) - PROXY_COUNT),
                        long: duration.nanos() / 1_000_000,
                    };
                    self.schedule_fault(ms(7), cut);
                }
            }
            Output::SendToPeer(to, message) => {
                let to = self::machine(to);
                let message = if self.deliberate_fault == Some(DeliberateFault::MarkLost) {
                    without_marks(message)
                } else {
                    message
                };
                self.send((machine, to), machine, LinkMessage::Consensus(Box::new(message)));
            }
            Output::BroadcastInstances(instances) => {
                for to in self.machines[machine].known_controllers.clone() {
                    self.send((machine, to), machine, LinkMessage::Instances(instances.clone()));
                }
            }
            Output::SendToProxies(only, message) => {
                let proxies = (0..PROXY_COUNT).filter(|p| only.is_none_or(|o| o == *p));
                for proxy in proxies.collect::<Vec<_>>() {
                    self.send((proxy, machine), machine, LinkMessage::ToProxy(Box::new(message.clone())));
                }
            }
            Output::Answer(call, answer) => {
                if let (Some(OpenCall { caller: Caller::Operator(_), .. }), Answer::Status(200)) =
                    (self.open_calls.get(&call), &answer)
                    && let Some(fault) = self.fault_after_ack.take()
                {
                    let delay = Span::from_nanos(self.rng.random_range(0..4_000_000));
                    self.schedule_fault(delay, fault);
                }
                let delay = self.draw_network_delay();
                // The connection fails before the answer arrives.
                let answer = Some(answer).filter(|_| !self.rng.random_bool(0.02));
                self.schedule(delay, WorldEvent::Answered { call, answer });
            }
        }
    }

    fn draw_network_delay(&mut self) -> Span {
        let fraction: f64 = self.rng.random();
        Span::from_secs(0.0005 + 0.004 * fraction.powi(3))
    }
}

/// Removes the table of recently applied commands from a replicated state.
fn without_marks(message: Message) -> Message {
    let Message::Append {
        term,
        round,
        last,
        state: Some(mut state),
        committed,
        clock_echo,
        confirmed_ns_ago,
    } = message
    else {
        return message;
    };
    if let Ok(ciborium::Value::Map(mut store)) = ciborium::from_reader(&state.config.0[..]) {
        store.retain(|(key, _)| key.as_text() != Some("marks"));
        let mut encoded = Vec::new();
        if ciborium::into_writer(&ciborium::Value::Map(store), &mut encoded).is_ok() {
            state.config = Bytes(encoded.into());
        }
    }
    Message::Append { term, round, last, state: Some(state), committed, clock_echo, confirmed_ns_ago }
}
