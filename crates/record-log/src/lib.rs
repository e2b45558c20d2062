//! Durable records: appended, each with a checksum and the hash of all before it, on disk before it is said
//! so.
//!
//! Called by `crates/cluster` for what a member must not forget. It knows nothing of what the bytes mean, and
//! never runs on a coroutine's thread: [`Writer`] has a thread of its own.
//!
//! What can be wrong with a file is told apart: an end that was torn by a kill is cut off and told of as a
//! [`Repair`]; a byte that changed, another's folder, a folder in use and a full disk are each an [`Error`]
//! of their own, and nothing is changed.
#![forbid(unsafe_code)]

mod file;
mod writer;

pub use file::{Error, Failing, Ledger, Opened, Repair};
pub use writer::{Writer, Written};
