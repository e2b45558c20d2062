//! The role of a node. Every change of role goes through `set_role`.

use std::collections::{BTreeMap, VecDeque};

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member};

use crate::progress::{PeerContact, Progress};
use crate::{Action, Consensus, NodeAddress, RequestOutcome};

/// A follower that has not heard from a leader for this long may campaign.
pub(crate) const ELECTION_TIMEOUT: Span = Span::from_millis(450);
/// The same right after a start: nobody has been heard yet and all nodes may have started at once, so a shorter time
/// is enough.
const FIRST_ELECTION_TIMEOUT: Span = Span::from_millis(150);
/// The longest random part on top of that, so that two nodes seldom campaign at once.
const ELECTION_JITTER: Span = Span::from_millis(400);
/// The part of the random time that is used at a start.
const FIRST_JITTER_PART: f64 = 0.6;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Role {
    /// Learners are followers, too.
    Follower { leader: Option<NodeAddress>, heard_at: Time },
    /// Asks whether a campaign could succeed.
    PreCandidate { votes: Vec<Member>, since: Time },
    /// Asks for votes.
    Candidate { votes: Vec<Member>, since: Time },
    /// Leads its term.
    Leader(LeaderState),
}

/// What a leader keeps for its term.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeaderState {
    /// The number of the newest heartbeat round, and when it began.
    pub round: u64,
    pub round_began_at: Time,
    /// When the periodic checks last ran; they go on however often rounds begin.
    pub checked_at: Time,
    /// A round is to begin before the next heartbeat is due.
    pub round_wanted: bool,
    /// When each of the last rounds began.
    pub round_starts: VecDeque<RoundStart>,
    /// Whom it sends to: voters, and learners for as long as they are seen.
    pub contacts: BTreeMap<NodeAddress, PeerContact>,
    /// The progress of each disk that has answered, and of each voter.
    pub progress: BTreeMap<Member, Progress>,
    /// A majority, this node included, answered a round that began then.
    pub confirmed_at: Time,
    /// The newest round that a majority answered. Reads go by it: no clock can tell which of two rounds was first.
    pub confirmed_round: u64,
    /// Since when a majority is on too few disks to survive the tolerated losses.
    pub under_replicated_since: Option<Time>,
    /// The open proposal.
    pub proposal: Option<Proposal>,
    /// Open reads, in the order of their rounds.
    pub reads: VecDeque<PendingRead>,
}

/// When a heartbeat round began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RoundStart {
    pub round: u64,
    pub at: Time,
}

/// A proposal that is not committed yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Proposal {
    pub number: u64,
    pub position: LogId,
}

/// A read that waits for a majority to answer a round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PendingRead {
    pub number: u64,
    pub round: u64,
}

impl LeaderState {
    pub fn new(now: Time, others: &[Member]) -> LeaderState {
        LeaderState {
            round: 0,
            round_began_at: now,
            checked_at: now,
            round_wanted: false,
            round_starts: VecDeque::new(),
            contacts: others.iter().map(|m| (m.node, PeerContact::seen(now))).collect(),
            progress: others.iter().map(|m| (*m, Progress::unheard(now))).collect(),
            confirmed_at: now,
            confirmed_round: 0,
            under_replicated_since: None,
            proposal: None,
            reads: VecDeque::new(),
        }
    }

    /// The disk that answers at an address now: the one that answered the newest round.
    pub fn current_disk(&self, node: NodeAddress) -> Option<(&Member, &Progress)> {
        let answering = self.progress.iter().filter(|(m, p)| m.node == node && p.round > 0);
        answering.max_by_key(|(_, p)| p.round)
    }
}

impl Consensus {
    /// Draws anew how long this node waits for a leader, or for votes.
    pub(crate) fn reset_election_timeout(&mut self) {
        let (least, jitter) = if self.has_heard_leader {
            (ELECTION_TIMEOUT, ELECTION_JITTER)
        } else {
            (FIRST_ELECTION_TIMEOUT, ELECTION_JITTER.times(FIRST_JITTER_PART))
        };
        self.election_timeout = least + jitter.times(self.draw());
    }

    pub(crate) fn set_role(&mut self, role: Role) {
        if let Role::Leader(old) = &mut self.role {
            // Callers that wait for this leader learn that it can't tell any more.
            let outcome = RequestOutcome::Unknown;
            let proposal = old.proposal.take();
            let proposal = proposal.map(|p| Action::ProposalDone { number: p.number, outcome });
            let reads = std::mem::take(&mut old.reads).into_iter();
            let reads = reads.map(|read| Action::ReadDone { number: read.number, outcome });
            self.actions.extend(proposal.into_iter().chain(reads));
        }
        self.role = role;
        self.reset_election_timeout();
    }

    pub(crate) fn become_follower(&mut self, now: Time, leader: Option<NodeAddress>) {
        self.set_role(Role::Follower { leader, heard_at: now });
    }

    /// Enters a later term, whose leader is not known yet.
    pub(crate) fn enter_term(&mut self, now: Time, term: u64) {
        self.persistent.term = term;
        self.persistent.vote = None;
        self.become_follower(now, None);
        self.persist(now, Vec::new());
    }
}
