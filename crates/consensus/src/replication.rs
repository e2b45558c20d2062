//! Replication: heartbeat rounds, acknowledgements and the commit position.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};
use lynxstair_protocol::messages::Bytes;

use crate::action::Envelope;
use crate::progress::{PeerClock, PeerContact, Progress, SentState};
use crate::read_index::READ_BATCH_INTERVAL;
use crate::role::{LeaderState, Proposal, Role, RoundStart};
use crate::{Action, Consensus, NodeAddress, RequestOutcome};

/// Interval between the heartbeat rounds of a leader.
pub(crate) const HEARTBEAT_INTERVAL: Span = Span::from_millis(100);
/// Time without confirmation by a majority after which a leader steps down.
const LEADER_QUORUM_TIMEOUT: Span = Span::from_millis(800);
/// Duration of a disk write after which a leader steps down.
const DISK_WRITE_TIMEOUT: Span = Span::from_millis(700);
/// Number of rounds without an acknowledgement after which a state is sent again.
const RESEND_AFTER_ROUNDS: u64 = 10;
/// Time for which a leader waits for more voters before it accepts proposals with an under-replicated
/// quorum.
const UNDER_REPLICATED_TIMEOUT: Span = Span::from_millis(3_000);
/// Number of most recent rounds whose start time is kept.
const MAX_ROUND_STARTS: usize = 64;

/// Part of an `Append` message that a follower applies.
pub(crate) struct AppendRequest {
    pub term: u64,
    pub round: u64,
    pub last: LogId,
    pub state: Option<ReplicatedState>,
    pub committed: LogId,
}

impl Consensus {
    /// Proposes a configuration to replace the committed one. Returns the number that
    /// `Action::ProposalDone` will carry, or `None` if this node is not the established leader, has an
    /// uncommitted state, shuts down, or is waiting for more voters.
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

    /// Returns `true` while a majority has no more disks than may be lost at once and
    /// `UNDER_REPLICATED_TIMEOUT` has not passed. This happens after bootstrap and while emptied disks are
    /// removed and added again. Voters that are still missing after the time-out count as lost.
    fn is_under_replicated(&mut self, now: Time) -> bool {
        let is_quorum_too_small = self.majority() <= self.tolerated_disk_losses;
        let Role::Leader(leader) = &mut self.role else { return false };
        leader.under_replicated_since =
            is_quorum_too_small.then(|| leader.under_replicated_since.unwrap_or(now));
        leader.under_replicated_since.is_some_and(|since| now - since < UNDER_REPLICATED_TIMEOUT)
    }

    /// Appends a state in the current term and requests its write. Returns its position.
    pub(crate) fn append_state(&mut self, now: Time, state: ReplicatedState) -> LogId {
        let last = LogId { term: self.persistent.term, index: self.persistent.last.index + 1 };
        self.persistent.last = last;
        self.persistent.state = state;
        self.persist(now, Vec::new());
        last
    }

    /// Runs the periodic checks of a leader: step-down, leadership transfer, membership change, next round.
    pub(crate) fn tick_leader(&mut self, now: Time) {
        let is_disk_stalled =
            self.pending_writes.front().is_some_and(|w| now - w.requested_at > DISK_WRITE_TIMEOUT);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.checked_at = now;
        let interval = if leader.round_requested { READ_BATCH_INTERVAL } else { HEARTBEAT_INTERVAL };
        let is_round_due = now >= leader.round_began_at + interval;
        if now - leader.confirmed_at > LEADER_QUORUM_TIMEOUT || is_disk_stalled {
            return self.become_follower(now, None);
        }
        // Called only to record the time at which the quorum became under-replicated.
        self.is_under_replicated(now);
        self.transfer_leadership(now);
        self.change_voters(now);
        if is_round_due {
            self.start_round(now);
        }
    }

    /// Starts a heartbeat round if this node leads.
    pub(crate) fn start_round(&mut self, now: Time) {
        let (term, last, committed) = (self.persistent.term, self.persistent.last, self.committed);
        let is_only_voter = self.other_voters().is_empty();
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
        if is_only_voter {
            leader.confirmed_at = now;
            leader.confirmed_round = leader.round;
            self.complete_reads();
        }
    }

    /// Handles an `Append` message of the current or a later term.
    pub(crate) fn handle_append(
        &mut self,
        now: Time,
        from: NodeAddress,
        AppendRequest { term, round, last, state, committed }: AppendRequest,
    ) {
        if term > self.persistent.term {
            self.enter_term(now, term);
        }
        self.has_seen_leader = true;
        match &mut self.role {
            Role::Follower { leader, last_contact_at } => {
                *leader = Some(from);
                *last_contact_at = now;
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
        // The round is answered at once, with the last synced position. A new state is acknowledged after
        // its sync.
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

    /// Handles a reply of the current term.
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
            // The first reply of this disk, which may have replaced another one at the address: the state
            // must be sent to it.
            contact.sent = None;
        }
        let progress = leader.progress.entry(from).or_insert_with(|| Progress::new(now));
        progress.round = progress.round.max(round);
        progress.last_contact_at = now;
        // A delayed reply must not lower the stored position.
        progress.stored = progress.stored.max(stored);
        leader.confirm_rounds(majority, &others);
        self.complete_reads();
        self.advance_commit(now);
        self.change_voters(now);
    }

    /// Commits the leader's newest state once it is synced on the disks of a majority of the voters. Only a
    /// state of the current term is committed this way (Raft, section 5.4.2).
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
        if own + self.remote_copies(last) < needed {
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
        // Sends the new commit position to the followers at once.
        self.start_round(now);
    }

    /// Returns the number of other voters that have synced the state at `position`.
    fn remote_copies(&self, position: LogId) -> usize {
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
        self.round_requested = false;
        self.round_starts.push_back(RoundStart { round: self.round, at: now });
        if self.round_starts.len() > MAX_ROUND_STARTS {
            self.round_starts.pop_front();
        }
    }

    /// Updates the newest round that is answered by a majority of the voters, this node included.
    fn confirm_rounds(&mut self, majority: usize, others: &[Member]) {
        let mut rounds: Vec<u64> =
            others.iter().filter_map(|m| self.progress.get(m)).map(|p| p.round).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        // The leader is one of the majority, so `majority - 1` others are needed: index `majority - 2`.
        let Some(confirmed) = majority.checked_sub(2).and_then(|n| rounds.get(n)) else { return };
        self.confirmed_round = self.confirmed_round.max(*confirmed);
        if let Some(start) = self.round_starts.iter().find(|start| start.round == *confirmed) {
            self.confirmed_at = self.confirmed_at.max(start.at);
        }
    }
}

impl PeerContact {
    /// Returns `true` if this round must carry the newest state, and records it as sent. A state is sent
    /// once, and again after `RESEND_AFTER_ROUNDS` rounds without an acknowledgement.
    fn needs_state(&mut self, stored: LogId, last: LogId, round: u64) -> bool {
        let is_unacknowledged =
            |sent: SentState| sent.position != last || round > sent.round + RESEND_AFTER_ROUNDS;
        let is_due = stored != last && self.sent.is_none_or(is_unacknowledged);
        if is_due {
            self.sent = Some(SentState { position: last, round });
        }
        is_due
    }

    /// Returns the peer's clock from its last reply, and the time in nanoseconds from the leader's last
    /// confirmation to the arrival of that reply. A later confirmation counts as one at the arrival.
    fn echo(&self, confirmed_at: Time) -> (u64, Option<u64>) {
        match self.clock {
            // The subtraction saturates at zero.
            Some(PeerClock { value, received_at }) => (value, Some((received_at - confirmed_at).nanos())),
            None => (0, None),
        }
    }
}
