//! The program from start to exit: its phases, and what all parts share.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, OnceLock};

use lynxstair::types::{Outcome, Span, Time};
use lynxstair_cluster::{Side, Uses};
use lynxstair_settings::{Names, RequestBounds};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::clients::{Client, Clients};
use crate::config::{self, Config};
use crate::counter::Counter;
use crate::discovery::Discovery;
use crate::workers::Workers;
use lynxstair_dispatch::Dispatcher;
use lynxstair_net::clock::Clock;
use lynxstair_net::conn::bound_buffers;
use lynxstair_net::coroutine::{go, prepare};
use lynxstair_net::log;
use lynxstair_net::ticker::Ticker;

/// After SIGTERM clients go on connecting for so long, as they learn of it late.
const GRACE: Span = Span::from_millis(600);
/// The platform kills no sooner than 0.7 s after the longest integration timeout, counted as 3 s where it is
/// longer. What is unanswered by then is errored a little before.
const COUNTED_AS: Span = Span::from_millis(3_000);
const LAST_ANSWERS: Span = Span::from_millis(250);
const LAST_WRITES: Span = Span::from_millis(200);
/// Of the descriptors: some are kept back for all that is neither a client nor a worker.
const RESERVE: usize = 32;
const CLIENTS_PART: f64 = 0.65;
/// How often slow upkeep is done.
const UPKEEP: Span = Span::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    Starting,
    Serving,
    /// Told to end; goes on as before for a grace.
    Leaving,
    /// Accepts nothing more, and answers what it has.
    Finishing,
    Ended,
}

const PHASES: [Phase; 5] = [Phase::Starting, Phase::Serving, Phase::Leaving, Phase::Finishing, Phase::Ended];

/// What all parts share.
pub struct Gate {
    pub clock: Clock,
    pub names: Names,
    pub bounds: RequestBounds,
    pub dispatcher: Dispatcher<Arc<Client>>,
    pub ticker: Ticker,
    pub clients: Clients,
    pub workers: Workers,
    pub discovery: Discovery,
    pub counter: Counter,
    /// Where succeeded requests are noted, in a fleet that exports their use.
    pub uses: OnceLock<Arc<Uses>>,
    /// How long after SIGTERM what is unanswered is errored.
    last_answers: Span,
    phase: AtomicU8,
}

impl Gate {
    fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::Acquire))]
    }

    /// It was told to end.
    pub fn is_leaving(&self) -> bool {
        self.phase() >= Phase::Leaving
    }

    /// Connections end with the next answer.
    pub fn is_closing(&self) -> bool {
        self.phase() >= Phase::Finishing
    }

    /// Every change of phase goes through here.
    fn enter(&self, phase: Phase) {
        log!("{:?}", phase);
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Takes over the addresses of a new configuration; nothing that is open or counted is let go for it. Of one
    /// that can't be used nothing is taken.
    fn reload(&self) {
        match config::read() {
            Ok(config) => {
                log!("read anew: discovery {}, counter {:?}", config.discovery, config.counter);
                self.discovery.move_to(config.discovery);
                self.counter.move_to(config.counter);
                self.ticker.poke();
            }
            Err(e) => log!("the configuration stays as it was: {e}"),
        }
    }

    /// Does all that is due, until the program ends.
    fn keep_time(self: &Arc<Self>, ended: &Sender<()>) {
        let mut upkeep_at = self.clock.now();
        let mut left_at = None;
        let mut now = self.clock.now();
        loop {
            let upkeep = now >= upkeep_at;
            if upkeep {
                upkeep_at = now + UPKEEP;
            }
            let left = self.is_leaving().then(|| *left_at.get_or_insert(now));
            // A panic here must not stop the clock for all.
            if catch_unwind(AssertUnwindSafe(|| self.do_all(now, upkeep, left))).is_err() {
                log!("what was due is given up");
            }
            self.ticker.by(self.dispatcher.next_due());
            self.ticker.by(self.workers.next_due());
            if self.phase() == Phase::Ended {
                break;
            }
            now = self.ticker.wait();
        }
        let _ = ended.send(());
    }

    fn do_all(self: &Arc<Self>, now: Time, upkeep: bool, left: Option<Time>) {
        self.do_due(now);
        self.workers.tick(self, now);
        self.counter.tick(now);
        self.discovery.tick(self, now);
        if upkeep {
            self.clients.tick(self, now);
            self.workers.close_idle(now);
        }
        if let Some(left_at) = left {
            self.leave(now, left_at);
        }
    }

    /// What the dispatcher has to do now.
    fn do_due(self: &Arc<Self>, now: Time) {
        let due = self.dispatcher.tick(now);
        self.counter.add(self, &due.counter_adds);
        for delivery in due.attempts {
            self.workers.deliver(self, delivery);
        }
        for timed_out in due.timed_out {
            self.workers.give_up(self, &timed_out, Outcome::TimedOut);
        }
        for cancelled in due.cancelled {
            self.workers.give_up(self, &cancelled, Outcome::Cancelled);
        }
        for (client, request_id, answer) in due.replies {
            client.answer(self, request_id, answer);
        }
        for worker in due.health_checks {
            self.workers.probe(self, worker);
        }
    }

    /// From the grace to the last answer.
    fn leave(self: &Arc<Self>, now: Time, left_at: Time) {
        let since = now - left_at;
        if self.phase() == Phase::Leaving && since >= GRACE {
            self.enter(Phase::Finishing);
            self.clients.stop_listening(self);
        }
        if self.phase() == Phase::Finishing {
            if since >= self.last_answers {
                self.clients.give_up_all(self);
            }
            if self.clients.count() == 0 || since >= self.last_answers + LAST_WRITES {
                log!("{} unanswered at the end", self.clients.unanswered());
                return self.enter(Phase::Ended);
            }
        }
        self.ticker.by(now + Span::from_millis(20));
    }
}

/// The program before and after its coroutines.
pub struct Program {
    gate: Arc<Gate>,
    ended: Receiver<()>,
    signals: Signals,
    /// Its part in a fleet, where it takes part in one.
    side: Option<Arc<Side>>,
}

impl Program {
    pub fn start(fleet: Option<&Path>) -> Result<Self, String> {
        prepare();
        let config = config::read()?;
        let fleet = fleet.map(lynxstair_cluster::Config::read).transpose().map_err(|e| e.to_string())?;
        let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
        let gate = Arc::new(gate(&config)?);
        gate.discovery.take(&gate, &config.known, true);
        let side = fleet.map(Side::start).transpose()?;
        if let Some(uses) = side.as_ref().and_then(|s| s.uses_kept()) {
            let _ = gate.uses.set(uses);
        }
        let (end, ended) = channel();
        let accepting = gate.clone();
        go("accepting", move || accepting.clients.accept(&accepting));
        let timing = gate.clone();
        go("time", move || timing.keep_time(&end));
        log!("{} serves on {}", config.name, config.listen);
        gate.enter(Phase::Serving);
        Ok(Program { gate, ended, signals, side })
    }

    /// Serves until it is told to end, and ends. The main thread only waits: first for signals, then for
    /// the last answer.
    pub fn run(mut self) -> Result<(), String> {
        while self.signals.forever().next() == Some(SIGHUP) {
            self.gate.reload();
        }
        self.gate.enter(Phase::Leaving);
        self.gate.ticker.poke();
        if let Some(side) = &self.side {
            side.leave();
        }
        self.ended.recv().map_err(|_| "the coroutine for time ended".to_string())
    }
}

fn gate(config: &Config) -> Result<Gate, String> {
    let clock = Clock::start();
    let sockets = config.limits.sockets.saturating_sub(RESERVE).max(16);
    let clients = (sockets as f64 * CLIENTS_PART) as usize;
    let handed = &config.handed;
    let longest =
        handed.decisions.operations.iter().map(|o| o.integration_timeout).max().unwrap_or(COUNTED_AS);
    bound_buffers((config.limits.memory_mb << 20) as usize / 2);
    Ok(Gate {
        clock,
        names: handed.names.clone(),
        bounds: handed.bounds.clone(),
        dispatcher: Dispatcher::new(clock.now(), config.seed, &handed.decisions),
        ticker: Ticker::new(clock, handed.decisions.step).map_err(|e| format!("timer: {e}"))?,
        clients: Clients::listen(config.listen, clients)?,
        workers: Workers::new(handed.timeouts, sockets - clients),
        discovery: Discovery::new(config.discovery),
        counter: Counter::new(config.counter, handed.timeouts.counter),
        uses: OnceLock::new(),
        last_answers: longest.min(COUNTED_AS) + LAST_ANSWERS,
        phase: AtomicU8::new(Phase::Starting as u8),
    })
}
