//! Sending datagrams directly, and through relays if the direct link may be cut.

use std::net::SocketAddrV4;

use foca::Message;
use lynxstair::types::Time;
use rand::seq::IndexedRandom;

use super::Membership;
use super::members::MemberEntry;
use crate::event::{Action, Phase};
use crate::identity::{Identity, Name};
use crate::packet::{DropReason, Packet};
use crate::swim_codec::{decode_header, parse_swim};

/// Number of relays to which a message is sent.
const RELAYS_PER_MESSAGE: usize = 2;

impl Membership {
    pub(super) fn send(&mut self, to: SocketAddrV4, packet: &Packet<'_>) {
        let datagram = packet.encode(self.fleet);
        self.counters.datagrams_out += 1;
        self.counters.bytes_out += datagram.len() as u64;
        self.actions.push(Action::Send { to, datagram });
    }

    /// Forwards a message of `foca` to the member `to` on behalf of its sender.
    pub(super) fn relay(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        to: &Name,
        swim: &[u8],
    ) -> Result<(), DropReason> {
        let (header, _) = parse_swim(swim).ok_or(DropReason::Malformed)?;
        let address_of = |name: &Name| self.members.get(name).map(|member| member.identity.addr);
        let (Some(to), Some(_)) = (address_of(to), address_of(&header.src.name)) else {
            return Err(DropReason::NotAMember);
        };
        if self.disabled.no_relays || self.phase != Phase::In {
            return Err(DropReason::NotParticipating);
        }
        if header.src.addr == from {
            self.health.message_received(now);
            self.links.message_received(&header.src.name, now);
        }
        self.counters.relayed += 1;
        let from = self.local.name.clone();
        self.send(to, &Packet::Relayed { from, swim });
        Ok(())
    }

    /// Sends a message of `foca` directly. Probes, their answers and `TurnUndead` also go through relays if
    /// the member did not answer the last direct probe. An answer to a relayed message goes back through
    /// its relay only.
    pub(super) fn send_swim(&mut self, to: &Identity, swim: &[u8]) {
        let Some(header) = decode_header(&mut &swim[..]) else { return };
        if self.disabled.no_relays && matches!(header.message, Message::PingReq { .. }) {
            return;
        }
        // At the end of a suspicion, foca 2.0 sends TurnUndead even if the member has refuted the suspicion.
        let is_active = || self.foca.iter_members().any(|member| member.id() == to);
        if header.message == Message::TurnUndead && is_active() {
            return;
        }
        if let Message::Ping(number) = header.message {
            self.links.probe_sent(&to.name, number);
        }
        let is_answer = matches!(header.message, Message::Ack(_) | Message::Announce);
        if let Some(relay) = self.relayed_by.filter(|_| is_answer) {
            // The relay has a working path. The answer is not also sent directly: it would count as the
            // answer to a direct probe, and hide a link that is cut in one direction.
            let to = to.name.clone();
            return self.send(relay, &Packet::Relay { to, swim });
        }
        self.send(to.addr, &Packet::Swim(swim));
        let may_be_relayed =
            matches!(header.message, Message::Ping(_) | Message::Ack(_) | Message::TurnUndead);
        if may_be_relayed && !self.disabled.no_relays && self.links.needs_relay(&to.name) {
            for relay in self.select_relays(&to.name) {
                self.send(relay, &Packet::Relay { to: to.name.clone(), swim });
            }
        }
    }

    /// Chooses random relays to a member among the present members that need no relay themselves and
    /// that neither side reports as cut off from the other; if there are none, among all other present
    /// members.
    fn select_relays(&mut self, to: &Name) -> Vec<SocketAddrV4> {
        let notices = self.notices.lock();
        let report = notices.link_report(to);
        let is_suitable = |member: &&MemberEntry| {
            let name = &member.identity.name;
            let reports_cut = notices.link_report(name).is_some_and(|report| !report.reaches(to));
            let is_reported_cut = report.is_some_and(|report| !report.reaches(name));
            name != to && !reports_cut && !is_reported_cut && !self.links.needs_relay(name)
        };
        let mut relays: Vec<_> = self.present().filter(is_suitable).map(|m| m.identity.addr).collect();
        if relays.is_empty() {
            let others = self.present().filter(|member| member.identity.name != *to);
            relays = others.map(|member| member.identity.addr).collect();
        }
        drop(notices);
        relays.sample(&mut self.rng, RELAYS_PER_MESSAGE).copied().collect()
    }
}
