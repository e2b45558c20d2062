//! What a voter has on disk: records, and the state they amount to.

use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

use crate::identity::{ClusterId, VoterId, VoterInfo};
use crate::raft_log::RaftLog;

/// Why a voter's records can't be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// A newer program wrote it.
    #[error("a record of a kind this program does not know: {0}")]
    UnknownKind(#[from] postcard::Error),
    /// It holds bytes that `raft` does not understand.
    #[error(transparent)]
    Raft(#[from] protobuf::ProtobufError),
    /// The number of the record that failed.
    #[error("record {number}: {source}")]
    At {
        /// From 1 on.
        number: usize,
        /// Why.
        source: Box<RecordError>,
    },
}

/// One record on disk. Encoded by postcard: the order of variants and fields is the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The voter's id. What was recorded before is another voter's.
    Identity {
        /// The id.
        id: VoterId,
    },
    /// It bootstrapped the table together with these.
    Bootstrapped {
        /// All voters, itself included.
        voters: Vec<VoterInfo>,
    },
    /// It joined voters that had a table.
    Joined {
        /// Their cluster.
        cluster_id: ClusterId,
    },
    /// `raft`'s hard state and entries, in its own encoding.
    Log {
        /// The hard state where it changed.
        hard_state: Option<Vec<u8>>,
        /// New entries.
        entries: Vec<Vec<u8>>,
    },
    /// A snapshot of all entries up to an index.
    Snapshot {
        /// In `raft`'s encoding.
        bytes: Vec<u8>,
        /// The hard state where it changed.
        hard_state: Option<Vec<u8>>,
    },
    /// Nothing: it shows whether the disk takes records again.
    Probe,
}

impl Record {
    /// The record as it is stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// The record in `bytes`.
    ///
    /// # Errors
    /// This program does not know its kind.
    pub fn from_bytes(bytes: &[u8]) -> Result<Record, RecordError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// What a voter's records amount to.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The voter's id; 0 where none was drawn.
    pub id: VoterId,
    /// The cluster it belongs to; `None`: it has no table.
    pub cluster_id: Option<ClusterId>,
    pub(crate) log: RaftLog,
}

impl PersistentState {
    /// Decodes the records of a file, in their order.
    ///
    /// # Errors
    /// One of them can't be understood.
    pub fn decode(records: &[Vec<u8>]) -> Result<Self, RecordError> {
        let mut state = PersistentState::default();
        for (number, bytes) in (1..).zip(records) {
            Record::from_bytes(bytes)
                .and_then(|record| state.apply(&record))
                .map_err(|source| RecordError::At { number, source: Box::new(source) })?;
        }
        Ok(state)
    }

    /// Takes in one more record.
    ///
    /// # Errors
    /// It holds bytes that `raft` does not understand.
    pub fn apply(&mut self, record: &Record) -> Result<(), RecordError> {
        match record {
            Record::Identity { id } => *self = PersistentState { id: *id, ..PersistentState::default() },
            Record::Bootstrapped { voters } => {
                self.cluster_id = Some(ClusterId::of(voters));
                self.log = RaftLog::bootstrap(voters);
            }
            Record::Joined { cluster_id } => self.cluster_id = Some(*cluster_id),
            Record::Log { hard_state, entries } => {
                for bytes in entries {
                    self.log.append(Entry::parse_from_bytes(bytes)?);
                }
                self.apply_hard_state(hard_state.as_deref())?;
            }
            Record::Snapshot { bytes, hard_state } => {
                self.log.install_snapshot(Snapshot::parse_from_bytes(bytes)?);
                self.apply_hard_state(hard_state.as_deref())?;
            }
            Record::Probe => {}
        }
        Ok(())
    }

    fn apply_hard_state(&mut self, bytes: Option<&[u8]>) -> Result<(), RecordError> {
        if let Some(bytes) = bytes {
            self.log.hard_state = HardState::parse_from_bytes(bytes)?;
        }
        Ok(())
    }

    /// The fewest records that amount to the same.
    pub fn to_records(&self) -> Vec<Record> {
        let mut records = vec![Record::Identity { id: self.id }];
        let Some(cluster_id) = self.cluster_id else { return records };
        records.push(Record::Joined { cluster_id });
        let hard_state = self.log.hard_state.write_to_bytes().ok();
        if self.log.snapshot.get_metadata().index > 0 {
            let bytes = self.log.snapshot.write_to_bytes().unwrap_or_default();
            records.push(Record::Snapshot { bytes, hard_state: hard_state.clone() });
        }
        let entries = self.log.entries.iter().filter_map(|entry| entry.write_to_bytes().ok()).collect();
        records.push(Record::Log { hard_state, entries });
        records
    }
}

#[cfg(test)]
mod tests;
