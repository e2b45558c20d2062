//! Frames between the system's own processes: a length of four bytes, big-endian, then CBOR.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest body of a frame, in bytes. A longer one is not from a process of this system.
pub const MAX_FRAME_LEN: usize = 16 << 20;

const LENGTH_PREFIX: usize = 4;

/// Bytes that are no frame of this protocol. The connection that brought them can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix exceeds `MAX_FRAME_LEN`.
    TooLong,
    /// The body is no message of the expected type.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::TooLong => write!(f, "frame longer than {MAX_FRAME_LEN} bytes"),
            FrameError::Malformed => f.write_str("frame is no message of this protocol"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends the frame of a message to the buffer.
pub fn encode<T: Serialize>(message: &T, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_PREFIX]);
    ciborium::into_writer(message, &mut *out).expect("messages encode, and memory takes them");
    let length = (out.len() - start - LENGTH_PREFIX) as u32;
    out[start..start + LENGTH_PREFIX].copy_from_slice(&length.to_be_bytes());
}

/// The first message of the buffer with the length of its frame, or None until the frame is complete.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<(T, usize)>, FrameError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_LEN {
        return Err(FrameError::TooLong);
    }
    let Some(body) = bytes.get(LENGTH_PREFIX..LENGTH_PREFIX + length) else { return Ok(None) };
    match ciborium::from_reader(body) {
        Ok(message) => Ok(Some((message, LENGTH_PREFIX + length))),
        Err(_) => Err(FrameError::Malformed),
    }
}
