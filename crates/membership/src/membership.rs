//! The state machine of one member: its phases and timers. It takes the current time and received
//! datagrams, and returns actions.

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
use crate::notices::{Notice, SharedNotices, ShutOutReason};
use crate::packet::FleetId;
use crate::swim_codec::SwimCodec;
use crate::times::{DisabledParts, Times};
use joining::NameConflict;
use link_reports::SentLinkReport;
use members::MemberEntry;
use timers::Timeout;

/// Number of members chosen for a join, a recovery probe, a refutation or the first round of suspicion
/// notifications, besides seeds.
const REQUEST_FANOUT: usize = 3;
/// Gossip rounds in which a leaving member announces that it leaves.
const LEAVE_ROUNDS: u32 = 4;
/// Factor of the join interval between the joins of a member that was refused or is shut out.
const REFUSED_BACKOFF_FACTOR: f64 = 8.0;
/// Interval between two writes of the present members to disk, as a multiple of the exchange interval.
const SAVE_MEMBERS_FACTOR: f64 = 5.0;

/// Start-up parameters of a member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Name of the fleet.
    pub fleet: Name,
    /// Name of the member, unique in the fleet.
    pub name: Name,
    /// Zone of the member.
    pub zone: Name,
    /// Address at which other members reach this one.
    pub addr: SocketAddrV4,
    /// Addresses of the members to which joins are sent.
    pub seeds: Vec<SocketAddrV4>,
    /// Random number of this run of the process.
    pub run: u32,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Last incarnation on disk; `None` if there is none.
    pub last_incarnation: Option<Incarnation>,
    /// Members on disk.
    pub known_members: Vec<KnownMember>,
    /// Notices on disk.
    pub notices: Vec<Notice>,
    /// Intervals and time-outs.
    pub times: Times,
    /// Safeguards that are disabled; tests only.
    pub disabled: DisabledParts,
}

/// One member of a fleet.
pub struct Membership {
    local: Identity,
    fleet: FleetId,
    seeds: Vec<SocketAddrV4>,
    times: Times,
    disabled: DisabledParts,
    foca: Foca<Identity, SwimCodec, Pcg64Mcg, SharedNotices>,
    notices: SharedNotices,
    rng: Pcg64Mcg,
    phase: Phase,
    phase_reason: String,
    /// Keyed by awake time and sequence number.
    timers: BTreeMap<(Time, u64), Timeout>,
    timers_set: u64,
    health: LocalHealth,
    links: LinkTable,
    members: BTreeMap<Name, MemberEntry>,
    name_conflicts: HashMap<Name, NameConflict>,
    /// Number of the last probe or join that was sent.
    last_request_number: u64,
    /// Number of the first join of this incarnation; replies to earlier joins are stale.
    first_join_number: u64,
    /// Identity to switch to when its incarnation is on disk.
    next_identity: Option<Identity>,
    /// Address of the relay that forwarded the message being handled; the reply goes through it.
    relayed_by: Option<SocketAddrV4>,
    sent_report: SentLinkReport,
    saved_members: Vec<Identity>,
    /// Set when a member becomes present: the durable notices are gossiped again.
    must_repeat_notices: bool,
    actions: Vec<Action>,
    counters: Counters,
}

impl Membership {
    /// Creates a member with a new incarnation. The first action writes the incarnation to disk.
    pub fn new(now: Time, config: MembershipConfig) -> Self {
        let last = config.last_incarnation.filter(|_| !config.disabled.no_stored_incarnation);
        let incarnation = last.unwrap_or_default().next();
        let MembershipConfig { name, zone, addr, run, .. } = config;
        let local = Identity { name, zone, addr, incarnation, run };
        let notices = SharedNotices::new(config.times.max_members);
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
            last_request_number: u64::from(run) << 32,
            first_join_number: 0,
            next_identity: None,
            relayed_by: None,
            sent_report: SentLinkReport::default(),
            saved_members: Vec::new(),
            must_repeat_notices: false,
            actions: Vec::new(),
            counters: Counters::default(),
            local: local.clone(),
        };
        membership.restore(now, config.known_members, config.notices);
        membership.write_incarnation(local);
        membership
    }

    /// Restores the members and notices that were on disk.
    fn restore(&mut self, now: Time, known_members: Vec<KnownMember>, notices: Vec<Notice>) {
        let own_name = self.local.name.clone();
        for known in known_members.into_iter().filter(|known| known.identity.name != own_name) {
            self.saved_members.push(known.identity.clone());
            self.add_member(now, &known.identity, ChangeReason::Remembered);
        }
        for notice in notices {
            let _ = self.foca.add_broadcast(&notice.encode());
        }
        self.apply_notices(now, false);
    }

    fn write_incarnation(&mut self, next: Identity) {
        self.actions.push(Action::Write(Record::IncarnationStarted { incarnation: next.incarnation }));
        self.next_identity = Some(next);
    }

    /// Handles the end of the write of `incarnation`: starts to use it and, in the phase `Recording`, to
    /// join.
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
            self.start_joining(now, "incarnation is on disk");
        }
    }

    /// Starts a new incarnation, later than `known` and the current one, by writing it to disk. Does
    /// nothing if such a write is pending.
    fn start_incarnation_after(&mut self, known: Incarnation, reason: &str) {
        if self.next_identity.is_some() {
            return;
        }
        let incarnation = known.max(self.local.incarnation).next();
        self.set_phase(Phase::Recording, reason);
        self.write_incarnation(Identity { incarnation, ..self.local.clone() });
    }

    /// Puts this member into the fleet with `others` alive, without a join. For simulations.
    pub fn start_joined(&mut self, now: Time, others: &[Identity]) {
        self.enter_fleet(now, "started as joined");
        let own_name = self.local.name.clone();
        let alive = others.iter().filter(|other| other.name != own_name).cloned().map(Member::alive);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.apply_many(alive, false, runtime);
        });
        self.sync_members(now);
    }

    /// Leaves the fleet: announces it to other members, then stops.
    pub fn leave(&mut self, now: Time) {
        if matches!(self.phase, Phase::Leaving | Phase::Left) {
            return;
        }
        self.observe(now);
        self.set_phase(Phase::Leaving, "leave requested");
        let notice = Notice::Left { name: self.local.name.clone(), incarnation: self.local.incarnation };
        let _ = self.foca.add_broadcast(&notice.encode());
        self.set_timer(now, Timeout::Leave(LEAVE_ROUNDS), Span::ZERO);
        self.tick(now);
    }

    /// Returns `true` if the member has announced that it left. It sends nothing more.
    pub fn has_left_fleet(&self) -> bool {
        self.phase == Phase::Left
    }

    /// Shuts a member out of the fleet until [`Self::let_in`] is called. The member receives `reason`.
    pub fn shut_out(&mut self, now: Time, name: &Name, reason: &str) {
        let number = self.notices.lock().admission_number(name) + 1;
        self.publish(
            now,
            &Notice::ShutOut { name: name.clone(), number, reason: ShutOutReason::new(reason) },
        );
    }

    /// Lets a member that is shut out join again. Does nothing if it isn't shut out.
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

    /// Sets the phase and emits an event if it changed. All phase changes go through this method.
    fn set_phase(&mut self, to: Phase, reason: &str) {
        if to == self.phase {
            return;
        }
        let from = std::mem::replace(&mut self.phase, to);
        self.phase_reason = reason.to_string();
        self.emit(Event::Phase { from, to, reason: reason.to_string() });
    }

    /// Current phase of this member.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Current identity of this member.
    pub fn local(&self) -> &Identity {
        &self.local
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Removes and returns the pending actions. The caller executes them in order, before it calls
    /// another method.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn is_participating(&self) -> bool {
        matches!(self.phase, Phase::In | Phase::Joining)
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Emit(event));
    }

    fn next_request_number(&mut self) -> u64 {
        self.last_request_number += 1;
        self.last_request_number
    }

    fn announce_leave(&mut self, now: Time, rounds_left: u32) {
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
        self.set_phase(Phase::Left, "leave announced");
        self.timers.clear();
    }

    fn repeat_notices(&mut self) {
        let durable = self.notices.lock().durable();
        for notice in durable {
            self.notices.lock().resend(&notice);
            let _ = self.foca.add_broadcast(&notice.encode());
        }
        self.notices.lock().take_new();
    }

    /// Writes the present members to disk if they changed. After a restart, joins are sent to them.
    fn save_members(&mut self) {
        if self.phase != Phase::In {
            return;
        }
        let present: Vec<_> = self.present().map(|member| member.identity.clone()).collect();
        if !present.is_empty() && present != self.saved_members {
            self.saved_members.clone_from(&present);
            let known = present.into_iter().map(|identity| KnownMember { identity }).collect();
            self.actions.push(Action::Write(Record::Members { known }));
        }
        self.timers_set += 1;
        let next = self.timers.first_key_value().map_or(Time::default(), |((at, _), _)| *at);
        let at = next + self.times.exchange_interval.times(SAVE_MEMBERS_FACTOR);
        self.timers.insert((at, self.timers_set), Timeout::SaveMembers);
    }

    /// Calls `step` with `foca` and executes the effects that `foca` requests.
    fn with_foca(
        &mut self,
        now: Time,
        step: impl FnOnce(
            &mut Foca<Identity, SwimCodec, Pcg64Mcg, SharedNotices>,
            &mut AccumulatingRuntime<Identity>,
        ),
    ) {
        let mut runtime = AccumulatingRuntime::new();
        step(&mut self.foca, &mut runtime);
        self.carry_out(now, runtime);
    }

    /// Executes the effects that `foca` requests: messages, timers, and the end of this incarnation.
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
            if notification == OwnedNotification::Defunct && self.is_participating() {
                // A member can't refute a declared failure; it must start a later incarnation.
                self.start_incarnation_after(self.local.incarnation, "declared failed by other members");
            }
        }
    }
}
