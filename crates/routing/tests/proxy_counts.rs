//! Over how many gatekeepers things are split, while leaders come and go.

use lynxstair::types::Time;
use lynxstair_routing::proxy_counts::ProxyCounts;

/// A new leader finds gatekeepers one by one: the count before stands till it has found them all, and a gatekeeper more is
/// counted at once; one that is gone for good gives its part free after a while.
#[test]
fn a_smaller_count_settles_first() {
    let at = |ms: u64| Time::from_nanos((100_000 + ms) * 1_000_000);
    let zones = |a: u32, b: u32| vec![("a".to_string(), a), ("b".to_string(), b)];
    let mut sharing = ProxyCounts::default();
    // When, what is told; what goes then.
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
    for (ms, told, wanted) in cases {
        match told {
            Some(told) => sharing.record(at(ms), &told),
            None => {
                sharing.expire(at(ms));
            }
        }
        assert_eq!(sharing.zones(), wanted, "at {ms} ms");
    }
}
