//! State and resources shared by the coroutines of a controller.

use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Settings;
use lynxstair_config::settings_reload::SettingsReload;
use lynxstair_consensus::NodeAddress;
use lynxstair_net::alarms::Alarms;

use crate::blocking_pool::BlockingPool;
use crate::command_parser::CommandParser;
use crate::disk_writer::DiskQueue;
use crate::process_limits::ProcessLimits;
use crate::state::ControllerState;

/// Time-out of an HTTP request that waits for other controllers. After that the caller moves on anyway.
const REQUEST_TIMEOUT: Span = Span::from_millis(850);

/// Shared state and resources of one controller.
pub struct Controller {
    /// Settings as read at the start.
    pub settings: Settings,
    /// Limits on what callers may make this controller hold.
    pub limits: ProcessLimits,
    /// Control address, which identifies this controller to others.
    pub me: NodeAddress,
    /// Clock and timers.
    pub alarms: Arc<Alarms>,
    /// Queue of the disk writer.
    pub disk: Arc<DiskQueue>,
    /// Thread for long computations.
    pub blocking_pool: BlockingPool,
    /// Parser of operator commands.
    pub command_parser: CommandParser,
    /// Watches the settings file.
    pub reload: Mutex<SettingsReload>,
    state: Mutex<ControllerState>,
}

impl Controller {
    /// Creates a controller; [`crate::startup::run`] starts its threads and coroutines.
    pub fn new(
        settings: Settings,
        alarms: Arc<Alarms>,
        blocking_pool: BlockingPool,
        state: ControllerState,
    ) -> Controller {
        let limits = ProcessLimits::new(&settings.limits);
        Controller {
            me: state.me,
            command_parser: CommandParser::new(limits.command_bytes),
            limits,
            settings,
            alarms,
            disk: Arc::default(),
            blocking_pool,
            reload: Mutex::new(SettingsReload::from_environment()),
            state: Mutex::new(state),
        }
    }

    /// Returns the deadline of the HTTP request that is being handled. It counts from the earliest time at
    /// which the request can have arrived, because after a pause of this process the request may be old.
    pub fn request_deadline(&self) -> Time {
        self.alarms.received_at(self.alarms.now()) + REQUEST_TIMEOUT
    }

    /// Locks the state. The guard must not be held while the coroutine waits.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
