//! Start-up and graceful shutdown of a controller.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Settings;
use lynxstair_config::settings_reload::ReloadTrigger;
use lynxstair_consensus::{Consensus, ConsensusConfig, NodeAddress};
use lynxstair_control_state::departure_log::DepartureLog;
use lynxstair_control_state::directory::Directory;
use lynxstair_control_state::membership_planner::MembershipPlanner;
use lynxstair_control_state::quota_limits::MAX_TOKEN_AGE;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{configure_runtime, spawn};
use lynxstair_net::memory_budget::limit_connection_memory;
use lynxstair_net::server::{self, Request};
use lynxstair_protocol::messages::Instance;
use lynxstair_service::{FNV_OFFSET, Signals, StartError, fnv1a};

use crate::blocking_pool::BlockingPool;
use crate::committed_config::CommittedConfig;
use crate::consensus_driver::{on_persisted, perform_actions};
use crate::consensus_status::LoggedStatus;
use crate::controller::Controller;
use crate::departures::{self, DepartureWaiters};
use crate::disk_writer::Written;
use crate::instances::Instances;
use crate::peer_connections::PeerConnections;
use crate::pending_requests::PendingRequests;
use crate::state::ControllerState;
use crate::storage::{MemoryStore, SqliteStore, StorageError, Store};
use crate::subscribers::Subscribers;
use crate::timer::Timer;
use crate::{directory_api, disk_writer, http_api, inbound, peer_links, settings_watch, timers};

/// Delay before opening the database is retried.
const STORAGE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of retries while another process, which may be about to exit, has the database open.
const MAX_LOCKED_RETRIES: usize = 60;
/// Interval at which a controller that is shutting down checks whether it may exit.
const SHUTDOWN_CHECK_INTERVAL: Span = Span::from_millis(20);
/// Stack size of the disk thread.
const DISK_STACK_BYTES: usize = 256 << 10;

/// Runs a controller until a signal shuts it down. Returns an error if it cannot start.
pub fn run(settings: Settings) -> Result<(), StartError> {
    configure_runtime();
    let clock = Clock::start();
    let me = settings.control.ok_or(StartError::MissingSetting("bind.control"))?;
    let mut store = open_store(&settings).map_err(storage_error)?;
    let signals = Signals::catch()?;
    let alarms = Arc::new(Alarms::new(clock).map_err(|e| StartError::System("timer", e))?);
    let state = initial_state(alarms.now(), me, &settings, &mut *store).map_err(storage_error)?;
    let pool = BlockingPool::spawn().map_err(|e| StartError::System("blocking thread", e))?;
    let controller = Arc::new(Controller::new(settings, alarms, pool, state));
    spawn_disk_writer(&controller, clock, store)?;
    spawn_coroutines(&controller)?;
    let (reloaded, ended) = (controller.clone(), controller);
    let reload = || settings_watch::reload(&reloaded, ReloadTrigger::Signal);
    signals.run_until_shutdown(reload, move || shut_down(&ended));
    info!("controller stopped");
    Ok(())
}

fn storage_error(source: StorageError) -> StartError {
    StartError::Storage(Box::new(source))
}

/// Opens the store of the data folder, or an in-memory store if the settings name no folder. Retries disk
/// and folder errors without limit, because the disk may hold the only copy of the state, and a locked
/// database up to `MAX_LOCKED_RETRIES` times.
fn open_store(settings: &Settings) -> Result<Box<dyn Store>, StorageError> {
    let Some(folder) = &settings.data_dir else { return Ok(Box::new(MemoryStore::default())) };
    let mut locked_retries = 0..MAX_LOCKED_RETRIES;
    let should_retry = |error: &StorageError| {
        thread::sleep(STORAGE_RETRY_DELAY);
        !matches!(error, StorageError::Locked { .. }) || locked_retries.next().is_some()
    };
    Ok(Box::new(SqliteStore::open(Path::new(folder), should_retry)?))
}

fn initial_state(
    now: Time,
    me: NodeAddress,
    settings: &Settings,
    store: &mut dyn Store,
) -> Result<ControllerState, StorageError> {
    let stored = store.load()?;
    // Stored instances are optional: heartbeats would report the same instances later.
    let encoded = store.load_instances().unwrap_or_default();
    let instances: Vec<Instance> = ciborium::from_reader(&encoded[..]).unwrap_or_default();
    let departed = store.load_departures()?;
    let mut departures = DepartureLog::default();
    for instance in &departed {
        departures.record(&instance.id);
        departures.on_stored(me, &instance.id);
    }
    // A quarantined database shows that this is not the first start.
    let bootstrap = settings.bootstrap && !store.is_emptied();
    info!(node = settings.node, has_state = stored.is_some(), bootstrap = bootstrap; "controller started");
    let config = ConsensusConfig {
        me,
        seeds: &settings.seeds,
        rng_seed: now.nanos() ^ u64::from(me.port()) << 48 ^ fnv1a(FNV_OFFSET, &settings.node),
        stored,
        bootstrap,
        tolerated_disk_losses: settings.fault_budget_machines,
        catch_up_time: settings.bounds.catch_up,
    };
    Ok(ControllerState {
        me,
        started_at: now,
        consensus: Consensus::new(now, config),
        committed: CommittedConfig::default(),
        pending: PendingRequests::default(),
        instances: Instances::new(now, &departed, &instances, settings.heartbeat_period),
        departures,
        departures_announced_in: 0,
        departure_waiters: DepartureWaiters::default(),
        subscribers: Subscribers::new(&settings.bounds),
        peers: PeerConnections::new(now),
        membership: MembershipPlanner::new(settings.bounds.quota_window + MAX_TOKEN_AGE),
        directory: Directory::default(),
        logged: LoggedStatus::default(),
        timer: Timer::default(),
    })
}

fn spawn_disk_writer(
    controller: &Arc<Controller>,
    clock: Clock,
    store: Box<dyn Store>,
) -> Result<(), StartError> {
    let (controller, queue) = (controller.clone(), controller.disk.clone());
    let run = move || {
        disk_writer::run(&queue, store, clock, |written| match written {
            Written::State(number) => on_persisted(&controller, number),
            Written::Departures(ids) => departures::on_stored_here(&controller, ids),
        });
    };
    let thread = thread::Builder::new().name("disk".to_string()).stack_size(DISK_STACK_BYTES);
    thread.spawn(run).map(|_| ()).map_err(|e| StartError::System("disk thread", e))
}

/// Binds the listeners and spawns all coroutines.
fn spawn_coroutines(controller: &Arc<Controller>) -> Result<(), StartError> {
    let settings = &controller.settings;
    let limits = controller.limits;
    limit_connection_memory(limits.connection_bytes);
    let internal = server::listen(settings.internal_address())?;
    let control = server::listen_to_callers(controller.me)?;
    let directory = settings.directory.map(server::listen_to_callers).transpose()?;
    let shared = controller.clone();
    spawn("alarms", move || shared.alarms.run());
    let shared = controller.clone();
    spawn("timers", move || timers::run(&shared));
    let shared = controller.clone();
    spawn("settings", move || settings_watch::run(&shared));
    connect_to_peers(controller);
    let shared = controller.clone();
    spawn("internal connections", move || inbound::accept_all(&shared, &internal, limits.max_internal));
    let (shared, alarms) = (controller.clone(), controller.alarms.clone());
    let handler = Arc::new(move |call: &Request| http_api::handle(&shared, call));
    spawn("control", move || server::serve(&control, &alarms, limits.control, &handler));
    if let Some(directory) = directory {
        let (shared, alarms) = (controller.clone(), controller.alarms.clone());
        let handler = Arc::new(move |call: &Request| directory_api::handle(&shared, call));
        spawn("directory", move || server::serve(&directory, &alarms, limits.directory, &handler));
    }
    Ok(())
}

fn connect_to_peers(controller: &Arc<Controller>) {
    let now = controller.alarms.now();
    let mut state = controller.state();
    let members = state.members();
    peer_links::add_peers(controller, now, &mut state, &members);
    peer_links::add_peers(controller, now, &mut state, &controller.settings.seeds);
}

/// Shuts down gracefully: transfers leadership, and has a learner replace this controller as a voter if
/// there is one. The controller keeps serving in the meantime.
fn shut_down(controller: &Arc<Controller>) {
    info!("shutdown requested");
    loop {
        let now = controller.alarms.now();
        {
            let mut state = controller.state();
            state.consensus.begin_shutdown(now);
            perform_actions(controller, now, &mut state);
            if state.consensus.may_shut_down(now) {
                return;
            }
        }
        controller.alarms.sleep_until(now + SHUTDOWN_CHECK_INTERVAL);
    }
}
