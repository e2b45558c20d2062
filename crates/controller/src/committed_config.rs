//! The newest committed configuration that this controller knows.

use lynxstair_control_state::config_store::ConfigStore;
use lynxstair_control_state::delta_log::DeltaLog;

/// The newest committed configuration, with its recent changes.
#[derive(Default)]
pub struct CommittedConfig {
    /// Newest committed state that could be decoded.
    pub store: ConfigStore,
    /// `true` if the state committed last could not be decoded. The configuration is then neither returned
    /// to the operator nor changed.
    pub is_unreadable: bool,
    /// Changes between recent revisions, for updates of subscribers.
    pub deltas: DeltaLog,
}

impl CommittedConfig {
    /// Replaces the state by a newer committed one. Returns `false` and keeps the state if `store` is not
    /// newer.
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
