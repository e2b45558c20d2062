//! Requests in any second to one warming worker from all proxies of its zone together.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_routing::slow_start::{SlowStart, WarmUpQuery, WarmUpState};

/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 6_000;

/// Largest number of requests in any second. `sent`: times in milliseconds.
fn max_in_a_second(sent: &[u64]) -> usize {
    let count = |from: &u64| sent.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    sent.iter().map(count).max().unwrap_or(0)
}

/// Rate, slack and number of proxies of zones of various sizes.
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

/// The proxies of a zone, past their start-up delay and with a confirmed membership.
fn zone(slack: f64, proxies: u32) -> Vec<SlowStart> {
    let membership = ProxyMembership::new(1, [("a".to_string(), names(proxies))].into());
    let started = |name: &String| {
        let mut slow_start = SlowStart::new(Time::default(), "a", name, OVERSHOOT, slack);
        slow_start.set_membership(&membership);
        slow_start.on_membership_confirmed(at(0));
        slow_start
    };
    names(proxies).iter().map(started).collect()
}

fn query(rate: f64, state: WarmUpState) -> WarmUpQuery<'static> {
    WarmUpQuery { worker: "i-1", zone: "a", rate, state }
}

/// Sends a request if permitted. Returns `true` if it was sent.
fn try_send(slow_start: &mut SlowStart, now: Time, query: &WarmUpQuery) -> bool {
    if !slow_start.admits(now, query) {
        return false;
    }
    slow_start.spend(now, query);
    slow_start.may_hand_over(now, query, now)
}

/// Returns the times, in milliseconds, of requests from proxies that always have one to send. `state`
/// returns the state of the worker at a time.
fn run_saturated(rate: f64, slack: f64, proxies: u32, state: impl Fn(u64) -> WarmUpState) -> Vec<u64> {
    let mut zone = zone(slack, proxies);
    let mut sent = Vec::new();
    for ms in (0..RUN_MS).step_by(5) {
        let query = query(rate, state(ms));
        let sending = zone.iter_mut().filter_map(|proxy| try_send(proxy, at(ms), &query).then_some(ms));
        sent.extend(sending);
    }
    sent
}

/// All proxies learn of a warming worker at the same time and have more requests than it can take.
#[test]
fn proxies_that_learn_of_a_warming_worker_together_keep_the_limit() {
    for (rate, slack, proxies) in ZONES {
        let allowed = rate * OVERSHOOT + slack;
        let most = max_in_a_second(&run_saturated(rate, slack, proxies, |_| WarmUpState::Warming));
        assert!(most as f64 <= allowed, "{most} in a second of {proxies} proxies, {allowed} allowed");
    }
}

/// Proxies whose knowledge of a worker alternates use one budget, not one for each state.
#[test]
fn changing_knowledge_of_a_worker_grants_no_second_budget() {
    let changing = |ms: u64| {
        if (ms / 700).is_multiple_of(2) { WarmUpState::Unknown } else { WarmUpState::Warming }
    };
    for (rate, slack, proxies) in ZONES {
        let allowed = rate * OVERSHOOT + slack;
        let most = max_in_a_second(&run_saturated(rate, slack, proxies, changing));
        assert!(most as f64 <= allowed, "{most} in a second of {proxies} proxies, {allowed} allowed");
    }
}

/// A warming worker receives at least 0.8 of its rate under ten times that load.
#[test]
fn warming_worker_receives_most_of_its_rate() {
    const SECONDS: u64 = 40;
    const OVERLOAD_FACTOR: f64 = 10.0;
    for (rate, slack, proxies) in ZONES {
        let mut zone = zone(slack, proxies);
        let gap_ms = (1_000.0 * f64::from(proxies) / (rate * OVERLOAD_FACTOR)) as u64;
        let mut sent = 0;
        for ms in 0..SECONDS * 1_000 {
            // Requests arrive at different times at each proxy.
            for n in (0..zone.len()).filter(|n| (ms + *n as u64 * 37).is_multiple_of(gap_ms)) {
                sent += usize::from(try_send(&mut zone[n], at(ms), &query(rate, WarmUpState::Warming)));
            }
        }
        let expected = 0.8 * rate * SECONDS as f64;
        assert!(sent as f64 >= expected, "{sent} in {SECONDS} s of {proxies} proxies, {expected} expected");
    }
}

/// A request picked while the worker was warm needs a permit if the worker is warming up at the hand-over.
#[test]
fn request_picked_before_the_warm_up_needs_a_permit() {
    let mut zone = zone(8.0, 17);
    let (warm, warming) = (query(6.0, WarmUpState::Warm), query(6.0, WarmUpState::Warming));
    for proxy in &mut zone {
        assert!(proxy.admits(at(0), &warm));
        proxy.spend(at(0), &warm);
        assert!(proxy.may_hand_over(at(400), &warming, at(0)), "the only permit is free");
        assert!(!proxy.may_hand_over(at(500), &warming, at(0)), "the permit is taken");
        assert!(proxy.may_hand_over(at(1_600), &warming, at(0)), "the permit is free after the window");
    }
}
