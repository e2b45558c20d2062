//! Start-up of a voter: it restarts from its records, or takes an identity and then bootstraps a table with
//! the other initial voters or joins voters that have one.

use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use protobuf::Message as _;
use raft::eraftpb::{Message as RaftMessage, MessageType};
use rand::Rng;

use super::Voter;
use crate::identity::{ClusterId, VoterId, VoterInfo, hash};
use crate::message::{Message, RecordStatus};
use crate::phase::Phase;
use crate::raft_node::RaftNode;
use crate::record::Record;

/// Interval between hellos of a voter without a table.
const HELLO_INTERVAL: Span = Span::from_millis(250);

/// Turns random bits into an id. 0 stands for no id.
fn nonzero_id(bits: u64) -> VoterId {
    VoterId(bits | 1)
}

/// Id that does not change if the records are lost; used by trials only.
fn id_from_name(name: &str) -> VoterId {
    nonzero_id(hash(&[name.as_bytes()]))
}

impl Voter {
    fn is_initial_voter(&self) -> bool {
        self.initial_voters.iter().any(|(name, _)| *name == self.info.name)
    }

    /// Returns the other voters in the fleet file.
    fn initial_peers(&self) -> Vec<(String, SocketAddrV4)> {
        self.initial_voters.iter().filter(|(name, _)| *name != self.info.name).cloned().collect()
    }

    /// Starts, or restarts after a suspension, from the records on disk.
    pub(super) fn start_from_records(&mut self, now: Time) {
        if let Some(reason) = self.distrust_reason {
            self.take_new_identity(now, reason);
        } else if self.state.id == VoterId::NONE {
            if self.is_initial_voter() {
                self.take_new_identity(now, "its directory holds no records");
            }
        } else if self.state.cluster_id.is_some() {
            self.start_raft(now, "its records are complete");
        } else {
            self.set_phase(now, Phase::NoTable, "it has an identity and no table");
        }
    }

    /// Takes a new random id, which has not voted or acknowledged anything yet. A voter that lost the
    /// record of a vote and kept its id could vote twice in a term (Raft, section 5.2).
    pub(super) fn take_new_identity(&mut self, now: Time, reason: &str) {
        self.set_phase(now, Phase::NewIdentity, reason);
        let id = match self.disabled.votes_forgotten {
            true => id_from_name(&self.info.name),
            false => nonzero_id(self.rng.next_u64()),
        };
        self.write(now, Record::Identity { id });
    }

    fn start_raft(&mut self, now: Time, reason: &str) {
        let log = self.state.log.clone();
        let is_empty = log.last_entry_index() == 0;
        let phase = if is_empty { Phase::CatchingUp } else { Phase::Voting };
        self.set_phase(now, phase, reason);
        self.info.id = self.state.id;
        let Some(node) = RaftNode::new(self.info.id, log, &self.times) else {
            let reason = "its records are inconsistent";
            self.distrust_reason = Some(reason);
            return self.take_new_identity(now, reason);
        };
        self.node = Some(node);
        self.next_tick = now + self.times.tick;
        self.with_raft(now, |_| ());
    }

    /// Continues the start-up once one of its records is on disk.
    pub(super) fn on_record_persisted(&mut self, now: Time, record: &Record) {
        match record {
            Record::Identity { id } => self.on_identity_persisted(now, *id),
            Record::Bootstrapped { .. } => self.start_raft(now, "all initial voters bootstrap the table"),
            Record::Joined { .. } => self.start_raft(now, "joined voters that have a table"),
            Record::Log { .. } | Record::Snapshot { .. } | Record::Probe => {}
        }
    }

    fn on_identity_persisted(&mut self, now: Time, id: VoterId) {
        self.info.id = id;
        self.distrust_reason = None;
        self.peers_without_table.clear();
        self.set_phase(now, Phase::NoTable, "its new identity is on disk; it has no table yet");
        self.next_hello = now;
        if self.disabled.votes_forgotten {
            let voter = |(name, addr): &(String, SocketAddrV4)| VoterInfo {
                id: id_from_name(name),
                name: name.clone(),
                addr: *addr,
            };
            let voters = self.initial_voters.iter().map(voter).collect();
            self.write(now, Record::Bootstrapped { voters });
        }
    }

    fn hello(&self, wants_reply: bool) -> Message {
        let status = self.state.cluster_id.map_or(RecordStatus::Empty, RecordStatus::Member);
        Message::Hello { sender: self.info.clone(), status, wants_reply }
    }

    /// Sends a hello to the other initial voters. A single initial voter bootstraps the table at once.
    pub(super) fn send_hellos(&mut self, now: Time) {
        self.next_hello = now + HELLO_INTERVAL;
        let hello = self.hello(true);
        let peers = self.initial_peers();
        for (_, addr) in &peers {
            self.send(*addr, &hello);
        }
        if peers.is_empty() {
            self.try_bootstrap(now);
        }
    }

    pub(super) fn receive_invite(&mut self, now: Time, from: SocketAddrV4) {
        match self.phase {
            Phase::NotVoter => self.take_new_identity(now, "invited to become a voter"),
            Phase::NoTable => {
                let hello = self.hello(false);
                self.send(from, &hello);
            }
            _ => {}
        }
    }

    pub(super) fn receive_hello(
        &mut self,
        now: Time,
        sender: VoterInfo,
        status: RecordStatus,
        wants_reply: bool,
    ) {
        if sender.name == self.info.name || matches!(self.phase, Phase::NotVoter | Phase::NewIdentity) {
            return;
        }
        if wants_reply && self.phase != Phase::Suspended {
            let hello = self.hello(false);
            self.send(sender.addr, &hello);
        }
        let is_initial =
            self.initial_voters.iter().any(|(name, addr)| *name == sender.name && *addr == sender.addr);
        match (self.phase, status) {
            (Phase::NoTable, RecordStatus::Empty) if is_initial => {
                self.peers_without_table.insert(sender.name.clone(), sender);
                self.try_bootstrap(now);
            }
            // That voter has a table, so this one must join it and not bootstrap another.
            (Phase::NoTable, RecordStatus::Member(_)) => {
                self.peers_without_table.remove(&sender.name);
            }
            (Phase::Voting, RecordStatus::Empty) => self.handle_voter_without_table(now, sender),
            _ => {}
        }
    }

    /// Bootstraps a table once all initial voters have reported that they have none. Different sets of
    /// identities form clusters with different ids.
    fn try_bootstrap(&mut self, now: Time) {
        if !self.is_initial_voter() || !self.pending_writes.is_empty() {
            return;
        }
        let peers = self.initial_peers();
        let infos = peers.iter().map(|(name, _)| self.peers_without_table.get(name).cloned());
        let Some(mut voters) = infos.collect::<Option<Vec<VoterInfo>>>() else { return };
        voters.push(self.info.clone());
        voters.sort();
        self.write(now, Record::Bootstrapped { voters });
    }

    pub(super) fn receive_raft(&mut self, now: Time, from: SocketAddrV4, cluster_id: ClusterId, body: &[u8]) {
        let Ok(message) = RaftMessage::parse_from_bytes(body) else {
            self.dropped_datagrams += 1;
            return;
        };
        if message.to != self.info.id.0 || self.info.id == VoterId::NONE {
            return;
        }
        match self.phase {
            Phase::NoTable if self.pending_writes.is_empty() => {
                self.write(now, Record::Joined { cluster_id });
            }
            Phase::CatchingUp | Phase::Voting if self.state.cluster_id == Some(cluster_id) => {
                if self.has_lost_entries(&message) {
                    let reason = "its records are older than its promises: acknowledged entries are missing";
                    self.distrust_reason = Some(reason);
                    return self.take_new_identity(now, reason);
                }
                self.with_raft(now, |node| {
                    node.learn_sender(message.from, from);
                    // An error means that `raft` ignored the message.
                    let _ = node.raft.step(message);
                });
            }
            _ => {}
        }
    }

    /// Returns `true` if a heartbeat shows that this voter has lost entries that it acknowledged, for
    /// example because its disk was restored from an older copy. A leader sends no commit index beyond what
    /// the voter acknowledged.
    fn has_lost_entries(&self, message: &RaftMessage) -> bool {
        let Some(node) = &self.node else { return false };
        !self.disabled.votes_forgotten
            && message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= node.term()
            && message.commit > node.raft.raft.raft_log.last_index()
    }
}
