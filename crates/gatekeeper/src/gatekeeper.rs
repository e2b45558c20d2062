//! The running gatekeeper: has all parts do what is due, and takes them through the phases of a shutdown.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::Sender;

use lynxstair::types::{Outcome, Span, Time};
use lynxstair_net::clock::Clock;
use lynxstair_net::log_limited;
use lynxstair_net::wake_timer::WakeTimer;

use crate::client_handler::ClientHandler;
use crate::config;
use crate::counter::CounterClient;
use crate::discovery::DiscoveryClient;
use crate::forwarder::{ClientDispatcher, Forwarder};
use crate::lifecycle::{Lifecycle, Phase};

/// After SIGTERM clients still connect for this long, as they learn of it late.
const GRACE: Span = Span::from_millis(600);
/// What is unanswered by its deadline has this long to be written.
const LAST_WRITES: Span = Span::from_millis(200);
/// How often the slow upkeep is done, and how often it is checked whether the process may end.
const UPKEEP_INTERVAL: Span = Span::from_millis(250);
const SHUTDOWN_INTERVAL: Span = Span::from_millis(20);

/// All parts of a gatekeeper.
pub struct Gatekeeper {
    /// The clock.
    pub clock: Clock,
    /// The timer.
    pub wake_timer: Arc<WakeTimer>,
    /// The phase of the process.
    pub lifecycle: Arc<Lifecycle>,
    /// Decides on requests.
    pub dispatcher: Arc<ClientDispatcher>,
    /// Forwards them.
    pub forwarder: Arc<Forwarder>,
    /// Reads them.
    pub clients: Arc<ClientHandler>,
    /// Watches the list of workers.
    pub discovery: Arc<DiscoveryClient>,
    /// Calls the shared counter.
    pub counter: Arc<CounterClient>,
    /// How long after SIGTERM what is unanswered is errored.
    pub last_replies: Span,
}

impl Gatekeeper {
    /// Takes over the addresses of a new configuration; nothing that is open or counted is lost for it. Of one that can't be
    /// used nothing is taken over.
    pub fn reload(&self) {
        match config::read() {
            Ok(config) => {
                log_limited!("read anew: discovery {}, counter {:?}", config.discovery, config.counter);
                self.discovery.move_to(config.discovery);
                self.counter.move_to(config.counter);
                self.wake_timer.wake_now();
            }
            Err(error) => log_limited!("the configuration stays as it was: {error}"),
        }
    }

    /// Does all that is due, until the process ends; for a coroutine of its own.
    pub fn run_timer(&self, ended: &Sender<()>) {
        let mut now = self.clock.now();
        let mut upkeep_at = now;
        let mut shutdown_since = None;
        loop {
            let is_upkeep_due = now >= upkeep_at;
            if is_upkeep_due {
                upkeep_at = now + UPKEEP_INTERVAL;
            }
            let since = self.lifecycle.is_shutting_down().then(|| *shutdown_since.get_or_insert(now));
            // A panic here must not stop time for all.
            if catch_unwind(AssertUnwindSafe(|| self.tick(now, is_upkeep_due, since))).is_err() {
                log_limited!("what was due is given up");
            }
            self.wake_timer.wake_by(self.dispatcher.next_due());
            self.wake_timer.wake_by(self.forwarder.pool.next_due());
            if self.lifecycle.phase() == Phase::Ended {
                break;
            }
            now = self.wake_timer.wait();
        }
        let _ = ended.send(());
    }

    fn tick(&self, now: Time, is_upkeep_due: bool, shutdown_since: Option<Time>) {
        self.do_due_work(now);
        self.forwarder.tick(now);
        self.counter.tick(now);
        self.discovery.tick(now);
        if is_upkeep_due {
            self.clients.expire();
            self.forwarder.pool.close_idle(now);
        }
        if let Some(since) = shutdown_since {
            self.shut_down(now, since);
        }
    }

    /// What the decisions ask for now.
    fn do_due_work(&self, now: Time) {
        let due = self.dispatcher.tick(now);
        self.counter.add(&due.counter_adds);
        due.attempts.into_iter().for_each(|attempt| self.forwarder.forward(attempt));
        due.timed_out.iter().for_each(|attempt| self.forwarder.abort(attempt, Outcome::TimedOut));
        due.cancelled.iter().for_each(|attempt| self.forwarder.abort(attempt, Outcome::Cancelled));
        due.replies.into_iter().for_each(|(client, request, reply)| client.reply(request, reply));
        due.health_checks.into_iter().for_each(|worker| self.forwarder.check_health(worker));
    }

    /// The graceful shutdown, from the grace to the last reply.
    fn shut_down(&self, now: Time, since: Time) {
        let elapsed = now - since;
        if self.lifecycle.phase() == Phase::Draining && elapsed >= GRACE {
            self.lifecycle.enter(Phase::Closing);
            self.clients.stop_listening();
        }
        if self.lifecycle.phase() == Phase::Closing {
            if elapsed >= self.last_replies {
                self.clients.fail_all_requests();
            }
            let registry = &self.clients.registry;
            if registry.count() == 0 || elapsed >= self.last_replies + LAST_WRITES {
                log_limited!("{} unanswered at the end", registry.busy_count());
                return self.lifecycle.enter(Phase::Ended);
            }
        }
        self.wake_timer.wake_by(now + SHUTDOWN_INTERVAL);
    }
}
