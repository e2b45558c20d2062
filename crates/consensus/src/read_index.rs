//! Linearizable reads, and contact with a quorum.
//!
//! A read is answered once a majority has answered a heartbeat round of this leader that began after the read came (read
//! index; Ongaro's thesis, section 6.4). No clock takes part, so a leader that was partitioned off, paused or was
//! deposed meanwhile answers nothing. Quorum contact is weaker and asks for no round: it says that a majority's leader and
//! this node have heard each other a moment ago.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::LogId;

use crate::role::{PendingRead, Role};
use crate::{Action, Consensus, RequestOutcome};

/// A node that has been without two-way contact with a majority for this long counts as isolated.
pub const QUORUM_CONTACT_TIMEOUT: Span = Span::from_millis(500);
/// Reads that arrive within this time after the start of a round wait for the next round together.
pub(crate) const READ_BATCH_INTERVAL: Span = Span::from_millis(4);
/// How many reads may be open at once.
const MAX_OPEN_READS: usize = 4096;

impl Consensus {
    /// Asks to answer for what is committed. Returns the number by which `Action::ReadDone` will tell whether that may
    /// be, or None where this node is not the established leader.
    pub fn request_read(&mut self, now: Time) -> Option<u64> {
        if !self.is_established_leader() {
            return None;
        }
        let number = self.next_request();
        let Role::Leader(leader) = &mut self.role else { return None };
        if leader.reads.len() >= MAX_OPEN_READS {
            return None;
        }
        leader.reads.push_back(PendingRead { number, round: leader.round + 1 });
        if now - leader.round_began_at >= READ_BATCH_INTERVAL {
            self.start_round(now);
        } else {
            leader.round_wanted = true;
        }
        Some(number)
    }

    /// Completes the reads whose round a majority has answered.
    pub(crate) fn complete_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let confirmed = leader.confirmed_round;
        while let Some(read) = leader.reads.pop_front_if(|read| read.round <= confirmed) {
            let outcome = RequestOutcome::Confirmed;
            self.actions.push(Action::ReadDone { number: read.number, outcome });
        }
    }

    /// When it was last certain here that nothing newer than `committed` was committed by others.
    pub fn confirmed_at(&self) -> Option<Time> {
        match &self.role {
            Role::Leader(leader) => self.is_established_leader().then_some(leader.confirmed_at),
            _ => self.confirmed_at,
        }
    }

    /// Whether this node and the leader of a majority have heard each other a moment ago. False soon after this node
    /// was partitioned off, also in one direction, or paused.
    pub fn has_quorum_contact(&self, now: Time) -> bool {
        let at = match &self.role {
            Role::Leader(leader) => self.is_established_leader().then_some(leader.confirmed_at),
            Role::Follower { .. } => self.quorum_contact_at,
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        };
        at.is_some_and(|at| now - at < QUORUM_CONTACT_TIMEOUT)
    }

    /// At that time a leader, confirmed by a quorum, had heard this node, and `committed` was the newest position.
    pub(crate) fn on_leader_confirmed(&mut self, at: Time, committed: LogId) {
        self.quorum_contact_at = self.quorum_contact_at.max(Some(at));
        if self.committed == committed {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }
}
