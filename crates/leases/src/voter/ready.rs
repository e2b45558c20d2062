//! Output of `raft`: messages to send, records to persist and entries to apply.
//!
//! A message that depends on persisted state (a vote, an acknowledgement of an entry) is sent once that
//! state is on disk. `raft` counts this voter's own vote or acknowledgement from then on, too.

use lynxstair::types::Time;
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeV2, Entry, EntryType, HardState, Message as RaftMessage, MessageType, Snapshot,
};
use raft::{Ready, SnapshotStatus};

use super::{PendingWrite, Voter};
use crate::event::Event;
use crate::leader::VoterChange;
use crate::message::Message;
use crate::raft_node::RaftNode;
use crate::record::Record;
use crate::table::{Command, Outcome};

impl Voter {
    pub(super) fn send_raft_messages(&mut self, messages: Vec<RaftMessage>) {
        let Some(mut node) = self.node.take() else { return };
        self.send_from_node(&mut node, messages);
        self.node = Some(node);
    }

    fn send_from_node(&mut self, node: &mut RaftNode, messages: Vec<RaftMessage>) {
        let Some(cluster_id) = self.state.cluster_id else { return };
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // The response to the next message shows whether the snapshot arrived.
                node.raft.report_snapshot(message.to, SnapshotStatus::Finish);
            }
            if let (Some(to), Ok(body)) = (node.address_of(message.to), message.write_to_bytes()) {
                self.send(to, &Message::Raft { cluster_id, body });
            }
        }
    }

    /// Handles all output that `raft` has ready.
    pub(super) fn handle_ready(&mut self, now: Time, node: &mut RaftNode) {
        while node.raft.has_ready() {
            let mut ready = node.raft.ready();
            let number = ready.number();
            let reads = ready.take_read_states();
            let messages = ready.take_messages();
            self.send_from_node(node, messages);
            let record = self.store_ready(now, node, &mut ready);
            let mut deferred = self.send_immediate(node, ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            node.raft.advance_append_async(ready);
            if self.disabled.no_waiting_for_disk {
                self.send_from_node(node, std::mem::take(&mut deferred));
                node.raft.on_persist_ready(number);
            }
            self.persist(now, node, record, number, deferred);
            for entry in committed {
                self.apply_entry(now, node, &entry);
            }
            self.on_reads_confirmed(now, node, reads);
            self.set_election_timeout(node);
            node.advance_apply();
        }
        node.advance_apply();
        self.compact_log(now, node);
    }

    /// Adds a new snapshot, entries and hard state to the log in memory. Returns the record to persist; if
    /// there are both a snapshot and entries, the record of the snapshot is written here.
    fn store_ready(&mut self, now: Time, node: &mut RaftNode, ready: &mut Ready) -> Option<Record> {
        let encode = |hard_state: &HardState| hard_state.write_to_bytes().unwrap_or_default();
        let hard_state = ready.hs().map(encode);
        let mut record = None;
        if !ready.snapshot().is_empty() {
            let bytes = ready.snapshot().write_to_bytes().unwrap_or_default();
            record = Some(Record::Snapshot { bytes, hard_state: hard_state.clone() });
            install_snapshot(node, ready.snapshot().clone());
        }
        let entries = ready.take_entries();
        if !entries.is_empty() || ready.must_sync() && record.is_none() {
            if let Some(snapshot) = record.take() {
                self.write(now, snapshot);
            }
            let entries = entries.iter().map(|entry| entry.write_to_bytes().unwrap_or_default()).collect();
            record = Some(Record::Log { hard_state, entries });
        }
        for entry in entries {
            node.raft.mut_store().append(entry);
        }
        if let Some(hard_state) = ready.hs() {
            node.raft.mut_store().hard_state = hard_state.clone();
        }
        record
    }

    /// Sends the responses to heartbeats of a term that is on disk, which depend on no pending write.
    /// Returns the other messages.
    fn send_immediate(&mut self, node: &mut RaftNode, messages: Vec<RaftMessage>) -> Vec<RaftMessage> {
        let persisted_term = self.state.log.hard_state.term;
        let is_immediate = |message: &RaftMessage| {
            message.get_msg_type() == MessageType::MsgHeartbeatResponse && message.term == persisted_term
        };
        let (immediate, deferred) = messages.into_iter().partition(is_immediate);
        self.send_from_node(node, immediate);
        deferred
    }

    /// Writes the record, and sends the deferred messages once it and all earlier writes are on disk.
    fn persist(
        &mut self,
        now: Time,
        node: &mut RaftNode,
        record: Option<Record>,
        number: u64,
        deferred: Vec<RaftMessage>,
    ) {
        if let Some(record) = record {
            return self.write_for_raft(now, record, Some(number), deferred);
        }
        match self.pending_writes.back().map(|write| write.ticket) {
            Some(ticket) => self.pending_writes.push_back(PendingWrite {
                ticket,
                record: None,
                ready_number: Some(number),
                messages: deferred,
                started_at: now,
            }),
            None => {
                node.raft.on_persist_ready(number);
                self.send_from_node(node, deferred);
            }
        }
    }

    fn apply_entry(&mut self, now: Time, node: &mut RaftNode, entry: &Entry) {
        node.applied = entry.index;
        match entry.get_entry_type() {
            // A new leader appends an empty entry.
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => self.apply_command(now, node, entry),
            EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                self.apply_voter_change(node, entry);
            }
        }
    }

    fn apply_command(&mut self, now: Time, node: &mut RaftNode, entry: &Entry) {
        let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { return };
        let outcome = node.table.apply(&command, self.disabled.no_epochs);
        match outcome.clone() {
            Outcome::Granted { duty, to, epoch } => {
                let (owner, incarnation) = (to.name, to.incarnation);
                self.emit(Event::Granted { duty, owner, incarnation, epoch });
            }
            Outcome::Released { duty, from, epoch } => {
                self.emit(Event::Released { duty, owner: from.name, epoch });
            }
            Outcome::Updated | Outcome::Rejected(_) => {}
        }
        self.on_command_applied(now, node, &entry.context, &command, &outcome);
    }

    fn apply_voter_change(&mut self, node: &mut RaftNode, entry: &Entry) {
        let Ok(conf_change) = ConfChangeV2::parse_from_bytes(&entry.data) else { return };
        if node.raft.apply_conf_change(&conf_change).is_err() {
            return;
        }
        node.voters_changed = true;
        // The entry that ends a joint configuration has no context.
        let Ok(change) = postcard::from_bytes::<VoterChange>(&conf_change.context) else { return };
        node.table.voters.remove(&change.old);
        node.table.record_admin_result(change.id, None);
        node.table.voters.insert(change.new.id, change.new);
        node.learn_addresses();
        let names = node.table.voters.values().map(|voter| voter.name.clone()).collect();
        self.emit(Event::Voters { names });
        self.on_voter_replaced(change.id);
    }

    /// Compacts the log into a snapshot if it is too long or the voters have changed.
    fn compact_log(&mut self, now: Time, node: &mut RaftNode) {
        let entries = node.raft.store().entries.len() as u64;
        if !node.voters_changed && entries <= self.times.max_log_entries {
            return;
        }
        let Ok(term) = node.raft.raft.raft_log.term(node.applied) else { return };
        let conf_state = node.raft.raft.prs().conf().to_conf_state();
        // Wait for the entry that ends the joint configuration.
        if !conf_state.voters_outgoing.is_empty() {
            return;
        }
        node.voters_changed = false;
        let data = postcard::to_allocvec(&node.table).unwrap_or_default().into();
        let mut snapshot = Snapshot { data, ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (node.applied, term);
        metadata.set_conf_state(conf_state);
        let bytes = snapshot.write_to_bytes().unwrap_or_default();
        node.raft.mut_store().install_snapshot(snapshot);
        let hard_state = node.raft.store().hard_state.write_to_bytes().ok();
        self.write(now, Record::Snapshot { bytes, hard_state });
    }
}

fn install_snapshot(node: &mut RaftNode, snapshot: Snapshot) {
    node.applied = snapshot.get_metadata().index;
    node.raft.mut_store().install_snapshot(snapshot);
    node.table = node.raft.store().table();
    node.learn_addresses();
}
