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
    #[error("{}: the records are those of {found}, not of {wanted}; name another folder", file.display())]
    OtherOwner {
        /// The file.
        file: PathBuf,
        /// Whose records it holds.
        found: String,
        /// Whose were asked for.
        wanted: String,
    },
    /// The file is not as it was written. Trying again does not help.
    #[error(
        "{}: damaged at byte {at}, in record {number}: {what}; put the file aside or bring it back from a copy",
        file.display()
    )]
    Damaged {
        /// The file.
        file: PathBuf,
        /// Where, in bytes.
        at: u64,
        /// In which record; 0 in the head of the file.
        number: u64,
        /// What is wrong.
        what: &'static str,
    },
    /// A newer program wrote the file.
    #[error("{}: written by a newer program (layout {found}, this one knows {VERSION})", file.display())]
    Newer {
        /// The file.
        file: PathBuf,
        /// The version of its layout.
        found: u8,
    },
    /// The disk is full. Trying again helps once there is room.
    #[error("{}: the disk is full", .0.display())]
    Full(PathBuf),
    /// A record is too long, in bytes.
    #[error("a record of {0} bytes is longer than {MAX_RECORD}")]
    TooLong(usize),
    /// The system refuses to read or write. Trying again may help.
    #[error("{}: {source}", file.display())]
    Io {
        /// The file or folder.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
}

impl Error {
    /// For `map_err`: the error of an operation on a file.
    pub(crate) fn io(file: &Path) -> impl FnOnce(io::Error) -> Error + use<> {
        let file = file.to_path_buf();
        move |source| match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Error::Full(file),
            _ => Error::Io { file, source },
        }
    }

    /// Whether a later try may succeed once there is room on the disk.
    pub fn is_full(&self) -> bool {
        matches!(self, Error::Full(_))
    }
}
