//! What one cold worker gets from all proxies of its zone together, in any second, whatever their number.

use lynxstair::types::{Span, Time};
use lynxstair_routing::slow_start::SlowStart;

/// Each proxy that asks all the time for so long.
const STORY: u64 = 6_000;

/// The most requests in any second, of times in milliseconds.
fn most_in_a_second(sent: &[u64]) -> usize {
    let count = |from: &u64| sent.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    sent.iter().map(count).max().unwrap_or(0)
}

/// Zones of mama-kapi-grown with and without their spare machines, of zwrotnik-lynx-grown, of the large site and of a small
/// one: rate, slack, proxies.
const ZONES: [(f64, f64, u32); 6] =
    [(6.0, 8.0, 16), (6.0, 8.0, 19), (2.9, 8.0, 22), (6.0, 10.0, 49), (22.0, 8.0, 300), (2.9, 5.0, 3)];
const OVERSHOOT: f64 = 1.5;

/// All proxies hear of a cold worker in the same instant and have more requests than it takes.
#[test]
fn proxies_that_hear_of_a_cold_worker_at_once_keep_to_what_it_may_get() {
    for (rate, slack, proxies) in ZONES {
        let allowed = rate * OVERSHOOT + slack;
        let mut slow_starts: Vec<_> = (0..proxies).map(|_| SlowStart::new(OVERSHOOT, slack)).collect();
        let mut sent = Vec::new();
        for ms in (0..STORY).step_by(5) {
            let now = Time::from_nanos(1_000_000_000) + Span::from_millis(ms);
            for slow_start in &mut slow_starts {
                if slow_start.admits(now, "i-1", rate, proxies) {
                    slow_start.spend("i-1");
                    sent.push(ms);
                }
            }
        }
        let most = most_in_a_second(&sent);
        assert!(most as f64 <= allowed, "{most} in a second of {proxies} proxies, {allowed} allowed");
    }
}
