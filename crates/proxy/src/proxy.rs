//! State shared by the coroutines of a proxy.

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

/// Shared state of one proxy process.
pub struct Proxy {
    /// Settings as read at start-up.
    pub settings: Settings,
    /// Description of this proxy, sent to the controllers.
    pub info: ProxyInfo,
    /// Clock and timers.
    pub alarms: Arc<Alarms>,
    /// Reloads the controller seeds from the settings file.
    pub reload: Mutex<SettingsReload>,
    /// Open client connections.
    pub clients: ClientRegistry,
    /// Pool of worker connections.
    pub workers: WorkerPool,
    routing: Mutex<RoutingState>,
    control: Mutex<ControlConnections>,
    phase: AtomicU8,
}

impl Proxy {
    /// Creates the state of a proxy. `max_clients`, `max_workers`: limits of open connections to clients and
    /// workers.
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

    /// Locks the routing state. The lock must not be held across a wait.
    pub fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Locks the connections to controllers. A caller that needs both locks takes this one before `routing`.
    pub fn control(&self) -> MutexGuard<'_, ControlConnections> {
        self.control.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn is_at_least(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) >= phase as u8
    }

    /// Returns `true` from phase `Closing` on.
    pub fn is_closing(&self) -> bool {
        self.is_at_least(Phase::Closing)
    }

    /// Returns `true` in phase `Ended`.
    pub fn has_ended(&self) -> bool {
        self.is_at_least(Phase::Ended)
    }

    /// Enters a phase and wakes the client connections that must react. The only place that changes the
    /// phase.
    pub fn enter(&self, phase: Phase) {
        info!(phase = format!("{phase:?}"); "phase changed");
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.routing().enter(phase);
        if phase >= Phase::Closing {
            // Idle connections close now, the others after their last response.
            self.clients.wake_all();
        }
        if phase >= Phase::Answering {
            self.clients.shut_down_all();
        }
    }
}
