//! Decodes chunked bodies.

use httparse::Status;

use super::{HttpError, MAX_HEAD_BYTES};

/// Limit on the length of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 1 << 30;
/// Line end after the data of a chunk.
const LINE_END: &[u8] = b"\r\n";

/// A body that was decoded in place.
pub(super) struct Decoded {
    /// Length of the decoded body, in bytes.
    pub body: usize,
    /// Length of the encoded body, including trailers, in bytes.
    pub encoded_len: usize,
}

/// Decodes a chunked body to the front of `bytes`. Returns `None`, and moves nothing, if the body is
/// incomplete.
pub(super) fn decode(bytes: &mut [u8], max_body_bytes: usize) -> Result<Option<Decoded>, HttpError> {
    let Some((chunks, trailers)) = find_last_chunk(bytes, max_body_bytes)? else { return Ok(None) };
    let Some(encoded_len) = end_of_trailers(bytes, trailers) else { return Ok(None) };
    let (mut body, mut at) = (0, 0);
    for _ in 0..chunks {
        let Some((start, size)) = chunk_at(bytes, at)? else { break };
        bytes.copy_within(start..start + size, body);
        body += size;
        at = start + size + LINE_END.len();
    }
    Ok(Some(Decoded { body, encoded_len }))
}

/// Returns the number of chunks before the last one, and the start of the trailers; `None` if the last one is
/// missing.
fn find_last_chunk(bytes: &[u8], max_body_bytes: usize) -> Result<Option<(usize, usize)>, HttpError> {
    let (mut total, mut at, mut chunks) = (0, 0, 0);
    loop {
        let Some((start, size)) = chunk_at(bytes, at)? else {
            // Longer than any allowed body with its framing.
            let is_too_large = bytes.len() > max_body_bytes + MAX_HEAD_BYTES;
            return if is_too_large { Err(HttpError::new(413, "body too large")) } else { Ok(None) };
        };
        total += size;
        if total > max_body_bytes {
            return Err(HttpError::new(413, "body too large"));
        }
        if size == 0 {
            return Ok(Some((chunks, start)));
        }
        let end = start + size;
        let Some(line_end) = bytes.get(end..end + LINE_END.len()) else { return Ok(None) };
        if line_end != LINE_END {
            return Err(HttpError::new(400, "malformed chunk"));
        }
        chunks += 1;
        at = end + LINE_END.len();
    }
}

/// Parses the chunk size at `at`. Returns the start and the length of the chunk's data; `None` if the size is
/// incomplete.
pub fn chunk_at(bytes: &[u8], at: usize) -> Result<Option<(usize, usize)>, HttpError> {
    match httparse::parse_chunk_size(bytes.get(at..).unwrap_or(&[])) {
        Ok(Status::Complete((n, size))) => match usize::try_from(size) {
            Ok(size) if size <= MAX_CHUNK_BYTES => Ok(Some((at + n, size))),
            _ => Err(HttpError::new(413, "body too large")),
        },
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(HttpError::new(400, "malformed chunk")),
    }
}

/// Returns the end of the empty line after the trailers, which are ignored; `None` if it is missing.
fn end_of_trailers(bytes: &[u8], start: usize) -> Option<usize> {
    if bytes.get(start..start + LINE_END.len())? == LINE_END {
        return Some(start + LINE_END.len());
    }
    bytes[start..].windows(4).position(|w| w == b"\r\n\r\n").map(|n| start + n + 4)
}
