//! Which huts a process keeps lines to, on a virtual clock.

use std::net::SocketAddr;

use lynxstair::types::Time;
use lynxstair_control_state::peer_set::{MAX_PEERS, PeerSet};

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn hut(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 83))
}

/// Replacement after replacement: who is gone goes, who votes or speaks stays, and each line has one keeper.
#[test]
fn dead_addresses_do_not_pile_up() {
    let mut huts = PeerSet::new(at(0));
    for n in 1..=3 {
        assert!(huts.add(at(0), hut(n)).is_some());
    }
    let mut voters: Vec<SocketAddr> = (1..=3).map(hut).collect();
    for n in 4..=40 {
        let came_at = u64::from(n) * 10_000;
        let keeper = huts.add(at(came_at), hut(n)).expect("it was not known");
        assert_eq!(huts.add(at(came_at), hut(n)), None);
        voters.remove(0);
        voters.push(hut(n));
        for second in 0..10 {
            let now = at(came_at + second * 1_000);
            voters.iter().skip(1).for_each(|v| huts.on_heard(now, *v));
            huts.drop_unheard(now, |h| voters.contains(&h));
        }
        assert!(voters.iter().all(|v| huts.addresses().any(|h| h == *v)), "a voter that is silent stays");
        assert!(huts.is_current(hut(n), keeper) && !huts.is_current(hut(n), keeper + 1));
        assert!(huts.len() <= 3 + 3, "{n}: {}", huts.len());
    }
    let keeper = huts.add(at(500_000), hut(1)).expect("it was let go of");
    assert!(huts.is_current(hut(1), keeper), "named again it has a keeper of its own");
}

/// There is room for a new seed among many that are gone, and none by driving out who is there.
#[test]
fn room_for_a_new_one() {
    let mut huts = PeerSet::new(at(0));
    for n in 0..MAX_PEERS as u8 {
        huts.add(at(0), hut(n));
    }
    assert_eq!(huts.add(at(1_000), hut(200)), None, "all were named a moment ago");
    (0..15).for_each(|n| huts.on_heard(at(9_000), hut(n)));
    assert!(huts.add(at(10_000), hut(200)).is_some());
    assert_eq!((huts.len(), huts.addresses().any(|h| h == hut(15))), (MAX_PEERS, false));
}

/// Who reaches nobody looks at the settings each two seconds, and not before.
#[test]
fn who_is_alone_looks_again() {
    let mut huts = PeerSet::new(at(0));
    let looks: Vec<u64> = (0..100).map(|n| n * 100).filter(|ms| huts.poll_isolated(at(*ms))).collect();
    assert_eq!(looks, [2_100, 4_200, 6_300, 8_400]);
    huts.on_connected(at(10_000));
    assert!(!huts.poll_isolated(at(12_000)) && huts.poll_isolated(at(12_100)));
}
