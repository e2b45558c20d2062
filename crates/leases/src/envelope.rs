//! Envelope of a datagram: version, fleet and checksum. A datagram that can't be decoded is dropped,
//! counted and not answered.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | `O`; membership datagrams start with another byte |
//! | 1 | version of this layout |
//! | 2 to 9 | hash of the fleet name, big-endian |
//! | 10 to 13 | CRC-32 of all other bytes, big-endian |
//! | 14 on | the message, encoded with postcard |

use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::identity::hash;
use crate::message::Message;

/// First byte of each datagram; distinguishes it from membership datagrams.
pub const FIRST_BYTE: u8 = b'O';
/// Maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16_384;

const VERSION: u8 = 1;
const FLEET_AT: Range<usize> = 2..10;
const CHECKSUM_AT: Range<usize> = 10..14;
const HEADER_BYTES: usize = 14;

/// Reason for which a datagram was dropped.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
#[serde(rename_all = "snake_case")]
pub enum DecodeError {
    /// The datagram is too short or too long.
    #[error("invalid length")]
    #[serde(rename = "length")]
    InvalidLength,
    /// The first byte or the version does not match.
    #[error("unknown protocol or version")]
    #[serde(rename = "version")]
    UnsupportedVersion,
    /// The datagram belongs to another fleet.
    #[error("datagram of another fleet")]
    #[serde(rename = "fleet")]
    OtherFleet,
    /// The datagram is damaged.
    #[error("checksum mismatch")]
    #[serde(rename = "checksum")]
    BadChecksum,
    /// The content is not a valid message.
    #[error("malformed message")]
    Malformed,
}

/// Encodes and decodes the datagrams of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct Envelope {
    fleet_hash: u64,
}

impl Envelope {
    /// Creates the envelope of a fleet.
    pub fn new(fleet: &str) -> Self {
        Envelope { fleet_hash: hash(&[fleet.as_bytes()]) }
    }

    /// Encodes a message. Returns `None` if the datagram would be longer than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(message).ok()?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend([FIRST_BYTE, VERSION]);
        bytes.extend(self.fleet_hash.to_be_bytes());
        bytes.extend([0; CHECKSUM_AT.end - CHECKSUM_AT.start]);
        bytes.extend(body);
        let checksum = checksum(&bytes);
        bytes[CHECKSUM_AT].copy_from_slice(&checksum);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes the message in a datagram.
    ///
    /// # Errors
    /// If the datagram is not a valid message of this fleet.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() <= HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::InvalidLength);
        }
        if bytes[0] != FIRST_BYTE || bytes[1] != VERSION {
            return Err(DecodeError::UnsupportedVersion);
        }
        if bytes[FLEET_AT] != self.fleet_hash.to_be_bytes() {
            return Err(DecodeError::OtherFleet);
        }
        if bytes[CHECKSUM_AT] != checksum(bytes) {
            return Err(DecodeError::BadChecksum);
        }
        postcard::from_bytes(&bytes[HEADER_BYTES..]).map_err(|_| DecodeError::Malformed)
    }
}

fn checksum(bytes: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..CHECKSUM_AT.start]);
    hasher.update(&bytes[CHECKSUM_AT.end..]);
    hasher.finalize().to_be_bytes()
}

#[cfg(test)]
mod tests;
