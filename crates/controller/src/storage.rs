//! Persistent storage of a controller. `tests/storage.rs` checks the contract of all stores, and the
//! recovery of the store on disk after a power failure.

mod memory;
mod schema_v1;
mod sqlite;

use std::fmt;
use std::io;
use std::path::PathBuf;

use lynxstair_consensus::PersistentState;
use lynxstair_protocol::messages::Instance;

pub use memory::MemoryStore;
pub use sqlite::SqliteStore;

/// Changes of the stored departures of worker instances.
#[derive(Debug, Default)]
pub struct DepartureChanges {
    /// Instances that have departed.
    pub added: Vec<Instance>,
    /// Ids of departed instances that are no longer needed.
    pub removed: Vec<String>,
}

impl DepartureChanges {
    /// Returns `true` if there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }

    /// Adds changes that were made after these.
    pub fn append(&mut self, later: DepartureChanges) {
        self.added.retain(|instance| !later.removed.contains(&instance.id));
        self.added.extend(later.added);
        self.removed.extend(later.removed);
    }
}

/// Stores the persistent state of the consensus, the last known worker instances and their departures.
pub trait Store: Send {
    /// Returns the state that was saved last, or `None` if none is stored.
    fn load(&mut self) -> Result<Option<PersistentState>, StorageError>;
    /// Saves the state durably: it survives a power failure once this returns `Ok`.
    fn save(&mut self, state: &PersistentState) -> Result<(), StorageError>;
    /// Returns `true` if the store is empty because the previous data could not be read. The node must then
    /// not bootstrap, whatever the settings say.
    fn is_emptied(&self) -> bool;
    /// Returns the encoded instances that were saved last; empty if none are stored.
    fn load_instances(&mut self) -> Result<Vec<u8>, StorageError>;
    /// Saves the encoded instances, replacing the previous ones.
    fn save_instances(&mut self, instances: &[u8]) -> Result<(), StorageError>;
    /// Returns the instances whose departure is stored. Those that can't be decoded are left out.
    fn load_departures(&mut self) -> Result<Vec<Instance>, StorageError>;
    /// Deletes the removed departures, then saves the added ones durably, all or none of them.
    fn save_departures(&mut self, changes: &DepartureChanges) -> Result<(), StorageError>;
}

/// Error on reading or writing stored data.
#[derive(Debug)]
pub enum StorageError {
    /// The data folder can't be created or synced. Retryable.
    Folder {
        /// Path of the folder.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The disk reports an error. Retryable, since the disk may hold the only copy of the state.
    Disk {
        /// Path of the database.
        path: PathBuf,
        /// Cause.
        source: rusqlite::Error,
    },
    /// Another process has the database open. Retryable, since that process may be about to exit.
    Locked {
        /// Path of the database.
        path: PathBuf,
        /// Error of SQLite.
        source: rusqlite::Error,
    },
    /// The stored data is not the result of complete writes. Not retryable.
    Corrupt {
        /// Path of the database.
        path: PathBuf,
        /// Kind of corruption.
        reason: Corruption,
    },
    /// The state can't be encoded. Not retryable.
    Encode(String),
}

/// Kind of corruption of a database.
#[derive(Debug)]
pub enum Corruption {
    /// SQLite reports a malformed database or an unexpected schema.
    Database(rusqlite::Error),
    /// The write-ahead log exists, but its database is missing or empty.
    LogWithoutDatabase,
    /// Only one of the two rows of the state exists.
    MissingRow,
    /// The rows do not come from the same write.
    DigestMismatch,
    /// The content of a row is not an encoded state.
    Undecodable(String),
}

impl StorageError {
    /// Returns `true` if the same operation may succeed later.
    pub fn is_retryable(&self) -> bool {
        match self {
            StorageError::Folder { .. } | StorageError::Disk { .. } | StorageError::Locked { .. } => true,
            StorageError::Corrupt { .. } | StorageError::Encode(_) => false,
        }
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StorageError::Folder { path, source } => write!(f, "{}: {source}", path.display()),
            StorageError::Disk { path, source } | StorageError::Locked { path, source } => {
                write!(f, "{}: {source}", path.display())
            }
            StorageError::Corrupt { path, reason } => write!(f, "{}: {reason}", path.display()),
            StorageError::Encode(why) => write!(f, "cannot encode the state: {why}"),
        }
    }
}

impl std::error::Error for StorageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StorageError::Folder { source, .. } => Some(source),
            StorageError::Disk { source, .. } | StorageError::Locked { source, .. } => Some(source),
            StorageError::Corrupt { reason: Corruption::Database(source), .. } => Some(source),
            StorageError::Corrupt { .. } | StorageError::Encode(_) => None,
        }
    }
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Corruption::Database(source) => source.fmt(f),
            Corruption::LogWithoutDatabase => f.write_str("write-ahead log without its database"),
            Corruption::MissingRow => f.write_str("one of the two rows of the state is missing"),
            Corruption::DigestMismatch => f.write_str("digest mismatch between the rows of the state"),
            Corruption::Undecodable(why) => write!(f, "cannot decode the state: {why}"),
        }
    }
}
