//! The core of the system on a virtual clock: agreement, store, detector over the workers, feed and the edges' freshness
//! together, with operators that send again, machines that come, leave and are replaced, disks, clocks and lines that
//! fail, and judges that know only what callers saw.
//!
//! One seed gives one scenario, the same each time. docs/design/model.md says what the world has and what it lacks.

mod checker;
mod controller;
mod deliberate_fault;
mod disk;
mod edge;
mod faults;
pub mod linearizability;
mod links;
mod operator;
mod worker;
mod world;

use lynxstair::types::{Span, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use checker::{Broken, Check};
pub use deliberate_fault::DeliberateFault;
pub use faults::Scenario;

use checker::CONTACT;
use operator::Wants;
use world::{EDGES, World, ms};

pub(crate) const ZONES: [&str; 2] = ["z1", "z2"];
/// Once all is calm and the contact time is over, this is how long the way forward may take.
const FORWARD: Span = Span::from_millis(3_000);
/// And so long it goes on after that, so that silence is told.
const AFTER: Span = Span::from_millis(9_000);

/// How a scenario went.
#[derive(Clone, Debug)]
pub struct SimulationResult {
    pub violations: Vec<Broken>,
    /// Changes that were acknowledged, orders and reads that were sent.
    pub acknowledged: usize,
    pub call_count: usize,
    /// What happened in the world, and how long that took there.
    pub event_count: u64,
    pub duration: Span,
    /// What befell whom, and how each controller stands at the end: for whoever looks for a cause.
    pub event_log: Vec<String>,
}

impl SimulationResult {
    pub fn violates(&self, check: Check) -> bool {
        self.violations.iter().any(|v| v.judge == check)
    }
}

/// Plays one scenario.
pub fn simulate(scenario: Scenario, seed: u64, fault: Option<DeliberateFault>) -> SimulationResult {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x636f_7265);
    let (controllers, tolerated) = scenario.size(&mut chance);
    let (faults, calm) = scenario.plan(&mut chance);
    let mut world = World::new(chance.random(), controllers, tolerated, fault);
    world.beyond_budget = scenario == Scenario::VoteThenPower;
    for (at, fault) in faults {
        world.fault_at(ms(at), fault);
    }
    world.calm_at(ms(calm));
    world.run(ms(calm) + CONTACT);
    let last = forward(&mut world);
    world.run(AFTER);
    let read = world.judges.store.iter().rev().find_map(|c| match c.output {
        linearizability::CallOutput::Holds(version) if c.sent_at >= last => Some(version),
        _ => None,
    });
    let now = world.now;
    world.judges.end(now, read);
    world.log_controllers();
    let acked = world.judges.acked.len();
    SimulationResult {
        violations: world.judges.broken,
        acknowledged: acked,
        call_count: world.judges.store.len(),
        event_count: world.events,
        duration: now - world.began_at,
        event_log: world.told,
    }
}

/// It has been calm for the contact time: what callers ask for has to come through. From when on the configuration is read
/// back for the last time.
fn forward(world: &mut World) -> Time {
    world.closing = true;
    let began = world.now;
    let acked_before = world.judges.acked.len();
    // One operator reads, changes and reads again; what the others have under way ends.
    let operator = world.operators.len() - 1;
    world.run(FORWARD);
    let open = world.operators.iter().filter(|o| !matches!(o.wants, Wants::Rest)).count();
    let now = world.now;
    if open > 0 {
        world.judges.breaks(now, Check::WayForward, || format!("{open} orders have no clear answer"));
    }
    world.closing_read(operator);
    world.run(ms(1_500));
    world.closing_change(operator);
    world.run(ms(2_500));
    world.closing_read(operator);
    world.run(ms(1_500));
    let now = world.now;
    if world.judges.acked.len() == acked_before || !world.read_since(began) {
        world.judges.breaks(now, Check::WayForward, || "no change, or no read, is answered".to_string());
    }
    for edge in 0..EDGES {
        let (fresh, shown) = world.edge_stands(edge);
        let newest = world.judges.acked.iter().map(|(_, v)| *v).max();
        if !fresh || shown != newest {
            let what = || format!("edge {edge} shows {shown:?}, fresh {fresh}; {newest:?} is newest");
            world.judges.breaks(now, Check::WayForward, what);
        }
    }
    let unheard = world.unheard_workers();
    if unheard > 0 {
        world.judges.breaks(now, Check::WayForward, || format!("{unheard} workers are not heard"));
    }
    world.closing_read(operator);
    now
}
