//! Memory that requests in flight take of the process's memory budget.

use lynxstair_net::memory_budget::{Need, OutOfMemory, REQUEST_BYTES, Reservation};

/// Memory of a request in flight.
pub struct RequestMemory {
    /// Memory of its coroutine, until its response was handed over.
    pub handling: Reservation,
    /// Memory of its copy, until no worker needs it any more.
    pub message: Reservation,
}

impl RequestMemory {
    /// Reserves the memory of a request of this length. `is_only`: no other request of its connection is in flight.
    pub fn reserve(bytes: usize, is_only: bool) -> Result<RequestMemory, OutOfMemory> {
        let (handling, message) =
            if is_only { (Need::Basic, Need::for_size(bytes)) } else { (Need::Additional, Need::Additional) };
        Ok(RequestMemory {
            handling: Reservation::new(REQUEST_BYTES, handling)?,
            message: Reservation::new(bytes, message)?,
        })
    }
}
