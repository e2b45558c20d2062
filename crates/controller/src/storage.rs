//! Where a controller keeps its persistent state. `tests/storage.rs` holds the contract of every store, and what a loss of
//! power may leave of the one on disk.

mod memory;
mod schema_v1;
mod sqlite;

use std::fmt;
use std::io;
use std::path::PathBuf;

use lynxstair_consensus::PersistentState;

pub use memory::MemoryStore;
pub use sqlite::SqliteStore;

/// Keeps the persistent state of the consensus, and the worker instances as last known.
pub trait Store: Send {
    /// The state that was saved last; None where the disk holds nothing.
    fn load(&mut self) -> Result<Option<PersistentState>, StorageError>;
    /// Returns once the state survives a loss of power.
    fn save(&mut self, state: &PersistentState) -> Result<(), StorageError>;
    /// Whether nothing is held because what was held can't be read any more: this is no first start, whatever the
    /// settings say.
    fn is_emptied(&self) -> bool;
    /// The encoded instances as saved last; empty where none are held.
    fn load_instances(&mut self) -> Result<Vec<u8>, StorageError>;
    /// Saves the encoded instances.
    fn save_instances(&mut self, instances: &[u8]) -> Result<(), StorageError>;
}

/// Why stored data can't be read or written.
#[derive(Debug)]
pub enum StorageError {
    /// The folder can't be made or synced. Trying again may help.
    Folder {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The disk refuses. Trying again may help, and the disk may hold the only copy.
    Disk {
        /// The database.
        path: PathBuf,
        /// Why.
        source: rusqlite::Error,
    },
    /// Another process has the database open, and may be about to end.
    Locked {
        /// The database.
        path: PathBuf,
        /// What SQLite says.
        source: rusqlite::Error,
    },
    /// No complete write left what is there. Trying again does not help.
    Corrupt {
        /// The database.
        path: PathBuf,
        /// What is wrong with it.
        reason: Corruption,
    },
    /// The state can't be encoded.
    Encode(String),
}

/// What is wrong with a database.
#[derive(Debug)]
pub enum Corruption {
    /// SQLite finds it broken, or its tables are of another make.
    Database(rusqlite::Error),
    /// The write-ahead log is there without its database.
    LogWithoutDatabase,
    /// One of two rows that belong together is missing.
    MissingRow,
    /// The rows are not those of one write.
    DigestMismatch,
    /// A row holds no state.
    Undecodable(String),
}

impl StorageError {
    /// Whether the same call may succeed later.
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
            StorageError::Encode(why) => write!(f, "encoding the state: {why}"),
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
            Corruption::LogWithoutDatabase => f.write_str("a log without its database"),
            Corruption::MissingRow => f.write_str("a part of the state is missing"),
            Corruption::DigestMismatch => f.write_str("the state is not as it was written"),
            Corruption::Undecodable(why) => write!(f, "the state can't be decoded: {why}"),
        }
    }
}
