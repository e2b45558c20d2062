//! What a sink decides: which epochs it has seen, and which batch of each stream is next.
//!
//! [`SinkState`] does no I/O. The sink asks for a decision, stores what it is about to acknowledge, and only then
//! records it here.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::batch::{Batch, StreamId};

/// The last batch of a stream that a sink has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPosition {
    /// Number of that batch; 0: none yet.
    pub number: u64,
    /// [`Batch::checksum`] of that batch.
    pub checksum: u32,
    /// All units of the stream so far, in thousandths.
    #[serde(rename = "milli")]
    pub milli_units: u64,
}

/// Whether a sink has all of a stream, as the exporter tells it. The sink names the incomplete ones, so that what
/// is missing is not missing silently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStatus {
    /// The stream.
    pub stream: StreamId,
    /// False: something of the stream may be missing.
    #[serde(rename = "known")]
    pub complete: bool,
    /// Why, for people.
    #[serde(rename = "why")]
    pub reason: String,
    /// Thousandths of a unit that were not exported yet when the gatekeeper last answered; `None`: it never
    /// answered this owner.
    #[serde(rename = "last_known_milli")]
    pub last_pending_milli_units: Option<u64>,
}

/// A sink's reply to a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "says")]
pub enum BatchReply {
    /// The batch is stored, once.
    #[serde(rename = "taken")]
    Accepted {
        /// It was stored by an earlier call.
        #[serde(rename = "again")]
        already_stored: bool,
    },
    /// A higher epoch was seen: the caller owns the duty no longer.
    #[serde(rename = "refused")]
    Fenced {
        /// The highest epoch the sink saw.
        #[serde(rename = "seen")]
        highest_epoch: u64,
    },
    /// The batches from `expected` on were not brought, or the sink was restored from an earlier copy.
    Gap {
        /// The number it takes next.
        #[serde(rename = "wanted")]
        expected: u64,
    },
    /// Another content is stored under this number.
    #[serde(rename = "differs")]
    Conflict,
}

/// The state of a sink.
#[derive(Clone, Debug, Default)]
pub struct SinkState {
    /// The highest epoch that any caller presented.
    pub highest_epoch: u64,
    /// By stream, the last batch stored.
    pub positions: BTreeMap<StreamId, StreamPosition>,
    /// Streams of which something may be missing.
    pub incomplete: BTreeMap<StreamId, StreamStatus>,
}

impl SinkState {
    /// A caller presents its epoch; returns false where a higher one was seen.
    pub fn observe_epoch(&mut self, epoch: u64) -> bool {
        let is_current = epoch >= self.highest_epoch;
        self.highest_epoch = self.highest_epoch.max(epoch);
        is_current
    }

    /// The reply to a batch. Changes nothing: an accepted one is to be stored, then given to [`Self::store`].
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

    /// An accepted batch is on disk.
    pub fn store(&mut self, epoch: u64, batch: &Batch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        let position = self.positions.entry(batch.stream.clone()).or_default();
        position.number = batch.number;
        position.checksum = batch.checksum();
        position.milli_units += batch.milli_units();
    }

    /// The status of a stream is on disk.
    pub fn store_status(&mut self, epoch: u64, status: &StreamStatus) {
        self.highest_epoch = self.highest_epoch.max(epoch);
        if status.complete {
            self.incomplete.remove(&status.stream);
        } else {
            self.incomplete.insert(status.stream.clone(), status.clone());
        }
    }
}
