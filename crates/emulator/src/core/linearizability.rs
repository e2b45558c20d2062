//! Linearizability checker for calls that read or change the configuration. It searches for an order of
//! the calls that a single store could have processed, each at one moment between its sending and its
//! answer, as in the algorithm of Wing and Gong with memoization.
//!
//! The search stays small for three reasons. Calls that match the current state without changing it are
//! placed at once. Calls without an answer are placed only if they change the state. Generations only
//! increase, so an observed version must precede all higher ones.

use std::collections::{BTreeSet, HashSet};

use lynxstair::types::Time;

/// Generation of a configuration and mark of the change that created it. Several changes may choose the same
/// generation.
pub type Version = (u64, u32);

/// Input of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallInput {
    /// Change from generation `base` to generation `number`. Only identical changes have the same `mark`.
    Change {
        /// Generation that the change is based on.
        base: u64,
        /// New generation.
        number: u64,
        /// Mark of the change.
        mark: u32,
    },
    /// Read of the configuration.
    Read,
}

/// Result of a call, as received by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutput {
    /// The change was acknowledged with status 200.
    Taken,
    /// The change was rejected with a 4xx status.
    Refused,
    /// Version returned by a read; `None` if there is no configuration yet.
    Holds(Option<Version>),
    /// No definite answer. A change may take effect later, or never.
    Nothing,
}

/// One attempt of a call, and its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Time at which the call was sent.
    pub sent_at: Time,
    /// Time of the answer; without meaning if there was none.
    pub answered_at: Time,
    /// Input of the call.
    pub input: CallInput,
    /// Result of the call.
    pub output: CallOutput,
}

/// State of the store during the search.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    version: Option<Version>,
    /// Sorted marks of the applied changes.
    applied: Vec<u32>,
}

impl State {
    /// Returns the state after a change, or `None` if the call does not change the state.
    fn apply(&self, input: &CallInput) -> Option<State> {
        let CallInput::Change { base, number, mark } = *input else { return None };
        let current = self.version.map_or(0, |(n, _)| n);
        if self.applied.contains(&mark) || base != current || number <= current {
            return None;
        }
        let mut applied = self.applied.clone();
        applied.push(mark);
        applied.sort_unstable();
        Some(State { version: Some((number, mark)), applied })
    }

    /// Returns `true` if this state explains the result of a call that changes nothing.
    fn matches(&self, call: &Call) -> bool {
        match (call.input, call.output) {
            (CallInput::Read, CallOutput::Holds(version)) => version == self.version,
            (CallInput::Change { mark, .. }, CallOutput::Taken) => self.applied.contains(&mark),
            (CallInput::Change { mark, .. }, CallOutput::Refused) => {
                !self.applied.contains(&mark) && self.apply(&call.input).is_none()
            }
            _ => false,
        }
    }
}

struct Search<'a> {
    calls: &'a [Call],
    /// Versions that were certainly active, as a caller received them in an answer.
    observed: BTreeSet<Version>,
    /// Sets of placed calls, with the state they led to, that were explored already.
    visited: HashSet<(Vec<u64>, State)>,
    /// Largest number of placed calls so far, and the call that could not be placed then.
    best: (usize, Option<usize>),
}

/// Checks that a history is linearizable. Otherwise returns the call that could not be placed when most
/// others were.
pub fn check_linearizability(calls: &[Call]) -> Result<(), Call> {
    let mut calls: Vec<Call> = calls
        .iter()
        .copied()
        .filter(|c| c.input != CallInput::Read || c.output != CallOutput::Nothing)
        .collect();
    calls.sort_by_key(|c| c.sent_at);
    let observed_version = |c: &Call| match (c.input, c.output) {
        (CallInput::Change { number, mark, .. }, CallOutput::Taken) => Some((number, mark)),
        (_, CallOutput::Holds(version)) => version,
        _ => None,
    };
    let observed = calls.iter().filter_map(observed_version).collect();
    let mut search = Search { calls: &calls, observed, visited: HashSet::new(), best: (0, None) };
    let placed_calls = vec![0u64; calls.len().div_ceil(64)];
    if search.search(placed_calls, &State::default(), 0) {
        return Ok(());
    }
    Err(calls[search.best.1.unwrap_or(0)])
}

fn is_placed(placed_calls: &[u64], index: usize) -> bool {
    placed_calls[index / 64] >> (index % 64) & 1 == 1
}

impl Search<'_> {
    /// Tries to place the remaining calls. `placed_calls` is a bit set of call indices.
    fn search(&mut self, mut placed_calls: Vec<u64>, state: &State, mut placed_count: usize) -> bool {
        // Calls that may come next: those sent before the first answer to a call that is not placed yet.
        let enabled = loop {
            let remaining = |n: &usize| !is_placed(&placed_calls, *n);
            let answered = |n: &usize| self.calls[*n].output != CallOutput::Nothing;
            let limit = (0..self.calls.len())
                .filter(remaining)
                .filter(answered)
                .map(|n| self.calls[n].answered_at)
                .min();
            let Some(limit) = limit else { return true };
            let enabled: Vec<usize> = (0..self.calls.len())
                .take_while(|n| self.calls[*n].sent_at <= limit)
                .filter(remaining)
                .collect();
            let matching: Vec<usize> =
                enabled.iter().copied().filter(|n| state.matches(&self.calls[*n])).collect();
            if matching.is_empty() {
                break enabled;
            }
            for n in matching {
                placed_calls[n / 64] |= 1 << (n % 64);
                placed_count += 1;
            }
        };
        if placed_count >= self.best.0 {
            let stuck = enabled.iter().copied().filter(|n| self.calls[*n].output != CallOutput::Nothing);
            self.best = (placed_count, stuck.min_by_key(|n| self.calls[*n].answered_at));
        }
        if !self.visited.insert((placed_calls.clone(), state.clone())) {
            return false;
        }
        let current = state.version.map_or(0, |(n, _)| n);
        // The next observed version must not be skipped.
        let next_observed = self.observed.iter().copied().find(|(_, mark)| !state.applied.contains(mark));
        if next_observed.is_some_and(|(number, _)| number <= current) {
            return false;
        }
        let mut tried_marks = Vec::new();
        for n in enabled {
            let call = &self.calls[n];
            let CallInput::Change { number, mark, .. } = call.input else { continue };
            let skips_observed = next_observed.is_some_and(|c| c != (number, mark) && c.0 <= number);
            if !matches!(call.output, CallOutput::Taken | CallOutput::Nothing)
                || skips_observed
                || tried_marks.contains(&mark)
            {
                continue;
            }
            if let Some(next) = state.apply(&call.input) {
                // The other attempts of this change then find it applied.
                tried_marks.push(mark);
                if self.search(placed_calls.clone(), &next, placed_count) {
                    return true;
                }
            }
        }
        false
    }
}
