//! Deterministic simulation of the controllers and the configuration state of the proxies on a virtual
//! clock. Operators and workers send calls while faults are injected into machines, disks, clocks and
//! links. A checker verifies the recorded history.
//!
//! A scenario and a seed determine the whole run. `docs/design/model.md` describes what the model covers.

mod checker;
mod controller;
mod deliberate_fault;
mod disk;
mod faults;
pub mod linearizability;
mod links;
mod operator;
mod proxy;
mod worker;
mod world;

use lynxstair::types::{Span, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use checker::{Broken, Check};
pub use deliberate_fault::DeliberateFault;
pub use faults::Scenario;

use checker::CONTACT_TIME;
use operator::OperatorTask;
use world::{PROXY_COUNT, World, ms};

pub(crate) const ZONES: [&str; 2] = ["z1", "z2"];
/// Time within which open calls must be answered, once the contact time after the last fault is over.
const OPEN_CALLS_TIMEOUT: Span = Span::from_millis(3_000);
/// Time for which the simulation goes on after the final calls, so that pending time-outs take effect.
const FINAL_OBSERVATION_TIME: Span = Span::from_millis(9_000);

/// Result of a simulated scenario.
#[derive(Clone, Debug)]
pub struct SimulationResult {
    /// Violated properties, with the first violation of each.
    pub violations: Vec<Broken>,
    /// Number of acknowledgements of changes, including those of repeated changes.
    pub acknowledged: usize,
    /// Number of changes and reads sent, including retries.
    pub call_count: usize,
    /// Number of simulated events.
    pub event_count: u64,
    /// Simulated time.
    pub duration: Span,
    /// Injected faults and the final state of each controller, for debugging.
    pub event_log: Vec<String>,
}

impl SimulationResult {
    /// Returns `true` if this property was violated.
    pub fn violates(&self, check: Check) -> bool {
        self.violations.iter().any(|v| v.judge == check)
    }
}

/// Runs one scenario, with an optional fault in the simulated system itself.
pub fn simulate(scenario: Scenario, seed: u64, fault: Option<DeliberateFault>) -> SimulationResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x636f_7265);
    let (controllers, tolerated_disk_losses) = scenario.size(&mut rng);
    let (faults, faults_end_ms) = scenario.plan(&mut rng);
    let mut world = World::new(rng.random(), controllers, tolerated_disk_losses, fault);
    world.ignores_fault_budget = scenario == Scenario::VoteThenPower;
    for (at, fault) in faults {
        world.schedule_fault(ms(at), fault);
    }
    world.schedule_end_of_faults(ms(faults_end_ms));
    world.run(ms(faults_end_ms) + CONTACT_TIME);
    let last_read_at = check_recovery(&mut world);
    world.run(FINAL_OBSERVATION_TIME);
    let read = world.checker.calls.iter().rev().find_map(|c| match c.output {
        linearizability::CallOutput::Holds(version) if c.sent_at >= last_read_at => Some(version),
        _ => None,
    });
    let now = world.now;
    world.checker.check_history(now, read);
    world.log_controller_states();
    let acknowledged = world.checker.acknowledged.len();
    SimulationResult {
        violations: world.checker.violations,
        acknowledged,
        call_count: world.checker.calls.len(),
        event_count: world.event_count,
        duration: now - world.began_at,
        event_log: world.event_log,
    }
}

/// Checks that the system has recovered once the contact time after the last fault is over. Returns the
/// time at which the last read of the configuration is sent.
fn check_recovery(world: &mut World) -> Time {
    world.is_final_phase = true;
    let began = world.now;
    let acknowledged_before = world.checker.acknowledged.len();
    // Open tasks end first; then one operator reads, changes and reads the configuration.
    let operator = world.operators.len() - 1;
    world.run(OPEN_CALLS_TIMEOUT);
    let open = world.operators.iter().filter(|o| !matches!(o.task, OperatorTask::Idle)).count();
    let now = world.now;
    if open > 0 {
        world.checker.report(now, Check::WayForward, || format!("{open} operators have no definite answer"));
    }
    world.start_final_read(operator);
    world.run(ms(1_500));
    world.start_final_change(operator);
    world.run(ms(2_500));
    world.start_final_read(operator);
    world.run(ms(1_500));
    let now = world.now;
    if world.checker.acknowledged.len() == acknowledged_before || !world.has_answered_read_since(began) {
        world.checker.report(now, Check::WayForward, || "no change or no read was answered".to_string());
    }
    for proxy in 0..PROXY_COUNT {
        let (is_fresh, active) = world.proxy_status(proxy);
        let newest = world.checker.acknowledged.iter().map(|(_, v)| *v).max();
        if !is_fresh || active != newest {
            let what =
                || format!("proxy {proxy} uses {active:?}, fresh {is_fresh}; the newest is {newest:?}");
            world.checker.report(now, Check::WayForward, what);
        }
    }
    let unacknowledged = world.unacknowledged_workers();
    if unacknowledged > 0 {
        world.checker.report(now, Check::WayForward, || {
            format!("heartbeats of {unacknowledged} workers are not acknowledged")
        });
    }
    world.start_final_read(operator);
    now
}
