//! Plan of a soak: its steps and their times, drawn from a seed.

use std::fmt;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time before the first step.
const FIRST_STEP_S: f64 = 1.0;
/// Time without steps at the end, in which running actions complete.
const QUIET_END_S: f64 = 3.0;

/// Size and duration of a soak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoakShape {
    /// Duration of the steps and the load, without start-up and shutdown.
    pub duration_s: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of clients.
    pub clients: usize,
    /// Number of workers at a time.
    pub workers: usize,
    /// Grace period of the programs after SIGTERM (`grace-s` of the settings).
    pub grace_s: f64,
}

impl SoakShape {
    /// Number of controllers. They tolerate the failure of one.
    pub const CONTROLLERS: usize = 3;
}

/// Process of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProcessName {
    /// Controller with this number, from 0.
    Controller(usize),
    /// Proxy with this number, from 0.
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

/// Action of a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends SIGTERM, and SIGKILL after the grace period. The process is restarted after its exit.
    Terminate(ProcessName),
    /// Sends SIGHUP.
    HangUp(ProcessName),
    /// Sends SIGKILL. The process is restarted at once.
    Kill(ProcessName),
    /// Sends SIGSTOP, and SIGCONT after the given number of seconds.
    Pause(ProcessName, f64),
    /// Changes the configuration.
    ChangeConfig,
    /// Drains a worker and starts another one that is warming up.
    ReplaceWorker,
    /// Kills all controllers and every second proxy right after the next departure of a worker is acknowledged.
    KillAfterDeparture,
    /// Kills all processes at once and restarts the warm-up of all workers.
    LosePower,
}

/// An action and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Seconds after the load begins.
    pub at_s: f64,
    /// Action to perform.
    pub action: Action,
}

/// Plan of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// Seed of the draws.
    pub seed: u64,
    /// Size and duration.
    pub shape: SoakShape,
    /// Steps, ordered by time.
    pub steps: Vec<Step>,
}

/// Kind of a series of steps.
#[derive(Clone, Copy, Debug)]
enum Series {
    ProxyRollout,
    ControllerRollout,
    ConfigChanges,
    HangUps,
    WorkerRollout,
    ReplaceAllWorkers,
    KillProxyRepeatedly,
    KillController,
    KillAllControllers,
    KillsAfterDeparture,
    PowerLoss,
    Pauses,
    SignalBurst,
}

/// Series with their weights. Planned operations are more frequent than failures.
const SERIES: [(Series, u32); 13] = [
    (Series::ProxyRollout, 6),
    (Series::ControllerRollout, 2),
    (Series::ConfigChanges, 4),
    (Series::HangUps, 2),
    (Series::WorkerRollout, 3),
    (Series::ReplaceAllWorkers, 1),
    (Series::KillProxyRepeatedly, 1),
    (Series::KillController, 1),
    (Series::KillAllControllers, 1),
    (Series::KillsAfterDeparture, 1),
    (Series::PowerLoss, 1),
    (Series::Pauses, 1),
    (Series::SignalBurst, 3),
];

impl SoakPlan {
    /// Draws a plan. The same seed and shape give the same plan.
    pub fn draw(seed: u64, shape: SoakShape) -> SoakPlan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut steps = Vec::new();
        let end = shape.duration_s - QUIET_END_S;
        let mut at = FIRST_STEP_S;
        while at < end {
            let series = SERIES.choose_weighted(&mut rng, |(_, weight)| *weight).map(|(series, _)| *series);
            add_series(&mut steps, &mut rng, series.unwrap_or(Series::ConfigChanges), at, shape);
            at += rng.random_range(0.3..2.0);
        }
        steps.retain(|step| step.at_s < end);
        steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        SoakPlan { seed, shape, steps }
    }
}

fn add_series(steps: &mut Vec<Step>, rng: &mut Pcg64Mcg, series: Series, at: f64, shape: SoakShape) {
    let gap_s = rng.random_range(0.05..1.2);
    let mut add = |n: usize, action| steps.push(Step { at_s: at + gap_s * n as f64, action });
    let some_proxies = random_subset(rng, shape.proxies);
    let any_proxy = ProcessName::Proxy(rng.random_range(0..shape.proxies));
    let any_controller = ProcessName::Controller(rng.random_range(0..SoakShape::CONTROLLERS));
    match series {
        Series::ProxyRollout => {
            let restarts = some_proxies.into_iter().map(|n| Action::Terminate(ProcessName::Proxy(n)));
            restarts.enumerate().for_each(|(n, action)| add(n, action));
        }
        Series::ControllerRollout => (0..SoakShape::CONTROLLERS)
            .for_each(|n| add(3 * n, Action::Terminate(ProcessName::Controller(n)))),
        Series::ConfigChanges => (0..rng.random_range(5..40)).for_each(|n| add(n, Action::ChangeConfig)),
        Series::HangUps => {
            let hang_ups = some_proxies.into_iter().map(|n| Action::HangUp(ProcessName::Proxy(n)));
            hang_ups.enumerate().for_each(|(n, action)| add(n, action));
            add(1, Action::HangUp(any_controller));
        }
        Series::WorkerRollout => (0..rng.random_range(1..5)).for_each(|n| add(n, Action::ReplaceWorker)),
        // Replaces all workers at once.
        Series::ReplaceAllWorkers => (0..shape.workers).for_each(|_| add(0, Action::ReplaceWorker)),
        Series::PowerLoss => add(0, Action::LosePower),
        Series::KillProxyRepeatedly => (0..3).for_each(|n| add(n, Action::Kill(any_proxy))),
        Series::KillController => add(0, Action::Kill(any_controller)),
        Series::KillAllControllers => {
            (0..SoakShape::CONTROLLERS).for_each(|n| add(0, Action::Kill(ProcessName::Controller(n))));
        }
        Series::KillsAfterDeparture => {
            for n in 0..3 {
                add(n, Action::KillAfterDeparture);
                add(n, Action::ReplaceWorker);
            }
        }
        Series::Pauses => {
            let seconds = rng.random_range(0.2..2.5);
            add(0, Action::Pause(any_proxy, seconds));
            add(1, Action::Pause(any_controller, seconds));
        }
        // Sends several signals to one process in quick succession.
        Series::SignalBurst => {
            for n in 0..rng.random_range(2..5) {
                let action = if rng.random_bool(0.5) {
                    Action::HangUp(any_proxy)
                } else {
                    Action::Terminate(any_proxy)
                };
                steps.push(Step { at_s: at + 0.02 * f64::from(n), action });
            }
        }
    }
}

/// Returns a random subset of the numbers below `count`, of at most half of them rounded up, in random order.
fn random_subset(rng: &mut Pcg64Mcg, count: usize) -> Vec<usize> {
    let all: Vec<usize> = (0..count).collect();
    let size = rng.random_range(1..=count.div_ceil(2));
    all.sample(rng, size).copied().collect()
}
