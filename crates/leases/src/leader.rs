//! Volatile state of the leader: lease expirations and requests that wait for a quorum. None of it is
//! replicated. A new leader does not know the remaining time of a lease and waits a full lease duration
//! before it grants the duty to another member.

mod requests;
mod voter_change;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};

use crate::message::Request;
use crate::table::Lease;
use voter_change::Replacement;
pub(crate) use voter_change::VoterChange;

/// Maximum number of pending reads, and of pending commands. Further requests are dropped and retried by the
/// sender.
const MAX_PENDING: usize = 1_024;
/// Maximum number of claims by the current owner without a renewal that are answered. More of them show
/// that the responses do not reach the owner.
const MAX_UNRENEWED_CLAIMS: u32 = 3;
/// Time for which a member that does not receive responses is granted no duty; doubled from the second time
/// on.
const UNREACHABLE_PENALTY: Span = Span::from_millis(4_000);
const MAX_PENALTY_LEVEL: u32 = 2;
/// Maximum number of addresses that are kept to notify members of changes to duties.
const MAX_KNOWN_CALLERS: usize = 256;

/// Sender of a request, to which the response goes.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    addr: SocketAddrV4,
    name: String,
    /// Number of the request, repeated in the response.
    number: u64,
    received_at: Time,
}

/// Time during which a member that did not receive responses is granted no duty.
struct Penalty {
    until: Time,
    level: u32,
}

/// A read for which a quorum has confirmed the leadership. It is answered once `index` is applied.
struct ConfirmedRead {
    index: u64,
    caller: Caller,
    request: Request,
}

/// State that a voter keeps for one term as leader.
pub(crate) struct LeaderState {
    /// Raft term of the leadership.
    pub term: u64,
    elected_at: Time,
    /// Latest possible expiration of the owner's lease, by duty.
    lease_expirations: BTreeMap<String, Time>,
    /// Time of the last release, by duty.
    released_at: BTreeMap<String, Time>,
    /// Reads for which a quorum has not confirmed the leadership yet (Raft, section 8).
    pending_reads: BTreeMap<u64, (Caller, Request)>,
    confirmed_reads: Vec<ConfirmedRead>,
    pending_commands: BTreeMap<u64, Caller>,
    /// Duties with a proposed grant that is not applied yet. It is applied, or this voter loses its
    /// leadership.
    pending_grants: BTreeSet<String>,
    replacement: Option<Replacement>,
    /// Time of the first hello from a voter that has a new identity and no table, by name. Updated when a
    /// change of voters is proposed for it.
    rejoining_since: BTreeMap<String, Time>,
    /// Claims by the current owner since its last renewal, by duty.
    unrenewed_claims: BTreeMap<String, u32>,
    /// Penalties by member.
    penalties: BTreeMap<String, Penalty>,
    /// Source address of the requests, by duty and member.
    known_callers: BTreeMap<(String, String), SocketAddrV4>,
    last_key: u64,
}

impl LeaderState {
    /// Creates the state of a newly elected leader.
    pub fn new(now: Time, term: u64) -> Self {
        LeaderState {
            term,
            elected_at: now,
            lease_expirations: BTreeMap::new(),
            released_at: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            confirmed_reads: Vec::new(),
            pending_commands: BTreeMap::new(),
            pending_grants: BTreeSet::new(),
            replacement: None,
            rejoining_since: BTreeMap::new(),
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

    /// Returns `true` if the duty may be granted to the member `name` now. `lease_time` is the lease
    /// duration.
    fn may_grant(&self, now: Time, lease_time: Span, lease: Option<&Lease>, duty: &str, name: &str) -> bool {
        if self.penalties.get(name).is_some_and(|penalty| now < penalty.until) {
            return false;
        }
        let Some(lease) = lease else { return true };
        match &lease.owner {
            // Another incarnation of the owner: the previous process has ended.
            Some(owner) if owner.name == name => true,
            Some(_) => {
                let expires_at =
                    self.lease_expirations.get(duty).copied().unwrap_or(self.elected_at + lease_time);
                now >= expires_at
            }
            None => {
                // For a lease duration after the release, only the target of a hand-over may claim a
                // reserved duty, and a deposed member may not claim it.
                let released_at = self.released_at.get(duty).copied().unwrap_or(self.elected_at);
                let is_preferred = lease.reserved_for.as_ref().is_none_or(|reserved| reserved == name);
                let is_deposed = lease.deposed_member.as_deref() == Some(name);
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

    /// Counts a claim by the current owner. Returns `false` if the owner has claimed too often without a
    /// renewal: the leader then does not respond, so that the lease expires, and grants the member no duty
    /// for some time.
    fn count_claim_by_owner(&mut self, now: Time, duty: &str, name: &str) -> bool {
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
