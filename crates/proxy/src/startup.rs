//! From the settings to a running proxy, and to its end.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Settings;
use lynxstair_config::settings_reload::ReloadTrigger;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{configure_runtime, spawn};
use lynxstair_net::ring_buffer::limit_buffer_memory;
use lynxstair_net::server::{self, Request, Response, ServerLimits};
use lynxstair_protocol::messages::ProxyInfo;
use lynxstair_service::{Signals, StartError, fnv1a};

use crate::phase::Phase;
use crate::proxy::Proxy;
use crate::{client_reader, control_client};

/// Descriptors that are kept back for control connections and files; what is left is split between clients and workers.
const RESERVED_DESCRIPTORS: usize = 300;
const MIN_DESCRIPTORS: usize = 32;
const CLIENTS_PART: f64 = 0.6;
/// The part of the memory that the buffers of all connections may take: one half.
const BUFFER_DIVISOR: usize = 2;
/// How often the periodic upkeep is done.
const UPKEEP_INTERVAL: Span = Span::from_millis(200);
/// How often it is logged what went to workers that may be warming up.
const USAGE_LOG_INTERVAL: Span = Span::from_millis(1_000);
/// After SIGTERM clients still come for this part of the grace, as they learn of it late. What is admitted last has the time
/// up to `ANSWERING_PART` to be answered by its worker.
const DRAINING_PART: f64 = 0.48;
/// After this part no worker is waited for any more: what has no reply gets a response of the proxy's own,
const ANSWERING_PART: f64 = 0.9;
/// and after this part the process ends, before the platform ends it.
const END_PART: f64 = 0.95;
/// How often a proxy that is closing looks whether its clients are gone.
const CLOSING_INTERVAL: Span = Span::from_millis(20);
/// The first heartbeat is sent at a random time after the start: no earlier than this,
const MIN_HEARTBEAT_OFFSET_MS: u64 = 200;
/// and within this time from then on, so that proxies that start together do not send together.
const HEARTBEAT_SPREAD_MS: u64 = 800;
/// Limits of the readiness address.
const READINESS_LIMITS: ServerLimits = ServerLimits { max_body: 1024, max_connections: 64 };

/// Serves until the process is told to end.
pub fn run(settings: Settings) -> Result<(), StartError> {
    configure_runtime();
    let clock = Clock::start();
    let front = settings.front.ok_or(StartError::MissingSetting("bind.front"))?;
    let signals = Signals::catch()?;
    let alarms = Arc::new(Alarms::new(clock).map_err(|e| StartError::System("timer", e))?);
    let proxy = Arc::new(new_proxy(settings, front, alarms));
    spawn_coroutines(&proxy, front)?;
    let (reloaded, ended) = (proxy.clone(), proxy);
    let reload = || control_client::reload_settings(&reloaded, ReloadTrigger::Signal);
    signals.run_until_shutdown(reload, move || shut_down(&ended));
    Ok(())
}

fn new_proxy(settings: Settings, front: SocketAddr, alarms: Arc<Alarms>) -> Proxy {
    limit_buffer_memory((settings.limits.memory_mb << 20) as usize / BUFFER_DIVISOR);
    let descriptors = settings.limits.max_fds.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS);
    let max_clients = (descriptors as f64 * CLIENTS_PART) as usize;
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

/// Starts everything that runs beside the main thread.
fn spawn_coroutines(proxy: &Arc<Proxy>, front: SocketAddr) -> Result<(), StartError> {
    let front = server::listen(front)?;
    let readiness = proxy.settings.readiness.map(server::listen).transpose()?;
    info!(node = proxy.settings.node; "proxy started");
    let shared = proxy.clone();
    spawn("alarms", move || shared.alarms.run());
    let shared = proxy.clone();
    spawn("upkeep", move || do_upkeep(&shared));
    control_client::add_controllers(proxy, &proxy.settings.seeds);
    let shared = proxy.clone();
    let offset = MIN_HEARTBEAT_OFFSET_MS + proxy.info.incarnation % HEARTBEAT_SPREAD_MS;
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

fn do_upkeep(proxy: &Proxy) {
    let mut usage_logged_at = proxy.alarms.now();
    loop {
        let now = proxy.alarms.now();
        proxy.routing().tick(now);
        proxy.workers.expire(now);
        if now - usage_logged_at >= USAGE_LOG_INTERVAL {
            usage_logged_at = now;
            log_warm_up_usage(proxy);
        }
        proxy.alarms.sleep_until(now + UPKEEP_INTERVAL);
    }
}

/// A line for each second in which workers that may be warming up got requests: who sent what is not seen anywhere else.
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

/// Graceful shutdown, from SIGTERM to the end.
fn shut_down(proxy: &Proxy) {
    let grace = proxy.settings.bounds.grace;
    let began = proxy.alarms.now();
    proxy.enter(Phase::Draining);
    control_client::send_heartbeats(proxy);
    proxy.alarms.sleep_until(began + grace.times(DRAINING_PART));
    proxy.enter(Phase::Closing);
    let has_ended = wait_until(proxy, began + grace.times(ANSWERING_PART), || proxy.clients.count() == 0);
    if !has_ended {
        proxy.enter(Phase::Answering);
        wait_until(proxy, began + grace.times(END_PART), || proxy.clients.is_flushed());
    }
    // No other coroutine runs between the last look and this: what comes now stays unread.
    proxy.enter(Phase::Ended);
    log_end(proxy, began);
}

/// Looks again and again whether it is so, until then.
fn wait_until(proxy: &Proxy, deadline: Time, is_so: impl Fn() -> bool) -> bool {
    while !is_so() {
        let now = proxy.alarms.now();
        if now >= deadline {
            return false;
        }
        proxy.alarms.sleep_until(now + CLOSING_INTERVAL);
    }
    true
}

/// Whoever asks why a client got no answer finds here how many did not, and how long after SIGTERM the last of them came.
fn log_end(proxy: &Proxy, began: Time) {
    let in_flight = proxy.clients.in_flight();
    let last_read_ms = in_flight.last_read_at.map(|at| (at - began).nanos() / 1_000_000);
    info!(
        connections = proxy.clients.count(), unanswered = in_flight.requests,
        last_read_ms = last_read_ms;
        "proxy stopped"
    );
}
