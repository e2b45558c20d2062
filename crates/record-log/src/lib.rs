//! Append-only log of durable records with checksums and a hash chain.
//!
//! A record that `append` or the [`Writer`] reports as written survives a crash and a loss of power. When a
//! log is opened, an incomplete record at the end is cut off and reported as a [`Repair`]. A corrupted
//! file, the directory of another owner, a directory in use and a full disk are reported as different
//! [`Error`]s, and the records are not changed. The content of records is opaque.
//!
//! All functions of [`RecordLog`] block on the disk; [`Writer`] calls them on its own thread.
//!
//! The names and the layout of the files must not change; `tests/golden.rs` checks them.
#![forbid(unsafe_code)]

mod error;
mod format;
mod record_log;
mod writer;

pub use error::Error;
pub use record_log::{OpenedLog, RecordLog, Repair, WriteFault};
pub use writer::{OnWritten, RetainedRecords, Writer};
