//! Batches of usage: the records of one sealed segment, summed by tenant, operation and window.
//!
//! Names in JSON differ from those in the code and must not change; `serde(rename)` sets them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::usage::{USAGE_RECORD_BYTES, UsageRecord};

/// Number of sums that a batch should not exceed. [`Batch::from_segment`] does not enforce it.
pub const MAX_SUMS_PER_BATCH: usize = 4_096;

/// Identifies the usage records of one gatekeeper in one usage directory. An emptied directory gets a new
/// id and so starts a new stream, whose batch numbers do not clash with those of the former one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// Name of the gatekeeper.
    pub gatekeeper: String,
    /// Random id of its usage directory, chosen when the directory is created.
    #[serde(rename = "folder")]
    pub directory_id: u64,
}

/// Usage of one operation by one tenant in one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageSum {
    /// Hash of the tenant, as in the usage record.
    #[serde(rename = "customer")]
    pub tenant: u64,
    /// Index of the operation.
    pub operation: u8,
    /// Number of the window: whole windows since 1970.
    pub window: u32,
    /// Usage in thousandths of a unit.
    #[serde(rename = "milli")]
    pub milli_units: u64,
}

/// A numbered part of a stream. Numbers are consecutive from 1; the content of a number never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Stream of the batch.
    pub stream: StreamId,
    /// Number in the stream, starting at 1.
    pub number: u64,
    /// Sums, ordered by tenant, operation and window.
    pub sums: Vec<UsageSum>,
    /// Number of records that could not be read. Their units are missing from `sums`.
    #[serde(rename = "unread")]
    pub unreadable_records: u64,
}

impl Batch {
    /// Creates the batch of a segment from its bytes. A partial record at the end is ignored.
    pub fn from_segment(stream: StreamId, number: u64, segment: &[u8]) -> Batch {
        let mut totals: BTreeMap<(u64, u8, u32), u64> = BTreeMap::new();
        let mut unreadable_records = 0;
        for bytes in segment.chunks_exact(USAGE_RECORD_BYTES) {
            let Some(record) = UsageRecord::from_bytes(bytes) else {
                unreadable_records += 1;
                continue;
            };
            let key = (record.tenant, record.operation, record.window);
            *totals.entry(key).or_default() += u64::from(record.milli_units);
        }
        let sums = totals.into_iter().map(|((tenant, operation, window), milli_units)| UsageSum {
            tenant,
            operation,
            window,
            milli_units,
        });
        Batch { stream, number, sums: sums.collect(), unreadable_records }
    }

    /// Returns the total usage of the batch, in thousandths of a unit.
    pub fn milli_units(&self) -> u64 {
        self.sums.iter().map(|sum| sum.milli_units).sum()
    }

    /// Returns the CRC-32 of the content, to detect different contents under the same number.
    pub fn checksum(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for sum in &self.sums {
            hasher.update(&sum.tenant.to_be_bytes());
            hasher.update(&[sum.operation]);
            hasher.update(&sum.window.to_be_bytes());
            hasher.update(&sum.milli_units.to_be_bytes());
        }
        hasher.update(&self.unreadable_records.to_be_bytes());
        hasher.finalize()
    }
}
