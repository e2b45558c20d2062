//! Membership changes and graceful shutdown.
//!
//! A new node starts as a learner: it receives the state and counts in no quorum. The leader promotes an
//! up-to-date learner to a voter if there are too few voters or one has to be replaced; the replaced voter
//! is removed in a separate change. Each change adds or removes one member and is committed before the
//! next, so that the majorities before and after have a voter in common (Ongaro's thesis, section 4.1).
//!
//! A voter is replaced if it sends a leave request, or if it is unresponsive while an up-to-date learner is
//! available. If there are more voters than the target number, it is removed without a successor. A voter is
//! also removed if a different disk answers at its address.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{Member, Message, ReplicatedState};

use crate::consensus::Shutdown;
use crate::progress::{PeerContact, Progress};
use crate::replication::HEARTBEAT_INTERVAL;
use crate::role::{LeaderState, Role};
use crate::{Consensus, NodeAddress};

/// Largest number of learners that the leader replicates to.
pub const MAX_LEARNERS: usize = 8;
/// Time without contact after which the leader drops a learner.
const LEARNER_TIMEOUT: Span = Span::from_millis(5_000);
/// Time-out of an unresponsive voter, as a fraction of the catch-up time. The rest of that time is left for
/// its successor to become a voter.
pub(crate) const VOTER_TIMEOUT_FRACTION: f64 = 0.5;
/// A learner is promoted only if it replied within this time.
const PROMOTION_CONTACT_TIMEOUT: Span = Span::from_millis(400);
/// Validity of a leave request. The sender repeats it every `HEARTBEAT_INTERVAL`.
const LEAVE_REQUEST_VALIDITY: Span = Span::from_millis(1_000);
/// Longest time that a node waits for its successor during shutdown.
const LEAVE_TIMEOUT: Span = Span::from_millis(1_500);
/// Shortest time that a node keeps running after the start of its shutdown, so that another node can take
/// over the leadership.
const LEAVE_MIN_DELAY: Span = Span::from_millis(250);

impl Consensus {
    /// Handles a sign of a connection to another node. A leader records it, and adds an unknown node as a
    /// learner, up to [`MAX_LEARNERS`].
    pub fn on_peer_seen(&mut self, now: Time, node: NodeAddress) {
        if node == self.me {
            return;
        }
        let voters = &self.persistent.state.voters;
        let Role::Leader(leader) = &mut self.role else { return };
        let learners = leader.contacts.keys().filter(|n| !voters.iter().any(|m| m.node == **n)).count();
        match leader.contacts.get_mut(&node) {
            Some(contact) => contact.seen_at = now,
            None if learners < MAX_LEARNERS => {
                leader.contacts.insert(node, PeerContact::new(now));
            }
            None => {}
        }
    }

    /// Handles a newly opened connection to another node. A leader sends its newest state again unless it
    /// is acknowledged, as messages on an earlier connection may be lost.
    pub fn on_peer_connected(&mut self, node: NodeAddress) {
        if let Role::Leader(leader) = &mut self.role
            && let Some(contact) = leader.contacts.get_mut(&node)
        {
            contact.sent = None;
        }
    }

    /// Returns the members that have replied to this leader and do not vote. Empty if this node does not
    /// lead.
    pub fn learners(&self) -> Vec<Member> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let is_learner = |m: &&Member| !self.voters().contains(m) && leader.is_current_disk(m);
        leader.progress.keys().filter(is_learner).copied().collect()
    }

    /// Drops expired learners. Then starts the next membership change that is due, if this node is the
    /// established leader, does not shut down and has no uncommitted state.
    pub(crate) fn change_voters(&mut self, now: Time) {
        self.expire_learners(now);
        if !self.is_established_leader() || self.has_uncommitted() || self.shutdown.is_some() {
            return;
        }
        let Role::Leader(leader) = &self.role else { return };
        let Some(next) = self.next_membership(now, leader) else { return };
        self.append_membership(now, next);
    }

    /// Returns the replicated state after the next due membership change, or `None` if no change is due.
    fn next_membership(&self, now: Time, leader: &LeaderState) -> Option<ReplicatedState> {
        let state = &self.persistent.state;
        if let Some(emptied) = self.find_emptied_voter(leader) {
            // The emptied disk has lost its state and its votes, so it must not count in a majority.
            return Some(without_voter(state, emptied));
        }
        if let Some(outgoing) = state.outgoing_voter {
            // A leader that is outgoing transfers its leadership first: without a vote it would still count
            // itself.
            return (outgoing != self.own_member()).then(|| without_voter(state, outgoing));
        }
        if state.voters.len() > self.target_voters {
            return self.find_replaceable_voter(now, leader).map(|removed| without_voter(state, removed));
        }
        let learner = self.find_promotable_learner(now, leader)?;
        let mut next = state.clone();
        if state.voters.len() == self.target_voters {
            // Stored with the state, so that a new leader can remove the outgoing voter without waiting for
            // its time-out. Until then there is one voter too many, and a majority may need one more vote.
            next.outgoing_voter = Some(self.find_replaceable_voter(now, leader)?);
        }
        next.voters.push(learner);
        next.voters.sort();
        #[cfg(feature = "deliberate-faults")]
        if self.has_fault(crate::Fault::VoterReplacedInOneChange)
            && let Some(outgoing) = next.outgoing_voter
        {
            next = without_voter(&next, outgoing);
        }
        Some(next)
    }

    /// Returns another voter that has requested to leave, or else one that is unresponsive.
    fn find_replaceable_voter(&self, now: Time, leader: &LeaderState) -> Option<Member> {
        let others = self.other_voters();
        let is_leaving_voter = |m: &&Member| leader.progress.get(m).is_some_and(|p| is_leaving(now, p));
        let has_timed_out = |p: &Progress| now - p.last_contact_at > self.voter_timeout;
        let is_unresponsive = |m: &&Member| leader.progress.get(m).is_none_or(has_timed_out);
        others.iter().find(is_leaving_voter).or_else(|| others.iter().find(is_unresponsive)).copied()
    }

    fn append_membership(&mut self, now: Time, state: ReplicatedState) {
        self.append_state(now, state);
        let others = self.other_voters();
        if let Role::Leader(leader) = &mut self.role {
            for member in others {
                leader.contacts.entry(member.node).or_insert_with(|| PeerContact::new(now));
                leader.progress.entry(member).or_insert_with(|| Progress::new(now));
            }
        }
        self.advance_commit(now);
        self.start_round(now);
    }

    /// Returns a learner that is up to date, responsive and not leaving, if there is one.
    fn find_promotable_learner(&self, now: Time, leader: &LeaderState) -> Option<Member> {
        let is_promotable = |(m, p): &(&Member, &Progress)| {
            !self.voters().iter().any(|v| v.node == m.node)
                && leader.is_current_disk(m)
                && p.stored == self.committed
                && now - p.last_contact_at < PROMOTION_CONTACT_TIMEOUT
                && !is_leaving(now, p)
        };
        leader.progress.iter().find(is_promotable).map(|(m, _)| *m)
    }

    /// Returns a voter at whose address a different disk answers, which means that its own disk was emptied.
    fn find_emptied_voter(&self, leader: &LeaderState) -> Option<Member> {
        let has_other_disk = |m: &&Member| leader.current_disk(m.node).is_some_and(|(disk, _)| disk != *m);
        self.voters().iter().find(has_other_disk).copied()
    }

    fn expire_learners(&mut self, now: Time) {
        let voters = &self.persistent.state.voters;
        let Role::Leader(leader) = &mut self.role else { return };
        let is_voter_address = |node: &NodeAddress| voters.iter().any(|m| m.node == *node);
        leader.contacts.retain(|node, c| is_voter_address(node) || now - c.seen_at < LEARNER_TIMEOUT);
        let contacts = &leader.contacts;
        leader.progress.retain(|m, _| contacts.contains_key(&m.node));
        // Drops disks that have been superseded by another one at the same address, except voters.
        let newest: Vec<Member> =
            contacts.keys().filter_map(|node| leader.current_disk(*node).map(|(m, _)| *m)).collect();
        leader.progress.retain(|m, _| voters.contains(m) || newest.contains(m));
    }

    // ---- graceful shutdown ----

    /// Starts a graceful shutdown: transfers leadership if this node leads, then requests a replacement.
    pub fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.is_none() {
            let last_request_at = now.saturating_sub(HEARTBEAT_INTERVAL);
            self.shutdown = Some(Shutdown { began_at: now, last_request_at });
            self.transfer_leadership(now);
            self.send_leave_request(now);
        }
    }

    /// Returns `true` if the process may exit: the node has been replaced and does not lead, after at least
    /// `LEAVE_MIN_DELAY`, or `LEAVE_TIMEOUT` has passed.
    pub fn may_shut_down(&self, now: Time) -> bool {
        let Some(Shutdown { began_at, .. }) = self.shutdown else { return false };
        let leads = matches!(&self.role, Role::Leader(_)) && !self.other_voters().is_empty();
        let is_replaced = self.committed == self.persistent.last && !self.is_voter() && !leads;
        is_replaced && now - began_at >= LEAVE_MIN_DELAY || now - began_at >= LEAVE_TIMEOUT
    }

    pub(crate) fn send_leave_request(&mut self, now: Time) {
        let Role::Follower { leader, .. } = &self.role else { return };
        let (leader, Some(shutdown)) = (*leader, self.shutdown) else { return };
        if now - shutdown.last_request_at < HEARTBEAT_INTERVAL {
            return;
        }
        self.shutdown = Some(Shutdown { last_request_at: now, ..shutdown });
        if let Some(leader) = leader {
            self.send(leader, Message::LeaveRequest { disk: self.persistent.disk });
        }
    }

    pub(crate) fn handle_leave_request(&mut self, now: Time, from: Member) {
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(progress) = leader.progress.get_mut(&from) {
            progress.leave_requested_at = Some(now);
            self.change_voters(now);
        }
    }
}

impl LeaderState {
    /// Returns `true` if this disk is the one that currently answers at its address.
    fn is_current_disk(&self, member: &Member) -> bool {
        self.current_disk(member.node).is_some_and(|(disk, _)| disk == member)
    }
}

fn without_voter(state: &ReplicatedState, removed: Member) -> ReplicatedState {
    let mut next = state.clone();
    next.voters.retain(|m| *m != removed);
    next.outgoing_voter = next.outgoing_voter.filter(|m| *m != removed);
    next
}

fn is_leaving(now: Time, progress: &Progress) -> bool {
    progress.leave_requested_at.is_some_and(|at| now - at < LEAVE_REQUEST_VALIDITY)
}
