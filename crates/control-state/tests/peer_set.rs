//! Which controllers a process keeps lines to, on a virtual clock.

use std::net::SocketAddr;

use lynxstair::types::Time;
use lynxstair_control_state::peer_set::{MAX_PEERS, PeerSet};

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn controller(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 83))
}

/// Replacement after replacement: who is gone goes, who votes or speaks stays, and each line has one keeper.
#[test]
fn unheard_peers_are_dropped() {
    let mut controllers = PeerSet::new(at(0));
    for n in 1..=3 {
        assert!(controllers.add(at(0), controller(n)).is_some());
    }
    let mut voters: Vec<SocketAddr> = (1..=3).map(controller).collect();
    for n in 4..=40 {
        let came_at = u64::from(n) * 10_000;
        let keeper = controllers.add(at(came_at), controller(n)).expect("it was not known");
        assert_eq!(controllers.add(at(came_at), controller(n)), None);
        voters.remove(0);
        voters.push(controller(n));
        for second in 0..10 {
            let now = at(came_at + second * 1_000);
            voters.iter().skip(1).for_each(|v| controllers.record_contact(now, *v));
            controllers.remove_expired(now, |h| voters.contains(&h));
        }
        assert!(
            voters.iter().all(|v| controllers.addresses().any(|h| h == *v)),
            "a voter that is silent stays"
        );
        assert!(
            controllers.is_current(controller(n), keeper)
                && !controllers.is_current(controller(n), keeper + 1)
        );
        assert!(controllers.len() <= 3 + 3, "{n}: {}", controllers.len());
    }
    let keeper = controllers.add(at(500_000), controller(1)).expect("it was let go of");
    assert!(controllers.is_current(controller(1), keeper), "named again it has a keeper of its own");
}

/// There is room for a new seed among many that are gone, and none by driving out who is there.
#[test]
fn a_full_set_makes_room_for_a_new_peer() {
    let mut controllers = PeerSet::new(at(0));
    for n in 0..MAX_PEERS as u8 {
        controllers.add(at(0), controller(n));
    }
    assert_eq!(controllers.add(at(1_000), controller(200)), None, "all were named a moment ago");
    (0..15).for_each(|n| controllers.record_contact(at(9_000), controller(n)));
    assert!(controllers.add(at(10_000), controller(200)).is_some());
    assert_eq!((controllers.len(), controllers.addresses().any(|h| h == controller(15))), (MAX_PEERS, false));
}

/// Who reaches nobody looks at the settings each two seconds, and not before.
#[test]
fn an_isolated_process_reads_its_settings_again() {
    let mut controllers = PeerSet::new(at(0));
    let looks: Vec<u64> = (0..100).map(|n| n * 100).filter(|ms| controllers.poll_isolated(at(*ms))).collect();
    assert_eq!(looks, [2_100, 4_200, 6_300, 8_400]);
    controllers.on_connected(at(10_000));
    assert!(!controllers.poll_isolated(at(12_000)) && controllers.poll_isolated(at(12_100)));
}
