//! Durable records: appended, each with a checksum and the hash of all before it, and synced before it counts.
//!
//! Contract: what `append` or the [`Writer`] reports as written survives a kill and a loss of power. What can be wrong with a
//! file is told apart: an end that was torn by a kill is cut off and reported as a [`Repair`]; a changed byte, another owner's
//! folder, a folder in use and a full disk are each an [`Error`] of their own, and nothing is changed. What the bytes mean is
//! not known here. Nothing here runs on a coroutine's thread: [`Writer`] has a thread of its own.
//!
//! Names of files and their layout lie on disks and stay; `tests/golden.rs` holds them.
#![forbid(unsafe_code)]

mod error;
mod format;
mod record_log;
mod writer;

pub use error::Error;
pub use record_log::{OpenedLog, RecordLog, Repair, WriteFault};
pub use writer::{OnWritten, RetainedRecords, Writer};
