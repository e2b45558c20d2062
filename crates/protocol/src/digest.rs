//! Digests of stored data and of messages: the first 16 bytes of BLAKE3, the same in every build.

/// Bytes of a digest.
pub const LENGTH: usize = 16;

/// Input is fed in pieces of one BLAKE3 chunk: a longer piece is hashed in many lanes at once, which needs more stack than
/// a coroutine has.
const PIECE: usize = 1024;

/// The digest of the concatenated parts.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; LENGTH] {
    let mut hasher = blake3::Hasher::new();
    for piece in parts.into_iter().flat_map(|part| part.chunks(PIECE)) {
        hasher.update(piece);
    }
    let digest = hasher.finalize();
    std::array::from_fn(|n| digest.as_bytes()[n])
}
