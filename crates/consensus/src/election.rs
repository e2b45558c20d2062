//! Elections (Raft, sections 5.2 and 5.4) and leadership transfer (Ongaro's thesis, section 3.10).
//!
//! A candidate needs votes from a majority of the voters in its newest stored state. A voter grants its
//! vote only to a candidate whose state is at least as new as its own, and to one candidate per term.

use lynxstair::types::Time;
use lynxstair_protocol::consensus::{LogId, Member, Message};

use crate::action::Envelope;
use crate::role::{ELECTION_TIMEOUT, LeaderState, Role};
use crate::{Consensus, NodeAddress};

impl Consensus {
    /// Starts a pre-vote, which does not increase the term, so that a node returning from a partition does
    /// not depose a working leader (Ongaro's thesis, section 9.6).
    pub(crate) fn start_pre_vote(&mut self, now: Time) {
        let requests = self.vote_requests(true);
        self.set_role(Role::PreCandidate { votes: Vec::new(), since: now });
        for Envelope { to, message } in requests {
            self.send(to, message);
        }
        self.check_election(now);
    }

    /// Enters the next term as a candidate and requests votes.
    pub(crate) fn start_election(&mut self, now: Time) {
        let requests = self.vote_requests(false);
        self.persistent.term += 1;
        self.persistent.vote = Some(self.me);
        self.set_role(Role::Candidate { votes: Vec::new(), since: now });
        // The requests are sent after the candidate's own vote is synced: it could otherwise vote twice in
        // the term after a power failure.
        self.persist(now, requests);
        self.check_election(now);
    }

    fn vote_requests(&self, is_pre_vote: bool) -> Vec<Envelope> {
        let message =
            Message::RequestVote { term: self.persistent.term + 1, last: self.persistent.last, is_pre_vote };
        let to = self.other_voters().into_iter().map(|m| m.node);
        to.map(|to| Envelope { to, message: message.clone() }).collect()
    }

    /// Replies to a pre-vote. Rejects it while there is a current leader, or if its term or state is not new
    /// enough. A granted pre-vote does not bind the voter.
    pub(crate) fn handle_pre_vote(&mut self, now: Time, from: NodeAddress, term: u64, last: LogId) {
        let has_current_leader = match &self.role {
            Role::Follower { leader: Some(_), last_contact_at } => now - *last_contact_at < ELECTION_TIMEOUT,
            Role::Leader(leader) => now - leader.confirmed_at < ELECTION_TIMEOUT,
            _ => false,
        };
        let granted = !has_current_leader && term > self.persistent.term && last >= self.persistent.last;
        // A rejection carries this node's term: the sender would otherwise repeat its request in an old
        // term forever.
        let term = if granted { term } else { self.persistent.term };
        let disk = self.persistent.disk;
        self.send(from, Message::VoteReply { term, granted, is_pre_vote: true, disk });
    }

    pub(crate) fn handle_vote_request(&mut self, now: Time, from: NodeAddress, term: u64, last: LogId) {
        let is_stale_term = term < self.persistent.term;
        let has_voted = term == self.persistent.term && self.persistent.vote.is_some_and(|v| v != from);
        let granted = !is_stale_term && !has_voted && last >= self.persistent.last;
        let disk = self.persistent.disk;
        let reply = Message::VoteReply { term, granted, is_pre_vote: false, disk };
        if !granted {
            if term > self.persistent.term {
                self.enter_term(now, term);
            }
            return self.send(from, reply);
        }
        if term > self.persistent.term {
            self.become_follower(now, None);
        }
        self.persistent.term = term;
        self.persistent.vote = Some(from);
        if let Role::Follower { last_contact_at, .. } = &mut self.role {
            *last_contact_at = now;
        }
        // The reply waits for the sync even if the vote is repeated: the first write may still be pending.
        self.persist(now, vec![Envelope { to: from, message: reply }]);
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        now: Time,
        from: Member,
        term: u64,
        granted: bool,
        is_pre_vote: bool,
    ) {
        if !granted && term > self.persistent.term {
            return self.enter_term(now, term);
        }
        if !granted || !self.counts_vote_of(&from) {
            return;
        }
        let own_term = self.persistent.term;
        let votes = match &mut self.role {
            Role::PreCandidate { votes, .. } if is_pre_vote && term == own_term + 1 => votes,
            Role::Candidate { votes, .. } if !is_pre_vote && term == own_term => votes,
            _ => return,
        };
        if !votes.contains(&from) {
            votes.push(from);
            self.check_election(now);
        }
    }

    /// Returns `true` if the disk that voted is a voter. A removed member or an emptied disk is not.
    fn counts_vote_of(&self, from: &Member) -> bool {
        #[cfg(feature = "deliberate-faults")]
        if self.has_fault(crate::Fault::UncheckedVotes) {
            return true;
        }
        self.voters().contains(from)
    }

    /// Starts the election or becomes leader once a majority, this node included, has granted its
    /// (pre-)votes.
    fn check_election(&mut self, now: Time) {
        let majority = self.majority();
        match &self.role {
            Role::PreCandidate { votes, .. } if votes.len() + 1 >= majority => self.start_election(now),
            Role::Candidate { votes, .. } if votes.len() + 1 >= majority => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Time) {
        self.has_seen_leader = true;
        self.set_role(Role::Leader(LeaderState::new(now, &self.other_voters())));
        // The newest stored state is written again in the new term: only a state of the current term is
        // committed by counting copies (Raft, section 5.4.2).
        let state = self.persistent.state.clone();
        self.append_state(now, state);
        self.start_round(now);
    }

    /// Transfers leadership if this leader shuts down or is the outgoing voter, and has no uncommitted
    /// state. The new leader is an up-to-date voter that has replied within `ELECTION_TIMEOUT` and has not
    /// requested to leave.
    pub(crate) fn transfer_leadership(&mut self, now: Time) {
        let Role::Leader(leader) = &self.role else { return };
        let is_outgoing = self.outgoing_voter() == Some(self.own_member());
        if self.shutdown.is_none() && !is_outgoing || self.has_uncommitted() {
            return;
        }
        let candidate = |member: &Member| {
            let progress = leader.progress.get(member)?;
            let is_eligible = progress.stored == self.persistent.last
                && progress.leave_requested_at.is_none()
                && now - progress.last_contact_at < ELECTION_TIMEOUT;
            is_eligible.then_some((progress.round, member.node))
        };
        let Some((_, to)) = self.voters().iter().filter_map(candidate).max() else { return };
        self.send(to, Message::TimeoutNow { term: self.persistent.term });
        self.become_follower(now, None);
    }
}
