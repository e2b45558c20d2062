//! The state machine: its fields, entry points and message dispatch.

use std::collections::VecDeque;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member, Message, ReplicatedState};

use crate::action::{Action, Envelope, PendingWrite, PersistentState};
use crate::replication::AppendRequest;
use crate::role::Role;
use crate::{NodeAddress, membership, read_index, replication};

/// Multiplied by the number of draws and combined with the seed, so that each draw has a seed of its own
/// (2^64 divided by the golden ratio).
const DRAW_STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;

/// Start-up parameters of a node.
#[derive(Clone, Debug)]
pub struct ConsensusConfig<'a> {
    /// Address of this node.
    pub me: NodeAddress,
    /// Addresses of the founding members.
    pub seeds: &'a [NodeAddress],
    /// Seed of the pseudo-random number generator.
    pub rng_seed: u64,
    /// State read from the disk; `None` if the disk is empty, at the first start or after the loss of its
    /// data.
    pub stored: Option<PersistentState>,
    /// `true` at the first start of the whole system: a node with an empty disk is then a founding member.
    pub bootstrap: bool,
    /// Number of disks that may be lost at once. The target number of voters is twice this number plus one.
    pub tolerated_disk_losses: usize,
    /// Time after the return of a machine during which it still counts as lost.
    pub catch_up_time: Span,
}

/// Graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    pub began_at: Time,
    /// Time at which a leave request was last due. It is sent only if the leader is known.
    pub last_request_at: Time,
}

/// Consensus state machine of one node.
#[derive(Clone, Debug)]
pub struct Consensus {
    pub(crate) me: NodeAddress,
    /// Seed of the random numbers, and the count of numbers drawn so far. A clone continues the same
    /// sequence independently.
    seed: u64,
    draws: u64,
    /// Target number of voters.
    pub(crate) target_voters: usize,
    pub(crate) tolerated_disk_losses: usize,
    /// Time without a reply after which a voter is replaced if a learner can take its place, or removed if
    /// there are more voters than the target number.
    pub(crate) voter_timeout: Span,
    pub(crate) persistent: PersistentState,
    /// Newest position that is known to be synced on this node's disk.
    pub(crate) synced: LogId,
    write_count: u64,
    pub(crate) pending_writes: VecDeque<PendingWrite>,
    pub(crate) committed: LogId,
    pub(crate) role: Role,
    pub(crate) election_timeout: Span,
    /// On a follower: latest time, on its own clock, at which the leader was confirmed by a quorum with
    /// `committed` as the newest committed position.
    pub(crate) confirmed_at: Option<Time>,
    /// On a follower: latest time, on its own clock, at which a leader that has received a reply of this
    /// node was confirmed by a quorum.
    pub(crate) quorum_contact_at: Option<Time>,
    request_count: u64,
    /// `true` once this node has received a message from a leader or has led since its start.
    pub(crate) has_seen_leader: bool,
    /// Set while this node shuts down.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) actions: Vec<Action>,
    /// Safety rule that a test disables.
    #[cfg(feature = "deliberate-faults")]
    pub fault: Option<crate::Fault>,
}

impl Consensus {
    /// Creates a node from its stored state, or from an empty disk as a founding or a new member.
    pub fn new(now: Time, config: ConsensusConfig) -> Consensus {
        let is_new = config.stored.is_none();
        let persistent = match config.stored {
            Some(stored) => stored,
            None => initial_state(&config),
        };
        let mut consensus = Consensus {
            me: config.me,
            seed: config.rng_seed,
            draws: 0,
            target_voters: 2 * config.tolerated_disk_losses + 1,
            tolerated_disk_losses: config.tolerated_disk_losses,
            voter_timeout: config.catch_up_time.times(membership::VOTER_TIMEOUT_FRACTION),
            synced: persistent.last,
            persistent,
            write_count: 0,
            pending_writes: VecDeque::new(),
            committed: LogId::default(),
            role: Role::Follower { leader: None, last_contact_at: now },
            election_timeout: Span::ZERO,
            confirmed_at: None,
            quorum_contact_at: None,
            request_count: 0,
            has_seen_leader: false,
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

    /// Returns the voters of the newest stored state, committed or not.
    pub fn voters(&self) -> &[Member] {
        &self.persistent.state.voters
    }

    /// Returns the voter whose successor already votes and which the next membership change removes.
    pub fn outgoing_voter(&self) -> Option<Member> {
        self.persistent.state.outgoing_voter
    }

    /// Returns `true` if this node is a voter with its current disk.
    pub fn is_voter(&self) -> bool {
        self.voters().contains(&self.own_member())
    }

    /// Returns the leader of the current term if it is known.
    pub fn leader(&self) -> Option<NodeAddress> {
        match &self.role {
            Role::Follower { leader, .. } => *leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.me),
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.persistent.term
    }

    /// Returns the newest position that this node knows to be committed.
    pub fn committed(&self) -> LogId {
        self.committed
    }

    /// Returns `true` if this node leads and has committed a state in its term. Only then may it propose
    /// and serve reads (Raft, section 8).
    pub fn is_established_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(_)) && self.committed.term == self.persistent.term
    }

    /// Returns `true` if this node leads and its newest state is not yet committed.
    pub fn has_uncommitted(&self) -> bool {
        matches!(&self.role, Role::Leader(_)) && self.committed < self.persistent.last
    }

    /// Returns the time at which `tick` is next due.
    pub fn next_due(&self) -> Time {
        match &self.role {
            Role::Follower { last_contact_at, .. } => {
                let campaign = *last_contact_at + self.election_timeout;
                let request = |shutdown: Shutdown| shutdown.last_request_at + replication::HEARTBEAT_INTERVAL;
                self.shutdown.map_or(campaign, |shutdown| campaign.min(request(shutdown)))
            }
            Role::PreCandidate { since, .. } | Role::Candidate { since, .. } => {
                *since + self.election_timeout
            }
            Role::Leader(leader) => {
                let interval = if leader.round_requested {
                    read_index::READ_BATCH_INTERVAL
                } else {
                    replication::HEARTBEAT_INTERVAL
                };
                let round = leader.round_began_at + interval;
                round.min(leader.checked_at + replication::HEARTBEAT_INTERVAL)
            }
        }
    }

    /// Removes and returns the pending actions, in the order in which the caller must perform them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    // ---- events ----

    /// Runs the timers that are due: elections, heartbeat rounds, periodic checks and leave requests.
    pub fn tick(&mut self, now: Time) {
        if now < self.next_due() {
            return;
        }
        match &self.role {
            Role::Leader(_) => self.tick_leader(now),
            Role::Follower { last_contact_at, .. } if now < *last_contact_at + self.election_timeout => {
                self.send_leave_request(now);
            }
            _ if self.shutdown.is_some() || !self.is_voter() => {
                self.become_follower(now, None);
                self.send_leave_request(now);
            }
            _ => self.start_pre_vote(now),
        }
    }

    /// Handles a message from another node.
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
                // The reply carries the later term, so that a deposed leader steps down.
                let reply = self.append_reply(now, 0);
                self.send(from, reply);
            }
            Message::Append { term, round, last, state, committed, clock_echo, confirmed_ns_ago } => {
                let request = AppendRequest { term, round, last, state, committed };
                self.handle_append(now, from, request);
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

    /// Records that the write with this number and all earlier writes are synced, and releases their
    /// messages.
    pub fn on_persisted(&mut self, now: Time, number: u64) {
        while let Some(write) = self.pending_writes.pop_front_if(|w| w.number <= number) {
            self.synced = self.synced.max(write.last);
            let messages = write.messages.into_iter();
            self.actions.extend(messages.map(|Envelope { to, message }| Action::Send { to, message }));
        }
        self.advance_commit(now);
    }

    // ---- shared by the modules of this package ----

    /// Returns a pseudo-random number in [0, 1).
    pub(crate) fn random_fraction(&mut self) -> f64 {
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

    /// Returns the number of a new proposal or read.
    pub(crate) fn next_request(&mut self) -> u64 {
        self.request_count += 1;
        self.request_count
    }

    pub(crate) fn send(&mut self, to: NodeAddress, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    /// Requests a write of the persistent state; `messages` are sent once it is synced.
    pub(crate) fn persist(&mut self, now: Time, messages: Vec<Envelope>) {
        self.write_count += 1;
        let last = self.persistent.last;
        self.pending_writes.push_back(PendingWrite {
            number: self.write_count,
            last,
            requested_at: now,
            messages,
        });
        self.actions.push(Action::Persist { number: self.write_count, state: self.persistent.clone() });
    }

    #[cfg(feature = "deliberate-faults")]
    pub(crate) fn has_fault(&self, fault: crate::Fault) -> bool {
        self.fault == Some(fault)
    }
}

/// Returns the state of a node with an empty disk, in which the seeds vote. With `bootstrap` the disk gets
/// the identity 0 of a founding member. Otherwise it gets a random identity without a vote, as its earlier
/// votes may be lost.
fn initial_state(config: &ConsensusConfig) -> PersistentState {
    let mut voters: Vec<Member> = config.seeds.iter().map(|s| Member { node: *s, disk: 0 }).collect();
    voters.sort();
    voters.dedup();
    let mut rng = Rng::new(config.rng_seed);
    let drawn = u64::from(rng.next_u32()) << 32 | u64::from(rng.next_u32()) | 1;
    let disk = if config.bootstrap { 0 } else { drawn };
    let state = ReplicatedState { voters, ..ReplicatedState::default() };
    PersistentState { disk, state, ..PersistentState::default() }
}
