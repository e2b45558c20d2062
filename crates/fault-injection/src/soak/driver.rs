//! Plays the steps of a soak against its processes, and writes down what was done to each.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::SoakError;
use super::clients::{Clients, SentRequest};
use super::operator::{Change, Operators};
use super::plan::{Action, ProcessName, SoakPlan, SoakShape};
use super::system::System;
use super::workers::{ColdSpell, Run, RunLog, Warmth, Worker};

/// The system is to serve within this time of its start.
const SERVES_WITHIN_S: u64 = 40;
/// How often due steps and ended processes are looked for.
const TURN: Duration = Duration::from_millis(5);
/// A process that was told to end is killed this much after its grace: on a machine that is full it may be
/// late.
const KILL_SLACK_S: f64 = 1.0;
/// How long after the last step the clients go on, in seconds.
const CALM_S: f64 = 1.0;

/// What was done to a process, or what it did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ProcessEvent {
    /// SIGTERM.
    Terminated,
    /// SIGHUP.
    HungUp,
    /// SIGKILL by the plan.
    Killed,
    /// SIGSTOP, for so many seconds.
    Paused(f64),
    /// It ended with this exit code; none: by a signal.
    Exited(Option<i32>),
    /// It had not ended long after its grace, and was killed.
    Overdue,
}

/// All that was seen.
pub(super) struct History {
    /// By process, in the order of their times: seconds of the soak, and what happened.
    pub events: BTreeMap<ProcessName, Vec<(f64, ProcessEvent)>>,
    pub requests: Vec<SentRequest>,
    pub runs: Vec<Run>,
    pub cold_spells: Vec<ColdSpell>,
    pub changes: Vec<Change>,
    /// The generation that the operator read back at the end.
    pub read_back: Option<u64>,
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
    /// Until when a process that was told to end may take.
    ending: BTreeMap<ProcessName, f64>,
    /// When a paused process goes on.
    paused: BTreeMap<ProcessName, f64>,
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        (0..self.next_worker).for_each(|number| Worker::wake(self.system.net, number));
    }
}

impl<'a> Driver<'a> {
    /// Starts everything, and waits until the system serves.
    pub fn start(
        plan: &'a SoakPlan,
        programs: &Path,
        folder: &Path,
        origin: Instant,
    ) -> Result<Self, SoakError> {
        let system = System::start(&plan.shape, programs, folder)?;
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
            ending: BTreeMap::new(),
            paused: BTreeMap::new(),
            system,
        };
        let deadline = Instant::now() + Duration::from_secs(SERVES_WITHIN_S);
        while !driver.operators.change_now() {
            if Instant::now() >= deadline {
                return Err(SoakError::DoesNotServe(SERVES_WITHIN_S));
            }
        }
        for _ in 0..plan.shape.workers {
            driver.start_worker(Warmth::Warm).map_err(SoakError::io("a worker"))?;
        }
        driver.wait_until_ready(deadline)?;
        Ok(driver)
    }

    /// Waits until every proxy is ready.
    fn wait_until_ready(&self, deadline: Instant) -> Result<(), SoakError> {
        for n in 0..self.plan.shape.proxies {
            let readiness = self.system.net.readiness(n);
            let is_ready =
                || super::workers::call(readiness, "GET /readiness", "").is_some_and(|m| m.status() == 200);
            while !is_ready() {
                if Instant::now() >= deadline {
                    return Err(SoakError::DoesNotServe(SERVES_WITHIN_S));
                }
                thread::sleep(TURN);
            }
        }
        Ok(())
    }

    fn start_worker(&mut self, warmth: Warmth) -> std::io::Result<()> {
        let worker = Worker::start(self.system.net, self.next_worker, warmth, &self.log, &self.is_over)?;
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

    /// Plays all steps, or until `stop`; what was seen.
    pub fn execute(mut self, stop: &AtomicBool) -> History {
        let net = self.system.net;
        let clients = Clients::start(self.plan.seed, &self.plan.shape, net, self.origin, &self.is_over);
        let began = self.now();
        let mut steps = self.plan.steps.iter().peekable();
        let lasts = self.plan.shape.seconds + CALM_S;
        while !stop.load(Ordering::Relaxed) && (self.now() - began < lasts || !self.ending.is_empty()) {
            while let Some(step) = steps.next_if(|step| began + step.at <= self.now()) {
                self.perform(step.action);
            }
            self.attend();
            thread::sleep(TURN);
        }
        self.is_over.store(true, Ordering::Relaxed);
        let requests = clients.join();
        let operators = std::mem::replace(&mut self.operators, Operators::start(net));
        let (changes, read_back) = operators.finish();
        History {
            events: std::mem::take(&mut self.events),
            requests,
            runs: self.log.runs(),
            cold_spells: self.log.cold_spells(),
            changes,
            read_back,
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Terminate(name) => {
                let is_first = !self.ending.contains_key(&name);
                if self.system.signal(name, Signal::SIGTERM) && is_first {
                    self.record(name, ProcessEvent::Terminated);
                    let deadline = self.now() + self.plan.shape.grace_s + KILL_SLACK_S;
                    self.ending.insert(name, deadline);
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
                // A process that is ending has its grace by the clock: paused, it could not keep it.
                if !self.ending.contains_key(&name) && self.system.signal(name, Signal::SIGSTOP) {
                    self.record(name, ProcessEvent::Paused(seconds));
                    self.paused.insert(name, self.now() + seconds);
                }
            }
            Action::ChangeConfig => self.operators.change(),
            Action::ReplaceWorker => {
                if self.start_worker(Warmth::Cold).is_ok() {
                    self.workers.remove(0).leave();
                }
            }
            Action::LosePower => self.lose_power(),
        }
    }

    /// Every process is killed, and every worker turns cold meanwhile, unknown to anybody.
    fn lose_power(&mut self) {
        let controllers = (0..SoakShape::CONTROLLERS).map(ProcessName::Controller);
        let all: Vec<ProcessName> =
            controllers.chain((0..self.plan.shape.proxies).map(ProcessName::Proxy)).collect();
        all.into_iter().for_each(|name| self.perform(Action::Kill(name)));
        self.workers.iter().for_each(Worker::turn_cold);
    }

    /// Lets paused processes go on, kills those that are overdue, starts those that have ended.
    fn attend(&mut self) {
        let now = self.now();
        let due: Vec<ProcessName> =
            self.paused.iter().filter(|(_, at)| **at <= now).map(|(n, _)| *n).collect();
        for name in due {
            self.paused.remove(&name);
            self.system.signal(name, Signal::SIGCONT);
        }
        let overdue: Vec<ProcessName> =
            self.ending.iter().filter(|(_, at)| **at <= now).map(|(n, _)| *n).collect();
        for name in overdue {
            self.ending.remove(&name);
            self.record(name, ProcessEvent::Overdue);
            self.system.signal(name, Signal::SIGKILL);
        }
        for (name, status) in self.system.reap_all() {
            self.ending.remove(&name);
            self.paused.remove(&name);
            self.record(name, ProcessEvent::Exited(status.code()));
            // The address may still be in use for a moment: then it ends again, and is started again.
            let _ = self.system.spawn(name, false);
        }
    }
}
