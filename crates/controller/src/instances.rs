//! The worker instances as this controller knows them, and when they are to be stored.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::failure_detector::FailureDetector;
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_protocol::messages::{Instance, InstanceState};

/// How often instances are stored, where they changed: known at once after a loss of power, they are served before each has
/// sent a heartbeat again.
const STORE_INTERVAL: Span = Span::from_millis(1_000);

/// Worker instances with their failure detector.
pub struct Instances {
    /// Decides on heartbeats and silence.
    pub detector: FailureDetector,
    is_changed: bool,
    store_at: Time,
}

impl Instances {
    /// `stored`: what was stored before this process began.
    pub fn new(now: Time, stored: &[Instance], heartbeat_period: Span) -> Instances {
        let mut registry = InstanceRegistry::default();
        registry.restore(now, stored, heartbeat_period);
        let detector = FailureDetector::new(now, registry, heartbeat_period);
        Instances { detector, is_changed: false, store_at: now + STORE_INTERVAL }
    }

    /// All instances.
    pub fn snapshot(&self, now: Time) -> Vec<Instance> {
        self.detector.snapshot(now)
    }

    /// How many are ready.
    pub fn ready_count(&self) -> usize {
        let instances = self.detector.registry().instances().values();
        instances.filter(|instance| instance.state == InstanceState::Ready).count()
    }

    /// Something that is stored has changed.
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// The encoded instances, where they are to be stored now.
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
