//! Pseudo-random numbers from a multiply-with-carry generator.

/// A deterministic generator. The same seed gives the same sequence in every build.
#[derive(Clone, Debug)]
pub struct Rng {
    word: u64,
    carry: u64,
}

impl Rng {
    const FACTOR: u64 = 4_294_957_665;
    /// Numbers discarded at the start, so that similar seeds do not give similar first numbers.
    const DISCARDED: usize = 8;

    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        // `| 1` avoids the state of all zeros, which the generator never leaves.
        let mut rng = Rng { word: (seed & 0xffff_ffff) ^ 0x9e37_79b9, carry: (seed >> 32) | 1 };
        for _ in 0..Self::DISCARDED {
            rng.next_u32();
        }
        rng
    }

    /// Returns the next 32-bit number.
    pub fn next_u32(&mut self) -> u32 {
        let sum = Self::FACTOR * self.word + self.carry;
        self.word = sum & 0xffff_ffff;
        self.carry = sum >> 32;
        self.word as u32
    }

    /// Returns the next number in the range from 0 to below 1.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }
}
