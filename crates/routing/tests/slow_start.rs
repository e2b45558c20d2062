//! Slow start while controllers are unreachable and after a restart of the proxy.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::membership_planner::MEMBERSHIP_VALIDITY;
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_routing::slow_start::{SlowStart, WarmUpQuery, WarmUpState};

const START: Time = Time::from_nanos(10_000_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

fn unknown(rate: f64) -> WarmUpQuery<'static> {
    WarmUpQuery { worker: "i-1", zone: "a", rate, state: WarmUpState::Unknown }
}

fn members(of_zone_a: &[String]) -> ProxyMembership {
    ProxyMembership::new(1, [("a".to_string(), of_zone_a.to_vec())].into())
}

/// The proxies of a zone, past their start-up delay and with a confirmed membership.
fn zone(overshoot: f64, slack: f64, proxies: u32) -> Vec<SlowStart> {
    let names: Vec<String> = (0..proxies).map(|n| format!("edge-{n}")).collect();
    let membership = members(&names);
    let started = |name: &String| {
        let mut slow_start = SlowStart::new(Time::default(), "a", name, overshoot, slack);
        slow_start.set_membership(&membership);
        slow_start.on_membership_confirmed(START);
        slow_start
    };
    names.iter().map(started).collect()
}

/// Proxies without contact to the controllers keep to the slow-start limit of a worker in any second, and
/// use over half of it so that clients are still served.
#[test]
fn workers_are_limited_while_controllers_are_unreachable() {
    for (per_s, overshoot, slack, proxy_count) in
        [(2.9, 1.5, 5.0, 3), (22.0, 1.5, 5.0, 2), (22.0, 1.5, 8.0, 15)]
    {
        let most = per_s * overshoot + slack;
        let mut proxies = zone(overshoot, slack, proxy_count);
        let mut sent: Vec<u64> = Vec::new();
        for ms in 0..20_000 {
            for proxy in &mut proxies {
                if proxy.admits(at(ms), &unknown(per_s)) {
                    proxy.spend(at(ms), &unknown(per_s));
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

/// A new proxy without a confirmed membership doesn't know its share, so several of them could exceed the
/// limit.
#[test]
fn proxy_without_confirmed_membership_sends_nothing_to_unknown_workers() {
    let mut proxy = SlowStart::new(at(0), "a", "edge-1", 1.5, 8.0);
    let may_send = |proxy: &mut SlowStart, ms| proxy.admits(at(ms), &unknown(2.9));
    for ms in [0, 100, 5_000] {
        assert!(!may_send(&mut proxy, ms), "after {ms} ms");
    }
    // The membership is known but not confirmed.
    proxy.set_membership(&members(&["edge-1".to_string(), "edge-2".to_string()]));
    assert!(!may_send(&mut proxy, 5_000));
    // Its share may be used once the membership is confirmed.
    proxy.on_membership_confirmed(at(5_100));
    assert!(may_send(&mut proxy, 5_100));
    // A membership that was not confirmed for long may have been replaced.
    let valid_ms = MEMBERSHIP_VALIDITY.nanos() / 1_000_000;
    assert!(may_send(&mut proxy, 5_099 + valid_ms));
    assert!(!may_send(&mut proxy, 5_100 + valid_ms));
}

/// The previous process may have used its permits just before a restart.
#[test]
fn restarted_proxy_waits_before_using_permits() {
    let mut proxy = SlowStart::new(at(0), "a", "edge-1", 1.5, 8.0);
    proxy.set_membership(&members(&["edge-1".to_string()]));
    proxy.on_membership_confirmed(at(10));
    assert!(!proxy.admits(at(999), &unknown(6.0)));
    assert!(proxy.admits(at(1_000), &unknown(6.0)));
}

/// A worker that is known to be warming up receives requests from its own zone only.
#[test]
fn proxy_of_another_zone_sends_nothing_to_warming_workers() {
    let of = |zone: &str| (0..4).map(|n| format!("edge-{zone}-{n}")).collect::<Vec<_>>();
    let membership = ProxyMembership::new(1, ["a", "b"].map(|zone| (zone.to_string(), of(zone))).into());
    let mut proxy = SlowStart::new(Time::default(), "b", "edge-b-0", 1.5, 24.0);
    proxy.set_membership(&membership);
    proxy.on_membership_confirmed(START);
    let warming = WarmUpQuery { state: WarmUpState::Warming, ..unknown(6.0) };
    assert!(!proxy.admits(at(0), &warming));
    assert!(!proxy.may_hand_over(at(0), &warming, at(0)));
    // The four proxies of zone b share 8 of the 33 permits of a worker in unknown state.
    let mut sent = 0;
    while proxy.admits(at(0), &unknown(6.0)) {
        proxy.spend(at(0), &unknown(6.0));
        sent += 1;
    }
    assert_eq!(sent, 1, "at once");
    assert!(proxy.admits(at(2_000), &unknown(6.0)));
}
