//! Linearizable reads, and the check for quorum contact.
//!
//! A read completes once a majority has answered a heartbeat round of this leader that started after the
//! read arrived (ReadIndex; Ongaro's thesis, section 6.4). It does not depend on clocks, so a leader that
//! was partitioned, paused or deposed in the meantime serves no stale read. Quorum contact is weaker and
//! needs no extra round: this node and the leader of a majority exchanged messages within
//! [`QUORUM_CONTACT_TIMEOUT`].

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::LogId;

use crate::role::{PendingRead, Role};
use crate::{Action, Consensus, RequestOutcome};

/// Time without quorum contact after which a node counts as isolated.
pub const QUORUM_CONTACT_TIMEOUT: Span = Span::from_millis(500);
/// Shortest interval between two rounds for reads. Reads that arrive within it share the next round.
pub(crate) const READ_BATCH_INTERVAL: Span = Span::from_millis(4);
/// Largest number of pending reads.
const MAX_PENDING_READS: usize = 4096;

impl Consensus {
    /// Starts a linearizable read. Returns the number that `Action::ReadDone` will carry, or `None` if this
    /// node is not the established leader or has `MAX_PENDING_READS` pending reads.
    pub fn request_read(&mut self, now: Time) -> Option<u64> {
        if !self.is_established_leader() {
            return None;
        }
        let number = self.next_request();
        let Role::Leader(leader) = &mut self.role else { return None };
        if leader.reads.len() >= MAX_PENDING_READS {
            return None;
        }
        leader.reads.push_back(PendingRead { number, round: leader.round + 1 });
        if now - leader.round_began_at >= READ_BATCH_INTERVAL {
            self.start_round(now);
        } else {
            leader.round_requested = true;
        }
        Some(number)
    }

    /// Completes the reads whose round is answered by a majority.
    pub(crate) fn complete_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let confirmed = leader.confirmed_round;
        while let Some(read) = leader.reads.pop_front_if(|read| read.round <= confirmed) {
            let outcome = RequestOutcome::Confirmed;
            self.actions.push(Action::ReadDone { number: read.number, outcome });
        }
    }

    /// Returns the latest time at which this node's committed position was confirmed to be the newest one.
    pub fn confirmed_at(&self) -> Option<Time> {
        match &self.role {
            Role::Leader(leader) => self.is_established_leader().then_some(leader.confirmed_at),
            _ => self.confirmed_at,
        }
    }

    /// Returns `true` if, within [`QUORUM_CONTACT_TIMEOUT`], this node was confirmed as leader by a
    /// majority or exchanged messages with a leader that was. Becomes `false` after that time if the node
    /// is partitioned, even in one direction only, or after a pause.
    pub fn has_quorum_contact(&self, now: Time) -> bool {
        let at = match &self.role {
            Role::Leader(leader) => self.is_established_leader().then_some(leader.confirmed_at),
            Role::Follower { .. } => self.quorum_contact_at,
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        };
        at.is_some_and(|at| now - at < QUORUM_CONTACT_TIMEOUT)
    }

    /// Records that at time `at` a leader that has received a reply of this node was confirmed by a quorum,
    /// with `committed` as the newest committed position.
    pub(crate) fn on_leader_confirmed(&mut self, at: Time, committed: LogId) {
        self.quorum_contact_at = self.quorum_contact_at.max(Some(at));
        if self.committed == committed {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }
}
