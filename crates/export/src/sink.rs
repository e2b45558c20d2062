//! State of a sink: the highest epoch that it has seen and its position in each stream.
//!
//! [`SinkState`] performs no I/O. The sink checks a batch, persists it, and then updates the state before it
//! acknowledges the batch.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::batch::{Batch, StreamId};

/// Position of a sink in a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPosition {
    /// Number of the last stored batch; 0 if there is none.
    pub number: u64,
    /// [`Batch::checksum`] of that batch.
    pub checksum: u32,
    /// Total usage of all stored batches, in thousandths of a unit.
    #[serde(rename = "milli")]
    pub milli_units: u64,
}

/// Completeness of a stream, reported by the exporter. The sink keeps the incomplete streams, so that
/// missing usage is visible.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStatus {
    /// Stream to which the status applies.
    pub stream: StreamId,
    /// `false` if usage may be missing.
    #[serde(rename = "known")]
    pub complete: bool,
    /// Human-readable reason.
    #[serde(rename = "why")]
    pub reason: String,
    /// Usage not exported yet when the gatekeeper last answered, in thousandths of a unit; `None` if it
    /// never answered this owner.
    #[serde(rename = "last_known_milli")]
    pub last_pending_milli_units: Option<u64>,
}

/// Reply of a sink to a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "says")]
pub enum BatchReply {
    /// The batch is stored.
    #[serde(rename = "taken")]
    Accepted {
        /// `true` if an earlier call stored it.
        #[serde(rename = "again")]
        already_stored: bool,
    },
    /// The sink has seen a higher epoch, so the caller does not own the duty any more.
    #[serde(rename = "refused")]
    Fenced {
        /// Highest epoch that the sink has seen.
        #[serde(rename = "seen")]
        highest_epoch: u64,
    },
    /// The batch number is too high: batches from `expected` on are missing, for example because the sink
    /// was restored from a backup.
    Gap {
        /// Number of the next batch that the sink accepts.
        #[serde(rename = "wanted")]
        expected: u64,
    },
    /// A batch with other content is stored under this number.
    #[serde(rename = "differs")]
    Conflict,
}

/// State of a sink.
#[derive(Clone, Debug, Default)]
pub struct SinkState {
    /// Highest epoch that any caller presented.
    pub highest_epoch: u64,
    /// Positions by stream.
    pub positions: BTreeMap<StreamId, StreamPosition>,
    /// Status of the streams of which usage may be missing.
    pub incomplete: BTreeMap<StreamId, StreamStatus>,
}

impl SinkState {
    /// Records the epoch of a caller. Returns `false` if a higher epoch was seen before.
    pub fn observe_epoch(&mut self, epoch: u64) -> bool {
        let is_current = epoch >= self.highest_epoch;
        self.highest_epoch = self.highest_epoch.max(epoch);
        is_current
    }

    /// Returns the reply to a batch, without changing the state. The sink must persist an accepted batch
    /// that is not stored yet, then call [`Self::store`].
    pub fn check(&self, epoch: u64, batch: &Batch) -> BatchReply {
        if epoch < self.highest_epoch {
            return BatchReply::Fenced { highest_epoch: self.highest_epoch };
        }
        let position = self.positions.get(&batch.stream).copied().unwrap_or_default();
        let expected = position.number + 1;
        match batch.number {
            number if number == expected => BatchReply::Accepted { already_stored: false },
            number if number == position.number && batch.checksum() != position.checksum => {
                BatchReply::Conflict
            }
            number if number < expected => BatchReply::Accepted { already_stored: true },
            _ => BatchReply::Gap { expected },
        }
    }

    /// Records an accepted batch that has been persisted.
    pub fn store(&mut self, epoch: u64, batch: &Batch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        let position = self.positions.entry(batch.stream.clone()).or_default();
        position.number = batch.number;
        position.checksum = batch.checksum();
        position.milli_units += batch.milli_units();
    }

    /// Records the status of a stream that has been persisted.
    pub fn store_status(&mut self, epoch: u64, status: &StreamStatus) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if status.complete {
            self.incomplete.remove(&status.stream);
        } else {
            self.incomplete.insert(status.stream.clone(), status.clone());
        }
    }
}
