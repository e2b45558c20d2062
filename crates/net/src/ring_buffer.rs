//! Ring buffer for one direction of a connection, with a limit on its length. All buffers together are limited by the
//! [`memory_budget`](crate::memory_budget).

use std::io::{self, Read, Write};

use crate::memory_budget::{Need, Reservation};

/// Smallest allocation of a buffer, in bytes. A larger one is freed when the buffer becomes empty.
pub(crate) const MIN_ALLOCATION_BYTES: usize = 2048;

/// Ring buffer that grows up to a limit and frees a large allocation when it becomes empty.
pub struct RingBuffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    max_len: usize,
    /// Memory of `bytes`; `None` if it is exempt from the memory budget.
    reservation: Option<Reservation>,
}

impl RingBuffer {
    /// Creates an empty buffer that holds up to `max_len` bytes.
    pub fn new(max_len: usize) -> Self {
        let reservation = Some(Reservation::default());
        RingBuffer { bytes: Vec::new(), head: 0, len: 0, max_len, reservation }
    }

    /// Creates a buffer that is exempt from the memory budget, for the system's own connections.
    pub fn exempt(max_len: usize) -> Self {
        RingBuffer { reservation: None, ..RingBuffer::new(max_len) }
    }

    /// Changes the maximum length. A buffer that is longer keeps its bytes.
    pub fn set_max_len(&mut self, max_len: usize) {
        self.max_len = max_len;
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns `true` if no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns `true` if the limit is reached.
    pub fn is_full(&self) -> bool {
        self.len >= self.max_len
    }

    /// Returns the buffered bytes as one slice, after moving them if they wrap around.
    pub fn bytes(&mut self) -> &mut [u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &mut self.bytes[self.head..self.head + self.len]
    }

    /// Removes the first `n` bytes, or all if there are fewer.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head += n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > MIN_ALLOCATION_BYTES {
                self.release();
            }
        } else if self.head >= self.bytes.len() {
            self.head -= self.bytes.len();
        }
    }

    fn release(&mut self) {
        self.bytes = Vec::new();
        if let Some(reservation) = &mut self.reservation {
            *reservation = Reservation::default();
        }
    }

    fn grow(&mut self, min_size: usize) -> io::Result<()> {
        self.bytes();
        let size = min_size
            .max(MIN_ALLOCATION_BYTES)
            .next_power_of_two()
            .min(self.max_len.max(MIN_ALLOCATION_BYTES));
        if let Some(reservation) = &mut self.reservation {
            reservation.grow(size - self.bytes.len(), Need::for_size(size))?;
        }
        self.bytes.resize(size, 0);
        Ok(())
    }

    /// Returns the contiguous free part behind the buffered bytes; empty if there is none.
    fn free(&mut self) -> &mut [u8] {
        let (size, end) = (self.bytes.len(), self.head + self.len);
        if end < size { &mut self.bytes[end..] } else { &mut self.bytes[end - size..self.head] }
    }

    /// Reads once. Returns the number of bytes read, and `true` if the free part was filled, so that more may
    /// be available. Fails with `OutOfMemory` if the memory budget has no room.
    pub(crate) fn read_from(&mut self, source: &mut impl Read) -> io::Result<(usize, bool)> {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1)?;
        }
        let free = self.free();
        let room = free.len();
        let n = source.read(free)?;
        self.len += n;
        Ok((n, n == room))
    }

    /// Writes the buffered bytes to `sink` until the buffer is empty. Fails with the sink's error, such as
    /// `WouldBlock`.
    pub(crate) fn write_to(&mut self, sink: &mut impl Write) -> io::Result<()> {
        while !self.is_empty() {
            match sink.write(self.bytes()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.consume(n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

impl Write for RingBuffer {
    /// Buffers all of `from`, or fails and buffers nothing.
    fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        if self.len + from.len() > self.max_len {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        if self.len + from.len() > self.bytes.len() {
            self.grow(self.len + from.len())?;
        }
        let mut rest = from;
        while !rest.is_empty() {
            let free = self.free();
            let n = free.len().min(rest.len());
            free[..n].copy_from_slice(&rest[..n]);
            self.len += n;
            rest = &rest[n..];
        }
        Ok(from.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
