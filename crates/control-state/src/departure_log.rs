//! Departures of worker instances, and the controllers whose disks store them.
//!
//! An instance has departed once it drains or has deregistered. A controller acknowledges a departure only
//! when it is durable, that is, synced on enough disks: the acknowledgement must outlast a restart of all
//! controllers and the loss of as many disks as the fault budget names. Afterwards a departed instance never
//! counts as ready again, whatever older reports say.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The controllers that may store a departure, and the number of them that makes it durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DurabilityRule {
    /// Voters of the consensus.
    pub voters: Vec<SocketAddr>,
    /// Number of disks that may be lost at once.
    pub tolerated_disk_losses: usize,
    /// Connected controllers of earlier builds. They do not confirm that a departure is stored, so they count
    /// as storing it, as they did in those builds.
    pub without_confirmations: HashSet<SocketAddr>,
}

impl DurabilityRule {
    /// Returns the number of voters that must store a departure: a majority, and more than may lose their
    /// disks.
    fn required(&self) -> usize {
        let majority = self.voters.len() / 2 + 1;
        majority.max((self.tolerated_disk_losses + 1).min(self.voters.len()))
    }
}

/// Known departures by the id of the instance.
#[derive(Debug, Default)]
pub struct DepartureLog {
    /// Controllers that have confirmed the departure as synced to disk, including this one.
    stored_by: HashMap<String, HashSet<SocketAddr>>,
}

impl DepartureLog {
    /// Records a departure. Returns `true` if it is new, so that it must be written to disk.
    pub fn record(&mut self, id: &str) -> bool {
        if self.stored_by.contains_key(id) {
            return false;
        }
        self.stored_by.insert(id.to_string(), HashSet::new());
        true
    }

    /// Records that a controller has synced a departure to its disk. Ignored if the departure is unknown here:
    /// the controller confirms it again when it is reported to it.
    pub fn on_stored(&mut self, controller: SocketAddr, id: &str) {
        if let Some(stored_by) = self.stored_by.get_mut(id) {
            stored_by.insert(controller);
        }
    }

    /// Forgets what a controller has confirmed. To be called when a controller connects: it may have
    /// restarted with an empty disk.
    pub fn forget_confirmations(&mut self, controller: SocketAddr) {
        self.stored_by.values_mut().for_each(|stored_by| {
            stored_by.remove(&controller);
        });
    }

    /// Returns `true` if a controller has confirmed the departure.
    pub fn is_stored_by(&self, controller: SocketAddr, id: &str) -> bool {
        self.stored_by.get(id).is_some_and(|stored_by| stored_by.contains(&controller))
    }

    /// Returns the ids of all departures that a controller has confirmed.
    pub fn stored_by(&self, controller: SocketAddr) -> Vec<String> {
        let stored = self.stored_by.iter().filter(|(_, stored_by)| stored_by.contains(&controller));
        stored.map(|(id, _)| id.clone()).collect()
    }

    /// Returns `true` if a departure may be acknowledged.
    pub fn is_durable(&self, id: &str, rule: &DurabilityRule) -> bool {
        let Some(stored_by) = self.stored_by.get(id) else { return false };
        let stores =
            |voter: &&SocketAddr| stored_by.contains(*voter) || rule.without_confirmations.contains(*voter);
        rule.voters.iter().filter(stores).count() >= rule.required()
    }

    /// Removes the departures of instances that are no longer known. Returns their ids, to be deleted from
    /// disk.
    pub fn remove_unknown(&mut self, is_known: impl Fn(&str) -> bool) -> Vec<String> {
        let unknown: Vec<String> = self.stored_by.keys().filter(|id| !is_known(id)).cloned().collect();
        unknown.iter().for_each(|id| {
            self.stored_by.remove(id);
        });
        unknown
    }
}
