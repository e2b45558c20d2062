//! Failure detection during a network partition: three controllers, a proxy and workers on a virtual clock.

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

fn instance(worker: u64, seq: u64, state: InstanceState) -> Instance {
    Instance {
        id: format!("i-{worker}"),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("one"),
        zone: "z".into(),
        capacity: 3,
        state,
        warming_up_ms: 0,
        call_seq: seq,
        heartbeat_age_ms: 0,
        is_unconfirmed: false,
    }
}

/// Controllers, a proxy that is connected to all of them, and workers that each call the controller that
/// last acknowledged them.
struct Simulation {
    now: u64,
    controllers: Vec<FailureDetector>,
    quorum_roles: [QuorumRole; CONTROLLERS],
    /// Side of the partition of each controller. Controllers on the same side are connected.
    sides: [u8; CONTROLLERS],
    proxy: InstanceRegistry,
    /// The controller that last acknowledged each worker.
    last_controller: HashMap<u64, usize>,
    seqs: HashMap<u64, u64>,
    failed: Vec<u64>,
}

impl Simulation {
    fn new() -> Simulation {
        let quorum_roles = [QuorumRole::Leader, QuorumRole::Follower, QuorumRole::Follower];
        let controllers = (0..CONTROLLERS)
            .map(|_| FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT))
            .collect();
        Simulation {
            now: 0,
            controllers,
            quorum_roles,
            sides: [0; CONTROLLERS],
            proxy: InstanceRegistry::default(),
            last_controller: (0..WORKERS).map(|w| (w, w as usize % CONTROLLERS)).collect(),
            seqs: HashMap::new(),
            failed: Vec::new(),
        }
    }

    fn update_proxy(&mut self, instances: &[Instance]) {
        for instance in instances {
            self.proxy.update(at(self.now), instance);
        }
    }

    fn broadcast(&mut self, from: usize, instances: &[Instance], is_changed: bool) {
        for to in (0..CONTROLLERS).filter(|to| *to != from) {
            if self.sides[to] == self.sides[from] {
                let changed = self.controllers[to].apply_updates(at(self.now), instances);
                if self.quorum_roles[to] == QuorumRole::Leader {
                    self.update_proxy(&changed);
                }
            }
        }
        if is_changed {
            self.update_proxy(instances);
        }
    }

    /// A worker calls one controller after the other until one acknowledges the heartbeat. Returns that
    /// controller.
    fn heartbeat(&mut self, worker: u64, state: InstanceState) -> usize {
        for attempt in 0..CONTROLLERS {
            let controller = (self.last_controller[&worker] + attempt) % CONTROLLERS;
            let seq = self.seqs.entry(worker).or_default();
            *seq += 1;
            let heartbeat = instance(worker, *seq, state);
            let outcome = self.controllers[controller].record_heartbeat(at(self.now), &heartbeat);
            self.broadcast(controller, outcome.instance.as_slice(), outcome.is_changed);
            if outcome.is_acknowledged {
                self.last_controller.insert(worker, controller);
                return controller;
            }
        }
        panic!("no controller acknowledges worker {worker} at {}", self.now);
    }

    fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.now += 500;
            for controller in 0..CONTROLLERS {
                self.controllers[controller].set_quorum_role(at(self.now), self.quorum_roles[controller]);
                let unresponsive = self.controllers[controller].detect_unresponsive(at(self.now));
                self.broadcast(controller, &unresponsive, true);
            }
            for worker in 0..WORKERS {
                if self.now % 1_500 == worker % 3 * 500 && !self.failed.contains(&worker) {
                    self.heartbeat(worker, InstanceState::Ready);
                }
            }
        }
    }

    fn count_at_proxy(&self, state: InstanceState) -> usize {
        self.proxy.instances().values().filter(|instance| instance.state == state).count()
    }
}

/// A controller is partitioned from the others for 20 s but still reachable for workers. Neither side may
/// report the workers of the other side as unresponsive.
#[test]
fn an_isolated_controller_detects_no_unresponsive_instances() {
    for isolated in 0..CONTROLLERS {
        let mut simulation = Simulation::new();
        simulation.run_until(6_000);
        assert_eq!(simulation.count_at_proxy(InstanceState::Ready), WORKERS as usize);
        simulation.sides[isolated] = 1;
        simulation.quorum_roles[isolated] = QuorumRole::Isolated;
        if isolated == 0 {
            simulation.quorum_roles[1] = QuorumRole::Leader;
        }
        simulation.failed.push(4);
        for until in (7..26).map(|s| s * 1_000) {
            simulation.run_until(until);
            assert!(
                simulation.count_at_proxy(InstanceState::Ready) >= WORKERS as usize - 1,
                "{isolated}: at {until}"
            );
        }
        assert_eq!(
            simulation.count_at_proxy(InstanceState::Unresponsive),
            1,
            "{isolated}: the failed worker is unresponsive"
        );
        assert!(
            simulation
                .last_controller
                .iter()
                .all(|(worker, controller)| *worker == 4 || *controller != isolated),
            "the other workers call a controller with quorum contact"
        );
        simulation.sides[isolated] = 0;
        simulation.quorum_roles[isolated] = QuorumRole::Follower;
        simulation.run_until(40_000);
        assert_eq!(
            simulation.count_at_proxy(InstanceState::Ready),
            WORKERS as usize - 1,
            "{isolated}: after the partition"
        );
    }
}

/// A drain reported to an isolated controller reaches the proxy, but only a controller with quorum contact
/// acknowledges it.
#[test]
fn a_drain_is_acknowledged_only_with_quorum_contact() {
    let mut simulation = Simulation::new();
    simulation.run_until(6_000);
    simulation.sides[2] = 1;
    simulation.quorum_roles[2] = QuorumRole::Isolated;
    simulation.run_until(6_500);
    simulation.last_controller.insert(5, 2);
    assert_ne!(simulation.heartbeat(5, InstanceState::Draining), 2);
    assert_eq!(simulation.count_at_proxy(InstanceState::Draining), 1);
}

/// A controller that does not know an instance cannot pass its deregistration on, so it does not acknowledge
/// it.
#[test]
fn a_deregistration_is_acknowledged_only_if_the_instance_is_known() {
    let mut detector = FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT);
    detector.set_quorum_role(at(0), QuorumRole::Follower);
    let outcome = detector.deregister(at(0), "i-1");
    assert!(!outcome.is_acknowledged && outcome.instance.is_none());
    detector.apply_updates(at(100), &[instance(1, 4, InstanceState::Draining)]);
    for _ in 0..2 {
        let outcome = detector.deregister(at(200), "i-1");
        assert!(
            outcome.is_acknowledged
                && outcome.instance.is_some_and(|instance| instance.state == InstanceState::Deregistered)
        );
    }
}

/// A new leader counts silence from the start of its leadership, as it may not have received heartbeats sent
/// to the previous leader. The count restarts after a pause of its process.
#[test]
fn silence_counts_from_the_start_of_leadership() {
    let detect_at = |detector: &mut FailureDetector, ms: u64, quorum_role| {
        detector.set_quorum_role(at(ms), quorum_role);
        detector.detect_unresponsive(at(ms)).len()
    };
    let mut detector = FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT);
    detector.record_heartbeat(at(0), &instance(1, 1, InstanceState::Ready));
    for ms in (500..20_000).step_by(500) {
        assert_eq!(detect_at(&mut detector, ms, QuorumRole::Follower), 0, "a follower detects nothing");
    }
    for ms in (20_000..26_600).step_by(500) {
        assert_eq!(detect_at(&mut detector, ms, QuorumRole::Leader), 0, "{ms}");
    }
    // The process is paused for 12 s and still considers itself the leader.
    assert_eq!(detect_at(&mut detector, 38_500, QuorumRole::Leader), 0);
    for ms in (39_000..45_000).step_by(500) {
        assert_eq!(detect_at(&mut detector, ms, QuorumRole::Leader), 0, "{ms}");
    }
    assert_eq!(detect_at(&mut detector, 45_500, QuorumRole::Leader), 1);
    assert_eq!(detect_at(&mut detector, 46_000, QuorumRole::Leader), 0, "reported once");
}

/// After an isolation or a pause of the controller, and in a zone whose evacuation has ended, workers may be
/// warming up without having reported it: each instance is unconfirmed until its next heartbeat.
#[test]
fn instances_are_unconfirmed_after_an_isolation_a_pause_or_an_evacuation() {
    let mut detector = FailureDetector::new(at(0), InstanceRegistry::default(), HEARTBEAT);
    let is_complete = |detector: &FailureDetector| detector.has_complete_view();
    detector.set_quorum_role(at(100), QuorumRole::Leader);
    detector.record_heartbeat(at(200), &instance(1, 1, InstanceState::Ready));
    assert!(is_complete(&detector));
    // A short isolation: instances are unconfirmed only meanwhile.
    detector.set_quorum_role(at(300), QuorumRole::Isolated);
    assert!(detector.snapshot(at(300)).iter().all(|instance| instance.is_unconfirmed));
    assert!(!is_complete(&detector));
    detector.set_quorum_role(at(700), QuorumRole::Leader);
    assert!(is_complete(&detector));
    // A longer isolation.
    detector.set_quorum_role(at(1_000), QuorumRole::Isolated);
    detector.set_quorum_role(at(2_000), QuorumRole::Leader);
    assert!(!is_complete(&detector));
    assert!(detector.record_heartbeat(at(2_100), &instance(1, 2, InstanceState::Ready)).is_changed);
    assert!(is_complete(&detector));
    // A pause.
    detector.set_quorum_role(at(6_000), QuorumRole::Leader);
    assert!(!is_complete(&detector));
    detector.record_heartbeat(at(6_100), &instance(1, 3, InstanceState::Ready));
    assert!(is_complete(&detector));
    // The evacuation of the worker's zone ends.
    detector.on_zone_restored("another");
    assert!(is_complete(&detector));
    detector.on_zone_restored("z");
    assert!(!is_complete(&detector));
    // A follower never has a complete view.
    detector.record_heartbeat(at(6_200), &instance(1, 4, InstanceState::Ready));
    detector.set_quorum_role(at(6_300), QuorumRole::Follower);
    assert!(!is_complete(&detector));
}
