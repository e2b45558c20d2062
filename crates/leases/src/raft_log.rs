//! In-memory Raft log: hard state, a snapshot, and the entries after it. Implements [`Storage`] for `raft`.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

use crate::identity::VoterInfo;
use crate::table::LeaseTable;

/// Term and index of the snapshot with which all voters of a cluster bootstrap.
const BOOTSTRAP_INDEX: u64 = 1;

/// Raft log of a voter.
#[derive(Clone, Debug, Default)]
pub(crate) struct RaftLog {
    pub hard_state: HardState,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
}

impl RaftLog {
    /// Creates the log of voters that bootstrap a cluster: a snapshot of the initial table.
    pub fn bootstrap(voters: &[VoterInfo]) -> Self {
        let mut log = RaftLog::default();
        let metadata = log.snapshot.mut_metadata();
        (metadata.index, metadata.term) = (BOOTSTRAP_INDEX, BOOTSTRAP_INDEX);
        let mut ids: Vec<u64> = voters.iter().map(|voter| voter.id.0).collect();
        ids.sort_unstable();
        metadata.mut_conf_state().voters = ids;
        let table = LeaseTable::bootstrap(voters);
        log.snapshot.data = postcard::to_allocvec(&table).unwrap_or_default().into();
        (log.hard_state.term, log.hard_state.commit) = (BOOTSTRAP_INDEX, BOOTSTRAP_INDEX);
        log
    }

    fn first_entry_index(&self) -> u64 {
        self.snapshot.get_metadata().index + 1
    }

    /// Returns the index of the last entry, or of the snapshot if there are no entries.
    pub fn last_entry_index(&self) -> u64 {
        self.first_entry_index() + self.entries.len() as u64 - 1
    }

    /// Inserts an entry at its index and drops all entries from there on. An entry that the snapshot
    /// covers, or that would leave a gap, is ignored.
    pub fn append(&mut self, entry: Entry) {
        let first = self.first_entry_index();
        if entry.index < first || entry.index > self.last_entry_index() + 1 {
            return;
        }
        self.entries.truncate((entry.index - first) as usize);
        self.entries.push(entry);
    }

    /// Replaces all entries that the snapshot covers. Entries after it are kept if the snapshot's term
    /// matches the log, and dropped otherwise. A snapshot older than the current one is ignored.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        let first = self.first_entry_index();
        if index < first.saturating_sub(1) {
            return;
        }
        let is_same_log = self.term_at(index) == Some(snapshot.get_metadata().term);
        if is_same_log && index >= first {
            self.entries.drain(..=(index - first) as usize);
        } else if index >= first {
            self.entries.clear();
        }
        if self.hard_state.commit < index {
            self.hard_state.commit = index;
        }
        self.snapshot = snapshot;
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            return Some(metadata.term);
        }
        let offset = index.checked_sub(self.first_entry_index())?;
        self.entries.get(offset as usize).map(|entry| entry.term)
    }

    /// Decodes the table in the snapshot.
    pub fn table(&self) -> LeaseTable {
        postcard::from_bytes(&self.snapshot.data).unwrap_or_default()
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state: ConfState = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let first = self.first_entry_index();
        if low < first {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_entry_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let mut entries = self.entries[(low - first) as usize..(high - first) as usize].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index + 1 < self.first_entry_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.term_at(index).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first_entry_index())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
