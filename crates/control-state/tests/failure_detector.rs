//! Who speaks for the workers while a controller is cut off: three controllers and a proxy on a virtual
//! clock, the cuts by hand.

use std::collections::HashMap;

use lynxstair::types::{Span, Time};
use lynxstair_control_state::failure_detector::{FailureDetector, QuorumRole};
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_protocol::messages::{Instance, InstanceState};

const HEARTBEAT: Span = Span::from_millis(1_500);
const WORKERS: u64 = 9;
const CONTROLLERS: usize = 3;

fn at(ms: u64) -> Time {
    Time::from_nanos((100_000 + ms) * 1_000_000)
}

fn instance(worker: u64, seq: u64, standing: InstanceState) -> Instance {
    Instance {
        id: format!("i-{worker}"),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("one"),
        zone: "z".into(),
        capacity: 3,
        state: standing,
        warming_up_ms: 0,
        call_seq: seq,
        heartbeat_age_ms: 0,
        is_unconfirmed: false,
    }
}

/// Controllers, the proxies that hears all of them, and workers that each keep to the controller that
/// acknowledged them last.
struct Story {
    now: u64,
    controllers: Vec<FailureDetector>,
    /// How each stands, and which of them hear each other.
    contacts: [QuorumRole; CONTROLLERS],
    sides: [u8; CONTROLLERS],
    proxy: InstanceRegistry,
    homes: HashMap<u64, usize>,
    seqs: HashMap<u64, u64>,
    dead: Vec<u64>,
}

impl Story {
    fn new() -> Story {
        let contacts = [QuorumRole::Leader, QuorumRole::Follower, QuorumRole::Follower];
        let controllers = (0..CONTROLLERS)
            .map(|_| FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT))
            .collect();
        Story {
            now: 0,
            controllers,
            contacts,
            sides: [0; CONTROLLERS],
            proxy: InstanceRegistry::default(),
            homes: (0..WORKERS).map(|w| (w, w as usize % CONTROLLERS)).collect(),
            seqs: HashMap::new(),
            dead: Vec::new(),
        }
    }

    fn told(&mut self, instances: &[Instance]) {
        for instance in instances {
            self.proxy.update(at(self.now), instance);
        }
    }

    fn tell(&mut self, from: usize, instances: &[Instance], is_changed: bool) {
        for to in (0..CONTROLLERS).filter(|to| *to != from) {
            if self.sides[to] == self.sides[from] {
                let news = self.controllers[to].apply_updates(at(self.now), instances);
                if self.contacts[to] == QuorumRole::Leader {
                    self.told(&news);
                }
            }
        }
        if is_changed {
            self.told(instances);
        }
    }

    /// A worker calls one controller after the other until one acknowledges it.
    fn heartbeat(&mut self, worker: u64, standing: InstanceState) -> usize {
        for tried in 0..CONTROLLERS {
            let controller = (self.homes[&worker] + tried) % CONTROLLERS;
            let seq = self.seqs.entry(worker).or_default();
            *seq += 1;
            let said = instance(worker, *seq, standing);
            let answer = self.controllers[controller].record_heartbeat(at(self.now), &said);
            self.tell(controller, answer.instance.as_slice(), answer.is_changed);
            if answer.is_acknowledged {
                self.homes.insert(worker, controller);
                return controller;
            }
        }
        panic!("nobody acknowledges {worker} at {}", self.now);
    }

    fn play(&mut self, until: u64) {
        while self.now < until {
            self.now += 500;
            for controller in 0..CONTROLLERS {
                self.controllers[controller].set_quorum_role(at(self.now), self.contacts[controller]);
                let silent = self.controllers[controller].detect_unresponsive(at(self.now));
                self.tell(controller, &silent, true);
            }
            for worker in 0..WORKERS {
                if self.now % 1_500 == worker % 3 * 500 && !self.dead.contains(&worker) {
                    self.heartbeat(worker, InstanceState::Ready);
                }
            }
        }
    }

    fn on_the_road(&self, standing: InstanceState) -> usize {
        self.proxy.instances().values().filter(|k| k.state == standing).count()
    }
}

/// The day of the cut (control.md): one controller is cut off from the others for 20 s, and hears workers as
/// before. Each side used to declare those of the other silent, and the proxies dropped them all.
#[test]
fn an_isolated_controller_calls_nobody_unresponsive() {
    for cut_off in 0..CONTROLLERS {
        let mut story = Story::new();
        story.play(6_000);
        assert_eq!(story.on_the_road(InstanceState::Ready), WORKERS as usize);
        story.sides[cut_off] = 1;
        story.contacts[cut_off] = QuorumRole::Isolated;
        if cut_off == 0 {
            story.contacts[1] = QuorumRole::Leader;
        }
        story.dead.push(4);
        for until in (7..26).map(|s| s * 1_000) {
            story.play(until);
            assert!(story.on_the_road(InstanceState::Ready) >= WORKERS as usize - 1, "{cut_off}: at {until}");
        }
        assert_eq!(
            story.on_the_road(InstanceState::Unresponsive),
            1,
            "{cut_off}: who is dead is dropped all the same"
        );
        assert!(
            story.homes.iter().all(|(w, home)| *w == 4 || *home != cut_off),
            "the others found a controller"
        );
        story.sides[cut_off] = 0;
        story.contacts[cut_off] = QuorumRole::Follower;
        story.play(40_000);
        assert_eq!(story.on_the_road(InstanceState::Ready), WORKERS as usize - 1, "{cut_off}: and after it");
    }
}

/// A drain said to a controller that is cut off: the proxies hears of it, but it is acknowledged by one in
/// touch.
#[test]
fn a_drain_is_acknowledged_only_with_quorum_contact() {
    let mut story = Story::new();
    story.play(6_000);
    story.sides[2] = 1;
    story.contacts[2] = QuorumRole::Isolated;
    story.play(6_500);
    story.homes.insert(5, 2);
    assert_ne!(story.heartbeat(5, InstanceState::Draining), 2);
    assert_eq!(story.on_the_road(InstanceState::Draining), 1);
}

/// An end of a instance that a controller has never heard of can't be passed on: it is not acknowledged
/// there.
#[test]
fn a_deregistration_is_acknowledged_where_the_instance_is_known() {
    let mut detector = FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT);
    detector.set_quorum_role(at(0), QuorumRole::Follower);
    let answer = detector.deregister(at(0), "i-1");
    assert!(!answer.is_acknowledged && answer.instance.is_none());
    detector.apply_updates(at(100), &[instance(1, 4, InstanceState::Draining)]);
    for _ in 0..2 {
        let answer = detector.deregister(at(200), "i-1");
        assert!(
            answer.is_acknowledged && answer.instance.is_some_and(|l| l.state == InstanceState::Deregistered)
        );
    }
}

/// A new leader counts silence from when it began to lead: what was said to the one before may not have come
/// here. One that stood still counts anew.
#[test]
fn silence_counts_from_the_start_of_leadership() {
    let heartbeat_at = |detector: &mut FailureDetector, ms: u64, contact| {
        detector.set_quorum_role(at(ms), contact);
        detector.detect_unresponsive(at(ms)).len()
    };
    let mut detector = FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT);
    detector.record_heartbeat(at(0), &instance(1, 1, InstanceState::Ready));
    for ms in (500..20_000).step_by(500) {
        assert_eq!(
            heartbeat_at(&mut detector, ms, QuorumRole::Follower),
            0,
            "a follower says nobody is silent"
        );
    }
    for ms in (20_000..26_600).step_by(500) {
        assert_eq!(heartbeat_at(&mut detector, ms, QuorumRole::Leader), 0, "{ms}");
    }
    // It stands still for 12 s, and wakes as if it still led.
    assert_eq!(heartbeat_at(&mut detector, 38_500, QuorumRole::Leader), 0);
    for ms in (39_000..45_000).step_by(500) {
        assert_eq!(heartbeat_at(&mut detector, ms, QuorumRole::Leader), 0, "{ms}");
    }
    assert_eq!(heartbeat_at(&mut detector, 45_500, QuorumRole::Leader), 1);
    assert_eq!(heartbeat_at(&mut detector, 46_000, QuorumRole::Leader), 0, "said once");
}

/// Workers may have turned cold and found nobody to tell: after a controller was isolated for long, or stood
/// still, and in a zone whose evacuation has just ended, each instance is unconfirmed until it sends a
/// heartbeat.
#[test]
fn instances_are_unconfirmed_after_what_may_have_kept_workers_from_reporting() {
    let mut detector = FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT);
    let is_complete = |detector: &FailureDetector| detector.has_complete_view();
    detector.set_quorum_role(at(100), QuorumRole::Leader);
    detector.record_heartbeat(at(200), &instance(1, 1, InstanceState::Ready));
    assert!(is_complete(&detector));
    // Isolated: nothing is certain meanwhile; for a moment, and it is again.
    detector.set_quorum_role(at(300), QuorumRole::Isolated);
    assert!(detector.snapshot(at(300)).iter().all(|instance| instance.is_unconfirmed));
    assert!(!is_complete(&detector));
    detector.set_quorum_role(at(700), QuorumRole::Leader);
    assert!(is_complete(&detector));
    // For longer.
    detector.set_quorum_role(at(1_000), QuorumRole::Isolated);
    detector.set_quorum_role(at(2_000), QuorumRole::Leader);
    assert!(!is_complete(&detector));
    assert!(detector.record_heartbeat(at(2_100), &instance(1, 2, InstanceState::Ready)).is_changed);
    assert!(is_complete(&detector));
    // Stood still.
    detector.set_quorum_role(at(6_000), QuorumRole::Leader);
    assert!(!is_complete(&detector));
    detector.record_heartbeat(at(6_100), &instance(1, 3, InstanceState::Ready));
    assert!(is_complete(&detector));
    // The zone of the worker is taken back.
    detector.on_zone_restored("another");
    assert!(is_complete(&detector));
    detector.on_zone_restored("z");
    assert!(!is_complete(&detector));
    // A follower has no complete view, whatever it knows.
    detector.record_heartbeat(at(6_200), &instance(1, 4, InstanceState::Ready));
    detector.set_quorum_role(at(6_300), QuorumRole::Follower);
    assert!(!is_complete(&detector));
}
