//! The configuration as committed, as far as it is known here.

use lynxstair_control_state::config_store::ConfigStore;
use lynxstair_control_state::delta_log::DeltaLog;

/// The newest committed configuration, and how it came to be what it is.
#[derive(Default)]
pub struct CommittedConfig {
    /// The newest one that could be decoded.
    pub store: ConfigStore,
    /// What was committed last could not be decoded here: the configuration is neither read out nor changed.
    pub is_unreadable: bool,
    /// The changes between the newest revisions, for subscribers.
    pub deltas: DeltaLog,
}

impl CommittedConfig {
    /// A configuration was committed. Returns whether it is newer than the one here.
    pub fn advance(&mut self, store: ConfigStore) -> bool {
        self.is_unreadable = false;
        if store.revision <= self.store.revision {
            return false;
        }
        self.deltas.record(&self.store, &store);
        self.store = store;
        true
    }
}
