//! Random trials: draws faults from a seed, and reduces a failing trial to the faults that make it fail.

use std::collections::BTreeSet;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::file::{DiskState, Fault, FaultKind, Links, OWNER_PLACEHOLDER, Trial};

/// Returns a copy of a trial with faults drawn from a seed. Clears `never_failed` and `seen_failed`, which
/// apply to the faults of the base trial.
pub fn random_trial(base: &Trial, seed: u64) -> Trial {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(1..=4usize);
    let mut trial = base.clone();
    trial.seed = seed;
    trial.name = format!("{}, drawn from {seed}", base.name);
    trial.faults = (0..count).map(|_| random_fault(base, &mut rng)).collect();
    trial.expectations.never_failed.clear();
    trial.expectations.seen_failed.clear();
    trial
}

fn round_to_tenths(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}

fn random_fault(base: &Trial, rng: &mut Pcg64Mcg) -> Fault {
    let trial_duration_s = base.duration_s;
    let start_s = round_to_tenths(rng.random_range(0.0..0.6) * trial_duration_s);
    let drawn_duration_s = round_to_tenths(rng.random_range(0.02..0.4f64) * trial_duration_s).max(0.1);
    let all: Vec<usize> = (0..base.gatekeepers).collect();
    let random_gatekeepers = |rng: &mut Pcg64Mcg, max: usize| {
        let count = rng.random_range(1..=max.max(1));
        let mut drawn: Vec<_> = all.sample(rng, count).copied().collect();
        drawn.sort_unstable();
        drawn
    };
    let half = base.gatekeepers / 2;
    let (targets, from, to) = (
        random_gatekeepers(rng, half),
        random_gatekeepers(rng, half),
        random_gatekeepers(rng, base.gatekeepers),
    );
    let targets =
        if base.voters.is_some() && rng.random_bool(0.3) { vec![OWNER_PLACEHOLDER] } else { targets };
    let both = rng.random_bool(0.4);
    let mut links = BTreeSet::new();
    for (&a, &b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))).filter(|(a, b)| a != b) {
        links.insert((a, b));
        if both {
            links.insert((b, a));
        }
    }
    if links.is_empty() {
        links.insert((from[0], (from[0] + 1) % base.gatekeepers));
    }
    let links = Links(links);
    let all_links =
        Links(all.iter().flat_map(|a| all.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b).collect());
    let probability = round_to_tenths(rng.random_range(0.1..0.5));
    let restart_after_s = Some(round_to_tenths(rng.random_range(0.0..0.3) * trial_duration_s));
    let kind = match rng.random_range(0..12) {
        0 | 1 => FaultKind::Pause { targets },
        2 | 3 => {
            let disk = *[DiskState::Intact, DiskState::Intact, DiskState::Emptied, DiskState::Torn]
                .choose(rng)
                .unwrap_or(&DiskState::Intact);
            FaultKind::Kill { targets, restart_after_s, disk }
        }
        4 => FaultKind::Stop { targets, restart_after_s },
        5 | 6 => FaultKind::Cut { links },
        7 => FaultKind::Lose { links: all_links, probability },
        8 => FaultKind::Duplicate { links: all_links, probability },
        9 => FaultKind::Reorder { links: all_links, probability },
        10 => {
            let delay_ms = rng.random_range(1.0..80.0f64).round();
            FaultKind::Delay { links: all_links, delay_ms, jitter_ms: delay_ms / 2.0 }
        }
        _ if rng.random_bool(0.5) => FaultKind::DiskFull { targets },
        _ => FaultKind::Flap { links, period_s: round_to_tenths(rng.random_range(0.2..3.0)) },
    };
    let duration_s = kind.has_duration().then_some(drawn_duration_s);
    Fault { start_s, duration_s, kind }
}

/// Removes faults from a failing trial, one at a time, as long as the trial still fails. Each
/// fault that is left was needed when its removal was tried.
pub fn minimize_trial<E>(
    trial: &Trial,
    mut fails: impl FnMut(&Trial) -> Result<bool, E>,
) -> Result<Trial, E> {
    let mut minimal = trial.clone();
    let mut n = 0;
    while n < minimal.faults.len() {
        let mut candidate = minimal.clone();
        candidate.faults.remove(n);
        if fails(&candidate)? {
            minimal = candidate;
        } else {
            n += 1;
        }
    }
    Ok(minimal)
}

#[cfg(test)]
mod tests;
