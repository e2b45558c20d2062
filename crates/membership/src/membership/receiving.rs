//! Received datagrams.

use std::net::SocketAddrV4;

use foca::{Header, Member, Message};
use lynxstair::types::Time;

use super::Membership;
use super::members::SwimState;
use crate::event::{Event, Phase};
use crate::identity::{Identity, Name};
use crate::packet::{DropReason, Packet};
use crate::swim_codec::parse_swim;

impl Membership {
    /// Handles a received datagram. `from` is the address of its sender. Counts it by reason if it is
    /// dropped.
    pub fn receive(&mut self, now: Time, from: SocketAddrV4, datagram: &[u8]) {
        self.counters.datagrams_in += 1;
        self.counters.bytes_in += datagram.len() as u64;
        self.observe(now);
        if let Err(reason) = self.receive_packet(now, from, datagram) {
            *self.counters.dropped.entry(reason).or_default() += 1;
        }
    }

    fn receive_packet(&mut self, now: Time, from: SocketAddrV4, datagram: &[u8]) -> Result<(), DropReason> {
        let packet = Packet::decode(self.fleet, datagram)?;
        if matches!(self.phase, Phase::Recording | Phase::Left) {
            return Err(DropReason::NotParticipating);
        }
        match packet {
            Packet::Swim(swim) => self.receive_swim(now, swim, true),
            Packet::Relayed { from: relay, swim } => self.receive_relayed(now, from, &relay, swim),
            Packet::Relay { to, swim } => self.relay(now, from, &to, swim),
            Packet::Notice { from, notice } => self.receive_notice(now, &from, notice),
            Packet::Probe { from: prober, number } => self.receive_probe(now, &prober, number),
            Packet::ProbeReply { from, number } => self.receive_probe_reply(now, &from, number),
            Packet::Join { from: joiner, number } => self.receive_join(now, &joiner, number),
            Packet::JoinReply { from, number, response } => {
                self.receive_join_reply(now, &from, number, response)
            }
            Packet::Suspected { from: notifier, suspect, swim_incarnation } => {
                self.receive_suspected(now, from, notifier, suspect, swim_incarnation)
            }
            Packet::StaleIncarnation { identity, known } => {
                if identity != self.local || known < self.local.incarnation {
                    return Err(DropReason::NotForUs);
                }
                self.on_stale_incarnation(known);
                Ok(())
            }
        }
    }

    fn receive_relayed(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        relay: &Name,
        swim: &[u8],
    ) -> Result<(), DropReason> {
        if self.disabled.no_relays || !self.members.contains_key(relay) {
            return Err(DropReason::NotAMember);
        }
        self.relayed_by = Some(from);
        let result = self.receive_swim(now, swim, false);
        self.relayed_by = None;
        result
    }

    fn receive_notice(&mut self, now: Time, from: &Name, notice: &[u8]) -> Result<(), DropReason> {
        if !self.is_participating() || !self.members.contains_key(from) {
            return Err(DropReason::NotAMember);
        }
        self.health.message_received(now);
        self.links.message_received(from, now);
        self.foca.add_broadcast(notice).map_err(|_| DropReason::Malformed)?;
        self.apply_notices(now, true);
        Ok(())
    }

    fn receive_probe(&mut self, now: Time, prober: &Identity, number: u64) -> Result<(), DropReason> {
        if prober.name == self.local.name {
            return Err(DropReason::NameConflict);
        }
        // A member that was refused doesn't own its name and must not reply under it.
        if !self.is_participating() {
            return Err(DropReason::NotParticipating);
        }
        self.health.message_received(now);
        let from = self.local.clone();
        self.send(prober.addr, &Packet::ProbeReply { from, number });
        Ok(())
    }

    fn receive_probe_reply(&mut self, now: Time, from: &Identity, number: u64) -> Result<(), DropReason> {
        if from.name == self.local.name {
            return Err(DropReason::NameConflict);
        }
        self.health.message_received(now);
        if let Some(conflict) = self.name_conflicts.get_mut(&from.name) {
            let is_holder = self.members.get(&from.name).is_some_and(|m| m.identity.run == from.run);
            conflict.is_holder_alive |= is_holder && number >= conflict.min_request_number;
        }
        let change = self.health.reply_received(now, number);
        self.on_health_change(now, change);
        Ok(())
    }

    fn receive_join(&mut self, now: Time, joiner: &Identity, number: u64) -> Result<(), DropReason> {
        if !self.is_participating() {
            return Err(DropReason::NotParticipating);
        }
        if *joiner == self.local {
            return Err(DropReason::NameConflict);
        }
        if let Some(response) = self.admit(now, joiner) {
            let from = self.local.clone();
            self.send(joiner.addr, &Packet::JoinReply { from, number, response });
        }
        Ok(())
    }

    /// Handles a message of `foca`. `is_direct` is `false` for a relayed message.
    fn receive_swim(&mut self, now: Time, swim: &[u8], is_direct: bool) -> Result<(), DropReason> {
        if !self.is_participating() && self.phase != Phase::Leaving {
            return Err(DropReason::NotParticipating);
        }
        let (header, members) = parse_swim(swim).ok_or(DropReason::Malformed)?;
        self.check_swim(&header, &members)?;
        if let Some(other) = self.find_name_conflict(&members) {
            self.yield_name(now, other);
            return Err(DropReason::NameConflict);
        }
        self.health.message_received(now);
        if is_direct {
            self.on_direct_message(now, &header);
        }
        let is_suspect = |m: &Member<Identity>| *m.id() == self.local && m.state() == foca::State::Suspect;
        let is_suspected_itself = members.iter().any(is_suspect);
        let contains_updates = self.contains_updates(&header, &members);
        let mut is_handled = false;
        self.with_foca(now, |foca, runtime| is_handled = foca.handle_data(swim, runtime).is_ok());
        if is_suspected_itself {
            self.health.extend_timeouts();
            self.refute(now);
        }
        self.apply_notices(now, true);
        if contains_updates {
            self.sync_members(now);
        }
        if is_handled { Ok(()) } else { Err(DropReason::Malformed) }
    }

    /// Checks that a message is from another member, is for this one, and does not exceed the member limit.
    fn check_swim(&self, header: &Header<Identity>, members: &[Member<Identity>]) -> Result<(), DropReason> {
        if header.src.name == self.local.name {
            return Err(DropReason::NameConflict);
        }
        let is_announce_to_name = header.message == Message::Announce && header.dst.name == self.local.name;
        if header.dst != self.local && !is_announce_to_name {
            return Err(DropReason::NotForUs);
        }
        let identities = members.iter().map(|member| member.id()).chain([&header.src]);
        let is_unknown = |id: &&Identity| id.name != self.local.name && !self.members.contains_key(&id.name);
        let unknown = identities.filter(is_unknown).count();
        if self.members.len() + unknown > self.times.max_members {
            return Err(DropReason::Full);
        }
        Ok(())
    }

    /// Returns another process that holds this member's name in the same or a later incarnation.
    fn find_name_conflict<'a>(&self, members: &'a [Member<Identity>]) -> Option<&'a Identity> {
        members.iter().map(|member| member.id()).find(|id| {
            id.name == self.local.name && id.run != self.local.run && id.incarnation >= self.local.incarnation
        })
    }

    fn on_direct_message(&mut self, now: Time, header: &Header<Identity>) {
        let name = &header.src.name;
        self.links.message_received(name, now);
        if let Message::Ack(number) = header.message
            && let Some(state) = self.links.probe_answered(name, number)
        {
            self.emit(Event::Link { to: name.clone(), state });
        }
    }

    /// Returns `true` if a message may change the state of a member since the last synchronization with
    /// `foca`.
    fn contains_updates(&self, header: &Header<Identity>, members: &[Member<Identity>]) -> bool {
        let sender_state = (foca::State::Alive, header.src_incarnation);
        let others = members.iter().filter(|member| *member.id() != self.local);
        self.is_update(&header.src, sender_state)
            || others.into_iter().any(|m| self.is_update(m.id(), (m.state(), m.incarnation())))
    }

    fn is_update(&self, identity: &Identity, (state, incarnation): SwimState) -> bool {
        let member = self.members.get(&identity.name).filter(|member| member.identity == *identity);
        let known = member.and_then(|member| member.swim_state);
        known.is_none_or(|(known_state, known_incarnation)| {
            let is_other_state = known_state != state && known_state != foca::State::Down;
            is_other_state || incarnation > known_incarnation
        })
    }
}
