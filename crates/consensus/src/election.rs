//! Elections (Raft, section 5.2 and 5.4): one leader a term, elected by a majority of the voters stored last, and only if
//! it has stored as much as each of that majority. Leadership transfer (Ongaro's thesis, section 3.10).

use lynxstair::types::Time;
use lynxstair_protocol::consensus::{LogId, Member, Message};

use crate::action::Envelope;
use crate::role::{ELECTION_TIMEOUT, LeaderState, Role};
use crate::{Consensus, NodeAddress};

impl Consensus {
    /// Asks whether a campaign could succeed, so that a node that was partitioned off does not depose a working leader
    /// (Ongaro's thesis, section 9.6).
    pub(crate) fn start_pre_vote(&mut self, now: Time) {
        let requests = self.vote_requests(true);
        self.set_role(Role::PreCandidate { votes: Vec::new(), since: now });
        for Envelope { to, message } in requests {
            self.send(to, message);
        }
        self.check_election(now);
    }

    /// Enters the next term and asks for votes.
    pub(crate) fn start_election(&mut self, now: Time) {
        let requests = self.vote_requests(false);
        self.persistent.term += 1;
        self.persistent.vote = Some(self.me);
        self.set_role(Role::Candidate { votes: Vec::new(), since: now });
        // Its own vote is synced before it asks for others': after a loss of power it could vote twice.
        self.persist(now, requests);
        self.check_election(now);
    }

    fn vote_requests(&self, is_pre_vote: bool) -> Vec<Envelope> {
        let message =
            Message::RequestVote { term: self.persistent.term + 1, last: self.persistent.last, is_pre_vote };
        let to = self.other_voters().into_iter().map(|m| m.node);
        to.map(|to| Envelope { to, message: message.clone() }).collect()
    }

    /// A node that hears a leader has no use for another. The reply promises nothing.
    pub(crate) fn handle_pre_vote(&mut self, now: Time, from: NodeAddress, term: u64, last: LogId) {
        let hears_leader = match &self.role {
            Role::Follower { leader: Some(_), heard_at } => now - *heard_at < ELECTION_TIMEOUT,
            Role::Leader(leader) => now - leader.confirmed_at < ELECTION_TIMEOUT,
            _ => false,
        };
        let granted = !hears_leader && term > self.persistent.term && last >= self.persistent.last;
        // A node that is behind learns the term from a refusal: asking in an old one, it would be refused for ever.
        let term = if granted { term } else { self.persistent.term };
        let disk = self.persistent.disk;
        self.send(from, Message::VoteReply { term, granted, is_pre_vote: true, disk });
    }

    pub(crate) fn handle_vote_request(&mut self, now: Time, from: NodeAddress, term: u64, last: LogId) {
        let is_late = term < self.persistent.term;
        let has_voted = term == self.persistent.term && self.persistent.vote.is_some_and(|v| v != from);
        let granted = !is_late && !has_voted && last >= self.persistent.last;
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
        if let Role::Follower { heard_at, .. } = &mut self.role {
            *heard_at = now;
        }
        // A vote leaves once it is synced, also one that is given again: its first write may still be pending.
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

    /// A vote counts by the disk that gave it: an emptied disk, or one that was removed, has none.
    fn counts_vote_of(&self, from: &Member) -> bool {
        #[cfg(feature = "deliberate-faults")]
        if self.has_fault(crate::Fault::UncheckedVotes) {
            return true;
        }
        self.voters().contains(from)
    }

    /// Goes on to the next stage once a majority, this node included, agrees.
    fn check_election(&mut self, now: Time) {
        let majority = self.majority();
        match &self.role {
            Role::PreCandidate { votes, .. } if votes.len() + 1 >= majority => self.start_election(now),
            Role::Candidate { votes, .. } if votes.len() + 1 >= majority => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Time) {
        self.has_heard_leader = true;
        self.set_role(Role::Leader(LeaderState::new(now, &self.other_voters())));
        // The newest stored state is written anew in this term: only then does it count (Raft, section 5.4.2).
        let state = self.persistent.state.clone();
        self.append_state(now, state);
        self.start_round(now);
    }

    /// A leader that shuts down, or whose place as a voter another has taken, has the voter that holds everything
    /// campaign at once, as soon as nothing of its own is uncommitted.
    pub(crate) fn transfer_leadership(&mut self, now: Time) {
        let Role::Leader(leader) = &self.role else { return };
        let is_outgoing = self.outgoing_voter() == Some(self.own_member());
        if self.shutdown.is_none() && !is_outgoing || self.has_uncommitted() {
            return;
        }
        let candidate = |member: &Member| {
            let progress = leader.progress.get(member)?;
            let is_fit = progress.stored == self.persistent.last
                && progress.leave_requested_at.is_none()
                && now - progress.heard_at < ELECTION_TIMEOUT;
            is_fit.then_some((progress.round, member.node))
        };
        let Some((_, to)) = self.voters().iter().filter_map(candidate).max() else { return };
        self.send(to, Message::TimeoutNow { term: self.persistent.term });
        self.become_follower(now, None);
    }
}
