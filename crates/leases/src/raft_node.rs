//! `raft` with the table it has applied, the addresses of voters, and a repeatable election timeout.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::panic::{AssertUnwindSafe, catch_unwind};

use raft::{Config, RawNode, StateRole};

use crate::identity::{VoterId, VoterInfo, hash};
use crate::raft_log::RaftLog;
use crate::table::LeaseTable;
use crate::times::Times;

/// Most voters whose addresses are known beyond those of the table.
const MAX_ADDRESSES: usize = 64;
const MAX_MESSAGE_BYTES: u64 = 600;
const MAX_INFLIGHT_MESSAGES: usize = 32;
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 10;
/// Above every timeout that [`RaftNode::set_election_timeout`] draws.
const MAX_ELECTION_TICKS: usize = 1 << 20;
/// The most that a slow disk adds to an election timeout, in ticks.
const MAX_DISK_TICKS: u64 = 10_000;

/// What an election timeout was drawn for: role, term, and how often this voter started an election.
type TimeoutKey = (StateRole, u64, u32);

/// `raft` while the voter takes part.
pub(crate) struct RaftNode {
    pub raft: RawNode<RaftLog>,
    pub table: LeaseTable,
    /// Index of the last entry applied to the table.
    pub applied: u64,
    addrs: BTreeMap<u64, SocketAddrV4>,
    timeout_key: TimeoutKey,
    /// In ticks.
    election_timeout: usize,
    elections_started: u32,
    pub was_leader: bool,
    /// The voters changed since the last snapshot: `raft` lets no voter join by an older one.
    pub voters_changed: bool,
}

impl RaftNode {
    /// `None` where the log is inconsistent.
    pub fn new(id: VoterId, log: RaftLog, times: &Times) -> Option<Self> {
        let applied = log.snapshot.get_metadata().index;
        let table = log.table();
        let config = Config {
            id: id.0,
            election_tick: times.election_ticks,
            heartbeat_tick: times.heartbeat_ticks,
            min_election_tick: times.election_ticks,
            max_election_tick: MAX_ELECTION_TICKS,
            applied,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        // `raft` panics on some logs that it can't go on from.
        let created = catch_unwind(AssertUnwindSafe(|| RawNode::new(&config, log, &silent_logger())));
        let raft = created.ok()?.ok()?;
        let mut node = RaftNode {
            raft,
            table,
            applied,
            addrs: BTreeMap::new(),
            timeout_key: (StateRole::Follower, u64::MAX, 0),
            election_timeout: times.election_ticks,
            elections_started: 0,
            was_leader: false,
            voters_changed: false,
        };
        node.learn_addresses();
        Some(node)
    }

    pub fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The leader, as far as this voter knows.
    pub fn leader(&self) -> Option<&VoterInfo> {
        self.table.voters.get(&VoterId(self.raft.raft.leader_id))
    }

    /// One tick of Raft's clock. `was_stalled`: the process or its disk did not respond for some time, so that it
    /// must hear whoever leads before it starts an election.
    pub fn tick(&mut self, was_stalled: bool) {
        if was_stalled && !self.is_leader() {
            self.raft.raft.election_elapsed = 0;
        }
        self.raft.tick();
        if self.raft.raft.election_elapsed == 0 && !self.is_leader() {
            self.elections_started += 1;
        }
    }

    /// Replaces the election timeout that `raft` drew from a global source by one that depends on the seed, the
    /// term and the count of elections only, so that runs are repeatable. A slow disk lengthens it: a voter that
    /// needs two seconds to write its own vote must not give the election up before. `disk_ticks`: how long the
    /// disk takes.
    pub fn set_election_timeout(&mut self, seed: u64, id: VoterId, times: &Times, disk_ticks: u64) {
        let key = (self.raft.raft.state, self.raft.raft.term, self.elections_started);
        if self.timeout_key != key {
            self.timeout_key = key;
            let parts = [seed, id.0, key.1, u64::from(key.2)].map(u64::to_be_bytes);
            let drawn = hash(&parts.each_ref().map(|part| part.as_slice())) >> 11;
            let spread = drawn % times.election_ticks as u64;
            let disk = disk_ticks.min(MAX_DISK_TICKS);
            self.election_timeout = times.election_ticks + spread as usize + disk as usize;
        }
        self.raft.raft.set_randomized_election_timeout(self.election_timeout);
    }

    /// Tells `raft` what is applied; of a snapshot only once that is on disk.
    pub fn advance_apply(&mut self) {
        let log = &self.raft.raft.raft_log;
        if log.applied < self.applied && self.applied <= log.persisted.min(log.committed) {
            self.raft.advance_apply_to(self.applied);
        }
    }

    /// Learns the addresses of the table's voters.
    pub fn learn_addresses(&mut self) {
        for voter in self.table.voters.values() {
            if self.addrs.len() < MAX_ADDRESSES || self.addrs.contains_key(&voter.id.0) {
                self.addrs.insert(voter.id.0, voter.addr);
            }
        }
    }

    /// Learns where a voter is that the table does not have yet.
    pub fn learn_address(&mut self, id: u64, addr: SocketAddrV4) {
        self.addrs.insert(id, addr);
    }

    /// The same for the sender of a message, where there is room.
    pub fn learn_sender(&mut self, id: u64, addr: SocketAddrV4) {
        if !self.table.voters.contains_key(&VoterId(id)) && self.addrs.len() < MAX_ADDRESSES {
            self.addrs.insert(id, addr);
        }
    }

    pub fn address_of(&self, id: u64) -> Option<SocketAddrV4> {
        let of_table = self.table.voters.get(&VoterId(id)).map(|voter| voter.addr);
        of_table.or_else(|| self.addrs.get(&id).copied())
    }

    /// Whether the voter was heard lately; only a leader knows.
    pub fn is_recently_active(&self, id: VoterId) -> bool {
        self.raft.raft.prs().get(id.0).is_some_and(|progress| progress.recent_active)
    }
}

fn silent_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
