//! Frames between the system's own processes: a length of four bytes, then CBOR.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A longer frame is refused: it is no word of ours.
pub const MOST_FRAME: usize = 16 << 20;

/// Puts a word behind what is in the buffer.
pub fn put<T: Serialize>(word: &T, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    ciborium::into_writer(word, &mut *out).expect("a word of ours is written to memory");
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// The first word of the buffer, once it is whole, and how long it is with its length. `Err`: no word of ours.
pub fn take<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<(T, usize)>, &'static str> {
    let Some(length) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MOST_FRAME {
        return Err("a frame too long");
    }
    let Some(word) = bytes.get(4..4 + length) else { return Ok(None) };
    match ciborium::from_reader(word) {
        Ok(word) => Ok(Some((word, 4 + length))),
        Err(_) => Err("a frame that is no word"),
    }
}
