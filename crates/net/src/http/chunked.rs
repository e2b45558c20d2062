//! Chunked bodies (RFC 9112, section 7.1).

use std::ops::Range;

use httparse::{EMPTY_HEADER, Status};

use super::headers::MAX_HEADERS;
use super::{HttpError, MAX_HEAD_BYTES};

/// Limit on the length of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 1 << 30;
/// Maximum number of digits of a chunk size, so that it fits into 64 bits.
const MAX_SIZE_DIGITS: usize = 16;
/// Line end. A line feed alone is not accepted: peers that skip it would find another end of the body.
const LINE_END: &[u8] = b"\r\n";

const MALFORMED_CHUNK: HttpError = HttpError::new(400, "malformed chunk");
const BODY_TOO_LARGE: HttpError = HttpError::new(413, "body too large");

/// A body that was decoded in place.
pub(super) struct Decoded {
    /// Length of the decoded body, in bytes.
    pub body: usize,
    /// Length of the encoded body, including trailers, in bytes.
    pub encoded_len: usize,
}

/// A complete chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Position of the data. Empty for the last chunk.
    pub data: Range<usize>,
    /// Position after the chunk; after the last one, the start of the trailers.
    pub end: usize,
}

impl Chunk {
    /// Returns `true` for the last chunk of a body, which has no data.
    pub fn is_last(&self) -> bool {
        self.data.is_empty()
    }
}

/// Start of a chunk whose data may be incomplete.
struct ChunkHead {
    size: usize,
    data_start: usize,
}

impl ChunkHead {
    /// Returns the chunk; `None` if it is incomplete.
    fn chunk(&self, bytes: &[u8]) -> Result<Option<Chunk>, HttpError> {
        let data = self.data_start..self.data_start + self.size;
        let end = if self.size == 0 { Some(data.end) } else { line_end_at(bytes, data.end)? };
        Ok(end.map(|end| Chunk { data, end }))
    }
}

/// Decodes a chunked body to the front of `bytes`. Returns `None`, and moves nothing, if the body is
/// incomplete.
pub(super) fn decode(bytes: &mut [u8], max_body_bytes: usize) -> Result<Option<Decoded>, HttpError> {
    let Some(trailers) = find_trailers(bytes, max_body_bytes)? else { return Ok(None) };
    let Some(encoded_len) = end_of_trailers(bytes, trailers)? else { return Ok(None) };
    let (mut body, mut at) = (0, 0);
    while let Some(chunk) = chunk_at(bytes, at)?.filter(|chunk| !chunk.is_last()) {
        let size = chunk.data.len();
        bytes.copy_within(chunk.data, body);
        body += size;
        at = chunk.end;
    }
    Ok(Some(Decoded { body, encoded_len }))
}

/// Returns the start of the trailers; `None` if the last chunk is missing.
fn find_trailers(bytes: &[u8], max_body_bytes: usize) -> Result<Option<usize>, HttpError> {
    // Longer than any allowed body with its framing.
    let is_too_large = bytes.len() > max_body_bytes + MAX_HEAD_BYTES;
    let incomplete = if is_too_large { Err(BODY_TOO_LARGE) } else { Ok(None) };
    let (mut total, mut at) = (0, 0);
    loop {
        let Some(head) = chunk_head_at(bytes, at)? else { return incomplete };
        total += head.size;
        if total > max_body_bytes {
            return Err(BODY_TOO_LARGE);
        }
        let Some(chunk) = head.chunk(bytes)? else { return Ok(None) };
        if chunk.is_last() {
            return Ok(Some(chunk.end));
        }
        at = chunk.end;
    }
}

/// Parses the chunk at `at`. Returns `None` if it is incomplete, and fails as soon as it is known to be malformed.
pub fn chunk_at(bytes: &[u8], at: usize) -> Result<Option<Chunk>, HttpError> {
    match chunk_head_at(bytes, at)? {
        Some(head) => head.chunk(bytes),
        None => Ok(None),
    }
}

/// Parses the line of a chunk's size and extensions, which are ignored. Returns `None` if it is incomplete.
fn chunk_head_at(bytes: &[u8], at: usize) -> Result<Option<ChunkHead>, HttpError> {
    let line = bytes.get(at..).unwrap_or(&[]);
    let digit_count = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    if digit_count > MAX_SIZE_DIGITS {
        return Err(BODY_TOO_LARGE);
    }
    let (digits, rest) = line.split_at(digit_count);
    let extension_len = rest.iter().position(|byte| *byte == b'\r').unwrap_or(rest.len());
    let has_line_end = extension_len < rest.len();
    if digits.is_empty() && !rest.is_empty() || !is_extension(&rest[..extension_len], has_line_end) {
        return Err(MALFORMED_CHUNK);
    }
    let Some(data_start) = line_end_at(bytes, at + digit_count + extension_len)? else { return Ok(None) };
    let size = std::str::from_utf8(digits).ok().and_then(|digits| usize::from_str_radix(digits, 16).ok());
    match size {
        Some(size) if size <= MAX_CHUNK_BYTES => Ok(Some(ChunkHead { size, data_start })),
        _ => Err(BODY_TOO_LARGE),
    }
}

/// Returns `true` if `text` is empty or begins with a semicolon, after optional white space, and has no control bytes. If it
/// is not complete, the semicolon may be missing.
fn is_extension(text: &[u8], is_complete: bool) -> bool {
    let has_control_byte = text.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t');
    let starts_correctly = match text.trim_ascii_start().first() {
        Some(first) => *first == b';',
        None => text.is_empty() || !is_complete,
    };
    starts_correctly && !has_control_byte
}

/// Returns the position after the line end at `at`; `None` if it is incomplete.
fn line_end_at(bytes: &[u8], at: usize) -> Result<Option<usize>, HttpError> {
    let found = bytes.get(at..).unwrap_or(&[]);
    let found = &found[..found.len().min(LINE_END.len())];
    match found {
        LINE_END => Ok(Some(at + LINE_END.len())),
        _ if LINE_END.starts_with(found) => Ok(None),
        _ => Err(MALFORMED_CHUNK),
    }
}

/// Returns the end of the empty line after the trailers, which are checked and ignored; `None` if it is missing.
fn end_of_trailers(bytes: &[u8], start: usize) -> Result<Option<usize>, HttpError> {
    let rest = &bytes[start..];
    let mut trailers = [EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(rest, &mut trailers) {
        Ok(Status::Complete((length, _))) if has_only_full_line_ends(&rest[..length]) => {
            Ok(Some(start + length))
        }
        Ok(Status::Partial) if rest.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(HttpError::new(400, "malformed trailers")),
    }
}

/// Returns `true` if each line feed follows a carriage return.
fn has_only_full_line_ends(lines: &[u8]) -> bool {
    let line_feeds = lines.iter().filter(|byte| **byte == b'\n').count();
    let full_line_ends = lines.windows(LINE_END.len()).filter(|bytes| *bytes == LINE_END).count();
    line_feeds == full_line_ends
}
