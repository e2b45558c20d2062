//! Limit on the memory that connections and requests may take together in this process.
//!
//! Whoever allocates by the will of a peer takes a [`Reservation`] first: buffers, copies of requests, the stacks of
//! the coroutines that serve them. A quarter of the limit is kept for what one short request at a time needs on its
//! connection ([`Need::Basic`]), so that peers that send much or read nothing can't take the memory of the others.

use std::fmt;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::log_limited;

/// Size of a buffer or request, in bytes, up to which it counts as basic.
pub const MAX_BASIC_BYTES: usize = 4 << 10;
/// Memory of a connection without its buffers, in bytes: the stack that its coroutine touches, and its state.
pub const CONNECTION_BYTES: usize = 16 << 10;
/// Memory of a request that is handled in a coroutine of its own, without copies of the request, in bytes.
pub const REQUEST_BYTES: usize = 32 << 10;
/// The part of the limit that only basic needs may take is the limit divided by this.
const BASIC_PART_DIVISOR: usize = 4;

/// Limit on all reservations together, and their current sum, in bytes.
static MAX_TOTAL_BYTES: AtomicUsize = AtomicUsize::new(usize::MAX);
static TOTAL_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Limits all reservations of the process together, in bytes.
pub fn limit_connection_memory(max_bytes: usize) {
    MAX_TOTAL_BYTES.store(max_bytes, Ordering::Relaxed);
}

/// What memory is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// One short request at a time on its connection.
    Basic,
    /// Long or pipelined requests, long responses, and responses that are not read.
    Additional,
}

impl Need {
    /// Returns the need for a buffer or a request of this size, in bytes.
    pub fn for_size(bytes: usize) -> Need {
        if bytes <= MAX_BASIC_BYTES { Need::Basic } else { Need::Additional }
    }

    fn limit(self) -> usize {
        let max_bytes = MAX_TOTAL_BYTES.load(Ordering::Relaxed);
        match self {
            Need::Basic => max_bytes,
            Need::Additional => max_bytes - max_bytes / BASIC_PART_DIVISOR,
        }
    }
}

/// The limit on all reservations is reached. Trying again later helps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

impl fmt::Display for OutOfMemory {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("connections and requests have reached their memory limit")
    }
}

impl std::error::Error for OutOfMemory {}

impl From<OutOfMemory> for io::Error {
    fn from(_: OutOfMemory) -> io::Error {
        io::ErrorKind::OutOfMemory.into()
    }
}

/// Reserved memory, which is given back on drop.
#[derive(Debug, Default)]
pub struct Reservation {
    bytes: usize,
}

impl Reservation {
    /// Reserves memory.
    pub fn new(bytes: usize, need: Need) -> Result<Reservation, OutOfMemory> {
        let mut reservation = Reservation::default();
        reservation.grow(bytes, need)?;
        Ok(reservation)
    }

    /// Reserves more memory, or fails and changes nothing.
    pub fn grow(&mut self, added: usize, need: Need) -> Result<(), OutOfMemory> {
        let total = TOTAL_BYTES.fetch_add(added, Ordering::Relaxed) + added;
        if total > need.limit() {
            TOTAL_BYTES.fetch_sub(added, Ordering::Relaxed);
            log_limited!("{OutOfMemory}");
            return Err(OutOfMemory);
        }
        self.bytes += added;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        TOTAL_BYTES.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
