//! Random trials: faults of all kinds drawn from a seed, and a failing one minimize_trial to the faults it needs.

use std::collections::BTreeSet;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::file::{Disk, Fault, Kind, Links, OWNER, Trial};

/// A trial like this one with faults drawn from a seed. What must hold of single members is dropped: it was
/// meant for the faults of the base.
pub fn random_trial(base: &Trial, seed: u64) -> Trial {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let many = chance.random_range(1..=4usize);
    let mut trial = base.clone();
    trial.seed = seed;
    trial.name = format!("{}, drawn from {seed}", base.name);
    trial.faults = (0..many).map(|_| fault(base, &mut chance)).collect();
    trial.must.never_failed.clear();
    trial.must.seen_failed.clear();
    trial
}

/// A tenth is fine enough, and reads well.
fn tenths(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}

fn fault(base: &Trial, chance: &mut Pcg64Mcg) -> Fault {
    let seconds = base.seconds;
    let at = tenths(chance.random_range(0.0..0.6) * seconds);
    let length = tenths(chance.random_range(0.02..0.4f64) * seconds).max(0.1);
    let all: Vec<usize> = (0..base.gatekeepers).collect();
    let some = |chance: &mut Pcg64Mcg, most: usize| {
        let many = chance.random_range(1..=most.max(1));
        let mut some: Vec<_> = all.sample(chance, many).copied().collect();
        some.sort_unstable();
        some
    };
    let half = base.gatekeepers / 2;
    let (who, from, to) = (some(chance, half), some(chance, half), some(chance, base.gatekeepers));
    let who = if base.voters.is_some() && chance.random_bool(0.3) { vec![OWNER] } else { who };
    let both = chance.random_bool(0.4);
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
    let every =
        Links(all.iter().flat_map(|a| all.iter().map(|b| (*a, *b))).filter(|(a, b)| a != b).collect());
    let share = tenths(chance.random_range(0.1..0.5));
    let restart_after = Some(tenths(chance.random_range(0.0..0.3) * seconds));
    let kind = match chance.random_range(0..12) {
        0 | 1 => Kind::Pause { who },
        2 | 3 => {
            let disk =
                *[Disk::Kept, Disk::Kept, Disk::Emptied, Disk::Torn].choose(chance).unwrap_or(&Disk::Kept);
            Kind::Kill { who, restart_after, disk }
        }
        4 => Kind::Stop { who, restart_after },
        5 | 6 => Kind::Cut { links },
        7 => Kind::Lose { links: every, share },
        8 => Kind::Double { links: every, share },
        9 => Kind::Reorder { links: every, share },
        10 => {
            let ms = chance.random_range(1.0..80.0f64).round();
            Kind::Delay { links: every, ms, jitter_ms: ms / 2.0 }
        }
        _ if chance.random_bool(0.5) => Kind::DiskFull { who },
        _ => Kind::Flap { links, period: tenths(chance.random_range(0.2..3.0)) },
    };
    let lasts = kind.has_end().then_some(length);
    Fault { at, lasts, kind }
}

/// The same trial with only the faults it needs to break: each is left out in turn, as long as it still
/// breaks. Without one of those that are left it was kept.
pub fn minimize_trial<E>(
    trial: &Trial,
    mut fails: impl FnMut(&Trial) -> Result<bool, E>,
) -> Result<Trial, E> {
    let mut least = trial.clone();
    let mut n = 0;
    while n < least.faults.len() {
        let mut less = least.clone();
        less.faults.remove(n);
        if fails(&less)? {
            least = less;
        } else {
            n += 1;
        }
    }
    Ok(least)
}

#[cfg(test)]
mod tests;
