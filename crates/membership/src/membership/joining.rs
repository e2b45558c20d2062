//! Joining a fleet, and answering members that want to join.
//!
//! A name belongs to one process at a time. Where another process bears it and still answers, the one that asks
//! is refused; where it bore it in an earlier incarnation, the one that asks begins a later one.

use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use rand::seq::IndexedRandom;

use super::{ASK_FANOUT, Membership, REFUSED_BACKOFF, Timeout};
use crate::event::{ChangeReason, Event, Phase};
use crate::identity::{Identity, Incarnation};
use crate::packet::{DropReason, JoinResponse, Packet};
use crate::status::State;

/// A process asks to join under a name that another one bears, which is being probed.
#[derive(Clone, Debug)]
pub(super) struct NameConflict {
    pub asker: Identity,
    pub since: Time,
    /// A reply to a probe of this number or a later one shows that the bearer answers.
    pub fresh_from: u64,
    pub is_bearer_alive: bool,
}

impl NameConflict {
    fn new(now: Time, asker: &Identity, fresh_from: u64) -> Self {
        NameConflict { asker: asker.clone(), since: now, fresh_from, is_bearer_alive: false }
    }
}

fn name_taken(by: SocketAddrV4) -> String {
    format!("its name is in use by {by}")
}

impl Membership {
    pub(super) fn start_joining(&mut self, now: Time, reason: &str) {
        self.set_phase(Phase::Joining, reason);
        self.first_join = self.last_number + 1;
        self.send_joins(now);
    }

    /// Asks seeds and members known from before to let this one join. With nobody to ask it is the first one.
    pub(super) fn send_joins(&mut self, now: Time) {
        if !matches!(self.phase, Phase::Joining | Phase::Refused | Phase::ShutOut) {
            return;
        }
        let mut asked = self.seeds.clone();
        let known = self.members.values().map(|member| member.identity.addr);
        let known: Vec<_> = known.filter(|addr| !asked.contains(addr)).collect();
        asked.extend(known.sample(&mut self.rng, ASK_FANOUT).copied());
        if asked.is_empty() && self.phase == Phase::Joining {
            return self.enter_fleet(now, "the first of its fleet");
        }
        let number = self.next_number();
        for to in asked {
            let from = self.local.clone();
            self.send(to, &Packet::Join { from, number });
        }
        let interval = match self.phase {
            Phase::Joining => self.times.join_interval,
            _ => self.refused_interval(),
        };
        self.set_timer(now, Timeout::Join, interval);
    }

    fn refused_interval(&self) -> Span {
        self.times.join_interval.times(REFUSED_BACKOFF)
    }

    /// This member may not take part: it asks again after some time.
    pub(super) fn on_refused(&mut self, now: Time, phase: Phase, reason: &str) {
        self.set_phase(phase, reason);
        let interval = self.refused_interval();
        self.set_timer(now, Timeout::Join, interval);
    }

    /// This member takes part from now on.
    pub(super) fn enter_fleet(&mut self, now: Time, reason: &str) {
        self.set_phase(Phase::In, reason);
        self.health.heard(now);
        self.restart_timer(now, Timeout::ReportLinks, self.times.exchange_interval);
        self.restart_timer(now, Timeout::RememberMembers, self.times.exchange_interval);
        self.restart_timer(now, Timeout::SeekOthers, self.times.exchange_interval);
        // What an earlier life suspected is this one's to settle.
        for (suspect, swim_incarnation) in self.take_overdue() {
            let timeout = Timeout::Unsettled(suspect, swim_incarnation);
            self.set_timer(now, timeout, self.times.suspicion_timeout);
        }
        self.tell_all_suspects(now);
    }

    /// Asks seeds at whose address nobody is present, and one member known by name only, to let this one join as
    /// well: where several started at once they may have formed more than one group, and a datagram may be lost.
    pub(super) fn seek_others(&mut self, now: Time) {
        if self.phase != Phase::In {
            return;
        }
        self.restart_timer(now, Timeout::SeekOthers, self.times.exchange_interval);
        let present: Vec<_> = self.present().map(|member| member.identity.addr).collect();
        let is_unknown = |member: &&super::MemberEntry| member.state() == State::Unknown;
        let unknown = self.members.values().filter(is_unknown).map(|member| member.identity.addr);
        let unknown: Vec<_> = unknown.filter(|addr| !present.contains(addr)).collect();
        let mut asked: Vec<_> = self.seeds.iter().filter(|seed| !present.contains(seed)).copied().collect();
        asked.extend(unknown.choose(&mut self.rng));
        for to in asked {
            let (from, number) = (self.local.clone(), self.next_number());
            self.send(to, &Packet::Join { from, number });
        }
    }

    /// Decides on a member that asks to join. `None`: it gets no response.
    pub(super) fn admit(&mut self, now: Time, asker: &Identity) -> Option<JoinResponse> {
        if asker.name == self.local.name {
            return self.admit_namesake(asker);
        }
        let shut_out = self.notices.lock().shut_out(&asker.name).cloned();
        if let Some(reason) = shut_out {
            return Some(self.refuse(asker, JoinResponse::ShutOut(reason)));
        }
        let Some(member) = self.members.get(&asker.name) else { return Some(self.admit_unknown(now, asker)) };
        let (state, known) = (member.state(), member.incarnation());
        let is_same_run = member.identity.run == asker.run;
        let is_same_address = member.identity.addr == asker.addr;
        if !is_same_run && !is_same_address && state.is_present() {
            return Some(self.probe_bearer(now, asker));
        }
        self.name_conflicts.remove(&asker.name);
        let may_repeat_incarnation = is_same_run && !state.is_final() || state == State::Unknown;
        let is_stale =
            if may_repeat_incarnation { known > asker.incarnation } else { known >= asker.incarnation };
        Some(if is_stale { JoinResponse::StaleIncarnation(known) } else { JoinResponse::Accepted })
    }

    /// Another process asks under this member's own name. Of two that both want to join, the later life goes on
    /// asking.
    fn admit_namesake(&mut self, asker: &Identity) -> Option<JoinResponse> {
        let is_later = (self.local.incarnation, self.local.run) > (asker.incarnation, asker.run);
        let keeps_name = self.phase == Phase::In || is_later;
        let own_addr = self.local.addr;
        keeps_name.then(|| self.refuse(asker, JoinResponse::NameTaken(own_addr)))
    }

    fn admit_unknown(&mut self, now: Time, asker: &Identity) -> JoinResponse {
        if self.members.len() >= self.times.max_members {
            return self.refuse(asker, JoinResponse::Full);
        }
        self.add_member(now, asker, ChangeReason::Asked);
        self.change_member(now, &asker.name, State::Joining, asker.incarnation, ChangeReason::Asked);
        JoinResponse::Accepted
    }

    /// Another process bears the name and counts as present: whether it still answers decides.
    fn probe_bearer(&mut self, now: Time, asker: &Identity) -> JoinResponse {
        let Some(bearer) = self.members.get(&asker.name).map(|member| member.identity.addr) else {
            return JoinResponse::Pending;
        };
        let number = self.next_number();
        let from = self.local.clone();
        self.send(bearer, &Packet::Probe { from, number });
        let new_conflict = || NameConflict::new(now, asker, number);
        let conflict = self.name_conflicts.entry(asker.name.clone()).or_insert_with(new_conflict);
        if conflict.asker.run != asker.run {
            *conflict = new_conflict();
        }
        // A bearer that does not answer here may still be heard by others: then it is not found failed within
        // this time.
        let bearer_would_have_failed =
            self.times.suspicion_timeout.times(3.0) + self.times.probe_interval.times(4.0);
        if conflict.is_bearer_alive || now - conflict.since > bearer_would_have_failed {
            return self.refuse(asker, JoinResponse::NameTaken(bearer));
        }
        JoinResponse::Pending
    }

    fn refuse(&mut self, asker: &Identity, response: JoinResponse) -> JoinResponse {
        let reason = match &response {
            JoinResponse::NameTaken(by) => name_taken(*by),
            JoinResponse::ShutOut(reason) => format!("it is shut out: {}", reason.as_str()),
            _ => format!("no more than {} members may be known", self.times.max_members),
        };
        let (name, addr) = (asker.name.clone(), asker.addr);
        self.emit(Event::JoinRefused { name, addr, reason });
        response
    }

    /// A member responded to this one's join.
    pub(super) fn receive_join_reply(
        &mut self,
        now: Time,
        from: &Identity,
        number: u64,
        response: JoinResponse,
    ) -> Result<(), DropReason> {
        let asks = matches!(self.phase, Phase::Joining | Phase::Refused | Phase::ShutOut | Phase::In);
        let is_of_this_life = (self.first_join..=self.last_number).contains(&number);
        let is_own = from.name == self.local.name && from.run == self.local.run;
        if !asks || !is_of_this_life || is_own {
            return Err(DropReason::NotForUs);
        }
        self.health.heard(now);
        match response {
            JoinResponse::Accepted => self.on_accepted(now, from),
            JoinResponse::StaleIncarnation(known) => self.on_stale_incarnation(known),
            // Where both take part, each in a group of its own, the later life stays: the other hears of it.
            JoinResponse::NameTaken(_) | JoinResponse::Full if self.phase == Phase::In => {}
            JoinResponse::NameTaken(by) => self.set_phase(Phase::Refused, &name_taken(by)),
            JoinResponse::ShutOut(reason) => self.set_phase(Phase::ShutOut, reason.as_str()),
            JoinResponse::Full => self.set_phase(Phase::Refused, "no more members may be known there"),
            JoinResponse::Pending => {}
        }
        Ok(())
    }

    fn on_accepted(&mut self, now: Time, by: &Identity) {
        if self.next_identity.is_some() {
            return;
        }
        if matches!(self.phase, Phase::Refused | Phase::ShutOut) {
            // For others this life was over.
            return self.begin_life_after(self.local.incarnation, "let in again");
        }
        if self.phase != Phase::In {
            self.enter_fleet(now, &format!("let in by {}", by.name));
        }
        let by = by.clone();
        self.with_foca(now, |foca, runtime| {
            let _ = foca.announce(by, runtime);
        });
    }

    pub(super) fn on_stale_incarnation(&mut self, known: Incarnation) {
        self.begin_life_after(known, "this name had a later incarnation");
    }
}
