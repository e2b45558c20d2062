//! One member of a fleet: its phases and timers. Told the time and what was received, it hands out actions.

mod joining;
mod link_reports;
mod members;
mod receiving;
mod relaying;
mod suspicion;

use std::collections::{BTreeMap, HashMap};
use std::mem::discriminant;
use std::net::SocketAddrV4;

use foca::{AccumulatingRuntime, Foca, Member, OwnedNotification, Timer};
use lynxstair::types::{Span, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::event::{Action, ChangeReason, Counters, Event, KnownMember, Phase, Record};
use crate::identity::{Identity, Incarnation, Name};
use crate::link_table::LinkTable;
use crate::local_health::{DoubtChange, DoubtReason, LocalHealth};
use crate::notices::{Notice, NoticeBoard, Reason};
use crate::packet::FleetId;
use crate::status::State;
use crate::swim_codec::SwimCodec;
use crate::times::{DisabledParts, Times};
use joining::NameConflict;
use link_reports::SentLinkReport;
use members::MemberEntry;
use suspicion::MAX_SUSPECTED_ROUNDS;

/// Most members that are asked at once.
const ASK_FANOUT: usize = 3;
/// How often a member that leaves tells others.
const LEAVE_ROUNDS: u32 = 4;
/// A member that is refused or shut out asks again after so many times the usual interval.
const REFUSED_BACKOFF: f64 = 8.0;
/// Members are written to disk once in so many exchange intervals: often enough that one of them is still there
/// after a restart, seldom enough for any disk.
const REMEMBER_INTERVALS: f64 = 5.0;
/// Parts of the isolation threshold: the first look at the own health, and those after it.
const FIRST_HEALTH_CHECK: f64 = 0.5;
const HEALTH_CHECK: f64 = 0.25;

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The fleet's name.
    pub fleet: Name,
    /// The member's name.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Where others reach it.
    pub addr: SocketAddrV4,
    /// Members that are asked to let it join.
    pub seeds: Vec<SocketAddrV4>,
    /// Drawn at each start of the process.
    pub run: u32,
    /// Fixes its random choices.
    pub seed: u64,
    /// The last incarnation on disk; `None`: there is none.
    pub last_incarnation: Option<Incarnation>,
    /// The members on disk.
    pub known_members: Vec<KnownMember>,
    /// The notices on disk.
    pub notices: Vec<Notice>,
    /// Intervals and timeouts.
    pub times: Times,
    /// For trials.
    pub disabled: DisabledParts,
}

/// What a timer does when it fires.
#[derive(Clone, Debug)]
enum Timeout {
    /// One of `foca`'s.
    Swim(Timer<Identity>),
    Join,
    /// Probe others, while this member doubts itself.
    ProbeOthers,
    CheckHealth,
    /// Ask seeds that nobody present bears the address of to let this member join.
    SeekOthers,
    ReportLinks,
    RememberMembers,
    /// Tell a suspected member; so many rounds are left.
    TellSuspect(Name, u32),
    /// A suspicion that came from others, in this incarnation of `foca`: neither a refutation nor its end was
    /// heard of. And then, with the member's own time to refute it over as well.
    Unsettled(Identity, u16),
    Overdue(Identity, u16),
    /// Tell others that this member leaves; so many rounds are left.
    Leave(u32),
}

impl Timeout {
    /// Whether it may lead to a member being declared failed.
    fn may_declare_failed(&self) -> bool {
        matches!(
            self,
            Timeout::Overdue(..)
                | Timeout::Swim(
                    Timer::ProbeRandomMember(_)
                        | Timer::SendIndirectProbe { .. }
                        | Timer::ChangeSuspectToDown { .. }
                )
        )
    }
}

/// One member of a fleet.
pub struct Membership {
    local: Identity,
    fleet: FleetId,
    seeds: Vec<SocketAddrV4>,
    times: Times,
    disabled: DisabledParts,
    foca: Foca<Identity, SwimCodec, Pcg64Mcg, NoticeBoard>,
    notices: NoticeBoard,
    rng: Pcg64Mcg,
    phase: Phase,
    phase_reason: String,
    /// By awake time and order of setting.
    timers: BTreeMap<(Time, u64), Timeout>,
    timers_set: u64,
    health: LocalHealth,
    links: LinkTable,
    members: BTreeMap<Name, MemberEntry>,
    name_conflicts: HashMap<Name, NameConflict>,
    /// Number of the last probe or join.
    last_number: u64,
    /// The first join of this life: replies to earlier ones are stale.
    first_join: u64,
    /// The identity that this member takes once its incarnation is on disk.
    next_identity: Option<Identity>,
    /// The relay that brought the message that is being handled: the answer goes back through it.
    relayed_by: Option<SocketAddrV4>,
    sent_report: SentLinkReport,
    remembered: Vec<Identity>,
    /// A member came back: durable notices are to be told once more.
    repeats_notices: bool,
    actions: Vec<Action>,
    counters: Counters,
}

impl Membership {
    /// A member that begins a life: the first action is to write its incarnation to disk.
    pub fn new(now: Time, config: MembershipConfig) -> Self {
        let last = config.last_incarnation.filter(|_| !config.disabled.no_incarnation);
        let incarnation = last.unwrap_or_default().next();
        let MembershipConfig { name, zone, addr, run, .. } = config;
        let local = Identity { name, zone, addr, incarnation, run };
        let notices = NoticeBoard::new(config.times.max_members);
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let foca_rng = Pcg64Mcg::from_rng(&mut rng);
        let foca_config = config.times.foca_config(config.disabled);
        let foca =
            Foca::with_custom_broadcast(local.clone(), foca_config, foca_rng, SwimCodec, notices.clone());
        let mut membership = Membership {
            fleet: FleetId::of(&config.fleet),
            seeds: config.seeds.into_iter().filter(|seed| *seed != addr).collect(),
            times: config.times,
            disabled: config.disabled,
            foca,
            notices,
            rng,
            phase: Phase::Recording,
            phase_reason: "started".to_string(),
            timers: BTreeMap::new(),
            timers_set: 0,
            health: LocalHealth::new(now, !config.disabled.no_lateness),
            links: LinkTable::default(),
            members: BTreeMap::new(),
            name_conflicts: HashMap::new(),
            last_number: u64::from(run) << 32,
            first_join: 0,
            next_identity: None,
            relayed_by: None,
            sent_report: SentLinkReport::default(),
            remembered: Vec::new(),
            repeats_notices: false,
            actions: Vec::new(),
            counters: Counters::default(),
            local: local.clone(),
        };
        membership.restore(now, config.known_members, config.notices);
        membership.record_incarnation(local);
        membership
    }

    /// Takes over what was on disk.
    fn restore(&mut self, now: Time, known_members: Vec<KnownMember>, notices: Vec<Notice>) {
        let own_name = self.local.name.clone();
        for known in known_members.into_iter().filter(|known| known.identity.name != own_name) {
            self.remembered.push(known.identity.clone());
            self.add_member(now, &known.identity, ChangeReason::Remembered);
        }
        for notice in notices {
            let _ = self.foca.add_broadcast(&notice.encode());
        }
        self.apply_notices(now, false);
    }

    fn record_incarnation(&mut self, next: Identity) {
        self.actions.push(Action::Write(Record::Began { incarnation: next.incarnation }));
        self.next_identity = Some(next);
    }

    /// The incarnation is on disk: from now on others are told of it.
    pub fn on_written(&mut self, now: Time, incarnation: Incarnation) {
        let is_written = |next: &mut Identity| next.incarnation == incarnation;
        let Some(next) = self.next_identity.take_if(is_written) else { return };
        self.observe(now);
        self.local = next.clone();
        self.emit(Event::Began { identity: next.clone() });
        if *self.foca.identity() != next {
            self.with_foca(now, |foca, runtime| {
                let _ = foca.change_identity(next, runtime);
            });
        }
        let first_check = self.times.isolation_threshold.times(FIRST_HEALTH_CHECK);
        self.restart_timer(now, Timeout::CheckHealth, first_check);
        if self.phase == Phase::Recording {
            self.start_joining(now, "its incarnation is on disk");
        }
    }

    /// Begins the next life, after the incarnation `known`: has it written to disk first.
    fn begin_life_after(&mut self, known: Incarnation, reason: &str) {
        if self.next_identity.is_some() {
            return;
        }
        let incarnation = known.max(self.local.incarnation).next();
        self.set_phase(Phase::Recording, reason);
        self.record_incarnation(Identity { incarnation, ..self.local.clone() });
    }

    /// For experiments: a member that has long been in a fleet of `others`, all of which are present.
    pub fn settle(&mut self, now: Time, others: &[Identity]) {
        self.enter_fleet(now, "settled");
        let own_name = self.local.name.clone();
        let alive = others.iter().filter(|other| other.name != own_name).cloned().map(Member::alive);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.apply_many(alive, false, runtime);
        });
        self.sync_members(now);
    }

    /// Leaves: tells others, then is over.
    pub fn leave(&mut self, now: Time) {
        if matches!(self.phase, Phase::Leaving | Phase::Left) {
            return;
        }
        self.observe(now);
        self.set_phase(Phase::Leaving, "told to go");
        let notice = Notice::Left { name: self.local.name.clone(), incarnation: self.local.incarnation };
        let _ = self.foca.add_broadcast(&notice.encode());
        self.set_timer(now, Timeout::Leave(LEAVE_ROUNDS), Span::ZERO);
        self.tick(now);
    }

    /// Whether it has told others that it left; it sends nothing more.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Shuts a member out until it is let in again. `reason` is told to it.
    pub fn shut_out(&mut self, now: Time, name: &Name, reason: &str) {
        let number = self.notices.lock().admission_number(name) + 1;
        self.publish(now, &Notice::ShutOut { name: name.clone(), number, reason: Reason::new(reason) });
    }

    /// Lets a member in again that is shut out.
    pub fn let_in(&mut self, now: Time, name: &Name) {
        let number = self.notices.lock().admission_number(name) + 1;
        let is_shut_out = self.notices.lock().shut_out(name).is_some();
        if is_shut_out {
            self.publish(now, &Notice::LetIn { name: name.clone(), number });
        }
    }

    fn publish(&mut self, now: Time, notice: &Notice) {
        self.observe(now);
        let _ = self.foca.add_broadcast(&notice.encode());
        self.apply_notices(now, true);
    }

    /// Changes the phase. Every change goes through here.
    fn set_phase(&mut self, to: Phase, reason: &str) {
        if to == self.phase {
            return;
        }
        let from = std::mem::replace(&mut self.phase, to);
        self.phase_reason = reason.to_string();
        self.emit(Event::Phase { from, to, reason: reason.to_string() });
    }

    /// Its phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Its identity.
    pub fn local(&self) -> &Identity {
        &self.local
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Takes the actions, to be carried out in order and before it is called again.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// When `tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| self.health.clock_time(*at))
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Emit(event));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn set_timer(&mut self, now: Time, timeout: Timeout, after: Span) {
        self.timers_set += 1;
        self.timers.insert((self.health.awake_time(now) + after, self.timers_set), timeout);
    }

    /// Sets a timer and removes others of its kind. For what repeats: one is enough, also where the next life
    /// begins it anew.
    fn restart_timer(&mut self, now: Time, timeout: Timeout, after: Span) {
        let kind = discriminant(&timeout);
        self.timers.retain(|_, other| discriminant(other) != kind);
        self.set_timer(now, timeout, after);
    }

    /// Every entry point begins here: notices whether the process was paused since it last ran.
    fn observe(&mut self, now: Time) {
        let Some(pause) = self.health.observe(now, self.next_deadline(), &self.times) else { return };
        self.emit(Event::Paused { ms: pause.nanos() / 1_000_000 });
        // A short pause costs nobody more than the time that awake time leaves out.
        if pause > self.times.probe_interval && self.takes_part() {
            self.doubt(now, DoubtReason::Paused);
        }
    }

    fn takes_part(&self) -> bool {
        matches!(self.phase, Phase::In | Phase::Joining)
    }

    fn doubt(&mut self, now: Time, reason: DoubtReason) {
        let change = self.health.doubt(now, reason, self.last_number + 1);
        if let Some(DoubtChange::Began(reason)) = change {
            self.emit(Event::DoubtBegan { reason });
            self.restart_timer(now, Timeout::ProbeOthers, Span::ZERO);
        }
    }

    /// Handles the end of a doubt. Suspected members have all their time to refute it once more, and what was
    /// probed before has time to be answered.
    fn on_doubt_change(&mut self, now: Time, change: Option<DoubtChange>) {
        let Some(DoubtChange::Ended { since }) = change else { return };
        self.emit(Event::DoubtEnded { ms: (now - since).nanos() / 1_000_000 });
        let soon = self.health.awake_time(now) + self.times.suspicion_timeout;
        let is_affected =
            |(at, timeout): &(&(Time, u64), &Timeout)| timeout.may_declare_failed() && at.0 <= soon;
        let affected: Vec<_> = self.timers.iter().filter(is_affected).map(|(at, _)| *at).collect();
        for at in affected {
            let Some(timeout) = self.timers.remove(&at) else { continue };
            let after = match timeout {
                Timeout::Swim(Timer::ChangeSuspectToDown { .. }) | Timeout::Overdue(..) => {
                    self.times.suspicion_timeout.times(2.0)
                }
                _ => self.times.probe_timeout,
            };
            self.set_timer(now, timeout, after);
        }
        self.tell_all_suspects(now);
    }

    /// Suspects were hardly told while nobody could be heard. Told now, they may refute it.
    fn tell_all_suspects(&mut self, now: Time) {
        let suspects = self.members.values().filter(|member| member.state() == State::Suspected);
        let names: Vec<_> = suspects.map(|member| member.identity.name.clone()).collect();
        for name in names {
            self.set_timer(now, Timeout::TellSuspect(name, MAX_SUSPECTED_ROUNDS), Span::ZERO);
        }
    }

    /// Fires all timers that are due.
    pub fn tick(&mut self, now: Time) {
        self.observe(now);
        let mut postponed = Vec::new();
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > self.health.awake_time(now) {
                break;
            }
            let timeout = entry.remove();
            let may_declare_failed = timeout.may_declare_failed();
            // Where nobody was heard lately, it may be this member that is cut off.
            if may_declare_failed && self.phase == Phase::In && self.health.is_isolated(now, &self.times) {
                self.doubt(now, DoubtReason::Isolated);
            }
            if may_declare_failed && self.health.doubting().is_some() {
                postponed.push(timeout);
                continue;
            }
            self.fire(now, timeout);
        }
        for timeout in postponed {
            self.set_timer(now, timeout, self.times.probe_timeout);
        }
    }

    fn fire(&mut self, now: Time, timeout: Timeout) {
        match timeout {
            Timeout::Swim(timer) => self.fire_swim_timer(now, timer),
            Timeout::Join => self.send_joins(now),
            Timeout::ProbeOthers => self.probe_others(now),
            Timeout::CheckHealth => self.check_health(now),
            Timeout::SeekOthers => self.seek_others(now),
            Timeout::ReportLinks => self.report_links(now),
            Timeout::RememberMembers => self.remember_members(),
            Timeout::TellSuspect(name, rounds_left) => self.tell_suspect(now, name, rounds_left),
            Timeout::Unsettled(suspect, swim_incarnation) => {
                self.on_unsettled(now, suspect, swim_incarnation);
            }
            Timeout::Overdue(suspect, swim_incarnation) => self.on_overdue(now, suspect, swim_incarnation),
            Timeout::Leave(rounds_left) => self.tell_leaving(now, rounds_left),
        }
    }

    fn tell_leaving(&mut self, now: Time, rounds_left: u32) {
        if rounds_left > 0 {
            let mut runtime = AccumulatingRuntime::new();
            let _ = self.foca.gossip(&mut runtime);
            let after = self.times.gossip_interval.times(0.5);
            self.set_timer(now, Timeout::Leave(rounds_left - 1), after);
            return self.carry_out(now, runtime);
        }
        self.with_foca(now, |foca, runtime| {
            let _ = foca.leave_cluster(runtime);
        });
        self.set_phase(Phase::Left, "others were told");
        self.timers.clear();
    }

    /// Looks whether anybody was heard lately, and repeats durable notices where a member came back.
    fn check_health(&mut self, now: Time) {
        let interval = self.times.isolation_threshold.times(HEALTH_CHECK);
        self.restart_timer(now, Timeout::CheckHealth, interval);
        if self.phase == Phase::In {
            if self.present().next().is_none() {
                let change = self.health.alone(now);
                self.on_doubt_change(now, change);
            } else if self.health.is_isolated(now, &self.times) {
                self.doubt(now, DoubtReason::Isolated);
            }
        }
        let forget_after = self.times.forget_after;
        self.name_conflicts.retain(|_, conflict| now - conflict.since < forget_after);
        if std::mem::take(&mut self.repeats_notices) {
            self.repeat_notices();
        }
    }

    fn repeat_notices(&mut self) {
        let durable = self.notices.lock().durable();
        for notice in durable {
            self.notices.lock().repeat(&notice);
            let _ = self.foca.add_broadcast(&notice.encode());
        }
        self.notices.lock().take_new();
    }

    /// Has the present members written to disk where they changed, to be asked after a restart.
    fn remember_members(&mut self) {
        if self.phase != Phase::In {
            return;
        }
        let present: Vec<_> = self.present().map(|member| member.identity.clone()).collect();
        if !present.is_empty() && present != self.remembered {
            self.remembered.clone_from(&present);
            let known = present.into_iter().map(|identity| KnownMember { identity }).collect();
            self.actions.push(Action::Write(Record::Members { known }));
        }
        self.timers_set += 1;
        let next = self.timers.first_key_value().map_or(Time::default(), |((at, _), _)| *at);
        let at = next + self.times.exchange_interval.times(REMEMBER_INTERVALS);
        self.timers.insert((at, self.timers_set), Timeout::RememberMembers);
    }

    /// Has `foca` do something and carries out what it asks for.
    fn with_foca(
        &mut self,
        now: Time,
        step: impl FnOnce(
            &mut Foca<Identity, SwimCodec, Pcg64Mcg, NoticeBoard>,
            &mut AccumulatingRuntime<Identity>,
        ),
    ) {
        let mut runtime = AccumulatingRuntime::new();
        step(&mut self.foca, &mut runtime);
        self.carry_out(now, runtime);
    }

    /// Carries out what `foca` asks for: messages, timers, and the end of this member's life.
    fn carry_out(&mut self, now: Time, mut runtime: AccumulatingRuntime<Identity>) {
        while let Some((to, swim)) = runtime.to_send() {
            self.send_swim(&to, &swim);
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            let after = Span::from_nanos(after.as_nanos() as u64);
            let after = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.health.extended(after),
                Timer::ChangeSuspectToDown { .. } if !self.disabled.no_suspicion => {
                    self.health.extended(after)
                }
                _ => after,
            };
            self.set_timer(now, Timeout::Swim(timer), after);
        }
        while let Some(notification) = runtime.to_notify() {
            if notification == OwnedNotification::Defunct && self.takes_part() {
                // Declared failed, or it took over its own name after a restart: it comes back as the next one.
                self.begin_life_after(self.local.incarnation, "it was declared failed");
            }
        }
    }
}
