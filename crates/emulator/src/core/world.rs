//! The world of the core: controllers and edges as processes on machines with disks, clocks and lines, the operators and
//! workers that call them, and what befalls all of these, on one virtual clock.

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

use super::checker::{CONTACT, Check, Checker, ZoneCall};
use super::controller::{Answer, Ask, Controller, Out};
use super::deliberate_fault::DeliberateFault;
use super::disk::Disk;
use super::edge::Edge;
use super::faults::{Fault, Target};
use super::linearizability::CallOutput;
use super::links::{Ends, Lines};
use super::operator::{Operator, Wants, change};
use super::worker::{BEAT, Goes, Worker};
use crate::event_queue::EventQueue;

pub(crate) const EDGES: usize = 2;
const OPERATORS: usize = 8;
const WORKERS: usize = 3;
/// A machine that came back counts as lost for so long.
pub(crate) const CATCH_UP: Span = Span::from_millis(4_000);
const GRACE: Span = Span::from_millis(6_000);
/// A call that was told nothing for so long is given up.
const CALL: Span = Span::from_millis(1_000);

pub(crate) fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub(crate) fn address(machine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, machine as u8 + 1], 80))
}

fn machine(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        std::net::IpAddr::V6(_) => unreachable!("the world's addresses are of the old kind"),
    }
}

/// What goes over a line.
#[derive(Clone, Debug)]
pub(crate) enum Word {
    Agreement(Box<Message>),
    Heard(Vec<Instance>),
    /// Says that it is there, and whom it knows.
    Here {
        controllers: Vec<usize>,
    },
    Hello {
        instances: bool,
    },
    Ping {
        clock: u64,
        have: u64,
    },
    ToProxy(Box<ToProxy>),
}

/// Something that concerns the process of a machine: while that stands still, it waits.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Sweep,
    Work,
    Written,
    Lines,
    Ping,
    MayEnd,
    Hears { ends: Ends, line: u64, from: usize, word: Word },
    Called { call: u64, ask: Ask },
}

enum Next {
    At {
        machine: usize,
        instance: u64,
        event: Event,
    },
    Answered {
        call: u64,
        answer: Option<Answer>,
    },
    GivenUp {
        call: u64,
    },
    Turn {
        operator: usize,
    },
    Heartbeat {
        worker: usize,
        instance: u32,
    },
    Back {
        machine: usize,
        instance: u64,
    },
    Thaw {
        machine: usize,
        instance: u64,
    },
    Mend {
        cut: u64,
    },
    /// A slow disk is quick again.
    Quick {
        machine: usize,
    },
    Fault(Fault),
    Calm,
    Listed,
    Probe,
}

pub(crate) enum Process {
    Controller(Box<Controller>),
    Edge(Box<Edge>),
}

pub(crate) struct Machine {
    pub process: Option<Process>,
    /// Which of its processes it is.
    pub instance: u64,
    is_edge: bool,
    pub frozen: bool,
    waiting: Vec<Event>,
    /// Its steady clock is ahead of the world's by so much: another at each start, as a clock that deltas makes it.
    ahead: Span,
    /// Whether it is among the operator's machines.
    pub present: bool,
    pub disk: Disk,
    seeds: Vec<SocketAddr>,
    /// The controllers that it keeps a line to.
    known: Vec<usize>,
    wakes_at: Option<Time>,
    works: bool,
    /// What befell it last: until when it counts as lost.
    pub lost_until: Time,
    pub began_at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Operator(usize),
    Worker(usize, u32),
}

struct Calling {
    by: Caller,
    controller: usize,
    /// Its place in the history of the configuration, or of the zones.
    store: Option<usize>,
    zone: Option<usize>,
}

pub(crate) struct World {
    pub now: Time,
    pub began_at: Time,
    pub chance: Pcg64Mcg,
    agenda: EventQueue<Next>,
    pub machines: Vec<Machine>,
    lines: Lines<Word>,
    /// How many cuts there were, and which of them are not mended.
    cuts: u64,
    cut_now: Vec<u64>,
    calls: BTreeMap<u64, Calling>,
    last_call: u64,
    pub operators: Vec<Operator>,
    pub workers: Vec<Worker>,
    /// The controllers as the callers' list has them.
    listed: Vec<usize>,
    last_mark: u32,
    pub judges: Checker,
    /// The core is not settled for the contact time after this.
    pub troubled_at: Time,
    slow_until: Time,
    armed: Option<Fault>,
    votes_armed: Option<Span>,
    removed: Option<usize>,
    tolerated: usize,
    /// More machines than the budget names may be away for a moment, as long as no disk is lost.
    pub beyond_budget: bool,
    pub fault: Option<DeliberateFault>,
    /// Operators begin nothing new.
    pub closing: bool,
    pub events: u64,
    pub told: Vec<String>,
}

impl World {
    pub fn new(seed: u64, controllers: usize, tolerated: usize, fault: Option<DeliberateFault>) -> World {
        let now = Time::from_nanos(0) + ms(1_000_000);
        let mut world = World {
            now,
            began_at: now,
            chance: Pcg64Mcg::seed_from_u64(seed),
            agenda: EventQueue::default(),
            machines: Vec::new(),
            lines: Lines::default(),
            cuts: 0,
            cut_now: Vec::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            operators: vec![Operator::new(); OPERATORS],
            workers: (0..WORKERS).map(|n| Worker::new(now, n, 1)).collect(),
            listed: (EDGES..EDGES + controllers).collect(),
            last_mark: 0,
            judges: Checker::new(now),
            troubled_at: now,
            slow_until: now,
            armed: None,
            votes_armed: None,
            removed: None,
            tolerated,
            beyond_budget: false,
            fault,
            closing: false,
            events: 0,
            told: Vec::new(),
        };
        let seeds: Vec<SocketAddr> = (EDGES..EDGES + 3).map(address).collect();
        for n in 0..EDGES + controllers {
            world.add(n < EDGES, seeds.clone());
            let later = ms(world.chance.random_range(0..300));
            world.plan(later, Next::Back { machine: n, instance: 0 });
        }
        for operator in 0..OPERATORS {
            let later = ms(300 + world.chance.random_range(0..1_500));
            world.plan(later, Next::Turn { operator });
        }
        for worker in 0..WORKERS {
            let later = ms(500 + world.chance.random_range(0..1_000));
            world.plan(later, Next::Heartbeat { worker, instance: 1 });
        }
        world.plan(ms(3_000), Next::Listed);
        world.plan(ms(250), Next::Probe);
        world
    }

    fn add(&mut self, is_edge: bool, seeds: Vec<SocketAddr>) -> usize {
        self.machines.push(Machine {
            process: None,
            instance: 0,
            is_edge,
            frozen: false,
            waiting: Vec::new(),
            ahead: Span::ZERO,
            present: true,
            disk: Disk::empty(),
            known: Vec::new(),
            seeds,
            wakes_at: None,
            works: false,
            lost_until: self.now,
            began_at: self.now,
        });
        self.machines.len() - 1
    }

    fn plan(&mut self, later: Span, next: Next) {
        self.agenda.schedule(self.now + later, next);
    }

    fn plan_at(&mut self, machine: usize, at: Time, event: Event) {
        let instance = self.machines[machine].instance;
        self.agenda.schedule(at.max(self.now), Next::At { machine, instance, event });
    }

    pub fn fault_at(&mut self, later: Span, fault: Fault) {
        self.plan(later, Next::Fault(fault));
    }

    pub fn calm_at(&mut self, later: Span) {
        self.plan(later, Next::Calm);
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, next)) = self.agenda.pop_due(until) {
            self.now = self.now.max(at);
            self.events += 1;
            self.happen(next);
        }
        self.now = until;
    }

    fn clock(&self, machine: usize) -> Time {
        self.now + self.machines[machine].ahead
    }

    pub fn controllers(&self) -> impl Iterator<Item = usize> {
        (EDGES..self.machines.len()).filter(|m| self.machines[*m].present)
    }

    pub fn controller(&self, machine: usize) -> Option<&Controller> {
        match &self.machines[machine].process {
            Some(Process::Controller(controller)) => Some(controller),
            _ => None,
        }
    }

    pub fn edge(&self, machine: usize) -> Option<&Edge> {
        match &self.machines[machine].process {
            Some(Process::Edge(edge)) => Some(edge),
            _ => None,
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |m: &usize| self.controller(*m).is_some_and(|h| h.consensus.is_established_leader());
        self.controllers().filter(leads).max_by_key(|m| self.controller(*m).map(|h| h.consensus.term()))
    }

    // ---- what happens ----

    fn happen(&mut self, next: Next) {
        match next {
            Next::At { machine, instance, event } => {
                let m = &mut self.machines[machine];
                if m.instance != instance || m.process.is_none() {
                    return;
                }
                if m.frozen {
                    return m.waiting.push(event);
                }
                self.does(machine, event);
            }
            Next::Answered { call, answer } => self.answered(call, answer),
            Next::GivenUp { call } => self.answered(call, None),
            Next::Turn { operator } => self.turn(operator),
            Next::Heartbeat { worker, instance } => self.heartbeat(worker, instance),
            Next::Back { machine, instance } => {
                if self.machines[machine].instance == instance && self.machines[machine].process.is_none() {
                    self.start(machine);
                }
            }
            Next::Thaw { machine, instance } => {
                if self.machines[machine].instance == instance {
                    self.thaw(machine);
                }
            }
            Next::Mend { cut } => {
                self.cut_now.retain(|c| *c != cut);
                if self.cut_now.is_empty() {
                    self.mend();
                }
            }
            Next::Quick { machine } => {
                self.machines[machine].disk.sync = ms(1);
                self.troubled_at = self.now;
            }
            Next::Fault(fault) => self.fault(fault),
            Next::Calm => self.calm(),
            Next::Listed => {
                self.listed = self.controllers().collect();
                self.plan(ms(3_000), Next::Listed);
            }
            Next::Probe => {
                self.probe();
                self.plan(ms(250), Next::Probe);
            }
        }
    }

    fn does(&mut self, machine: usize, event: Event) {
        let now = self.clock(machine);
        if let Event::Lines = event {
            return self.opens(machine);
        }
        if let Event::Hears { ends, line, from, word } = event {
            if self.lines.instance(ends) == line {
                self.hears(machine, from, word);
            }
            return;
        }
        let m = &mut self.machines[machine];
        match (&mut m.process, event) {
            (Some(Process::Controller(controller)), event) => match event {
                Event::Tick => {
                    m.wakes_at = None;
                    controller.tick(now);
                }
                Event::Sweep => {
                    controller.sweep(now);
                    m.disk.instances = controller.detector.registry().snapshot(now);
                    self.plan_at(machine, self.now + ms(500), Event::Sweep);
                    self.says_here(machine);
                }
                Event::Work => {
                    m.works = false;
                    controller.work(now);
                }
                Event::Written => {
                    let keeps = self.fault != Some(DeliberateFault::UnsyncedVote);
                    let written = m.disk.end(self.now, keeps);
                    if let Some(number) = written {
                        controller.saved(now, number);
                    }
                    if let Some(at) = m.disk.begin(self.now) {
                        self.plan_at(machine, at, Event::Written);
                    }
                }
                // Whoever has hung up meanwhile asks for nothing any more.
                Event::Called { call, .. } if !self.calls.contains_key(&call) => {}
                Event::Called { call, ask } => controller.call(now, call, ask),
                Event::MayEnd => {
                    if controller.consensus.may_shut_down(now) {
                        return self.ends(machine);
                    }
                    self.plan_at(machine, self.now + ms(50), Event::MayEnd);
                }
                _ => {}
            },
            (Some(Process::Edge(_)), Event::Ping) => {
                self.pings(machine, None);
                self.plan_at(machine, self.now + ms(1_000), Event::Ping);
            }
            _ => {}
        }
        self.after(machine);
    }

    /// Carries out what a controller wants done, and plans its next tick.
    fn after(&mut self, machine: usize) {
        loop {
            let Some(Process::Controller(controller)) = &mut self.machines[machine].process else { return };
            let out = controller.take();
            if out.is_empty() {
                break;
            }
            for one in out {
                self.carries_out(machine, one);
                if self.machines[machine].process.is_none() {
                    return;
                }
            }
        }
        let now = self.now;
        let m = &mut self.machines[machine];
        let Some(Process::Controller(controller)) = &m.process else { return };
        let due = now + (controller.consensus.next_due() - (now + m.ahead));
        let at = due.max(now + ms(1));
        let (ticks, works) = (m.wakes_at.is_none_or(|w| at < w), controller.waits() && !m.works);
        if ticks {
            m.wakes_at = Some(at);
        }
        m.works |= works;
        let voters: Vec<usize> =
            controller.consensus.voters().iter().map(|v| self::machine(v.node)).collect();
        for voter in voters {
            self.knows(machine, voter);
        }
        if ticks {
            self.plan_at(machine, at, Event::Tick);
        }
        if works {
            self.plan_at(machine, now + ms(4), Event::Work);
        }
    }

    fn carries_out(&mut self, machine: usize, out: Out) {
        match out {
            Out::Save(number, record) => {
                let votes_for = record.vote.filter(|v| *v != address(machine));
                let m = &mut self.machines[machine];
                if m.disk.save(number, record)
                    && let Some(at) = m.disk.begin(self.now)
                {
                    self.plan_at(machine, at, Event::Written);
                }
                if let (Some(long), Some(candidate)) = (self.votes_armed, votes_for) {
                    self.votes_armed = None;
                    // The vote is synced, and on its way; then the power goes.
                    let fault = Fault::Power { target: Target::Number(machine - EDGES), down: 60 };
                    self.fault_at(ms(6), fault);
                    let cut = Fault::CutOff {
                        target: Target::Number(self::machine(candidate) - EDGES),
                        long: long.nanos() / 1_000_000,
                    };
                    self.fault_at(ms(7), cut);
                }
            }
            Out::Say(to, message) => {
                let to = self::machine(to);
                let message =
                    if self.fault == Some(DeliberateFault::MarkLost) { unmarked(message) } else { message };
                self.send((machine, to), machine, Word::Agreement(Box::new(message)));
            }
            Out::Pass(instances) => {
                for to in self.machines[machine].known.clone() {
                    self.send((machine, to), machine, Word::Heard(instances.clone()));
                }
            }
            Out::Tell(one, word) => {
                let edges = (0..EDGES).filter(|e| one.is_none_or(|o| o == *e));
                for edge in edges.collect::<Vec<_>>() {
                    self.send((edge, machine), machine, Word::ToProxy(Box::new(word.clone())));
                }
            }
            Out::Answer(call, answer) => {
                if let (Some(Calling { by: Caller::Operator(_), .. }), Answer::Status(200)) =
                    (self.calls.get(&call), &answer)
                    && let Some(fault) = self.armed.take()
                {
                    let later = Span::from_nanos(self.chance.random_range(0..4_000_000));
                    self.fault_at(later, fault);
                }
                let later = self.way();
                // Answers get lost with their connections.
                let answer = Some(answer).filter(|_| !self.chance.random_bool(0.02));
                self.plan(later, Next::Answered { call, answer });
            }
        }
    }

    fn way(&mut self) -> Span {
        let drawn: f64 = self.chance.random();
        Span::from_secs(0.0005 + 0.004 * drawn.powi(3))
    }
}

/// A state that loses the marks of what was taken.
fn unmarked(message: Message) -> Message {
    let Message::Append {
        term,
        round,
        last,
        state: Some(mut state),
        committed,
        clock_echo: echo,
        confirmed_ns_ago: fresh,
    } = message
    else {
        return message;
    };
    if let Ok(ciborium::Value::Map(mut store)) = ciborium::from_reader(&state.config.0[..]) {
        store.retain(|(key, _)| key.as_text() != Some("marks"));
        let mut out = Vec::new();
        if ciborium::into_writer(&ciborium::Value::Map(store), &mut out).is_ok() {
            state.config = Bytes(out.into());
        }
    }
    Message::Append {
        term,
        round,
        last,
        state: Some(state),
        committed,
        clock_echo: echo,
        confirmed_ns_ago: fresh,
    }
}
