//! A network: what becomes of a datagram from one to another.

use std::collections::{HashMap, HashSet};

use lynxstair::types::Span;
use rand::{Rng, RngExt};

/// The faults of a link, each drawn for itself at each datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Faults {
    /// Shares of datagrams, 0 to 1.
    pub lost: f64,
    pub doubled: f64,
    /// These come later by up to ten times the delay, past those sent after them.
    pub reordered: f64,
    pub delay: Span,
    pub jitter: Span,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            lost: 0.0,
            doubled: 0.0,
            reordered: 0.0,
            delay: Span::from_nanos(300_000),
            jitter: Span::from_nanos(200_000),
        }
    }
}

/// Links between members by number. A link is one direction.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Of all links that have none of their own.
    pub all: Faults,
    own: HashMap<(usize, usize), Faults>,
    cut: HashSet<(usize, usize)>,
}

impl Network {
    /// Nothing goes that way any more.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn cut_both(&mut self, one: usize, other: usize) {
        self.cut(one, other);
        self.cut(other, one);
    }

    pub fn mend(&mut self, from: usize, to: usize) {
        self.cut.remove(&(from, to));
    }

    pub fn mend_all(&mut self) {
        self.cut.clear();
        self.own.clear();
    }

    pub fn set(&mut self, from: usize, to: usize, faults: Faults) {
        self.own.insert((from, to), faults);
    }

    /// After how long a datagram arrives: not at all, once, or twice.
    pub fn carry(&self, from: usize, to: usize, chance: &mut impl Rng) -> Vec<Span> {
        if self.cut.contains(&(from, to)) {
            return Vec::new();
        }
        let faults = self.own.get(&(from, to)).unwrap_or(&self.all);
        let mut arrives = Vec::with_capacity(1);
        let copies = if faults.doubled > 0.0 && chance.random_bool(faults.doubled) { 2 } else { 1 };
        for _ in 0..copies {
            if faults.lost > 0.0 && chance.random_bool(faults.lost) {
                continue;
            }
            let mut after = faults.delay + faults.jitter.times(chance.random());
            if faults.reordered > 0.0 && chance.random_bool(faults.reordered) {
                after = after + faults.delay.times(10.0 * chance.random::<f64>());
            }
            arrives.push(after);
        }
        arrives
    }
}
