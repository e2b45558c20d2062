//! Frames between the system's own processes: a four-byte big-endian length, followed by a CBOR body.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a frame body, in bytes. `decode` rejects longer frames.
pub const MAX_FRAME_LEN: usize = 16 << 20;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Error of `decode`. The connection must be closed, as the bytes that follow may not start a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix exceeds `MAX_FRAME_LEN`.
    TooLong,
    /// The body does not decode as a message of the expected type.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FrameError::TooLong => write!(f, "frame longer than {MAX_FRAME_LEN} bytes"),
            FrameError::Malformed => f.write_str("frame body is not a valid message of this protocol"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends a message to the buffer as a frame.
pub fn encode<T: Serialize>(message: &T, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_PREFIX_BYTES]);
    ciborium::into_writer(message, &mut *out)
        .expect("message types encode to CBOR, and writing to a Vec does not fail");
    let length = (out.len() - start - LENGTH_PREFIX_BYTES) as u32;
    out[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Decodes the first frame of the buffer. Returns the message and the length of its frame in bytes, or
/// `None` if the frame is incomplete.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<(T, usize)>, FrameError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_LEN {
        return Err(FrameError::TooLong);
    }
    let Some(body) = bytes.get(LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length) else { return Ok(None) };
    match ciborium::from_reader(body) {
        Ok(message) => Ok(Some((message, LENGTH_PREFIX_BYTES + length))),
        Err(_) => Err(FrameError::Malformed),
    }
}
