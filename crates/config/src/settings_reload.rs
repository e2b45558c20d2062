//! The settings file while a program runs. It may be replaced with a signal or without one; the one setting that is
//! taken over is the list of seeds.

use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::time::SystemTime;

use log::{info, warn};

use crate::settings::{SETTINGS_VARIABLE, Settings, SettingsError};

/// Why the file is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadTrigger {
    /// SIGHUP.
    Signal,
    /// No controller is connected: the file may name others, even if it has not changed.
    Isolated,
    /// It is time to look whether the file has changed.
    Periodic,
}

impl ReloadTrigger {
    /// The trigger of a process that may be isolated: it looks at the file even if that has not changed.
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

/// When a file was changed, its length, and its inode: a file that is put in its place differs in one of them.
type FileStamp = (SystemTime, u64, u64);

/// Watches one settings file.
#[derive(Debug, Default)]
pub struct SettingsReload {
    file: String,
    seen: Option<FileStamp>,
}

impl SettingsReload {
    /// The file that the environment names, as it was read at the start.
    pub fn from_environment() -> SettingsReload {
        SettingsReload::new(std::env::var(SETTINGS_VARIABLE).unwrap_or_default())
    }

    /// A file as it is now.
    pub fn new(file: String) -> SettingsReload {
        let mut reload = SettingsReload { file, seen: None };
        reload.seen = reload.stamp();
        reload
    }

    /// The seeds that the file names, where it has changed since it was last looked at; in any case where it is forced.
    pub fn poll(&mut self, is_forced: bool) -> Option<Result<Vec<SocketAddr>, SettingsError>> {
        let stamp = self.stamp();
        if stamp == self.seen && !is_forced {
            return None;
        }
        self.seen = stamp;
        Some(Settings::from_file(&self.file).map(|settings| settings.seeds))
    }

    /// The same for a program: a file that can't be used is logged and changes nothing. `add_seeds` takes the seeds over
    /// and returns whether one of them is new.
    pub fn reload_seeds(&mut self, trigger: ReloadTrigger, add_seeds: impl FnOnce(&[SocketAddr]) -> bool) {
        match self.poll(trigger != ReloadTrigger::Periodic) {
            None => {}
            Some(Ok(seeds)) => {
                let has_new = add_seeds(&seeds);
                // An isolated process looks again and again, and finds the same.
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
