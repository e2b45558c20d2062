//! Exactly-once export of usage from the gatekeepers to a sink. Performs no I/O: `crates/cluster` has the
//! files and sockets, `crates/fakes` a sink.
//!
//! Each gatekeeper appends a [`UsageRecord`] to a file before it returns a successful response to its client,
//! seals its records into numbered [`Batch`]es, and deletes a batch only after the sink has stored it. The
//! owner of the duty `export` sends the batches to the sink. The [`StreamId`] and the batch number are an
//! idempotency key: the sink stores each batch once and in order. It refuses an epoch lower than the
//! highest one that it has seen, so that a former owner can't write ([`SinkState`]).
//!
//! | file | content |
//! | --- | --- |
//! | `usage.rs` | usage records and their layout |
//! | `batch.rs` | batches and streams |
//! | `sink.rs` | decisions and replies of a sink |
//! | `progress.rs` | progress of the owner of the duty within one epoch |
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
