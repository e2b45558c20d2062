//! The set of controllers that a process keeps connections to, on a virtual clock.

use std::net::SocketAddr;

use lynxstair::types::Time;
use lynxstair_control_state::peer_set::{MAX_PEERS, PeerSet};

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn controller(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 83))
}

/// Over many replacements, unreachable peers are removed, voters and reachable peers stay, and each peer has
/// one current connection id.
#[test]
fn unreachable_peers_are_removed() {
    let mut controllers = PeerSet::new(at(0));
    for n in 1..=3 {
        assert!(controllers.add(at(0), controller(n)).is_some());
    }
    let mut voters: Vec<SocketAddr> = (1..=3).map(controller).collect();
    for n in 4..=40 {
        let added_at = u64::from(n) * 10_000;
        let connection = controllers.add(at(added_at), controller(n)).expect("the peer is new");
        assert_eq!(controllers.add(at(added_at), controller(n)), None);
        voters.remove(0);
        voters.push(controller(n));
        for second in 0..10 {
            let now = at(added_at + second * 1_000);
            voters.iter().skip(1).for_each(|v| controllers.record_contact(now, *v));
            controllers.remove_expired(now, |peer| voters.contains(&peer));
        }
        assert!(
            voters.iter().all(|v| controllers.addresses().any(|peer| peer == *v)),
            "a silent voter stays"
        );
        assert!(
            controllers.is_current(controller(n), connection)
                && !controllers.is_current(controller(n), connection + 1)
        );
        assert!(controllers.len() <= 3 + 3, "{n}: {}", controllers.len());
    }
    let connection = controllers.add(at(500_000), controller(1)).expect("the peer was removed");
    assert!(
        controllers.is_current(controller(1), connection),
        "a peer that is added again has a new connection id"
    );
}

/// A new peer can replace an unreachable one in a full set, but not a reachable one.
#[test]
fn a_new_peer_replaces_an_unreachable_one_in_a_full_set() {
    let mut controllers = PeerSet::new(at(0));
    for n in 0..MAX_PEERS as u8 {
        controllers.add(at(0), controller(n));
    }
    assert_eq!(controllers.add(at(1_000), controller(200)), None, "all peers were added recently");
    (0..15).for_each(|n| controllers.record_contact(at(9_000), controller(n)));
    assert!(controllers.add(at(10_000), controller(200)).is_some());
    assert_eq!(
        (controllers.len(), controllers.addresses().any(|peer| peer == controller(15))),
        (MAX_PEERS, false)
    );
}

/// A process without connections reads its settings about every two seconds.
#[test]
fn an_isolated_process_reads_its_settings_again() {
    let mut controllers = PeerSet::new(at(0));
    let reads: Vec<u64> = (0..100).map(|n| n * 100).filter(|ms| controllers.poll_isolated(at(*ms))).collect();
    assert_eq!(reads, [2_100, 4_200, 6_300, 8_400]);
    controllers.on_connected(at(10_000));
    assert!(!controllers.poll_isolated(at(12_000)) && controllers.poll_isolated(at(12_100)));
}
