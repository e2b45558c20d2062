use std::collections::VecDeque;
use std::io::{self, Read, Write};

use super::{MIN_ALLOCATION_BYTES, RingBuffer};

/// Source of a limited number of consecutive byte values, which then returns `WouldBlock`: next value, bytes
/// left.
struct Source(u8, usize);

impl Read for Source {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let n = into.len().min(self.1);
        if n == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        for byte in &mut into[..n] {
            *byte = self.0;
            self.0 = self.0.wrapping_add(1);
        }
        self.1 -= n;
        Ok(n)
    }
}

/// Sink that accepts a limited number of bytes, and then returns `WouldBlock`: bytes received, bytes left.
struct Sink(Vec<u8>, usize);

impl Write for Sink {
    fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        let n = from.len().min(self.1);
        self.1 -= n;
        self.0.extend(&from[..n]);
        if n == 0 { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(n) }
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Compares random reads, writes and removals with a `VecDeque`.
#[test]
fn ring_buffer_behaves_like_a_queue() {
    for seed in 1..40u64 {
        let (mut ring, mut model) = (RingBuffer::new(3 * MIN_ALLOCATION_BYTES), VecDeque::new());
        let mut rng = lynxstair::rng::Rng::new(seed);
        let mut source = Source(0, 0);
        for _ in 0..400 {
            let n = rng.next_u32() as usize % (MIN_ALLOCATION_BYTES / 2);
            match rng.next_u32() % 4 {
                0 => {
                    source.1 = n;
                    let before = source.0;
                    let Ok((got, filled)) = ring.read_from(&mut source) else {
                        assert!(n == 0 || ring.is_full());
                        continue;
                    };
                    assert!(filled || got == n);
                    model.extend((0..got).map(|i| before.wrapping_add(i as u8)));
                }
                1 => {
                    let piece: Vec<u8> = (0..n).map(|i| (i * 7) as u8).collect();
                    let fits = model.len() + n <= 3 * MIN_ALLOCATION_BYTES;
                    assert_eq!(ring.write(&piece).is_ok(), fits);
                    model.extend(piece.iter().filter(|_| fits));
                }
                2 => {
                    let mut sink = Sink(Vec::new(), n);
                    let done = ring.write_to(&mut sink).is_ok();
                    let wanted: Vec<u8> = model.drain(..n.min(model.len())).collect();
                    assert_eq!((sink.0, done), (wanted, model.is_empty()));
                }
                _ => {
                    ring.consume(n);
                    model.drain(..n.min(model.len()));
                }
            }
            assert_eq!((ring.len(), ring.bytes() == model.make_contiguous()), (model.len(), true));
        }
    }
}
