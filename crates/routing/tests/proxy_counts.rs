//! Proxy counts during leader changes.

use lynxstair::types::Time;
use lynxstair_routing::proxy_counts::ProxyCounts;

/// A new leader counts proxies as it learns of them: the count must not drop meanwhile, an increase counts
/// at once, and a decrease only after the settle time.
#[test]
fn smaller_count_is_used_after_settle_time() {
    let at = |ms: u64| Time::from_nanos((100_000 + ms) * 1_000_000);
    let zones = |a: u32, b: u32| vec![("a".to_string(), a), ("b".to_string(), b)];
    let mut proxy_counts = ProxyCounts::default();
    // Time in ms, reported counts, expected counts.
    let cases = [
        (0, Some(zones(21, 20)), zones(21, 20)),
        (60_000, Some(zones(2, 1)), zones(21, 20)),
        (60_400, Some(zones(14, 21)), zones(21, 21)),
        (61_000, Some(zones(21, 21)), zones(21, 21)),
        (70_000, None, zones(21, 21)),
        (80_000, Some(zones(20, 21)), zones(21, 21)),
        (83_900, None, zones(21, 21)),
        (84_100, None, zones(20, 21)),
    ];
    for (ms, reported, expected) in cases {
        match reported {
            Some(reported) => proxy_counts.record(at(ms), &reported),
            None => {
                proxy_counts.expire(at(ms));
            }
        }
        assert_eq!(proxy_counts.zones(), expected, "at {ms} ms");
    }
}
