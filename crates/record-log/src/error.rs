//! Why a log can't be opened or written.

use std::io;
use std::path::{Path, PathBuf};

use crate::format::{MAX_RECORD, VERSION};

/// Why a log can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another process has the folder open, and may be about to end.
    #[error("{}: another process has this folder open", .0.display())]
    InUse(PathBuf),
    /// The folder holds the records of somebody else.
    #[error("{}: the records are those of {found}, not of {wanted}; name another folder", path.display())]
    OtherOwner {
        /// The file.
        path: PathBuf,
        /// Whose records it holds.
        found: String,
        /// Whose were asked for.
        wanted: String,
    },
    /// The file is not as it was written. Trying again does not help.
    #[error(
        "{}: damaged at byte {offset}, in record {number}: {reason}; put the file aside or bring it back from a copy",
        path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where, in bytes.
        offset: u64,
        /// In which record; 0 in the head of the file.
        number: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A newer program wrote the file.
    #[error("{}: written by a newer program (layout {found}, this one knows {VERSION})", path.display())]
    UnsupportedVersion {
        /// The file.
        path: PathBuf,
        /// The version of its layout.
        found: u8,
    },
    /// The disk is full. Trying again helps once there is room.
    #[error("{}: the disk is full", .0.display())]
    DiskFull(PathBuf),
    /// A record is too long, in bytes.
    #[error("a record of {0} bytes is longer than {MAX_RECORD}")]
    RecordTooLong(usize),
    /// The system refuses to read or write. Trying again may help.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

impl Error {
    /// For `map_err`: the error of an operation on a file.
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Error + use<> {
        let path = path.to_path_buf();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::DiskFull(path),
            _ => Error::Io { path, source },
        }
    }

    /// Whether a later try may succeed once there is room on the disk.
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Error::DiskFull(_))
    }
}
