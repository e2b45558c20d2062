//! Suspicion: telling a suspected member, so that it can refute it, and refuting a suspicion of this member.
//!
//! `foca` spreads a suspicion to random members. Where few links work, that may never reach the suspect, nor its
//! refutation come back; so suspects are told directly, by those that hear them.

use std::net::SocketAddrV4;

use foca::{Member, Timer};
use lynxstair::types::Time;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{ASK_FANOUT, Membership, Timeout};
use crate::event::{Event, Phase};
use crate::identity::{Identity, Name};
use crate::link_table::EndedProbe;
use crate::packet::{DropReason, Packet};
use crate::status::State;

/// How often a member that found another one silent tells it within the suspicion timeout.
pub(super) const MAX_SUSPECTED_ROUNDS: u32 = 3;
/// So many members that merely heard of a suspicion tell the suspect, on average.
const EXPECTED_WARNINGS: f64 = 8.0;

impl Membership {
    /// Probes some others while this member doubts itself; a reply ends the doubt.
    pub(super) fn probe_others(&mut self, now: Time) {
        if self.health.doubting().is_none() || !self.takes_part() {
            return;
        }
        let present: Vec<_> = self.present().map(|member| member.identity.addr).collect();
        let mut probed: Vec<_> = present.sample(&mut self.rng, ASK_FANOUT).copied().collect();
        probed.extend(self.seeds.first().filter(|seed| !probed.contains(seed)).copied());
        let number = self.next_number();
        for to in probed {
            let from = self.local.clone();
            self.send(to, &Packet::Probe { from, number });
        }
        self.restart_timer(now, Timeout::ProbeOthers, self.times.probe_timeout);
    }

    pub(super) fn fire_swim_timer(&mut self, now: Time, timer: Timer<Identity>) {
        let ends_probe = matches!(timer, Timer::ProbeRandomMember(_));
        let ends_suspicion = matches!(timer, Timer::ChangeSuspectToDown { .. });
        let ended_probe = if ends_probe { self.links.end_probe() } else { None };
        let is_unanswered = ended_probe.as_ref().is_some_and(|probe| !probe.is_answered);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.handle_timer(timer, runtime);
        });
        // Other timers change nothing here that was not seen when it was received.
        if is_unanswered || ends_suspicion {
            self.sync_members(now);
        }
        if let Some(probe) = ended_probe {
            self.on_probe_ended(now, &probe);
        }
    }

    /// What the last direct probe tells of the link, and of this member itself.
    fn on_probe_ended(&mut self, now: Time, probe: &EndedProbe) {
        if probe.is_answered {
            return self.health.shorten_timeouts();
        }
        let name = &probe.name;
        match self.members.get(name).map(|member| member.state()) {
            Some(State::Alive) => {
                if let Some(state) = self.links.reached_by_others(name) {
                    self.emit(Event::Link { to: name.clone(), state });
                }
            }
            Some(State::Suspected) => {
                self.links.reached_by_nobody(name);
                // Where others were heard meanwhile, the cause is hardly this member.
                if self.health.unheard_for(now) > self.times.probe_interval {
                    self.health.extend_timeouts();
                }
                let timeout = Timeout::TellSuspect(name.clone(), MAX_SUSPECTED_ROUNDS);
                self.set_timer(now, timeout, lynxstair::types::Span::ZERO);
            }
            _ => {}
        }
    }

    fn is_suspected(&self, suspect: &Identity, swim_incarnation: u16) -> bool {
        let suspicion = Some((foca::State::Suspect, swim_incarnation));
        let member = self.members.get(&suspect.name);
        member.is_some_and(|member| member.identity == *suspect && member.swim_state == suspicion)
    }

    /// Neither a refutation nor the end of a suspicion was heard of: tells the suspect itself, and gives it time.
    pub(super) fn on_unsettled(&mut self, now: Time, suspect: Identity, swim_incarnation: u16) {
        if self.is_suspected(&suspect, swim_incarnation) {
            self.tell_suspect(now, suspect.name.clone(), MAX_SUSPECTED_ROUNDS);
            let after = self.health.extended(self.times.suspicion_timeout);
            self.set_timer(now, Timeout::Overdue(suspect, swim_incarnation), after);
        }
    }

    /// The time is over, too: the suspect has failed.
    pub(super) fn on_overdue(&mut self, now: Time, suspect: Identity, swim_incarnation: u16) {
        if self.is_suspected(&suspect, swim_incarnation) {
            let failed = Member::new(suspect, swim_incarnation, foca::State::Down);
            self.with_foca(now, |foca, runtime| {
                let _ = foca.apply_many([failed].into_iter(), true, runtime);
            });
            self.sync_members(now);
        }
    }

    /// Removes the timers of overdue suspicions and returns the suspects.
    pub(super) fn take_overdue(&mut self) -> Vec<(Identity, u16)> {
        let is_overdue = |timeout: &Timeout| matches!(timeout, Timeout::Overdue(..));
        let times: Vec<_> =
            self.timers.iter().filter(|(_, timeout)| is_overdue(timeout)).map(|(at, _)| *at).collect();
        let timeouts = times.into_iter().filter_map(|at| self.timers.remove(&at));
        timeouts
            .filter_map(|timeout| match timeout {
                Timeout::Overdue(suspect, swim_incarnation) => Some((suspect, swim_incarnation)),
                _ => None,
            })
            .collect()
    }

    /// Tells a member that it is suspected here: directly, by those that it says it hears, by those heard here
    /// lately, and by others, more of them in each round, as those that it hears may be few.
    pub(super) fn tell_suspect(&mut self, now: Time, name: Name, rounds_left: u32) {
        let Some(member) = self.members.get(&name).filter(|member| member.state() == State::Suspected) else {
            return;
        };
        if self.disabled.no_relays || self.disabled.no_suspicion {
            return;
        }
        if !self.takes_part() {
            // This member begins its next life just now; nobody would listen to this one.
            return self.set_timer(now, Timeout::TellSuspect(name, rounds_left), self.times.probe_timeout);
        }
        let suspect = member.identity.clone();
        let swim_incarnation = member.swim_state.map_or(0, |(_, incarnation)| incarnation);
        let fanout = ASK_FANOUT << (MAX_SUSPECTED_ROUNDS - rounds_left);
        for to in self.tellers_of(&suspect, fanout) {
            let (from, suspect) = (self.local.clone(), suspect.clone());
            self.send(to, &Packet::Suspected { from, suspect, swim_incarnation });
        }
        if rounds_left > 1 {
            let interval = self.times.suspicion_timeout.times(1.0 / f64::from(MAX_SUSPECTED_ROUNDS));
            self.set_timer(now, Timeout::TellSuspect(name, rounds_left - 1), interval);
        }
    }

    /// The suspect's address, and those of members that may reach it.
    fn tellers_of(&mut self, suspect: &Identity, fanout: usize) -> Vec<SocketAddrV4> {
        let notices = self.notices.lock();
        let report = notices.link_report(&suspect.name).filter(|report| report.lists_reachable);
        let hears = |name: &Name| report.is_some_and(|report| report.hears(name));
        let others = self.present().map(|m| &m.identity).filter(|identity| identity.name != suspect.name);
        let (heard, others): (Vec<_>, Vec<_>) = others.partition(|identity| hears(&identity.name));
        let mut to: Vec<_> = heard.iter().map(|identity| identity.addr).collect();
        let others: Vec<_> = others.iter().map(|identity| identity.addr).collect();
        drop(notices);
        to.push(suspect.addr);
        to.extend(others.sample(&mut self.rng, fanout).copied());
        let lately = self.heard_lately().into_iter().filter(|identity| identity.name != suspect.name);
        to.extend(lately.map(|identity| identity.addr));
        to.sort_unstable();
        to.dedup();
        to
    }

    /// A member tells of a suspicion: of this member, or of one to which this is to be relayed.
    pub(super) fn receive_suspected(
        &mut self,
        now: Time,
        by: SocketAddrV4,
        from: Identity,
        suspect: Identity,
        swim_incarnation: u16,
    ) -> Result<(), DropReason> {
        if !self.takes_part() {
            return Err(DropReason::NotParticipating);
        }
        if !self.members.contains_key(&from.name) {
            return Err(DropReason::NotAMember);
        }
        if suspect.name != self.local.name {
            return self.relay_suspected(by, from, suspect, swim_incarnation);
        }
        if suspect != self.local {
            return Err(DropReason::NotForUs);
        }
        self.health.heard(now);
        self.health.extend_timeouts();
        let suspected = Member::new(suspect, swim_incarnation, foca::State::Suspect);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.apply_many([suspected].into_iter(), false, runtime);
        });
        self.relayed_by = Some(by).filter(|by| *by != from.addr);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.announce(from, runtime);
        });
        self.relayed_by = None;
        self.refute(now);
        Ok(())
    }

    /// Relays once: who relays is not the one that asked.
    fn relay_suspected(
        &mut self,
        by: SocketAddrV4,
        from: Identity,
        suspect: Identity,
        swim_incarnation: u16,
    ) -> Result<(), DropReason> {
        let member = self.members.get(&suspect.name).filter(|member| member.identity == suspect);
        let is_from_asker = by == from.addr;
        let to = member.filter(|_| is_from_asker).ok_or(DropReason::NotAMember)?.identity.addr;
        self.counters.relayed += 1;
        self.send(to, &Packet::Suspected { from, suspect, swim_incarnation });
        Ok(())
    }

    /// Announces this member to those that it hears: `foca` tells random members, and where links are cut few of
    /// them may hear it.
    pub(super) fn refute(&mut self, now: Time) {
        for to in self.heard_lately() {
            self.with_foca(now, |foca, runtime| {
                let _ = foca.announce(to, runtime);
            });
        }
    }

    /// Another member is newly suspected. Where it is heard here directly it is told at once, as those that
    /// suspect it may be the very ones that it can't hear. In a large fleet only some do, or those that it says
    /// it hears.
    pub(super) fn warn_suspect(&mut self, now: Time, suspect: &Identity, swim_incarnation: u16) {
        let name = &suspect.name;
        let heard_at = self.links.get(name).and_then(|link| link.heard_at());
        let may_reach = !self.links.needs_relay(name) && !self.disabled.no_relays;
        let Some(heard_at) = heard_at.filter(|_| may_reach) else { return };
        // Few members have heard a dead one so lately.
        let is_heard_lately = now - heard_at <= self.times.isolation_threshold;
        let names_this_member =
            |report: crate::notices::LinkReport| report.hears_only_few_with(&self.local.name);
        let is_named = self.notices.lock().link_report(name).is_some_and(names_this_member);
        let chance = EXPECTED_WARNINGS / self.members.len().max(1) as f64;
        if is_heard_lately || is_named || chance >= 1.0 || self.rng.random_bool(chance) {
            let (from, suspect) = (self.local.clone(), suspect.clone());
            self.send(suspect.addr, &Packet::Suspected { from, suspect, swim_incarnation });
        }
    }

    /// The members that were heard directly last.
    pub(super) fn heard_lately(&self) -> Vec<Identity> {
        let mut heard: Vec<_> = self
            .present()
            .filter_map(|member| {
                let heard_at = self.links.get(&member.identity.name)?.heard_at()?;
                Some((heard_at, member.identity.clone()))
            })
            .collect();
        heard.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        heard.into_iter().take(ASK_FANOUT).map(|(_, identity)| identity).collect()
    }

    /// Another process bears this member's name in the same incarnation or a later one: this one steps back.
    pub(super) fn yield_name(&mut self, now: Time, other: &Identity) {
        self.on_refused(now, Phase::Refused, &format!("its name is in use by {}", other.addr));
    }
}
