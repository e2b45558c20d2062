//! The layout of the file.
//!
//! | bytes | head of the file |
//! | --- | --- |
//! | 8 | `LYNXLEDG` |
//! | 1 | version of this layout |
//! | 1, n | length of the owner's name, the name |
//! | 32 | the hash that the chain begins with |
//! | 4 | CRC-32 of all before |
//!
//! | bytes | a record |
//! | --- | --- |
//! | 4 | length of its content, big-endian |
//! | 8 | its number, from 1 on |
//! | 4 | CRC-32 of the twelve bytes before |
//! | n | its content |
//! | 32 | BLAKE3 of the hash before, the number, and the content |

use std::path::Path;

use crate::error::Error;
use crate::record_log::Repair;

const MAGIC: &[u8; 8] = b"LYNXLEDG";
pub(crate) const VERSION: u8 = 1;
/// Magic, version and the length of the owner's name, in bytes.
const FIXED_HEAD: usize = 10;
const CRC: usize = 4;
const RECORD_HEAD: usize = 16;
/// What the checksum of a record's head covers, in bytes.
const RECORD_HEAD_CHECKED: usize = 12;
/// The longest content of a record, in bytes.
pub(crate) const MAX_RECORD: usize = 1 << 20;

/// The hash of a record and all before it.
pub(crate) type ChainHash = [u8; 32];
const HASH: usize = size_of::<ChainHash>();

/// What was read of a file.
pub(crate) struct Contents {
    pub records: Vec<Vec<u8>>,
    /// The length of what is complete, in bytes.
    pub end: u64,
    /// The number of the last record.
    pub number: u64,
    pub hash: ChainHash,
    /// An incomplete record behind that.
    pub torn: Option<Repair>,
}

fn chain(before: &ChainHash, number: u64, content: &[u8]) -> ChainHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(before).update(&number.to_be_bytes()).update(content);
    *hasher.finalize().as_bytes()
}

/// The head of a file whose chain begins with this hash.
pub(crate) fn encode_head(owner: &str, first: &ChainHash) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend([VERSION, owner.len() as u8]);
    head.extend(owner.as_bytes());
    head.extend(first);
    head.extend(crc32fast::hash(&head).to_be_bytes());
    head
}

/// A record, and the hash of the chain with it in place of the hash before.
pub(crate) fn encode_record(hash: &mut ChainHash, number: u64, content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(RECORD_HEAD + content.len() + HASH);
    bytes.extend((content.len() as u32).to_be_bytes());
    bytes.extend(number.to_be_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_be_bytes());
    bytes.extend(content);
    *hash = chain(hash, number, content);
    bytes.extend(*hash);
    bytes
}

fn array<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&bytes[at..at + N]);
    out
}

/// A reader of one file's bytes.
struct Reader<'a> {
    path: &'a Path,
    bytes: &'a [u8],
}

/// What stands at the position of a record.
enum Found<'a> {
    Record {
        content: &'a [u8],
        length: usize,
    },
    /// A kill leaves the beginning of a record, a loss of power may leave zeros in its place.
    Torn,
}

impl<'a> Reader<'a> {
    fn damaged(&self, offset: usize, number: u64, reason: &'static str) -> Error {
        Error::Damaged { path: self.path.to_path_buf(), offset: offset as u64, number, reason }
    }

    /// Checks the head; where it ends, and the hash that the chain begins with.
    fn read_head(&self, owner: &str) -> Result<(usize, ChainHash), Error> {
        let bytes = self.bytes;
        if bytes.len() < FIXED_HEAD || &bytes[..MAGIC.len()] != MAGIC {
            return Err(self.damaged(0, 0, "no ledger"));
        }
        if bytes[8] > VERSION {
            return Err(Error::UnsupportedVersion { path: self.path.to_path_buf(), found: bytes[8] });
        }
        let hash_at = FIXED_HEAD + usize::from(bytes[9]);
        let crc_at = hash_at + HASH;
        let end = crc_at + CRC;
        if bytes.len() < end || crc32fast::hash(&bytes[..crc_at]).to_be_bytes() != array::<CRC>(bytes, crc_at)
        {
            return Err(self.damaged(8, 0, "the head is not as written"));
        }
        let found = String::from_utf8_lossy(&bytes[FIXED_HEAD..hash_at]).into_owned();
        if found != owner {
            let (path, wanted) = (self.path.to_path_buf(), owner.to_string());
            return Err(Error::OtherOwner { path, found, wanted });
        }
        Ok((end, array(bytes, hash_at)))
    }

    /// Reads the record at a position, and advances the hash of the chain.
    fn read_record(&self, at: usize, number: u64, hash: &mut ChainHash) -> Result<Found<'a>, Error> {
        let rest = &self.bytes[at..];
        if rest.len() < RECORD_HEAD || rest.iter().all(|b| *b == 0) {
            return Ok(Found::Torn);
        }
        let checksum = crc32fast::hash(&rest[..RECORD_HEAD_CHECKED]).to_be_bytes();
        if checksum != array::<CRC>(rest, RECORD_HEAD_CHECKED) {
            return Err(self.damaged(at, number, "the head of the record is not as written"));
        }
        if u64::from_be_bytes(array(rest, 4)) != number {
            return Err(self.damaged(at, number, "records are missing or out of order"));
        }
        let content_len = u32::from_be_bytes(array(rest, 0)) as usize;
        if content_len > MAX_RECORD {
            return Err(self.damaged(at, number, "the record is too long"));
        }
        let hash_at = RECORD_HEAD + content_len;
        let length = hash_at + HASH;
        if rest.len() < length {
            return Ok(Found::Torn);
        }
        let content = &rest[RECORD_HEAD..hash_at];
        *hash = chain(hash, number, content);
        if *hash != array::<HASH>(rest, hash_at) {
            return Err(self.damaged(at, number, "the record is not as written, or the chain is broken"));
        }
        Ok(Found::Record { content, length })
    }
}

/// Reads a file that belongs to `owner`.
pub(crate) fn read(path: &Path, bytes: &[u8], owner: &str) -> Result<Contents, Error> {
    let reader = Reader { path, bytes };
    let (mut at, mut hash) = reader.read_head(owner)?;
    let mut number = 0;
    let mut records = Vec::new();
    let mut torn = None;
    while at < bytes.len() {
        match reader.read_record(at, number + 1, &mut hash)? {
            Found::Record { content, length } => {
                records.push(content.to_vec());
                number += 1;
                at += length;
            }
            Found::Torn => {
                torn = Some(Repair::TornEnd { number: number + 1, bytes: (bytes.len() - at) as u64 });
                break;
            }
        }
    }
    Ok(Contents { records, end: at as u64, number, hash, torn })
}
