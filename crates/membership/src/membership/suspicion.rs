//! Suspicion: notifying suspected members, so that they can refute it, and refuting suspicions of this
//! member.
//!
//! `foca` gossips suspicions and refutations to random members. With few working links they may not
//! arrive. So suspects are also notified directly, and through the members that are likely to reach
//! them.

use std::net::SocketAddrV4;

use foca::{Member, Timer};
use lynxstair::types::Time;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{Membership, REQUEST_FANOUT, Timeout};
use crate::event::{Event, Phase};
use crate::identity::{Identity, Name};
use crate::link_table::EndedProbe;
use crate::packet::{DropReason, Packet};
use crate::status::State;

/// Rounds of notifications to a suspect within the suspicion time-out.
pub(super) const SUSPECT_NOTIFICATION_ROUNDS: u32 = 3;
/// Average number of members that notify a suspect after they received the suspicion by gossip.
const EXPECTED_NOTIFIERS: f64 = 8.0;

impl Membership {
    /// Probes some members and a seed while the local health is degraded. A reply ends the degraded state.
    pub(super) fn send_recovery_probes(&mut self, now: Time) {
        if self.health.degraded().is_none() || !self.is_participating() {
            return;
        }
        let present: Vec<_> = self.present().map(|member| member.identity.addr).collect();
        let mut probed: Vec<_> = present.sample(&mut self.rng, REQUEST_FANOUT).copied().collect();
        probed.extend(self.seeds.first().filter(|seed| !probed.contains(seed)).copied());
        let number = self.next_request_number();
        for to in probed {
            let from = self.local.clone();
            self.send(to, &Packet::Probe { from, number });
        }
        self.restart_timer(now, Timeout::RecoveryProbe, self.times.probe_timeout);
    }

    pub(super) fn fire_swim_timer(&mut self, now: Time, timer: Timer<Identity>) {
        let ends_probe = matches!(timer, Timer::ProbeRandomMember(_));
        let ends_suspicion = matches!(timer, Timer::ChangeSuspectToDown { .. });
        let ended_probe = if ends_probe { self.links.end_probe() } else { None };
        let is_unanswered = ended_probe.as_ref().is_some_and(|probe| !probe.is_answered);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.handle_timer(timer, runtime);
        });
        // Other timers change no state that must be copied from `foca`.
        if is_unanswered || ends_suspicion {
            self.sync_members(now);
        }
        if let Some(probe) = ended_probe {
            self.on_probe_ended(now, &probe);
        }
    }

    /// Updates the link state and the local health from the result of the last direct probe.
    fn on_probe_ended(&mut self, now: Time, probe: &EndedProbe) {
        if probe.is_answered {
            return self.health.shorten_timeouts();
        }
        let name = &probe.name;
        match self.members.get(name).map(|member| member.state()) {
            Some(State::Alive) => {
                if let Some(state) = self.links.direct_probe_failed(name) {
                    self.emit(Event::Link { to: name.clone(), state });
                }
            }
            Some(State::Suspected) => {
                self.links.all_probes_failed(name);
                // If other members sent datagrams meanwhile, this member is unlikely to be the cause.
                if self.health.time_since_received(now) > self.times.probe_interval {
                    self.health.extend_timeouts();
                }
                let timeout = Timeout::NotifySuspect(name.clone(), SUSPECT_NOTIFICATION_ROUNDS);
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

    /// Handles a suspicion for which neither a refutation nor an end was received: notifies the suspect,
    /// and sets the timer after which it is declared failed.
    pub(super) fn on_unresolved_suspicion(&mut self, now: Time, suspect: Identity, swim_incarnation: u16) {
        if self.is_suspected(&suspect, swim_incarnation) {
            self.notify_suspect(now, suspect.name.clone(), SUSPECT_NOTIFICATION_ROUNDS);
            let after = self.health.extended(self.times.suspicion_timeout);
            self.set_timer(now, Timeout::ExpiredSuspicion(suspect, swim_incarnation), after);
        }
    }

    /// Declares the suspect failed if it is still suspected.
    pub(super) fn on_expired_suspicion(&mut self, now: Time, suspect: Identity, swim_incarnation: u16) {
        if self.is_suspected(&suspect, swim_incarnation) {
            let failed = Member::new(suspect, swim_incarnation, foca::State::Down);
            self.with_foca(now, |foca, runtime| {
                let _ = foca.apply_many([failed].into_iter(), true, runtime);
            });
            self.sync_members(now);
        }
    }

    /// Removes the timers of expiring suspicions and returns their suspects.
    pub(super) fn take_expiry_timers(&mut self) -> Vec<(Identity, u16)> {
        let is_expiry = |timeout: &Timeout| matches!(timeout, Timeout::ExpiredSuspicion(..));
        let times: Vec<_> =
            self.timers.iter().filter(|(_, timeout)| is_expiry(timeout)).map(|(at, _)| *at).collect();
        let timeouts = times.into_iter().filter_map(|at| self.timers.remove(&at));
        timeouts
            .filter_map(|timeout| match timeout {
                Timeout::ExpiredSuspicion(suspect, swim_incarnation) => Some((suspect, swim_incarnation)),
                _ => None,
            })
            .collect()
    }

    /// Notifies a member that it is suspected: directly, through the members that it reports as
    /// reachable, through the latest direct senders to this member, and through random members, twice as
    /// many in each round.
    pub(super) fn notify_suspect(&mut self, now: Time, name: Name, rounds_left: u32) {
        let Some(member) = self.members.get(&name).filter(|member| member.state() == State::Suspected) else {
            return;
        };
        if self.disabled.no_relays || self.disabled.no_suspicion {
            return;
        }
        if !self.is_participating() {
            // Other members may ignore notifications from this incarnation, so try again later.
            return self.set_timer(now, Timeout::NotifySuspect(name, rounds_left), self.times.probe_timeout);
        }
        let suspect = member.identity.clone();
        let swim_incarnation = member.swim_state.map_or(0, |(_, incarnation)| incarnation);
        let fanout = REQUEST_FANOUT << (SUSPECT_NOTIFICATION_ROUNDS - rounds_left);
        for to in self.notification_targets(&suspect, fanout) {
            let (from, suspect) = (self.local.clone(), suspect.clone());
            self.send(to, &Packet::Suspected { from, suspect, swim_incarnation });
        }
        if rounds_left > 1 {
            let interval = self.times.suspicion_timeout.times(1.0 / f64::from(SUSPECT_NOTIFICATION_ROUNDS));
            self.set_timer(now, Timeout::NotifySuspect(name, rounds_left - 1), interval);
        }
    }

    /// Returns the addresses of the suspect and of members that may reach it.
    fn notification_targets(&mut self, suspect: &Identity, fanout: usize) -> Vec<SocketAddrV4> {
        let notices = self.notices.lock();
        let report = notices.link_report(&suspect.name).filter(|report| report.lists_reachable);
        let reaches = |name: &Name| report.is_some_and(|report| report.reaches(name));
        let others = self.present().map(|m| &m.identity).filter(|identity| identity.name != suspect.name);
        let (reachable, others): (Vec<_>, Vec<_>) = others.partition(|identity| reaches(&identity.name));
        let mut to: Vec<_> = reachable.iter().map(|identity| identity.addr).collect();
        let others: Vec<_> = others.iter().map(|identity| identity.addr).collect();
        drop(notices);
        to.push(suspect.addr);
        to.extend(others.sample(&mut self.rng, fanout).copied());
        let latest =
            self.latest_direct_senders().into_iter().filter(|identity| identity.name != suspect.name);
        to.extend(latest.map(|identity| identity.addr));
        to.sort_unstable();
        to.dedup();
        to
    }

    /// Handles a suspicion notification for this member, or relays one for another member. `sender_addr`
    /// is the address of the sender of the datagram.
    pub(super) fn receive_suspected(
        &mut self,
        now: Time,
        sender_addr: SocketAddrV4,
        from: Identity,
        suspect: Identity,
        swim_incarnation: u16,
    ) -> Result<(), DropReason> {
        if !self.is_participating() {
            return Err(DropReason::NotParticipating);
        }
        if !self.members.contains_key(&from.name) {
            return Err(DropReason::NotAMember);
        }
        if suspect.name != self.local.name {
            return self.relay_suspected(sender_addr, from, suspect, swim_incarnation);
        }
        if suspect != self.local {
            return Err(DropReason::NotForUs);
        }
        self.health.message_received(now);
        self.health.extend_timeouts();
        let suspected = Member::new(suspect, swim_incarnation, foca::State::Suspect);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.apply_many([suspected].into_iter(), false, runtime);
        });
        self.relayed_by = Some(sender_addr).filter(|sender_addr| *sender_addr != from.addr);
        self.with_foca(now, |foca, runtime| {
            let _ = foca.announce(from, runtime);
        });
        self.relayed_by = None;
        self.refute(now);
        Ok(())
    }

    /// Relays a notification that came from its originator. Relayed ones are not relayed again.
    fn relay_suspected(
        &mut self,
        sender_addr: SocketAddrV4,
        from: Identity,
        suspect: Identity,
        swim_incarnation: u16,
    ) -> Result<(), DropReason> {
        let member = self.members.get(&suspect.name).filter(|member| member.identity == suspect);
        let is_from_originator = sender_addr == from.addr;
        let to = member.filter(|_| is_from_originator).ok_or(DropReason::NotAMember)?.identity.addr;
        self.counters.relayed += 1;
        self.send(to, &Packet::Suspected { from, suspect, swim_incarnation });
        Ok(())
    }

    /// Refutes a suspicion by announcing this member to its latest direct senders. `foca` gossips to
    /// random members, which may not receive it if links are cut.
    pub(super) fn refute(&mut self, now: Time) {
        for to in self.latest_direct_senders() {
            self.with_foca(now, |foca, runtime| {
                let _ = foca.announce(to, runtime);
            });
        }
    }

    /// Notifies a newly suspected member if this one has received from it directly: the members that
    /// suspect it may not reach it. In a large fleet, only a random part of the members does so, and those
    /// that received from it recently or that it lists as reachable.
    pub(super) fn notify_new_suspect(&mut self, now: Time, suspect: &Identity, swim_incarnation: u16) {
        let name = &suspect.name;
        let last_received_at = self.links.get(name).and_then(|link| link.last_received_at());
        let may_reach = !self.links.needs_relay(name) && !self.disabled.no_relays;
        let Some(last_received_at) = last_received_at.filter(|_| may_reach) else { return };
        // Few members have received from a failed member so recently.
        let is_recent = now - last_received_at <= self.times.isolation_threshold;
        let names_this_member =
            |report: crate::notices::LinkReport| report.lists_as_reachable(&self.local.name);
        let is_named = self.notices.lock().link_report(name).is_some_and(names_this_member);
        let chance = EXPECTED_NOTIFIERS / self.members.len().max(1) as f64;
        if is_recent || is_named || chance >= 1.0 || self.rng.random_bool(chance) {
            let (from, suspect) = (self.local.clone(), suspect.clone());
            self.send(suspect.addr, &Packet::Suspected { from, suspect, swim_incarnation });
        }
    }

    /// Returns the members from which a datagram came directly most recently.
    pub(super) fn latest_direct_senders(&self) -> Vec<Identity> {
        let mut senders: Vec<_> = self
            .present()
            .filter_map(|member| {
                let last_received_at = self.links.get(&member.identity.name)?.last_received_at()?;
                Some((last_received_at, member.identity.clone()))
            })
            .collect();
        senders.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        senders.into_iter().take(REQUEST_FANOUT).map(|(_, identity)| identity).collect()
    }

    /// Gives up this member's name, which another process holds in the same or a later incarnation.
    pub(super) fn yield_name(&mut self, now: Time, other: &Identity) {
        self.on_refused(now, Phase::Refused, &format!("its name is in use by {}", other.addr));
    }
}
