//! SQLite store on disk; each write is synced before it returns. File, table and column names are part of
//! the stored format and must not change.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use log::warn;
use lynxstair_consensus::PersistentState;
use lynxstair_protocol::digest;
use lynxstair_protocol::messages::{Bytes, Instance};
use rusqlite::{Connection, ErrorCode, OptionalExtension, params};

use super::{Corruption, DepartureChanges, StorageError, Store, schema_v1};

const DATABASE_FILE: &str = "book.sqlite";
const LOG_FILE: &str = "book.sqlite-wal";
/// Files that are quarantined if they can't be read, each with its new name. Only the last quarantined
/// files are kept.
const QUARANTINE: [(&str, &str); 2] =
    [(DATABASE_FILE, "book.sqlite.unreadable"), (LOG_FILE, "book.sqlite-wal.unreadable")];

/// The database has a single user, so the exclusive lock avoids the shared-memory index of the write-ahead
/// log. `synchronous=FULL` syncs each transaction before it returns.
const PRAGMAS: &str = "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;
    PRAGMA cache_size=-256; PRAGMA wal_autocheckpoint=200; PRAGMA journal_size_limit=1048576;";
/// The configuration has a row of its own (`book`), so that saving a vote does not write it again. The rest
/// of the state (`head`) contains the digest of the configuration, so that rows of two different writes are
/// detected.
const SCHEMA: &str =
    "CREATE TABLE IF NOT EXISTS head (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL,
       book BLOB NOT NULL, digest BLOB NOT NULL);
     CREATE TABLE IF NOT EXISTS book (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL);
     CREATE TABLE IF NOT EXISTS lives (one INTEGER PRIMARY KEY CHECK (one = 1), held BLOB NOT NULL);
     CREATE TABLE IF NOT EXISTS departures (id TEXT PRIMARY KEY, held BLOB NOT NULL);";

/// A stored configuration with its digest.
type StoredConfig = (Bytes, [u8; digest::LENGTH]);

/// Store on disk.
pub struct SqliteStore {
    path: PathBuf,
    connection: Connection,
    /// Configuration that is known to be on disk; `None` if there is none or after a failed write.
    config: Option<StoredConfig>,
    is_emptied: bool,
}

/// Row of the table `head`.
struct Head {
    encoded: Vec<u8>,
    config_digest: Vec<u8>,
    digest: Vec<u8>,
}

impl SqliteStore {
    /// Opens the database in `folder`, and creates both if needed. Quarantines a corrupt database and
    /// starts with an empty one, which counts as emptied. On a retryable error the files are left alone, as
    /// they may hold the only copy of the state; `should_retry` then waits and returns `true` to try
    /// again.
    pub fn open(
        folder: &Path,
        mut should_retry: impl FnMut(&StorageError) -> bool,
    ) -> Result<SqliteStore, StorageError> {
        loop {
            let error = match SqliteStore::try_open(folder) {
                Ok(store) => return Ok(store),
                Err(error) => error,
            };
            if !error.is_retryable() {
                warn!(error = error.to_string(); "stored state unreadable, quarantined");
                quarantine(folder).map_err(|source| folder_error(folder, source))?;
                return SqliteStore::try_open(folder);
            }
            if !should_retry(&error) {
                return Err(error);
            }
            warn!(error = error.to_string(); "storage not available yet");
        }
    }

    fn try_open(folder: &Path) -> Result<SqliteStore, StorageError> {
        let path = folder.join(DATABASE_FILE);
        create_folder(folder).map_err(|source| folder_error(folder, source))?;
        let length = |name: &str| fs::metadata(folder.join(name)).map_or(0, |m| m.len());
        if length(DATABASE_FILE) == 0 && length(LOG_FILE) > 0 {
            // SQLite would treat this as a new database and delete the log.
            return Err(StorageError::Corrupt { path, reason: Corruption::LogWithoutDatabase });
        }
        let connection = Connection::open(&path).map_err(|e| sqlite_error(&path, e))?;
        connection.execute_batch(PRAGMAS).map_err(|e| sqlite_error(&path, e))?;
        connection.execute_batch(SCHEMA).map_err(|e| sqlite_error(&path, e))?;
        let mut store = SqliteStore { path, connection, config: None, is_emptied: false };
        let is_quarantined = QUARANTINE.iter().any(|(_, name)| folder.join(name).exists());
        store.is_emptied = store.load()?.is_none() && is_quarantined;
        // Makes newly created files durable; the log is created at each start.
        sync_folder(folder).map_err(|source| folder_error(folder, source))?;
        Ok(store)
    }

    fn error(&self, source: rusqlite::Error) -> StorageError {
        sqlite_error(&self.path, source)
    }

    fn corrupt(&self, reason: Corruption) -> StorageError {
        StorageError::Corrupt { path: self.path.clone(), reason }
    }

    fn read_head(&self) -> Result<Option<Head>, StorageError> {
        let read = |row: &rusqlite::Row| {
            Ok(Head { encoded: row.get(0)?, config_digest: row.get(1)?, digest: row.get(2)? })
        };
        let row = self.connection.query_row("SELECT held, book, digest FROM head", [], read);
        row.optional().map_err(|e| self.error(e))
    }

    /// Reads the single blob of a table with one row.
    fn read_blob(&self, table: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let query = format!("SELECT held FROM {table}");
        let row = self.connection.query_row(&query, [], |row| row.get(0));
        row.optional().map_err(|e| self.error(e))
    }

    /// Decodes the state from its two rows. Fails if they do not come from the same write.
    fn decode(&mut self, head: &Head, config: Vec<u8>) -> Result<PersistentState, Corruption> {
        let config_digest = digest::of([&config[..]]);
        let expected = digest::of([&head.encoded[..], &head.config_digest]);
        if head.config_digest != config_digest || head.digest != expected {
            return Err(Corruption::DigestMismatch);
        }
        let mut state: PersistentState =
            ciborium::from_reader(&head.encoded[..]).map_err(|e| Corruption::Undecodable(e.to_string()))?;
        state.state.config = Bytes(config.into());
        self.config = Some((state.state.config.clone(), config_digest));
        Ok(state)
    }

    /// Writes the rows in one transaction. `config` is `None` if its row is unchanged.
    fn write(
        &mut self,
        encoded: &[u8],
        config: Option<&Bytes>,
        config_digest: &[u8],
    ) -> Result<(), rusqlite::Error> {
        let digest = digest::of([encoded, config_digest]);
        let transaction = self.connection.transaction()?;
        if let Some(config) = config {
            let insert = "INSERT OR REPLACE INTO book (one, held) VALUES (1, ?1)";
            transaction.execute(insert, params![&config.0[..]])?;
        }
        let insert = "INSERT OR REPLACE INTO head (one, held, book, digest) VALUES (1, ?1, ?2, ?3)";
        transaction.execute(insert, params![encoded, config_digest, digest])?;
        transaction.commit()
    }

    fn read_departures(&self) -> Result<Vec<Instance>, rusqlite::Error> {
        let mut statement = self.connection.prepare("SELECT held FROM departures")?;
        let rows = statement.query_map([], |row| row.get::<_, Vec<u8>>(0))?;
        let encoded: Vec<Vec<u8>> = rows.collect::<Result<_, _>>()?;
        let decode = |bytes: &Vec<u8>| match ciborium::from_reader(&bytes[..]) {
            Ok(instance) => Some(instance),
            Err(error) => {
                warn!(error = error.to_string(); "stored departure unreadable");
                None
            }
        };
        Ok(encoded.iter().filter_map(decode).collect())
    }

    /// Writes encoded departures by instance id, and deletes others, in one transaction.
    fn write_departures(
        &mut self,
        added: &[(&str, Vec<u8>)],
        removed: &[String],
    ) -> Result<(), rusqlite::Error> {
        let transaction = self.connection.transaction()?;
        for id in removed {
            transaction.execute("DELETE FROM departures WHERE id = ?1", params![id])?;
        }
        for (id, encoded) in added {
            let insert = "INSERT OR REPLACE INTO departures (id, held) VALUES (?1, ?2)";
            transaction.execute(insert, params![id, encoded])?;
        }
        transaction.commit()
    }
}

impl Store for SqliteStore {
    fn load(&mut self) -> Result<Option<PersistentState>, StorageError> {
        match (self.read_head()?, self.read_blob("book")?) {
            (None, None) => schema_v1::read(&self.connection).map_err(|reason| self.corrupt(reason)),
            (Some(head), Some(config)) => {
                self.decode(&head, config).map(Some).map_err(|reason| self.corrupt(reason))
            }
            _ => Err(self.corrupt(Corruption::MissingRow)),
        }
    }

    fn save(&mut self, state: &PersistentState) -> Result<(), StorageError> {
        let config = &state.state.config;
        // Cleared until the write succeeds: after a failure the content of the disk is unknown, and the
        // next save writes both rows.
        let on_disk = self.config.take().filter(|(stored, _)| stored == config);
        let is_new = on_disk.is_none();
        let config_digest = on_disk.map_or_else(|| digest::of([&config.0[..]]), |(_, digest)| digest);
        let mut head = state.clone();
        head.state.config = Bytes::default();
        let mut encoded = Vec::new();
        ciborium::into_writer(&head, &mut encoded).map_err(|e| StorageError::Encode(e.to_string()))?;
        self.write(&encoded, is_new.then_some(config), &config_digest).map_err(|e| self.error(e))?;
        self.config = Some((config.clone(), config_digest));
        self.is_emptied = false;
        Ok(())
    }

    fn is_emptied(&self) -> bool {
        self.is_emptied
    }

    fn load_instances(&mut self) -> Result<Vec<u8>, StorageError> {
        self.read_blob("lives").map(Option::unwrap_or_default)
    }

    fn save_instances(&mut self, instances: &[u8]) -> Result<(), StorageError> {
        let insert = "INSERT OR REPLACE INTO lives (one, held) VALUES (1, ?1)";
        let written = self.connection.execute(insert, params![instances]);
        written.map(|_| ()).map_err(|e| self.error(e))
    }

    fn load_departures(&mut self) -> Result<Vec<Instance>, StorageError> {
        self.read_departures().map_err(|e| self.error(e))
    }

    fn save_departures(&mut self, changes: &DepartureChanges) -> Result<(), StorageError> {
        let mut added: Vec<(&str, Vec<u8>)> = Vec::new();
        for instance in &changes.added {
            let mut encoded = Vec::new();
            ciborium::into_writer(instance, &mut encoded).map_err(|e| StorageError::Encode(e.to_string()))?;
            added.push((&instance.id, encoded));
        }
        self.write_departures(&added, &changes.removed).map_err(|e| self.error(e))
    }
}

fn folder_error(folder: &Path, source: io::Error) -> StorageError {
    StorageError::Folder { path: folder.to_path_buf(), source }
}

fn sqlite_error(path: &Path, source: rusqlite::Error) -> StorageError {
    let path = path.to_path_buf();
    match source.sqlite_error_code() {
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked) => StorageError::Locked { path, source },
        Some(
            ErrorCode::CannotOpen
            | ErrorCode::DiskFull
            | ErrorCode::SystemIoFailure
            | ErrorCode::OutOfMemory
            | ErrorCode::PermissionDenied
            | ErrorCode::ReadOnly,
        ) => StorageError::Disk { path, source },
        // Not a database, a malformed one, or an unexpected schema.
        _ => StorageError::Corrupt { path, reason: Corruption::Database(source) },
    }
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Creates the folder and its missing parents durably, by syncing the parent of each new folder.
fn create_folder(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    let parent = folder.parent().filter(|parent| !parent.as_os_str().is_empty());
    parent.map_or(Ok(()), create_folder)?;
    match fs::create_dir(folder) {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
        _ => {}
    }
    sync_folder(parent.unwrap_or(Path::new(".")))
}

/// Renames unreadable files, so that a new database can be created.
fn quarantine(folder: &Path) -> io::Result<()> {
    for (name, quarantined) in QUARANTINE {
        match fs::rename(folder.join(name), folder.join(quarantined)) {
            // Nothing to rename. A log quarantined earlier then remains next to a newer database, and is
            // unused.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            result => result?,
        }
    }
    sync_folder(folder)
}
