//! Layout of the file: a header, followed by records.
//!
//! | bytes | header of the file |
//! | --- | --- |
//! | 8 | `LYNXLEDG` |
//! | 1 | layout version |
//! | 1 | length n of the owner's name |
//! | n | owner's name |
//! | 32 | hash before the first record |
//! | 4 | CRC-32 of all bytes before, big-endian |
//!
//! | bytes | record |
//! | --- | --- |
//! | 4 | length n of the content, big-endian |
//! | 8 | number of the record, from 1 on, big-endian |
//! | 4 | CRC-32 of the 12 bytes before, big-endian |
//! | n | content |
//! | 32 | BLAKE3 hash of the previous hash, the number and the content |

use std::path::Path;

use crate::error::Error;
use crate::record_log::Repair;

const MAGIC: &[u8; 8] = b"LYNXLEDG";
pub(crate) const VERSION: u8 = 1;
/// Length of magic, version and length of the owner's name.
const FIXED_HEADER_BYTES: usize = 10;
const CRC_BYTES: usize = 4;
const RECORD_HEADER_BYTES: usize = 16;
/// Offset of the checksum in the header of a record; it covers the bytes before.
const RECORD_CRC_AT: usize = 12;
/// Maximum length of the content of a record.
pub(crate) const MAX_RECORD_BYTES: usize = 1 << 20;

/// Hash of a record and all records before it.
pub(crate) type ChainHash = [u8; 32];
const HASH_BYTES: usize = size_of::<ChainHash>();

/// Content of a file.
pub(crate) struct Contents {
    pub records: Vec<Vec<u8>>,
    /// Length of the header and all complete records, in bytes.
    pub end: u64,
    /// Number of the last complete record; 0 if there is none.
    pub number: u64,
    pub hash: ChainHash,
    /// Incomplete record at the end of the file.
    pub torn_end: Option<Repair>,
}

fn chain_hash(before: &ChainHash, number: u64, content: &[u8]) -> ChainHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(before).update(&number.to_be_bytes()).update(content);
    *hasher.finalize().as_bytes()
}

/// Encodes the header of a file whose hash chain begins with `first`.
pub(crate) fn encode_header(owner: &str, first: &ChainHash) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend([VERSION, owner.len() as u8]);
    header.extend(owner.as_bytes());
    header.extend(first);
    header.extend(crc32fast::hash(&header).to_be_bytes());
    header
}

/// Encodes a record and replaces `hash` by the hash of the chain up to this record.
pub(crate) fn encode_record(hash: &mut ChainHash, number: u64, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + content.len() + HASH_BYTES);
    bytes.extend((content.len() as u32).to_be_bytes());
    bytes.extend(number.to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes.extend(content);
    *hash = chain_hash(hash, number, content);
    bytes.extend(*hash);
    bytes
}

fn read_array<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

/// Reader of the bytes of a file.
struct Reader<'a> {
    path: &'a Path,
    bytes: &'a [u8],
}

/// Result of reading at the position of a record.
enum ReadRecord<'a> {
    Complete {
        content: &'a [u8],
        length: usize,
    },
    /// The rest of the file holds the beginning of a record or, as after a loss of power, only zeros.
    Torn,
}

impl<'a> Reader<'a> {
    fn damaged(&self, offset: usize, number: u64, reason: &'static str) -> Error {
        Error::Damaged { path: self.path.to_path_buf(), offset: offset as u64, number, reason }
    }

    /// Checks the header. Returns its length and the hash before the first record.
    fn read_header(&self, owner: &str) -> Result<(usize, ChainHash), Error> {
        let bytes = self.bytes;
        if bytes.len() < FIXED_HEADER_BYTES || &bytes[..MAGIC.len()] != MAGIC {
            return Err(self.damaged(0, 0, "not a record log"));
        }
        if bytes[8] > VERSION {
            return Err(Error::UnsupportedVersion { path: self.path.to_path_buf(), found: bytes[8] });
        }
        let hash_at = FIXED_HEADER_BYTES + usize::from(bytes[9]);
        let crc_at = hash_at + HASH_BYTES;
        let end = crc_at + CRC_BYTES;
        if bytes.len() < end
            || crc32fast::hash(&bytes[..crc_at]).to_be_bytes() != read_array::<CRC_BYTES>(bytes, crc_at)
        {
            return Err(self.damaged(8, 0, "the checksum of the file header does not match"));
        }
        let found = String::from_utf8_lossy(&bytes[FIXED_HEADER_BYTES..hash_at]).into_owned();
        if found != owner {
            let (path, wanted) = (self.path.to_path_buf(), owner.to_string());
            return Err(Error::OtherOwner { path, found, wanted });
        }
        Ok((end, read_array(bytes, hash_at)))
    }

    /// Reads the record at a position, and replaces `hash` by the hash of the chain up to this record.
    fn read_record(&self, at: usize, number: u64, hash: &mut ChainHash) -> Result<ReadRecord<'a>, Error> {
        let rest = &self.bytes[at..];
        if rest.len() < RECORD_HEADER_BYTES || rest.iter().all(|b| *b == 0) {
            return Ok(ReadRecord::Torn);
        }
        let checksum = crc32fast::hash(&rest[..RECORD_CRC_AT]).to_be_bytes();
        if checksum != read_array::<CRC_BYTES>(rest, RECORD_CRC_AT) {
            return Err(self.damaged(at, number, "the checksum of the record header does not match"));
        }
        if u64::from_be_bytes(read_array(rest, 4)) != number {
            return Err(self.damaged(at, number, "records are missing or out of order"));
        }
        let content_len = u32::from_be_bytes(read_array(rest, 0)) as usize;
        if content_len > MAX_RECORD_BYTES {
            return Err(self.damaged(at, number, "the record is too long"));
        }
        let hash_at = RECORD_HEADER_BYTES + content_len;
        let length = hash_at + HASH_BYTES;
        if rest.len() < length {
            return Ok(ReadRecord::Torn);
        }
        let content = &rest[RECORD_HEADER_BYTES..hash_at];
        *hash = chain_hash(hash, number, content);
        if *hash != read_array::<HASH_BYTES>(rest, hash_at) {
            return Err(self.damaged(at, number, "the hash of the record does not match"));
        }
        Ok(ReadRecord::Complete { content, length })
    }
}

/// Reads and checks a file that must belong to `owner`.
pub(crate) fn read(path: &Path, bytes: &[u8], owner: &str) -> Result<Contents, Error> {
    let reader = Reader { path, bytes };
    let (mut at, mut hash) = reader.read_header(owner)?;
    let mut number = 0;
    let mut records = Vec::new();
    let mut torn_end = None;
    while at < bytes.len() {
        match reader.read_record(at, number + 1, &mut hash)? {
            ReadRecord::Complete { content, length } => {
                records.push(content.to_vec());
                number += 1;
                at += length;
            }
            ReadRecord::Torn => {
                torn_end = Some(Repair::TornEnd { number: number + 1, bytes: (bytes.len() - at) as u64 });
                break;
            }
        }
    }
    Ok(Contents { records, end: at as u64, number, hash, torn_end })
}
