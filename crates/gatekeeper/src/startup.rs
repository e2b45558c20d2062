//! Builds the gatekeeper from its configuration and runs it until SIGTERM or SIGINT.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;

use lynxstair::types::Span;
use lynxstair_cluster::ClusterNode;
use lynxstair_dispatch::Dispatcher;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{configure_runtime, spawn};
use lynxstair_net::log_limited;
use lynxstair_net::memory_budget::limit_connection_memory;
use lynxstair_net::wake_timer::WakeTimer;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::client_connection::ClientContext;
use crate::client_handler::ClientHandler;
use crate::client_listener::ClientListener;
use crate::client_registry::ClientRegistry;
use crate::config::{self, Config};
use crate::counter::CounterClient;
use crate::discovery::{DiscoveryClient, EndpointChange, WorkerListUpdate};
use crate::error::GatekeeperError;
use crate::forwarder::{ClientDispatcher, Forwarder};
use crate::gatekeeper::Gatekeeper;
use crate::lifecycle::{Lifecycle, Phase};
use crate::open_ids::OpenIds;
use crate::request_parser::RequestParser;
use crate::worker_pool::WorkerPool;

/// During a shutdown, open requests get an error reply after the longest integration time-out, limited to the
/// first value, plus the second. The platform kills the process 0.7 s after that time-out at the earliest.
const MAX_INTEGRATION_TIMEOUT: Span = Span::from_millis(3_000);
const FINAL_REPLY_MARGIN: Span = Span::from_millis(250);
/// Descriptors for other uses than connections to clients and workers, the minimum for these connections, and
/// the fraction of them that clients get.
const RESERVED_DESCRIPTORS: usize = 32;
const MIN_USABLE_DESCRIPTORS: usize = 16;
const CLIENT_FRACTION: f64 = 0.65;
/// The buffers of all connections may use the memory limit divided by this.
const CONNECTION_MEMORY_DIVISOR: usize = 2;

/// Runs the gatekeeper until SIGTERM or SIGINT and the end of the graceful shutdown.
///
/// `cluster_file` is the configuration file of the cluster to join, if any. The main thread only waits for
/// signals and then for the end of the shutdown.
pub fn run(cluster_file: Option<&Path>) -> Result<(), GatekeeperError> {
    configure_runtime();
    let config = config::read()?;
    let cluster = cluster_file.map(lynxstair_cluster::Config::read).transpose();
    let cluster = cluster.map_err(GatekeeperError::ClusterFile)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(GatekeeperError::Signals)?;
    let gatekeeper = Arc::new(build(&config)?);
    gatekeeper.discovery.restore(&config.known);
    let cluster_node = cluster.map(ClusterNode::start).transpose().map_err(GatekeeperError::Cluster)?;
    if let Some(usage_log) = cluster_node.as_ref().and_then(|cluster_node| cluster_node.usage_log()) {
        let _ = gatekeeper.forwarder.usage_log.set(usage_log);
    }
    let (end_sender, end_receiver) = channel();
    let clients = gatekeeper.clients.clone();
    spawn("the client listener", move || clients.accept());
    let timer = gatekeeper.clone();
    spawn("the timer", move || timer.run_timer(&end_sender));
    log_limited!("{} serves on {}", config.name, config.listen);
    gatekeeper.lifecycle.enter(Phase::Serving);

    while signals.forever().next() == Some(SIGHUP) {
        gatekeeper.reload();
    }
    gatekeeper.lifecycle.enter(Phase::Draining);
    gatekeeper.wake_timer.wake_now();
    if let Some(cluster_node) = &cluster_node {
        cluster_node.leave();
    }
    end_receiver.recv().map_err(|_| GatekeeperError::TimerEnded)
}

/// Builds and connects the components.
fn build(config: &Config) -> Result<Gatekeeper, GatekeeperError> {
    let clock = Clock::start();
    let settings = &config.settings;
    let (max_clients, max_workers) = split_descriptors(config.limits.sockets);
    limit_connection_memory((config.limits.memory_mb << 20) as usize / CONNECTION_MEMORY_DIVISOR);
    let wake_timer =
        WakeTimer::new(clock, settings.policy.time_resolution).map_err(GatekeeperError::Timer)?;
    let wake_timer = Arc::new(wake_timer);
    let lifecycle = Arc::new(Lifecycle::new());
    let dispatcher: Arc<ClientDispatcher> =
        Arc::new(Dispatcher::new(clock.now(), config.seed, &settings.policy));
    let pool = WorkerPool::new(settings.timeouts, max_workers);
    let forwarder = Arc::new(Forwarder::new(clock, wake_timer.clone(), dispatcher.clone(), pool));
    let registry = Arc::new(ClientRegistry::new(max_clients));
    let context = Arc::new(ClientContext {
        clock,
        lifecycle: lifecycle.clone(),
        open_ids: OpenIds::default(),
        parser: RequestParser::new(settings.names.clone(), settings.bounds.clone()),
    });
    let clients = Arc::new(ClientHandler {
        context,
        registry: registry.clone(),
        listener: ClientListener::bind(config.listen, registry)?,
        dispatcher: dispatcher.clone(),
        forwarder: forwarder.clone(),
        wake_timer: wake_timer.clone(),
    });
    let discovery = Arc::new(new_discovery(config, clock, &dispatcher, &forwarder));
    let counter = Arc::new(new_counter(config, clock, &dispatcher));
    let timeouts = settings.policy.operations.iter().map(|operation| operation.integration_timeout);
    let longest = timeouts.max().unwrap_or(MAX_INTEGRATION_TIMEOUT);
    let final_reply_after = longest.min(MAX_INTEGRATION_TIMEOUT) + FINAL_REPLY_MARGIN;
    Ok(Gatekeeper {
        clock,
        wake_timer,
        lifecycle,
        dispatcher,
        forwarder,
        clients,
        discovery,
        counter,
        final_reply_after,
    })
}

/// Returns the maximum numbers of connections to clients and to workers.
fn split_descriptors(descriptors: usize) -> (usize, usize) {
    let usable = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_USABLE_DESCRIPTORS);
    let clients = (usable as f64 * CLIENT_FRACTION) as usize;
    (clients, usable - clients)
}

fn new_discovery(
    config: &Config,
    clock: Clock,
    dispatcher: &Arc<ClientDispatcher>,
    forwarder: &Arc<Forwarder>,
) -> DiscoveryClient {
    let (dispatcher, forwarder) = (dispatcher.clone(), forwarder.clone());
    let on_update = move |update: WorkerListUpdate| {
        for change in &update.endpoints {
            match *change {
                EndpointChange::Update { worker, address, is_draining } => {
                    forwarder.pool.update_worker(worker, address, is_draining);
                }
                EndpointChange::Remove(worker) => forwarder.pool.remove_worker(worker),
            }
        }
        dispatcher.update_workers(clock.now(), update.kind, &update.entries);
    };
    DiscoveryClient::new(clock, config.discovery, config.settings.names.clone(), Box::new(on_update))
}

fn new_counter(config: &Config, clock: Clock, dispatcher: &Arc<ClientDispatcher>) -> CounterClient {
    let dispatcher = dispatcher.clone();
    let on_reply = move |now, key, outcome, total| dispatcher.on_counter_reply(now, key, outcome, total);
    CounterClient::new(clock, config.counter, config.settings.timeouts.counter, Box::new(on_reply))
}
