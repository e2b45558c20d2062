//! The running gatekeeper: executes due work and the phases of a graceful shutdown.

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

/// Time after the request to shut down in which new connections are still accepted, as clients learn of it
/// late.
const GRACE_PERIOD: Span = Span::from_millis(600);
/// Time limit for writing the final replies of a shutdown.
const FINAL_WRITE_TIMEOUT: Span = Span::from_millis(200);
/// Interval of the maintenance of connections, and of the checks during a shutdown.
const MAINTENANCE_INTERVAL: Span = Span::from_millis(250);
const SHUTDOWN_CHECK_INTERVAL: Span = Span::from_millis(20);

/// Components of a gatekeeper.
pub struct Gatekeeper {
    /// Clock.
    pub clock: Clock,
    /// Timer that runs due work.
    pub wake_timer: Arc<WakeTimer>,
    /// Phase of the process.
    pub lifecycle: Arc<Lifecycle>,
    /// Dispatcher of requests.
    pub dispatcher: Arc<ClientDispatcher>,
    /// Forwarder of attempts to workers.
    pub forwarder: Arc<Forwarder>,
    /// Handler of client connections.
    pub clients: Arc<ClientHandler>,
    /// Client of discovery.
    pub discovery: Arc<DiscoveryClient>,
    /// Client of the shared counter.
    pub counter: Arc<CounterClient>,
    /// Time after the request to shut down at which open requests are answered with an error.
    pub final_reply_after: Span,
}

impl Gatekeeper {
    /// Reads the configuration again and applies its addresses of discovery and the counter. Open requests
    /// and counts are kept. An invalid configuration changes nothing.
    pub fn reload(&self) {
        match config::read() {
            Ok(config) => {
                log_limited!(
                    "configuration reloaded: discovery {}, counter {:?}",
                    config.discovery,
                    config.counter
                );
                self.discovery.set_address(config.discovery);
                self.counter.set_address(config.counter);
                self.wake_timer.wake_now();
            }
            Err(error) => log_limited!("configuration not reloaded: {error}"),
        }
    }

    /// Executes due work until the process ends, then notifies `end_sender`. Must run in a coroutine of its
    /// own.
    pub fn run_timer(&self, end_sender: &Sender<()>) {
        let mut now = self.clock.now();
        let mut maintenance_at = now;
        let mut shutdown_since = None;
        loop {
            let is_maintenance_due = now >= maintenance_at;
            if is_maintenance_due {
                maintenance_at = now + MAINTENANCE_INTERVAL;
            }
            let since = self.lifecycle.is_shutting_down().then(|| *shutdown_since.get_or_insert(now));
            // A panic must not end the timer coroutine.
            if catch_unwind(AssertUnwindSafe(|| self.tick(now, is_maintenance_due, since))).is_err() {
                log_limited!("panic in the timer coroutine; the remaining due work is skipped");
            }
            self.wake_timer.wake_by(self.dispatcher.next_due());
            self.wake_timer.wake_by(self.forwarder.pool.next_due());
            if self.lifecycle.phase() == Phase::Ended {
                break;
            }
            now = self.wake_timer.wait();
        }
        let _ = end_sender.send(());
    }

    fn tick(&self, now: Time, is_maintenance_due: bool, shutdown_since: Option<Time>) {
        self.execute_due_work(now);
        self.forwarder.tick(now);
        self.counter.tick(now);
        self.discovery.tick(now);
        if is_maintenance_due {
            self.clients.expire();
            self.forwarder.pool.close_idle(now);
        }
        if let Some(since) = shutdown_since {
            self.shut_down(now, since);
        }
    }

    /// Executes the actions that the dispatcher returns as due.
    fn execute_due_work(&self, now: Time) {
        let due = self.dispatcher.tick(now);
        self.counter.add(&due.counter_adds);
        due.attempts.into_iter().for_each(|attempt| self.forwarder.forward(attempt));
        due.timed_out.iter().for_each(|attempt| self.forwarder.abort(attempt, Outcome::TimedOut));
        due.cancelled.iter().for_each(|attempt| self.forwarder.abort(attempt, Outcome::Cancelled));
        due.replies.into_iter().for_each(|(client, request, reply)| client.reply(request, reply));
        due.health_checks.into_iter().for_each(|worker| self.forwarder.check_health(worker));
    }

    /// Advances the graceful shutdown that was requested at `since`.
    fn shut_down(&self, now: Time, since: Time) {
        let elapsed = now - since;
        if self.lifecycle.phase() == Phase::Draining && elapsed >= GRACE_PERIOD {
            self.lifecycle.enter(Phase::Closing);
            self.clients.stop_listening();
        }
        if self.lifecycle.phase() == Phase::Closing {
            if elapsed >= self.final_reply_after {
                self.clients.fail_all_requests();
            }
            let registry = &self.clients.registry;
            if registry.count() == 0 || elapsed >= self.final_reply_after + FINAL_WRITE_TIMEOUT {
                log_limited!("shutdown complete; {} connections still busy", registry.busy_count());
                return self.lifecycle.enter(Phase::Ended);
            }
        }
        self.wake_timer.wake_by(now + SHUTDOWN_CHECK_INTERVAL);
    }
}
