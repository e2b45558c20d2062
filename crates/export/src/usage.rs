//! Usage records: the units of one successful request, in the fixed-size layout that a gatekeeper appends
//! to disk.
//!
//! | bytes | content, integers big-endian |
//! | --- | --- |
//! | 0 | layout version |
//! | 1 | operation |
//! | 2 and 3 | zero |
//! | 4 to 11 | hash of the tenant |
//! | 12 to 15 | window |
//! | 16 to 19 | usage in thousandths of a unit |
//! | 20 to 27 | zero |
//! | 28 to 31 | CRC-32 of all bytes before |

use std::ops::Range;

/// Length of a record on disk.
pub const USAGE_RECORD_BYTES: usize = 32;
/// Length of a window. Windows are counted from 1970.
pub const WINDOW_SECONDS: u64 = 60;

const LAYOUT_VERSION: u8 = 1;
const VERSION_AT: usize = 0;
const OPERATION_AT: usize = 1;
const TENANT_AT: Range<usize> = 4..12;
const WINDOW_AT: Range<usize> = 12..16;
const MILLI_UNITS_AT: Range<usize> = 16..20;
const CHECKSUM_AT: Range<usize> = 28..USAGE_RECORD_BYTES;

/// Usage of one successful request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// Hash of the tenant.
    pub tenant: u64,
    /// Index of the operation.
    pub operation: u8,
    /// Window of the final response: whole windows since 1970.
    pub window: u32,
    /// Usage in thousandths of a unit.
    pub milli_units: u32,
}

impl UsageRecord {
    /// Encodes the record.
    pub fn to_bytes(&self) -> [u8; USAGE_RECORD_BYTES] {
        let mut bytes = [0; USAGE_RECORD_BYTES];
        bytes[VERSION_AT] = LAYOUT_VERSION;
        bytes[OPERATION_AT] = self.operation;
        bytes[TENANT_AT].copy_from_slice(&self.tenant.to_be_bytes());
        bytes[WINDOW_AT].copy_from_slice(&self.window.to_be_bytes());
        bytes[MILLI_UNITS_AT].copy_from_slice(&self.milli_units.to_be_bytes());
        let checksum = crc32fast::hash(&bytes[..CHECKSUM_AT.start]).to_be_bytes();
        bytes[CHECKSUM_AT].copy_from_slice(&checksum);
        bytes
    }

    /// Decodes a record. Returns `None` if the length, version or checksum does not match.
    pub fn from_bytes(bytes: &[u8]) -> Option<UsageRecord> {
        let bytes: &[u8; USAGE_RECORD_BYTES] = bytes.try_into().ok()?;
        let checksum = crc32fast::hash(&bytes[..CHECKSUM_AT.start]).to_be_bytes();
        if bytes[VERSION_AT] != LAYOUT_VERSION || bytes[CHECKSUM_AT] != checksum {
            return None;
        }
        Some(UsageRecord {
            operation: bytes[OPERATION_AT],
            tenant: u64::from_be_bytes(bytes[TENANT_AT].try_into().ok()?),
            window: u32::from_be_bytes(bytes[WINDOW_AT].try_into().ok()?),
            milli_units: u32::from_be_bytes(bytes[MILLI_UNITS_AT].try_into().ok()?),
        })
    }
}
