//! Opening, appending to and rewriting a log.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use nix::fcntl::{Flock, FlockArg};

use crate::error::Error;
use crate::format::{self, ChainHash, Contents, MAX_RECORD_BYTES};

const FILE_NAME: &str = "ledger";
/// Temporary file into which a rewrite goes before it replaces the log.
const REWRITE_FILE_NAME: &str = "ledger.next";
const LOCK_FILE_NAME: &str = "lock";
/// Length to which the owner's name is truncated, in characters.
const MAX_OWNER_CHARS: usize = 60;

/// Repair that was made when the log was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repair {
    /// The last record was incomplete and was cut off. It had never been reported as written.
    TornEnd {
        /// Number of the record.
        number: u64,
        /// Number of bytes that were cut off.
        bytes: u64,
    },
    /// A rewrite was interrupted. Its temporary file was removed; the old log is unchanged.
    Leftover,
}

/// Fault injection: called before each write, which fails if this returns an error.
pub type WriteFault = Arc<dyn Fn() -> io::Result<()> + Send + Sync>;

/// An open log. Only one process at a time can have a directory open.
pub struct RecordLog {
    directory: PathBuf,
    path: PathBuf,
    owner: String,
    file: File,
    /// Length of the header and all records, in bytes.
    end: u64,
    /// Number of the last record.
    number: u64,
    hash: ChainHash,
    fault: Option<WriteFault>,
    _lock: Flock<File>,
}

/// Result of opening a log.
pub struct OpenedLog {
    /// The open log.
    pub log: RecordLog,
    /// All records, in order.
    pub records: Vec<Vec<u8>>,
    /// Repairs that were made.
    pub repairs: Vec<Repair>,
}

fn sync_directory(directory: &Path) -> Result<(), Error> {
    File::open(directory).and_then(|directory| directory.sync_all()).map_err(Error::io(directory))
}

fn lock(directory: &Path) -> Result<Flock<File>, Error> {
    let path = directory.join(LOCK_FILE_NAME);
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = file.map_err(Error::io(&path))?;
    Flock::lock(file, FlockArg::LockExclusiveNonblock).map_err(|_| Error::InUse(directory.to_path_buf()))
}

fn check_fault(fault: Option<&WriteFault>) -> io::Result<()> {
    fault.map_or(Ok(()), |fault| fault())
}

impl RecordLog {
    /// Opens the log of an owner in a directory. Creates the directory and the log if they do not exist.
    /// Only the first 60 characters of the owner's name are used.
    ///
    /// # Errors
    /// If the directory is in use, belongs to another owner, or the log can't be read or written. The
    /// records on disk are not changed then.
    pub fn open(directory: &Path, owner: &str, fault: Option<WriteFault>) -> Result<OpenedLog, Error> {
        let owner: String = owner.chars().take(MAX_OWNER_CHARS).collect();
        fs::create_dir_all(directory).map_err(Error::io(directory))?;
        let lock = lock(directory)?;
        let path = directory.join(FILE_NAME);
        let mut repairs = Vec::new();
        if fs::remove_file(directory.join(REWRITE_FILE_NAME)).is_ok() {
            repairs.push(Repair::Leftover);
        }
        if !path.exists() {
            check_fault(fault.as_ref()).map_err(Error::io(&path))?;
            replace(directory, &format::encode_header(&owner, &ChainHash::default()))?;
        }
        let mut file = OpenOptions::new().read(true).write(true).open(&path).map_err(Error::io(&path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(Error::io(&path))?;
        let Contents { records, end, number, hash, torn_end } = format::read(&path, &bytes, &owner)?;
        if let Some(torn_end) = torn_end {
            file.set_len(end).and_then(|()| file.sync_all()).map_err(Error::io(&path))?;
            repairs.push(torn_end);
        }
        let directory = directory.to_path_buf();
        let log = RecordLog { directory, path, owner, file, end, number, hash, fault, _lock: lock };
        Ok(OpenedLog { log, records, repairs })
    }

    /// Returns the length of the file, in bytes.
    pub fn len(&self) -> u64 {
        self.end
    }

    /// Returns `true` if the log holds no records.
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }

    /// Returns the hash of all records, including those replaced by rewrites.
    pub fn chain_hash(&self) -> ChainHash {
        self.hash
    }

    /// Appends a record and syncs it to disk. Returns the number of the record.
    ///
    /// # Errors
    /// If the record is too long or can't be written. Earlier records are kept, and a retry may succeed.
    pub fn append(&mut self, content: &[u8]) -> Result<u64, Error> {
        if content.len() > MAX_RECORD_BYTES {
            return Err(Error::RecordTooLong(content.len()));
        }
        let mut hash = self.hash;
        let bytes = format::encode_record(&mut hash, self.number + 1, content);
        if let Err(e) = self.write(&bytes) {
            // Remove a partly written record, so that the next one follows the last complete one.
            let _ = self.file.set_len(self.end);
            return Err(Error::io(&self.path)(e));
        }
        self.end += bytes.len() as u64;
        self.number += 1;
        self.hash = hash;
        Ok(self.number)
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        check_fault(self.fault.as_ref())?;
        self.file.seek(SeekFrom::Start(self.end))?;
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }

    /// Replaces all records by these. The hash chain continues: the new header holds the hash of all
    /// earlier records.
    ///
    /// # Errors
    /// If the new file can't be written; the old file is kept if it was not replaced yet.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Error> {
        check_fault(self.fault.as_ref()).map_err(Error::io(&self.path))?;
        let mut hash = self.hash;
        let mut bytes = format::encode_header(&self.owner, &hash);
        for (number, content) in (1..).zip(records) {
            bytes.extend(format::encode_record(&mut hash, number, content));
        }
        replace(&self.directory, &bytes)?;
        let file = OpenOptions::new().read(true).write(true).open(&self.path);
        self.file = file.map_err(Error::io(&self.path))?;
        (self.end, self.number, self.hash) = (bytes.len() as u64, records.len() as u64, hash);
        Ok(())
    }
}

/// Replaces the log atomically by a file with these bytes.
fn replace(directory: &Path, bytes: &[u8]) -> Result<(), Error> {
    let (temporary, path) = (directory.join(REWRITE_FILE_NAME), directory.join(FILE_NAME));
    let write = || {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)
    };
    write().map_err(Error::io(&path))?;
    sync_directory(directory)
}
