//! Randomized simulation of the proxies of two zones and one warming worker. Proxies restart, join, lose
//! contact, receive changes late and have different knowledge of the worker; leaders change. The slow-start
//! limit must hold in any second.

use arbtest::arbitrary::{Result, Unstructured};
use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_control_state::membership_planner::{MAX_CONFIRMATION_AGE, MembershipPlanner};
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_routing::slow_start::{SlowStart, WarmUpQuery, WarmUpState};

const OVERSHOOT: f64 = 1.5;
/// Length of a simulation step.
const STEP: Span = Span::from_millis(20);
/// Steps of a simulation times its initial number of proxies, of which at least 60 are counted.
const MAX_PROXY_STEPS: usize = 120_000;
const HEARTBEAT: Span = Span::from_millis(1_000);
const ZONES: [&str; 2] = ["a", "b"];
/// Longest time from a pick to its hand-over.
const MAX_HAND_OVER_MS: u64 = 2_500;

/// One machine with its proxy.
struct Proxy {
    node: String,
    zone: &'static str,
    /// `None` while the process is down.
    slow_start: Option<SlowStart>,
    down_until: Time,
    /// End of the loss of contact with the controllers.
    cut_until: Time,
    held: ProxyMembership,
    held_since: Time,
    heartbeat_at: Time,
    state: WarmUpState,
    /// Requests that were picked but not handed over: times of the pick and of the hand-over.
    picked: Vec<(Time, Time)>,
}

impl Proxy {
    fn start(&mut self, now: Time, slack: f64, held: ProxyMembership) {
        let mut slow_start = SlowStart::new(now, self.zone, &self.node, OVERSHOOT, slack);
        slow_start.set_membership(&held);
        (self.slow_start, self.held, self.held_since) = (Some(slow_start), held, now);
        self.picked.clear();
    }

    fn adopt_membership(&mut self, now: Time, newest: &ProxyMembership) {
        if self.held.revision < newest.revision {
            (self.held, self.held_since) = (newest.clone(), now);
            self.slow_start.iter_mut().for_each(|slow_start| slow_start.set_membership(newest));
        }
    }
}

struct Simulation<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    now: Time,
    rate: f64,
    slack: f64,
    proxies: Vec<Proxy>,
    planner: MembershipPlanner,
    /// All committed memberships with their commit times.
    committed: Vec<(Time, ProxyMembership)>,
    /// Times at which requests were handed over to the worker.
    sent: Vec<Time>,
}

impl<'a, 'b> Simulation<'a, 'b> {
    fn random(u: &'a mut Unstructured<'b>) -> Result<Simulation<'a, 'b>> {
        let now = Time::from_nanos(1_000_000_000_000);
        let (rate, slack) =
            *u.choose(&[(6.0, 8.0), (2.9, 8.0), (6.0, 10.0), (22.0, 5.0), (2.9, 5.0), (0.4, 0.9)])?;
        let most = *u.choose(&[1, 3, 20, 50, 300])?;
        let count = u.int_in_range(1..=most)?;
        let mut simulation = Simulation {
            u,
            now,
            rate,
            slack,
            proxies: Vec::new(),
            planner: MembershipPlanner::default(),
            committed: vec![(now, ProxyMembership::default())],
            sent: Vec::new(),
        };
        for _ in 0..count {
            simulation.add_proxy()?;
        }
        Ok(simulation)
    }

    fn add_proxy(&mut self) -> Result<()> {
        let zone = if self.u.ratio(1, 5)? { ZONES[1] } else { ZONES[0] };
        let mut proxy = Proxy {
            node: format!("edge-{}", self.proxies.len()),
            zone,
            slow_start: None,
            down_until: self.now,
            cut_until: self.now,
            held: ProxyMembership::default(),
            held_since: self.now,
            heartbeat_at: self.now + Span::from_millis(self.u.int_in_range(0..=1_000)?),
            state: WarmUpState::Warming,
            picked: Vec::new(),
        };
        proxy.start(self.now, self.slack, ProxyMembership::default());
        self.proxies.push(proxy);
        Ok(())
    }

    fn newest(&self) -> &ProxyMembership {
        &self.committed[self.committed.len() - 1].1
    }

    /// Injects at most one random fault.
    fn inject_fault(&mut self) -> Result<()> {
        let n = self.u.choose_index(self.proxies.len())?;
        let span = Span::from_millis(*self.u.choose(&[50, 400, 1_500, 4_000])?);
        match self.u.int_in_range(0..=40)? {
            0 => self.kill(n, span),
            1 => self.proxies[n].cut_until = self.now + span,
            2 => self.proxies.iter_mut().for_each(|proxy| proxy.cut_until = self.now + span),
            3 => (0..self.proxies.len()).for_each(|n| self.kill(n, span)),
            4 if self.proxies.len() < 320 => self.add_proxy()?,
            5 => self.planner = MembershipPlanner::default(),
            6 | 7 => {
                let state = if self.u.arbitrary()? { WarmUpState::Unknown } else { WarmUpState::Warming };
                let interval = self.u.int_in_range(1..=3)?;
                self.proxies.iter_mut().step_by(interval).for_each(|proxy| proxy.state = state);
            }
            _ => {}
        }
        Ok(())
    }

    fn kill(&mut self, n: usize, down: Span) {
        self.proxies[n].slow_start = None;
        self.proxies[n].down_until = self.now + down;
    }

    /// Runs restarts, heartbeats and the leader's membership planning.
    fn control(&mut self) -> Result<()> {
        let newest = self.newest().clone();
        for proxy in &mut self.proxies {
            if proxy.slow_start.is_none() && self.now >= proxy.down_until {
                // A controller that lags behind provides an older membership.
                let lag = self.u.int_in_range(1..=3)?.min(self.committed.len());
                let given = self.committed[self.committed.len() - lag].1.clone();
                proxy.start(self.now, self.slack, given);
            }
            let has_contact = proxy.slow_start.is_some() && self.now >= proxy.cut_until;
            if !has_contact || self.now < proxy.heartbeat_at {
                continue;
            }
            proxy.heartbeat_at = self.now + HEARTBEAT;
            let reported =
                if self.now - proxy.held_since >= MAX_CONFIRMATION_AGE { proxy.held.revision } else { 0 };
            self.planner.on_heartbeat(self.now, &proxy.node, proxy.zone, reported);
            if self.u.ratio(3, 4)? {
                proxy.adopt_membership(self.now, &newest);
            }
            // A confirmation may be up to `MAX_CONFIRMATION_AGE` old.
            let age = MAX_CONFIRMATION_AGE.nanos() / 1_000_000;
            let as_of = self.now.saturating_sub(Span::from_millis(self.u.int_in_range(0..=age)?));
            let known = self.committed.iter().rev().find(|(at, _)| *at <= as_of);
            if known.is_none_or(|(_, known)| known.revision <= proxy.held.revision)
                && let Some(slow_start) = &mut proxy.slow_start
            {
                slow_start.on_membership_confirmed(self.now);
            }
        }
        if let Some(mut planned) = self.planner.plan(self.now, true, &newest) {
            planned.revision = newest.revision + 1;
            self.committed.push((self.now, planned));
        }
        Ok(())
    }

    /// Hands over due requests and picks the worker once for each proxy, if permitted.
    fn send(&mut self) -> Result<()> {
        for proxy in &mut self.proxies {
            let Some(slow_start) = &mut proxy.slow_start else { continue };
            let query = WarmUpQuery { worker: "i-1", zone: ZONES[0], rate: self.rate, state: proxy.state };
            let due = proxy.picked.iter().filter(|(_, at)| *at <= self.now);
            let handed_over =
                due.filter(|(picked_at, _)| slow_start.may_hand_over(self.now, &query, *picked_at));
            self.sent.extend(handed_over.map(|_| self.now));
            proxy.picked.retain(|(_, at)| *at > self.now);
            if slow_start.admits(self.now, &query) {
                slow_start.spend(self.now, &query);
                let delay_ms =
                    if self.u.ratio(1, 8)? { self.u.int_in_range(0..=MAX_HAND_OVER_MS)? } else { 0 };
                proxy.picked.push((self.now, self.now + Span::from_millis(delay_ms)));
            }
        }
        Ok(())
    }

    fn run(&mut self) -> Result<()> {
        for step in 0..MAX_PROXY_STEPS / self.proxies.len().max(60) {
            // No faults until the first members are planned.
            if step > 200 {
                self.inject_fault()?;
            }
            self.control()?;
            self.send()?;
            self.now = self.now + STEP;
        }
        Ok(())
    }

    /// Returns the largest number of requests in any second.
    fn max_in_a_second(&self) -> usize {
        let count = |from: &Time| {
            let window =
                self.sent.iter().filter(|at| **at >= *from && **at < *from + Span::from_millis(1_000));
            window.count()
        };
        self.sent.iter().map(count).max().unwrap_or(0)
    }
}

/// Number of simulations, and random bytes for each.
const SIMULATIONS: u64 = 200;
const BYTES_PER_SIMULATION: usize = 1 << 19;

#[test]
fn warming_worker_receives_no_more_than_the_limit_in_any_second() {
    let mut nearest = 0.0_f64;
    for seed in 0..SIMULATIONS {
        let mut rng = Rng::new(seed);
        let bytes: Vec<u8> = (0..BYTES_PER_SIMULATION).map(|_| rng.next_u32() as u8).collect();
        let mut random_bytes = Unstructured::new(&bytes);
        let mut simulation = Simulation::random(&mut random_bytes).expect("enough bytes");
        let allowed = simulation.rate * OVERSHOOT + simulation.slack;
        // A simulation ends when its random bytes are used up.
        let _ = simulation.run();
        let most = simulation.max_in_a_second() as f64;
        let proxies = simulation.proxies.len();
        assert!(
            most <= allowed,
            "simulation {seed}: {most} in a second of {proxies} proxies, {allowed} allowed"
        );
        nearest = nearest.max(most / allowed);
    }
    assert!(nearest > 0.9, "no simulation comes near the limit: {nearest}");
}
