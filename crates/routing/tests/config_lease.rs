//! Renewal and expiry of the configuration lease.

use lynxstair::types::{Span, Time};

use lynxstair_routing::config_lease::ConfigLease;

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

/// An acknowledgement for a revision that is not held, or with an older confirmation, doesn't extend the
/// lease.
#[test]
fn heartbeat_acknowledgements_renew_the_lease() {
    let revoke = Some(Span::from_millis(5000));
    let mut lease = ConfigLease::default();
    assert!(!lease.is_valid(at(0), revoke) && lease.is_valid(at(0), None));
    lease.renew(at(1000), 7, Span::from_millis(200), 6);
    assert!(!lease.is_valid(at(1000), revoke), "the proxy doesn't hold the confirmed revision yet");
    lease.renew(at(1000), 7, Span::from_millis(200), 7);
    assert!(lease.is_valid(at(5400), revoke) && !lease.is_valid(at(5500), revoke));
    lease.renew(at(2000), 7, Span::from_millis(4000), 7);
    assert!(!lease.is_valid(at(5500), revoke), "an older confirmation doesn't change the lease");
    assert!(
        lease.is_fresh(at(1500), Span::from_millis(1000))
            && !lease.is_fresh(at(2000), Span::from_millis(1000))
    );
}
