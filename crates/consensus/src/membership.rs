//! Membership: who votes. A newcomer is a learner: it receives what is stored and counts for nothing. The leader promotes
//! it to a voter once it holds everything and there is a place for it; whoever it replaces is removed in a change of its
//! own. Each change concerns one disk and is committed before the next, so that the majorities before and after have a
//! voter in common (Ongaro's thesis, section 4.1).
//!
//! Nobody tells who is gone for good. It is concluded: from a leave request, as far as the one that shuts down can send it;
//! from silence while a learner that holds everything waits; from another disk that answers at a voter's address.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{Member, Message, ReplicatedState};

use crate::consensus::Shutdown;
use crate::progress::{PeerContact, Progress};
use crate::replication::HEARTBEAT_INTERVAL;
use crate::role::{LeaderState, Role};
use crate::{Consensus, NodeAddress};

/// The leader sends to no more learners than this.
pub const MAX_LEARNERS: usize = 8;
/// A learner that has not been seen for this long is dropped.
const LEARNER_TIMEOUT: Span = Span::from_millis(5_000);
/// A voter that is silent for this part of the time in which a returned machine still counts as lost is replaced where a
/// learner waits: its successor has to hold everything before that time is over.
pub(crate) const VOTER_TIMEOUT_PART: f64 = 0.5;
/// A learner is promoted only if it was heard within this time.
const PROMOTION_CONTACT: Span = Span::from_millis(400);
/// How long a leave request is valid. The sender repeats it each round.
const LEAVE_REQUEST_VALIDITY: Span = Span::from_millis(1_000);
/// The longest that a node that is shutting down waits for its successor.
const LEAVE_TIMEOUT: Span = Span::from_millis(1_500);
/// The shortest time that it stays after a leadership transfer, or if no learner waits, so that another node leads by
/// then.
const LEAVE_MIN_DELAY: Span = Span::from_millis(250);

impl Consensus {
    /// A node has been seen, by its connection: where it is no voter, the leader sends to it from now on.
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
                leader.contacts.insert(node, PeerContact::seen(now));
            }
            None => {}
        }
    }

    /// A connection to another node was opened: what went over an earlier one may be lost.
    pub fn on_peer_connected(&mut self, node: NodeAddress) {
        if let Role::Leader(leader) = &mut self.role
            && let Some(contact) = leader.contacts.get_mut(&node)
        {
            contact.sent = None;
        }
    }

    /// The members that hold copies and do not vote, as far as this leader knows.
    pub fn learners(&self) -> Vec<Member> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let is_learner = |m: &&Member| !self.voters().contains(m) && leader.is_current_disk(m);
        leader.progress.keys().filter(is_learner).copied().collect()
    }

    /// A leader brings the voters one change nearer to what they should be, where nothing is uncommitted.
    pub(crate) fn change_voters(&mut self, now: Time) {
        self.expire_learners(now);
        if !self.is_established_leader() || self.has_uncommitted() || self.shutdown.is_some() {
            return;
        }
        let Role::Leader(leader) = &self.role else { return };
        let Some(next) = self.next_membership(now, leader) else { return };
        self.append_membership(now, next);
    }

    /// The replicated state with the next due change of the voters.
    fn next_membership(&self, now: Time, leader: &LeaderState) -> Option<ReplicatedState> {
        let state = &self.persistent.state;
        if let Some(emptied) = self.find_emptied_voter(leader) {
            // It holds nothing and has forgotten its votes: no majority may be formed with it.
            return Some(without_voter(state, emptied));
        }
        if let Some(outgoing) = state.outgoing_voter {
            // A leader transfers leadership first: without a vote it would still count itself.
            return (outgoing != self.own_member()).then(|| without_voter(state, outgoing));
        }
        if state.voters.len() > self.wanted_voters {
            return self.find_departed_voter(now, leader).map(|departed| without_voter(state, departed));
        }
        let learner = self.find_promotable_learner(now, leader)?;
        let mut next = state.clone();
        if state.voters.len() == self.wanted_voters {
            // Named now, so that the next leader need not find out anew: until it is removed there is one voter too
            // many, and a majority may need one more of them.
            next.outgoing_voter = Some(self.find_departed_voter(now, leader)?);
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

    /// One other voter that is gone, or asks to be replaced.
    fn find_departed_voter(&self, now: Time, leader: &LeaderState) -> Option<Member> {
        let others = self.other_voters();
        let wants_to_leave = |m: &&Member| leader.progress.get(m).is_some_and(|p| is_leaving(now, p));
        let is_silent = |p: &Progress| now - p.heard_at > self.voter_timeout;
        let is_gone = |m: &&Member| leader.progress.get(m).is_none_or(is_silent);
        others.iter().find(wants_to_leave).or_else(|| others.iter().find(is_gone)).copied()
    }

    fn append_membership(&mut self, now: Time, state: ReplicatedState) {
        self.append_state(now, state);
        let others = self.other_voters();
        if let Role::Leader(leader) = &mut self.role {
            for member in others {
                leader.contacts.entry(member.node).or_insert_with(|| PeerContact::seen(now));
                leader.progress.entry(member).or_insert_with(|| Progress::unheard(now));
            }
        }
        self.advance_commit(now);
        self.start_round(now);
    }

    /// A learner that holds everything and is heard.
    fn find_promotable_learner(&self, now: Time, leader: &LeaderState) -> Option<Member> {
        let is_promotable = |(m, p): &(&Member, &Progress)| {
            !self.voters().iter().any(|v| v.node == m.node)
                && leader.is_current_disk(m)
                && p.stored == self.committed
                && now - p.heard_at < PROMOTION_CONTACT
                && !is_leaving(now, p)
        };
        leader.progress.iter().find(is_promotable).map(|(m, _)| *m)
    }

    /// A voter at whose address another disk answers: its own was emptied.
    fn find_emptied_voter(&self, leader: &LeaderState) -> Option<Member> {
        let has_other_disk = |m: &&Member| leader.current_disk(m.node).is_some_and(|(disk, _)| disk != *m);
        self.voters().iter().find(has_other_disk).copied()
    }

    fn expire_learners(&mut self, now: Time) {
        let voters = &self.persistent.state.voters;
        let Role::Leader(leader) = &mut self.role else { return };
        let votes = |node: &NodeAddress| voters.iter().any(|m| m.node == *node);
        leader.contacts.retain(|node, c| votes(node) || now - c.seen_at < LEARNER_TIMEOUT);
        let contacts = &leader.contacts;
        leader.progress.retain(|m, _| contacts.contains_key(&m.node));
        // A disk that answered before another one at the same address is forgotten, unless it votes.
        let newest: Vec<Member> =
            contacts.keys().filter_map(|node| leader.current_disk(*node).map(|(m, _)| *m)).collect();
        leader.progress.retain(|m, _| voters.contains(m) || newest.contains(m));
    }

    // ---- graceful shutdown ----

    /// This process was told to end. A leader transfers leadership; then the node asks to be replaced.
    pub fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.is_none() {
            let asked_at = now.saturating_sub(HEARTBEAT_INTERVAL);
            self.shutdown = Some(Shutdown { since: now, asked_at });
            self.transfer_leadership(now);
            self.send_leave_request(now);
        }
    }

    /// Whether the process may end now: it does not lead, and is replaced or has waited long enough for that.
    pub fn may_shut_down(&self, now: Time) -> bool {
        let Some(Shutdown { since, .. }) = self.shutdown else { return false };
        let leads = matches!(&self.role, Role::Leader(_)) && !self.other_voters().is_empty();
        let is_replaced = self.committed == self.persistent.last && !self.is_voter() && !leads;
        is_replaced && now - since >= LEAVE_MIN_DELAY || now - since >= LEAVE_TIMEOUT
    }

    pub(crate) fn send_leave_request(&mut self, now: Time) {
        let Role::Follower { leader, .. } = &self.role else { return };
        let (leader, Some(shutdown)) = (*leader, self.shutdown) else { return };
        if now - shutdown.asked_at < HEARTBEAT_INTERVAL {
            return;
        }
        self.shutdown = Some(Shutdown { asked_at: now, ..shutdown });
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
    /// Whether this disk is the one that answers at its address now.
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
