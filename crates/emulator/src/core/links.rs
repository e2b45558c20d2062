//! Lines between machines, as TCP gives them: nothing is lost, doubled or reordered within one; what a cut holds up
//! comes in order once it is mended, or is lost with the line. A cut is one-way. A line opens only where both ways
//! are free.

use std::collections::{BTreeMap, HashSet};

use lynxstair::types::{Span, Time};

/// A line by who opened it, and to whom.
pub(crate) type Ends = (usize, usize);

#[derive(Debug)]
struct Line<W> {
    /// Which line between these two it is.
    instance: u64,
    is_open: bool,
    /// When the last word of each direction arrives: from the opener, to it.
    last: [Time; 2],
    held: [Vec<W>; 2],
}

#[derive(Debug)]
pub(crate) struct Lines<W> {
    all: BTreeMap<Ends, Line<W>>,
    cut: HashSet<Ends>,
}

impl<W> Default for Lines<W> {
    fn default() -> Self {
        Lines { all: BTreeMap::new(), cut: HashSet::new() }
    }
}

impl<W> Lines<W> {
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    pub fn joined(&self, a: usize, b: usize) -> bool {
        !self.is_cut(a, b) && !self.is_cut(b, a)
    }

    pub fn is_open(&self, ends: Ends) -> bool {
        self.all.get(&ends).is_some_and(|l| l.is_open)
    }

    pub fn instance(&self, ends: Ends) -> u64 {
        self.all.get(&ends).map_or(0, |l| l.instance)
    }

    /// Whether the line is open from now on, and was not before.
    pub fn open(&mut self, ends: Ends) -> bool {
        if self.is_open(ends) || !self.joined(ends.0, ends.1) {
            return false;
        }
        let instance = self.instance(ends) + 1;
        let held = [Vec::new(), Vec::new()];
        self.all.insert(ends, Line { instance, is_open: true, last: [Time::default(); 2], held });
        true
    }

    pub fn close(&mut self, ends: Ends) {
        if let Some(line) = self.all.get_mut(&ends) {
            line.is_open = false;
            line.held = [Vec::new(), Vec::new()];
        }
    }

    /// All lines of a machine.
    pub fn close_all(&mut self, machine: usize) {
        let of: Vec<Ends> =
            self.all.keys().filter(|(a, b)| *a == machine || *b == machine).copied().collect();
        of.into_iter().for_each(|ends| self.close(ends));
    }

    /// When a word that is sent now arrives; None: it is held, or lost.
    pub fn send(&mut self, now: Time, from: usize, ends: Ends, word: W, delay: Span) -> Option<(Time, W)> {
        let is_cut = self.is_cut(from, if from == ends.0 { ends.1 } else { ends.0 });
        let line = self.all.get_mut(&ends).filter(|l| l.is_open)?;
        let way = usize::from(from != ends.0);
        if is_cut || !line.held[way].is_empty() {
            line.held[way].push(word);
            return None;
        }
        let at = (now + delay).max(line.last[way] + Span::from_nanos(1));
        line.last[way] = at;
        Some((at, word))
    }

    /// All cuts are mended. What was held goes on; by which line, from whom and when.
    pub fn mend(&mut self, now: Time, mut late: impl FnMut() -> Option<Span>) -> Vec<(Time, usize, Ends, W)> {
        self.cut.clear();
        let mut out = Vec::new();
        let mut lost = Vec::new();
        for (ends, line) in &mut self.all {
            if line.held.iter().all(Vec::is_empty) {
                continue;
            }
            let Some(late) = late() else {
                lost.push(*ends);
                continue;
            };
            for way in 0..2 {
                let from = if way == 0 { ends.0 } else { ends.1 };
                let mut at = (now + late).max(line.last[way]);
                for word in std::mem::take(&mut line.held[way]) {
                    at = at + Span::from_nanos(1);
                    out.push((at, from, *ends, word));
                }
                line.last[way] = at;
            }
        }
        lost.into_iter().for_each(|ends| self.close(ends));
        out
    }
}
