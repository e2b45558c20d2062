//! The directory: which proxies a controller names, whoever of the controllers has heard them.

use std::collections::HashMap;
use std::net::SocketAddr;

use lynxstair::types::Time;
use lynxstair_control_state::directory::Directory;
use lynxstair_protocol::messages::{ProxyInfo, ProxyStatus, Readiness};

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn edge(number: u8, region: &str, instance: u64) -> ProxyInfo {
    ProxyInfo {
        node: format!("e{number}"),
        zone: "z".into(),
        region: region.into(),
        client_address: front(number),
        incarnation: instance,
    }
}

fn front(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

const CONTROLLER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 1, 0, 1)), 83);

/// A controller that no proxy has found yet answers by what another controller told it, and only while that
/// one is there.
#[test]
fn a_controller_answers_by_what_other_controllers_heard() {
    let (mut old, mut new) = (Directory::default(), Directory::default());
    old.on_heartbeat(at(0), &edge(1, "r", 1), Readiness::Ready);
    old.on_heartbeat(at(0), &edge(2, "s", 1), Readiness::Ready);
    assert!(new.lookup(at(100), "r", false).is_empty() && !new.has_complete_view(at(100)));
    new.apply_remote(at(100), CONTROLLER, old.snapshot(at(100)), true, true);
    assert!(new.has_complete_view(at(100)));
    assert_eq!(new.lookup(at(100), "r", false), [front(1)], "those of the region first");
    assert_eq!(new.lookup(at(100), "elsewhere", false).len(), 2, "all where it has none");
    new.on_controller_contact(at(2_000), CONTROLLER);
    assert_eq!(new.lookup(at(4_000), "r", false), [front(1)]);
    assert!(new.lookup(at(4_600), "r", false).is_empty(), "that controller fell silent");
    new.on_controller_contact(at(5_000), CONTROLLER);
    assert_eq!(new.lookup(at(5_000), "r", false), [front(1)], "it is heard again");
    new.apply_remote(at(5_100), CONTROLLER, Vec::new(), true, false);
    assert!(new.lookup(at(5_100), "r", false).is_empty(), "it has begun anew");
}

/// What changed is told once, and an end as well.
#[test]
fn changes_are_published_once() {
    let mut directory = Directory::default();
    assert!(directory.on_heartbeat(at(0), &edge(1, "r", 1), Readiness::Starting));
    assert!(!directory.on_heartbeat(at(100), &edge(1, "r", 1), Readiness::Starting));
    let readiness = |news: Vec<ProxyStatus>| news.iter().map(|s| s.readiness).collect::<Vec<_>>();
    assert_eq!(readiness(directory.take_changes(at(100))), [Readiness::Starting]);
    assert_eq!(readiness(directory.take_changes(at(200))), []);
    assert!(directory.on_heartbeat(at(300), &edge(1, "r", 1), Readiness::Ready));
    assert_eq!(readiness(directory.take_changes(at(300))), [Readiness::Ready]);
    assert_eq!(readiness(directory.take_changes(at(2_900))), [Readiness::Disconnected], "it fell silent");
    directory.on_heartbeat(at(3_000), &edge(1, "r", 2), Readiness::Ready);
    assert_eq!(readiness(directory.take_changes(at(3_000))), [Readiness::Ready]);
    directory.on_disconnected("e1", 1);
    assert_eq!(
        readiness(directory.take_changes(at(3_100))),
        [],
        "the end of an earlier instance's line ends no later one"
    );
    directory.on_disconnected("e1", 2);
    assert_eq!(readiness(directory.take_changes(at(3_200))), [Readiness::Disconnected]);
    assert_eq!(readiness(directory.take_changes(at(3_300))), []);
}

/// Who has said to any controller that it leaves is not named, whatever others have of that instance; its
/// next instance is.
#[test]
fn proxies_that_shut_down_are_not_named() {
    let mut directory = Directory::default();
    let told = |instance, readiness| vec![ProxyStatus { proxy: edge(1, "r", instance), readiness }];
    directory.on_heartbeat(at(0), &edge(1, "r", 1), Readiness::Ready);
    directory.apply_remote(at(0), CONTROLLER, told(1, Readiness::Ready), true, true);
    directory.apply_remote(at(500), CONTROLLER, told(1, Readiness::ShuttingDown), false, true);
    assert!(directory.lookup(at(500), "r", false).is_empty(), "here it is still heard as ready");
    directory.on_disconnected("e1", 1);
    directory.apply_remote(at(900), CONTROLLER, told(1, Readiness::Ready), false, true);
    assert!(directory.lookup(at(900), "r", false).is_empty(), "an old word about an old instance");
    directory.apply_remote(at(1_000), CONTROLLER, told(2, Readiness::Ready), false, true);
    assert_eq!(directory.lookup(at(1_000), "r", false), [front(1)]);
}

/// While the core can't be sure of its store no proxy is: those that serve on are named all the same.
#[test]
fn stale_proxies_are_named_where_none_is_ready() {
    let mut directory = Directory::default();
    directory.on_heartbeat(at(0), &edge(1, "r", 1), Readiness::Stale);
    directory.on_heartbeat(at(0), &edge(2, "r", 1), Readiness::Starting);
    directory.on_heartbeat(at(0), &edge(3, "s", 1), Readiness::Stale);
    assert_eq!(directory.lookup(at(0), "r", false), [front(1)]);
    directory.on_heartbeat(at(100), &edge(3, "s", 1), Readiness::Ready);
    assert_eq!(directory.lookup(at(100), "r", false), [front(3)]);
}

/// All proxies are cut off from the controllers: those that were there last are named, by a controller that
/// is in touch, for a while; not those that left.
#[test]
fn the_last_known_proxies_are_named_where_none_is_heard() {
    let mut directory = Directory::default();
    directory.on_heartbeat(at(0), &edge(1, "r", 1), Readiness::Ready);
    directory.on_heartbeat(at(0), &edge(2, "r", 1), Readiness::Ready);
    directory.on_heartbeat(at(500), &edge(2, "r", 1), Readiness::ShuttingDown);
    directory.on_disconnected("e1", 1);
    directory.on_disconnected("e2", 1);
    assert!(directory.lookup(at(1_000), "r", false).is_empty(), "out of touch");
    assert_eq!(directory.lookup(at(1_000), "r", true), [front(1)]);
    assert_eq!(directory.lookup(at(20_000), "elsewhere", true), [front(1)]);
    assert!(directory.lookup(at(31_000), "r", true).is_empty());
    directory.apply_remote(
        at(32_000),
        CONTROLLER,
        vec![ProxyStatus { proxy: edge(3, "r", 1), readiness: Readiness::Ready }],
        true,
        true,
    );
    assert_eq!(directory.lookup(at(32_000), "r", true), [front(3)], "who is heard goes first");
}

/// An answer names 64 at the most: of a hundred each is named as often as the others, and as often first.
#[test]
fn all_proxies_are_named_equally_often() {
    let mut directory = Directory::default();
    for n in 0..100 {
        directory.on_heartbeat(at(0), &edge(n, "r", 1), Readiness::Ready);
    }
    let (mut named, mut first) = (HashMap::new(), HashMap::new());
    for _ in 0..100 {
        let answer = directory.lookup(at(0), "r", true);
        assert_eq!(answer.len(), 64);
        *first.entry(answer[0]).or_insert(0) += 1;
        answer.into_iter().for_each(|a| *named.entry(a).or_insert(0) += 1);
    }
    assert!(named.len() == 100 && named.values().all(|n| *n == 64) && first.values().all(|n| *n == 1));
}
