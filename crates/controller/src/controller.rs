//! What the coroutines of a controller share.

use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair_config::settings::Settings;
use lynxstair_config::settings_reload::SettingsReload;
use lynxstair_consensus::NodeAddress;
use lynxstair_net::alarms::Alarms;

use crate::blocking_pool::BlockingPool;
use crate::command_parser::CommandParser;
use crate::disk_writer::DiskQueue;
use crate::state::ControllerState;

/// One controller: its state and its ports.
pub struct Controller {
    /// As read at the start.
    pub settings: Settings,
    /// Its control address, by which others know it.
    pub me: NodeAddress,
    /// Clock and timers.
    pub alarms: Arc<Alarms>,
    /// Writes to the disk.
    pub disk: Arc<DiskQueue>,
    /// Long computations.
    pub blocking_pool: BlockingPool,
    /// Reads the operator's commands.
    pub command_parser: CommandParser,
    /// Watches the settings file.
    pub reload: Mutex<SettingsReload>,
    state: Mutex<ControllerState>,
}

impl Controller {
    /// A controller that does not run yet.
    pub fn new(
        settings: Settings,
        alarms: Arc<Alarms>,
        blocking_pool: BlockingPool,
        state: ControllerState,
    ) -> Controller {
        Controller {
            me: state.me,
            settings,
            alarms,
            disk: Arc::default(),
            blocking_pool,
            command_parser: CommandParser::default(),
            reload: Mutex::new(SettingsReload::from_environment()),
            state: Mutex::new(state),
        }
    }

    /// The state, locked. To be held for short, and over no wait.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
