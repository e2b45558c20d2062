//! One voter, from an empty directory to taking part, and what follows from its disk.
//!
//! The protocol itself is `raft`'s. Here is what it leaves open: who a voter is, how a table begins, when a voter
//! must not vote, that nothing is promised before it is on disk, and that runs are repeatable.

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

/// After so long a disk that failed is tried again.
const DISK_RETRY_INTERVAL: Span = Span::from_millis(500);
/// So many missed ticks show that the process was paused.
const STALLED_TICKS: u64 = 4;
/// What is left of the measured disk latency after each faster write.
const LATENCY_DECAY: f64 = 0.875;
/// An election must last several writes of a slow disk.
const WRITES_PER_ELECTION: f64 = 3.0;

/// What a voter is started with.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// The fleet's name.
    pub fleet: String,
    /// The member's name.
    pub name: String,
    /// Where others reach it.
    pub addr: SocketAddrV4,
    /// The voters that the fleet file names.
    pub initial_voters: Vec<(String, SocketAddrV4)>,
    /// What its records amount to.
    pub state: PersistentState,
    /// The end of the records was missing: what was lost may have been promised to others.
    pub has_lost_records: bool,
    /// Fixes its random choices.
    pub seed: u64,
    /// Intervals and timeouts.
    pub times: Times,
    /// For trials.
    pub disabled: DisabledParts,
}

/// What an operator is shown of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterView {
    /// Its id.
    pub id: VoterId,
    /// Its phase.
    pub phase: Phase,
    /// Why it is in this phase.
    #[serde(rename = "why")]
    pub reason: String,
    /// For how long it has been.
    #[serde(rename = "for_ms")]
    pub time_in_phase_ms: u64,
    /// Raft's term.
    pub term: u64,
    /// The leader, as far as it knows.
    pub leader: Option<String>,
    /// Entries in its log.
    pub log_entries: u64,
    /// Datagrams that it could not decode.
    #[serde(rename = "dropped")]
    pub dropped_datagrams: u64,
}

/// What `raft` waits for from the disk.
struct PendingWrite {
    ticket: u64,
    /// `None`: nothing of its own is written, it waits for the writes before it.
    record: Option<Record>,
    ready_number: Option<u64>,
    /// Sent once the write and all before it are on disk.
    messages: Vec<RaftMessage>,
    since: Time,
}

/// One voter, or one that may become one.
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
    /// As it is on disk.
    state: PersistentState,
    pending_writes: VecDeque<PendingWrite>,
    last_ticket: u64,
    /// The write that shows whether the disk takes records again.
    probe_ticket: Option<u64>,
    probe_at: Option<Time>,
    pub(crate) node: Option<RaftNode>,
    pub(crate) leader: Option<LeaderState>,
    /// Why its records can't be trusted: it votes on none of them, whatever happens meanwhile.
    distrust_reason: Option<&'static str>,
    /// Initial voters that said they have no table either.
    peers_without_table: BTreeMap<String, VoterInfo>,
    next_tick: Time,
    next_hello: Time,
    /// How long a write took lately.
    disk_latency: Span,
    dropped_datagrams: u64,
    actions: Vec<Action>,
}

impl Voter {
    /// A voter that goes on from its records.
    pub fn new(now: Time, config: VoterConfig) -> Self {
        let has_identity = config.state.id != VoterId::NONE;
        let distrusts_records = config.has_lost_records && has_identity && !config.disabled.votes_forgotten;
        let distrust_reason = distrusts_records
            .then_some("the end of its records is missing: what was lost may have been promised");
        let mut voter = Voter {
            info: VoterInfo { id: config.state.id, name: config.name, addr: config.addr },
            envelope: Envelope::new(&config.fleet),
            initial_voters: config.initial_voters,
            times: config.times,
            disabled: config.disabled,
            seed: config.seed,
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            phase: Phase::NotVoter,
            phase_reason: "no voter".to_string(),
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

    /// Takes the actions to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// When `tick` is due; `None`: not before something is received.
    pub fn next_deadline(&self) -> Option<Time> {
        match self.phase {
            Phase::NotVoter | Phase::NewIdentity => None,
            Phase::NoTable => Some(self.next_hello),
            Phase::CatchingUp | Phase::Voting => Some(self.next_tick),
            Phase::Suspended => self.probe_at,
        }
    }

    /// Its phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What an operator is shown.
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

    /// Whether this voter leads.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Changes the phase where the change is allowed. Every change goes through here.
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

    /// Writes a record that no message and no step of `raft` waits for.
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
            since: now,
        });
        self.actions.push(Action::Write { ticket, record });
    }

    /// A write ended. Called in the order of the writes.
    pub fn on_written(&mut self, now: Time, ticket: u64, result: Result<(), &str>) {
        if self.probe_ticket == Some(ticket) {
            return self.on_probe_written(now, result.is_ok());
        }
        let is_pending = |write: &PendingWrite| write.ticket == ticket && write.record.is_some();
        if !self.pending_writes.iter().any(is_pending) {
            return;
        }
        if let Err(why) = result {
            self.set_phase(now, Phase::Suspended, &format!("not on disk: {why}"));
            self.probe_at = Some(now + DISK_RETRY_INTERVAL);
            return;
        }
        let mut messages = Vec::new();
        let mut ready_number = None;
        while let Some(write) = self.pending_writes.pop_front_if(|write| write.ticket <= ticket) {
            if let Some(record) = &write.record {
                self.disk_latency = (now - write.since).max(self.disk_latency.times(LATENCY_DECAY));
                // This program made the record itself, so it can be read.
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

    /// Time passed.
    pub fn tick(&mut self, now: Time) {
        match self.phase {
            Phase::NoTable if now >= self.next_hello => self.say_hello(now),
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
        // A vote of this voter would wait for its disk, too: no election while the disk does not respond.
        let oldest_write = self.pending_writes.front();
        let waits_for_disk = oldest_write.is_some_and(|write| now - write.since > self.times.tick);
        let was_stalled = missed_ticks >= STALLED_TICKS || waits_for_disk;
        self.with_raft(now, |node| node.tick(was_stalled));
        self.tick_leader(now);
    }

    /// A datagram was received. Returns what is for this member's lease holder.
    ///
    /// # Errors
    /// The datagram was dropped.
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

    /// Has `raft` do something and handles what it hands out. Where it panics, as it does on messages that no
    /// correct voter sends, the voter is suspended and starts again from its records.
    pub(crate) fn with_raft(&mut self, now: Time, step: impl FnOnce(&mut RaftNode)) {
        let Some(mut node) = self.node.take() else { return };
        let result = catch_unwind(AssertUnwindSafe(|| {
            step(&mut node);
            self.set_election_timeout(&mut node);
            self.handle_ready(now, &mut node);
        }));
        if result.is_err() {
            self.set_phase(
                now,
                Phase::Suspended,
                "it can't go on from what it heard; begins again from its records",
            );
            self.probe_at = Some(now + DISK_RETRY_INTERVAL);
            return;
        }
        let has_table = node.applied > 0 && node.raft.raft.raft_log.persisted > 0;
        if self.phase == Phase::CatchingUp && has_table {
            self.set_phase(now, Phase::Voting, "it has the record");
        }
        self.node = Some(node);
        self.update_leadership(now);
    }

    fn set_election_timeout(&self, node: &mut RaftNode) {
        let writes = self.disk_latency.times(WRITES_PER_ELECTION);
        let disk_ticks = writes.nanos() / self.times.tick.nanos().max(1);
        node.set_election_timeout(self.seed, self.info.id, &self.times, disk_ticks);
    }

    /// Notices that it began to lead, or ceased to.
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
