//! Start-up and graceful shutdown of a proxy process.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Settings;
use lynxstair_config::settings_reload::ReloadTrigger;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{configure_runtime, spawn};
use lynxstair_net::memory_budget::limit_connection_memory;
use lynxstair_net::server::{self, Request, Response, ServerLimits};
use lynxstair_protocol::messages::ProxyInfo;
use lynxstair_service::{Signals, StartError, fnv1a};

use crate::phase::Phase;
use crate::proxy::Proxy;
use crate::{client_reader, control_client};

/// File descriptors reserved for control connections and files; the rest is split between clients and
/// workers.
const RESERVED_DESCRIPTORS: usize = 300;
/// Least number of descriptors for clients and workers together.
const MIN_DESCRIPTORS: usize = 32;
/// Fraction of these descriptors that clients may use.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.6;
/// Connections and requests may take the memory limit divided by this.
const CONNECTION_MEMORY_DIVISOR: usize = 2;
/// Interval of periodic maintenance.
const MAINTENANCE_INTERVAL: Span = Span::from_millis(200);
/// Interval at which requests to workers that may be warming up are logged.
const USAGE_LOG_INTERVAL: Span = Span::from_millis(1_000);
/// End of `Draining` after SIGTERM, as a fraction of the grace period: clients learn of the shutdown with a
/// delay. A request admitted last has until `ANSWERING_START_FRACTION` to get the worker's reply.
const DRAINING_END_FRACTION: f64 = 0.48;
/// Start of `Answering`, as a fraction of the grace period: requests without a reply get the proxy's own
/// response.
const ANSWERING_START_FRACTION: f64 = 0.9;
/// Latest exit of the process, as a fraction of the grace period, before the platform kills it.
const EXIT_FRACTION: f64 = 0.95;
/// Interval of checks of the client connections during shutdown.
const SHUTDOWN_CHECK_INTERVAL: Span = Span::from_millis(20);
/// Shortest delay of the first heartbeat.
const MIN_HEARTBEAT_OFFSET_MS: u64 = 200;
/// Range of the jitter added to it, so that proxies started together do not send at the same time.
const HEARTBEAT_JITTER_MS: u64 = 800;
/// Limits of the readiness server; the body limit is in bytes.
const READINESS_LIMITS: ServerLimits = ServerLimits { max_body_bytes: 1024, max_connections: 64 };

/// Runs the proxy until SIGTERM and then shuts it down gracefully.
pub fn run(settings: Settings) -> Result<(), StartError> {
    configure_runtime();
    let clock = Clock::start();
    let front = settings.front.ok_or(StartError::MissingSetting("bind.front"))?;
    let signals = Signals::catch()?;
    let alarms = Arc::new(Alarms::new(clock).map_err(|e| StartError::System("timer", e))?);
    let proxy = Arc::new(new_proxy(settings, front, alarms));
    spawn_coroutines(&proxy, front)?;
    let (reload_proxy, shutdown_proxy) = (proxy.clone(), proxy);
    let reload = || control_client::reload_settings(&reload_proxy, ReloadTrigger::Signal);
    signals.run_until_shutdown(reload, move || shut_down(&shutdown_proxy));
    Ok(())
}

fn new_proxy(settings: Settings, front: SocketAddr, alarms: Arc<Alarms>) -> Proxy {
    limit_connection_memory((settings.limits.memory_mb << 20) as usize / CONNECTION_MEMORY_DIVISOR);
    let descriptors = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
    let max_clients = (descriptors as f64 * CLIENT_DESCRIPTOR_FRACTION) as usize;
    let start = alarms.now().nanos() ^ u64::from(std::process::id()) << 40;
    let info = ProxyInfo {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        client_address: front,
        incarnation: fnv1a(start, &settings.node),
    };
    Proxy::new(settings, info, alarms, max_clients, descriptors - max_clients)
}

/// Starts all coroutines of the proxy.
fn spawn_coroutines(proxy: &Arc<Proxy>, front: SocketAddr) -> Result<(), StartError> {
    let front = server::listen_to_callers(front)?;
    let readiness = proxy.settings.readiness.map(server::listen_to_callers).transpose()?;
    info!(node = proxy.settings.node; "proxy started");
    let shared = proxy.clone();
    spawn("alarms", move || shared.alarms.run());
    let shared = proxy.clone();
    spawn("upkeep", move || run_maintenance(&shared));
    control_client::add_controllers(proxy, &proxy.settings.seeds);
    let shared = proxy.clone();
    let offset = MIN_HEARTBEAT_OFFSET_MS + proxy.info.incarnation % HEARTBEAT_JITTER_MS;
    spawn("heartbeats", move || control_client::run(&shared, Span::from_millis(offset)));
    if let Some(readiness) = readiness {
        let (shared, alarms) = (proxy.clone(), proxy.alarms.clone());
        let handler = Arc::new(move |call: &Request| answer_readiness(&shared, call));
        spawn("readiness", move || server::serve(&readiness, &alarms, READINESS_LIMITS, &handler));
    }
    let shared = proxy.clone();
    spawn("clients", move || client_reader::accept_clients(&shared, &front));
    Ok(())
}

fn run_maintenance(proxy: &Proxy) {
    let mut usage_logged_at = proxy.alarms.now();
    loop {
        let now = proxy.alarms.now();
        proxy.routing().tick(now);
        proxy.workers.expire(now);
        if now - usage_logged_at >= USAGE_LOG_INTERVAL {
            usage_logged_at = now;
            log_warm_up_usage(proxy);
        }
        proxy.alarms.sleep_until(now + MAINTENANCE_INTERVAL);
    }
}

/// Logs the requests that this proxy sent to workers that may be warming up since the last call.
fn log_warm_up_usage(proxy: &Proxy) {
    let (usage, proxies) = {
        let mut routing = proxy.routing();
        (routing.take_warm_up_usage(), routing.proxies_in_zone())
    };
    let Some(usage) = usage else { return };
    info!(
        workers = usage.workers, known = usage.to_warming, unknown = usage.to_unknown,
        most = usage.max_per_worker, proxies = proxies;
        "requests to warming workers"
    );
}

fn answer_readiness(proxy: &Proxy, call: &Request) -> Response {
    match (call.method, &call.segments[..]) {
        ("GET", ["readiness"]) => {
            let is_ready = proxy.routing().is_ready(proxy.alarms.now());
            Response::new(if is_ready { 200 } else { 503 })
        }
        _ => Response::new(404),
    }
}

/// Shuts down gracefully: drains, closes connections, and answers the remaining requests.
fn shut_down(proxy: &Proxy) {
    let grace = proxy.settings.bounds.grace;
    let sigterm_at = proxy.alarms.now();
    proxy.enter(Phase::Draining);
    control_client::send_heartbeats(proxy);
    proxy.alarms.sleep_until(sigterm_at + grace.times(DRAINING_END_FRACTION));
    proxy.enter(Phase::Closing);
    let has_ended =
        wait_until(proxy, sigterm_at + grace.times(ANSWERING_START_FRACTION), || proxy.clients.count() == 0);
    if !has_ended {
        proxy.enter(Phase::Answering);
        wait_until(proxy, sigterm_at + grace.times(EXIT_FRACTION), || proxy.clients.is_flushed());
    }
    // No other coroutine runs between the last check and this, so requests that arrive now stay unread.
    proxy.enter(Phase::Ended);
    log_stopped(proxy, sigterm_at);
}

/// Polls a condition until it holds. Returns `false` if the deadline passes first.
fn wait_until(proxy: &Proxy, deadline: Time, condition: impl Fn() -> bool) -> bool {
    while !condition() {
        let now = proxy.alarms.now();
        if now >= deadline {
            return false;
        }
        proxy.alarms.sleep_until(now + SHUTDOWN_CHECK_INTERVAL);
    }
    true
}

/// Logs how many requests are left without a response, and how long after SIGTERM the newest of them was
/// read.
fn log_stopped(proxy: &Proxy, sigterm_at: Time) {
    let in_flight = proxy.clients.in_flight();
    let last_read_ms = in_flight.last_read_at.map(|at| (at - sigterm_at).nanos() / 1_000_000);
    info!(
        connections = proxy.clients.count(), unanswered = in_flight.requests,
        last_read_ms = last_read_ms;
        "proxy stopped"
    );
}
