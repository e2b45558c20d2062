//! Worker instances known to this controller, and their periodic storage.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::failure_detector::FailureDetector;
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_protocol::messages::{Instance, InstanceState};

#[cfg(test)]
mod tests;

/// Minimum interval between writes of changed instances. Stored instances are available at once after a
/// power failure, before each has sent a heartbeat again.
const STORE_INTERVAL: Span = Span::from_millis(1_000);

/// Worker instances and the time of their next write.
pub struct Instances {
    /// Registry of the instances with the detection of unresponsive ones.
    pub detector: FailureDetector,
    is_changed: bool,
    store_at: Time,
}

impl Instances {
    /// Creates the registry from the departures and the instances that an earlier process stored. The
    /// departures may be newer.
    pub fn new(now: Time, departed: &[Instance], stored: &[Instance], heartbeat_period: Span) -> Instances {
        let mut registry = InstanceRegistry::default();
        registry.restore_departed(now, departed);
        registry.restore(now, stored, heartbeat_period);
        let detector = FailureDetector::new(now, registry, heartbeat_period);
        // The stored instances may be older than the departures, which are deleted after a while.
        let is_changed = !departed.is_empty();
        Instances { detector, is_changed, store_at: now + STORE_INTERVAL }
    }

    /// Returns all instances.
    pub fn snapshot(&self, now: Time) -> Vec<Instance> {
        self.detector.snapshot(now)
    }

    /// Returns the instances that have departed.
    pub fn departed(&self, now: Time) -> Vec<Instance> {
        self.detector.snapshot_of(now, InstanceState::has_departed)
    }

    /// Returns `true` if an instance is known, or if there is room for another one.
    pub fn has_room_for(&self, id: &str, max_instances: usize) -> bool {
        let known = self.detector.registry().instances();
        known.len() < max_instances || known.contains_key(id)
    }

    /// Returns the number of ready instances.
    pub fn ready_count(&self) -> usize {
        let instances = self.detector.registry().instances().values();
        instances.filter(|instance| instance.state == InstanceState::Ready).count()
    }

    /// Records that an instance has changed and must be stored.
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns the encoded instances if they are to be stored now.
    pub fn poll_store(&mut self, now: Time) -> Option<Vec<u8>> {
        if now < self.store_at || !self.is_changed {
            return None;
        }
        self.store_at = now + STORE_INTERVAL;
        self.is_changed = false;
        let mut encoded = Vec::new();
        ciborium::into_writer(&self.snapshot(now), &mut encoded).ok()?;
        Some(encoded)
    }
}
