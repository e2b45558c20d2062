//! The membership planner: when the leader changes the [proxy membership](crate::proxy_membership), by the heartbeats that
//! it receives.
//!
//! Why parts never add up to more than one whole, whoever is in touch with whom:
//!
//! - A proxy acts on a membership only while a controller has confirmed to it, within [`MEMBERSHIP_VALIDITY`] by its own
//!   steady clock, that nothing newer had been committed. A process that begins needs a confirmation that is at most
//!   [`MAX_CONFIRMATION_AGE`] old.
//! - A change under way stands until no proxy acts on the membership before it any more. Either each of its members has
//!   reported that it holds the change, and has done so for [`MAX_CONFIRMATION_AGE`]: then whatever process of that member
//!   begins after the one that reported finds the change confirmed, or nothing. Or the validity has passed.
//!
//! So at any moment, and over any second, proxies act on at most two memberships that follow each other, and one of the
//! two is the change between them. This rests on steady clocks that go equally fast to within a few percent.

use std::collections::{BTreeSet, HashMap};

use lynxstair::types::{Span, Time};

use crate::proxy_membership::{Members, ProxyMembership};

/// For how long a proxy may act on a membership after it was last confirmed to be the newest. Longer than most outages of
/// the controllers, as proxies serve on by it; members that are gone for good delay a change by so much.
pub const MEMBERSHIP_VALIDITY: Span = Span::from_millis(600_000);
/// How old a confirmation may be.
pub const MAX_CONFIRMATION_AGE: Span = Span::from_millis(1_000);
/// Without all reports a change is complete after this time: the validity, the age of a confirmation, and what steady
/// clocks may differ by.
const UNREPORTED_AFTER: Span = Span::from_millis(640_000);
/// By this time a leader has heard all proxies that are in touch.
const LEADER_SETTLE_TIME: Span = Span::from_millis(2_500);
/// A proxy becomes a member once it has been heard for this long, so that those that join together are one change.
const JOIN_TIME: Span = Span::from_millis(1_000);
/// A proxy that was not heard for this long does not become a member.
const SILENCE: Span = Span::from_millis(3_000);
/// A member that was not heard for this long is dropped. Restarts are far shorter.
const REMOVED_AFTER: Span = Span::from_millis(600_000);

/// A proxy as the leader hears it.
#[derive(Debug)]
struct HeardProxy {
    zone: String,
    first_heard_at: Time,
    heard_at: Time,
    /// The membership that it reported last, by revision.
    membership: u64,
}

/// When the leader changes the membership.
#[derive(Debug, Default)]
pub struct MembershipPlanner {
    proxies: HashMap<String, HeardProxy>,
    leading_since: Option<Time>,
    /// The revision of the membership that is committed, and when this leader saw it first.
    observed: Option<(u64, Time)>,
}

impl MembershipPlanner {
    /// A proxy has sent a heartbeat. `membership`: the revision of the membership that it has held for the age of a
    /// confirmation.
    pub fn on_heartbeat(&mut self, now: Time, node: &str, zone: &str, membership: u64) {
        let proxy = self.proxies.entry(node.to_string()).or_insert_with(|| HeardProxy {
            zone: String::new(),
            first_heard_at: now,
            heard_at: now,
            membership: 0,
        });
        if now - proxy.heard_at > SILENCE {
            proxy.first_heard_at = now;
        }
        proxy.zone = zone.to_string();
        proxy.heard_at = now;
        proxy.membership = proxy.membership.max(membership);
    }

    /// The membership that this controller proposes now, if any. To be asked a few times a second, with what is committed.
    pub fn plan(
        &mut self,
        now: Time,
        is_leading: bool,
        committed: &ProxyMembership,
    ) -> Option<ProxyMembership> {
        self.proxies.retain(|_, proxy| now - proxy.heard_at < REMOVED_AFTER);
        if !is_leading {
            (self.leading_since, self.observed) = (None, None);
            return None;
        }
        let leading_since = *self.leading_since.get_or_insert(now);
        if self.observed.is_none_or(|(revision, _)| revision != committed.revision) {
            self.observed = Some((committed.revision, now));
        }
        if now - leading_since < LEADER_SETTLE_TIME {
            return None;
        }
        if committed.is_changing() {
            return self.is_complete(now, committed).then(|| committed.completed());
        }
        let wanted = self.wanted(now, leading_since, committed.current());
        (wanted != *committed.current()).then(|| committed.changed_to(wanted))
    }

    /// Members that are not gone for good, and proxies that are to join them.
    fn wanted(&self, now: Time, leading_since: Time, current: &Members) -> Members {
        let is_gone = |name: &String| {
            let heard_at = self.proxies.get(name).map_or(leading_since, |p| p.heard_at.max(leading_since));
            now - heard_at >= REMOVED_AFTER
        };
        let mut wanted: Members = current.clone();
        // A zone that is silent as a whole is cut off from here, not gone.
        for names in wanted.values_mut().filter(|names| !names.iter().all(is_gone)) {
            names.retain(|name| !is_gone(name));
        }
        let joins =
            |proxy: &HeardProxy| now - proxy.heard_at < SILENCE && now - proxy.first_heard_at >= JOIN_TIME;
        for (name, proxy) in self.proxies.iter().filter(|(_, proxy)| joins(proxy)) {
            wanted.entry(proxy.zone.clone()).or_default().push(name.clone());
        }
        for names in wanted.values_mut() {
            let in_order: BTreeSet<String> = names.drain(..).collect();
            names.extend(in_order);
        }
        wanted
    }

    /// Whether no proxy acts on the membership before the change any more.
    fn is_complete(&self, now: Time, committed: &ProxyMembership) -> bool {
        let Some((_, since)) = self.observed else { return false };
        let has_reported = |name: &String| {
            self.proxies.get(name).is_some_and(|proxy| proxy.membership >= committed.revision)
        };
        now - since >= UNREPORTED_AFTER || committed.current().values().flatten().all(has_reported)
    }
}
