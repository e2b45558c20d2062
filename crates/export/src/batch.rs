//! The batch: the usage records of one sealed segment, summed by tenant, operation and window.
//!
//! The field names on the wire and at the sink are older than those of the code; `serde(rename)` keeps them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::usage::{USAGE_RECORD_BYTES, UsageRecord};

/// Most sums in one batch.
pub const MAX_SUMS_PER_BATCH: usize = 4_096;

/// The records of one gatekeeper in one data directory. An emptied directory draws another id and so begins
/// another stream: its numbers start again without being taken for those of the stream before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// Name of the gatekeeper.
    pub gatekeeper: String,
    /// Id of its usage directory, drawn when that is created.
    #[serde(rename = "folder")]
    pub directory_id: u64,
}

/// What one tenant used in one window by one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageSum {
    /// The tenant's hash, as in the usage record.
    #[serde(rename = "customer")]
    pub tenant: u64,
    /// The operation's index.
    pub operation: u8,
    /// Whole windows since 1970.
    pub window: u32,
    /// Thousandths of a unit.
    #[serde(rename = "milli")]
    pub milli_units: u64,
}

/// A numbered part of a stream. Numbers grow by one from 1; the content under a number never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The stream it is part of.
    pub stream: StreamId,
    /// Its number in the stream.
    pub number: u64,
    /// By tenant, operation and window, in ascending order.
    pub sums: Vec<UsageSum>,
    /// Records that could not be read: their units are missing from `sums`.
    #[serde(rename = "unread")]
    pub unreadable_records: u64,
}

impl Batch {
    /// The batch of one segment's bytes. A partial record at the end is left out: its request was never answered.
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

    /// All units of the batch, in thousandths.
    pub fn milli_units(&self) -> u64 {
        self.sums.iter().map(|sum| sum.milli_units).sum()
    }

    /// CRC-32 of the content: tells two contents under one number apart.
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
