//! State machine of a voter.
//!
//! The `raft` library implements the consensus protocol. This module adds the identity of the voter, the
//! bootstrap of the table, the handling of lost records and disk failures, and messages that wait for the
//! disk. All random choices depend on the seed, so that runs are repeatable.

mod joining;
mod ready;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::panic::{AssertUnwindSafe, catch_unwind};

use lynxstair::types::{Span, Time};
use raft::eraftpb::Message as RaftMessage;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::envelope::{DecodeError, Envelope};
use crate::event::{Action, Event, HolderMessage};
use crate::identity::{VoterId, VoterInfo};
use crate::leader::LeaderState;
use crate::message::{Message, Request, Response};
use crate::phase::Phase;
use crate::raft_node::RaftNode;
use crate::record::{PersistentState, Record};
use crate::times::{DisabledParts, Times};

/// Wait before a suspended voter probes its disk again.
const DISK_RETRY_INTERVAL: Span = Span::from_millis(500);
/// Number of missed ticks from which the process is considered to have been paused.
const STALLED_TICKS: u64 = 4;
/// Factor by which the measured disk latency decreases with each faster write.
const DISK_LATENCY_DECAY: f64 = 0.875;
/// Number of disk writes by whose duration the election time-out is extended.
const WRITES_PER_ELECTION: f64 = 3.0;

/// Start-up parameters of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the member.
    pub name: String,
    /// Address at which others reach the member.
    pub addr: SocketAddrV4,
    /// Names and addresses of the voters in the fleet file.
    pub initial_voters: Vec<(String, SocketAddrV4)>,
    /// State recorded on disk.
    pub state: PersistentState,
    /// `true` if the end of the records was lost, which may have contained a vote or an acknowledged entry.
    pub has_lost_records: bool,
    /// Seed of the random number generator and of election time-outs.
    pub seed: u64,
    /// Intervals and time-outs.
    pub times: Times,
    /// Safeguards that a trial disables.
    pub disabled: DisabledParts,
}

/// Status of a voter for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterView {
    /// Id of the voter; 0 if it has none.
    pub id: VoterId,
    /// Current phase.
    pub phase: Phase,
    /// Human-readable reason for the phase.
    #[serde(rename = "why")]
    pub reason: String,
    /// Time in the current phase, in milliseconds.
    #[serde(rename = "for_ms")]
    pub time_in_phase_ms: u64,
    /// Raft term; 0 if `raft` does not run.
    pub term: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Number of log entries after the snapshot.
    pub log_entries: u64,
    /// Number of datagrams that could not be decoded.
    #[serde(rename = "dropped")]
    pub dropped_datagrams: u64,
}

/// Write to disk, or step of `raft` that waits for earlier writes.
struct PendingWrite {
    ticket: u64,
    /// Record to write; `None` if this only waits for the writes before it.
    record: Option<Record>,
    /// Number of the `raft::Ready` that is persisted with this write.
    ready_number: Option<u64>,
    /// Messages to send once this write and all before it are on disk.
    messages: Vec<RaftMessage>,
    started_at: Time,
}

/// A voter, or a member that may become one. Performs no I/O: the caller passes in the time and received
/// datagrams, and carries out the [`Action`]s.
pub struct Voter {
    pub(crate) info: VoterInfo,
    envelope: Envelope,
    initial_voters: Vec<(String, SocketAddrV4)>,
    pub(crate) times: Times,
    pub(crate) disabled: DisabledParts,
    seed: u64,
    rng: Pcg64Mcg,
    phase: Phase,
    phase_reason: String,
    phase_since: Time,
    /// State recorded on disk.
    state: PersistentState,
    pending_writes: VecDeque<PendingWrite>,
    last_ticket: u64,
    /// Ticket of the pending [`Record::Probe`].
    probe_ticket: Option<u64>,
    probe_at: Option<Time>,
    pub(crate) node: Option<RaftNode>,
    pub(crate) leader: Option<LeaderState>,
    /// Reason for which the records must not be used. The voter takes a new identity instead.
    distrust_reason: Option<&'static str>,
    /// Initial voters that have no table either, by name.
    peers_without_table: BTreeMap<String, VoterInfo>,
    next_tick: Time,
    next_hello: Time,
    /// Duration of recent writes.
    disk_latency: Span,
    dropped_datagrams: u64,
    actions: Vec<Action>,
}

impl Voter {
    /// Creates a voter from its records.
    pub fn new(now: Time, config: VoterConfig) -> Self {
        let has_identity = config.state.id != VoterId::NONE;
        let distrusts_records = config.has_lost_records && has_identity && !config.disabled.votes_forgotten;
        let distrust_reason = distrusts_records
            .then_some("the end of its records is missing: a vote or an acknowledged entry may be lost");
        let mut voter = Voter {
            info: VoterInfo { id: config.state.id, name: config.name, addr: config.addr },
            envelope: Envelope::new(&config.fleet),
            initial_voters: config.initial_voters,
            times: config.times,
            disabled: config.disabled,
            seed: config.seed,
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            phase: Phase::NotVoter,
            phase_reason: "not a voter".to_string(),
            phase_since: now,
            state: config.state,
            pending_writes: VecDeque::new(),
            last_ticket: 0,
            probe_ticket: None,
            probe_at: None,
            node: None,
            leader: None,
            distrust_reason,
            peers_without_table: BTreeMap::new(),
            next_tick: now,
            next_hello: now,
            disk_latency: Span::ZERO,
            dropped_datagrams: 0,
            actions: Vec::new(),
        };
        voter.start_from_records(now);
        voter
    }

    /// Returns the actions to carry out, in order, and clears them.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`tick`](Self::tick) is due, or `None` if there is nothing to wait for.
    pub fn next_deadline(&self) -> Option<Time> {
        match self.phase {
            Phase::NotVoter | Phase::NewIdentity => None,
            Phase::NoTable => Some(self.next_hello),
            Phase::CatchingUp | Phase::Voting => Some(self.next_tick),
            Phase::Suspended => self.probe_at,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the status for operators.
    pub fn view(&self, now: Time) -> VoterView {
        let node = self.node.as_ref();
        VoterView {
            id: self.info.id,
            phase: self.phase,
            reason: self.phase_reason.clone(),
            time_in_phase_ms: (now - self.phase_since).nanos() / 1_000_000,
            term: node.map_or(0, RaftNode::term),
            leader: node.and_then(RaftNode::leader).map(|voter| voter.name.clone()),
            log_entries: node.map_or(0, |node| node.raft.store().entries.len() as u64),
            dropped_datagrams: self.dropped_datagrams,
        }
    }

    /// Returns `true` if this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Changes the phase if the transition is allowed. Every change goes through this function.
    fn set_phase(&mut self, now: Time, to: Phase, reason: &str) {
        let from = self.phase;
        if from == to || !to.may_follow(from) {
            return;
        }
        self.phase = to;
        self.phase_since = now;
        self.phase_reason = reason.to_string();
        if !to.runs_raft() {
            self.node = None;
            self.leader = None;
        }
        if matches!(to, Phase::NewIdentity | Phase::Suspended) {
            self.pending_writes.clear();
        }
        self.emit(Event::VoterPhase { from, to, reason: reason.to_string() });
    }

    pub(crate) fn emit(&mut self, event: Event) {
        self.actions.push(Action::Emit(event));
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: &Message) {
        if let Some(datagram) = self.envelope.encode(message) {
            self.actions.push(Action::Send { to, datagram });
        }
    }

    pub(crate) fn respond(&mut self, to: SocketAddrV4, number: u64, response: Response) {
        self.send(to, &Message::Response { number, response });
    }

    /// Writes a record on which no message and no step of `raft` depends.
    fn write(&mut self, now: Time, record: Record) {
        self.write_for_raft(now, record, None, Vec::new());
    }

    fn write_for_raft(
        &mut self,
        now: Time,
        record: Record,
        ready_number: Option<u64>,
        messages: Vec<RaftMessage>,
    ) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let stored = Some(record.clone());
        self.pending_writes.push_back(PendingWrite {
            ticket,
            record: stored,
            ready_number,
            messages,
            started_at: now,
        });
        self.actions.push(Action::Write { ticket, record });
    }

    /// Called when a write has ended, in the order of the writes. A failed write suspends the voter.
    pub fn on_written(&mut self, now: Time, ticket: u64, result: Result<(), &str>) {
        if self.probe_ticket == Some(ticket) {
            return self.on_probe_written(now, result.is_ok());
        }
        let is_pending = |write: &PendingWrite| write.ticket == ticket && write.record.is_some();
        if !self.pending_writes.iter().any(is_pending) {
            return;
        }
        if let Err(error) = result {
            self.set_phase(now, Phase::Suspended, &format!("a record could not be written: {error}"));
            self.probe_at = Some(now + DISK_RETRY_INTERVAL);
            return;
        }
        let mut messages = Vec::new();
        let mut ready_number = None;
        while let Some(write) = self.pending_writes.pop_front_if(|write| write.ticket <= ticket) {
            if let Some(record) = &write.record {
                self.disk_latency = (now - write.started_at).max(self.disk_latency.times(DISK_LATENCY_DECAY));
                // The record was encoded by this process, so decoding it does not fail.
                let _ = self.state.apply(record);
                self.on_record_persisted(now, record);
            }
            ready_number = write.ready_number.or(ready_number);
            messages.extend(write.messages);
        }
        if self.node.is_some() {
            self.send_raft_messages(messages);
            self.with_raft(now, |node| {
                if let Some(number) = ready_number {
                    node.raft.on_persist_ready(number);
                }
            });
        }
    }

    fn on_probe_written(&mut self, now: Time, is_written: bool) {
        self.probe_ticket = None;
        if is_written {
            self.probe_at = None;
            self.start_from_records(now);
        } else {
            self.probe_at = Some(now + DISK_RETRY_INTERVAL);
        }
    }

    /// Handles everything that is due at `now`.
    pub fn tick(&mut self, now: Time) {
        match self.phase {
            Phase::NoTable if now >= self.next_hello => self.send_hellos(now),
            Phase::Suspended if self.probe_at.is_some_and(|at| at <= now) => self.probe_disk(),
            Phase::CatchingUp | Phase::Voting if now >= self.next_tick => self.tick_raft(now),
            _ => {}
        }
    }

    fn probe_disk(&mut self) {
        self.probe_at = None;
        self.last_ticket += 1;
        self.probe_ticket = Some(self.last_ticket);
        self.actions.push(Action::Write { ticket: self.last_ticket, record: Record::Probe });
    }

    fn tick_raft(&mut self, now: Time) {
        let missed_ticks = (now - self.next_tick).nanos() / self.times.tick.nanos().max(1);
        self.next_tick = now + self.times.tick;
        // Start no election while a write is late: the vote would have to wait for the same disk.
        let oldest_write = self.pending_writes.front();
        let waits_for_disk = oldest_write.is_some_and(|write| now - write.started_at > self.times.tick);
        let was_stalled = missed_ticks >= STALLED_TICKS || waits_for_disk;
        self.with_raft(now, |node| node.tick(was_stalled));
        self.tick_leader(now);
    }

    /// Handles a received datagram. Returns the message if it is for the lease holder of this member.
    ///
    /// # Errors
    /// If the datagram can't be decoded; it is dropped and counted.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        datagram: &[u8],
    ) -> Result<Option<HolderMessage>, DecodeError> {
        let message = self.envelope.decode(datagram).inspect_err(|_| self.dropped_datagrams += 1)?;
        match message {
            Message::Response { number, response } => {
                return Ok(Some(HolderMessage::Response { number, response }));
            }
            Message::DutyChanged { duty } => return Ok(Some(HolderMessage::DutyChanged { duty })),
            Message::Request { from: name, number, request } => {
                self.receive_request(now, from, &name, number, &request);
            }
            Message::Raft { cluster_id, body } => self.receive_raft(now, from, cluster_id, &body),
            Message::Hello { sender, status, wants_reply } => {
                self.receive_hello(now, sender, status, wants_reply);
            }
            Message::Invite => self.receive_invite(now, from),
        }
        Ok(None)
    }

    fn receive_request(&mut self, now: Time, from: SocketAddrV4, name: &str, number: u64, request: &Request) {
        if self.leader.is_some() {
            return self.handle_request(now, from, name, number, request);
        }
        let response = match (self.phase, &self.node) {
            (Phase::Voting, Some(node)) => Response::NotLeader {
                leader: node.leader().map(|voter| voter.addr),
                voters: node.table.voters.values().cloned().collect(),
            },
            (Phase::NotVoter, _) => return,
            _ => Response::Unavailable { reason: self.phase_reason.clone() },
        };
        self.respond(from, number, response);
    }

    /// Runs a step of `raft` and handles its output. If `raft` panics, as it does on some invalid messages,
    /// the voter is suspended and then restarts from its records.
    pub(crate) fn with_raft(&mut self, now: Time, step: impl FnOnce(&mut RaftNode)) {
        let Some(mut node) = self.node.take() else { return };
        let result = catch_unwind(AssertUnwindSafe(|| {
            step(&mut node);
            self.set_election_timeout(&mut node);
            self.handle_ready(now, &mut node);
        }));
        if result.is_err() {
            self.set_phase(now, Phase::Suspended, "raft panicked; the voter restarts from its records");
            self.probe_at = Some(now + DISK_RETRY_INTERVAL);
            return;
        }
        let has_table = node.applied > 0 && node.raft.raft.raft_log.persisted > 0;
        if self.phase == Phase::CatchingUp && has_table {
            self.set_phase(now, Phase::Voting, "received the table");
        }
        self.node = Some(node);
        self.update_leadership(now);
    }

    fn set_election_timeout(&self, node: &mut RaftNode) {
        let writes = self.disk_latency.times(WRITES_PER_ELECTION);
        let disk_ticks = writes.nanos() / self.times.tick.nanos().max(1);
        node.set_election_timeout(self.seed, self.info.id, &self.times, disk_ticks);
    }

    /// Creates or drops the leader state after `raft` may have changed its role.
    fn update_leadership(&mut self, now: Time) {
        let Some(node) = self.node.as_mut() else { return };
        let (is_leader, term) = (node.is_leader(), node.term());
        let was_leader = std::mem::replace(&mut node.was_leader, is_leader);
        let leads_this_term = self.leader.as_ref().is_some_and(|leader| leader.term == term);
        if is_leader && !leads_this_term {
            self.leader = Some(LeaderState::new(now, term));
            self.emit(Event::Leadership { term, is_leader });
        } else if !is_leader && was_leader {
            self.leader = None;
            self.emit(Event::Leadership { term, is_leader });
        }
    }
}
