//! Ids of open requests, stored as hashes. A request with the id of an open one is rejected.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Mutex, MutexGuard};

/// Set of ids of open requests on all connections.
#[derive(Default)]
pub struct OpenIds {
    hashes: Mutex<HashSet<u64>>,
    hasher: RandomState,
}

impl OpenIds {
    fn hashes(&self) -> MutexGuard<'_, HashSet<u64>> {
        self.hashes.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Adds an id and returns its hash; `None` if the id is open already.
    pub fn open(&self, id: &str) -> Option<u64> {
        let hash = self.hasher.hash_one(id);
        self.hashes().insert(hash).then_some(hash)
    }

    /// Removes an id by its hash.
    pub fn close(&self, hash: u64) {
        self.hashes().remove(&hash);
    }
}
