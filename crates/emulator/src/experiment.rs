//! Experiments on membership: what the results page tables. Each run hangs on its seed alone; runs go side by
//! side.

use lynxstair::types::{Span, Time};
use lynxstair_membership::{DisabledParts, Event, State, Times};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Fleet, Plan};
use crate::network::LinkFaults;

/// Whether own lateness and links are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguards {
    Enabled,
    Disabled,
}

impl Safeguards {
    fn broken(self) -> DisabledParts {
        match self {
            Safeguards::Enabled => DisabledParts::default(),
            Safeguards::Disabled => {
                DisabledParts { no_local_health: true, no_relays: true, ..DisabledParts::default() }
            }
        }
    }
}

/// What goes on while a fleet is watched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultPattern {
    /// A share of all datagrams is lost.
    Loss(f64),
    /// At any time one of a hundred is paused, for 0.2 to 10 s.
    Pauses,
    /// Each link is cut in one direction with this chance.
    OneWayCuts(f64),
}

/// How long one death took to be known, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct DetectionTimes {
    pub first_s: f64,
    pub all_s: f64,
}

fn settled(members: usize, seed: u64, care: Safeguards) -> Fleet {
    Fleet::settled(Plan { members, halls: 3, seeds: 3, times: Times::default(), broken: care.broken(), seed })
}

/// Kills so many members one after another, eight seconds apart, and watches when the others have found each
/// out.
pub fn failure_detection_times(members: usize, kills: usize, lost: f64, seed: u64) -> Vec<DetectionTimes> {
    let mut fleet = settled(members, seed, Safeguards::Enabled);
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x9e37);
    fleet.network.default_faults = LinkFaults { loss_rate: lost, ..LinkFaults::default() };
    fleet.run(Span::from_millis(2_000));
    let mut found = Vec::new();
    for _ in 0..kills {
        fleet.run(Span::from_millis(chance.random_range(0..400)));
        let running: Vec<usize> = (0..members).filter(|n| fleet.runs(*n)).collect();
        let Some(&who) = running.choose(&mut chance) else { break };
        let (killed, name) = (fleet.now(), fleet.name_of(who).clone());
        fleet.kill(who);
        fleet.run(Span::from_millis(8_000));
        let mut last: Option<Time> = None;
        let mut first: Option<Time> = None;
        let mut knows = 0;
        for h in fleet.history().iter().rev().take_while(|h| h.at >= killed) {
            if let Event::Member { name: n, to: State::Failed, .. } = &h.event
                && *n == name
            {
                knows += 1;
                last = last.max(Some(h.at));
                first = Some(first.map_or(h.at, |f| f.min(h.at)));
            }
        }
        // Not known to all in eight seconds counts as that.
        let all = if knows + 1 >= running.len() { last } else { None };
        let secs = |at: Option<Time>| at.map_or(8.0, |at| (at - killed).secs());
        found.push(DetectionTimes { first_s: secs(first), all_s: secs(all) });
        fleet.forget_history();
    }
    found
}

/// Deaths that were declared of members that live and were not paused lately, and for how many member-hours.
pub fn false_failure_detections(
    members: usize,
    weather: FaultPattern,
    care: Safeguards,
    minutes: u64,
    seed: u64,
) -> (usize, f64) {
    let mut fleet = settled(members, seed, care);
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x51ab);
    match weather {
        FaultPattern::Loss(lost) => {
            fleet.network.default_faults = LinkFaults { loss_rate: lost, ..LinkFaults::default() }
        }
        FaultPattern::OneWayCuts(share) => {
            for a in 0..members {
                for b in (0..members).filter(|b| *b != a) {
                    if chance.random_bool(share) {
                        fleet.network.cut(a, b);
                    }
                }
            }
        }
        FaultPattern::Pauses => {}
    }
    let mut until: Vec<Option<Time>> = vec![None; members];
    let mut lately: Vec<Time> = vec![Time::default(); members];
    let mut declared = 0;
    for _ in 0..minutes * 60 * 5 {
        fleet.run(Span::from_millis(200));
        let now = fleet.now();
        for h in fleet.history() {
            let Event::Member { name, to: State::Failed, .. } = &h.event else { continue };
            let about = (0..members).find(|n| fleet.name_of(*n) == name);
            // One that was paused in the last six seconds may well have been silent for too long.
            declared += usize::from(
                about.is_some_and(|n| until[n].is_none() && now - lately[n] > Span::from_millis(6_000)),
            );
        }
        fleet.forget_history();
        if weather != FaultPattern::Pauses {
            continue;
        }
        for n in 0..members {
            match until[n] {
                Some(at) if at <= now => {
                    fleet.resume(n);
                    (until[n], lately[n]) = (None, now);
                }
                Some(_) => lately[n] = now,
                // Means of 5.1 s a pause and one in a hundred paused.
                None if chance.random_bool(0.01 * 0.2 / 5.1) => {
                    fleet.pause(n);
                    until[n] = Some(now + Span::from_millis(chance.random_range(200..10_000)));
                    lately[n] = now;
                }
                None => {}
            }
        }
    }
    (declared, members as f64 * minutes as f64 / 60.0)
}

/// Bytes and datagrams that a member sends in a second, with nothing going on; and the largest datagram until
/// three seconds after thirty members, or a tenth of fewer, died at once.
pub fn traffic(members: usize, seed: u64) -> (f64, f64, usize) {
    let mut fleet = settled(members, seed, Safeguards::Enabled);
    fleet.run(Span::from_millis(3_000));
    let (bytes, datagrams) = (fleet.bytes, fleet.datagrams);
    fleet.run(Span::from_millis(5_000));
    let per = |n: u64| n as f64 / members as f64 / 5.0;
    let rest = (per(fleet.bytes - bytes), per(fleet.datagrams - datagrams));
    (0..(members / 10).min(30)).for_each(|n| fleet.kill(n * 10));
    fleet.run(Span::from_millis(3_000));
    (rest.0, rest.1, fleet.largest)
}

/// Of a fleet in which one is heard by a single other only: whether it was declared failed, and whether it
/// declared anybody, within half a minute.
pub fn failures_with_single_link(members: usize, seed: u64) -> (bool, bool) {
    let mut fleet = settled(members, seed, Safeguards::Enabled);
    fleet.run(Span::from_millis(5_000));
    fleet.forget_history();
    (0..members).filter(|w| *w != 0 && *w != 3).for_each(|w| fleet.network.cut_both(0, w));
    fleet.run(Span::from_millis(30_000));
    let name = fleet.name_of(0).clone();
    let of_it = fleet.declared_failed().any(|(_, _, n)| *n == name);
    let by_it = fleet.declared_failed().any(|(_, by, n)| by == 0 && *n != name);
    (of_it, by_it)
}
