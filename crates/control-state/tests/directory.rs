//! The directory: the proxies that a controller returns to clients, from its own and other controllers'
//! reports.

use std::collections::HashMap;
use std::net::SocketAddr;

use lynxstair::types::Time;
use lynxstair_control_state::directory::{Directory, Lookup};
use lynxstair_protocol::messages::{ProxyInfo, ProxyStatus, Readiness};

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn proxy(number: u8, region: &str, incarnation: u64) -> ProxyInfo {
    ProxyInfo {
        node: format!("e{number}"),
        zone: "z".into(),
        region: region.into(),
        client_address: client_address(number),
        incarnation,
    }
}

fn client_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Looks up a host that may be served in any region.
fn lookup(directory: &mut Directory, now: Time, region: &str, has_quorum_contact: bool) -> Vec<SocketAddr> {
    directory.lookup(now, &Lookup { region, home_regions: None, has_quorum_contact })
}

/// Looks up a host with home regions, for a client in region `c`.
fn lookup_with_homes(directory: &mut Directory, now: Time, homes: &[&str]) -> Vec<SocketAddr> {
    let home_regions = Some(homes.iter().copied().collect());
    let mut found = directory.lookup(now, &Lookup { region: "c", home_regions, has_quorum_contact: true });
    found.sort();
    found
}

const CONTROLLER: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 1, 0, 1)), 83);

/// A controller without connected proxies answers from the reports of another controller while that one is
/// active.
#[test]
fn a_controller_answers_from_reports_of_other_controllers() {
    let (mut connected, mut unconnected) = (Directory::default(), Directory::default());
    connected.on_heartbeat(at(0), &proxy(1, "r", 1), Readiness::Ready);
    connected.on_heartbeat(at(0), &proxy(2, "s", 1), Readiness::Ready);
    assert!(
        lookup(&mut unconnected, at(100), "r", false).is_empty() && !unconnected.has_complete_view(at(100))
    );
    unconnected.apply_remote(at(100), CONTROLLER, connected.snapshot(at(100)), true, true);
    assert!(unconnected.has_complete_view(at(100)));
    assert_eq!(
        lookup(&mut unconnected, at(100), "r", false),
        [client_address(1)],
        "proxies of the region come first"
    );
    assert_eq!(
        lookup(&mut unconnected, at(100), "elsewhere", false).len(),
        2,
        "all proxies if the region has none"
    );
    unconnected.on_controller_contact(at(2_000), CONTROLLER);
    assert_eq!(lookup(&mut unconnected, at(4_000), "r", false), [client_address(1)]);
    assert!(
        lookup(&mut unconnected, at(4_600), "r", false).is_empty(),
        "the reporting controller has become silent"
    );
    unconnected.on_controller_contact(at(5_000), CONTROLLER);
    assert_eq!(
        lookup(&mut unconnected, at(5_000), "r", false),
        [client_address(1)],
        "the reporting controller is active again"
    );
    unconnected.apply_remote(at(5_100), CONTROLLER, Vec::new(), true, false);
    assert!(
        lookup(&mut unconnected, at(5_100), "r", false).is_empty(),
        "the reporting controller has restarted"
    );
}

/// Each change of a status and each disconnect is published once.
#[test]
fn changes_are_published_once() {
    let mut directory = Directory::default();
    assert!(directory.on_heartbeat(at(0), &proxy(1, "r", 1), Readiness::Starting));
    assert!(!directory.on_heartbeat(at(100), &proxy(1, "r", 1), Readiness::Starting));
    let readiness = |changes: Vec<ProxyStatus>| changes.iter().map(|s| s.readiness).collect::<Vec<_>>();
    assert_eq!(readiness(directory.take_changes(at(100))), [Readiness::Starting]);
    assert_eq!(readiness(directory.take_changes(at(200))), []);
    assert!(directory.on_heartbeat(at(300), &proxy(1, "r", 1), Readiness::Ready));
    assert_eq!(readiness(directory.take_changes(at(300))), [Readiness::Ready]);
    assert_eq!(
        readiness(directory.take_changes(at(2_900))),
        [Readiness::Disconnected],
        "the proxy has become silent"
    );
    directory.on_heartbeat(at(3_000), &proxy(1, "r", 2), Readiness::Ready);
    assert_eq!(readiness(directory.take_changes(at(3_000))), [Readiness::Ready]);
    directory.on_disconnected("e1", 1);
    assert_eq!(
        readiness(directory.take_changes(at(3_100))),
        [],
        "a disconnect of an earlier incarnation does not affect the later one"
    );
    directory.on_disconnected("e1", 2);
    assert_eq!(readiness(directory.take_changes(at(3_200))), [Readiness::Disconnected]);
    assert_eq!(readiness(directory.take_changes(at(3_300))), []);
}

/// A proxy that reported its shutdown to any controller is not returned, whatever other controllers report
/// on this incarnation. Its next incarnation is.
#[test]
fn proxies_that_shut_down_are_not_returned() {
    let mut directory = Directory::default();
    let report = |incarnation, readiness| vec![ProxyStatus { proxy: proxy(1, "r", incarnation), readiness }];
    directory.on_heartbeat(at(0), &proxy(1, "r", 1), Readiness::Ready);
    directory.apply_remote(at(0), CONTROLLER, report(1, Readiness::Ready), true, true);
    directory.apply_remote(at(500), CONTROLLER, report(1, Readiness::ShuttingDown), false, true);
    assert!(lookup(&mut directory, at(500), "r", false).is_empty(), "the local status is still ready");
    directory.on_disconnected("e1", 1);
    directory.apply_remote(at(900), CONTROLLER, report(1, Readiness::Ready), false, true);
    assert!(
        lookup(&mut directory, at(900), "r", false).is_empty(),
        "an outdated report on the old incarnation"
    );
    directory.apply_remote(at(1_000), CONTROLLER, report(2, Readiness::Ready), false, true);
    assert_eq!(lookup(&mut directory, at(1_000), "r", false), [client_address(1)]);
}

/// While no proxy is ready, e.g. without a quorum of controllers, proxies with an unconfirmed configuration
/// are returned.
#[test]
fn stale_proxies_are_returned_if_none_is_ready() {
    let mut directory = Directory::default();
    directory.on_heartbeat(at(0), &proxy(1, "r", 1), Readiness::Stale);
    directory.on_heartbeat(at(0), &proxy(2, "r", 1), Readiness::Starting);
    directory.on_heartbeat(at(0), &proxy(3, "s", 1), Readiness::Stale);
    assert_eq!(lookup(&mut directory, at(0), "r", false), [client_address(1)]);
    directory.on_heartbeat(at(100), &proxy(3, "s", 1), Readiness::Ready);
    assert_eq!(lookup(&mut directory, at(100), "r", false), [client_address(3)]);
}

/// If all proxies are partitioned from the controllers, a controller with quorum contact returns the last
/// serving ones for a while, except those that were shutting down.
#[test]
fn the_last_serving_proxies_are_returned_if_none_is_connected() {
    let mut directory = Directory::default();
    directory.on_heartbeat(at(0), &proxy(1, "r", 1), Readiness::Ready);
    directory.on_heartbeat(at(0), &proxy(2, "r", 1), Readiness::Ready);
    directory.on_heartbeat(at(500), &proxy(2, "r", 1), Readiness::ShuttingDown);
    directory.on_disconnected("e1", 1);
    directory.on_disconnected("e2", 1);
    assert!(lookup(&mut directory, at(1_000), "r", false).is_empty(), "no quorum contact");
    assert_eq!(lookup(&mut directory, at(1_000), "r", true), [client_address(1)]);
    assert_eq!(lookup(&mut directory, at(20_000), "elsewhere", true), [client_address(1)]);
    assert!(lookup(&mut directory, at(31_000), "r", true).is_empty());
    directory.apply_remote(
        at(32_000),
        CONTROLLER,
        vec![ProxyStatus { proxy: proxy(3, "r", 1), readiness: Readiness::Ready }],
        true,
        true,
    );
    assert_eq!(
        lookup(&mut directory, at(32_000), "r", true),
        [client_address(3)],
        "a connected proxy takes precedence"
    );
}

/// An answer has at most 64 addresses. Over many answers, all proxies are returned and listed first equally
/// often.
#[test]
fn all_proxies_are_returned_equally_often() {
    let mut directory = Directory::default();
    for n in 0..100 {
        directory.on_heartbeat(at(0), &proxy(n, "r", 1), Readiness::Ready);
    }
    let (mut returned, mut first) = (HashMap::new(), HashMap::new());
    for _ in 0..100 {
        let answer = lookup(&mut directory, at(0), "r", true);
        assert_eq!(answer.len(), 64);
        *first.entry(answer[0]).or_insert(0) += 1;
        answer.into_iter().for_each(|a| *returned.entry(a).or_insert(0) += 1);
    }
    assert!(returned.len() == 100 && returned.values().all(|n| *n == 64) && first.values().all(|n| *n == 1));
}

/// While the proxies of a client's region are restarted, only those of home regions are returned. Guards against
/// requests with homes that the directory sends to a region that is no home (review, case 8).
#[test]
fn proxies_outside_the_home_regions_are_not_returned() {
    let mut directory = Directory::default();
    for (n, region) in [(1, "c"), (2, "home"), (3, "home"), (4, "other")] {
        directory.on_heartbeat(at(0), &proxy(n, region, 1), Readiness::Ready);
    }
    let homes = ["home", "c"];
    assert_eq!(lookup_with_homes(&mut directory, at(0), &homes), [client_address(1)], "its own region first");
    directory.on_heartbeat(at(100), &proxy(1, "c", 1), Readiness::ShuttingDown);
    let of_homes = [client_address(2), client_address(3)];
    assert_eq!(lookup_with_homes(&mut directory, at(100), &homes), of_homes);
    assert_eq!(lookup_with_homes(&mut directory, at(100), &["home"]), of_homes);
    assert_eq!(lookup(&mut directory, at(100), "c", true).len(), 3, "a host without homes");

    // A home that serves with an unconfirmed configuration comes before a ready proxy that is in no home.
    directory.on_heartbeat(at(200), &proxy(2, "home", 1), Readiness::ShuttingDown);
    directory.on_heartbeat(at(200), &proxy(3, "home", 1), Readiness::Stale);
    assert_eq!(lookup_with_homes(&mut directory, at(200), &homes), [client_address(3)]);
    // Without contact to the controllers, it may still serve.
    directory.on_disconnected("e3", 1);
    assert_eq!(lookup_with_homes(&mut directory, at(300), &homes), [client_address(3)]);
    // Then there is none that may be returned.
    directory.on_heartbeat(at(400), &proxy(3, "home", 1), Readiness::ShuttingDown);
    assert!(lookup_with_homes(&mut directory, at(400), &homes).is_empty());
    assert_eq!(lookup(&mut directory, at(400), "c", true), [client_address(4)], "a host without homes");
}
