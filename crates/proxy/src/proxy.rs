//! What the coroutines of a proxy share.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use log::info;
use lynxstair_config::settings::Settings;
use lynxstair_config::settings_reload::SettingsReload;
use lynxstair_net::alarms::Alarms;
use lynxstair_protocol::messages::ProxyInfo;

use crate::client_registry::ClientRegistry;
use crate::control_connections::ControlConnections;
use crate::phase::Phase;
use crate::routing_state::RoutingState;
use crate::worker_pool::WorkerPool;

/// One proxy: its state and its ports.
pub struct Proxy {
    /// As read at the start.
    pub settings: Settings,
    /// What controllers are told of it.
    pub info: ProxyInfo,
    /// Clock and timers.
    pub alarms: Arc<Alarms>,
    /// Watches the settings file.
    pub reload: Mutex<SettingsReload>,
    /// Clients' connections.
    pub clients: ClientRegistry,
    /// Connections to workers.
    pub workers: WorkerPool,
    routing: Mutex<RoutingState>,
    control: Mutex<ControlConnections>,
    phase: AtomicU8,
}

impl Proxy {
    /// A proxy that does not run yet. `max_clients`, `max_workers`: how many connections there may be to each.
    pub fn new(
        settings: Settings,
        info: ProxyInfo,
        alarms: Arc<Alarms>,
        max_clients: usize,
        max_workers: usize,
    ) -> Proxy {
        Proxy {
            routing: Mutex::new(RoutingState::new(alarms.now(), &settings, info.incarnation)),
            control: Mutex::default(),
            reload: Mutex::new(SettingsReload::from_environment()),
            clients: ClientRegistry::new(max_clients),
            workers: WorkerPool::new(max_workers),
            phase: AtomicU8::new(Phase::Serving as u8),
            settings,
            info,
            alarms,
        }
    }

    /// The routing state, locked. To be held for short, and over no wait.
    pub fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The connections to controllers, locked. Where both are, this one is locked first.
    pub fn control(&self) -> MutexGuard<'_, ControlConnections> {
        self.control.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_at_least(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) >= phase as u8
    }

    /// Whether every connection ends with its last response.
    pub fn is_closing(&self) -> bool {
        self.is_at_least(Phase::Closing)
    }

    /// Whether nothing more is read.
    pub fn has_ended(&self) -> bool {
        self.is_at_least(Phase::Ended)
    }

    /// Enters a phase. Every change of phase is made here.
    pub fn enter(&self, phase: Phase) {
        info!(phase = format!("{phase:?}"); "phase changed");
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.routing().enter(phase);
        if phase >= Phase::Closing {
            // Those that rest end, the others with their last response.
            self.clients.wake_all();
        }
        if phase >= Phase::Answering {
            self.clients.shut_down_all();
        }
    }
}
