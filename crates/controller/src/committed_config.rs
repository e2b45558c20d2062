//! The configuration as committed, as far as it is known here.

use lynxstair::types::Time;
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
    /// When the evacuation of a zone was last seen to end: its workers may have turned cold and not have said so.
    pub zone_restored_at: Option<Time>,
}

impl CommittedConfig {
    /// A configuration was committed. Returns whether it is newer than the one here.
    pub fn advance(&mut self, now: Time, store: ConfigStore) -> bool {
        self.is_unreadable = false;
        if store.revision <= self.store.revision {
            return false;
        }
        self.deltas.record(&self.store, &store);
        if !self.store.evacuated.is_subset(&store.evacuated) {
            self.zone_restored_at = Some(now);
        }
        self.store = store;
        true
    }
}
