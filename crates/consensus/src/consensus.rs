//! The state machine: what it holds, its entry points, and the dispatch of messages.

use std::collections::VecDeque;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};

use crate::action::{Action, Envelope, PendingWrite, PersistentState};
use crate::replication::Appended;
use crate::role::Role;
use crate::{NodeAddress, membership, read_index, replication};

/// Mixed into the seed with each draw, so that draws are independent of each other (the golden ratio, in 64 bits).
const DRAW_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// What a node starts from.
#[derive(Clone, Debug)]
pub struct ConsensusConfig<'a> {
    /// This node.
    pub me: NodeAddress,
    /// The founding members.
    pub seeds: &'a [NodeAddress],
    /// The seed of the pseudo-random draws.
    pub rng_seed: u64,
    /// What the disk holds: None at a first start and after it was emptied; `bootstrap` tells one from the other.
    pub stored: Option<PersistentState>,
    /// The whole system starts for the first time.
    pub bootstrap: bool,
    /// How many disks may be lost at once. The target number of voters is twice that plus one.
    pub tolerated_disk_losses: usize,
    /// How long after its return a machine still counts as lost.
    pub catch_up_time: Span,
}

/// A graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    pub since: Time,
    /// When the leader was last asked for a replacement.
    pub asked_at: Time,
}

/// One node's part in the consensus.
#[derive(Clone, Debug)]
pub struct Consensus {
    pub(crate) me: NodeAddress,
    /// The seed of the draws, and how many were made: a cloned state machine continues on its own.
    seed: u64,
    draws: u64,
    /// The target number of voters.
    pub(crate) wanted_voters: usize,
    pub(crate) tolerated: usize,
    /// A voter that has been silent for this long is replaced if a learner is waiting.
    pub(crate) voter_timeout: Span,
    pub(crate) persistent: PersistentState,
    /// The position up to which it is known to be synced.
    pub(crate) synced: LogId,
    writes: u64,
    pub(crate) pending_writes: VecDeque<PendingWrite>,
    pub(crate) committed: LogId,
    pub(crate) role: Role,
    pub(crate) election_timeout: Span,
    /// On a follower, by its own clock: when the leader was last confirmed by a quorum with `committed` as the newest
    /// position.
    pub(crate) confirmed_at: Option<Time>,
    /// On a follower: when a leader in contact with a quorum had last heard this node.
    pub(crate) quorum_contact_at: Option<Time>,
    requests: u64,
    /// This node has heard a leader, or led, since its start.
    pub(crate) has_heard_leader: bool,
    /// This node shuts down.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) actions: Vec<Action>,
    /// What tests leave out.
    #[cfg(feature = "deliberate-faults")]
    pub fault: Option<crate::Fault>,
}

impl Consensus {
    /// Starts a node by what its disk holds, or as a founding or an empty one.
    pub fn new(now: Time, config: ConsensusConfig) -> Consensus {
        let is_new = config.stored.is_none();
        let persistent = match config.stored {
            Some(stored) => stored,
            None => first_state(&config),
        };
        let mut consensus = Consensus {
            me: config.me,
            seed: config.rng_seed,
            draws: 0,
            wanted_voters: 2 * config.tolerated_disk_losses + 1,
            tolerated: config.tolerated_disk_losses,
            voter_timeout: config.catch_up_time.times(membership::VOTER_TIMEOUT_PART),
            synced: persistent.last,
            persistent,
            writes: 0,
            pending_writes: VecDeque::new(),
            committed: LogId::default(),
            role: Role::Follower { leader: None, heard_at: now },
            election_timeout: Span::ZERO,
            confirmed_at: None,
            quorum_contact_at: None,
            requests: 0,
            has_heard_leader: false,
            shutdown: None,
            actions: Vec::new(),
            #[cfg(feature = "deliberate-faults")]
            fault: None,
        };
        if is_new {
            consensus.persist(now, Vec::new());
        }
        consensus.reset_election_timeout();
        consensus
    }

    // ---- queries ----

    /// Who votes, as stored here last.
    pub fn voters(&self) -> &[Member] {
        &self.persistent.state.voters
    }

    /// The voter that is about to be removed, as its successor votes already.
    pub fn outgoing_voter(&self) -> Option<Member> {
        self.persistent.state.outgoing_voter
    }

    /// Whether this node votes, by the disk that it has now.
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.own_member())
    }

    /// The leader of the current term, as far as it is known.
    pub fn leader(&self) -> Option<NodeAddress> {
        match &self.role {
            Role::Follower { leader, .. } => *leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.me),
        }
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.persistent.term
    }

    /// The newest committed position that is known here.
    pub fn committed(&self) -> LogId {
        self.committed
    }

    /// Whether this node leads and the state that it began its term with is committed: only then may it propose and
    /// serve reads (Raft, section 8).
    pub fn is_established_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(_)) && self.committed.term == self.persistent.term
    }

    /// Whether this node leads and its newest state is not committed yet.
    pub fn has_uncommitted(&self) -> bool {
        matches!(&self.role, Role::Leader(_)) && self.committed < self.persistent.last
    }

    /// When `tick` has something to do.
    pub fn next_due(&self) -> Time {
        match &self.role {
            Role::Follower { heard_at, .. } => {
                let campaign = *heard_at + self.election_timeout;
                let request = |shutdown: Shutdown| shutdown.asked_at + replication::HEARTBEAT_INTERVAL;
                self.shutdown.map_or(campaign, |shutdown| campaign.min(request(shutdown)))
            }
            Role::PreCandidate { since, .. } | Role::Candidate { since, .. } => {
                *since + self.election_timeout
            }
            Role::Leader(leader) => {
                let interval = if leader.round_wanted {
                    read_index::READ_BATCH_INTERVAL
                } else {
                    replication::HEARTBEAT_INTERVAL
                };
                let round = leader.round_began_at + interval;
                round.min(leader.checked_at + replication::HEARTBEAT_INTERVAL)
            }
        }
    }

    /// What the caller is to do, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    // ---- events ----

    /// Time has passed.
    pub fn tick(&mut self, now: Time) {
        if now < self.next_due() {
            return;
        }
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            Role::Follower { heard_at, .. } if now < *heard_at + self.election_timeout => {
                self.send_leave_request(now);
            }
            _ if self.shutdown.is_some() || !self.is_voter() => {
                self.become_follower(now, None);
                self.send_leave_request(now);
            }
            _ => self.start_pre_vote(now),
        }
    }

    /// A message has arrived.
    pub fn handle_message(&mut self, now: Time, from: NodeAddress, message: Message) {
        match message {
            Message::RequestVote { term, last, is_pre_vote: true } => {
                self.handle_pre_vote(now, from, term, last);
            }
            Message::RequestVote { term, last, is_pre_vote: false } => {
                self.handle_vote_request(now, from, term, last);
            }
            Message::VoteReply { term, granted, is_pre_vote, disk } => {
                self.handle_vote_reply(now, Member { node: from, disk }, term, granted, is_pre_vote);
            }
            Message::Append { term, .. } if term < self.persistent.term => {
                // A deposed leader learns of the later term from this.
                let reply = self.append_reply(now, 0);
                self.send(from, reply);
            }
            Message::Append { term, round, last, state, committed, clock_echo, confirmed_ns_ago } => {
                let appended = Appended { term, round, last, state, committed };
                self.handle_append(now, from, appended);
                if let Some(ago) = confirmed_ns_ago.filter(|_| clock_echo > 0) {
                    let at = Time::from_nanos(clock_echo.saturating_sub(ago));
                    self.on_leader_confirmed(at, committed);
                }
            }
            Message::AppendReply { term, .. } if term > self.persistent.term => self.enter_term(now, term),
            Message::AppendReply { term, round, stored, disk, clock } => {
                if term == self.persistent.term {
                    self.handle_append_reply(now, Member { node: from, disk }, round, stored, clock);
                }
            }
            Message::TimeoutNow { term } => {
                if term == self.persistent.term && self.is_voter() && self.shutdown.is_none() {
                    self.start_election(now);
                }
            }
            Message::LeaveRequest { disk } => self.handle_leave_request(now, Member { node: from, disk }),
        }
    }

    /// The write with this number, and all before it, are synced.
    pub fn on_persisted(&mut self, now: Time, number: u64) {
        while let Some(write) = self.pending_writes.pop_front_if(|w| w.number <= number) {
            self.synced = self.synced.max(write.last);
            let messages = write.messages.into_iter();
            self.actions.extend(messages.map(|Envelope { to, message }| Action::Send { to, message }));
        }
        self.advance_commit(now);
    }

    // ---- shared by the modules of this package ----

    /// A pseudo-random number from 0 to 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.draws += 1;
        Rng::new(self.seed ^ self.draws.wrapping_mul(DRAW_STRIDE)).next_f64()
    }

    pub(crate) fn own_member(&self) -> Member {
        Member { node: self.me, disk: self.persistent.disk }
    }

    pub(crate) fn other_voters(&self) -> Vec<Member> {
        let own = self.own_member();
        self.voters().iter().copied().filter(|m| *m != own).collect()
    }

    pub(crate) fn majority(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    /// The number of a new proposal or read.
    pub(crate) fn next_request(&mut self) -> u64 {
        self.requests += 1;
        self.requests
    }

    pub(crate) fn send(&mut self, to: NodeAddress, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    /// Has the persistent state written; the messages leave once it is synced.
    pub(crate) fn persist(&mut self, now: Time, messages: Vec<Envelope>) {
        self.writes += 1;
        let last = self.persistent.last;
        self.pending_writes.push_back(PendingWrite { number: self.writes, last, since: now, messages });
        self.actions.push(Action::Persist { number: self.writes, state: self.persistent.clone() });
    }

    #[cfg(feature = "deliberate-faults")]
    pub(crate) fn has_fault(&self, fault: crate::Fault) -> bool {
        self.fault == Some(fault)
    }
}

/// The state of a node whose disk holds nothing: the seeds vote. Only at the first start of the system does it vote
/// itself, by the identity 0 that all founders share; else it has forgotten its votes and is another member.
fn first_state(config: &ConsensusConfig) -> PersistentState {
    let mut voters: Vec<Member> = config.seeds.iter().map(|s| Member { node: *s, disk: 0 }).collect();
    voters.sort();
    voters.dedup();
    let mut rng = Rng::new(config.rng_seed);
    let drawn = u64::from(rng.next_u32()) << 32 | u64::from(rng.next_u32()) | 1;
    let disk = if config.bootstrap { 0 } else { drawn };
    let state = ReplicatedState { voters, ..ReplicatedState::default() };
    PersistentState { disk, state, ..PersistentState::default() }
}
