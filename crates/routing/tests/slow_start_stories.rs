//! Drawn stories of one zone's proxies and a cold worker: proxies restart in series, join, are cut off, hear of changes
//! late and know different things of the worker; leaders change. Whatever happens, the worker gets no more in any second
//! than it may.

use arbtest::arbitrary::{Result, Unstructured};
use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_control_state::membership_planner::{MAX_CONFIRMATION_AGE, MembershipPlanner};
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_routing::slow_start::{SlowStart, WarmUpQuery, WarmUpState};

const OVERSHOOT: f64 = 1.5;
/// Proxies are asked this often.
const STEP: Span = Span::from_millis(20);
/// Questions in a story, over all its proxies.
const QUESTIONS: usize = 120_000;
const HEARTBEAT: Span = Span::from_millis(1_000);
const ZONES: [&str; 2] = ["a", "b"];
/// The longest time from a pick to its hand-over.
const MAX_HAND_OVER_MS: u64 = 2_500;

/// One machine with its proxy.
struct Proxy {
    node: String,
    zone: &'static str,
    /// None while it is down.
    slow_start: Option<SlowStart>,
    down_until: Time,
    cut_until: Time,
    held: ProxyMembership,
    held_since: Time,
    heartbeat_at: Time,
    state: WarmUpState,
    /// Requests that are on their way to be handed over: when they were picked, and when they are.
    picked: Vec<(Time, Time)>,
}

impl Proxy {
    fn start(&mut self, now: Time, slack: f64, held: ProxyMembership) {
        let mut slow_start = SlowStart::new(now, self.zone, &self.node, OVERSHOOT, slack);
        slow_start.set_membership(&held);
        (self.slow_start, self.held, self.held_since) = (Some(slow_start), held, now);
        self.picked.clear();
    }

    fn take_over(&mut self, now: Time, newest: &ProxyMembership) {
        if self.held.revision < newest.revision {
            (self.held, self.held_since) = (newest.clone(), now);
            self.slow_start.iter_mut().for_each(|slow_start| slow_start.set_membership(newest));
        }
    }
}

struct Story<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    now: Time,
    rate: f64,
    slack: f64,
    proxies: Vec<Proxy>,
    planner: MembershipPlanner,
    /// All that were committed, each with its time.
    committed: Vec<(Time, ProxyMembership)>,
    /// When requests reached the worker.
    sent: Vec<Time>,
}

impl<'a, 'b> Story<'a, 'b> {
    fn draw(u: &'a mut Unstructured<'b>) -> Result<Story<'a, 'b>> {
        let now = Time::from_nanos(1_000_000_000_000);
        let (rate, slack) =
            *u.choose(&[(6.0, 8.0), (2.9, 8.0), (6.0, 10.0), (22.0, 5.0), (2.9, 5.0), (0.4, 0.9)])?;
        let most = *u.choose(&[1, 3, 20, 50, 300])?;
        let count = u.int_in_range(1..=most)?;
        let mut story = Story {
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
            story.add_proxy()?;
        }
        Ok(story)
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

    /// What happens at this step besides requests.
    fn disturb(&mut self) -> Result<()> {
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
                let hears = self.u.int_in_range(1..=3)?;
                self.proxies.iter_mut().step_by(hears).for_each(|proxy| proxy.state = state);
            }
            _ => {}
        }
        Ok(())
    }

    fn kill(&mut self, n: usize, down: Span) {
        self.proxies[n].slow_start = None;
        self.proxies[n].down_until = self.now + down;
    }

    /// Restarts, heartbeats and their answers, and the leader's planning.
    fn control(&mut self) -> Result<()> {
        let newest = self.newest().clone();
        for proxy in &mut self.proxies {
            if proxy.slow_start.is_none() && self.now >= proxy.down_until {
                // What a controller that lags behind gives it.
                let lag = self.u.int_in_range(1..=3)?.min(self.committed.len());
                let given = self.committed[self.committed.len() - lag].1.clone();
                proxy.start(self.now, self.slack, given);
            }
            let is_in_touch = proxy.slow_start.is_some() && self.now >= proxy.cut_until;
            if !is_in_touch || self.now < proxy.heartbeat_at {
                continue;
            }
            proxy.heartbeat_at = self.now + HEARTBEAT;
            let reported =
                if self.now - proxy.held_since >= MAX_CONFIRMATION_AGE { proxy.held.revision } else { 0 };
            self.planner.on_heartbeat(self.now, &proxy.node, proxy.zone, reported);
            if self.u.ratio(3, 4)? {
                proxy.take_over(self.now, &newest);
            }
            // A confirmation is true as of up to its age ago.
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

    /// Every proxy would send all the time.
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
                let way = if self.u.ratio(1, 8)? { self.u.int_in_range(0..=MAX_HAND_OVER_MS)? } else { 0 };
                proxy.picked.push((self.now, self.now + Span::from_millis(way)));
            }
        }
        Ok(())
    }

    fn play(&mut self) -> Result<()> {
        for step in 0..QUESTIONS / self.proxies.len().max(60) {
            // Leaders settle and first members are found undisturbed.
            if step > 200 {
                self.disturb()?;
            }
            self.control()?;
            self.send()?;
            self.now = self.now + STEP;
        }
        Ok(())
    }

    /// The most requests in any second.
    fn most(&self) -> usize {
        let count = |from: &Time| {
            let window =
                self.sent.iter().filter(|at| **at >= *from && **at < *from + Span::from_millis(1_000));
            window.count()
        };
        self.sent.iter().map(count).max().unwrap_or(0)
    }
}

/// How many stories are played, and how many random bytes each is drawn from.
const STORIES: u64 = 200;
const STORY_BYTES: usize = 1 << 19;

#[test]
fn a_cold_worker_gets_no_more_than_it_may_in_any_second_of_any_story() {
    let mut nearest = 0.0_f64;
    for seed in 0..STORIES {
        let mut rng = Rng::new(seed);
        let bytes: Vec<u8> = (0..STORY_BYTES).map(|_| rng.next_u32() as u8).collect();
        let mut unstructured = Unstructured::new(&bytes);
        let mut story = Story::draw(&mut unstructured).expect("enough bytes");
        let allowed = story.rate * OVERSHOOT + story.slack;
        // Where the bytes end, the story does.
        let _ = story.play();
        let most = story.most() as f64;
        let proxies = story.proxies.len();
        assert!(most <= allowed, "story {seed}: {most} in a second of {proxies} proxies, {allowed} allowed");
        nearest = nearest.max(most / allowed);
    }
    assert!(nearest > 0.9, "the stories come near the bound: {nearest}");
}
