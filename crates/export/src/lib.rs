//! Exactly-once export of usage from the gatekeepers to a sink. No I/O, clock or thread: `crates/cluster` has
//! the files and sockets, `crates/fakes` a sink.
//!
//! Each gatekeeper appends a [`UsageRecord`] to disk before it hands a succeeded response to its client, seals
//! what it wrote into numbered [`Batch`]es, and deletes a batch only once the sink has it. The owner of the duty
//! `export` carries batches to the sink. A batch is the same whoever carries it and however often: its key is
//! the [`StreamId`] and the number, so the sink stores each once and in order, and refuses a caller whose epoch
//! is lower than one it saw ([`SinkState`]).
//!
//! | file | content |
//! | --- | --- |
//! | `usage.rs` | the usage record and its bytes |
//! | `batch.rs` | batches and streams |
//! | `sink.rs` | what a sink decides and replies |
//! | `progress.rs` | what the owner of the duty knows in one epoch |
#![forbid(unsafe_code)]

mod batch;
mod progress;
mod sink;
mod usage;

pub use batch::{Batch, MAX_SUMS_PER_BATCH, StreamId, UsageSum};
pub use progress::{BatchGap, ExportProgress};
pub use sink::{BatchReply, SinkState, StreamPosition, StreamStatus};
pub use usage::{USAGE_RECORD_BYTES, UsageRecord, WINDOW_SECONDS};

#[cfg(test)]
mod tests;
