//! The proxy membership: which proxies share what may be spent in whole units only, such as the requests that a worker
//! bears while it warms up. It is part of the replicated state, so that a proxy that restarts knows its part as soon as it
//! has a configuration, and nobody's part depends on who was heard lately.
//!
//! A change goes through both sets of members, as in joint consensus: while there is a next one, a proxy takes the smaller
//! of its two parts. Proxies that have not heard of the change yet and proxies that have then add up to no more than one
//! whole, and so do these and proxies that hold the next set alone. [`crate::membership_planner`] says how long both have
//! to stand.

use std::collections::BTreeMap;

use lynxstair_protocol::digest;
use serde::{Deserialize, Serialize};

/// The names of the proxies' machines, in order, by zone.
pub type Members = BTreeMap<String, Vec<String>>;

/// The proxies of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyMembership {
    /// The revision of the replicated state that changed it last.
    pub revision: u64,
    current: Members,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    next: Option<Members>,
}

impl ProxyMembership {
    /// Members without a change under way.
    pub fn new(revision: u64, current: Members) -> ProxyMembership {
        ProxyMembership { revision, current: in_order(current), next: None }
    }

    /// Whether there are no members yet.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty()
    }

    /// The members; while a change is under way, those before it.
    pub fn current(&self) -> &Members {
        &self.current
    }

    /// Whether a change is under way.
    pub fn is_changing(&self) -> bool {
        self.next.is_some()
    }

    /// These members with a change to others under way. Where there are none yet, the others are members at once.
    pub fn changed_to(&self, members: Members) -> ProxyMembership {
        if self.is_empty() {
            return ProxyMembership::new(self.revision, members);
        }
        ProxyMembership { next: Some(in_order(members)), ..self.clone() }
    }

    /// The members after the change that is under way.
    pub fn completed(&self) -> ProxyMembership {
        let current = self.next.clone().unwrap_or_else(|| self.current.clone());
        ProxyMembership { revision: self.revision, current, next: None }
    }
}

fn in_order(mut members: Members) -> Members {
    for names in members.values_mut() {
        names.sort();
        names.dedup();
    }
    members.retain(|_, names| !names.is_empty());
    members
}

/// Of the permits for an item, this fraction goes to members of other zones than the item's.
const REMOTE_FRACTION: f64 = 0.25;

/// What one member has of a number of permits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PermitShare {
    /// Whole permits; those of all members add up to the total at the most.
    pub permits: u32,
    /// Of how many: those of the item's own zone have most, all others together the rest.
    pub group_total: u32,
    /// Where this member stands among those that have any, from 0 to 1: so that they need not all begin at once.
    pub start_offset: f64,
}

/// How permits are split, as one member sees it.
#[derive(Clone, Debug, Default)]
pub struct PermitSplit {
    zone: String,
    current: Option<MemberKeys>,
    next: Option<MemberKeys>,
}

impl PermitSplit {
    /// The split for the proxy on machine `node` in a zone.
    pub fn new(membership: &ProxyMembership, zone: &str, node: &str) -> PermitSplit {
        let keys = |members: &Members| MemberKeys::new(members, zone, node);
        PermitSplit {
            zone: zone.to_string(),
            current: Some(keys(&membership.current)),
            next: membership.next.as_ref().map(keys),
        }
    }

    /// This member's part of `total` permits for an item of a zone, by the item's name. Which members have one more than
    /// others, or any, differs from item to item.
    pub fn share(&self, zone: &str, item: &str, total: u32) -> PermitShare {
        let item = key_of(item);
        let part = |keys: &MemberKeys| {
            if zone == self.zone { keys.local_part(item, total) } else { keys.remote_part(zone, item, total) }
        };
        let current = self.current.as_ref().map_or(PermitShare::default(), part);
        let next = self.next.as_ref().map_or(current, part);
        if next.permits < current.permits { next } else { current }
    }
}

/// One set of members, prepared for rendezvous hashing: an item draws an order of the members, of which the first have one
/// permit more than the others. A member that joins or leaves moves no more than its own part.
#[derive(Clone, Debug)]
struct MemberKeys {
    zones: BTreeMap<String, Vec<u64>>,
    own_zone: String,
    /// The place of this member in its zone; None where it is none.
    own: Option<usize>,
}

impl MemberKeys {
    fn new(members: &Members, zone: &str, node: &str) -> MemberKeys {
        let own = members.get(zone).and_then(|names| names.iter().position(|name| name == node));
        let keys = |names: &Vec<String>| names.iter().map(|name| key_of(name)).collect();
        MemberKeys {
            zones: members.iter().map(|(zone, names)| (zone.clone(), keys(names))).collect(),
            own_zone: zone.to_string(),
            own,
        }
    }

    /// How many of the permits go to members of other zones than the item's: none where there are no others.
    fn remote_total(&self, zone: &str, total: u32) -> u32 {
        let has_others = self.zones.keys().any(|other| other != zone);
        if has_others { (f64::from(total) * REMOTE_FRACTION) as u32 } else { 0 }
    }

    fn local_part(&self, item: u64, total: u32) -> PermitShare {
        let total = total - self.remote_total(&self.own_zone, total);
        self.part_among(item, total, |zone| zone == self.own_zone)
    }

    fn remote_part(&self, item_zone: &str, item: u64, total: u32) -> PermitShare {
        self.part_among(item, self.remote_total(item_zone, total), |zone| zone != item_zone)
    }

    /// The part of this member among those of some zones.
    fn part_among(&self, item: u64, total: u32, is_among: impl Fn(&str) -> bool) -> PermitShare {
        let Some(own) = self.own else { return PermitShare::default() };
        let Some(own_key) = self.zones.get(&self.own_zone).and_then(|keys| keys.get(own)) else {
            return PermitShare::default();
        };
        let own_rank = (rank(item, *own_key), &self.own_zone, own);
        let (mut count, mut position) = (0, 0);
        for (zone, keys) in self.zones.iter().filter(|(zone, _)| is_among(zone)) {
            count += keys.len();
            let is_before = |(place, key): &(usize, &u64)| (rank(item, **key), zone, *place) < own_rank;
            position += keys.iter().enumerate().filter(is_before).count();
        }
        let (each, more) = (total as usize / count.max(1), total as usize % count.max(1));
        let holders = if each > 0 { count } else { more };
        let permits = (each + usize::from(position < more)) as u32;
        PermitShare {
            permits,
            group_total: total,
            start_offset: if permits > 0 { position as f64 / holders as f64 } else { 0.0 },
        }
    }
}

/// The same in every build: all members have to agree on it.
fn key_of(name: &str) -> u64 {
    digest::of([name.as_bytes()]).iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte))
}

/// A member's place for an item: both keys mixed by the finalizer of SplitMix64.
fn rank(item: u64, member: u64) -> u64 {
    let mut mixed = item ^ member;
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}
