//! Errors of opening, reading and writing a log.

use std::io;
use std::path::{Path, PathBuf};

use crate::format::{MAX_RECORD_BYTES, VERSION};

/// Error of opening or writing a log.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another process has the directory open. A retry succeeds once that process has ended.
    #[error("{}: another process has this folder open", .0.display())]
    InUse(PathBuf),
    /// The directory holds the records of another owner.
    #[error("{}: the records are those of {found}, not of {wanted}; choose another folder", path.display())]
    OtherOwner {
        /// Path of the file.
        path: PathBuf,
        /// Owner recorded in the file.
        found: String,
        /// Owner passed to `RecordLog::open`.
        wanted: String,
    },
    /// The file is corrupted. A retry does not help.
    #[error(
        "{}: damaged at byte {offset}, in record {number}: {reason}; move the file away or restore a backup",
        path.display()
    )]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// Offset of the damage, in bytes.
        offset: u64,
        /// Number of the damaged record; 0 for the header of the file.
        number: u64,
        /// Kind of damage.
        reason: &'static str,
    },
    /// A newer version of the program wrote the file.
    #[error("{}: written by a newer version (layout {found}, supported up to {VERSION})", path.display())]
    UnsupportedVersion {
        /// Path of the file.
        path: PathBuf,
        /// Layout version of the file.
        found: u8,
    },
    /// The disk is full. A retry succeeds once there is room.
    #[error("{}: the disk is full", .0.display())]
    DiskFull(PathBuf),
    /// A record of this many bytes is too long.
    #[error("a record of {0} bytes is longer than the maximum of {MAX_RECORD_BYTES} bytes")]
    RecordTooLong(usize),
    /// The operating system reported an error. A retry may succeed.
    #[error("{}: {source}", path.display())]
    Io {
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl Error {
    /// Returns a function for `map_err` that converts the error of an operation on `path`.
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Error + use<> {
        let path = path.to_path_buf();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::DiskFull(path),
            _ => Error::Io { path, source },
        }
    }

    /// Returns `true` if the disk is full.
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Error::DiskFull(_))
    }
}
