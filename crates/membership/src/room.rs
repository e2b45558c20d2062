//! The room: one member, told the time and what was heard, handing back what to do.

use std::collections::{BTreeMap, HashMap};
use std::mem::discriminant;
use std::net::SocketAddrV4;

use foca::{AccumulatingRuntime, Foca, Member, Message, OwnedNotification, Timer};
use lynxstair::types::{Span, Time};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::datagram::{Codec, Dropped, FleetId, Ours, Verdict, look, open, seal, take_header};
use crate::health::{Doubt, Health, Turn};
use crate::ident::{Ident, Incarnation, Name};
use crate::links::{LinkState, Links};
use crate::notices::{Board, MOST_NAMED, Notice, Reason};
use crate::states::{Life, State};
use crate::times::{Broken, Times};
use crate::view::{LinkSeen, MemberSeen, View};

/// Members asked at once: to be let in, whether they are there, to pass something on.
const ASKED_AT_ONCE: usize = 3;
const PASSED_ON_BY: usize = 2;
/// So many members tell one that is suspected, on the mean.
const VOUCHED_BY: f64 = 8.0;
/// One that hears no more than so many others, and no more than a quarter of them, says whom.
const FEW_HEARD: usize = 3;
/// Who finds another silent tells it so often while it may object.
const ACCUSED: u32 = 3;
/// What is told on leaving is told so often.
const LEAVING_TOLD: u32 = 4;
/// One that is refused or shut out asks again by so many times the usual wait.
const REFUSED_WAIT: f64 = 8.0;

/// What this member is in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its incarnation is being written down; it tells nobody of itself.
    Recording,
    Joining,
    In,
    /// Tells others that it goes.
    Leaving,
    Left,
    /// Another bears its name. Asks again now and then.
    Refused,
    /// Was taken out. Asks again now and then.
    ShutOut,
}

/// Why a member is seen as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// Remembered from before the start.
    Remembered,
    /// Asked to be let in.
    Asked,
    /// Heard from it, or of it as alive.
    Heard,
    /// Did not answer, here or elsewhere.
    NoAnswer,
    /// Did not object in time, here or elsewhere.
    NoObjection,
    SaidSo,
    Operator,
}

/// What is kept on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum Record {
    /// This incarnation begins. Nothing is told of it before this is on disk and `written` has said so.
    Began {
        incarnation: Incarnation,
    },
    /// Members to ask after a restart.
    Members {
        known: Vec<Known>,
    },
    Notice {
        notice: Notice,
    },
}

/// A member as it was last known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Known {
    pub ident: Ident,
}

/// What happened, for the log and the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// This incarnation is on disk, and others are told of it from now on.
    Began {
        ident: Ident,
    },
    Phase {
        from: Phase,
        to: Phase,
        why: String,
    },
    Member {
        name: Name,
        addr: SocketAddrV4,
        from: State,
        was: Incarnation,
        to: State,
        incarnation: Incarnation,
        why: Why,
    },
    /// It stood still for so long.
    Stood {
        ms: u64,
    },
    DoubtBegan {
        why: Doubt,
    },
    DoubtEnded {
        ms: u64,
    },
    Link {
        to: Name,
        state: LinkState,
    },
    /// One that asked to be let in was not.
    TurnedAway {
        name: Name,
        addr: SocketAddrV4,
        why: String,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Send { to: SocketAddrV4, datagram: Vec<u8> },
    Write(Record),
    Tell(Event),
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub passed_on: u64,
    pub dropped: BTreeMap<Dropped, u64>,
    /// Changes of state that may not be and were not made.
    pub refused_changes: u64,
}

/// All that a member begins with.
#[derive(Clone, Debug)]
pub struct Start {
    pub fleet: Name,
    pub name: Name,
    pub hall: Name,
    pub addr: SocketAddrV4,
    pub seeds: Vec<SocketAddrV4>,
    /// Drawn at each start of the process.
    pub run: u32,
    pub seed: u64,
    /// The last incarnation on disk; none at first.
    pub last: Option<Incarnation>,
    pub known: Vec<Known>,
    pub notices: Vec<Notice>,
    pub times: Times,
    pub broken: Broken,
}

#[derive(Clone, Debug)]
struct Seen {
    ident: Ident,
    life: Life,
    /// What `foca` held of it when last looked at.
    swim: Option<(foca::State, u16)>,
    since: Time,
    why: Why,
}

/// A name that another process bears is being looked at.
#[derive(Clone, Debug)]
struct Gate {
    asker: Ident,
    since: Time,
    /// The one who bears it answered questions from this number on.
    fresh_from: u64,
    answered: bool,
}

#[derive(Clone, Debug)]
enum Due {
    Swim(Timer<Ident>),
    Join,
    /// Asks others whether it is heard, while it doubts itself.
    Ask,
    LookAround,
    Seek,
    TellLinks,
    Remember,
    Accuse(Name, u32),
    /// One that others suspected: neither an objection nor its end was heard of. And then, with its own time
    /// to object over as well.
    Unsettled(Ident, u16),
    Overdue(Ident, u16),
    Leave(u32),
}

/// One member of a fleet.
pub struct Room {
    me: Ident,
    fleet: FleetId,
    seeds: Vec<SocketAddrV4>,
    times: Times,
    broken: Broken,
    foca: Foca<Ident, Codec, Pcg64Mcg, Board>,
    board: Board,
    chance: Pcg64Mcg,
    phase: Phase,
    phase_why: String,
    /// By time awake.
    timers: BTreeMap<(Time, u64), Due>,
    timers_set: u64,
    health: Health,
    links: Links,
    members: BTreeMap<Name, Seen>,
    gates: HashMap<Name, Gate>,
    /// Numbers of questions; answers to those from before are stale.
    number: u64,
    joining_from: u64,
    /// What it is to become once its record is on disk.
    recording: Option<Ident>,
    /// The answer goes back by whom the question came.
    came_by: Option<SocketAddrV4>,
    links_told: (bool, Vec<Name>),
    links_order: u32,
    remembered: Vec<Ident>,
    retell: bool,
    out: Vec<Do>,
    counters: Counters,
}

impl Room {
    /// Begins a life: the first thing to do is to write its incarnation down.
    pub fn begin(now: Time, start: Start) -> Self {
        let last = if start.broken.no_incarnation { None } else { start.last };
        let incarnation = last.unwrap_or_default().next();
        let Start { name, hall, addr, run, .. } = start;
        let me = Ident { name, hall, addr, incarnation, run };
        let board = Board::new(start.times.most_members);
        let mut chance = Pcg64Mcg::seed_from_u64(start.seed);
        let swim_chance = Pcg64Mcg::from_rng(&mut chance);
        let foca = Foca::with_custom_broadcast(
            me.clone(),
            start.times.config(start.broken),
            swim_chance,
            Codec,
            board.clone(),
        );
        let mut room = Room {
            fleet: FleetId::of(&start.fleet),
            seeds: start.seeds.into_iter().filter(|s| *s != addr).collect(),
            times: start.times,
            broken: start.broken,
            foca,
            board,
            chance,
            phase: Phase::Recording,
            phase_why: "started".to_string(),
            timers: BTreeMap::new(),
            timers_set: 0,
            health: Health::new(now, !start.broken.no_lateness),
            links: Links::default(),
            members: BTreeMap::new(),
            gates: HashMap::new(),
            number: u64::from(run) << 32,
            joining_from: 0,
            recording: None,
            came_by: None,
            links_told: (false, Vec::new()),
            links_order: 0,
            remembered: Vec::new(),
            retell: false,
            out: Vec::new(),
            counters: Counters::default(),
            me: me.clone(),
        };
        for known in start.known.into_iter().filter(|k| k.ident.name != me.name) {
            room.remembered.push(known.ident.clone());
            room.know(now, &known.ident, Why::Remembered);
        }
        for notice in start.notices {
            let _ = room.foca.add_broadcast(&notice.written());
        }
        room.take_notices(now, false);
        room.record(me);
        room
    }

    /// Another member becomes known by name.
    fn know(&mut self, now: Time, ident: &Ident, why: Why) {
        let life = Life::unknown(ident.incarnation);
        let seen = Seen { ident: ident.clone(), life, swim: None, since: now, why };
        self.members.insert(ident.name.clone(), seen);
    }

    fn record(&mut self, next: Ident) {
        self.out.push(Do::Write(Record::Began { incarnation: next.incarnation }));
        self.recording = Some(next);
    }

    /// This incarnation is on disk: from now on others are told of it.
    pub fn written(&mut self, now: Time, incarnation: Incarnation) {
        let Some(next) = self.recording.take_if(|next| next.incarnation == incarnation) else { return };
        self.observe(now);
        self.me = next.clone();
        self.out.push(Do::Tell(Event::Began { ident: next.clone() }));
        if *self.foca.identity() != next {
            let mut hands = AccumulatingRuntime::new();
            let _ = self.foca.change_identity(next, &mut hands);
            self.carry_out(now, hands);
        }
        self.set_one(now, Due::LookAround, self.times.quiet.times(0.5));
        if self.phase == Phase::Recording {
            self.join(now, "its incarnation is on disk");
        }
    }

    fn join(&mut self, now: Time, why: &str) {
        self.enter(Phase::Joining, why);
        self.joining_from = self.number + 1;
        self.ask_to_join(now);
    }

    /// For experiments: as one that has long been in a fleet of these, all of whom are there.
    pub fn settle(&mut self, now: Time, others: &[Ident]) {
        self.enter_in(now, "settled");
        let alive = others.iter().filter(|o| o.name != self.me.name).cloned().map(Member::alive);
        let mut hands = AccumulatingRuntime::new();
        let _ = self.foca.apply_many(alive, false, &mut hands);
        self.carry_out(now, hands);
        self.look_at_all(now);
    }

    /// Goes: tells others, and ends. `is_over` says when.
    pub fn leave(&mut self, now: Time) {
        if matches!(self.phase, Phase::Leaving | Phase::Left) {
            return;
        }
        self.observe(now);
        self.enter(Phase::Leaving, "told to go");
        let left = Notice::Left { name: self.me.name.clone(), incarnation: self.me.incarnation };
        let _ = self.foca.add_broadcast(&left.written());
        self.set(now, Due::Leave(LEAVING_TOLD), Span::ZERO);
        self.tick(now);
    }

    /// It has told others that it went; nothing more comes from it.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Takes a member out until it is let in again. `why` is told to it.
    pub fn shut_out(&mut self, now: Time, name: &Name, why: &str) {
        let number = self.board.held().last_number(name) + 1;
        self.notify(now, Notice::ShutOut { name: name.clone(), number, why: Reason::new(why) });
    }

    pub fn let_in(&mut self, now: Time, name: &Name) {
        let number = self.board.held().last_number(name);
        if self.board.held().shut_out(name).is_some() {
            self.notify(now, Notice::LetIn { name: name.clone(), number: number + 1 });
        }
    }

    fn notify(&mut self, now: Time, notice: Notice) {
        self.observe(now);
        let _ = self.foca.add_broadcast(&notice.written());
        self.take_notices(now, true);
    }

    /// Every change of phase goes through here.
    fn enter(&mut self, phase: Phase, why: &str) {
        if phase == self.phase {
            return;
        }
        let from = std::mem::replace(&mut self.phase, phase);
        self.phase_why = why.to_string();
        self.out.push(Do::Tell(Event::Phase { from, to: phase, why: why.to_string() }));
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn me(&self) -> &Ident {
        &self.me
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// What is to be done, in order. Sent before it is taken again.
    pub fn take(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.out)
    }

    /// When it wants to be woken.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| self.health.clock(*at))
    }

    fn set(&mut self, now: Time, due: Due, after: Span) {
        self.timers_set += 1;
        self.timers.insert((self.health.awake(now) + after, self.timers_set), due);
    }

    /// For what goes on by itself: one of a kind is enough, also where a next life begins it anew.
    fn set_one(&mut self, now: Time, due: Due, after: Span) {
        let kind = discriminant(&due);
        self.timers.retain(|_, held| discriminant(held) != kind);
        self.set(now, due, after);
    }

    /// Every entry begins here: whether it stood still since it last ran.
    fn observe(&mut self, now: Time) {
        let Some(stood) = self.health.ran(now, self.next_due(), &self.times) else { return };
        self.out.push(Do::Tell(Event::Stood { ms: stood.nanos() / 1_000_000 }));
        // A short stop costs nobody more than the time taken off the clock.
        if stood > self.times.probe && self.takes_part() {
            self.doubt(now, Doubt::StoodStill);
        }
    }

    fn takes_part(&self) -> bool {
        matches!(self.phase, Phase::In | Phase::Joining)
    }

    fn doubt(&mut self, now: Time, why: Doubt) {
        if let Some(Turn::Began(why)) = self.health.doubt(now, why, self.number + 1) {
            self.out.push(Do::Tell(Event::DoubtBegan { why }));
            self.set_one(now, Due::Ask, Span::ZERO);
        }
    }

    fn doubt_ended(&mut self, now: Time, turn: Option<Turn>) {
        let Some(Turn::Ended { since }) = turn else { return };
        self.out.push(Do::Tell(Event::DoubtEnded { ms: (now - since).nanos() / 1_000_000 }));
        // Whoever was suspected before has all its time to object once more, and what was asked before has
        // time to be answered.
        let held: Vec<_> = self.timers.iter().filter(|(_, due)| accuses(due)).map(|(at, _)| *at).collect();
        let soon = self.health.awake(now) + self.times.suspicion;
        for at in held.into_iter().filter(|(at, _)| *at <= soon) {
            let Some(due) = self.timers.remove(&at) else { continue };
            let after = match due {
                Due::Swim(Timer::ChangeSuspectToDown { .. }) | Due::Overdue(..) => {
                    self.times.suspicion.times(2.0)
                }
                _ => self.times.answer,
            };
            self.set(now, due, after);
        }
        self.accuse_anew(now);
    }

    /// Whoever was suspected while nobody could be heard was hardly told so: told now, it may object.
    fn accuse_anew(&mut self, now: Time) {
        let suspected = self.members.values().filter(|s| s.life.state() == State::Suspected);
        let suspected: Vec<_> = suspected.map(|s| s.ident.name.clone()).collect();
        for name in suspected {
            self.set(now, Due::Accuse(name, ACCUSED), Span::ZERO);
        }
    }

    /// Does all that is due.
    pub fn tick(&mut self, now: Time) {
        self.observe(now);
        let mut put_off = Vec::new();
        while let Some(entry) = self.timers.first_entry() {
            let at = *entry.key();
            if at.0 > self.health.awake(now) {
                break;
            }
            let due = entry.remove();
            // Where nobody was heard lately, it may be this one that is cut off.
            if accuses(&due) && self.phase == Phase::In && self.health.is_quiet(now, &self.times) {
                self.doubt(now, Doubt::HearsNobody);
            }
            if self.health.doubting().is_some() && accuses(&due) {
                put_off.push(due);
                continue;
            }
            self.do_one(now, due);
        }
        for due in put_off {
            self.set(now, due, self.times.answer);
        }
    }

    fn do_one(&mut self, now: Time, due: Due) {
        match due {
            Due::Swim(timer) => self.swim_timer(now, timer),
            Due::Join => self.ask_to_join(now),
            Due::Ask => self.ask_others(now),
            Due::LookAround => self.look_around(now),
            Due::Seek => self.seek(now),
            Due::TellLinks => self.tell_links(now),
            Due::Remember => self.remember(),
            Due::Accuse(name, left) => self.accuse(now, name, left),
            Due::Unsettled(ident, objection) => {
                if self.is_suspected(&ident, objection) {
                    self.accuse(now, ident.name.clone(), ACCUSED);
                    self.set(now, Due::Overdue(ident, objection), self.health.widened(self.times.suspicion));
                }
            }
            Due::Overdue(ident, objection) => {
                if self.is_suspected(&ident, objection) {
                    let over = Member::new(ident, objection, foca::State::Down);
                    let mut hands = AccumulatingRuntime::new();
                    let _ = self.foca.apply_many([over].into_iter(), true, &mut hands);
                    self.carry_out(now, hands);
                    self.look_at_all(now);
                }
            }
            Due::Leave(left) => self.tell_leaving(now, left),
        }
    }

    fn swim_timer(&mut self, now: Time, timer: Timer<Ident>) {
        let probes = matches!(timer, Timer::ProbeRandomMember(_));
        let over = if probes { self.links.over() } else { None };
        // Else nothing changes here that was not seen when it came.
        let unanswered = over.as_ref().is_some_and(|(_, answered)| !answered);
        let looks = unanswered || matches!(timer, Timer::ChangeSuspectToDown { .. });
        let mut hands = AccumulatingRuntime::new();
        let _ = self.foca.handle_timer(timer, &mut hands);
        self.carry_out(now, hands);
        if looks {
            self.look_at_all(now);
        }
        if let Some((name, answered)) = over {
            self.asked_is_over(now, &name, answered);
        }
    }

    fn is_suspected(&self, ident: &Ident, objection: u16) -> bool {
        let seen = self.members.get(&ident.name);
        seen.is_some_and(|s| s.ident == *ident && s.swim == Some((foca::State::Suspect, objection)))
    }

    /// What the last question told of the link, and of this member itself.
    fn asked_is_over(&mut self, now: Time, name: &Name, answered: bool) {
        if answered {
            return self.health.narrow();
        }
        let state = self.members.get(name).map(|s| s.life.state());
        match state {
            Some(State::Alive) => {
                if let Some(state) = self.links.reached_by_others(name) {
                    self.out.push(Do::Tell(Event::Link { to: name.clone(), state }));
                }
            }
            Some(State::Suspected) => {
                self.links.not_reached(name);
                // Where others were heard meanwhile, it is hardly this one.
                if self.health.unheard_for(now) > self.times.probe {
                    self.health.widen();
                }
                self.set(now, Due::Accuse(name.clone(), ACCUSED), Span::ZERO);
            }
            _ => {}
        }
    }

    /// Asks to be let in: seeds, and who was known before.
    fn ask_to_join(&mut self, now: Time) {
        if !matches!(self.phase, Phase::Joining | Phase::Refused | Phase::ShutOut) {
            return;
        }
        let mut asked = self.seeds.clone();
        let known = self.members.values().map(|s| s.ident.addr).filter(|a| !asked.contains(a));
        let known: Vec<_> = known.collect();
        asked.extend(known.sample(&mut self.chance, ASKED_AT_ONCE).copied());
        if asked.is_empty() && self.phase == Phase::Joining {
            return self.enter_in(now, "the first of its fleet");
        }
        self.number += 1;
        let number = self.number;
        for to in asked {
            let from = self.me.clone();
            self.send(to, &Ours::Join { from, number });
        }
        let refused = self.phase != Phase::Joining;
        self.set(now, Due::Join, if refused { self.times.join.times(REFUSED_WAIT) } else { self.times.join });
    }

    fn enter_in(&mut self, now: Time, why: &str) {
        self.enter(Phase::In, why);
        self.health.heard(now);
        self.set_one(now, Due::TellLinks, self.times.exchange);
        self.set_one(now, Due::Remember, self.times.exchange);
        self.set_one(now, Due::Seek, self.times.exchange);
        // What an earlier life suspected is this one's to settle.
        let overdue: Vec<_> =
            self.timers.iter().filter(|(_, d)| matches!(d, Due::Overdue(..))).map(|(at, _)| *at).collect();
        for at in overdue {
            if let Some(Due::Overdue(ident, objection)) = self.timers.remove(&at) {
                self.set(now, Due::Unsettled(ident, objection), self.times.suspicion);
            }
        }
        self.accuse_anew(now);
    }

    /// Asks seeds that are nobody's who is there, and one of those known by name only, to let it in as well:
    /// where several started at once they may have come together in more than one group, and a datagram may
    /// be lost.
    fn seek(&mut self, now: Time) {
        if self.phase != Phase::In {
            return;
        }
        self.set_one(now, Due::Seek, self.times.exchange);
        let there: Vec<_> = self.there().map(|s| s.ident.addr).collect();
        let unknown =
            self.members.values().filter(|s| s.life.state() == State::Unknown).map(|s| s.ident.addr);
        let unknown: Vec<_> = unknown.filter(|a| !there.contains(a)).collect();
        let mut asked: Vec<_> = self.seeds.iter().filter(|s| !there.contains(s)).copied().collect();
        asked.extend(unknown.choose(&mut self.chance));
        for to in asked {
            self.number += 1;
            let (from, number) = (self.me.clone(), self.number);
            self.send(to, &Ours::Join { from, number });
        }
    }

    /// While it doubts itself: asks some others whether it is there.
    fn ask_others(&mut self, now: Time) {
        if self.health.doubting().is_none() || !self.takes_part() {
            return;
        }
        let there: Vec<_> = self.there().map(|s| s.ident.addr).collect();
        let mut asked: Vec<_> = there.sample(&mut self.chance, ASKED_AT_ONCE).copied().collect();
        asked.extend(self.seeds.first().filter(|s| !asked.contains(s)).copied());
        self.number += 1;
        let number = self.number;
        for to in asked {
            let from = self.me.clone();
            self.send(to, &Ours::Hello { from, number });
        }
        self.set_one(now, Due::Ask, self.times.answer);
    }

    fn there(&self) -> impl Iterator<Item = &Seen> {
        self.members.values().filter(|s| s.life.state().is_there())
    }

    /// Whether anybody was heard lately, and what became of names that two bear.
    fn look_around(&mut self, now: Time) {
        self.set_one(now, Due::LookAround, self.times.quiet.times(0.25));
        if self.phase == Phase::In {
            if self.there().next().is_none() {
                let turn = self.health.alone(now);
                self.doubt_ended(now, turn);
            } else if self.health.is_quiet(now, &self.times) {
                self.doubt(now, Doubt::HearsNobody);
            }
        }
        // A gate stays open no longer than anybody asks at it.
        let longest = self.times.forget;
        self.gates.retain(|_, gate| now - gate.since < longest);
        if std::mem::take(&mut self.retell) {
            let lasting = self.board.held().lasting();
            for notice in lasting {
                self.board.held().tell_again(&notice);
                let _ = self.foca.add_broadcast(&notice.written());
            }
            self.board.held().take_fresh();
        }
    }

    /// Tells others what links are cut, where that changed.
    fn tell_links(&mut self, now: Time) {
        if self.phase != Phase::In {
            return;
        }
        self.set_one(now, Due::TellLinks, self.times.exchange);
        let is_there = |name: &&Name| self.members.get(*name).is_some_and(|s| s.life.state().is_there());
        let sorted = |state| {
            let mut names: Vec<_> = self.links.with_state(state).filter(is_there).cloned().collect();
            names.sort();
            names
        };
        let (cut, whole) = (sorted(LinkState::Cut), sorted(LinkState::Whole));
        // Where only few are heard at all, that is known before each link has been found cut.
        let lately = |at: Time| now - at <= self.times.quiet.times(2.0);
        let heard = self
            .there()
            .filter(|s| self.links.get(&s.ident.name).and_then(|l| l.heard_at()).is_some_and(lately));
        let heard: Vec<_> = heard.map(|s| s.ident.name.clone()).collect();
        let few = (self.there().count() / 4).min(FEW_HEARD);
        let only = !heard.is_empty() && heard.len() <= few || cut.len() > whole.len() && !whole.is_empty();
        let mut named = match only {
            true if heard.len() <= few => heard,
            true => whole,
            false => cut,
        };
        named.truncate(MOST_NAMED);
        let changed = self.links_told != (only, named.clone());
        if changed {
            self.links_order += 1;
            self.links_told = (only, named.clone());
        }
        if !changed && !only {
            return;
        }
        let (name, incarnation, order) = (self.me.name.clone(), self.me.incarnation, self.links_order);
        let notice = Notice::Links { name, incarnation, order, only, named }.written();
        if changed {
            let _ = self.foca.add_broadcast(&notice);
            self.board.held().take_fresh();
        }
        if only {
            // What goes to members at random would be lost on most of them.
            for to in self.heard_lately() {
                let from = self.me.name.clone();
                self.send(to.addr, &Ours::Told { from, notice: &notice });
            }
        }
    }

    /// Has those who are there written down, where they changed, to be asked after a restart.
    fn remember(&mut self) {
        if self.phase != Phase::In {
            return;
        }
        let there: Vec<_> = self.there().map(|s| s.ident.clone()).collect();
        if !there.is_empty() && there != self.remembered {
            self.remembered.clone_from(&there);
            let known = there.into_iter().map(|ident| Known { ident }).collect();
            self.out.push(Do::Write(Record::Members { known }));
        }
        self.timers_set += 1;
        // Often enough that one of them is still there after a restart; seldom enough for any disk.
        let at = self.timers.first_key_value().map_or(Time::default(), |((at, _), _)| *at);
        self.timers.insert((at + self.times.exchange.times(5.0), self.timers_set), Due::Remember);
    }

    fn tell_leaving(&mut self, now: Time, left: u32) {
        let mut hands = AccumulatingRuntime::new();
        if left > 0 {
            let _ = self.foca.gossip(&mut hands);
            self.set(now, Due::Leave(left - 1), self.times.gossip.times(0.5));
        } else {
            let _ = self.foca.leave_cluster(&mut hands);
        }
        self.carry_out(now, hands);
        if left == 0 {
            self.enter(Phase::Left, "others were told");
            self.timers.clear();
        }
    }

    /// A datagram came.
    pub fn heard(&mut self, now: Time, from: SocketAddrV4, datagram: &[u8]) {
        self.counters.datagrams_in += 1;
        self.counters.bytes_in += datagram.len() as u64;
        self.observe(now);
        if let Err(why) = self.understand(now, from, datagram) {
            *self.counters.dropped.entry(why).or_default() += 1;
        }
    }

    fn understand(&mut self, now: Time, from: SocketAddrV4, datagram: &[u8]) -> Result<(), Dropped> {
        let ours = open(self.fleet, datagram)?;
        if matches!(self.phase, Phase::Recording | Phase::Left) {
            return Err(Dropped::NotTakingPart);
        }
        match ours {
            Ours::Swim(swim) => self.swim(now, swim, true),
            Ours::Relayed { from: by, swim } => {
                if self.broken.no_relays || !self.members.contains_key(&by) {
                    return Err(Dropped::NotAMember);
                }
                self.came_by = Some(from);
                let heard = self.swim(now, swim, false);
                self.came_by = None;
                heard
            }
            Ours::Relay { to, swim } => self.pass_on(now, from, &to, swim),
            Ours::Told { from, notice } => {
                if !self.takes_part() || !self.members.contains_key(&from) {
                    return Err(Dropped::NotAMember);
                }
                self.health.heard(now);
                self.links.heard(&from, now);
                self.foca.add_broadcast(notice).map_err(|_| Dropped::Malformed)?;
                self.take_notices(now, true);
                Ok(())
            }
            Ours::Hello { from: asker, number } => {
                if asker.name == self.me.name {
                    return Err(Dropped::OurName);
                }
                // One that is refused does not bear its name, and must not answer for it.
                if !self.takes_part() {
                    return Err(Dropped::NotTakingPart);
                }
                self.health.heard(now);
                let me = self.me.clone();
                self.send(asker.addr, &Ours::Hi { from: me, number });
                Ok(())
            }
            Ours::Hi { from: answerer, number } => self.hi(now, &answerer, number),
            Ours::Join { from: asker, number } => {
                if !self.takes_part() {
                    return Err(Dropped::NotTakingPart);
                }
                if asker == self.me {
                    return Err(Dropped::OurName);
                }
                if let Some(verdict) = self.gate(now, &asker) {
                    let me = self.me.clone();
                    self.send(asker.addr, &Ours::Answer { from: me, number, verdict });
                }
                Ok(())
            }
            Ours::Accused { from: by, you, objection } => self.accused(now, from, by, you, objection),
            Ours::Behind { you, held } => {
                if you != self.me || held < self.me.incarnation {
                    return Err(Dropped::NotForUs);
                }
                self.begin_after(held, "this name had a later incarnation");
                Ok(())
            }
            Ours::Answer { from, number, verdict } => self.answered(now, &from, number, verdict),
        }
    }

    fn hi(&mut self, now: Time, answerer: &Ident, number: u64) -> Result<(), Dropped> {
        if answerer.name == self.me.name {
            return Err(Dropped::OurName);
        }
        self.health.heard(now);
        for gate in self.gates.values_mut() {
            let same = self.members.get(&gate.asker.name).is_some_and(|s| s.ident.run == answerer.run);
            gate.answered |= same && gate.asker.name == answerer.name && number >= gate.fresh_from;
        }
        let turn = self.health.fresh(now, number);
        self.doubt_ended(now, turn);
        Ok(())
    }

    /// One asks to be let in. None: nothing is said to it.
    fn gate(&mut self, now: Time, asker: &Ident) -> Option<Verdict> {
        if asker.name == self.me.name {
            // Of two that both want in, the later life goes on asking.
            let goes_first = self.phase == Phase::In
                || (self.me.incarnation, self.me.run) > (asker.incarnation, asker.run);
            return goes_first.then(|| self.turn_away(asker, Verdict::Taken(self.me.addr)));
        }
        let shut_out = self.board.held().shut_out(&asker.name).cloned();
        if let Some(why) = shut_out {
            return Some(self.turn_away(asker, Verdict::ShutOut(why)));
        }
        let Some(seen) = self.members.get(&asker.name) else {
            if self.members.len() >= self.times.most_members {
                return Some(self.turn_away(asker, Verdict::Full));
            }
            self.know(now, asker, Why::Asked);
            self.change(now, &asker.name, State::Joining, asker.incarnation, Why::Asked);
            return Some(Verdict::Welcome);
        };
        let (state, held) = (seen.life.state(), seen.life.incarnation());
        let is_same = seen.ident.run == asker.run;
        let at_its_place = seen.ident.addr == asker.addr;
        let may_be_there = matches!(state, State::Alive | State::Suspected);
        if !is_same && !at_its_place && may_be_there {
            return Some(self.look_at_gate(now, asker));
        }
        self.gates.remove(&asker.name);
        let is_next =
            if is_same && !state.is_over() { held <= asker.incarnation } else { held < asker.incarnation };
        if !is_next && state != State::Unknown {
            return Some(Verdict::Behind(held));
        }
        if state == State::Unknown && held > asker.incarnation {
            return Some(Verdict::Behind(held));
        }
        Some(Verdict::Welcome)
    }

    /// Another process bears the name and counts as there: whether it still answers decides.
    fn look_at_gate(&mut self, now: Time, asker: &Ident) -> Verdict {
        let Some(bearer) = self.members.get(&asker.name).map(|s| s.ident.addr) else { return Verdict::Wait };
        self.number += 1;
        let number = self.number;
        let from = self.me.clone();
        self.send(bearer, &Ours::Hello { from, number });
        let gate = self.gates.entry(asker.name.clone()).or_insert_with(|| Gate {
            asker: asker.clone(),
            since: now,
            fresh_from: number,
            answered: false,
        });
        if gate.asker.run != asker.run {
            *gate = Gate { asker: asker.clone(), since: now, fresh_from: number, answered: false };
        }
        // Where it does not answer us, others may still hear it: then it is not found failed in this time.
        let long_enough = self.times.suspicion.times(3.0) + self.times.probe.times(4.0);
        if gate.answered || now - gate.since > long_enough {
            return self.turn_away(asker, Verdict::Taken(bearer));
        }
        Verdict::Wait
    }

    fn turn_away(&mut self, asker: &Ident, verdict: Verdict) -> Verdict {
        let why = match &verdict {
            Verdict::Taken(by) => format!("its name is borne by {by}"),
            Verdict::ShutOut(why) => format!("it is shut out: {}", why.as_str()),
            _ => format!("no more than {} members may be known", self.times.most_members),
        };
        let (name, addr) = (asker.name.clone(), asker.addr);
        self.out.push(Do::Tell(Event::TurnedAway { name, addr, why }));
        verdict
    }

    /// What became of asking to be let in.
    fn answered(&mut self, now: Time, from: &Ident, number: u64, verdict: Verdict) -> Result<(), Dropped> {
        let asks = matches!(self.phase, Phase::Joining | Phase::Refused | Phase::ShutOut | Phase::In);
        if !asks
            || number < self.joining_from
            || number > self.number
            || from.name == self.me.name && from.run == self.me.run
        {
            return Err(Dropped::NotForUs);
        }
        self.health.heard(now);
        match verdict {
            Verdict::Welcome => {
                if self.recording.is_some() {
                    return Ok(());
                }
                if matches!(self.phase, Phase::Refused | Phase::ShutOut) {
                    // This life was over for others.
                    self.begin_after(self.me.incarnation, "let in again");
                    return Ok(());
                }
                if self.phase != Phase::In {
                    self.enter_in(now, &format!("let in by {}", from.name));
                }
                let mut hands = AccumulatingRuntime::new();
                let _ = self.foca.announce(from.clone(), &mut hands);
                self.carry_out(now, hands);
            }
            Verdict::Behind(held) => self.begin_after(held, "this name had a later incarnation"),
            // Where both are in, each in a group of its own, the later life stays: the other hears of it.
            Verdict::Taken(_) | Verdict::Full if self.phase == Phase::In => {}
            Verdict::Taken(by) => self.enter(Phase::Refused, &format!("its name is borne by {by}")),
            Verdict::ShutOut(why) => self.enter(Phase::ShutOut, why.as_str()),
            Verdict::Full => self.enter(Phase::Refused, "no more members may be known there"),
            Verdict::Wait => {}
        }
        Ok(())
    }

    /// Has the next incarnation written down, and goes on as that one.
    fn begin_after(&mut self, held: Incarnation, why: &str) {
        if self.recording.is_some() {
            return;
        }
        let incarnation = held.max(self.me.incarnation).next();
        self.enter(Phase::Recording, why);
        self.record(Ident { incarnation, ..self.me.clone() });
    }

    /// Passes on what another can't bring there itself.
    fn pass_on(&mut self, now: Time, from: SocketAddrV4, to: &Name, swim: &[u8]) -> Result<(), Dropped> {
        let header = look(swim).ok_or(Dropped::Malformed)?.0;
        let known = |name: &Name| self.members.get(name).map(|s| s.ident.addr);
        let (Some(to), Some(_)) = (known(to), known(&header.src.name)) else {
            return Err(Dropped::NotAMember);
        };
        if self.broken.no_relays || self.phase != Phase::In {
            return Err(Dropped::NotTakingPart);
        }
        if header.src.addr == from {
            self.health.heard(now);
            self.links.heard(&header.src.name, now);
        }
        self.counters.passed_on += 1;
        let from = self.me.name.clone();
        self.send(to, &Ours::Relayed { from, swim });
        Ok(())
    }

    /// A message of `foca` came.
    fn swim(&mut self, now: Time, swim: &[u8], directly: bool) -> Result<(), Dropped> {
        if !matches!(self.phase, Phase::In | Phase::Joining | Phase::Leaving) {
            return Err(Dropped::NotTakingPart);
        }
        let (header, told) = look(swim).ok_or(Dropped::Malformed)?;
        if header.src.name == self.me.name {
            return Err(Dropped::OurName);
        }
        let addressed =
            header.dst == self.me || (header.message == Message::Announce && header.dst.name == self.me.name);
        if !addressed {
            return Err(Dropped::NotForUs);
        }
        let fresh = told.iter().map(|m| m.id()).chain([&header.src]);
        let unknown = fresh.filter(|i| i.name != self.me.name && !self.members.contains_key(&i.name)).count();
        if self.members.len() + unknown > self.times.most_members {
            return Err(Dropped::Full);
        }
        if let Some(other) = told
            .iter()
            .map(|m| m.id())
            .find(|i| i.name == self.me.name && i.run != self.me.run && i.incarnation >= self.me.incarnation)
        {
            let why = format!("its name is borne by {}", other.addr);
            self.enter(Phase::Refused, &why);
            self.set(now, Due::Join, self.times.join.times(REFUSED_WAIT));
            return Err(Dropped::OurName);
        }
        self.health.heard(now);
        let suspects_us = told.iter().any(|m| *m.id() == self.me && m.state() == foca::State::Suspect);
        if directly {
            self.links.heard(&header.src.name, now);
            if let Message::Ack(number) = header.message
                && let Some(state) = self.links.answered(&header.src.name, number)
            {
                self.out.push(Do::Tell(Event::Link { to: header.src.name.clone(), state }));
            }
        }
        let differs = |seen: &BTreeMap<Name, Seen>, ident: &Ident, state, n| {
            let held = seen.get(&ident.name).filter(|s| s.ident == *ident).and_then(|s| s.swim);
            held.is_none_or(|(held, was)| (held != state && held != foca::State::Down) || n > was)
        };
        let looks = differs(&self.members, &header.src, foca::State::Alive, header.src_incarnation)
            || told
                .iter()
                .any(|m| *m.id() != self.me && differs(&self.members, m.id(), m.state(), m.incarnation()));
        let mut hands = AccumulatingRuntime::new();
        let taken = self.foca.handle_data(swim, &mut hands);
        self.carry_out(now, hands);
        if suspects_us {
            self.health.widen();
            self.object(now);
        }
        self.take_notices(now, true);
        if looks {
            self.look_at_all(now);
        }
        taken.map_err(|_| Dropped::Malformed)
    }

    /// Tells one that did not answer that it is suspected here: directly, and by those who were heard lately.
    /// What `foca` spreads may never come to it, nor its objection back, where this one hears few others.
    fn accuse(&mut self, now: Time, name: Name, left: u32) {
        let Some(seen) = self.members.get(&name).filter(|s| s.life.state() == State::Suspected) else {
            return;
        };
        if self.broken.no_relays || self.broken.no_suspicion {
            return;
        }
        if !self.takes_part() {
            // Begins its next life just now; nobody would listen to this one.
            return self.set(now, Due::Accuse(name, left), self.times.answer);
        }
        let (you, objection) = (seen.ident.clone(), seen.swim.map_or(0, |(_, n)| n));
        // Those it says it hears; and others, more of them each time: who hears it may be few.
        let board = self.board.held();
        let said = board.links(&name).filter(|(_, only, _)| *only).map_or(&[][..], |(_, _, named)| named);
        let others = self.there().map(|s| &s.ident).filter(|i| i.name != name);
        let (said, others): (Vec<_>, Vec<_>) = others.partition(|i| said.contains(&i.name));
        let mut to: Vec<_> = said.iter().map(|i| i.addr).chain([you.addr]).collect();
        let others: Vec<_> = others.iter().map(|i| i.addr).collect();
        drop(board);
        let more = ASKED_AT_ONCE << (ACCUSED - left);
        to.extend(others.sample(&mut self.chance, more).copied());
        to.extend(self.heard_lately().into_iter().filter(|i| i.name != name).map(|i| i.addr));
        to.sort_unstable();
        to.dedup();
        for to in to {
            let from = self.me.clone();
            self.send(to, &Ours::Accused { from, you: you.clone(), objection });
        }
        if left > 1 {
            self.set(now, Due::Accuse(name, left - 1), self.times.suspicion.times(1.0 / f64::from(ACCUSED)));
        }
    }

    /// One is suspected: we, or one to whom this is to be passed on.
    fn accused(
        &mut self,
        now: Time,
        by: SocketAddrV4,
        from: Ident,
        you: Ident,
        objection: u16,
    ) -> Result<(), Dropped> {
        if !self.takes_part() {
            return Err(Dropped::NotTakingPart);
        }
        if !self.members.contains_key(&from.name) {
            return Err(Dropped::NotAMember);
        }
        if you.name != self.me.name {
            let to = self.members.get(&you.name).filter(|s| s.ident == you).map(|s| s.ident.addr);
            // Passed on once: whoever passes on is not the one who asks.
            let to = to.filter(|_| by == from.addr).ok_or(Dropped::NotAMember)?;
            self.counters.passed_on += 1;
            self.send(to, &Ours::Accused { from, you, objection });
            return Ok(());
        }
        if you != self.me {
            return Err(Dropped::NotForUs);
        }
        self.health.heard(now);
        self.health.widen();
        let suspected = Member::new(you, objection, foca::State::Suspect);
        let mut hands = AccumulatingRuntime::new();
        let _ = self.foca.apply_many([suspected].into_iter(), false, &mut hands);
        self.carry_out(now, hands);
        self.came_by = Some(by).filter(|by| *by != from.addr);
        let mut hands = AccumulatingRuntime::new();
        let _ = self.foca.announce(from, &mut hands);
        self.carry_out(now, hands);
        self.came_by = None;
        self.object(now);
        Ok(())
    }

    /// The members that were heard directly last.
    fn heard_lately(&self) -> Vec<Ident> {
        let heard = |s: &Seen| Some((self.links.get(&s.ident.name)?.heard_at()?, s.ident.clone()));
        let mut heard: Vec<_> = self.there().filter_map(heard).collect();
        heard.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        heard.into_iter().take(ASKED_AT_ONCE).map(|(_, ident)| ident).collect()
    }

    /// Another is newly suspected: where it is heard here directly, it is told at once, since those who
    /// suspect it may be the very ones it can't hear. In a large fleet some do, or those it says it hears.
    fn vouch(&mut self, now: Time, ident: &Ident, objection: u16) {
        let name = &ident.name;
        let heard_at = self.links.get(name).and_then(|l| l.heard_at());
        let Some(heard_at) = heard_at.filter(|_| !self.links.is_doubtful(name) && !self.broken.no_relays)
        else {
            return;
        };
        // One that is dead was heard by few so lately.
        let lately = now - heard_at <= self.times.quiet;
        let names_us = |(_, only, named): (_, bool, &[Name])| only && named.contains(&self.me.name);
        let named = self.board.held().links(name).is_some_and(names_us);
        let some = VOUCHED_BY / self.members.len().max(1) as f64;
        if lately || named || some >= 1.0 || self.chance.random_bool(some) {
            let from = self.me.clone();
            self.send(ident.addr, &Ours::Accused { from, you: ident.clone(), objection });
        }
    }

    /// Says that it is there to those whom it hears: `foca` tells members at random, and where links are cut
    /// few of them may hear it.
    fn object(&mut self, now: Time) {
        for to in self.heard_lately() {
            let mut hands = AccumulatingRuntime::new();
            let _ = self.foca.announce(to, &mut hands);
            self.carry_out(now, hands);
        }
    }

    /// Does what `foca` wants done.
    fn carry_out(&mut self, now: Time, mut hands: AccumulatingRuntime<Ident>) {
        while let Some((to, swim)) = hands.to_send() {
            self.send_swim(&to, &swim);
        }
        while let Some((after, timer)) = hands.to_schedule() {
            let after = Span::from_nanos(after.as_nanos() as u64);
            let after = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.health.widened(after),
                Timer::ChangeSuspectToDown { .. } if !self.broken.no_suspicion => self.health.widened(after),
                _ => after,
            };
            self.set(now, Due::Swim(timer), after);
        }
        while let Some(note) = hands.to_notify() {
            if note == OwnedNotification::Defunct && matches!(self.phase, Phase::In | Phase::Joining) {
                // Declared failed, or took over its own name after a restart: comes back as the next one.
                self.begin_after(self.me.incarnation, "it was declared failed");
            }
        }
    }

    fn send_swim(&mut self, to: &Ident, swim: &[u8]) {
        let Some(header) = take_header(&mut &swim[..]) else { return };
        if self.broken.no_relays && matches!(header.message, Message::PingReq { .. }) {
            return;
        }
        // When the time to object is over, foca 2.0 tells the member that it is over also where it has
        // objected.
        if header.message == Message::TurnUndead && self.foca.iter_members().any(|m| m.id() == to) {
            return;
        }
        if let Message::Ping(number) = header.message {
            self.links.asked(&to.name, number);
        }
        if let (Some(by), Message::Ack(_) | Message::Announce) = (self.came_by, &header.message) {
            // Whoever could bring the question can bring the answer. It does not go directly as well: that
            // would be taken for an answer to the direct question, and a link that is cut one way for a whole
            // one.
            let to = to.name.clone();
            return self.send(by, &Ours::Relay { to, swim });
        }
        self.send(to.addr, &Ours::Swim(swim));
        if self.broken.no_relays {
            return;
        }
        let goes_round = matches!(header.message, Message::Ping(_) | Message::Ack(_) | Message::TurnUndead);
        if goes_round && self.links.is_doubtful(&to.name) {
            for by in self.ways_to(&to.name) {
                self.send(by, &Ours::Relay { to: to.name.clone(), swim });
            }
        }
    }

    /// Members who are likely to reach that one: first those it says it hears, then those heard here
    /// directly.
    fn ways_to(&mut self, to: &Name) -> Vec<SocketAddrV4> {
        let board = self.board.held();
        let said = board.links(to);
        let fits = |s: &&Seen| {
            let name = &s.ident.name;
            let others_cut = board.links(name).is_some_and(|(_, only, named)| named.contains(to) != only);
            let said_so = said.is_none_or(|(_, only, named)| named.contains(name) == only);
            name != to && !others_cut && said_so && !self.links.is_doubtful(name)
        };
        let mut ways: Vec<_> = self.there().filter(fits).map(|s| s.ident.addr).collect();
        if ways.is_empty() {
            ways = self.there().filter(|s| s.ident.name != *to).map(|s| s.ident.addr).collect();
        }
        drop(board);
        ways.sample(&mut self.chance, PASSED_ON_BY).copied().collect()
    }

    fn send(&mut self, to: SocketAddrV4, ours: &Ours<'_>) {
        let datagram = seal(self.fleet, ours);
        self.counters.datagrams_out += 1;
        self.counters.bytes_out += datagram.len() as u64;
        self.out.push(Do::Send { to, datagram });
    }

    /// Takes over what notices came.
    fn take_notices(&mut self, now: Time, writes: bool) {
        let fresh = self.board.held().take_fresh();
        for notice in fresh {
            let name = notice.name().clone();
            match &notice {
                Notice::Left { incarnation, .. } => {
                    let held = self.members.get(&name).map(|s| s.life.incarnation());
                    if held == Some(*incarnation) {
                        self.end(now, &name, State::Left, Why::SaidSo);
                    }
                }
                Notice::ShutOut { why, .. } => {
                    if name == self.me.name {
                        self.enter(Phase::ShutOut, why.as_str());
                        self.set(now, Due::Join, self.times.join.times(REFUSED_WAIT));
                    } else {
                        self.end(now, &name, State::ShutOut, Why::Operator);
                    }
                    self.write_notice(&notice, writes);
                }
                Notice::LetIn { .. } => {
                    if let Some(held) = self.members.get(&name).map(|s| s.life)
                        && held.state() == State::ShutOut
                    {
                        self.change(now, &name, State::Unknown, held.incarnation(), Why::Operator);
                    }
                    self.write_notice(&notice, writes);
                }
                Notice::Links { .. } => {}
            }
        }
    }

    fn write_notice(&mut self, notice: &Notice, writes: bool) {
        if writes {
            self.out.push(Do::Write(Record::Notice { notice: notice.clone() }));
        }
    }

    /// A member is over by its own word or an operator's: `foca` is told, too.
    fn end(&mut self, now: Time, name: &Name, state: State, why: Why) {
        let Some(seen) = self.members.get(name) else { return };
        let (ident, held) = (seen.ident.clone(), seen.life);
        if held.state() != state {
            self.change(now, name, state, held.incarnation(), why);
        }
        let mut hands = AccumulatingRuntime::new();
        let _ = self.foca.apply_many([Member::down(ident)].into_iter(), true, &mut hands);
        self.carry_out(now, hands);
        self.look_at_all(now);
    }

    /// Takes over what `foca` holds of each member, where that changed.
    fn look_at_all(&mut self, now: Time) {
        let mut changed = Vec::new();
        for member in self.foca.iter_membership_state() {
            let swim = (member.state(), member.incarnation());
            let held = self.members.get(&member.id().name);
            if held.is_none_or(|s| s.ident != *member.id() || s.swim != Some(swim)) {
                changed.push((member.id().clone(), swim));
            }
        }
        for (ident, swim) in changed {
            if swim.0 == foca::State::Suspect {
                self.vouch(now, &ident, swim.1);
                // Its end is told to members at random; where that missed this one, it finds out by itself.
                let unsettled = Due::Unsettled(ident.clone(), swim.1);
                self.set(now, unsettled, self.health.widened(self.times.suspicion).times(2.0));
            }
            self.look_at(now, ident, swim);
        }
    }

    fn look_at(&mut self, now: Time, ident: Ident, swim: (foca::State, u16)) {
        let name = ident.name.clone();
        match self.members.get(&name) {
            None => self.know(now, &ident, Why::Heard),
            Some(seen) if seen.ident.run != ident.run => self.links.forget(&name),
            Some(_) => {}
        }
        let left = self.board.held().left(&name) == Some(ident.incarnation);
        let (state, why) = match swim.0 {
            foca::State::Down if left => (State::Left, Why::SaidSo),
            _ if left => return,
            foca::State::Alive => (State::Alive, Why::Heard),
            foca::State::Suspect => (State::Suspected, Why::NoAnswer),
            foca::State::Down => (State::Failed, Why::NoObjection),
        };
        let Some(seen) = self.members.get_mut(&name) else { return };
        seen.swim = Some(swim);
        let held = seen.life;
        if seen.ident.run != ident.run
            && held.incarnation() == ident.incarnation
            && swim.0 != foca::State::Down
        {
            // Two lives in one incarnation: the disk of the later one was emptied, and nobody it asked knew
            // of the earlier one. It has to begin after it.
            self.send(ident.addr, &Ours::Behind { you: ident.clone(), held: ident.incarnation });
            return;
        }
        if held.incarnation() <= ident.incarnation {
            seen.ident = ident.clone();
        }
        let ended_otherwise = state == State::Failed
            && held.incarnation() == ident.incarnation
            && matches!(held.state(), State::Left | State::ShutOut);
        if !ended_otherwise && (held.state(), held.incarnation()) != (state, ident.incarnation) {
            self.change(now, &name, state, ident.incarnation, why);
        }
    }

    /// Every change of what is known of a member goes through here.
    fn change(&mut self, now: Time, name: &Name, state: State, incarnation: Incarnation, why: Why) {
        let Some(seen) = self.members.get_mut(name) else { return };
        let (from, was) = (seen.life.state(), seen.life.incarnation());
        if seen.life.change(state, incarnation).is_err() {
            self.counters.refused_changes += 1;
            return;
        }
        (seen.since, seen.why) = (now, why);
        let addr = seen.ident.addr;
        if state == State::Alive && !from.is_there() {
            self.retell = true;
        }
        let name = name.clone();
        self.out.push(Do::Tell(Event::Member { name, addr, from, was, to: state, incarnation, why }));
    }

    /// Who is there, as seen from here.
    pub fn view(&self, now: Time) -> View {
        let doubt = self.health.doubting();
        // One that hears nobody can say of nobody how it is now.
        let blind = doubt.filter(|(why, _)| *why == Doubt::HearsNobody).map(|(_, since)| since);
        let ms = |span: Span| span.nanos() / 1_000_000;
        let members = self.members.values().map(|seen| {
            let link = self.links.get(&seen.ident.name);
            let last = seen.life.state();
            let unknown = blind.filter(|_| last.is_there());
            MemberSeen {
                name: seen.ident.name.clone(),
                hall: seen.ident.hall.clone(),
                addr: seen.ident.addr,
                incarnation: seen.life.incarnation(),
                state: if unknown.is_some() { State::Unknown } else { last },
                last,
                for_ms: ms(now - unknown.unwrap_or(seen.since)),
                why: format!("{:?}", seen.why),
                link: LinkSeen {
                    state: link.map(|l| l.state()).unwrap_or_default(),
                    heard_ms_ago: link.and_then(|l| l.heard_at()).map(|at| ms(now - at)),
                },
            }
        });
        View {
            me: self.me.clone(),
            phase: self.phase,
            phase_why: self.phase_why.clone(),
            doubt: doubt.map(|(why, since)| (why, ms(now - since))),
            wider: self.health.wider(),
            members: members.collect(),
            counters: self.counters.clone(),
        }
    }

    /// The state of one other member; none: never heard of.
    pub fn state_of(&self, name: &Name) -> Option<(State, Incarnation)> {
        self.members.get(name).map(|s| (s.life.state(), s.life.incarnation()))
    }
}

/// Whether doing this may find somebody silent.
fn accuses(due: &Due) -> bool {
    matches!(
        due,
        Due::Overdue(..)
            | Due::Swim(
                Timer::ProbeRandomMember(_)
                    | Timer::SendIndirectProbe { .. }
                    | Timer::ChangeSuspectToDown { .. }
            )
    )
}
