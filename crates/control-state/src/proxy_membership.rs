//! The proxy membership: the set of proxies among which permits are split, such as those for requests to a
//! worker that is warming up. It is part of the replicated state, so that a restarted proxy can compute its
//! share as soon as it has a configuration, and shares do not depend on which proxies are currently
//! connected.
//!
//! A change uses a joint membership, as in joint consensus: while it is in progress, a proxy uses the
//! smaller of its shares under the current and the next members. The shares of proxies before and in the
//! change never sum to more than the total, nor do those of proxies in and after it.
//! [`crate::membership_planner`] decides when a change is complete.

use std::collections::BTreeMap;

use lynxstair_protocol::digest;
use serde::{Deserialize, Serialize};

/// Sorted node names of the proxies, by zone.
pub type Members = BTreeMap<String, Vec<String>>;

/// The members in all zones, with a change that may be in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyMembership {
    /// Revision of the replicated state that last changed the membership.
    pub revision: u64,
    current: Members,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    next: Option<Members>,
    /// Largest number of members so far, if it was larger than that of the current ones; otherwise 0.
    #[serde(default, skip_serializing_if = "is_zero")]
    largest: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn count(members: &Members) -> u32 {
    members.values().map(Vec::len).sum::<usize>() as u32
}

impl ProxyMembership {
    /// Creates a membership without a change in progress.
    pub fn new(revision: u64, current: Members) -> ProxyMembership {
        ProxyMembership { revision, current: sorted(current), next: None, largest: 0 }
    }

    /// Returns `true` if there are no members yet.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// The current members; during a change, those before it.
    pub fn current(&self) -> &Members {
        &self.current
    }

    /// Returns `true` if a change is in progress.
    pub fn is_changing(&self) -> bool {
        self.next.is_some()
    }

    /// Returns this membership with a change to `members` in progress. If it is empty, they become members
    /// at once.
    pub fn changed_to(&self, members: Members) -> ProxyMembership {
        if self.is_empty() {
            return ProxyMembership::new(self.revision, members);
        }
        ProxyMembership { next: Some(sorted(members)), ..self.clone() }
    }

    /// Returns the membership after the change in progress.
    pub fn completed(&self) -> ProxyMembership {
        let current = self.next.clone().unwrap_or_else(|| self.current.clone());
        let largest = self.largest.max(count(&self.current));
        let largest = if largest > count(&current) { largest } else { 0 };
        ProxyMembership { revision: self.revision, current, next: None, largest }
    }

    /// Returns `true` if the proxy is a member, before or after a change in progress.
    pub fn contains(&self, node: &str) -> bool {
        self.names().any(|name| name == node)
    }

    /// Returns the names of all members, before and after a change in progress. Some may come twice.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.current.values().chain(self.next.iter().flat_map(BTreeMap::values)).flatten()
    }

    /// Returns the number of members over which quotas are split, before and after a change in progress. It
    /// never decreases, so that a member's part never increases.
    pub fn quota_counts(&self) -> (u32, u32) {
        let before = self.largest.max(count(&self.current));
        (before, self.next.as_ref().map_or(before, |next| before.max(count(next))))
    }
}

fn sorted(mut members: Members) -> Members {
    for names in members.values_mut() {
        names.sort();
        names.dedup();
    }
    members.retain(|_, names| !names.is_empty());
    members
}

/// Fraction of the permits for a worker that goes to members in other zones.
const REMOTE_FRACTION: f64 = 0.25;

/// One member's share of the permits for a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PermitShare {
    /// Number of permits of this member. Those of all members never sum to more than the total.
    pub permits: u32,
    /// Number of permits of this member's group: the members in the worker's zone, or all others together.
    pub group_total: u32,
    /// Rank of this member among those with permits, from 0 to below 1, so that they can start at different
    /// times.
    pub start_offset: f64,
}

/// Computes the permit shares of one member.
#[derive(Clone, Debug, Default)]
pub struct PermitSplit {
    zone: String,
    current: Option<MemberKeys>,
    next: Option<MemberKeys>,
}

impl PermitSplit {
    /// Creates the split for the proxy `node` in a zone.
    pub fn new(membership: &ProxyMembership, zone: &str, node: &str) -> PermitSplit {
        let keys = |members: &Members| MemberKeys::new(members, zone, node);
        PermitSplit {
            zone: zone.to_string(),
            current: Some(keys(&membership.current)),
            next: membership.next.as_ref().map(keys),
        }
    }

    /// Returns this member's share of `total` permits for the worker instance `worker` in `zone`. Permits
    /// that cannot be split evenly go to different members for different workers.
    pub fn share(&self, zone: &str, worker: &str, total: u32) -> PermitShare {
        let worker = key_of(worker);
        let share = |keys: &MemberKeys| {
            if zone == self.zone {
                keys.local_share(worker, total)
            } else {
                keys.remote_share(zone, worker, total)
            }
        };
        let current = self.current.as_ref().map_or(PermitShare::default(), share);
        let next = self.next.as_ref().map_or(current, share);
        if next.permits < current.permits { next } else { current }
    }

    /// Returns this member's number of `total` units for `object`, split over the members of all zones.
    pub fn units(&self, object: &str, total: u32) -> u32 {
        let object = key_of(object);
        let units = |keys: &MemberKeys| keys.share_among(object, total, |_| true).permits;
        let current = self.current.as_ref().map_or(0, units);
        self.next.as_ref().map_or(current, units).min(current)
    }
}

/// A set of members, prepared for rendezvous hashing: the worker's key ranks the members, and those ranked
/// first get one permit more than the others. A member that joins or leaves does not change the order of the
/// others.
#[derive(Clone, Debug)]
struct MemberKeys {
    zones: BTreeMap<String, Vec<u64>>,
    own_zone: String,
    /// Index of this member in its zone; `None` if it is not a member.
    own_index: Option<usize>,
}

impl MemberKeys {
    fn new(members: &Members, zone: &str, node: &str) -> MemberKeys {
        let own_index = members.get(zone).and_then(|names| names.iter().position(|name| name == node));
        let keys = |names: &Vec<String>| names.iter().map(|name| key_of(name)).collect();
        MemberKeys {
            zones: members.iter().map(|(zone, names)| (zone.clone(), keys(names))).collect(),
            own_zone: zone.to_string(),
            own_index,
        }
    }

    /// Returns the number of permits for members outside `zone`; 0 if there are none.
    fn remote_total(&self, zone: &str, total: u32) -> u32 {
        let has_others = self.zones.keys().any(|other| other != zone);
        if has_others { (f64::from(total) * REMOTE_FRACTION) as u32 } else { 0 }
    }

    fn local_share(&self, worker: u64, total: u32) -> PermitShare {
        let total = total - self.remote_total(&self.own_zone, total);
        self.share_among(worker, total, |zone| zone == self.own_zone)
    }

    fn remote_share(&self, worker_zone: &str, worker: u64, total: u32) -> PermitShare {
        self.share_among(worker, self.remote_total(worker_zone, total), |zone| zone != worker_zone)
    }

    /// Returns this member's share of `total` permits among the members in the zones accepted by `is_among`.
    fn share_among(&self, worker: u64, total: u32, is_among: impl Fn(&str) -> bool) -> PermitShare {
        let Some(own_index) = self.own_index else { return PermitShare::default() };
        let Some(own_key) = self.zones.get(&self.own_zone).and_then(|keys| keys.get(own_index)) else {
            return PermitShare::default();
        };
        let own_rank = (rank(worker, *own_key), &self.own_zone, own_index);
        let (mut count, mut position) = (0, 0);
        for (zone, keys) in self.zones.iter().filter(|(zone, _)| is_among(zone)) {
            count += keys.len();
            let is_before = |(index, key): &(usize, &u64)| (rank(worker, **key), zone, *index) < own_rank;
            position += keys.iter().enumerate().filter(is_before).count();
        }
        let (each, remainder) = (total as usize / count.max(1), total as usize % count.max(1));
        let holders = if each > 0 { count } else { remainder };
        let permits = (each + usize::from(position < remainder)) as u32;
        PermitShare {
            permits,
            group_total: total,
            start_offset: if permits > 0 { position as f64 / holders as f64 } else { 0.0 },
        }
    }
}

/// Hashes a name. Must be the same in every build, as all members have to compute the same ranks.
fn key_of(name: &str) -> u64 {
    digest::of([name.as_bytes()]).iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte))
}

/// Rendezvous weight of a member for a worker: both keys mixed by the finalizer of SplitMix64.
fn rank(worker: u64, member: u64) -> u64 {
    let mut mixed = worker ^ member;
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}
