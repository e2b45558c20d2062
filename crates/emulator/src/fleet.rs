//! A fleet of members on a virtual clock: each a state machine of `lynxstair-membership` with a disk, a socket's
//! buffer and an address.

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

/// What a socket's buffer holds while its process stands still, in bytes; Linux gives as much by default.
const SOCKET_BUFFER: usize = 212_992;
/// What the kernel counts for a datagram besides its bytes.
const OVERHEAD: usize = 576;
/// Writing a record takes so long.
const DISK: Span = Span::from_millis(2);

/// What a member has on disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub last: Option<Incarnation>,
    pub known: Vec<KnownMember>,
    pub notices: Vec<Notice>,
}

/// Something that happened at a member.
#[derive(Clone, Debug)]
pub struct Happened {
    pub at: Time,
    pub who: usize,
    pub event: Event,
}

/// A member's process.
struct Process {
    membership: Membership,
    stopped: bool,
    buffer: VecDeque<(SocketAddrV4, Vec<u8>)>,
    buffered: usize,
    wakes_at: Option<Time>,
}

struct Node {
    name: Name,
    hall: Name,
    addr: SocketAddrV4,
    disk: Disk,
    process: Option<Process>,
    runs: u32,
    /// Its clock is ahead of the fleet's time by so much.
    ahead: Span,
}

enum Next {
    Arrives { from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8> },
    Wakes { who: usize, run: u32 },
    Written { who: usize, run: u32, incarnation: Incarnation },
}

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    pub members: usize,
    pub halls: usize,
    /// The first so many are seeds.
    pub seeds: usize,
    pub times: Times,
    pub broken: DisabledParts,
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            members: 6,
            halls: 2,
            seeds: 2,
            times: Times::default(),
            broken: DisabledParts::default(),
            seed: 1,
        }
    }
}

/// A fleet.
pub struct Fleet {
    plan: Plan,
    pub network: Network,
    now: Time,
    chance: Pcg64Mcg,
    nodes: Vec<Node>,
    places: HashMap<SocketAddrV4, usize>,
    agenda: EventQueue<Next>,
    history: Vec<Happened>,
    pub datagrams: u64,
    pub bytes: u64,
    pub largest: usize,
    /// Lost for a full buffer.
    pub overflowed: u64,
}

fn name(prefix: &str, number: usize) -> Name {
    Name::new(&format!("{prefix}{number}")).expect("letters and digits")
}

impl Fleet {
    /// Nobody runs yet. Members are numbered from 0; their names are g1, g2 and so on.
    pub fn new(plan: Plan) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(plan.seed);
        let nodes: Vec<_> = (0..plan.members)
            .map(|n| Node {
                name: name("g", n + 1),
                hall: name("h", n % plan.halls.max(1) + 1),
                addr: address(n, 0),
                disk: Disk::default(),
                process: None,
                runs: 0,
                ahead: Span::from_millis(7_200_000),
            })
            .collect();
        let places = nodes.iter().enumerate().map(|(n, node)| (node.addr, n)).collect();
        Fleet {
            plan,
            network: Network::default(),
            now: Time::from_nanos(0) + Span::from_millis(1_000_000),
            chance,
            nodes,
            places,
            agenda: EventQueue::default(),
            history: Vec::new(),
            datagrams: 0,
            bytes: 0,
            largest: 0,
            overflowed: 0,
        }
    }

    /// All started, one after another within a second.
    pub fn started(plan: Plan) -> Self {
        let mut fleet = Fleet::new(plan);
        for who in 0..fleet.nodes.len() {
            fleet.start(who);
            fleet.run(Span::from_millis(1_000 / fleet.nodes.len() as u64));
        }
        fleet
    }

    /// All running, each of them knowing all, as after a long quiet time.
    pub fn settled(plan: Plan) -> Self {
        let mut fleet = Fleet::new(plan);
        let probe = fleet.plan.times.probe_interval;
        let all: Vec<Identity> = (0..fleet.nodes.len()).map(|who| fleet.begin(who)).collect();
        let mut at = Vec::new();
        for _ in 0..fleet.nodes.len() {
            at.push(fleet.now + probe.times(fleet.chance.random()));
        }
        // Each by itself, and nothing of it hangs on the order.
        fleet.nodes.par_iter_mut().enumerate().for_each(|(who, node)| {
            let Some(process) = node.process.as_mut() else { return };
            let at = at[who] + node.ahead;
            process.membership.on_written(at, all[who].incarnation);
            process.membership.start_joined(at, &all);
            process.wakes_at = None;
            node.disk.last = Some(all[who].incarnation);
        });
        for (who, at) in at.into_iter().enumerate() {
            let run = fleet.nodes[who].runs;
            fleet.plan_next(at, Next::Wakes { who, run });
        }
        fleet.run(probe.times(2.0));
        fleet.history.clear();
        (fleet.datagrams, fleet.bytes) = (0, 0);
        fleet
    }

    pub fn now(&self) -> Time {
        self.now
    }

    /// What a member's own clock says.
    fn clock(&self, who: usize) -> Time {
        self.now + self.nodes[who].ahead
    }

    /// Its wall clock is set back by an hour while it does not run: a process takes it over at its start
    /// only.
    pub fn set_clock_back(&mut self, who: usize) {
        self.kill(who);
        let hour = Span::from_millis(3_600_000);
        self.nodes[who].ahead = (Time::default() + self.nodes[who].ahead) - (Time::default() + hour);
    }

    /// Who is there, as one sees it.
    pub fn view(&self, who: usize) -> Option<View> {
        self.membership(who).map(|membership| membership.view(self.clock(who)))
    }

    pub fn members(&self) -> usize {
        self.nodes.len()
    }

    pub fn name_of(&self, who: usize) -> &Name {
        &self.nodes[who].name
    }

    pub fn runs(&self, who: usize) -> bool {
        self.nodes[who].process.is_some()
    }

    pub fn membership(&self, who: usize) -> Option<&Membership> {
        self.nodes[who].process.as_ref().map(|p| &p.membership)
    }

    pub fn disk(&mut self, who: usize) -> &mut Disk {
        &mut self.nodes[who].disk
    }

    /// All that happened so far.
    pub fn history(&self) -> &[Happened] {
        &self.history
    }

    /// What happened so far is looked at no more.
    pub fn forget_history(&mut self) {
        self.history.clear();
    }

    /// Has one member do something, and carries out what comes of it.
    pub fn at(&mut self, who: usize, acts: impl FnOnce(&mut Membership, Time)) {
        let now = self.clock(who);
        if let Some(process) = self.nodes[who].process.as_mut() {
            acts(&mut process.membership, now);
        }
        self.after(who);
    }

    /// Puts bytes into the network as they are.
    pub fn inject(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        let (from, to) = (self.nodes[from].addr, self.nodes[to].addr);
        let at = self.now + Span::from_millis(1);
        self.plan_next(at, Next::Arrives { from, to, datagram });
    }

    fn plan_next(&mut self, at: Time, next: Next) {
        self.agenda.schedule(at, next);
    }

    /// Lets so much time go by.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, next)) = self.agenda.pop_due(until) {
            self.now = self.now.max(at);
            self.happen(next);
        }
        self.now = until;
    }

    /// Lets time go by until it is so, and for no longer than that. How long it took.
    pub fn until(&mut self, longest: Span, mut is_so: impl FnMut(&Fleet) -> bool) -> Option<Span> {
        let began = self.now;
        while !is_so(self) {
            if self.now - began >= longest {
                return None;
            }
            self.run(Span::from_millis(20));
        }
        Some(self.now - began)
    }

    fn happen(&mut self, next: Next) {
        let now = self.now;
        match next {
            Next::Arrives { from, to, datagram } => {
                let Some(who) = self.places.get(&to).copied() else { return };
                let ahead = self.nodes[who].ahead;
                let Some(process) = self.nodes[who].process.as_mut() else { return };
                if process.stopped {
                    let size = datagram.len() + OVERHEAD;
                    if process.buffered + size > SOCKET_BUFFER {
                        self.overflowed += 1;
                        return;
                    }
                    process.buffered += size;
                    process.buffer.push_back((from, datagram));
                    return;
                }
                process.membership.receive(now + ahead, from, &datagram);
                self.after(who);
            }
            Next::Wakes { who, run } => {
                if self.nodes[who].runs != run {
                    return;
                }
                let ahead = self.nodes[who].ahead;
                let Some(process) = self.nodes[who].process.as_mut().filter(|p| !p.stopped) else { return };
                // Woken for something that is due later by now, or was done already.
                if process.wakes_at.is_some_and(|at| at > now) {
                    return;
                }
                process.wakes_at = None;
                process.membership.tick(now + ahead);
                self.after(who);
            }
            Next::Written { who, run, incarnation } => {
                if self.nodes[who].runs != run {
                    return;
                }
                let node = &mut self.nodes[who];
                let Some(process) = node.process.as_mut() else { return };
                node.disk.last = Some(incarnation);
                if process.stopped {
                    let at = now + DISK;
                    self.plan_next(at, Next::Written { who, run, incarnation });
                    return;
                }
                process.membership.on_written(now + node.ahead, incarnation);
                self.after(who);
            }
        }
    }

    /// Carries out what a member wants done, and plans its next wake.
    fn after(&mut self, who: usize) {
        let now = self.now;
        let (addr, run, ahead) = (self.nodes[who].addr, self.nodes[who].runs, self.nodes[who].ahead);
        let Some(process) = self.nodes[who].process.as_mut() else { return };
        for todo in process.membership.take_actions() {
            match todo {
                Action::Send { to, datagram } => self.send(who, addr, to, datagram),
                Action::Write(Record::IncarnationStarted { incarnation }) => {
                    self.plan_next(now + DISK, Next::Written { who, run, incarnation });
                }
                Action::Write(Record::Members { known }) => self.nodes[who].disk.known = known,
                Action::Write(Record::Notice { notice }) => self.nodes[who].disk.notices.push(notice),
                Action::Emit(event) => self.history.push(Happened { at: now, who, event }),
            }
        }
        let Some(process) = self.nodes[who].process.as_mut() else { return };
        let due = process.membership.next_deadline().map(|at| at.saturating_sub(ahead));
        if let Some(at) = due
            && process.wakes_at.is_none_or(|set| at < set)
        {
            process.wakes_at = Some(at);
            self.plan_next(at.max(now), Next::Wakes { who, run });
        }
    }

    fn send(&mut self, who: usize, from: SocketAddrV4, to: SocketAddrV4, datagram: Vec<u8>) {
        self.datagrams += 1;
        self.bytes += datagram.len() as u64;
        self.largest = self.largest.max(datagram.len());
        let Some(other) = self.places.get(&to).copied() else { return };
        let arrivals = self.network.delivery_delays(who, other, &mut self.chance);
        for after in arrivals {
            let at = self.now + after;
            self.plan_next(at, Next::Arrives { from, to, datagram: datagram.clone() });
        }
    }

    /// How one sees another.
    pub fn sees(&self, who: usize, other: usize) -> Option<State> {
        let other = &self.nodes[other].name;
        self.membership(who)?.state_of(other).map(|(state, _)| state)
    }

    /// Everybody who runs is in, and sees exactly those who run as there.
    pub fn all_agree(&self) -> bool {
        let running: Vec<_> = (0..self.nodes.len()).filter(|n| self.runs(*n)).collect();
        running.iter().all(|&who| {
            self.membership(who).is_some_and(|r| r.phase() == Phase::In)
                && (0..self.nodes.len()).filter(|&other| other != who).all(|other| {
                    let there = self.sees(who, other).is_some_and(State::is_present);
                    there == self.runs(other)
                })
        })
    }

    /// Those who were declared failed: by whom, whom, when.
    pub fn declared_failed(&self) -> impl Iterator<Item = (Time, usize, &Name)> {
        self.history.iter().filter_map(|h| match &h.event {
            Event::Member { name, to: State::Failed, .. } => Some((h.at, h.who, name)),
            _ => None,
        })
    }
}

/// An address of its own for each member and place.
fn address(who: usize, place: u8) -> SocketAddrV4 {
    let [_, _, high, low] = (who as u32 + 1).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 100 + place, high, low), 7_000)
}
