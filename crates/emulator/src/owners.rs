//! Voters and members that stand for a duty, on a virtual clock: disks that are slow, fail, are emptied, torn or
//! set back; pauses between a check and the write it was for; and a place where effects land.

mod judging;
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

/// The duty that all stand for.
pub const DUTY: &str = "export";
/// An owner has an effect each so often; from its check to its landing it takes up to so long.
const EFFECT: Span = Span::from_millis(40);
const ON_ITS_WAY: Span = Span::from_millis(60);
/// A socket's buffer holds so many datagrams.
const BUFFER: usize = 256;

fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

/// What a fleet of owners is like.
#[derive(Clone, Debug)]
pub struct OwnersPlan {
    pub members: usize,
    /// The first so many.
    pub voters: usize,
    pub times: Times,
    pub broken: DisabledParts,
    pub seed: u64,
}

impl Default for OwnersPlan {
    fn default() -> Self {
        let (times, broken) = (Times::default(), DisabledParts::default());
        OwnersPlan { members: 5, voters: 3, times, broken, seed: 1 }
    }
}

/// Something that must hold and did not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broke {
    pub rule: &'static str,
    pub at: Time,
    pub what: String,
}

struct Process {
    voter: Voter,
    holder: LeaseHolder,
    stopped: bool,
    buffer: VecDeque<(SocketAddrV4, Vec<u8>)>,
    wakes_at: Option<Time>,
    /// What was checked and is to be written: it goes when the process runs again.
    checked: Option<(Epoch, u64)>,
    effects: u64,
    last_kept: u64,
}

#[derive(Default)]
struct Node {
    disk: Vec<Vec<u8>>,
    /// Of its records these many were not yet told to be there: a kill may lose them.
    untold: usize,
    disk_takes: Span,
    disk_fails: bool,
    process: Option<Process>,
    runs: u32,
    /// Its clock is ahead by so much.
    ahead: Span,
    /// It is killed instead of this write or datagram, counted from now on.
    dies_at: Option<u64>,
}

enum Next {
    Arrives {
        from: usize,
        to: usize,
        datagram: Vec<u8>,
    },
    Wakes {
        who: usize,
        run: u32,
    },
    Written {
        who: usize,
        run: u32,
        ticket: u64,
        ok: bool,
    },
    /// The owner looks whether it may.
    Checks {
        who: usize,
        run: u32,
    },
    Lands {
        who: usize,
        epoch: Epoch,
        number: u64,
    },
}

/// Where effects land.
#[derive(Clone, Debug, Default)]
pub struct Place {
    pub seen: Epoch,
    pub accepted: Vec<(Time, Epoch, usize)>,
    pub refused: u64,
}

/// A fleet of them.
pub struct Owners {
    pub plan: OwnersPlan,
    pub network: Network,
    now: Time,
    chance: Pcg64Mcg,
    nodes: Vec<Node>,
    agenda: EventQueue<Next>,
    pub place: Place,
    pub events: Vec<(Time, usize, Event)>,
    pub broke: Vec<Broke>,
    pub datagrams: u64,
    /// By epoch: to whom it was given.
    granted: BTreeMap<Epoch, (String, u64)>,
    /// The highest number that was promised to be kept.
    promised: u64,
    /// Until then one that was deposed may hold itself for confirmed.
    deposed_until: Time,
}

fn address(who: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, (who / 250) as u8, (who % 250 + 1) as u8), 7_100)
}

fn member_at(addr: SocketAddrV4) -> usize {
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

fn name(who: usize) -> String {
    format!("g{}", who + 1)
}

impl Owners {
    /// All of them started at once.
    pub fn started(plan: OwnersPlan) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut fleet = Owners {
            network: Network::default(),
            now: Time::from_nanos(0) + ms(10_000_000),
            chance,
            nodes: (0..plan.members).map(|_| Node { disk_takes: ms(2), ..Node::default() }).collect(),
            agenda: EventQueue::default(),
            place: Place::default(),
            events: Vec::new(),
            broke: Vec::new(),
            datagrams: 0,
            granted: BTreeMap::new(),
            promised: 0,
            deposed_until: Time::default(),
            plan,
        };
        for who in 0..fleet.nodes.len() {
            fleet.nodes[who].ahead = ms(fleet.chance.random_range(0..7_200_000));
            fleet.start(who);
        }
        fleet
    }

    pub fn now(&self) -> Time {
        self.now
    }

    pub fn members(&self) -> usize {
        self.nodes.len()
    }

    pub fn runs(&self, who: usize) -> bool {
        self.nodes[who].process.is_some()
    }

    fn clock(&self, who: usize) -> Time {
        self.now + self.nodes[who].ahead
    }

    fn later(&mut self, after: Span, next: Next) {
        self.agenda.schedule(self.now + after, next);
    }

    /// A number that only this run draws.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.chance.random_range(0..below.max(1))
    }

    /// An operator asks by way of a member.
    pub fn question(&mut self, who: usize, id: u64, wants: Option<&AdminCommand>) -> Option<QueryStatus> {
        let now = self.clock(who);
        if matches!(wants, Some(AdminCommand::Depose { .. })) {
            // Whenever it comes to that: a question is given up after five seconds.
            self.deposed_until = self.now + ms(5_000) + self.plan.times.lease;
        }
        let came = self.nodes[who].process.as_mut().map(|p| p.holder.query(now, id, wants));
        self.after(who);
        came
    }

    pub fn address_of(&self, who: usize) -> SocketAddrV4 {
        address(who)
    }

    /// Who may have an effect now.
    pub fn owners(&self) -> Vec<usize> {
        let owns = |who: &usize| {
            let process = self.nodes[*who].process.as_ref();
            process.is_some_and(|p| !p.stopped && p.holder.leased_epoch(self.clock(*who), DUTY).is_some())
        };
        (0..self.nodes.len()).filter(owns).collect()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads =
            |w: &usize| self.nodes[*w].process.as_ref().is_some_and(|p| !p.stopped && p.voter.is_leader());
        (0..self.nodes.len()).rev().find(leads)
    }

    pub fn phase(&self, who: usize) -> Option<Phase> {
        self.nodes[who].process.as_ref().map(|p| p.voter.phase())
    }

    /// Entries that a voter's log holds.
    pub fn log_entries(&self, who: usize) -> u64 {
        self.nodes[who].process.as_ref().map_or(0, |p| p.voter.view(self.clock(who)).log_entries)
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((at, next)) = self.agenda.pop_due(until) {
            self.now = self.now.max(at);
            self.happen(next);
        }
        self.now = until;
    }

    /// Lets time go by until it is so; none: not within so long.
    pub fn until(&mut self, longest: Span, mut is_so: impl FnMut(&Owners) -> bool) -> Option<Span> {
        let began = self.now;
        while !is_so(self) {
            if self.now - began >= longest {
                return None;
            }
            self.run(ms(10));
        }
        Some(self.now - began)
    }

    fn happen(&mut self, next: Next) {
        match next {
            Next::Arrives { from, to, datagram } => {
                let now = self.clock(to);
                let Some(process) = self.nodes[to].process.as_mut() else { return };
                if process.stopped {
                    if process.buffer.len() < BUFFER {
                        process.buffer.push_back((address(from), datagram));
                    }
                    return;
                }
                hear(process, now, address(from), &datagram);
                self.after(to);
            }
            Next::Wakes { who, run } => {
                let (now, clock) = (self.now, self.clock(who));
                if self.nodes[who].runs != run {
                    return;
                }
                let Some(process) = self.nodes[who].process.as_mut().filter(|p| !p.stopped) else { return };
                if process.wakes_at.is_some_and(|at| at > now) {
                    return;
                }
                process.wakes_at = None;
                process.voter.tick(clock);
                process.holder.tick(clock);
                self.after(who);
            }
            Next::Written { who, run, ticket, ok } => {
                let clock = self.clock(who);
                if self.nodes[who].runs != run {
                    return;
                }
                let mut untold = self.nodes[who].untold;
                let Some(process) = self.nodes[who].process.as_mut() else { return };
                if process.stopped {
                    return self.later(ms(1), Next::Written { who, run, ticket, ok });
                }
                untold = untold.saturating_sub(usize::from(ok));
                process.voter.on_written(clock, ticket, if ok { Ok(()) } else { Err("the disk fails") });
                self.nodes[who].untold = untold;
                self.after(who);
            }
            Next::Checks { who, run } => self.checks(who, run),
            Next::Lands { who, epoch, number } => {
                if epoch < self.place.seen && !self.plan.broken.no_refusal {
                    self.place.refused += 1;
                    let (now, seen) = (self.clock(who), self.place.seen);
                    if let Some(process) = self.nodes[who].process.as_mut().filter(|p| !p.stopped) {
                        process.holder.on_fenced(now, DUTY, seen);
                    }
                    return;
                }
                if epoch < self.place.seen {
                    let what = format!("an effect of {epoch:?} was taken after one of {:?}", self.place.seen);
                    self.breaks("effects-in-order", what);
                }
                self.place.seen = self.place.seen.max(epoch);
                self.place.accepted.push((self.now, epoch, who));
                // What an owner has done it has kept with the duty.
                let now = self.clock(who);
                if let Some(process) = self.nodes[who].process.as_mut().filter(|p| !p.stopped) {
                    process.effects = process.effects.max(number);
                    if number > process.last_kept {
                        process.last_kept = number;
                        process.holder.store(now, DUTY, &number.to_be_bytes());
                    }
                }
                self.after(who);
            }
        }
    }

    /// Carries out what a process wants done, and plans its next wake.
    fn after(&mut self, who: usize) {
        let (run, ahead) = (self.nodes[who].runs, self.nodes[who].ahead);
        let Some(process) = self.nodes[who].process.as_mut() else { return };
        let mut todo = process.voter.take_actions();
        todo.extend(process.holder.take_actions());
        for one in todo {
            if !matches!(one, Action::Emit(_)) {
                match self.nodes[who].dies_at.as_mut() {
                    Some(0) => {
                        self.nodes[who].dies_at = None;
                        return self.kill(who);
                    }
                    Some(more) => *more -= 1,
                    None => {}
                }
            }
            match one {
                Action::Send { to, datagram } => self.send(who, member_at(to), datagram),
                Action::Write { ticket, record } => self.write(who, run, ticket, &record),
                Action::Emit(event) => self.heard_of(who, event),
            }
        }
        let now = self.now;
        let Some(process) = self.nodes[who].process.as_mut().filter(|p| !p.stopped) else { return };
        if let Some(kept) = process.holder.acknowledged_state(DUTY).and_then(|k| k.try_into().ok()) {
            self.promised = self.promised.max(u64::from_be_bytes(kept));
        }
        let due = process.voter.next_deadline().into_iter().chain(process.holder.next_deadline()).min();
        let Some(due) = due else { return };
        let at = now.max(Time::default() + (due - (Time::default() + ahead)));
        if process.wakes_at.is_none_or(|w| at < w || w <= now) {
            process.wakes_at = Some(at);
            self.later(at - now, Next::Wakes { who, run });
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        self.datagrams += 1;
        if from == to {
            return self.later(Span::from_nanos(20_000), Next::Arrives { from, to, datagram });
        }
        for after in self.network.delivery_delays(from, to, &mut self.chance) {
            self.later(after, Next::Arrives { from, to, datagram: datagram.clone() });
        }
    }

    fn write(&mut self, who: usize, run: u32, ticket: u64, record: &Record) {
        let node = &mut self.nodes[who];
        let ok = !node.disk_fails;
        if ok && *record != Record::Probe {
            node.disk.push(record.to_bytes());
            node.untold += 1;
        }
        let takes = node.disk_takes;
        self.later(takes, Next::Written { who, run, ticket, ok });
    }
}

fn hear(process: &mut Process, now: Time, from: SocketAddrV4, datagram: &[u8]) {
    match process.voter.receive(now, from, datagram) {
        Ok(Some(HolderMessage::Response { number, response })) => {
            process.holder.on_response(now, number, response)
        }
        Ok(Some(HolderMessage::DutyChanged { duty })) => process.holder.on_duty_changed(now, &duty),
        Ok(None) | Err(_) => {}
    }
}

/// What takes a duty from its owner, in an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverCause {
    /// The owner alone, or the owner where it is the voter that leads.
    Kill,
    KillLeader,
    Pause,
    /// Nobody hears it any more, nor it anybody.
    Isolate,
    HandOver,
}

/// How long a duty had no owner, in seconds; none: for longer than 20 s.
pub fn takeover_time(members: usize, takes: TakeoverCause, seed: u64) -> Option<f64> {
    let mut fleet = Owners::started(OwnersPlan { members, seed, ..OwnersPlan::default() });
    fleet.until(ms(10_000), |f| f.owners().len() == 1)?;
    let wait = 2_000 + fleet.draw(1_000);
    fleet.run(ms(wait));
    if takes == TakeoverCause::KillLeader {
        // The worst case: who owns it also leads the voters.
        let leader = fleet.leader()?;
        let wants = AdminCommand::HandOver { duty: DUTY.to_string(), to: name(leader) };
        fleet.question(leader, 1, Some(&wants));
        fleet.until(ms(5_000), |f| f.owners() == [leader])?;
        fleet.run(ms(wait));
    }
    let owner = *fleet.owners().first()?;
    match takes {
        TakeoverCause::Kill | TakeoverCause::KillLeader => fleet.kill(owner),
        TakeoverCause::Pause => fleet.pause(owner),
        TakeoverCause::Isolate => {
            (0..members).filter(|o| *o != owner).for_each(|o| fleet.network.cut_both(owner, o))
        }
        TakeoverCause::HandOver => {
            let to = (owner + 1) % members;
            let wants = AdminCommand::HandOver { duty: DUTY.to_string(), to: name(to) };
            fleet.question(to, 2, Some(&wants));
        }
    }
    let took = fleet.until(ms(20_000), |f| f.owners().iter().any(|o| *o != owner))?;
    Some(took.secs())
}

/// Datagrams a second of all together, at rest.
pub fn idle_datagrams_per_second(members: usize, seed: u64) -> f64 {
    let mut fleet = Owners::started(OwnersPlan { members, seed, ..OwnersPlan::default() });
    fleet.run(ms(5_000));
    let before = fleet.datagrams;
    fleet.run(ms(20_000));
    (fleet.datagrams - before) as f64 / 20.0
}
