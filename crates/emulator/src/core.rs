//! The core of the system on a virtual clock: agreement, store, detector over the workers, feed and the edges' freshness
//! together, with operators that send again, machines that come, leave and are replaced, disks, clocks and lines that
//! fail, and judges that know only what callers saw.
//!
//! One seed gives one scenario, the same each time. docs/design/model.md says what the world has and what it lacks.

mod controller;
mod deliberate;
mod disk;
mod edge;
mod faults;
pub mod histories;
mod judges;
mod lines;
mod operators;
mod workers;
mod world;

use lynxstair::types::{Span, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use deliberate::Deliberate;
pub use faults::Scenario;
pub use judges::{Broken, Judge};

use judges::CONTACT;
use operators::Wants;
use world::{EDGES, World, ms};

pub(crate) const ZONES: [&str; 2] = ["z1", "z2"];
/// Once all is calm and the contact time is over, this is how long the way forward may take.
const FORWARD: Span = Span::from_millis(3_000);
/// And so long it goes on after that, so that silence is told.
const AFTER: Span = Span::from_millis(9_000);

/// How a scenario went.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub broken: Vec<Broken>,
    /// Changes that were acknowledged, orders and reads that were sent.
    pub acked: usize,
    pub calls: usize,
    /// What happened in the world, and how long that took there.
    pub events: u64,
    pub long: Span,
    /// What befell whom, and how each controller stands at the end: for whoever looks for a cause.
    pub told: Vec<String>,
}

impl Verdict {
    pub fn is_broken_by(&self, judge: Judge) -> bool {
        self.broken.iter().any(|b| b.judge == judge)
    }
}

/// Plays one scenario.
pub fn play(scenario: Scenario, seed: u64, fault: Option<Deliberate>) -> Verdict {
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
    let read = world.judges.store.iter().rev().find_map(|c| match c.told {
        histories::Told::Holds(version) if c.sent_at >= last => Some(version),
        _ => None,
    });
    let now = world.now;
    world.judges.end(now, read);
    world.log_controllers();
    let acked = world.judges.acked.len();
    Verdict {
        broken: world.judges.broken,
        acked,
        calls: world.judges.store.len(),
        events: world.events,
        long: now - world.began_at,
        told: world.told,
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
        world.judges.breaks(now, Judge::WayForward, || format!("{open} orders have no clear answer"));
    }
    world.closing_read(operator);
    world.run(ms(1_500));
    world.closing_change(operator);
    world.run(ms(2_500));
    world.closing_read(operator);
    world.run(ms(1_500));
    let now = world.now;
    if world.judges.acked.len() == acked_before || !world.read_since(began) {
        world.judges.breaks(now, Judge::WayForward, || "no change, or no read, is answered".to_string());
    }
    for edge in 0..EDGES {
        let (fresh, shown) = world.edge_stands(edge);
        let newest = world.judges.acked.iter().map(|(_, v)| *v).max();
        if !fresh || shown != newest {
            let what = || format!("edge {edge} shows {shown:?}, fresh {fresh}; {newest:?} is newest");
            world.judges.breaks(now, Judge::WayForward, what);
        }
    }
    let unheard = world.unheard_workers();
    if unheard > 0 {
        world.judges.breaks(now, Judge::WayForward, || format!("{unheard} workers are not heard"));
    }
    world.closing_read(operator);
    now
}
