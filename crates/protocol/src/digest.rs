//! Digests of what lies on disks or goes between machines: BLAKE3, the first 16 bytes, the same in every build.

pub const LENGTH: usize = 16;

/// Handed over piece by piece: what is longer than one of its chunks BLAKE3 takes many lanes at once, on a stack that a
/// coroutine has not.
const PIECE: usize = 1024;

/// Of these parts, one behind the other.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; LENGTH] {
    let mut hasher = blake3::Hasher::new();
    for piece in parts.into_iter().flat_map(|part| part.chunks(PIECE)) {
        hasher.update(piece);
    }
    let digest = hasher.finalize();
    std::array::from_fn(|n| digest.as_bytes()[n])
}
