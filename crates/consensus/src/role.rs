//! Role of a node. All role changes go through `set_role`.

use std::collections::{BTreeMap, VecDeque};

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member};

use crate::progress::{PeerContact, Progress};
use crate::{Action, Consensus, NodeAddress, RequestOutcome};

/// Shortest wait of a follower before it starts a pre-vote, from the last message of a leader or the last
/// vote that it granted.
pub(crate) const ELECTION_TIMEOUT: Span = Span::from_millis(450);
/// Shortest election time-out of a node that has not yet seen a leader. Less than `ELECTION_TIMEOUT`, so that
/// a cluster whose nodes start together elects a leader sooner.
const INITIAL_ELECTION_TIMEOUT: Span = Span::from_millis(150);
/// Upper bound of the random addition to the election time-out, which makes split votes rare.
const ELECTION_JITTER: Span = Span::from_millis(400);
/// Fraction of `ELECTION_JITTER` in use until a leader has been seen.
const INITIAL_JITTER_FRACTION: f64 = 0.6;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Role {
    /// Also the role of a learner.
    Follower { leader: Option<NodeAddress>, last_contact_at: Time },
    /// Collects pre-votes.
    PreCandidate { votes: Vec<Member>, since: Time },
    /// Collects votes.
    Candidate { votes: Vec<Member>, since: Time },
    /// Leads the current term.
    Leader(LeaderState),
}

/// State that a leader keeps for the duration of its term.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeaderState {
    /// Number and start time of the newest heartbeat round.
    pub round: u64,
    pub round_began_at: Time,
    /// Time of the last periodic checks, which run independently of the rounds.
    pub checked_at: Time,
    /// A round should start after `READ_BATCH_INTERVAL`, before the next heartbeat is due.
    pub round_requested: bool,
    /// Start times of the most recent rounds.
    pub round_starts: VecDeque<RoundStart>,
    /// Recipients of the rounds: other voters, and learners until their time-out.
    pub contacts: BTreeMap<NodeAddress, PeerContact>,
    /// Progress of each other voter and of each disk that has replied.
    pub progress: BTreeMap<Member, Progress>,
    /// Start time of the newest round answered by a majority, this node included; at first the start of
    /// leadership.
    pub confirmed_at: Time,
    /// Newest round answered by a majority. Reads compare round numbers, as two rounds may start at the
    /// same time.
    pub confirmed_round: u64,
    /// Time since which a majority has had too few disks to survive the tolerated losses.
    pub under_replicated_since: Option<Time>,
    /// Proposal that is not yet committed.
    pub proposal: Option<Proposal>,
    /// Pending reads, in the order of their rounds.
    pub reads: VecDeque<PendingRead>,
}

/// Start time of a heartbeat round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RoundStart {
    pub round: u64,
    pub at: Time,
}

/// Proposal in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Proposal {
    pub number: u64,
    pub position: LogId,
}

/// Read that completes once a majority has answered `round` or a later one.
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
            round_requested: false,
            round_starts: VecDeque::new(),
            contacts: others.iter().map(|m| (m.node, PeerContact::new(now))).collect(),
            progress: others.iter().map(|m| (*m, Progress::new(now))).collect(),
            confirmed_at: now,
            confirmed_round: 0,
            under_replicated_since: None,
            proposal: None,
            reads: VecDeque::new(),
        }
    }

    /// Returns the disk at an address that answered the newest round, or `None` if none has answered.
    pub fn current_disk(&self, node: NodeAddress) -> Option<(&Member, &Progress)> {
        let answering = self.progress.iter().filter(|(m, p)| m.node == node && p.round > 0);
        answering.max_by_key(|(_, p)| p.round)
    }
}

impl Consensus {
    /// Randomizes the time for which this node waits for a leader or for votes.
    pub(crate) fn reset_election_timeout(&mut self) {
        let (least, jitter) = if self.has_seen_leader {
            (ELECTION_TIMEOUT, ELECTION_JITTER)
        } else {
            (INITIAL_ELECTION_TIMEOUT, ELECTION_JITTER.times(INITIAL_JITTER_FRACTION))
        };
        self.election_timeout = least + jitter.times(self.random_fraction());
    }

    pub(crate) fn set_role(&mut self, role: Role) {
        if let Role::Leader(old) = &mut self.role {
            // A former leader can no longer determine the outcome of its pending requests.
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
        self.set_role(Role::Follower { leader, last_contact_at: now });
    }

    /// Enters a later term as a follower of an unknown leader.
    pub(crate) fn enter_term(&mut self, now: Time, term: u64) {
        self.persistent.term = term;
        self.persistent.vote = None;
        self.become_follower(now, None);
        self.persist(now, Vec::new());
    }
}
