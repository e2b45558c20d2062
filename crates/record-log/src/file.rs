//! The file: what is written, and what is made of it when it is read again.
//!
//! | bytes | head of the file |
//! | --- | --- |
//! | 8 | `LYNXLEDG` |
//! | 1 | version of this layout |
//! | 1, n | length of the owner's name, the name |
//! | 32 | the hash that the chain begins with |
//! | 4 | CRC-32 of all before |
//!
//! | bytes | a record |
//! | --- | --- |
//! | 4 | length of what is recorded, big-endian |
//! | 8 | its number, from 1 on |
//! | 4 | CRC-32 of the twelve bytes before |
//! | n | what is recorded |
//! | 32 | BLAKE3 of the hash before, the number, and what is recorded |

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use nix::fcntl::{Flock, FlockArg};

const MAGIC: &[u8; 8] = b"LYNXLEDG";
const VERSION: u8 = 1;
const HASH: usize = 32;
const RECORD_HEAD: usize = 16;
/// No record is longer, in bytes.
const LONGEST: usize = 1 << 20;
const FILE: &str = "ledger";
const NEXT: &str = "ledger.next";
const LOCK: &str = "lock";

/// Why a ledger can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{}: another process has this folder open", .0.display())]
    InUse(PathBuf),
    #[error("{}: the records are those of {found}, not of {wanted}; name another folder", file.display())]
    OtherOwner { file: PathBuf, found: String, wanted: String },
    #[error(
        "{}: damaged at byte {at}, in record {number}: {what}; put the file aside or bring it back from a copy",
        file.display()
    )]
    Damaged { file: PathBuf, at: u64, number: u64, what: &'static str },
    #[error("{}: written by a newer program (layout {found}, this one knows {VERSION})", file.display())]
    Newer { file: PathBuf, found: u8 },
    #[error("{}: the disk is full", .0.display())]
    Full(PathBuf),
    #[error("a record of {0} bytes is longer than {LONGEST}")]
    TooLong(usize),
    #[error("{}: {source}", file.display())]
    Io { file: PathBuf, source: io::Error },
}

impl Error {
    fn io(file: &Path) -> impl FnOnce(io::Error) -> Error + use<> {
        let file = file.to_path_buf();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::Full(file),
            _ => Error::Io { file, source },
        }
    }

    /// Whether a later try may succeed with no one having mended anything but room on the disk.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::Full(_))
    }
}

/// What was mended on opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repair {
    /// The last record had not been written whole when the process ended: cut off. It was never said to be on
    /// disk.
    TornEnd { number: u64, bytes: u64 },
    /// The process ended while the file was being written anew: the old one stands.
    Leftover,
}

/// Stands for a disk that fails, in trials: called before each write.
pub type Failing = Arc<dyn Fn() -> io::Result<()> + Send + Sync>;

/// An open ledger. One process at a time has a folder open.
pub struct Ledger {
    folder: PathBuf,
    path: PathBuf,
    owner: String,
    file: File,
    /// Up to here it is whole.
    end: u64,
    number: u64,
    hash: [u8; HASH],
    failing: Option<Failing>,
    _lock: Flock<File>,
}

/// A ledger and what was found in it.
pub struct Opened {
    pub ledger: Ledger,
    pub records: Vec<Vec<u8>>,
    pub repairs: Vec<Repair>,
}

fn chain(before: &[u8; HASH], number: u64, recorded: &[u8]) -> [u8; HASH] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(before).update(&number.to_be_bytes()).update(recorded);
    *hasher.finalize().as_bytes()
}

fn head(owner: &str, first: &[u8; HASH]) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend([VERSION, owner.len() as u8]);
    head.extend(owner.as_bytes());
    head.extend(first);
    head.extend(crc32fast::hash(&head).to_be_bytes());
    head
}

fn record(hash: &mut [u8; HASH], number: u64, recorded: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORD_HEAD + recorded.len() + HASH);
    bytes.extend((recorded.len() as u32).to_be_bytes());
    bytes.extend(number.to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes.extend(recorded);
    *hash = chain(hash, number, recorded);
    bytes.extend(*hash);
    bytes
}

/// What was read of a file.
struct Found {
    records: Vec<Vec<u8>>,
    end: u64,
    number: u64,
    hash: [u8; HASH],
    torn: Option<Repair>,
}

fn array<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

fn read(path: &Path, bytes: &[u8], owner: &str) -> Result<Found, Error> {
    let damaged =
        |at: usize, number, what| Error::Damaged { file: path.to_path_buf(), at: at as u64, number, what };
    if bytes.len() < 10 || &bytes[..8] != MAGIC {
        return Err(damaged(0, 0, "no ledger"));
    }
    if bytes[8] > VERSION {
        return Err(Error::Newer { file: path.to_path_buf(), found: bytes[8] });
    }
    let first_at = 10 + usize::from(bytes[9]);
    let start = first_at + HASH + 4;
    if bytes.len() < start
        || crc32fast::hash(&bytes[..start - 4]).to_be_bytes() != array::<4>(bytes, start - 4)
    {
        return Err(damaged(8, 0, "the head is not as written"));
    }
    let found = String::from_utf8_lossy(&bytes[10..first_at]).into_owned();
    if found != owner {
        return Err(Error::OtherOwner { file: path.to_path_buf(), found, wanted: owner.to_string() });
    }
    let (mut at, mut number, mut hash) = (start, 0, array::<HASH>(bytes, first_at));
    let mut records = Vec::new();
    let mut torn = None;
    while at < bytes.len() {
        let rest = &bytes[at..];
        let next = number + 1;
        // A kill leaves the beginning of a record, a power cut may leave zeros in its place.
        let cut = Repair::TornEnd { number: next, bytes: rest.len() as u64 };
        if rest.len() < RECORD_HEAD || rest.iter().all(|b| *b == 0) {
            torn = Some(cut);
            break;
        }
        if crc32fast::hash(&rest[..12]).to_be_bytes() != array::<4>(rest, 12) {
            return Err(damaged(at, next, "the head of the record is not as written"));
        }
        let len = u32::from_be_bytes(array(rest, 0)) as usize;
        if u64::from_be_bytes(array(rest, 4)) != next {
            return Err(damaged(at, next, "records are missing or out of order"));
        }
        if len > LONGEST {
            return Err(damaged(at, next, "the record is too long"));
        }
        let whole = RECORD_HEAD + len + HASH;
        if rest.len() < whole {
            torn = Some(cut);
            break;
        }
        let recorded = &rest[RECORD_HEAD..RECORD_HEAD + len];
        hash = chain(&hash, next, recorded);
        if hash != array::<HASH>(rest, RECORD_HEAD + len) {
            return Err(damaged(at, next, "the record is not as written, or the chain is broken"));
        }
        records.push(recorded.to_vec());
        (at, number) = (at + whole, next);
    }
    Ok(Found { records, end: at as u64, number, hash, torn })
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(Error::io(folder))
}

impl Ledger {
    /// Opens the ledger of that owner in a folder, both made where they are not there yet. At most 255 bytes
    /// of the owner's name count.
    ///
    /// # Errors
    /// Each thing that can be wrong is one of its own; nothing is changed then.
    pub fn open(folder: &Path, owner: &str, failing: Option<Failing>) -> Result<Opened, Error> {
        let owner: String = owner.chars().take(60).collect();
        fs::create_dir_all(folder).map_err(Error::io(folder))?;
        let lock_path = folder.join(LOCK);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&lock_path);
        let lock = lock.map_err(Error::io(&lock_path))?;
        let lock = Flock::lock(lock, FlockArg::LockExclusiveNonblock)
            .map_err(|_| Error::InUse(folder.to_path_buf()))?;
        let path = folder.join(FILE);
        let mut repairs = Vec::new();
        if fs::remove_file(folder.join(NEXT)).is_ok() {
            repairs.push(Repair::Leftover);
        }
        if !path.exists() {
            if let Some(failing) = &failing {
                failing().map_err(Error::io(&path))?;
            }
            put_anew(folder, &head(&owner, &[0; HASH]))?;
        }
        let mut file = OpenOptions::new().read(true).write(true).open(&path).map_err(Error::io(&path))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(Error::io(&path))?;
        let found = read(&path, &bytes, &owner)?;
        if let Some(torn) = found.torn {
            file.set_len(found.end).and_then(|()| file.sync_all()).map_err(Error::io(&path))?;
            repairs.push(torn);
        }
        let Found { records, end, number, hash, .. } = found;
        let folder = folder.to_path_buf();
        let ledger = Ledger { folder, path, owner, file, end, number, hash, failing, _lock: lock };
        Ok(Opened { ledger, records, repairs })
    }

    /// How long the file is, in bytes.
    pub fn len(&self) -> u64 {
        self.end
    }

    /// Whether nothing was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.number == 0
    }

    /// The hash of all that is recorded.
    pub fn hash(&self) -> [u8; HASH] {
        self.hash
    }

    /// Puts one more record on disk. When this returns it is there, whatever happens next.
    ///
    /// # Errors
    /// Where it can't be written; what was there before still is, and a later try may succeed.
    pub fn append(&mut self, recorded: &[u8]) -> Result<u64, Error> {
        if recorded.len() > LONGEST {
            return Err(Error::TooLong(recorded.len()));
        }
        let mut hash = self.hash;
        let bytes = record(&mut hash, self.number + 1, recorded);
        if let Err(e) = self.put(&bytes) {
            // What was half written must not be taken for a record, nor be in the way of the next.
            let _ = self.file.set_len(self.end);
            return Err(Error::io(&self.path)(e));
        }
        self.end += bytes.len() as u64;
        self.number += 1;
        self.hash = hash;
        Ok(self.number)
    }

    fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Some(failing) = &self.failing {
            failing()?;
        }
        self.file.seek(SeekFrom::Start(self.end))?;
        self.file.write_all(bytes)?;
        self.file.sync_data()
    }

    /// Writes the file anew with these records only. The chain goes on: the new head holds the hash of all
    /// before.
    ///
    /// # Errors
    /// Where it can't be written; the old file stands then.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), Error> {
        if let Some(failing) = &self.failing {
            failing().map_err(Error::io(&self.path))?;
        }
        let mut hash = self.hash;
        let mut bytes = head(&self.owner, &hash);
        for (number, recorded) in (1..).zip(records) {
            bytes.extend(record(&mut hash, number, recorded));
        }
        put_anew(&self.folder, &bytes)?;
        let file = OpenOptions::new().read(true).write(true).open(&self.path);
        self.file = file.map_err(Error::io(&self.path))?;
        (self.end, self.number, self.hash) = (bytes.len() as u64, records.len() as u64, hash);
        Ok(())
    }
}

/// A whole file in the place of the old one, or the old one.
fn put_anew(folder: &Path, bytes: &[u8]) -> Result<(), Error> {
    let (next, path) = (folder.join(NEXT), folder.join(FILE));
    let write = || {
        let mut file = File::create(&next)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&next, &path)
    };
    write().map_err(Error::io(&path))?;
    sync_folder(folder)
}
