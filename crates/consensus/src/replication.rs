//! Replication: heartbeat rounds, what is stored on which disk, and what is committed by that.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};
use lynxstair_protocol::messages::Bytes;

use crate::action::Envelope;
use crate::progress::{PeerClock, PeerContact, Progress, SentState};
use crate::read_index::READ_BATCH_INTERVAL;
use crate::role::{LeaderState, Proposal, Role, RoundStart};
use crate::{Action, Consensus, NodeAddress, RequestOutcome};

/// How often a leader begins a heartbeat round.
pub(crate) const HEARTBEAT_INTERVAL: Span = Span::from_millis(100);
/// A leader that no majority has answered for this long steps down.
const LEADER_QUORUM_TIMEOUT: Span = Span::from_millis(800);
/// So does a leader whose disk has not completed a write within this time.
const DISK_WRITE_TIMEOUT: Span = Span::from_millis(700);
/// A state is sent again after this many rounds without an acknowledgement.
const RESEND_AFTER_ROUNDS: u64 = 10;
/// How long a leader waits for more voters before it acknowledges a state that is on fewer disks than it should be.
const UNDER_REPLICATED_TIMEOUT: Span = Span::from_millis(3_000);
/// How many rounds are remembered with the time that they began at: some seconds' worth.
const MAX_ROUND_STARTS: usize = 64;

/// What a follower takes over from a round of the leader.
pub(crate) struct Appended {
    pub term: u64,
    pub round: u64,
    pub last: LogId,
    pub state: Option<ReplicatedState>,
    pub committed: LogId,
}

impl Consensus {
    /// Proposes the configuration that is to replace the committed one. Returns the number by which
    /// `Action::ProposalDone` tells its fate, or None where this node can't propose now.
    pub fn propose(&mut self, now: Time, config: Vec<u8>) -> Option<u64> {
        let may_propose = self.is_established_leader() && !self.has_uncommitted() && self.shutdown.is_none();
        if !may_propose || self.is_under_replicated(now) {
            return None;
        }
        let number = self.next_request();
        let state = ReplicatedState { config: Bytes(config.into()), ..self.persistent.state.clone() };
        let last = self.append_state(now, state);
        if let Role::Leader(leader) = &mut self.role {
            leader.proposal = Some(Proposal { number, position: last });
        }
        self.start_round(now);
        Some(number)
    }

    /// Whether a majority is on no more disks than may be lost at once, while voters may be on their way: so it is just
    /// after the founding, and while emptied disks are removed and added. Not for long: voters that are not there by
    /// the time-out are lost already.
    fn is_under_replicated(&mut self, now: Time) -> bool {
        let is_now = self.majority() <= self.tolerated;
        let Role::Leader(leader) = &mut self.role else { return false };
        leader.under_replicated_since = is_now.then(|| leader.under_replicated_since.unwrap_or(now));
        leader.under_replicated_since.is_some_and(|since| now - since < UNDER_REPLICATED_TIMEOUT)
    }

    /// Writes a leader's next state; returns its position.
    pub(crate) fn append_state(&mut self, now: Time, state: ReplicatedState) -> LogId {
        let last = LogId { term: self.persistent.term, index: self.persistent.last.index + 1 };
        self.persistent.last = last;
        self.persistent.state = state;
        self.persist(now, Vec::new());
        last
    }

    /// The periodic checks of a leader: it steps down, transfers leadership, changes the voters, or begins a round.
    pub(crate) fn tick_leader(&mut self, now: Time) {
        let disk_hangs = self.pending_writes.front().is_some_and(|w| now - w.since > DISK_WRITE_TIMEOUT);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.checked_at = now;
        let interval = if leader.round_wanted { READ_BATCH_INTERVAL } else { HEARTBEAT_INTERVAL };
        let round_is_due = now >= leader.round_began_at + interval;
        if now - leader.confirmed_at > LEADER_QUORUM_TIMEOUT || disk_hangs {
            return self.become_follower(now, None);
        }
        // Only so that the time of an under-replicated quorum counts from its beginning.
        self.is_under_replicated(now);
        self.transfer_leadership(now);
        self.change_voters(now);
        if round_is_due {
            self.start_round(now);
        }
    }

    /// A leader begins a heartbeat round.
    pub(crate) fn start_round(&mut self, now: Time) {
        let (term, last, committed) = (self.persistent.term, self.persistent.last, self.committed);
        let is_alone = self.other_voters().is_empty();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.begin_round(now);
        let stored: Vec<LogId> = leader
            .contacts
            .keys()
            .map(|node| leader.current_disk(*node).map_or(LogId::default(), |(_, p)| p.stored))
            .collect();
        let (round, confirmed_at) = (leader.round, leader.confirmed_at);
        for ((to, contact), stored) in leader.contacts.iter_mut().zip(stored) {
            let state = contact.needs_state(stored, last, round).then(|| self.persistent.state.clone());
            let (clock_echo, confirmed_ns_ago) = contact.echo(confirmed_at);
            let confirmed_ns_ago = confirmed_ns_ago.filter(|_| committed.term == term);
            let message =
                Message::Append { term, round, last, state, committed, clock_echo, confirmed_ns_ago };
            self.actions.push(Action::Send { to: *to, message });
        }
        if is_alone {
            leader.confirmed_at = now;
            leader.confirmed_round = leader.round;
            self.complete_reads();
        }
    }

    /// A round of the leader has arrived.
    pub(crate) fn handle_append(
        &mut self,
        now: Time,
        from: NodeAddress,
        Appended { term, round, last, state, committed }: Appended,
    ) {
        if term > self.persistent.term {
            self.enter_term(now, term);
        }
        self.has_heard_leader = true;
        match &mut self.role {
            Role::Follower { leader, heard_at } => {
                *leader = Some(from);
                *heard_at = now;
            }
            _ => self.become_follower(now, Some(from)),
        }
        if let Some(state) = state
            && last > self.persistent.last
        {
            self.persistent.last = last;
            self.persistent.state = state;
            let (disk, clock) = (self.persistent.disk, now.nanos());
            let reply = Message::AppendReply { term, round, stored: last, disk, clock };
            self.persist(now, vec![Envelope { to: from, message: reply }]);
        }
        // The round is answered at once, whatever the disk does; what is stored is acknowledged once it is synced.
        let reply = self.append_reply(now, round);
        self.send(from, reply);
        if committed > self.committed && committed == self.persistent.last {
            self.commit(committed);
        }
    }

    pub(crate) fn append_reply(&self, now: Time, round: u64) -> Message {
        let (disk, clock) = (self.persistent.disk, now.nanos());
        Message::AppendReply { term: self.persistent.term, round, stored: self.synced, disk, clock }
    }

    /// A reply of this term has arrived.
    pub(crate) fn handle_append_reply(
        &mut self,
        now: Time,
        from: Member,
        round: u64,
        stored: LogId,
        clock: u64,
    ) {
        let (majority, others) = (self.majority(), self.other_voters());
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(contact) = leader.contacts.get_mut(&from.node) else { return };
        contact.seen_at = now;
        contact.clock = Some(PeerClock { value: clock, received_at: now });
        if !leader.progress.contains_key(&from) {
            // Another disk than the one that was sent something.
            contact.sent = None;
        }
        let progress = leader.progress.entry(from).or_insert_with(|| Progress::unheard(now));
        progress.round = progress.round.max(round);
        progress.heard_at = now;
        // What a disk has stored it keeps: a reply that came late takes nothing back.
        progress.stored = progress.stored.max(stored);
        leader.confirm_rounds(majority, &others);
        self.complete_reads();
        self.advance_commit(now);
        self.change_voters(now);
    }

    /// Commits the leader's newest state once it is on the disks of a majority of the voters. Only a state of the
    /// current term is counted (Raft, section 5.4.2).
    pub(crate) fn advance_commit(&mut self, now: Time) {
        let last = self.persistent.last;
        let needed = self.majority();
        let own = usize::from(self.synced >= last);
        if !matches!(self.role, Role::Leader(_))
            || last.term != self.persistent.term
            || self.committed >= last
        {
            return;
        }
        if own + self.copies_elsewhere(last) < needed {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        let proposal = leader.proposal.take_if(|proposal| proposal.position == last);
        self.commit(last);
        if let Some(Proposal { number, .. }) = proposal {
            let outcome = RequestOutcome::Confirmed;
            self.actions.push(Action::ProposalDone { number, outcome });
        }
        self.change_voters(now);
        // Followers learn of it at once.
        self.start_round(now);
    }

    /// On how many disks of other voters a state is stored.
    fn copies_elsewhere(&self, position: LogId) -> usize {
        let Role::Leader(leader) = &self.role else { return 0 };
        let has_copy = |m: &Member| leader.progress.get(m).is_some_and(|p| p.stored == position);
        #[cfg(feature = "deliberate-faults")]
        if self.has_fault(crate::Fault::LearnersInCommitQuorum) {
            return leader.progress.keys().filter(|m| has_copy(m)).count();
        }
        self.voters().iter().filter(|m| has_copy(m)).count()
    }

    fn commit(&mut self, at: LogId) {
        self.committed = at;
        let config = self.persistent.state.config.clone();
        self.actions.push(Action::Committed { position: at, config });
    }
}

impl LeaderState {
    fn begin_round(&mut self, now: Time) {
        self.round += 1;
        self.round_began_at = now;
        self.round_wanted = false;
        self.round_starts.push_back(RoundStart { round: self.round, at: now });
        if self.round_starts.len() > MAX_ROUND_STARTS {
            self.round_starts.pop_front();
        }
    }

    /// Finds the newest round that a majority answered, by the disks that vote.
    fn confirm_rounds(&mut self, majority: usize, others: &[Member]) {
        let mut rounds: Vec<u64> =
            others.iter().filter_map(|m| self.progress.get(m)).map(|p| p.round).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        // The leader itself is one of the majority, and counted from 0 the last of the others is two before it.
        let Some(confirmed) = majority.checked_sub(2).and_then(|n| rounds.get(n)) else { return };
        self.confirmed_round = self.confirmed_round.max(*confirmed);
        if let Some(start) = self.round_starts.iter().find(|start| start.round == *confirmed) {
            self.confirmed_at = self.confirmed_at.max(start.at);
        }
    }
}

impl PeerContact {
    /// Whether the newest state goes with this round: once, and again where no acknowledgement of it came.
    fn needs_state(&mut self, stored: LogId, last: LogId, round: u64) -> bool {
        let is_unacknowledged =
            |sent: SentState| sent.position != last || round > sent.round + RESEND_AFTER_ROUNDS;
        let is_due = stored != last && self.sent.is_none_or(is_unacknowledged);
        if is_due {
            self.sent = Some(SentState { position: last, round });
        }
        is_due
    }

    /// The peer's clock as last heard, and how long before its arrival the leader was confirmed. What the peer did
    /// between its reply and now is later than its reply, so a confirmation since then counts as one at the reply.
    fn echo(&self, confirmed_at: Time) -> (u64, Option<u64>) {
        match self.clock {
            // A span that would be below zero is zero.
            Some(PeerClock { value, received_at }) => (value, Some((received_at - confirmed_at).nanos())),
            None => (0, None),
        }
    }
}
