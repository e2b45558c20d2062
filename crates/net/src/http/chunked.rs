//! Bodies that come in chunks.

use httparse::Status;

use super::{HttpError, MAX_HEAD_BYTES};

/// The longest chunk, in bytes.
const MAX_CHUNK: usize = 1 << 30;
/// The line end behind each chunk.
const LINE_END: &[u8] = b"\r\n";

/// A body that was put together at the front of its bytes.
pub(super) struct Decoded {
    /// Its length.
    pub body: usize,
    /// The length of all that it took up, trailers included.
    pub taken: usize,
}

/// Puts a chunked body together in place, once it is complete.
pub(super) fn decode(bytes: &mut [u8], max_body_bytes: usize) -> Result<Option<Decoded>, HttpError> {
    // First only looked through: it may have to wait for more.
    let Some((chunks, trailers)) = find_last_chunk(bytes, max_body_bytes)? else { return Ok(None) };
    let Some(taken) = end_of_trailers(bytes, trailers) else { return Ok(None) };
    let (mut body, mut at) = (0, 0);
    for _ in 0..chunks {
        let Some((start, size)) = chunk_at(bytes, at)? else { break };
        bytes.copy_within(start..start + size, body);
        body += size;
        at = start + size + LINE_END.len();
    }
    Ok(Some(Decoded { body, taken }))
}

/// How many chunks come before the last one, and where the trailers begin; None where the last one has not come.
fn find_last_chunk(bytes: &[u8], max_body_bytes: usize) -> Result<Option<(usize, usize)>, HttpError> {
    let (mut total, mut at, mut chunks) = (0, 0, 0);
    loop {
        let Some((start, size)) = chunk_at(bytes, at)? else {
            // What is there of it is already more than a body may be, with its framing.
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

/// Where the bytes of the chunk begin whose size stands at `at`, and how many they are; None where the size is not complete.
pub fn chunk_at(bytes: &[u8], at: usize) -> Result<Option<(usize, usize)>, HttpError> {
    match httparse::parse_chunk_size(bytes.get(at..).unwrap_or(&[])) {
        Ok(Status::Complete((n, size))) => match usize::try_from(size) {
            Ok(size) if size <= MAX_CHUNK => Ok(Some((at + n, size))),
            _ => Err(HttpError::new(413, "body too large")),
        },
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(HttpError::new(400, "malformed chunk")),
    }
}

/// Trailers are skipped, up to an empty line.
fn end_of_trailers(bytes: &[u8], start: usize) -> Option<usize> {
    if bytes.get(start..start + LINE_END.len())? == LINE_END {
        return Some(start + LINE_END.len());
    }
    bytes[start..].windows(4).position(|w| w == b"\r\n\r\n").map(|n| start + n + 4)
}
