//! Executes the steps of a soak and records the events of each process.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::SoakError;
use super::clients::{Clients, SentRequest};
use super::departures::Departure;
use super::operator::{Change, Operators};
use super::plan::{Action, ProcessName, SoakPlan, SoakShape};
use super::system::System;
use super::workers::{Run, RunLog, StartState, WarmupPeriod, Worker};

/// Time after the start in which the system must be ready.
const READY_TIMEOUT_S: u64 = 40;
/// Interval of the checks for due steps and exited processes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after the grace period at which a process that has not exited is killed.
const KILL_SLACK_S: f64 = 1.0;
/// Least time for which the clients continue after the end of the plan.
const QUIET_PERIOD_S: f64 = 1.0;

/// Event of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ProcessEvent {
    /// SIGTERM was sent.
    Terminated,
    /// SIGHUP was sent.
    HungUp,
    /// SIGKILL was sent by a step of the plan.
    Killed,
    /// SIGSTOP was sent; the duration of the pause in seconds.
    Paused(f64),
    /// The process exited with this code, or by a signal if `None`.
    Exited(Option<i32>),
    /// The process had not exited after its grace period, and was killed.
    Overdue,
}

/// Everything recorded in a soak. Times are in seconds since the start of the soak.
pub(super) struct History {
    /// Events of each process with their times, in order.
    pub events: BTreeMap<ProcessName, Vec<(f64, ProcessEvent)>>,
    pub requests: Vec<SentRequest>,
    pub runs: Vec<Run>,
    pub warmup_periods: Vec<WarmupPeriod>,
    pub departures: Vec<Departure>,
    pub changes: Vec<Change>,
    /// Generation of the configuration that was read at the end, or `None` if the read failed.
    pub final_generation: Option<u64>,
}

/// A running soak.
pub(super) struct Driver<'a> {
    plan: &'a SoakPlan,
    origin: Instant,
    system: System,
    workers: Vec<Worker>,
    next_worker: usize,
    log: RunLog,
    operators: Operators,
    is_over: Arc<AtomicBool>,
    events: BTreeMap<ProcessName, Vec<(f64, ProcessEvent)>>,
    /// Time at which a process that received SIGTERM is killed if it has not exited.
    exit_deadlines: BTreeMap<ProcessName, f64>,
    /// Time at which a paused process is resumed.
    resume_times: BTreeMap<ProcessName, f64>,
    /// Number of acknowledged departures above which controllers and proxies are killed.
    kill_above_departures: Option<usize>,
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        (0..self.next_worker).for_each(|number| Worker::wake_listener(self.system.net, number));
    }
}

impl<'a> Driver<'a> {
    /// Starts the processes and workers, and waits until the system is ready.
    pub fn start(
        plan: &'a SoakPlan,
        programs: &Path,
        dir: &Path,
        origin: Instant,
    ) -> Result<Self, SoakError> {
        let system = System::start(&plan.shape, programs, dir)?;
        let operators = Operators::start(system.net);
        let mut driver = Driver {
            plan,
            origin,
            workers: Vec::new(),
            next_worker: 0,
            log: RunLog::new(origin),
            operators,
            is_over: Arc::default(),
            events: BTreeMap::new(),
            exit_deadlines: BTreeMap::new(),
            resume_times: BTreeMap::new(),
            kill_above_departures: None,
            system,
        };
        let deadline = Instant::now() + Duration::from_secs(READY_TIMEOUT_S);
        while !driver.operators.change_now() {
            if Instant::now() >= deadline {
                return Err(SoakError::NotReady(READY_TIMEOUT_S));
            }
        }
        for _ in 0..plan.shape.workers {
            driver.start_worker(StartState::Warm).map_err(SoakError::io("starting a worker"))?;
        }
        driver.wait_until_ready(deadline)?;
        Ok(driver)
    }

    /// Waits until every proxy reports that it is ready.
    fn wait_until_ready(&self, deadline: Instant) -> Result<(), SoakError> {
        for n in 0..self.plan.shape.proxies {
            let readiness = self.system.net.readiness(n);
            let is_ready = || {
                super::workers::send_request(readiness, "GET /readiness", "")
                    .is_some_and(|m| m.status() == 200)
            };
            while !is_ready() {
                if Instant::now() >= deadline {
                    return Err(SoakError::NotReady(READY_TIMEOUT_S));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn start_worker(&mut self, start_state: StartState) -> std::io::Result<()> {
        let worker = Worker::start(self.system.net, self.next_worker, start_state, &self.log, &self.is_over)?;
        self.next_worker += 1;
        self.workers.push(worker);
        Ok(())
    }

    fn now(&self) -> f64 {
        self.origin.elapsed().as_secs_f64()
    }

    fn record(&mut self, name: ProcessName, event: ProcessEvent) {
        let now = self.now();
        self.events.entry(name).or_default().push((now, event));
    }

    /// Executes the steps until the plan ends or `stop` is set, and returns the history.
    pub fn execute(mut self, stop: &AtomicBool) -> History {
        let net = self.system.net;
        let clients = Clients::start(self.plan.seed, &self.plan.shape, net, self.origin, &self.is_over);
        let began = self.now();
        let mut steps = self.plan.steps.iter().peekable();
        let duration_s = self.plan.shape.duration_s + QUIET_PERIOD_S;
        while !stop.load(Ordering::Relaxed)
            && (self.now() - began < duration_s || !self.exit_deadlines.is_empty())
        {
            while let Some(step) = steps.next_if(|step| began + step.at_s <= self.now()) {
                self.perform(step.action);
            }
            self.kill_after_departure();
            self.handle_due_events();
            thread::sleep(POLL_INTERVAL);
        }
        self.is_over.store(true, Ordering::Relaxed);
        let requests = clients.join();
        let operators = std::mem::replace(&mut self.operators, Operators::start(net));
        let (changes, final_generation) = operators.finish();
        History {
            events: std::mem::take(&mut self.events),
            requests,
            runs: self.log.runs(),
            warmup_periods: self.log.warmup_periods(),
            departures: self.log.departures(),
            changes,
            final_generation,
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Terminate(name) => {
                let is_first = !self.exit_deadlines.contains_key(&name);
                if self.system.signal(name, Signal::SIGTERM) && is_first {
                    self.record(name, ProcessEvent::Terminated);
                    let deadline = self.now() + self.plan.shape.grace_s + KILL_SLACK_S;
                    self.exit_deadlines.insert(name, deadline);
                }
            }
            Action::HangUp(name) => {
                if self.system.signal(name, Signal::SIGHUP) {
                    self.record(name, ProcessEvent::HungUp);
                }
            }
            Action::Kill(name) => {
                if self.system.signal(name, Signal::SIGKILL) {
                    self.record(name, ProcessEvent::Killed);
                }
            }
            Action::Pause(name, seconds) => {
                // The grace period runs in real time, so a process that is exiting is not paused.
                if !self.exit_deadlines.contains_key(&name) && self.system.signal(name, Signal::SIGSTOP) {
                    self.record(name, ProcessEvent::Paused(seconds));
                    self.resume_times.insert(name, self.now() + seconds);
                }
            }
            Action::ChangeConfig => self.operators.change(),
            Action::ReplaceWorker => {
                if self.start_worker(StartState::WarmingUp).is_ok() {
                    self.workers.remove(0).leave();
                }
            }
            Action::KillAfterDeparture => self.kill_above_departures = Some(self.log.departure_count()),
            Action::LosePower => self.lose_power(),
        }
    }

    /// Kills all controllers and every second proxy if a departure was acknowledged since that was planned.
    fn kill_after_departure(&mut self) {
        if self.kill_above_departures.is_none_or(|count| self.log.departure_count() <= count) {
            return;
        }
        self.kill_above_departures = None;
        self.kill_controllers_and_proxies(2);
    }

    /// Kills all controllers at once with each `step`th proxy.
    fn kill_controllers_and_proxies(&mut self, step: usize) {
        let controllers = (0..SoakShape::CONTROLLERS).map(ProcessName::Controller);
        let proxies = (0..self.plan.shape.proxies).step_by(step).map(ProcessName::Proxy);
        controllers.chain(proxies).for_each(|name| self.perform(Action::Kill(name)));
    }

    /// Kills all processes. All workers restart their warm-up while no controller can record it.
    fn lose_power(&mut self) {
        self.kill_controllers_and_proxies(1);
        self.workers.iter().for_each(Worker::start_warmup);
    }

    /// Resumes paused processes, kills overdue ones, and restarts those that have exited.
    fn handle_due_events(&mut self) {
        let now = self.now();
        let due: Vec<ProcessName> =
            self.resume_times.iter().filter(|(_, at)| **at <= now).map(|(n, _)| *n).collect();
        for name in due {
            self.resume_times.remove(&name);
            self.system.signal(name, Signal::SIGCONT);
        }
        let overdue: Vec<ProcessName> =
            self.exit_deadlines.iter().filter(|(_, at)| **at <= now).map(|(n, _)| *n).collect();
        for name in overdue {
            self.exit_deadlines.remove(&name);
            self.record(name, ProcessEvent::Overdue);
            self.system.signal(name, Signal::SIGKILL);
        }
        for (name, status) in self.system.reap_all() {
            self.exit_deadlines.remove(&name);
            self.resume_times.remove(&name);
            self.record(name, ProcessEvent::Exited(status.code()));
            // If the address is still in use, the process exits and is started again.
            let _ = self.system.spawn(name, false);
        }
    }
}
