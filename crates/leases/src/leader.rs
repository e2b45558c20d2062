//! What a voter keeps while it leads: leases, and requests that wait for a majority. None of it is replicated;
//! the next leader waits a whole lease instead.

mod requests;
mod voter_change;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};

use crate::message::Request;
use crate::table::Lease;
use voter_change::Replacement;
pub(crate) use voter_change::VoterChange;

/// Most requests that wait for a majority, of each kind. A further one is dropped; its sender repeats it.
const MAX_PENDING: usize = 1_024;
/// So many claims by the owner itself without a renewal show that the responses do not reach it.
const MAX_UNRENEWED_CLAIMS: u32 = 3;
/// For so long a member that responses do not reach gets no duty, doubled the second time.
const UNREACHABLE_PENALTY: Span = Span::from_millis(4_000);
const MAX_PENALTY_LEVEL: u32 = 2;
/// Most members whose addresses are known, to be told that a duty changed.
const MAX_KNOWN_CALLERS: usize = 256;

/// Who sent a request, and where the response goes.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    addr: SocketAddrV4,
    name: String,
    number: u64,
    since: Time,
}

/// A member that responses did not reach.
struct Penalty {
    until: Time,
    level: u32,
}

/// A read that a majority has confirmed; it is answered once `index` is applied.
struct ConfirmedRead {
    index: u64,
    caller: Caller,
    request: Request,
}

/// The state of a leader.
pub(crate) struct LeaderState {
    /// The term it leads in.
    pub term: u64,
    since: Time,
    /// By duty: until when the owner may hold itself for confirmed, at the latest.
    leases: BTreeMap<String, Time>,
    /// By duty: when its last owner released it.
    released: BTreeMap<String, Time>,
    /// Reads that wait for a majority to confirm that this voter leads (Raft, section 8).
    pending_reads: BTreeMap<u64, (Caller, Request)>,
    confirmed_reads: Vec<ConfirmedRead>,
    pending_commands: BTreeMap<u64, Caller>,
    /// Duties with a grant in the log that is not applied yet. It will be, or this voter leads no more.
    pending_grants: BTreeSet<String>,
    replacement: Option<Replacement>,
    /// By name: since when a voter has been heard that has another identity and no table.
    rejoining: BTreeMap<String, Time>,
    /// By duty: claims by the owner itself since it last renewed.
    unrenewed_claims: BTreeMap<String, u32>,
    /// By member.
    penalties: BTreeMap<String, Penalty>,
    /// By duty and member: where its requests come from.
    known_callers: BTreeMap<(String, String), SocketAddrV4>,
    last_key: u64,
}

impl LeaderState {
    /// A leader that has just been elected.
    pub fn new(now: Time, term: u64) -> Self {
        LeaderState {
            term,
            since: now,
            leases: BTreeMap::new(),
            released: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            pending_commands: BTreeMap::new(),
            pending_grants: BTreeSet::new(),
            replacement: None,
            rejoining: BTreeMap::new(),
            unrenewed_claims: BTreeMap::new(),
            penalties: BTreeMap::new(),
            known_callers: BTreeMap::new(),
            last_key: 0,
        }
    }

    fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }

    /// Whether this member may have the duty now. `lease_time`: how long a lease lasts.
    fn may_grant(&self, now: Time, lease_time: Span, lease: Option<&Lease>, duty: &str, name: &str) -> bool {
        if self.penalties.get(name).is_some_and(|penalty| now < penalty.until) {
            return false;
        }
        let Some(lease) = lease else { return true };
        match &lease.owner {
            // Another start of the owner's process: the one before is gone.
            Some(owner) if owner.name == name => true,
            Some(_) => {
                let expires_at = self.leases.get(duty).copied().unwrap_or(self.since + lease_time);
                now >= expires_at
            }
            None => {
                // A member that the duty is reserved for has a lease's time to claim it, and the one that was
                // deposed waits as long.
                let released_at = self.released.get(duty).copied().unwrap_or(self.since);
                let is_preferred = lease.reserved_for.as_ref().is_none_or(|reserved| reserved == name);
                let is_deposed = lease.deposed.as_deref() == Some(name);
                is_preferred && !is_deposed || now >= released_at + lease_time
            }
        }
    }

    fn remember_caller(&mut self, duty: &str, name: &str, addr: SocketAddrV4) {
        let key = (duty.to_string(), name.to_string());
        if self.known_callers.len() < MAX_KNOWN_CALLERS || self.known_callers.contains_key(&key) {
            self.known_callers.insert(key, addr);
        }
    }

    /// The owner claims its duty again. Returns whether to respond: not where it has done so too often, since
    /// responses do not reach it; then it is passed over for some time, and its lease runs out.
    fn note_claim_by_owner(&mut self, now: Time, duty: &str, name: &str) -> bool {
        let claims = self.unrenewed_claims.entry(duty.to_string()).or_default();
        *claims += 1;
        if *claims <= MAX_UNRENEWED_CLAIMS {
            return true;
        }
        let penalty = self.penalties.entry(name.to_string()).or_insert(Penalty { until: now, level: 0 });
        if now >= penalty.until {
            penalty.level = (penalty.level + 1).min(MAX_PENALTY_LEVEL);
            let factor = 1 << (penalty.level - 1);
            penalty.until = now + UNREACHABLE_PENALTY.times(f64::from(factor));
        }
        false
    }
}
