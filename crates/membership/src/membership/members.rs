//! State of the other members, taken from `foca` and from notices.

use foca::Member;
use lynxstair::types::{Span, Time};

use super::{Membership, Timeout};
use crate::event::{Action, ChangeReason, Event, Phase, Record};
use crate::identity::{Identity, Incarnation, Name};
use crate::local_health::DegradedReason;
use crate::notices::Notice;
use crate::packet::Packet;
use crate::status::{MemberStatus, State};
use crate::view::{LinkView, MemberView, View};

/// State of a member in `foca`, and its SWIM incarnation there.
pub(super) type SwimState = (foca::State, u16);

/// Another member as seen by this one.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub identity: Identity,
    pub status: MemberStatus,
    /// State in `foca` at the last synchronization.
    pub swim_state: Option<SwimState>,
    since: Time,
    reason: ChangeReason,
}

impl MemberEntry {
    pub fn state(&self) -> State {
        self.status.state()
    }

    pub fn incarnation(&self) -> Incarnation {
        self.status.incarnation()
    }
}

fn to_ms(span: Span) -> u64 {
    span.nanos() / 1_000_000
}

impl Membership {
    /// Adds a member in state `Unknown`.
    pub(super) fn add_member(&mut self, now: Time, identity: &Identity, reason: ChangeReason) {
        let status = MemberStatus::unknown(identity.incarnation);
        let entry = MemberEntry { identity: identity.clone(), status, swim_state: None, since: now, reason };
        self.members.insert(identity.name.clone(), entry);
    }

    /// Other members that are alive or suspected.
    pub(super) fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values().filter(|member| member.state().is_present())
    }

    /// Applies the new notices. Durable ones are written to disk if `should_store`.
    pub(super) fn apply_notices(&mut self, now: Time, should_store: bool) {
        let new = self.notices.lock().take_new();
        for notice in new {
            let name = notice.name().clone();
            match &notice {
                Notice::Left { incarnation, .. } => {
                    let known = self.members.get(&name).map(MemberEntry::incarnation);
                    if known == Some(*incarnation) {
                        self.set_final_state(now, &name, State::Left, ChangeReason::SaidSo);
                    }
                }
                Notice::ShutOut { reason, .. } => {
                    if name == self.local.name {
                        self.on_refused(now, Phase::ShutOut, reason.as_str());
                    } else {
                        self.set_final_state(now, &name, State::ShutOut, ChangeReason::Operator);
                    }
                    self.store_notice(&notice, should_store);
                }
                Notice::LetIn { .. } => {
                    let status = self.members.get(&name).map(|member| member.status);
                    if let Some(status) = status.filter(|status| status.state() == State::ShutOut) {
                        let reason = ChangeReason::Operator;
                        self.change_member(now, &name, State::Unknown, status.incarnation(), reason);
                    }
                    self.store_notice(&notice, should_store);
                }
                Notice::Links { .. } => {}
            }
        }
    }

    fn store_notice(&mut self, notice: &Notice, should_store: bool) {
        if should_store {
            self.actions.push(Action::Write(Record::Notice { notice: notice.clone() }));
        }
    }

    /// Marks a member as left or shut out, and as down in `foca`.
    fn set_final_state(&mut self, now: Time, name: &Name, state: State, reason: ChangeReason) {
        let Some(member) = self.members.get(name) else { return };
        let (identity, status) = (member.identity.clone(), member.status);
        if status.state() != state {
            self.change_member(now, name, state, status.incarnation(), reason);
        }
        self.with_foca(now, |foca, runtime| {
            let _ = foca.apply_many([Member::down(identity)].into_iter(), true, runtime);
        });
        self.sync_members(now);
    }

    /// Copies the state of each member from `foca` if it changed.
    pub(super) fn sync_members(&mut self, now: Time) {
        let mut changed = Vec::new();
        for member in self.foca.iter_membership_state() {
            let swim_state = (member.state(), member.incarnation());
            let entry = self.members.get(&member.id().name);
            let is_same =
                |entry: &MemberEntry| entry.identity == *member.id() && entry.swim_state == Some(swim_state);
            if !entry.is_some_and(is_same) {
                changed.push((member.id().clone(), swim_state));
            }
        }
        for (identity, swim_state) in changed {
            if swim_state.0 == foca::State::Suspect {
                self.on_member_suspected(now, &identity, swim_state.1);
            }
            self.sync_member(now, &identity, swim_state);
        }
    }

    /// Notifies a newly suspected member and sets a timer for the suspicion. The timer covers the case
    /// that the gossip about the end of the suspicion does not reach this member.
    fn on_member_suspected(&mut self, now: Time, suspect: &Identity, swim_incarnation: u16) {
        self.notify_new_suspect(now, suspect, swim_incarnation);
        let after = self.health.extended(self.times.suspicion_timeout).times(2.0);
        self.set_timer(now, Timeout::UnresolvedSuspicion(suspect.clone(), swim_incarnation), after);
    }

    fn sync_member(&mut self, now: Time, identity: &Identity, swim_state: SwimState) {
        let name = identity.name.clone();
        match self.members.get(&name) {
            None => self.add_member(now, identity, ChangeReason::Heard),
            Some(member) if member.identity.run != identity.run => self.links.remove(&name),
            Some(_) => {}
        }
        let has_left = self.notices.lock().left_incarnation(&name) == Some(identity.incarnation);
        let (state, reason) = match swim_state.0 {
            foca::State::Down if has_left => (State::Left, ChangeReason::SaidSo),
            _ if has_left => return,
            foca::State::Alive => (State::Alive, ChangeReason::Heard),
            foca::State::Suspect => (State::Suspected, ChangeReason::NoAnswer),
            foca::State::Down => (State::Failed, ChangeReason::NoObjection),
        };
        let Some(member) = self.members.get_mut(&name) else { return };
        member.swim_state = Some(swim_state);
        let status = member.status;
        let is_same_incarnation = status.incarnation() == identity.incarnation;
        let is_other_run = member.identity.run != identity.run;
        if is_other_run && is_same_incarnation && swim_state.0 != foca::State::Down {
            // Two runs with one incarnation: one lost its disk, and the members that accepted it did not
            // know the other. The run that `foca` keeps must start a later incarnation.
            let known = identity.incarnation;
            return self.send(identity.addr, &Packet::StaleIncarnation { identity: identity.clone(), known });
        }
        if status.incarnation() <= identity.incarnation {
            member.identity = identity.clone();
        }
        let has_other_final_state = state == State::Failed
            && is_same_incarnation
            && matches!(status.state(), State::Left | State::ShutOut);
        if !has_other_final_state && (status.state(), status.incarnation()) != (state, identity.incarnation) {
            self.change_member(now, &name, state, identity.incarnation, reason);
        }
    }

    /// Changes state and incarnation of a member and emits an event, or counts an invalid transition.
    /// All changes go through this method.
    pub(super) fn change_member(
        &mut self,
        now: Time,
        name: &Name,
        state: State,
        incarnation: Incarnation,
        reason: ChangeReason,
    ) {
        let Some(member) = self.members.get_mut(name) else { return };
        let (from, from_incarnation) = (member.state(), member.incarnation());
        if member.status.change(state, incarnation).is_err() {
            self.counters.invalid_transitions += 1;
            return;
        }
        member.since = now;
        member.reason = reason;
        let addr = member.identity.addr;
        if state == State::Alive && !from.is_present() {
            self.must_repeat_notices = true;
        }
        let name = name.clone();
        self.emit(Event::Member { name, addr, from, from_incarnation, to: state, incarnation, reason });
    }

    /// Returns this member's view of the fleet for operators.
    pub fn view(&self, now: Time) -> View {
        let degraded = self.health.degraded();
        // An isolated member doesn't know the current state of other members.
        let isolated_since =
            degraded.filter(|(reason, _)| *reason == DegradedReason::Isolated).map(|(_, since)| since);
        View {
            local: self.local.clone(),
            phase: self.phase,
            phase_reason: self.phase_reason.clone(),
            degraded: degraded.map(|(reason, since)| (reason, to_ms(now - since))),
            timeout_extension: self.health.timeout_extension(),
            members: self.members.values().map(|m| self.view_member(now, m, isolated_since)).collect(),
            counters: self.counters.clone(),
        }
    }

    fn view_member(&self, now: Time, member: &MemberEntry, isolated_since: Option<Time>) -> MemberView {
        let link = self.links.get(&member.identity.name);
        let last_state = member.state();
        let unknown_since = isolated_since.filter(|_| last_state.is_present());
        MemberView {
            name: member.identity.name.clone(),
            zone: member.identity.zone.clone(),
            addr: member.identity.addr,
            incarnation: member.incarnation(),
            state: if unknown_since.is_some() { State::Unknown } else { last_state },
            last_state,
            for_ms: to_ms(now - unknown_since.unwrap_or(member.since)),
            reason: format!("{:?}", member.reason),
            link: LinkView {
                state: link.map(|link| link.state()).unwrap_or_default(),
                last_received_ms_ago: link.and_then(|link| link.last_received_at()).map(|at| to_ms(now - at)),
            },
        }
    }

    /// State and incarnation of another member, or `None` if it isn't known.
    pub fn state_of(&self, name: &Name) -> Option<(State, Incarnation)> {
        self.members.get(name).map(|member| (member.state(), member.incarnation()))
    }
}
