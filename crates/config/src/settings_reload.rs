//! Reloading of the settings file while a program runs, after a signal or a change of the file. Only the
//! list of seeds is applied.

use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::time::SystemTime;

use log::{info, warn};

use crate::settings::{SETTINGS_VARIABLE, Settings, SettingsError};

/// Reason for a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadTrigger {
    /// SIGHUP was received.
    Signal,
    /// No controller is connected. The file is read even if it has not changed.
    Isolated,
    /// Periodic check whether the file has changed.
    Periodic,
}

impl ReloadTrigger {
    /// Returns [`ReloadTrigger::Isolated`] in place of a periodic check if the process is isolated.
    pub fn or_isolated(self, is_isolated: bool) -> ReloadTrigger {
        match self {
            ReloadTrigger::Periodic if is_isolated => ReloadTrigger::Isolated,
            trigger => trigger,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            ReloadTrigger::Signal => "signal",
            ReloadTrigger::Isolated => "isolated",
            ReloadTrigger::Periodic => "file changed",
        }
    }
}

/// Modification time, length and inode of a file. A replacement differs in at least one of them.
type FileStamp = (SystemTime, u64, u64);

/// Detects changes of one settings file.
#[derive(Debug, Default)]
pub struct SettingsReload {
    file: String,
    /// Stamp at the last read.
    seen: Option<FileStamp>,
}

impl SettingsReload {
    /// Watches the file named by the environment. Its present state counts as read.
    pub fn from_environment() -> SettingsReload {
        SettingsReload::new(std::env::var(SETTINGS_VARIABLE).unwrap_or_default())
    }

    /// Watches `file`. Its present state counts as read.
    pub fn new(file: String) -> SettingsReload {
        let mut reload = SettingsReload { file, seen: None };
        reload.seen = reload.stamp();
        reload
    }

    /// Returns the seeds in the file if it has changed since the last read or if `is_forced`, otherwise
    /// `None`.
    pub fn poll(&mut self, is_forced: bool) -> Option<Result<Vec<SocketAddr>, SettingsError>> {
        let stamp = self.stamp();
        if stamp == self.seen && !is_forced {
            return None;
        }
        self.seen = stamp;
        Some(Settings::from_file(&self.file).map(|settings| settings.seeds))
    }

    /// Reads the file as the trigger requires and passes its seeds to `add_seeds`, which returns `true` if
    /// any of them is new. A file that is invalid or can't be read is logged and ignored.
    pub fn reload_seeds(&mut self, trigger: ReloadTrigger, add_seeds: impl FnOnce(&[SocketAddr]) -> bool) {
        match self.poll(trigger != ReloadTrigger::Periodic) {
            None => {}
            Some(Ok(seeds)) => {
                let has_new = add_seeds(&seeds);
                // An isolated process reads the file repeatedly, so unchanged seeds are not logged.
                if has_new || trigger != ReloadTrigger::Isolated {
                    info!(trigger = trigger.as_str(), seeds = seeds.len(); "seeds reloaded");
                }
            }
            Some(Err(error)) => warn!(error = error.to_string(); "settings reload failed"),
        }
    }

    fn stamp(&self) -> Option<FileStamp> {
        let metadata = std::fs::metadata(&self.file).ok()?;
        Some((metadata.modified().ok()?, metadata.len(), metadata.ino()))
    }
}
