//! The world of the core: huts and edges as processes on machines with disks, clocks and lines, the operators and
//! workers that call them, and what befalls all of these, on one virtual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_cairn::Boot;
use lynxstair_trailbook::agreement::Message;
use lynxstair_trailbook::words::{Bytes, Down, Life};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deliberate::Deliberate;
use super::disk::Disk;
use super::edge::Edge;
use super::histories::Told;
use super::hut::{Answer, Ask, Hut, Out};
use super::judges::{CONTACT, Judge, Judges, ZoneCall};
use super::lines::{Ends, Lines};
use super::operators::{Operator, Wants, change};
use super::troubles::{Trouble, Whom};
use super::workers::{BEAT, Goes, Worker};
use crate::agenda::Agenda;

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
    Heard(Vec<Life>),
    Hello { lives: bool },
    Ping { clock: u64, have: u64 },
    Down(Box<Down>),
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
    At { machine: usize, life: u64, event: Event },
    Answered { call: u64, answer: Option<Answer> },
    GivenUp { call: u64 },
    Turn { operator: usize },
    Beat { worker: usize, life: u32 },
    Back { machine: usize, life: u64 },
    Thaw { machine: usize, life: u64 },
    Mend { cut: u64 },
    /// A slow disk is quick again.
    Quick { machine: usize },
    Trouble(Trouble),
    Calm,
    Listed,
    Probe,
}

pub(crate) enum Process {
    Hut(Box<Hut>),
    Edge(Box<Edge>),
}

pub(crate) struct Machine {
    pub process: Option<Process>,
    /// Which of its processes it is.
    pub life: u64,
    is_edge: bool,
    pub frozen: bool,
    waiting: Vec<Event>,
    /// Its steady clock is ahead of the world's by so much: another at each start, as a clock that steps makes it.
    ahead: Span,
    /// Whether it is among the operator's machines.
    pub present: bool,
    pub disk: Disk,
    seeds: Vec<SocketAddr>,
    /// The huts that it keeps a line to.
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
    hut: usize,
    /// Its place in the history of the book, or of the zones.
    book: Option<usize>,
    zone: Option<usize>,
}

pub(crate) struct World {
    pub now: Time,
    pub began_at: Time,
    pub chance: Pcg64Mcg,
    agenda: Agenda<Next>,
    pub machines: Vec<Machine>,
    lines: Lines<Word>,
    /// How many cuts there were, and which of them are not mended.
    cuts: u64,
    cut_now: Vec<u64>,
    calls: BTreeMap<u64, Calling>,
    last_call: u64,
    pub operators: Vec<Operator>,
    pub workers: Vec<Worker>,
    /// The huts as the callers' list has them.
    listed: Vec<usize>,
    last_mark: u32,
    pub judges: Judges,
    /// The core is not settled for the contact time after this.
    pub troubled_at: Time,
    slow_until: Time,
    armed: Option<Trouble>,
    votes_armed: Option<Span>,
    removed: Option<usize>,
    tolerated: usize,
    /// More machines than the budget names may be away for a moment, as long as no disk is lost.
    pub beyond_budget: bool,
    pub fault: Option<Deliberate>,
    /// Operators begin nothing new.
    pub closing: bool,
    pub events: u64,
    pub told: Vec<String>,
}

impl World {
    pub fn new(seed: u64, huts: usize, tolerated: usize, fault: Option<Deliberate>) -> World {
        let now = Time::from_nanos(0) + ms(1_000_000);
        let mut world = World {
            now,
            began_at: now,
            chance: Pcg64Mcg::seed_from_u64(seed),
            agenda: Agenda::default(),
            machines: Vec::new(),
            lines: Lines::default(),
            cuts: 0,
            cut_now: Vec::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            operators: vec![Operator::new(); OPERATORS],
            workers: (0..WORKERS).map(|n| Worker::new(now, n, 1)).collect(),
            listed: (EDGES..EDGES + huts).collect(),
            last_mark: 0,
            judges: Judges::new(now),
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
        for n in 0..EDGES + huts {
            world.add(n < EDGES, seeds.clone());
            let later = ms(world.chance.random_range(0..300));
            world.plan(later, Next::Back { machine: n, life: 0 });
        }
        for operator in 0..OPERATORS {
            let later = ms(300 + world.chance.random_range(0..1_500));
            world.plan(later, Next::Turn { operator });
        }
        for worker in 0..WORKERS {
            let later = ms(500 + world.chance.random_range(0..1_000));
            world.plan(later, Next::Beat { worker, life: 1 });
        }
        world.plan(ms(3_000), Next::Listed);
        world.plan(ms(250), Next::Probe);
        world
    }

    fn add(&mut self, is_edge: bool, seeds: Vec<SocketAddr>) -> usize {
        self.machines.push(Machine {
            process: None,
            life: 0,
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
        self.agenda.plan(self.now + later, next);
    }

    fn plan_at(&mut self, machine: usize, at: Time, event: Event) {
        let life = self.machines[machine].life;
        self.agenda.plan(at.max(self.now), Next::At { machine, life, event });
    }

    pub fn trouble_at(&mut self, later: Span, trouble: Trouble) {
        self.plan(later, Next::Trouble(trouble));
    }

    pub fn calm_at(&mut self, later: Span) {
        self.plan(later, Next::Calm);
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, next)) = self.agenda.due(until) {
            self.now = self.now.max(at);
            self.events += 1;
            self.happen(next);
        }
        self.now = until;
    }

    fn clock(&self, machine: usize) -> Time {
        self.now + self.machines[machine].ahead
    }

    pub fn huts(&self) -> impl Iterator<Item = usize> {
        (EDGES..self.machines.len()).filter(|m| self.machines[*m].present)
    }

    pub fn hut(&self, machine: usize) -> Option<&Hut> {
        match &self.machines[machine].process {
            Some(Process::Hut(hut)) => Some(hut),
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
        let leads = |m: &usize| self.hut(*m).is_some_and(|h| h.cairn.leads());
        self.huts().filter(leads).max_by_key(|m| self.hut(*m).map(|h| h.cairn.term()))
    }

    // ---- what happens ----

    fn happen(&mut self, next: Next) {
        match next {
            Next::At { machine, life, event } => {
                let m = &mut self.machines[machine];
                if m.life != life || m.process.is_none() {
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
            Next::Beat { worker, life } => self.beat(worker, life),
            Next::Back { machine, life } => {
                if self.machines[machine].life == life && self.machines[machine].process.is_none() {
                    self.start(machine);
                }
            }
            Next::Thaw { machine, life } => {
                if self.machines[machine].life == life {
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
            Next::Trouble(trouble) => self.trouble(trouble),
            Next::Calm => self.calm(),
            Next::Listed => {
                self.listed = self.huts().collect();
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
            if self.lines.life(ends) == line {
                self.hears(machine, from, word);
            }
            return;
        }
        let m = &mut self.machines[machine];
        match (&mut m.process, event) {
            (Some(Process::Hut(hut)), event) => match event {
                Event::Tick => {
                    m.wakes_at = None;
                    hut.tick(now);
                }
                Event::Sweep => {
                    hut.sweep(now);
                    m.disk.lives = hut.watch.register().all(now);
                    self.plan_at(machine, self.now + ms(500), Event::Sweep);
                }
                Event::Work => {
                    m.works = false;
                    hut.work(now);
                }
                Event::Written => {
                    let keeps = self.fault != Some(Deliberate::UnsyncedVote);
                    let written = m.disk.end(self.now, keeps);
                    if let Some(number) = written {
                        hut.saved(now, number);
                    }
                    if let Some(at) = m.disk.begin(self.now) {
                        self.plan_at(machine, at, Event::Written);
                    }
                }
                Event::Called { call, ask } => {
                    // Whoever has hung up meanwhile asks for nothing any more.
                    if self.calls.contains_key(&call) {
                        hut.call(now, call, ask);
                    }
                }
                Event::MayEnd => {
                    if hut.cairn.may_end(now) {
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

    /// Carries out what a hut wants done, and plans its next tick.
    fn after(&mut self, machine: usize) {
        loop {
            let Some(Process::Hut(hut)) = &mut self.machines[machine].process else { return };
            let out = hut.take();
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
        let Some(Process::Hut(hut)) = &m.process else { return };
        let due = now + (hut.cairn.next_due() - (now + m.ahead));
        let at = due.max(now + ms(1));
        let (ticks, works) = (m.wakes_at.is_none_or(|w| at < w), hut.waits() && !m.works);
        if ticks {
            m.wakes_at = Some(at);
        }
        m.works |= works;
        let voters: Vec<usize> = hut.cairn.voters().iter().map(|v| self::machine(v.node)).collect();
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
                    let blow = Trouble::Power { whom: Whom::Number(machine - EDGES), down: 60 };
                    self.trouble_at(ms(6), blow);
                    let cut = Trouble::CutOff { whom: Whom::Number(self::machine(candidate) - EDGES), long: long.nanos() / 1_000_000 };
                    self.trouble_at(ms(7), cut);
                }
            }
            Out::Say(to, message) => {
                let to = self::machine(to);
                let message = if self.fault == Some(Deliberate::MarkLost) { unmarked(message) } else { message };
                self.send((machine, to), machine, Word::Agreement(Box::new(message)));
            }
            Out::Pass(lives) => {
                for to in self.machines[machine].known.clone() {
                    self.send((machine, to), machine, Word::Heard(lives.clone()));
                }
            }
            Out::Tell(one, word) => {
                let edges = (0..EDGES).filter(|e| one.is_none_or(|o| o == *e));
                for edge in edges.collect::<Vec<_>>() {
                    self.send((edge, machine), machine, Word::Down(Box::new(word.clone())));
                }
            }
            Out::Answer(call, answer) => {
                if let (Some(Calling { by: Caller::Operator(_), .. }), Answer::Status(200)) =
                    (self.calls.get(&call), &answer)
                    && let Some(trouble) = self.armed.take()
                {
                    let later = Span::from_nanos(self.chance.random_range(0..4_000_000));
                    self.trouble_at(later, trouble);
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

    // ---- lines ----

    fn send(&mut self, ends: Ends, from: usize, word: Word) {
        let way = self.way();
        if let Some((at, word)) = self.lines.send(self.now, from, ends, word, way) {
            self.arrives(at, from, ends, word);
        }
    }

    fn arrives(&mut self, at: Time, from: usize, ends: Ends, word: Word) {
        let to = if from == ends.0 { ends.1 } else { ends.0 };
        let line = self.lines.life(ends);
        self.plan_at(to, at, Event::Hears { ends, line, from, word });
    }

    /// Keeps a line to another hut from now on.
    fn knows(&mut self, machine: usize, hut: usize) {
        if machine != hut && !self.machines[machine].known.contains(&hut) {
            self.machines[machine].known.push(hut);
            if machine >= EDGES {
                let huts = Down::Huts {
                    huts: self.machines[machine].known.iter().map(|h| address(*h)).collect(),
                    whole: false,
                };
                for edge in 0..EDGES {
                    self.send((edge, machine), machine, Word::Down(Box::new(huts.clone())));
                }
            }
        }
    }

    fn opens(&mut self, machine: usize) {
        for to in self.machines[machine].known.clone() {
            if self.machines[to].process.is_none() || !self.lines.open((machine, to)) {
                continue;
            }
            let now = self.clock(machine);
            match &self.machines[machine].process {
                Some(Process::Hut(hut)) => {
                    let lives = hut.watch.register().all(now);
                    self.send((machine, to), machine, Word::Heard(lives));
                }
                Some(Process::Edge(edge)) => {
                    // What it missed while it had no line, it is told.
                    let lives = !edge.has_lives || self.lines.life((machine, to)) > 1;
                    self.send((machine, to), machine, Word::Hello { lives });
                    self.pings(machine, Some(to));
                }
                None => {}
            }
        }
        let again = if machine < EDGES { ms(150) } else { ms(60) };
        self.plan_at(machine, self.now + again, Event::Lines);
    }

    fn pings(&mut self, edge: usize, only: Option<usize>) {
        let clock = self.clock(edge).nanos();
        let Some(have) = self.edge(edge).map(Edge::have) else { return };
        for hut in self.machines[edge].known.clone().into_iter().filter(|h| only.is_none_or(|o| o == *h)) {
            self.send((edge, hut), edge, Word::Ping { clock, have });
        }
    }

    fn hears(&mut self, machine: usize, from: usize, word: Word) {
        let now = self.clock(machine);
        let mut pings = None;
        match (&mut self.machines[machine].process, word) {
            (Some(Process::Hut(hut)), word) => match word {
                Word::Agreement(message) => {
                    hut.hear(now, address(from), *message);
                    self.knows(machine, from);
                }
                Word::Heard(lives) => {
                    hut.hear_lives(now, address(from), &lives);
                    self.knows(machine, from);
                }
                Word::Hello { lives } => {
                    hut.follow(now, from, lives);
                    let huts = self.machines[machine].known.iter().chain([&machine]);
                    let huts = Down::Huts { huts: huts.map(|h| address(*h)).collect(), whole: false };
                    self.send((from, machine), machine, Word::Down(Box::new(huts)));
                }
                Word::Ping { clock, have } => hut.ping(now, from, clock, have),
                Word::Down(_) => {}
            },
            (Some(Process::Edge(edge)), Word::Down(word)) => {
                if let Down::Huts { huts, .. } = &*word {
                    for hut in huts.clone() {
                        self.knows(machine, self::machine(hut));
                    }
                } else if edge.hear(now, *word) {
                    pings = Some(from);
                }
            }
            _ => {}
        }
        if let Some(from) = pings {
            self.pings(machine, Some(from));
        }
        self.after(machine);
    }

    // ---- callers ----

    fn calls(&mut self, by: Caller, hut: usize, ask: Ask) -> u64 {
        self.last_call += 1;
        let call = self.last_call;
        let (mut book, mut zone) = (None, None);
        if let Caller::Operator(operator) = by {
            let order = &self.operators[operator];
            match (&order.wants, order.ask()) {
                (Wants::Zone { zone: which, empties }, _) => {
                    let sent = ZoneCall { zone: *which, empties: *empties, sent_at: self.now, acked_at: None };
                    self.judges.zones.push(sent);
                    zone = Some(self.judges.zones.len() - 1);
                }
                (_, Some((_, Some(asked)))) => book = Some(self.judges.sends(self.now, asked)),
                _ => {}
            }
        }
        self.calls.insert(call, Calling { by, hut, book, zone });
        let way = self.way();
        if self.machines[hut].process.is_none() {
            self.plan(way, Next::Answered { call, answer: None });
        } else {
            self.plan_at(hut, self.now + way, Event::Called { call, ask });
            self.plan(CALL, Next::GivenUp { call });
        }
        call
    }

    /// A caller is told something, or nothing.
    fn answered(&mut self, call: u64, answer: Option<Answer>) {
        let Some(calling) = self.calls.remove(&call) else { return };
        let now = self.now;
        if answer.is_none()
            && let Some(Process::Hut(hut)) = &mut self.machines[calling.hut].process
        {
            hut.hangs_up(call);
        }
        let told = match &answer {
            Some(Answer::Status(200)) => Told::Taken,
            Some(Answer::Status(status)) if *status < 500 => Told::Refused,
            Some(Answer::Holds(version)) => Told::Holds(*version),
            _ => Told::Nothing,
        };
        if let Some(book) = calling.book.filter(|_| told != Told::Nothing) {
            self.judges.told(now, book, told);
        }
        if let Some(zone) = calling.zone.filter(|_| told == Told::Taken) {
            self.judges.zones[zone].acked_at = Some(now);
        }
        match calling.by {
            Caller::Operator(operator) => self.operator_told(operator, call, calling.hut, told, answer),
            Caller::Worker(worker, life) => self.worker_told(worker, life, calling.hut, told),
        }
    }

    /// Another than the one that gave no answer.
    fn any_hut(&mut self, but: Option<usize>) -> usize {
        let others: Vec<usize> = self.listed.iter().copied().filter(|h| Some(*h) != but).collect();
        others.choose(&mut self.chance).copied().or(but).expect("some hut is listed")
    }

    fn turn(&mut self, operator: usize) {
        let now = self.now;
        if self.operators[operator].call.is_some() {
            return;
        }
        if matches!(self.operators[operator].wants, Wants::Rest) {
            if self.closing {
                return;
            }
            let wants = if operator == 0 && self.chance.random_bool(0.5) {
                let zone = self.chance.random_range(0..super::ZONES.len());
                let is_empty = self.judges.zones.iter().rev().find(|c| c.zone == zone).is_some_and(|c| c.empties);
                Wants::Zone { zone, empties: !is_empty }
            } else {
                Wants::Read
            };
            self.operators[operator].begins(now, wants);
        }
        let hut = self.any_hut(self.operators[operator].last);
        self.sends_order(operator, hut);
    }

    pub fn sends_order(&mut self, operator: usize, hut: usize) {
        if let Some((ask, _)) = self.operators[operator].ask() {
            let call = self.calls(Caller::Operator(operator), hut, ask);
            self.operators[operator].call = Some(call);
        }
    }

    fn operator_told(&mut self, who: usize, call: u64, hut: usize, told: Told, answer: Option<Answer>) {
        if self.operators[who].call != Some(call) {
            return;
        }
        let now = self.now;
        self.operators[who].call = None;
        let rest = ms(self.chance.random_range(20..900));
        match told {
            Told::Nothing => {
                let operator = &mut self.operators[who];
                if let Some(Answer::Elsewhere(to)) = answer
                    && operator.redirects < 2
                {
                    operator.redirects += 1;
                    let to = self::machine(to);
                    return self.sends_order(who, to);
                }
                operator.redirects = 0;
                operator.last = Some(hut);
                operator.pause = operator.pause.times(1.7).max(ms(30)).min(ms(500));
                let pause = operator.pause;
                self.plan(pause, Next::Turn { operator: who });
            }
            Told::Holds(version) if !self.closing && self.chance.random_bool(0.8) => {
                self.last_mark += 1;
                let wants = change(&mut self.chance, version, self.last_mark);
                self.operators[who].begins(now, wants);
                let soon = ms(self.chance.random_range(0..30));
                self.plan(soon, Next::Turn { operator: who });
            }
            Told::Taken if !self.operators[who].again && self.chance.random_bool(0.3) => {
                // Its answer was lost further on: the same order is sent again.
                let wants = self.operators[who].wants.clone();
                self.operators[who].begins(now, wants);
                self.operators[who].again = true;
                let later = ms(self.chance.random_range(0..1_500));
                self.plan(later, Next::Turn { operator: who });
            }
            _ => {
                self.operators[who].rests();
                self.plan(rest, Next::Turn { operator: who });
            }
        }
    }

    fn beat(&mut self, who: usize, life: u32) {
        if self.workers[who].life != life || self.workers[who].call.is_some() {
            return;
        }
        let now = self.now;
        // Lives end now and then: in order, or without a word.
        let age = now - self.workers[who].began_at;
        let worker = &mut self.workers[who];
        match worker.goes {
            Goes::Ready if age > ms(4_000) && !self.closing && self.chance.random_bool(0.06) => {
                worker.goes = if self.chance.random_bool(0.7) { Goes::Draining } else { Goes::Over };
            }
            Goes::Draining if worker.out_acked_at.is_some_and(|at| now - at > ms(2_500)) => {
                worker.goes = Goes::Ending;
            }
            _ => {}
        }
        if self.workers[who].goes == Goes::Over {
            return self.worker_over(who);
        }
        let hut = match self.workers[who].hut {
            Some(hut) => hut,
            None => self.any_hut(self.workers[who].refused_by),
        };
        if let Some(ask) = self.workers[who].ask() {
            self.workers[who].call = Some(self.calls(Caller::Worker(who, life), hut, ask));
        }
    }

    fn worker_over(&mut self, who: usize) {
        let now = self.now;
        let worker = &mut self.workers[who];
        worker.goes = Goes::Over;
        worker.over_at = Some(now);
        let old = worker.clone();
        self.workers.push(old);
        let life = self.workers[who].life + 1;
        self.workers[who] = Worker::new(now, who, life);
        let later = ms(self.chance.random_range(500..3_000));
        self.plan(later, Next::Beat { worker: who, life });
    }

    fn worker_told(&mut self, who: usize, life: u32, hut: usize, told: Told) {
        if self.workers[who].life != life {
            return;
        }
        let now = self.now;
        let worker = &mut self.workers[who];
        worker.call = None;
        let next = if told == Told::Taken {
            worker.hut = Some(hut);
            worker.acked(now);
            if worker.goes == Goes::Ending {
                return self.worker_over(who);
            }
            BEAT.times(0.95 + 0.1 * self.chance.random::<f64>())
        } else {
            (worker.hut, worker.refused_by) = (None, Some(hut));
            ms(20)
        };
        self.plan(next, Next::Beat { worker: who, life });
    }

    // ---- machines ----

    fn start(&mut self, machine: usize) {
        let ahead = ms(self.chance.random_range(1..7_200_000));
        let seed = self.chance.random();
        let m = &mut self.machines[machine];
        let is_first = m.life == 0 && m.began_at == self.began_at;
        m.life += 1;
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
            let bootstrap = is_first || is_emptied && self.fault == Some(Deliberate::EmptiedVotes);
            let boot = Boot {
                me: address(machine),
                seeds: &m.seeds,
                seed,
                found,
                bootstrap,
                tolerated: self.tolerated,
                catch_up: CATCH_UP,
            };
            let hut = Hut::start(now, boot, &m.disk.lives, BEAT, self.fault);
            m.process = Some(Process::Hut(Box::new(hut)));
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

    /// A trouble begins or ends at a machine: from now on it counts as lost for a while, and the core as unsettled.
    fn harmed(&mut self, machine: usize) {
        self.tells(format!("machine {machine} is harmed: runs {}", self.machines[machine].process.is_some()));
        let m = &mut self.machines[machine];
        m.lost_until = m.lost_until.max(self.now + CATCH_UP);
        self.troubled_at = self.troubled_at.max(self.now);
    }

    fn stop(&mut self, machine: usize, power: bool, down: Option<Span>) {
        if self.machines[machine].process.is_none() {
            return;
        }
        let reached = self.chance.random_bool(0.5);
        let m = &mut self.machines[machine];
        m.process = None;
        m.frozen = false;
        m.waiting.clear();
        m.life += 1;
        m.disk.cut_short(reached);
        let life = m.life;
        self.lines.close_all(machine);
        for other in EDGES..self.machines.len() {
            if machine < EDGES
                && let Some(Process::Hut(hut)) = &mut self.machines[other].process
            {
                hut.unfollow(machine);
            }
        }
        if !power {
            let open: Vec<u64> = self.calls.iter().filter(|(_, c)| c.hut == machine).map(|(n, _)| *n).collect();
            open.into_iter().for_each(|call| self.plan(ms(2), Next::Answered { call, answer: None }));
        }
        self.harmed(machine);
        if let Some(down) = down {
            self.machines[machine].lost_until = self.now + down + CATCH_UP;
            self.plan(down, Next::Back { machine, life });
        }
    }

    /// One that was told to end has ended.
    fn ends(&mut self, machine: usize) {
        self.stop(machine, false, None);
    }

    fn thaw(&mut self, machine: usize) {
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
        let life = self.machines[machine].life;
        for event in waiting {
            if self.machines[machine].life == life {
                self.does(machine, event);
            }
        }
    }

    fn mend(&mut self) {
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
    fn calm(&mut self) {
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
        let missing = (2 * self.tolerated + 1).saturating_sub(self.huts().count());
        (0..missing).for_each(|_| self.trouble(Trouble::New { stale: false }));
        self.slow_until = self.now;
        self.troubled_at = self.now;
    }

    // ---- troubles ----

    fn tells(&mut self, what: String) {
        if self.told.len() < 400 {
            self.told.push(format!("{:.3} {what}", (self.now - self.began_at).secs()));
        }
    }

    pub fn tells_stands(&mut self) {
        for m in EDGES..self.machines.len() {
            let machine = &self.machines[m];
            let found = machine.disk.found().map(|r| (r.disk, r.term, r.last));
            let stands = self.hut(m).map(|h| {
                let c = &h.cairn;
                let voters: Vec<String> = c.voters().iter().map(|v| format!("{}/{}", self::machine(v.node), v.disk % 1000)).collect();
                format!("leads {} leader {:?} term {} committed {:?} voters {voters:?}", c.leads(), c.leader().map(self::machine), c.term(), c.committed())
            });
            let frozen = machine.frozen;
            let what = format!("hut {m}: present {}, frozen {frozen}, {stands:?}, disk {found:?}", machine.present);
            self.tells(what);
        }
    }

    fn whom(&mut self, whom: Whom) -> Option<usize> {
        let runs: Vec<usize> = self.huts().filter(|m| self.machines[*m].process.is_some()).collect();
        let leader = self.leader();
        match whom {
            Whom::Leader => leader,
            Whom::Follower => {
                let others: Vec<usize> = runs.into_iter().filter(|m| Some(*m) != leader).collect();
                others.choose(&mut self.chance).copied()
            }
            Whom::Any => runs.choose(&mut self.chance).copied(),
            Whom::Number(n) => Some(EDGES + n).filter(|m| runs.contains(m)),
        }
    }

    /// Whether one more may be lost now, inside the fault budget.
    fn may_lose(&self, machine: usize) -> bool {
        let lost = |m: &usize| *m != machine && self.machines[*m].lost_until > self.now;
        let missing = (2 * self.tolerated + 1).saturating_sub(self.huts().count());
        self.huts().filter(lost).count() + missing < self.tolerated
    }

    fn all_well(&self) -> bool {
        let missing = (2 * self.tolerated + 1).saturating_sub(self.huts().count());
        missing == 0 && self.huts().all(|m| self.machines[m].lost_until <= self.now)
    }

    fn cut(&mut self, pairs: Vec<(usize, usize)>, long: Span) {
        self.cuts += 1;
        let cut = self.cuts;
        self.cut_now.push(cut);
        pairs.into_iter().for_each(|(from, to)| self.lines.cut(from, to));
        self.troubled_at = self.now;
        self.plan(long, Next::Mend { cut });
    }

    fn loses(&mut self, machine: usize, long: u64) {
        self.harmed(machine);
        self.machines[machine].lost_until = self.now + ms(long) + CATCH_UP;
    }

    fn trouble(&mut self, trouble: Trouble) {
        let leader = self.leader();
        self.tells(format!("{trouble:?}, {leader:?} leads"));
        match trouble {
            Trouble::Kill { whom, down } | Trouble::Power { whom, down } => {
                let power = matches!(trouble, Trouble::Power { .. });
                let Some(machine) = self.whom(whom).filter(|m| self.may_lose(*m) || self.beyond_budget) else { return };
                self.stop(machine, power, Some(ms(down)));
            }
            Trouble::All { power, down } => {
                for machine in self.huts().collect::<Vec<_>>() {
                    let later = down + self.chance.random_range(0..200);
                    self.stop(machine, power, Some(ms(later)));
                }
            }
            Trouble::Wipe { whom, others, down } => {
                let Some(machine) = self.whom(whom).filter(|_| self.all_well()) else { return };
                for other in self.huts().collect::<Vec<_>>() {
                    if other == machine || others {
                        let later = down + self.chance.random_range(0..300);
                        self.stop(other, true, Some(ms(later)));
                    }
                }
                self.machines[machine].disk.wipe();
            }
            Trouble::Freeze { whom, long } => {
                let Some(machine) = self.whom(whom).filter(|m| self.may_lose(*m)) else { return };
                self.machines[machine].frozen = true;
                self.loses(machine, long);
                let life = self.machines[machine].life;
                self.plan(ms(long), Next::Thaw { machine, life });
            }
            Trouble::OneWay { whom, hears, long } => {
                let Some(machine) = self.whom(whom).filter(|m| self.may_lose(*m)) else { return };
                let others: Vec<usize> = self.huts().filter(|m| *m != machine).collect();
                let way = |o: usize| if hears { (machine, o) } else { (o, machine) };
                self.cut(others.into_iter().map(way).collect(), ms(long));
                self.loses(machine, long);
            }
            Trouble::CutOff { whom, long } => {
                let Some(machine) = self.whom(whom).filter(|m| self.may_lose(*m) || self.beyond_budget) else { return };
                let others: Vec<usize> = self.huts().filter(|m| *m != machine).collect();
                let pairs = others.into_iter().flat_map(|o| [(machine, o), (o, machine)]).collect();
                self.cut(pairs, ms(long));
                self.loses(machine, long);
            }
            Trouble::Split { long } => {
                let Some(leader) = self.leader() else { return };
                let newest = self.huts().max();
                let is_here = |m: &usize| *m == leader || Some(*m) == newest;
                let (here, there): (Vec<usize>, Vec<usize>) = self.huts().partition(is_here);
                let mut pairs = Vec::new();
                for a in &here {
                    pairs.extend(there.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
                }
                self.cut(pairs, ms(long));
                for machine in self.huts().collect::<Vec<_>>() {
                    self.loses(machine, long);
                }
            }
            Trouble::SlowDisk { whom, sync, long } => {
                let Some(machine) = self.whom(whom) else { return };
                self.machines[machine].disk.sync = ms(sync);
                self.slows(long);
                self.plan(ms(long), Next::Quick { machine });
            }
            Trouble::HangDisk { whom, long } | Trouble::FullDisk { whom, long } => {
                let Some(machine) = self.whom(whom).filter(|m| self.may_lose(*m)) else { return };
                let until = self.now + ms(long);
                let disk = &mut self.machines[machine].disk;
                match trouble {
                    Trouble::HangDisk { .. } => disk.hangs_until = until,
                    _ => disk.full_until = until,
                }
                self.slows(long);
                self.loses(machine, long);
            }
            Trouble::Term { whom, back } => {
                let Some(machine) = self.whom(whom).filter(|m| self.may_lose(*m) || back.is_none()) else { return };
                let now = self.clock(machine);
                if self.machines[machine].frozen {
                    return;
                }
                let Some(Process::Hut(hut)) = &mut self.machines[machine].process else { return };
                hut.cairn.leave(now);
                let life = self.machines[machine].life;
                self.harmed(machine);
                self.plan_at(machine, self.now + ms(50), Event::MayEnd);
                match back {
                    // It ends by itself within its grace, and comes back.
                    Some(down) => self.plan(GRACE + ms(down), Next::Back { machine, life: life + 1 }),
                    None => self.machines[machine].present = false,
                }
                self.after(machine);
            }
            Trouble::Gone { whom } | Trouble::Removed { whom } => {
                let Some(machine) = self.whom(whom).filter(|m| self.may_lose(*m)) else { return };
                self.stop(machine, true, None);
                self.machines[machine].present = false;
                if let Trouble::Removed { .. } = trouble {
                    self.removed = Some(machine);
                } else {
                    self.machines[machine].disk.wipe();
                }
                self.troubled_at = self.now;
            }
            Trouble::Returns => {
                if let Some(machine) = self.removed.take() {
                    self.machines[machine].present = true;
                    self.start(machine);
                }
            }
            Trouble::New { stale } => {
                // Stale: as the operator's list, which lags, has them.
                let of: Vec<usize> = if stale { self.listed.clone() } else { self.huts().collect() };
                let mut seeds: Vec<SocketAddr> = of.into_iter().map(address).collect();
                while seeds.len() > 3 {
                    let which = self.chance.random_range(0..seeds.len());
                    seeds.remove(which);
                }
                let machine = self.add(false, seeds);
                self.start(machine);
            }
            Trouble::EdgeCut { long } => {
                let edge = self.chance.random_range(0..EDGES);
                let huts: Vec<usize> = self.huts().collect();
                let Some(hut) = huts.choose(&mut self.chance).copied() else { return };
                let all = self.chance.random_bool(0.5);
                let one_way = self.chance.random_bool(0.4);
                let of = huts.into_iter().filter(|h| all || *h == hut);
                let pairs = of.flat_map(|h| [(edge, h), if one_way { (edge, h) } else { (h, edge) }]).collect();
                self.cut(pairs, ms(long));
                self.loses(edge, long);
            }
            Trouble::EdgeFrozen { long } => {
                let edge = self.chance.random_range(0..EDGES);
                self.machines[edge].frozen = true;
                self.loses(edge, long);
                let life = self.machines[edge].life;
                self.plan(ms(long), Next::Thaw { machine: edge, life });
            }
            Trouble::AfterAck(trouble) => self.armed = Some(*trouble),
            Trouble::AfterVote { long } => self.votes_armed = Some(ms(long)),
        }
    }

    fn slows(&mut self, long: u64) {
        self.slow_until = self.slow_until.max(self.now + ms(long));
        self.troubled_at = self.now;
    }

    // ---- the end of a story ----

    pub fn closing_read(&mut self, operator: usize) {
        let now = self.now;
        self.operators[operator].begins(now, Wants::Read);
        self.turn(operator);
    }

    /// A change on top of what was read last.
    pub fn closing_change(&mut self, operator: usize) {
        let now = self.now;
        let last = self.judges.book.iter().rev().find_map(|c| match c.told {
            Told::Holds(version) => Some(version),
            _ => None,
        });
        self.last_mark += 1;
        let wants = change(&mut self.chance, last.flatten(), self.last_mark);
        self.operators[operator].begins(now, wants);
        self.turn(operator);
    }

    pub fn read_since(&self, since: Time) -> bool {
        self.judges.book.iter().any(|c| matches!(c.told, Told::Holds(_)) && c.sent_at >= since)
    }

    /// Whether an edge is fresh, and what it shows.
    pub fn edge_stands(&self, edge: usize) -> (bool, Option<super::histories::Version>) {
        let clock = self.clock(edge);
        self.edge(edge).map_or((false, None), |e| (e.is_fresh(clock), e.in_force().map(|(v, _)| v)))
    }

    /// Workers that beat, and were not acknowledged for a beat and a half.
    pub fn unheard_workers(&self) -> usize {
        let heard = |w: &Worker| w.acked.last().is_some_and(|at| self.now - *at < BEAT.times(1.7));
        let old = |w: &Worker| self.now - w.began_at > ms(5_000);
        self.workers.iter().filter(|w| w.goes == Goes::Ready && old(w) && !heard(w)).count()
    }

    // ---- what the judges look at ----

    /// The huts that more than half of the core runs and is connected with, where it has been calm for the contact time.
    pub fn settled(&self) -> Option<Vec<usize>> {
        if self.now - self.troubled_at < CONTACT || self.slow_until > self.now {
            return None;
        }
        let runs = |m: &usize| self.machines[*m].process.is_some() && !self.machines[*m].frozen;
        let all: Vec<usize> = self.huts().collect();
        let best = all.iter().copied().filter(runs).map(|a| {
            let with = all.iter().copied().filter(runs).filter(|b| a == *b || self.lines.joined(a, *b));
            with.collect::<Vec<usize>>()
        });
        best.max_by_key(Vec::len).filter(|c| c.len() * 2 > all.len())
    }

    fn probe(&mut self) {
        let now = self.now;
        let settled = self.settled();
        for edge in 0..EDGES {
            if self.machines[edge].frozen {
                continue;
            }
            let clock = self.clock(edge);
            let in_touch = settled.as_ref().is_some_and(|huts| {
                let m = &self.machines[edge];
                m.lost_until <= now && now - m.began_at > CONTACT && huts.iter().all(|h| self.lines.joined(edge, *h))
            });
            let life = self.machines[edge].life;
            let Some(of) = self.edge(edge) else { continue };
            let (shown, serves) = (of.in_force(), of.serves_tenants(clock, super::judges::REVOKE));
            let mut broken = Vec::new();
            if in_touch {
                for worker in &self.workers {
                    let sends = of.sends_to(&worker.id());
                    let what = |what: &str| format!("edge {edge}: {} {what}", worker.id());
                    if !sends && worker.is_promised(now, super::judges::CONVERGE) {
                        broken.push((Judge::Promised, what("beats and is heard, and gets nothing")));
                    }
                    let told = worker.out_acked_at.is_some_and(|at| now - at > super::judges::DRAIN && self.troubled_at + CONTACT < at);
                    let dead = worker.over_at.is_some_and(|at| {
                        now - at > ms(16_000) && now - self.troubled_at > ms(16_000)
                    });
                    if sends && (told || dead) {
                        broken.push((Judge::Drained, what("leaves, or is dead, and is still sent to")));
                    }
                }
            }
            for (zone, name) in super::ZONES.iter().enumerate() {
                let is_empty = shown.as_ref().is_some_and(|(_, zones)| zones.contains(*name));
                let must = self.judges.zone(zone, now.saturating_sub(super::judges::EVACUATE));
                let newest = self.judges.zones.iter().rev().find(|c| c.zone == zone).map(|c| c.empties);
                if in_touch && shown.is_some() && must.is_some_and(|must| must != is_empty && newest == Some(must)) {
                    broken.push((Judge::Evacuated, format!("edge {edge}: zone {name} is emptied: {is_empty}")));
                }
            }
            self.judges.edge(now, (edge, life), shown.map(|(v, _)| v), serves, in_touch);
            for (judge, what) in broken {
                self.judges.breaks(now, judge, || what);
            }
        }
        // A call that began before the core was settled may have to be sent again.
        let since = self.troubled_at + CONTACT;
        if settled.is_some() {
            for n in 0..self.operators.len() {
                let order = &self.operators[n];
                let waits = !matches!(order.wants, Wants::Rest);
                if waits && now - order.since.max(since) > super::judges::ACK {
                    let what = format!("operator {n}: {:?} waits since {:.3} s", order.wants, (order.since - self.began_at).secs());
                    self.judges.breaks(now, Judge::Acknowledged, || what);
                }
            }
        }
    }
}

/// A state that loses the marks of what was taken.
fn unmarked(message: Message) -> Message {
    let Message::Append { term, round, last, state: Some(mut state), committed, echo, fresh } = message else {
        return message;
    };
    if let Ok(ciborium::Value::Map(mut book)) = ciborium::from_reader(&state.book.0[..]) {
        book.retain(|(key, _)| key.as_text() != Some("marks"));
        let mut out = Vec::new();
        if ciborium::into_writer(&ciborium::Value::Map(book), &mut out).is_ok() {
            state.book = Bytes(out.into());
        }
    }
    Message::Append { term, round, last, state: Some(state), committed, echo, fresh }
}
