//! Telling others which links are cut, so that they relay around them.

use lynxstair::types::Time;

use super::{Membership, Timeout};
use crate::event::Phase;
use crate::identity::Name;
use crate::link_table::LinkState;
use crate::notices::{MAX_NAMED_MEMBERS, Notice};
use crate::packet::Packet;

/// A member that hears no more than so many others, and no more than a quarter of them, names those.
const FEW_MEMBERS: usize = 3;
const FEW_PART: usize = 4;
/// "Lately" in isolation thresholds.
const LATELY: f64 = 2.0;

/// The report that was sent last.
#[derive(Debug, Default)]
pub(super) struct SentLinkReport {
    lists_reachable: bool,
    members: Vec<Name>,
    sequence: u32,
}

impl Membership {
    /// Tells others which links are cut, where that changed. Where only few members are heard, they are told
    /// directly each time: what goes to random members would be lost on most of them.
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
            for to in self.heard_lately() {
                let from = self.local.name.clone();
                self.send(to.addr, &Packet::Notice { from, notice: &notice });
            }
        }
    }

    /// What this member says of its links: the members that it does not reach directly; or, with `true`, the only
    /// ones that it does.
    fn link_report(&self, now: Time) -> (bool, Vec<Name>) {
        let cut = self.present_with_link(LinkState::Cut);
        let whole = self.present_with_link(LinkState::Whole);
        // Where only few are heard at all, that is known before each link has been found cut.
        let heard = self.names_heard_lately(now);
        let few = (self.present().count() / FEW_PART).min(FEW_MEMBERS);
        let hears_few = heard.len() <= few;
        let is_mostly_cut = cut.len() > whole.len() && !whole.is_empty();
        let lists_reachable = !heard.is_empty() && hears_few || is_mostly_cut;
        let mut members = match (lists_reachable, hears_few) {
            (true, true) => heard,
            (true, false) => whole,
            (false, _) => cut,
        };
        members.truncate(MAX_NAMED_MEMBERS);
        (lists_reachable, members)
    }

    fn present_with_link(&self, state: LinkState) -> Vec<Name> {
        let is_present = |name: &&Name| self.members.get(*name).is_some_and(|m| m.state().is_present());
        let mut names: Vec<_> = self.links.with_state(state).filter(is_present).cloned().collect();
        names.sort();
        names
    }

    fn names_heard_lately(&self, now: Time) -> Vec<Name> {
        let lately = self.times.isolation_threshold.times(LATELY);
        let heard_at = |name: &Name| self.links.get(name).and_then(|link| link.heard_at());
        let names = self.present().map(|member| &member.identity.name);
        names.filter(|name| heard_at(name).is_some_and(|at| now - at <= lately)).cloned().collect()
    }
}
