//! A multiply-with-carry generator, started from the seed that the instance is handed.

pub struct Rng {
    word: u64,
    carry: u64,
}

impl Rng {
    const FACTOR: u64 = 4_294_957_665;

    pub fn new(seed: u64) -> Self {
        // A zero pair would stay zero for ever; the constants only keep it away from there.
        let mut rng = Rng { word: (seed & 0xffff_ffff) ^ 0x9e37_79b9, carry: (seed >> 32) | 1 };
        for _ in 0..8 {
            rng.draw();
        }
        rng
    }

    pub fn draw(&mut self) -> u32 {
        let sum = Self::FACTOR * self.word + self.carry;
        self.word = sum & 0xffff_ffff;
        self.carry = sum >> 32;
        self.word as u32
    }

    /// A number from 0 to under 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.draw()) / 4_294_967_296.0
    }
}
