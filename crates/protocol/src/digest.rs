//! Digests of stored data and of messages: the first 16 bytes of a BLAKE3 hash.

/// Length of a digest, in bytes.
pub const LENGTH: usize = 16;

/// Length of a BLAKE3 chunk, in bytes. Longer inputs to one `update` are hashed in several lanes at once,
/// which needs more stack than a coroutine has.
const CHUNK_LEN: usize = 1024;

/// Returns the digest of the concatenated parts.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; LENGTH] {
    let mut hasher = blake3::Hasher::new();
    for piece in parts.into_iter().flat_map(|part| part.chunks(CHUNK_LEN)) {
        hasher.update(piece);
    }
    let digest = hasher.finalize();
    std::array::from_fn(|n| digest.as_bytes()[n])
}
