//! Reports of cut links to other members, which choose relays by them.

use lynxstair::types::Time;

use super::{Membership, Timeout};
use crate::event::Phase;
use crate::identity::Name;
use crate::link_table::LinkState;
use crate::notices::{MAX_LISTED_MEMBERS, Notice};
use crate::packet::Packet;

/// Number of recent senders up to which a report lists them as the only reachable members.
const MAX_LISTED_SENDERS: usize = 3;
/// In small fleets, the limit is one sender per this number of present members.
const PRESENT_PER_LISTED_SENDER: usize = 4;
/// Time for which a sender counts as recent, as a multiple of the isolation threshold.
const RECENT_FACTOR: f64 = 2.0;

/// The last report that was sent.
#[derive(Debug, Default)]
pub(super) struct SentLinkReport {
    lists_reachable: bool,
    members: Vec<Name>,
    sequence: u32,
}

impl Membership {
    /// Gossips a report of this member's links if it changed. A report that lists the reachable members
    /// is also sent directly, every time, to the latest senders: gossip would reach few other members.
    pub(super) fn report_links(&mut self, now: Time) {
        if self.phase != Phase::In {
            return;
        }
        self.restart_timer(now, Timeout::ReportLinks, self.times.exchange_interval);
        let (lists_reachable, members) = self.link_report(now);
        let is_changed =
            self.sent_report.lists_reachable != lists_reachable || self.sent_report.members != members;
        if is_changed {
            let sequence = self.sent_report.sequence + 1;
            self.sent_report = SentLinkReport { lists_reachable, members: members.clone(), sequence };
        }
        if !is_changed && !lists_reachable {
            return;
        }
        let (name, incarnation) = (self.local.name.clone(), self.local.incarnation);
        let sequence = self.sent_report.sequence;
        let notice = Notice::Links { name, incarnation, sequence, lists_reachable, members }.encode();
        if is_changed {
            let _ = self.foca.add_broadcast(&notice);
            self.notices.lock().take_new();
        }
        if lists_reachable {
            for to in self.latest_direct_senders() {
                let from = self.local.name.clone();
                self.send(to.addr, &Packet::Notice { from, notice: &notice });
            }
        }
    }

    /// Returns the report of this member's links: with `false` the members whose link is cut, with
    /// `true` the only ones that are reachable.
    fn link_report(&self, now: Time) -> (bool, Vec<Name>) {
        let cut = self.present_with_link(LinkState::Cut);
        let whole = self.present_with_link(LinkState::Whole);
        // A small number of recent senders is known before the probes have found each link cut.
        let senders = self.recent_direct_senders(now);
        let max_listed = (self.present().count() / PRESENT_PER_LISTED_SENDER).min(MAX_LISTED_SENDERS);
        let has_few_senders = senders.len() <= max_listed;
        let is_mostly_cut = cut.len() > whole.len() && !whole.is_empty();
        let lists_reachable = !senders.is_empty() && has_few_senders || is_mostly_cut;
        let mut members = match (lists_reachable, has_few_senders) {
            (true, true) => senders,
            (true, false) => whole,
            (false, _) => cut,
        };
        members.truncate(MAX_LISTED_MEMBERS);
        (lists_reachable, members)
    }

    fn present_with_link(&self, state: LinkState) -> Vec<Name> {
        let is_present = |name: &&Name| self.members.get(*name).is_some_and(|m| m.state().is_present());
        let mut names: Vec<_> = self.links.with_state(state).filter(is_present).cloned().collect();
        names.sort();
        names
    }

    fn recent_direct_senders(&self, now: Time) -> Vec<Name> {
        let max_age = self.times.isolation_threshold.times(RECENT_FACTOR);
        let last_received_at = |name: &Name| self.links.get(name).and_then(|link| link.last_received_at());
        let names = self.present().map(|member| &member.identity.name);
        names.filter(|name| last_received_at(name).is_some_and(|at| now - at <= max_age)).cloned().collect()
    }
}
