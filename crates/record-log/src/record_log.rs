//! The log: opening, appending, rewriting.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use nix::fcntl::{Flock, FlockArg};

use crate::error::Error;
use crate::format::{self, ChainHash, Contents, MAX_RECORD};

const FILE: &str = "ledger";
/// The file while it is being rewritten.
const NEXT_FILE: &str = "ledger.next";
const LOCK_FILE: &str = "lock";
/// How many characters of the owner's name count.
const MAX_OWNER: usize = 60;

/// What was mended on opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repair {
    /// The last record was incomplete when the process ended, and is cut off. It was never reported as written.
    TornEnd {
        /// Its number.
        number: u64,
        /// How many bytes were cut off.
        bytes: u64,
    },
    /// The process ended while the file was being rewritten: the old one stands.
    Leftover,
}

/// Stands for a disk that fails, in fault injection: called before each write.
pub type WriteFault = Arc<dyn Fn() -> io::Result<()> + Send + Sync>;

/// An open log. One process at a time has a folder open.
pub struct RecordLog {
    folder: PathBuf,
    path: PathBuf,
    owner: String,
    file: File,
    /// Up to here it is complete, in bytes.
    end: u64,
    number: u64,
    hash: ChainHash,
    fault: Option<WriteFault>,
    _lock: Flock<File>,
}

/// A log and what was found in it.
pub struct OpenedLog {
    /// The log.
    pub log: RecordLog,
    /// Its records, in their order.
    pub records: Vec<Vec<u8>>,
    /// What was mended.
    pub repairs: Vec<Repair>,
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(Error::io(folder))
}

fn lock(folder: &Path) -> Result<Flock<File>, Error> {
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = file.map_err(Error::io(&path))?;
    Flock::lock(file, FlockArg::LockExclusiveNonblock).map_err(|_| Error::InUse(folder.to_path_buf()))
}

fn check_fault(fault: Option<&WriteFault>) -> io::Result<()> {
    fault.map_or(Ok(()), |fault| fault())
}

impl RecordLog {
    /// Opens the log of that owner in a folder, both created where they are not there yet. Of the owner's name 60 characters
    /// count.
    ///
    /// # Errors
    /// Each thing that can be wrong is one of its own; nothing is changed then.
    pub fn open(folder: &Path, owner: &str, fault: Option<WriteFault>) -> Result<OpenedLog, Error> {
        let owner: String = owner.chars().take(MAX_OWNER).collect();
        fs::create_dir_all(folder).map_err(Error::io(folder))?;
        let lock = lock(folder)?;
        let path = folder.join(FILE);
        let mut repairs = Vec::new();
        if fs::remove_file(folder.join(NEXT_FILE)).is_ok() {
            repairs.push(Repair::Leftover);
        }
        if !path.exists() {
            check_fault(fault.as_ref()).map_err(Error::io(&path))?;
            replace(folder, &format::encode_head(&owner, &ChainHash::default()))?;
        }
        let mut file = OpenOptions::new().read(true).write(true).open(&path).map_err(Error::io(&path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(Error::io(&path))?;
        let Contents { records, end, number, hash, torn } = format::read(&path, &bytes, &owner)?;
        if let Some(torn) = torn {
            file.set_len(end).and_then(|()| file.sync_all()).map_err(Error::io(&path))?;
            repairs.push(torn);
        }
        let folder = folder.to_path_buf();
        let log = RecordLog { folder, path, owner, file, end, number, hash, fault, _lock: lock };
        Ok(OpenedLog { log, records, repairs })
    }

    /// How long the file is, in bytes.
    pub fn len(&self) -> u64 {
        self.end
    }

    /// Whether it holds no record.
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }

    /// The hash of all records.
    pub fn chain_hash(&self) -> ChainHash {
        self.hash
    }

    /// Appends a record; its number. When this returns the record is on disk, whatever happens next.
    ///
    /// # Errors
    /// Where it can't be written; what was there before still is, and a later try may succeed.
    pub fn append(&mut self, content: &[u8]) -> Result<u64, Error> {
        if content.len() > MAX_RECORD {
            return Err(Error::RecordTooLong(content.len()));
        }
        let mut hash = self.hash;
        let bytes = format::encode_record(&mut hash, self.number + 1, content);
        if let Err(e) = self.write(&bytes) {
            // What was partly written must not be taken for a record, nor be in the way of the next.
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

    /// Rewrites the file with these records only. The chain goes on: the new head holds the hash of all before.
    ///
    /// # Errors
    /// Where it can't be written; the old file stands then.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Error> {
        check_fault(self.fault.as_ref()).map_err(Error::io(&self.path))?;
        let mut hash = self.hash;
        let mut bytes = format::encode_head(&self.owner, &hash);
        for (number, content) in (1..).zip(records) {
            bytes.extend(format::encode_record(&mut hash, number, content));
        }
        replace(&self.folder, &bytes)?;
        let file = OpenOptions::new().read(true).write(true).open(&self.path);
        self.file = file.map_err(Error::io(&self.path))?;
        (self.end, self.number, self.hash) = (bytes.len() as u64, records.len() as u64, hash);
        Ok(())
    }
}

/// Puts a complete file in the place of the old one, or leaves the old one.
fn replace(folder: &Path, bytes: &[u8]) -> Result<(), Error> {
    let (next, path) = (folder.join(NEXT_FILE), folder.join(FILE));
    let write = || {
        let mut file = File::create(&next)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&next, &path)
    };
    write().map_err(Error::io(&path))?;
    sync_folder(folder)
}
