//! Joining a fleet, and responding to joins of other members.
//!
//! A name belongs to one process at a time. A join is refused while another process, at another address,
//! holds the name and answers. If the name already had the joiner's incarnation or a later one, the joiner
//! starts the next one.

use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use rand::seq::IndexedRandom;

use super::{Membership, REFUSED_BACKOFF_FACTOR, REQUEST_FANOUT, Timeout};
use crate::event::{ChangeReason, Event, Phase};
use crate::identity::{Identity, Incarnation};
use crate::packet::{DropReason, JoinResponse, Packet};
use crate::status::State;

/// A join under a name that another process holds. The holder is being probed.
#[derive(Clone, Debug)]
pub(super) struct NameConflict {
    pub joiner: Identity,
    pub since: Time,
    /// Lowest number of a probe whose reply shows that the holder is alive.
    pub min_request_number: u64,
    pub is_holder_alive: bool,
}

impl NameConflict {
    fn new(now: Time, joiner: &Identity, min_request_number: u64) -> Self {
        NameConflict { joiner: joiner.clone(), since: now, min_request_number, is_holder_alive: false }
    }
}

fn name_taken_reason(by: SocketAddrV4) -> String {
    format!("its name is in use by {by}")
}

impl Membership {
    pub(super) fn start_joining(&mut self, now: Time, reason: &str) {
        self.set_phase(Phase::Joining, reason);
        self.first_join_number = self.last_request_number + 1;
        self.send_joins(now);
    }

    /// Sends joins to all seeds and to some known members. With no address to send to, this member is
    /// the first of its fleet.
    pub(super) fn send_joins(&mut self, now: Time) {
        if !matches!(self.phase, Phase::Joining | Phase::Refused | Phase::ShutOut) {
            return;
        }
        let mut targets = self.seeds.clone();
        let known = self.members.values().map(|member| member.identity.addr);
        let known: Vec<_> = known.filter(|addr| !targets.contains(addr)).collect();
        targets.extend(known.sample(&mut self.rng, REQUEST_FANOUT).copied());
        if targets.is_empty() && self.phase == Phase::Joining {
            return self.enter_fleet(now, "first member of the fleet");
        }
        let number = self.next_request_number();
        for to in targets {
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
        self.times.join_interval.times(REFUSED_BACKOFF_FACTOR)
    }

    /// Enters `phase` because this member may not join, and schedules another join.
    pub(super) fn on_refused(&mut self, now: Time, phase: Phase, reason: &str) {
        self.set_phase(phase, reason);
        let interval = self.refused_interval();
        self.set_timer(now, Timeout::Join, interval);
    }

    /// Enters the fleet and starts the periodic timers.
    pub(super) fn enter_fleet(&mut self, now: Time, reason: &str) {
        self.set_phase(Phase::In, reason);
        self.health.message_received(now);
        self.restart_timer(now, Timeout::ReportLinks, self.times.exchange_interval);
        self.restart_timer(now, Timeout::SaveMembers, self.times.exchange_interval);
        self.restart_timer(now, Timeout::ContactMissing, self.times.exchange_interval);
        // Suspicions left from the previous incarnation: notify the suspects again before they expire.
        for (suspect, swim_incarnation) in self.take_expiry_timers() {
            let timeout = Timeout::UnresolvedSuspicion(suspect, swim_incarnation);
            self.set_timer(now, timeout, self.times.suspicion_timeout);
        }
        self.notify_all_suspects(now);
    }

    /// Sends joins to the seeds whose address no present member has, and to one random member in state
    /// `Unknown`. Merges groups that formed separately when several members started at once, or after a
    /// lost datagram.
    pub(super) fn contact_missing_members(&mut self, now: Time) {
        if self.phase != Phase::In {
            return;
        }
        self.restart_timer(now, Timeout::ContactMissing, self.times.exchange_interval);
        let present: Vec<_> = self.present().map(|member| member.identity.addr).collect();
        let is_unknown = |member: &&super::MemberEntry| member.state() == State::Unknown;
        let unknown = self.members.values().filter(is_unknown).map(|member| member.identity.addr);
        let unknown: Vec<_> = unknown.filter(|addr| !present.contains(addr)).collect();
        let mut targets: Vec<_> = self.seeds.iter().filter(|seed| !present.contains(seed)).copied().collect();
        targets.extend(unknown.choose(&mut self.rng));
        for to in targets {
            let (from, number) = (self.local.clone(), self.next_request_number());
            self.send(to, &Packet::Join { from, number });
        }
    }

    /// Decides on a join. Returns `None` if no response is sent.
    pub(super) fn admit(&mut self, now: Time, joiner: &Identity) -> Option<JoinResponse> {
        if joiner.name == self.local.name {
            return self.admit_same_name(joiner);
        }
        let shut_out = self.notices.lock().shut_out(&joiner.name).cloned();
        if let Some(reason) = shut_out {
            return Some(self.refuse(joiner, JoinResponse::ShutOut(reason)));
        }
        let Some(member) = self.members.get(&joiner.name) else {
            return Some(self.admit_unknown(now, joiner));
        };
        let (state, known) = (member.state(), member.incarnation());
        let is_same_run = member.identity.run == joiner.run;
        let is_same_address = member.identity.addr == joiner.addr;
        if !is_same_run && !is_same_address && state.is_present() {
            return Some(self.probe_name_holder(now, joiner));
        }
        self.name_conflicts.remove(&joiner.name);
        let may_repeat_incarnation = is_same_run && !state.is_final() || state == State::Unknown;
        let is_stale =
            if may_repeat_incarnation { known > joiner.incarnation } else { known >= joiner.incarnation };
        Some(if is_stale { JoinResponse::StaleIncarnation(known) } else { JoinResponse::Accepted })
    }

    /// Refuses a join under this member's own name if this member has joined or has the later identity;
    /// otherwise returns `None`.
    fn admit_same_name(&mut self, joiner: &Identity) -> Option<JoinResponse> {
        let is_later = (self.local.incarnation, self.local.run) > (joiner.incarnation, joiner.run);
        let keeps_name = self.phase == Phase::In || is_later;
        let own_addr = self.local.addr;
        keeps_name.then(|| self.refuse(joiner, JoinResponse::NameTaken(own_addr)))
    }

    fn admit_unknown(&mut self, now: Time, joiner: &Identity) -> JoinResponse {
        if self.members.len() >= self.times.max_members {
            return self.refuse(joiner, JoinResponse::Full);
        }
        self.add_member(now, joiner, ChangeReason::Asked);
        self.change_member(now, &joiner.name, State::Joining, joiner.incarnation, ChangeReason::Asked);
        JoinResponse::Accepted
    }

    /// Probes the present member that holds the joiner's name. Refuses the join if the holder has
    /// replied, or is still present after the time that detecting its failure takes.
    fn probe_name_holder(&mut self, now: Time, joiner: &Identity) -> JoinResponse {
        let Some(holder) = self.members.get(&joiner.name).map(|member| member.identity.addr) else {
            return JoinResponse::Pending;
        };
        let number = self.next_request_number();
        let from = self.local.clone();
        self.send(holder, &Packet::Probe { from, number });
        let new_conflict = || NameConflict::new(now, joiner, number);
        let conflict = self.name_conflicts.entry(joiner.name.clone()).or_insert_with(new_conflict);
        if conflict.joiner.run != joiner.run {
            *conflict = new_conflict();
        }
        // A holder that doesn't reply here may still be reached by other members, and is then not
        // declared failed within this time.
        let failure_detection_time =
            self.times.suspicion_timeout.times(3.0) + self.times.probe_interval.times(4.0);
        if conflict.is_holder_alive || now - conflict.since > failure_detection_time {
            return self.refuse(joiner, JoinResponse::NameTaken(holder));
        }
        JoinResponse::Pending
    }

    fn refuse(&mut self, joiner: &Identity, response: JoinResponse) -> JoinResponse {
        let reason = match &response {
            JoinResponse::NameTaken(by) => name_taken_reason(*by),
            JoinResponse::ShutOut(reason) => format!("shut out: {}", reason.as_str()),
            _ => format!("member limit of {} reached", self.times.max_members),
        };
        let (name, addr) = (joiner.name.clone(), joiner.addr);
        self.emit(Event::JoinRefused { name, addr, reason });
        response
    }

    /// Handles the response to a join of this member.
    pub(super) fn receive_join_reply(
        &mut self,
        now: Time,
        from: &Identity,
        number: u64,
        response: JoinResponse,
    ) -> Result<(), DropReason> {
        let accepts_reply =
            matches!(self.phase, Phase::Joining | Phase::Refused | Phase::ShutOut | Phase::In);
        let is_current = (self.first_join_number..=self.last_request_number).contains(&number);
        let is_own = from.name == self.local.name && from.run == self.local.run;
        if !accepts_reply || !is_current || is_own {
            return Err(DropReason::NotForUs);
        }
        self.health.message_received(now);
        match response {
            JoinResponse::Accepted => self.on_accepted(now, from),
            JoinResponse::StaleIncarnation(known) => self.on_stale_incarnation(known),
            // Both processes have joined separate groups. The later identity wins when the groups merge.
            JoinResponse::NameTaken(_) | JoinResponse::Full if self.phase == Phase::In => {}
            JoinResponse::NameTaken(by) => self.set_phase(Phase::Refused, &name_taken_reason(by)),
            JoinResponse::ShutOut(reason) => self.set_phase(Phase::ShutOut, reason.as_str()),
            JoinResponse::Full => {
                self.set_phase(Phase::Refused, "the other member has reached its member limit")
            }
            JoinResponse::Pending => {}
        }
        Ok(())
    }

    fn on_accepted(&mut self, now: Time, by: &Identity) {
        if self.next_identity.is_some() {
            return;
        }
        if matches!(self.phase, Phase::Refused | Phase::ShutOut) {
            // For other members, the current incarnation has ended.
            return self.start_incarnation_after(self.local.incarnation, "let in again");
        }
        if self.phase != Phase::In {
            self.enter_fleet(now, &format!("accepted by {}", by.name));
        }
        let by = by.clone();
        self.with_foca(now, |foca, runtime| {
            let _ = foca.announce(by, runtime);
        });
    }

    pub(super) fn on_stale_incarnation(&mut self, known: Incarnation) {
        self.start_incarnation_after(known, "this name had the same or a later incarnation");
    }
}
