//! What happens in a soak, and when: drawn from a seed, without I/O.

use std::fmt;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Nothing begins in the first seconds,
const FIRST_STEP_S: f64 = 1.0;
/// nor in the last ones, so that what was begun can end.
const CALM_END_S: f64 = 3.0;

/// How large a soak is and how long it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoakShape {
    /// How long steps and load last, in seconds; start and end are not counted.
    pub seconds: f64,
    /// How many proxies there are.
    pub proxies: usize,
    /// How many clients.
    pub clients: usize,
    /// How many workers at a time.
    pub workers: usize,
    /// `grace-s` of the settings.
    pub grace_s: f64,
}

impl SoakShape {
    /// How many controllers there are: one may be lost at a time.
    pub const CONTROLLERS: usize = 3;
}

/// One process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessName {
    /// A controller, by its number from 0.
    Controller(usize),
    /// A proxy, by its number from 0.
    Proxy(usize),
}

impl fmt::Display for ProcessName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProcessName::Controller(n) => write!(f, "controller{}", n + 1),
            ProcessName::Proxy(n) => write!(f, "proxy{}", n + 1),
        }
    }
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// SIGTERM, and SIGKILL after the grace; started again once it has ended.
    Terminate(ProcessName),
    /// SIGHUP.
    HangUp(ProcessName),
    /// SIGKILL; started again at once.
    Kill(ProcessName),
    /// SIGSTOP, and SIGCONT after so many seconds.
    Pause(ProcessName, f64),
    /// The operator changes the configuration.
    ChangeConfig,
    /// A worker leaves in order, and another one takes its place, cold.
    ReplaceWorker,
    /// Every process is killed at once, and the workers turn cold.
    LosePower,
}

/// One action and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Seconds after the load began.
    pub at: f64,
    /// What is done then.
    pub action: Action,
}

/// A whole soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// What it was drawn from.
    pub seed: u64,
    /// Its size.
    pub shape: SoakShape,
    /// In the order of their times.
    pub steps: Vec<Step>,
}

/// A series of steps of one kind.
#[derive(Clone, Copy, Debug)]
enum Series {
    RollProxies,
    RollControllers,
    ConfigStorm,
    HangUps,
    Release,
    ColdReturn,
    KillProxies,
    KillControllers,
    HerdKill,
    PowerLoss,
    Pauses,
    SignalBurst,
}

/// Planned work comes more often than trouble: that is what the system has to bear without a trace.
const SERIES: [(Series, u32); 12] = [
    (Series::RollProxies, 6),
    (Series::RollControllers, 2),
    (Series::ConfigStorm, 4),
    (Series::HangUps, 2),
    (Series::Release, 3),
    (Series::ColdReturn, 1),
    (Series::KillProxies, 1),
    (Series::KillControllers, 1),
    (Series::HerdKill, 1),
    (Series::PowerLoss, 1),
    (Series::Pauses, 1),
    (Series::SignalBurst, 3),
];

impl SoakPlan {
    /// Draws a soak; the same seed and shape draw the same one.
    pub fn draw(seed: u64, shape: SoakShape) -> SoakPlan {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut steps = Vec::new();
        let end = shape.seconds - CALM_END_S;
        let mut at = FIRST_STEP_S;
        while at < end {
            let series =
                SERIES.choose_weighted(&mut chance, |(_, weight)| *weight).map(|(series, _)| *series);
            add_series(&mut steps, &mut chance, series.unwrap_or(Series::ConfigStorm), at, shape);
            at += chance.random_range(0.3..2.0);
        }
        steps.retain(|step| step.at < end);
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        SoakPlan { seed, shape, steps }
    }
}

fn add_series(steps: &mut Vec<Step>, chance: &mut Pcg64Mcg, series: Series, at: f64, shape: SoakShape) {
    let gap = chance.random_range(0.05..1.2);
    let mut add = |n: usize, action| steps.push(Step { at: at + gap * n as f64, action });
    let some_proxies = some_of(chance, shape.proxies);
    let any_proxy = ProcessName::Proxy(chance.random_range(0..shape.proxies));
    let any_controller = ProcessName::Controller(chance.random_range(0..SoakShape::CONTROLLERS));
    match series {
        Series::RollProxies => {
            let rolled = some_proxies.into_iter().map(|n| Action::Terminate(ProcessName::Proxy(n)));
            rolled.enumerate().for_each(|(n, action)| add(n, action));
        }
        Series::RollControllers => (0..SoakShape::CONTROLLERS)
            .for_each(|n| add(3 * n, Action::Terminate(ProcessName::Controller(n)))),
        Series::ConfigStorm => (0..chance.random_range(5..40)).for_each(|n| add(n, Action::ChangeConfig)),
        Series::HangUps => {
            let told = some_proxies.into_iter().map(|n| Action::HangUp(ProcessName::Proxy(n)));
            told.enumerate().for_each(|(n, action)| add(n, action));
            add(1, Action::HangUp(any_controller));
        }
        Series::Release => (0..chance.random_range(1..5)).for_each(|n| add(n, Action::ReplaceWorker)),
        // All of them at once.
        Series::ColdReturn => (0..shape.workers).for_each(|_| add(0, Action::ReplaceWorker)),
        Series::PowerLoss => add(0, Action::LosePower),
        Series::KillProxies => (0..3).for_each(|n| add(n, Action::Kill(any_proxy))),
        Series::KillControllers => add(0, Action::Kill(any_controller)),
        Series::HerdKill => {
            (0..SoakShape::CONTROLLERS).for_each(|n| add(0, Action::Kill(ProcessName::Controller(n))));
        }
        Series::Pauses => {
            let seconds = chance.random_range(0.2..2.5);
            add(0, Action::Pause(any_proxy, seconds));
            add(1, Action::Pause(any_controller, seconds));
        }
        // Several signals to one process within moments, in any order.
        Series::SignalBurst => {
            for n in 0..chance.random_range(2..5) {
                let action = if chance.random_bool(0.5) {
                    Action::HangUp(any_proxy)
                } else {
                    Action::Terminate(any_proxy)
                };
                steps.push(Step { at: at + 0.02 * f64::from(n), action });
            }
        }
    }
}

/// Half of so many things at the most, in any order.
fn some_of(chance: &mut Pcg64Mcg, count: usize) -> Vec<usize> {
    let all: Vec<usize> = (0..count).collect();
    let many = chance.random_range(1..=count.div_ceil(2));
    all.sample(chance, many).copied().collect()
}
