//! Ring buffer for one direction of a connection. Each buffer and the total size of all buffers are bounded.

use std::io::{self, Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::log_limited;

/// Smallest allocation of a buffer, in bytes. A larger one is freed when the buffer becomes empty.
pub(crate) const MIN_ALLOCATION_BYTES: usize = 2048;

/// Limit on the allocations of all buffers together, and their current sum, in bytes.
static MAX_TOTAL_BYTES: AtomicUsize = AtomicUsize::new(usize::MAX);
static TOTAL_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Limits the allocations of all buffers together, in bytes. Reads and writes that need more fail with
/// `OutOfMemory`.
pub fn limit_buffer_memory(max_bytes: usize) {
    MAX_TOTAL_BYTES.store(max_bytes, Ordering::Relaxed);
}

/// Ring buffer that grows up to a limit and frees a large allocation when it becomes empty.
pub struct RingBuffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    max_len: usize,
}

impl RingBuffer {
    /// Creates an empty buffer that holds up to `max_len` bytes.
    pub fn new(max_len: usize) -> Self {
        RingBuffer { bytes: Vec::new(), head: 0, len: 0, max_len }
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
        TOTAL_BYTES.fetch_sub(self.bytes.len(), Ordering::Relaxed);
        self.bytes = Vec::new();
    }

    fn grow(&mut self, min_size: usize) -> io::Result<()> {
        self.bytes();
        let size = min_size
            .max(MIN_ALLOCATION_BYTES)
            .next_power_of_two()
            .min(self.max_len.max(MIN_ALLOCATION_BYTES));
        let added = size - self.bytes.len();
        let total = TOTAL_BYTES.fetch_add(added, Ordering::Relaxed) + added;
        if total > MAX_TOTAL_BYTES.load(Ordering::Relaxed) {
            TOTAL_BYTES.fetch_sub(added, Ordering::Relaxed);
            log_limited!("the buffers of all connections have reached their memory limit");
            return Err(io::ErrorKind::OutOfMemory.into());
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
    /// be available.
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

impl Drop for RingBuffer {
    fn drop(&mut self) {
        self.release();
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
