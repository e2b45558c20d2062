//! A `raft` node with its applied table, the addresses of voters, and a deterministic election time-out.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::panic::{AssertUnwindSafe, catch_unwind};

use raft::{Config, RawNode, StateRole};

use crate::identity::{VoterId, VoterInfo, hash};
use crate::raft_log::RaftLog;
use crate::table::LeaseTable;
use crate::times::Times;

/// Maximum number of stored addresses; only that of a proposed new voter is added beyond it.
const MAX_ADDRESSES: usize = 64;
const MAX_MESSAGE_BYTES: u64 = 600;
const MAX_INFLIGHT_MESSAGES: usize = 32;
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 10;
/// Upper bound for `raft`, above every time-out set by [`RaftNode::set_election_timeout`].
const MAX_ELECTION_TICKS: usize = 1 << 20;
/// Maximum extension of the election time-out for a slow disk, in ticks.
const MAX_DISK_TICKS: u64 = 10_000;

/// Role, term and number of started elections for which an election time-out was chosen.
type TimeoutKey = (StateRole, u64, u32);

/// `raft` and the state derived from its log, while the voter takes part.
pub(crate) struct RaftNode {
    pub raft: RawNode<RaftLog>,
    pub table: LeaseTable,
    /// Index of the last entry applied to the table.
    pub applied: u64,
    addrs: BTreeMap<u64, SocketAddrV4>,
    timeout_key: TimeoutKey,
    /// Election time-out in ticks.
    election_timeout: usize,
    elections_started: u32,
    /// `true` if this voter was the leader at its last check of the role.
    pub was_leader: bool,
    /// `true` if the voters changed since the last snapshot. A joining voter needs a snapshot that contains
    /// it.
    pub voters_changed: bool,
}

impl RaftNode {
    /// Creates a node from a log. Returns `None` if the log is inconsistent.
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
        // `raft` panics on some inconsistent logs.
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

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<&VoterInfo> {
        self.table.voters.get(&VoterId(self.raft.raft.leader_id))
    }

    /// Advances Raft's clock by one tick. If the process or its disk was stalled, the election time-out
    /// restarts, so that pending heartbeats are received before an election starts.
    pub fn tick(&mut self, was_stalled: bool) {
        if was_stalled && !self.is_leader() {
            self.raft.raft.election_elapsed = 0;
        }
        self.raft.tick();
        if self.raft.raft.election_elapsed == 0 && !self.is_leader() {
            self.elections_started += 1;
        }
    }

    /// Replaces the random election time-out of `raft` by one that depends only on the seed, the voter's
    /// id, the term, the number of started elections and `disk_ticks`, so that runs are repeatable.
    /// `disk_ticks` extends the time-out for a slow disk, so that an election does not time out before the
    /// voter's own vote is on disk.
    pub fn set_election_timeout(&mut self, seed: u64, id: VoterId, times: &Times, disk_ticks: u64) {
        let key = (self.raft.raft.state, self.raft.raft.term, self.elections_started);
        if self.timeout_key != key {
            self.timeout_key = key;
            let parts = [seed, id.0, key.1, u64::from(key.2)].map(u64::to_be_bytes);
            let random = hash(&parts.each_ref().map(|part| part.as_slice())) >> 11;
            let spread = random % times.election_ticks as u64;
            let disk = disk_ticks.min(MAX_DISK_TICKS);
            self.election_timeout = times.election_ticks + spread as usize + disk as usize;
        }
        self.raft.raft.set_randomized_election_timeout(self.election_timeout);
    }

    /// Reports the applied index to `raft`, once the log up to it is persisted and committed.
    pub fn advance_apply(&mut self) {
        let log = &self.raft.raft.raft_log;
        if log.applied < self.applied && self.applied <= log.persisted.min(log.committed) {
            self.raft.advance_apply_to(self.applied);
        }
    }

    /// Stores the addresses of all voters in the table.
    pub fn learn_addresses(&mut self) {
        for voter in self.table.voters.values() {
            if self.addrs.len() < MAX_ADDRESSES || self.addrs.contains_key(&voter.id.0) {
                self.addrs.insert(voter.id.0, voter.addr);
            }
        }
    }

    /// Stores the address of a voter that is not in the table yet.
    pub fn learn_address(&mut self, id: u64, addr: SocketAddrV4) {
        self.addrs.insert(id, addr);
    }

    /// Stores the address of the sender of a message if it is not in the table and there is room.
    pub fn learn_sender(&mut self, id: u64, addr: SocketAddrV4) {
        if !self.table.voters.contains_key(&VoterId(id)) && self.addrs.len() < MAX_ADDRESSES {
            self.addrs.insert(id, addr);
        }
    }

    pub fn address_of(&self, id: u64) -> Option<SocketAddrV4> {
        let table_addr = self.table.voters.get(&VoterId(id)).map(|voter| voter.addr);
        table_addr.or_else(|| self.addrs.get(&id).copied())
    }

    /// Returns `true` if the leader received a message from the voter recently. Meaningful on the leader
    /// only.
    pub fn is_recently_active(&self, id: VoterId) -> bool {
        self.raft.raft.prs().get(id.0).is_some_and(|progress| progress.recent_active)
    }
}

fn silent_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
