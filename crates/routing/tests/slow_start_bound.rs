//! What one cold worker gets from all proxies of its zone together, in any second, whatever their number.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_routing::slow_start::{SlowStart, WarmUpQuery, WarmUpState};

/// Each proxy asks all the time for so long, in milliseconds.
const STORY_MS: u64 = 6_000;

/// The most requests in any second, of times in milliseconds.
fn most_in_a_second(sent: &[u64]) -> usize {
    let count = |from: &u64| sent.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    sent.iter().map(count).max().unwrap_or(0)
}

/// Zones of mama-kapi-grown with and without their spare machines, of zwrotnik-lynx-grown, of the large site and of small
/// ones: rate, slack, proxies.
const ZONES: [(f64, f64, u32); 7] = [
    (6.0, 8.0, 16),
    (6.0, 8.0, 19),
    (2.9, 8.0, 22),
    (6.0, 10.0, 49),
    (22.0, 8.0, 300),
    (2.9, 5.0, 3),
    (22.0, 5.0, 2),
];
const OVERSHOOT: f64 = 1.5;

fn at(ms: u64) -> Time {
    Time::from_nanos(10_000_000_000) + Span::from_millis(ms)
}

fn names(proxies: u32) -> Vec<String> {
    (0..proxies).map(|n| format!("edge-{n}")).collect()
}

/// The proxies of a zone, begun a while ago and in touch with the controllers.
fn zone(slack: f64, proxies: u32) -> Vec<SlowStart> {
    let membership = ProxyMembership::new(1, [("a".to_string(), names(proxies))].into());
    let begun = |name: &String| {
        let mut slow_start = SlowStart::new(Time::default(), "a", name, OVERSHOOT, slack);
        slow_start.set_membership(&membership);
        slow_start.on_membership_confirmed(at(0));
        slow_start
    };
    names(proxies).iter().map(begun).collect()
}

fn query(rate: f64, state: WarmUpState) -> WarmUpQuery<'static> {
    WarmUpQuery { worker: "i-1", zone: "a", rate, state }
}

/// Sends a request if it may; returns whether it did.
fn ask(slow_start: &mut SlowStart, now: Time, query: &WarmUpQuery) -> bool {
    if !slow_start.admits(now, query) {
        return false;
    }
    slow_start.spend(now, query);
    slow_start.may_hand_over(now, query, now)
}

/// All proxies ask all the time; what they send, in milliseconds. `state`: what is known at a time.
fn pressing(rate: f64, slack: f64, proxies: u32, state: impl Fn(u64) -> WarmUpState) -> Vec<u64> {
    let mut zone = zone(slack, proxies);
    let mut sent = Vec::new();
    for ms in (0..STORY_MS).step_by(5) {
        let query = query(rate, state(ms));
        let sending = zone.iter_mut().filter_map(|proxy| ask(proxy, at(ms), &query).then_some(ms));
        sent.extend(sending);
    }
    sent
}

/// All proxies hear of a cold worker in the same instant and have more requests than it takes.
#[test]
fn proxies_that_hear_of_a_cold_worker_at_once_keep_to_what_it_may_get() {
    for (rate, slack, proxies) in ZONES {
        let allowed = rate * OVERSHOOT + slack;
        let most = most_in_a_second(&pressing(rate, slack, proxies, |_| WarmUpState::Warming));
        assert!(most as f64 <= allowed, "{most} in a second of {proxies} proxies, {allowed} allowed");
    }
}

/// They know that it warms up, then do not know, then know again: one budget, not one for each.
#[test]
fn what_is_known_of_a_worker_may_change_without_another_budget() {
    let changing = |ms: u64| {
        if (ms / 700).is_multiple_of(2) { WarmUpState::Unknown } else { WarmUpState::Warming }
    };
    for (rate, slack, proxies) in ZONES {
        let allowed = rate * OVERSHOOT + slack;
        let most = most_in_a_second(&pressing(rate, slack, proxies, changing));
        assert!(most as f64 <= allowed, "{most} in a second of {proxies} proxies, {allowed} allowed");
    }
}

/// With all in touch and ten times the traffic that it bears, a cold worker gets 0.8 of its rate.
#[test]
fn a_cold_worker_gets_most_of_its_rate() {
    const SECONDS: u64 = 40;
    const PRESSURE: f64 = 10.0;
    for (rate, slack, proxies) in ZONES {
        let mut zone = zone(slack, proxies);
        let gap_ms = (1_000.0 * f64::from(proxies) / (rate * PRESSURE)) as u64;
        let mut sent = 0;
        for ms in 0..SECONDS * 1_000 {
            // Each proxy has requests at times of its own.
            for n in (0..zone.len()).filter(|n| (ms + *n as u64 * 37).is_multiple_of(gap_ms)) {
                sent += usize::from(ask(&mut zone[n], at(ms), &query(rate, WarmUpState::Warming)));
            }
        }
        let wanted = 0.8 * rate * SECONDS as f64;
        assert!(sent as f64 >= wanted, "{sent} in {SECONDS} s of {proxies} proxies, {wanted} wanted");
    }
}

/// A request was picked while the worker was warm, and its connection took long to come up: at the hand-over the worker is
/// cold, and the proxy's permits are taken.
#[test]
fn a_request_that_was_picked_before_its_worker_turned_cold_needs_a_permit_as_well() {
    let mut zone = zone(8.0, 17);
    let (warm, cold) = (query(6.0, WarmUpState::Warm), query(6.0, WarmUpState::Warming));
    for proxy in &mut zone {
        assert!(proxy.admits(at(0), &warm));
        proxy.spend(at(0), &warm);
        assert!(proxy.may_hand_over(at(400), &cold, at(0)), "its one permit is free");
        assert!(!proxy.may_hand_over(at(500), &cold, at(0)), "it is taken");
        assert!(proxy.may_hand_over(at(1_600), &cold, at(0)), "and free again a second later");
    }
}
