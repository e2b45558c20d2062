//! What a voter has on disk, as records and as what they come to; and the log as `raft` reads it.

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

use crate::book::Book;
use crate::words::{Founding, VoterAt, VoterId};

/// Term and index at which the log of those who begin together starts.
const BEGUN: u64 = 1;

/// One record on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Who this voter is. Whatever was before is of another.
    Identity { id: VoterId },
    /// It began the record together with these.
    Founded { voters: Vec<VoterAt> },
    /// It was taken in by those who had.
    TakenIn { founding: Founding },
    /// Of `raft`: what it must not forget, as its own bytes.
    Log { hard: Option<Vec<u8>>, entries: Vec<Vec<u8>> },
    /// All before this index, put together.
    Snapshot { bytes: Vec<u8>, hard: Option<Vec<u8>> },
    /// To see whether the disk takes records again.
    Try,
}

impl Record {
    /// As bytes for the disk.
    pub fn written(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// # Errors
    /// Where it is of a kind that this program does not know.
    pub fn read(bytes: &[u8]) -> Result<Record, String> {
        postcard::from_bytes(bytes).map_err(|e| format!("a record of a kind this program does not know: {e}"))
    }
}

/// What the records come to.
#[derive(Clone, Debug, Default)]
pub struct Image {
    pub id: VoterId,
    pub founding: Option<Founding>,
    pub(crate) log: Log,
}

impl Image {
    /// # Errors
    /// Where one of them can't be understood.
    pub fn read(records: &[Vec<u8>]) -> Result<Self, String> {
        let mut image = Image::default();
        for (number, bytes) in (1..).zip(records) {
            Record::read(bytes)
                .and_then(|r| image.take_in(&r).map_err(|e| e.to_string()))
                .map_err(|e| format!("record {number}: {e}"))?;
        }
        Ok(image)
    }

    /// # Errors
    /// Where it holds bytes that are none of `raft`'s.
    pub fn take_in(&mut self, record: &Record) -> Result<(), protobuf::ProtobufError> {
        match record {
            Record::Identity { id } => *self = Image { id: *id, ..Image::default() },
            Record::Founded { voters } => {
                self.founding = Some(Founding::of(voters));
                self.log = Log::begun(voters);
            }
            Record::TakenIn { founding } => self.founding = Some(*founding),
            Record::Log { hard, entries } => {
                for bytes in entries {
                    self.log.put(Entry::parse_from_bytes(bytes)?);
                }
                if let Some(bytes) = hard {
                    self.log.hard = HardState::parse_from_bytes(bytes)?;
                }
            }
            Record::Snapshot { bytes, hard } => {
                self.log.put_snapshot(Snapshot::parse_from_bytes(bytes)?);
                if let Some(bytes) = hard {
                    self.log.hard = HardState::parse_from_bytes(bytes)?;
                }
            }
            Record::Try => {}
        }
        Ok(())
    }

    /// The records that come to the same.
    pub fn records(&self) -> Vec<Record> {
        let mut all = vec![Record::Identity { id: self.id }];
        if let Some(founding) = self.founding {
            all.push(Record::TakenIn { founding });
            let hard = self.log.hard.write_to_bytes().ok();
            if self.log.snapshot.get_metadata().index > 0 {
                let bytes = self.log.snapshot.write_to_bytes().unwrap_or_default();
                all.push(Record::Snapshot { bytes, hard: hard.clone() });
            }
            let entries = self.log.entries.iter().filter_map(|e| e.write_to_bytes().ok()).collect();
            all.push(Record::Log { hard, entries });
        }
        all
    }
}

/// The log: a snapshot, and the entries after it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub hard: HardState,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
}

impl Log {
    /// The same for all who begin together.
    fn begun(voters: &[VoterAt]) -> Self {
        let mut log = Log::default();
        let metadata = log.snapshot.mut_metadata();
        (metadata.index, metadata.term) = (BEGUN, BEGUN);
        let mut ids: Vec<u64> = voters.iter().map(|v| v.id.0).collect();
        ids.sort_unstable();
        metadata.mut_conf_state().voters = ids;
        log.snapshot.data = postcard::to_allocvec(&Book::begun(voters)).unwrap_or_default().into();
        (log.hard.term, log.hard.commit) = (BEGUN, BEGUN);
        log
    }

    fn first(&self) -> u64 {
        self.snapshot.get_metadata().index + 1
    }

    pub fn last(&self) -> u64 {
        self.first() + self.entries.len() as u64 - 1
    }

    /// In its place; what lay there and after it is gone.
    pub fn put(&mut self, entry: Entry) {
        if entry.index < self.first() || entry.index > self.last() + 1 {
            return;
        }
        self.entries.truncate((entry.index - self.first()) as usize);
        self.entries.push(entry);
    }

    pub fn put_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        if index < self.first().saturating_sub(1) {
            return;
        }
        // What follows it in the same log stays.
        let same = self.term_at(index) == Some(snapshot.get_metadata().term);
        let first = self.first();
        if same && index >= first {
            self.entries.drain(..=(index - first) as usize);
        } else if index >= first {
            self.entries.clear();
        }
        if self.hard.commit < index {
            self.hard.commit = index;
        }
        self.snapshot = snapshot;
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            return Some(metadata.term);
        }
        let at = index.checked_sub(self.first())?;
        self.entries.get(at as usize).map(|e| e.term)
    }

    /// The book as the snapshot has it.
    pub fn book(&self) -> Book {
        postcard::from_bytes(&self.snapshot.data).unwrap_or_default()
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state: ConfState = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState { hard_state: self.hard.clone(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let first = self.first();
        let mut some = self.entries[(low - first) as usize..(high - first) as usize].to_vec();
        raft::util::limit_size(&mut some, max_size.into());
        Ok(some)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index + 1 < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.term_at(index).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

#[cfg(test)]
mod tests;
