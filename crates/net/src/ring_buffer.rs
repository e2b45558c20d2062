//! The buffer of one direction of a connection. All buffers together are bounded.

use std::io::{self, Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::log_limited;

/// What a buffer starts with, and what it goes back to when it is empty, in bytes.
pub(crate) const INITIAL_LEN: usize = 2048;

/// What all buffers together may take up, and take up, in bytes.
static MAX_TOTAL_BYTES: AtomicUsize = AtomicUsize::new(usize::MAX);
static TOTAL_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Bounds what all buffers together take up, in bytes. A connection that would need more breaks.
pub fn limit_buffer_memory(max_bytes: usize) {
    MAX_TOTAL_BYTES.store(max_bytes, Ordering::Relaxed);
}

/// A ring buffer that grows up to a bound and shrinks again once it is empty.
pub struct RingBuffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    max_len: usize,
}

impl RingBuffer {
    /// An empty buffer that holds up to `max_len` bytes.
    pub fn new(max_len: usize) -> Self {
        RingBuffer { bytes: Vec::new(), head: 0, len: 0, max_len }
    }

    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether it holds as many as it may.
    pub fn is_full(&self) -> bool {
        self.len >= self.max_len
    }

    /// All that it holds, in one piece, as it nearly always is already.
    pub fn bytes(&mut self) -> &mut [u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &mut self.bytes[self.head..self.head + self.len]
    }

    /// Removes the first `n` bytes, or all where there are fewer.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.head += n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > INITIAL_LEN {
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

    fn grow(&mut self, wanted: usize) -> io::Result<()> {
        self.bytes();
        let size = wanted.max(INITIAL_LEN).next_power_of_two().min(self.max_len.max(INITIAL_LEN));
        let more = size - self.bytes.len();
        let total = TOTAL_BYTES.fetch_add(more, Ordering::Relaxed) + more;
        if total > MAX_TOTAL_BYTES.load(Ordering::Relaxed) {
            TOTAL_BYTES.fetch_sub(more, Ordering::Relaxed);
            log_limited!("the buffers of all connections are full");
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.bytes.resize(size, 0);
        Ok(())
    }

    /// The next free piece; empty where there is none.
    fn free(&mut self) -> &mut [u8] {
        let (size, end) = (self.bytes.len(), self.head + self.len);
        if end < size { &mut self.bytes[end..] } else { &mut self.bytes[end - size..self.head] }
    }

    /// Reads once: how many bytes, and whether the free piece was filled up, so that there may be more.
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

    /// Writes until it is empty or the sink takes no more.
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
    /// Takes all of it or fails.
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
