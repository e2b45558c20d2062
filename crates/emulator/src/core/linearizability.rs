//! Whether the configuration's callers could tell it from one store that takes each call at one moment between its sending and
//! its answer: the search of Wing and Gong, exact, with what was tried remembered.
//!
//! What keeps it small: a call that changes nothing and fits what stands is best placed at once, so only changes are
//! tried in several orders; a call without an answer matters only where it changes something; and numbers only rise, so
//! whatever is known to have been in force has to come before all that stands above it.

use std::collections::{BTreeSet, HashSet};

use lynxstair::types::Time;

/// A version as callers see it: its number, and which change made it (numbers are used twice).
pub type Version = (u64, u32);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallInput {
    /// A configuration of this number on top of `base`; `mark` tells the bytes of one from those of another.
    Change {
        base: u64,
        number: u64,
        mark: u32,
    },
    Read,
}

/// What it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutput {
    /// 200 to a change.
    Taken,
    /// 4xx to a change.
    Refused,
    /// What a read brought; None for nothing yet.
    Holds(Option<Version>),
    /// No clear answer, or none at all: it may still come into force, or never.
    Nothing,
}

/// One sending of a call, and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    pub sent_at: Time,
    /// Meaningless where it was told nothing.
    pub answered_at: Time,
    pub input: CallInput,
    pub output: CallOutput,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Held {
    version: Option<Version>,
    taken: Vec<u32>,
}

impl Held {
    fn takes(&self, input: &CallInput) -> Option<Held> {
        let CallInput::Change { base, number, mark } = *input else { return None };
        let current = self.version.map_or(0, |(n, _)| n);
        if self.taken.contains(&mark) || base != current || number <= current {
            return None;
        }
        let mut taken = self.taken.clone();
        taken.push(mark);
        taken.sort_unstable();
        Some(Held { version: Some((number, mark)), taken })
    }

    /// Whether a call that changes nothing may be answered so.
    fn fits(&self, call: &Call) -> bool {
        match (call.input, call.output) {
            (CallInput::Read, CallOutput::Holds(version)) => version == self.version,
            (CallInput::Change { mark, .. }, CallOutput::Taken) => self.taken.contains(&mark),
            (CallInput::Change { mark, .. }, CallOutput::Refused) => {
                !self.taken.contains(&mark) && self.takes(&call.input).is_none()
            }
            _ => false,
        }
    }
}

struct Search<'a> {
    calls: &'a [Call],
    /// Versions that were in force for certain, as somebody was told so.
    certain: BTreeSet<Version>,
    tried: HashSet<(Vec<u64>, Held)>,
    /// The most calls that were ever in place at once, and the first that would not fit then.
    best: (usize, Option<usize>),
}

/// Ok, or the first call that fits nowhere once as many as can be are in place.
pub fn check_linearizability(calls: &[Call]) -> Result<(), Call> {
    let mut calls: Vec<Call> = calls
        .iter()
        .copied()
        .filter(|c| c.input != CallInput::Read || c.output != CallOutput::Nothing)
        .collect();
    calls.sort_by_key(|c| c.sent_at);
    let told = |c: &Call| match (c.input, c.output) {
        (CallInput::Change { number, mark, .. }, CallOutput::Taken) => Some((number, mark)),
        (_, CallOutput::Holds(version)) => version,
        _ => None,
    };
    let certain = calls.iter().filter_map(told).collect();
    let mut search = Search { calls: &calls, certain, tried: HashSet::new(), best: (0, None) };
    let done = vec![0u64; calls.len().div_ceil(64)];
    if search.goes(done, &Held::default(), 0) {
        return Ok(());
    }
    Err(calls[search.best.1.unwrap_or(0)])
}

fn has(done: &[u64], n: usize) -> bool {
    done[n / 64] >> (n % 64) & 1 == 1
}

impl Search<'_> {
    fn goes(&mut self, mut done: Vec<u64>, held: &Held, mut placed: usize) -> bool {
        // Calls that may come next: none that is still out was answered before they were sent.
        let enabled = loop {
            let out = |n: &usize| !has(&done, *n);
            let answered = |n: &usize| self.calls[*n].output != CallOutput::Nothing;
            let limit =
                (0..self.calls.len()).filter(out).filter(answered).map(|n| self.calls[n].answered_at).min();
            let Some(limit) = limit else { return true };
            let enabled: Vec<usize> =
                (0..self.calls.len()).take_while(|n| self.calls[*n].sent_at <= limit).filter(out).collect();
            let fitting: Vec<usize> =
                enabled.iter().copied().filter(|n| held.fits(&self.calls[*n])).collect();
            if fitting.is_empty() {
                break enabled;
            }
            for n in fitting {
                done[n / 64] |= 1 << (n % 64);
                placed += 1;
            }
        };
        if placed >= self.best.0 {
            let stuck = enabled.iter().copied().filter(|n| self.calls[*n].output != CallOutput::Nothing);
            self.best = (placed, stuck.min_by_key(|n| self.calls[*n].answered_at));
        }
        if !self.tried.insert((done.clone(), held.clone())) {
            return false;
        }
        let current = held.version.map_or(0, |(n, _)| n);
        // What has to come next, and may not be passed over.
        let next_certain = self.certain.iter().copied().find(|(_, mark)| !held.taken.contains(mark));
        if next_certain.is_some_and(|(number, _)| number <= current) {
            return false;
        }
        let mut seen = Vec::new();
        for n in enabled {
            let call = &self.calls[n];
            let CallInput::Change { number, mark, .. } = call.input else { continue };
            let is_passed_over = next_certain.is_some_and(|c| c != (number, mark) && c.0 <= number);
            if !matches!(call.output, CallOutput::Taken | CallOutput::Nothing)
                || is_passed_over
                || seen.contains(&mark)
            {
                continue;
            }
            if let Some(next) = held.takes(&call.input) {
                // Whichever of its sendings came into force, the others find it there.
                seen.push(mark);
                if self.goes(done.clone(), &next, placed) {
                    return true;
                }
            }
        }
        false
    }
}
