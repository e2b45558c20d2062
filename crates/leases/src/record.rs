//! Records that a voter persists, and the state that replaying them yields.

use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};

use crate::identity::{ClusterId, VoterId, VoterInfo};
use crate::raft_log::RaftLog;

/// Error while reading a voter's records.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record can't be decoded, for example because a newer version wrote it.
    #[error("unknown kind of record: {0}")]
    UnknownKind(#[from] postcard::Error),
    /// An entry, snapshot or hard state in the record can't be decoded.
    #[error(transparent)]
    Raft(#[from] protobuf::ProtobufError),
    /// Position of the record that can't be read.
    #[error("record {number}: {source}")]
    At {
        /// Number of the record in the file, starting at 1.
        number: usize,
        /// Cause of the error.
        source: Box<RecordError>,
    },
}

/// A record on disk, encoded with postcard: the order of variants and fields is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// New identity of the voter. Discards the state of all earlier records.
    Identity {
        /// Id of the voter.
        id: VoterId,
    },
    /// The voter bootstrapped the table together with other voters.
    Bootstrapped {
        /// All voters, including this one.
        voters: Vec<VoterInfo>,
    },
    /// The voter joined voters that already have a table.
    Joined {
        /// Cluster of those voters.
        cluster_id: ClusterId,
    },
    /// Hard state and entries of the Raft log, encoded with protobuf.
    Log {
        /// New hard state, if it changed.
        hard_state: Option<Vec<u8>>,
        /// New entries.
        entries: Vec<Vec<u8>>,
    },
    /// Snapshot that replaces the log up to its index.
    Snapshot {
        /// Raft snapshot, encoded with protobuf.
        bytes: Vec<u8>,
        /// New hard state, if it changed.
        hard_state: Option<Vec<u8>>,
    },
    /// Record without content, written to check whether the disk accepts writes again.
    Probe,
}

impl Record {
    /// Encodes the record.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// [`RecordError::UnknownKind`] if the bytes are not a record that this version knows.
    pub fn from_bytes(bytes: &[u8]) -> Result<Record, RecordError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// State of a voter as recorded on disk.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Id of the voter; 0 if it has none yet.
    pub id: VoterId,
    /// Cluster of the voter; `None` if it has no table.
    pub cluster_id: Option<ClusterId>,
    pub(crate) log: RaftLog,
}

impl PersistentState {
    /// Decodes and replays the records of a file in order.
    ///
    /// # Errors
    /// [`RecordError::At`] for the first record that can't be read.
    pub fn decode(records: &[Vec<u8>]) -> Result<Self, RecordError> {
        let mut state = PersistentState::default();
        for (number, bytes) in (1..).zip(records) {
            Record::from_bytes(bytes)
                .and_then(|record| state.apply(&record))
                .map_err(|source| RecordError::At { number, source: Box::new(source) })?;
        }
        Ok(state)
    }

    /// Applies a record to the state.
    ///
    /// # Errors
    /// [`RecordError::Raft`] if an entry, snapshot or hard state in it can't be decoded.
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

    /// Returns a minimal list of records that yields this state.
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
