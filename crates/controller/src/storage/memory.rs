//! In-memory store, for tests and for controllers without a data folder.

use std::collections::BTreeMap;

use lynxstair_consensus::PersistentState;
use lynxstair_protocol::messages::Instance;

use super::{DepartureChanges, StorageError, Store};

/// Store that loses its data when the process exits.
#[derive(Default)]
pub struct MemoryStore {
    state: Option<PersistentState>,
    instances: Vec<u8>,
    departures: BTreeMap<String, Instance>,
}

impl Store for MemoryStore {
    fn load(&mut self) -> Result<Option<PersistentState>, StorageError> {
        Ok(self.state.clone())
    }

    fn save(&mut self, state: &PersistentState) -> Result<(), StorageError> {
        self.state = Some(state.clone());
        Ok(())
    }

    fn is_emptied(&self) -> bool {
        false
    }

    fn load_instances(&mut self) -> Result<Vec<u8>, StorageError> {
        Ok(self.instances.clone())
    }

    fn save_instances(&mut self, instances: &[u8]) -> Result<(), StorageError> {
        self.instances = instances.to_vec();
        Ok(())
    }

    fn load_departures(&mut self) -> Result<Vec<Instance>, StorageError> {
        Ok(self.departures.values().cloned().collect())
    }

    fn save_departures(&mut self, changes: &DepartureChanges) -> Result<(), StorageError> {
        self.departures.retain(|id, _| !changes.removed.contains(id));
        let added = changes.added.iter().map(|instance| (instance.id.clone(), instance.clone()));
        self.departures.extend(added);
        Ok(())
    }
}
