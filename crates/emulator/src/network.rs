//! Simulated datagram network with loss, duplication, reordering, delays and cut links.

use std::collections::{HashMap, HashSet};

use lynxstair::types::Span;
use rand::{Rng, RngExt};

/// Faults of a link, drawn independently for each datagram. Rates are probabilities from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFaults {
    /// Probability that a copy of a datagram is lost.
    pub loss_rate: f64,
    /// Probability that a datagram is sent twice.
    pub duplication_rate: f64,
    /// Probability that a datagram is delayed by up to ten times `delay` more, so that later ones may
    /// overtake it.
    pub reorder_rate: f64,
    /// Shortest delay of a datagram.
    pub delay: Span,
    /// Longest random addition to `delay`.
    pub jitter: Span,
}

impl Default for LinkFaults {
    fn default() -> Self {
        LinkFaults {
            loss_rate: 0.0,
            duplication_rate: 0.0,
            reorder_rate: 0.0,
            delay: Span::from_nanos(300_000),
            jitter: Span::from_nanos(200_000),
        }
    }
}

/// Directed links between members, which are identified by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Faults of all links for which none were set.
    pub default_faults: LinkFaults,
    link_faults: HashMap<(usize, usize), LinkFaults>,
    cut: HashSet<(usize, usize)>,
}

impl Network {
    /// Drops all datagrams in this direction from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Cuts the links in both directions.
    pub fn cut_both(&mut self, one: usize, other: usize) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Ends the cut in this direction.
    pub fn heal(&mut self, from: usize, to: usize) {
        self.cut.remove(&(from, to));
    }

    /// Ends all cuts and removes the faults that were set for single links.
    pub fn heal_all(&mut self) {
        self.cut.clear();
        self.link_faults.clear();
    }

    /// Sets the faults of the link in this direction.
    pub fn set_link_faults(&mut self, from: usize, to: usize, faults: LinkFaults) {
        self.link_faults.insert((from, to), faults);
    }

    /// Draws the delays of the copies of a datagram that arrive: none, one or two.
    pub fn delivery_delays(&self, from: usize, to: usize, rng: &mut impl Rng) -> Vec<Span> {
        if self.cut.contains(&(from, to)) {
            return Vec::new();
        }
        let faults = self.link_faults.get(&(from, to)).unwrap_or(&self.default_faults);
        let mut delays = Vec::with_capacity(1);
        let copies =
            if faults.duplication_rate > 0.0 && rng.random_bool(faults.duplication_rate) { 2 } else { 1 };
        for _ in 0..copies {
            if faults.loss_rate > 0.0 && rng.random_bool(faults.loss_rate) {
                continue;
            }
            let mut delay = faults.delay + faults.jitter.times(rng.random());
            if faults.reorder_rate > 0.0 && rng.random_bool(faults.reorder_rate) {
                delay = delay + faults.delay.times(10.0 * rng.random::<f64>());
            }
            delays.push(delay);
        }
        delays
    }
}
