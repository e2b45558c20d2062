//! Membership experiments: detection time, false detections and network traffic. The result of a run
//! depends only on its arguments, so runs can be executed in parallel.

use lynxstair::types::{Span, Time};
use lynxstair_membership::{DisabledParts, Event, State, Times};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Fleet, FleetConfig};
use crate::network::LinkFaults;

/// Setting of the local health checks and the relays of all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguards {
    Enabled,
    Disabled,
}

impl Safeguards {
    fn disabled_parts(self) -> DisabledParts {
        match self {
            Safeguards::Enabled => DisabledParts::default(),
            Safeguards::Disabled => {
                DisabledParts { no_local_health: true, no_relays: true, ..DisabledParts::default() }
            }
        }
    }
}

/// Faults during a run of [`false_failure_detections`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultPattern {
    /// Each datagram is lost with this probability.
    Loss(f64),
    /// On average 1% of the members are paused at a time, each for 0.2 to 10 s.
    Pauses,
    /// Each direction of each link is cut with this probability.
    OneWayCuts(f64),
}

/// Times from the kill of a member until others declared it failed, in seconds. 8 s if they did not
/// within that time.
#[derive(Clone, Copy, Debug)]
pub struct DetectionTimes {
    /// Time until the first member declared it failed.
    pub first_s: f64,
    /// Time until all running members had declared it failed.
    pub all_s: f64,
}

fn settled(members: usize, seed: u64, safeguards: Safeguards) -> Fleet {
    Fleet::settled(FleetConfig {
        members,
        zones: 3,
        seeds: 3,
        times: Times::default(),
        disabled: safeguards.disabled_parts(),
        seed,
    })
}

/// Kills `kills` members one after another, at least 8 s apart, and returns the detection times of each.
pub fn failure_detection_times(
    members: usize,
    kills: usize,
    loss_rate: f64,
    seed: u64,
) -> Vec<DetectionTimes> {
    let mut fleet = settled(members, seed, Safeguards::Enabled);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x9e37);
    fleet.network.default_faults = LinkFaults { loss_rate, ..LinkFaults::default() };
    fleet.run_for(Span::from_millis(2_000));
    let mut detections = Vec::new();
    for _ in 0..kills {
        fleet.run_for(Span::from_millis(rng.random_range(0..400)));
        let running: Vec<usize> = (0..members).filter(|n| fleet.is_running(*n)).collect();
        let Some(&member) = running.choose(&mut rng) else { break };
        let (killed_at, name) = (fleet.now(), fleet.name_of(member).clone());
        fleet.kill(member);
        fleet.run_for(Span::from_millis(8_000));
        let mut last: Option<Time> = None;
        let mut first: Option<Time> = None;
        let mut detecting_members = 0;
        for h in fleet.history().iter().rev().take_while(|h| h.at >= killed_at) {
            if let Event::Member { name: declared_name, to: State::Failed, .. } = &h.event
                && *declared_name == name
            {
                detecting_members += 1;
                last = last.max(Some(h.at));
                first = Some(first.map_or(h.at, |f| f.min(h.at)));
            }
        }
        let all = if detecting_members + 1 >= running.len() { last } else { None };
        let secs = |at: Option<Time>| at.map_or(8.0, |at| (at - killed_at).secs());
        detections.push(DetectionTimes { first_s: secs(first), all_s: secs(all) });
        fleet.clear_history();
    }
    detections
}

/// Runs a fleet with faults. Returns the number of failure declarations about members that were neither
/// paused nor resumed within the last 6 s, and the member-hours simulated. Each declaring member counts.
pub fn false_failure_detections(
    members: usize,
    pattern: FaultPattern,
    safeguards: Safeguards,
    minutes: u64,
    seed: u64,
) -> (usize, f64) {
    let mut fleet = settled(members, seed, safeguards);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x51ab);
    match pattern {
        FaultPattern::Loss(loss_rate) => {
            fleet.network.default_faults = LinkFaults { loss_rate, ..LinkFaults::default() }
        }
        FaultPattern::OneWayCuts(cut_rate) => {
            for a in 0..members {
                for b in (0..members).filter(|b| *b != a) {
                    if rng.random_bool(cut_rate) {
                        fleet.network.cut(a, b);
                    }
                }
            }
        }
        FaultPattern::Pauses => {}
    }
    let mut paused_until: Vec<Option<Time>> = vec![None; members];
    let mut last_paused_at: Vec<Time> = vec![Time::default(); members];
    let mut false_detections = 0;
    for _ in 0..minutes * 60 * 5 {
        fleet.run_for(Span::from_millis(200));
        let now = fleet.now();
        for h in fleet.history() {
            let Event::Member { name, to: State::Failed, .. } = &h.event else { continue };
            let declared_member = (0..members).find(|n| fleet.name_of(*n) == name);
            // A member that was paused within the last 6 s may rightly have been declared failed.
            false_detections += usize::from(declared_member.is_some_and(|n| {
                paused_until[n].is_none() && now - last_paused_at[n] > Span::from_millis(6_000)
            }));
        }
        fleet.clear_history();
        if pattern != FaultPattern::Pauses {
            continue;
        }
        for n in 0..members {
            match paused_until[n] {
                Some(at) if at <= now => {
                    fleet.resume(n);
                    (paused_until[n], last_paused_at[n]) = (None, now);
                }
                Some(_) => last_paused_at[n] = now,
                // The mean pause is 5.1 s and the step 0.2 s, so 1% are paused on average.
                None if rng.random_bool(0.01 * 0.2 / 5.1) => {
                    fleet.pause(n);
                    paused_until[n] = Some(now + Span::from_millis(rng.random_range(200..10_000)));
                    last_paused_at[n] = now;
                }
                None => {}
            }
        }
    }
    (false_detections, members as f64 * minutes as f64 / 60.0)
}

/// Returns the bytes and datagrams that a member sends per second without faults, and the size in bytes
/// of the largest datagram up to 3 s after a tenth of the members, at most 30, were killed at once.
pub fn traffic(members: usize, seed: u64) -> (f64, f64, usize) {
    let mut fleet = settled(members, seed, Safeguards::Enabled);
    fleet.run_for(Span::from_millis(3_000));
    let (bytes, datagrams) = (fleet.bytes_sent, fleet.datagrams_sent);
    fleet.run_for(Span::from_millis(5_000));
    let per_member_second = |n: u64| n as f64 / members as f64 / 5.0;
    let idle_rates =
        (per_member_second(fleet.bytes_sent - bytes), per_member_second(fleet.datagrams_sent - datagrams));
    (0..(members / 10).min(30)).for_each(|n| fleet.kill(n * 10));
    fleet.run_for(Span::from_millis(3_000));
    (idle_rates.0, idle_rates.1, fleet.largest_datagram_bytes)
}

/// Runs a fleet for 30 s in which member 0 has a working link to member 3 only. The first result is `true` if
/// any member declared member 0 failed, the second if member 0 declared another one failed.
pub fn failures_with_single_link(members: usize, seed: u64) -> (bool, bool) {
    let mut fleet = settled(members, seed, Safeguards::Enabled);
    fleet.run_for(Span::from_millis(5_000));
    fleet.clear_history();
    (0..members).filter(|m| *m != 0 && *m != 3).for_each(|m| fleet.network.cut_both(0, m));
    fleet.run_for(Span::from_millis(30_000));
    let name = fleet.name_of(0).clone();
    let was_declared_failed = fleet.declared_failed().any(|(_, _, n)| *n == name);
    let declared_others_failed = fleet.declared_failed().any(|(_, by, n)| by == 0 && *n != name);
    (was_declared_failed, declared_others_failed)
}
