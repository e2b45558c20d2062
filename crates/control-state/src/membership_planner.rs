//! The membership planner: decides when the leader changes the [proxy membership](crate::proxy_membership),
//! by the heartbeats that it receives from proxies.
//!
//! The permit shares of all proxies never sum to more than the total, whatever the network partitions,
//! because:
//!
//! - A proxy uses a membership only if a controller has confirmed within [`MEMBERSHIP_VALIDITY`], by the
//!   proxy's monotonic clock, that it is the newest. A confirmation counts only if it is at most
//!   [`MAX_CONFIRMATION_AGE`] old when the proxy receives it.
//! - A change remains in progress until no proxy uses the membership before it. That holds when every member
//!   before the change has reported that it has held the change for [`MAX_CONFIRMATION_AGE`], since a
//!   process that starts later can get a confirmation of the change only. It also holds when the validity
//!   has expired.
//!
//! Hence all proxies use at most two consecutive memberships within any second, and one of the two is the
//! change in progress. This requires monotonic clocks whose rates differ by at most a few percent.

use std::collections::{BTreeSet, HashMap};

use lynxstair::types::{Span, Time};

use crate::proxy_membership::{Members, ProxyMembership};

/// Time for which a proxy may use a membership after the last confirmation that it is the newest. Longer than
/// most outages of the controllers, during which proxies rely on it. A member that has failed permanently
/// delays a change for longer than this time.
pub const MEMBERSHIP_VALIDITY: Span = Span::from_millis(600_000);
/// Maximum age of a confirmation.
pub const MAX_CONFIRMATION_AGE: Span = Span::from_millis(1_000);
/// A change is complete after this time even without reports from all members. Covers the validity, the age
/// of a confirmation and the difference of clock rates.
const CHANGE_TIMEOUT: Span = Span::from_millis(640_000);
/// Time in which a new leader receives heartbeats from all connected proxies.
const LEADER_SETTLE_TIME: Span = Span::from_millis(2_500);
/// A proxy becomes a member after it has sent heartbeats for this long, so that one change covers proxies
/// that join together.
const JOIN_TIME: Span = Span::from_millis(1_000);
/// A proxy without a heartbeat for this long does not become a member.
const HEARTBEAT_TIMEOUT: Span = Span::from_millis(3_000);
/// A member without a heartbeat for this long is removed. Longer than a restart.
const REMOVAL_TIMEOUT: Span = Span::from_millis(600_000);

/// State of a proxy, from its heartbeats.
#[derive(Debug)]
struct ObservedProxy {
    zone: String,
    /// First heartbeat after the last interruption.
    connected_since: Time,
    last_heartbeat_at: Time,
    /// Newest revision of the membership that the proxy has reported.
    membership_revision: u64,
}

/// Plans membership changes on the leader.
#[derive(Debug, Default)]
pub struct MembershipPlanner {
    proxies: HashMap<String, ObservedProxy>,
    leading_since: Option<Time>,
    /// Revision of the committed membership, and the time at which this leader first observed it.
    observed: Option<(u64, Time)>,
    /// Revision of the change that all members have reported, and the time at which they had.
    reported: Option<(u64, Time)>,
    /// Time from then until the change is complete.
    quota_window: Span,
}

impl MembershipPlanner {
    /// Creates a planner. `quota_window`: time for which usage counts against a quota. Joining proxies get their
    /// parts of quotas that much later than the others have reduced theirs, so that no window holds both.
    pub fn new(quota_window: Span) -> MembershipPlanner {
        MembershipPlanner { quota_window, ..MembershipPlanner::default() }
    }

    /// Records a heartbeat of a proxy. `membership_revision` is the revision of the membership that it has
    /// held for at least [`MAX_CONFIRMATION_AGE`], or 0.
    pub fn on_heartbeat(&mut self, now: Time, node: &str, zone: &str, membership_revision: u64) {
        let proxy = self.proxies.entry(node.to_string()).or_insert_with(|| ObservedProxy {
            zone: String::new(),
            connected_since: now,
            last_heartbeat_at: now,
            membership_revision: 0,
        });
        if now - proxy.last_heartbeat_at > HEARTBEAT_TIMEOUT {
            proxy.connected_since = now;
        }
        proxy.zone = zone.to_string();
        proxy.last_heartbeat_at = now;
        proxy.membership_revision = proxy.membership_revision.max(membership_revision);
    }

    /// Returns the membership that this controller is to propose now, if any. Called a few times per second
    /// with the committed membership.
    pub fn plan(
        &mut self,
        now: Time,
        is_leading: bool,
        committed: &ProxyMembership,
    ) -> Option<ProxyMembership> {
        self.proxies.retain(|_, proxy| now - proxy.last_heartbeat_at < REMOVAL_TIMEOUT);
        if !is_leading {
            (self.leading_since, self.observed, self.reported) = (None, None, None);
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
        let planned_members = self.planned_members(now, leading_since, committed.current());
        (planned_members != *committed.current()).then(|| committed.changed_to(planned_members))
    }

    /// Returns the current members without those to remove, plus the proxies that are to join.
    fn planned_members(&self, now: Time, leading_since: Time, current: &Members) -> Members {
        let is_removable = |name: &String| {
            let last_heartbeat_at =
                self.proxies.get(name).map_or(leading_since, |p| p.last_heartbeat_at.max(leading_since));
            now - last_heartbeat_at >= REMOVAL_TIMEOUT
        };
        let mut planned_members: Members = current.clone();
        // If a whole zone is silent, a network partition is more likely than failures: keep its members.
        for names in planned_members.values_mut().filter(|names| !names.iter().all(is_removable)) {
            names.retain(|name| !is_removable(name));
        }
        let joins = |proxy: &ObservedProxy| {
            now - proxy.last_heartbeat_at < HEARTBEAT_TIMEOUT && now - proxy.connected_since >= JOIN_TIME
        };
        for (name, proxy) in self.proxies.iter().filter(|(_, proxy)| joins(proxy)) {
            planned_members.entry(proxy.zone.clone()).or_default().push(name.clone());
        }
        for names in planned_members.values_mut() {
            let sorted: BTreeSet<String> = names.drain(..).collect();
            names.extend(sorted);
        }
        planned_members
    }

    /// Returns `true` if no proxy uses the membership before the change any more.
    fn is_complete(&mut self, now: Time, committed: &ProxyMembership) -> bool {
        let Some((revision, since)) = self.observed else { return false };
        let has_reported = |name: &String| {
            self.proxies.get(name).is_some_and(|proxy| proxy.membership_revision >= committed.revision)
        };
        if committed.current().values().flatten().all(has_reported) {
            let reported = self.reported.filter(|(r, _)| *r == revision);
            let (_, at) = *self.reported.insert(reported.unwrap_or((revision, now)));
            return now - at >= self.quota_window;
        }
        now - since >= CHANGE_TIMEOUT
    }
}
