//! One member of a fleet: its phases and timers. Told the time and what was received, it hands out actions.

mod health_checks;
mod joining;
mod link_reports;
mod members;
mod receiving;
mod relaying;
mod suspicion;
mod timers;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use foca::{AccumulatingRuntime, Foca, Member, OwnedNotification, Timer};
use lynxstair::types::{Span, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::event::{Action, ChangeReason, Counters, Event, KnownMember, Phase, Record};
use crate::identity::{Identity, Incarnation, Name};
use crate::link_table::LinkTable;
use crate::local_health::LocalHealth;
use crate::notices::{Notice, NoticeBoard, ShutOutReason};
use crate::packet::FleetId;
use crate::swim_codec::SwimCodec;
use crate::times::{DisabledParts, Times};
use joining::NameConflict;
use link_reports::SentLinkReport;
use members::MemberEntry;
use timers::Timeout;

/// Most members that are asked at once.
const ASK_FANOUT: usize = 3;
/// How often a member that leaves tells others.
const LEAVE_ROUNDS: u32 = 4;
/// A member that is refused or shut out asks again after so many times the usual interval.
const REFUSED_BACKOFF: f64 = 8.0;
/// Members are written to disk once in so many exchange intervals: often enough that one of them is still there
/// after a restart, seldom enough for any disk.
const REMEMBER_INTERVALS: f64 = 5.0;

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
        let last = config.last_incarnation.filter(|_| !config.disabled.no_stored_incarnation);
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
            health: LocalHealth::new(now, !config.disabled.no_local_health),
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
        self.actions.push(Action::Write(Record::IncarnationStarted { incarnation: next.incarnation }));
        self.next_identity = Some(next);
    }

    /// The incarnation is on disk: from now on others are told of it.
    pub fn on_written(&mut self, now: Time, incarnation: Incarnation) {
        let is_written = |next: &mut Identity| next.incarnation == incarnation;
        let Some(next) = self.next_identity.take_if(is_written) else { return };
        self.observe(now);
        self.local = next.clone();
        self.emit(Event::IncarnationStarted { identity: next.clone() });
        if *self.foca.identity() != next {
            self.with_foca(now, |foca, runtime| {
                let _ = foca.change_identity(next, runtime);
            });
        }
        self.start_health_checks(now);
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
    pub fn start_joined(&mut self, now: Time, others: &[Identity]) {
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
    pub fn has_left_fleet(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Shuts a member out until it is let in again. `reason` is told to it.
    pub fn shut_out(&mut self, now: Time, name: &Name, reason: &str) {
        let number = self.notices.lock().admission_number(name) + 1;
        self.publish(
            now,
            &Notice::ShutOut { name: name.clone(), number, reason: ShutOutReason::new(reason) },
        );
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

    fn takes_part(&self) -> bool {
        matches!(self.phase, Phase::In | Phase::Joining)
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Emit(event));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
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
