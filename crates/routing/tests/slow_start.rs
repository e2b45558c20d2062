//! What gatekeepers that can't hear the core send to workers that may have turned cold meanwhile.

use lynxstair::types::{Span, Time};
use lynxstair_routing::slow_start::SlowStart;

/// A zone is cut off from the core, emptied, and its workers turn cold: nobody in it is told. Whatever its gatekeepers would
/// like to send, together they keep to what a cold worker may get in any second; and a worker that is warm goes on to
/// get over half of that, so that the zone's clients are served. Before, nothing bounded it.
#[test]
fn workers_are_limited_while_controllers_are_out_of_reach() {
    for (per_s, overshoot, slack, sharing) in [(2.9, 1.5, 5.0, 3), (22.0, 1.5, 5.0, 2), (22.0, 1.5, 8.0, 15)]
    {
        let most = per_s * overshoot + slack;
        let mut passes: Vec<SlowStart> = (0..sharing).map(|_| SlowStart::new(overshoot, slack)).collect();
        let mut sent: Vec<u64> = Vec::new();
        for ms in 0..20_000 {
            let now = Time::from_nanos(1_000_000_000) + Span::from_millis(ms);
            for cold in &mut passes {
                if cold.admits_unknown(now, "i-1", per_s, sharing) {
                    cold.spend_unknown("i-1");
                    sent.push(ms);
                }
            }
        }
        for ms in 0..19_000 {
            let n = sent.iter().filter(|s| (ms..ms + 1000).contains(*s)).count();
            assert!(n as f64 <= most, "{n} in the second from {ms} ms, {most} allowed");
        }
        assert!(sent.len() as f64 > 20.0 * most * 0.5, "{} in 20 s, {most} a second allowed", sent.len());
    }
}

/// A proxy that has just begun knows neither how many share a worker with it nor, while controllers are out of reach, whether
/// the worker warms up. Several of them would each take all that it bears.
#[test]
fn a_proxy_that_does_not_know_how_many_there_are_sends_to_no_worker_that_may_be_warming_up() {
    let now = Time::from_nanos(1_000_000_000);
    let mut slow_start = SlowStart::new(1.5, 8.0);
    for ms in [0, 100, 5_000] {
        assert!(!slow_start.admits_unknown(now + Span::from_millis(ms), "i-1", 2.9, 0), "after {ms} ms");
    }
    // As soon as it knows, it takes its part.
    assert!(slow_start.admits_unknown(now + Span::from_millis(5_100), "i-1", 2.9, 22));
}
