//! The failure detector of a controller: decides whether worker heartbeats are acknowledged and which
//! instances are unresponsive. A controller without quorum contact may receive heartbeats of only some
//! workers, so it acknowledges none and marks no instance as unresponsive.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{Instance, InstanceState};

use crate::instance_registry::InstanceRegistry;

/// If the detector was not called for this long, its process was paused, and heartbeats that arrived
/// meanwhile may still be unread.
const PAUSE_THRESHOLD: Span = Span::from_millis(1_500);

/// Shortest isolation after which all instances become unconfirmed, as worker heartbeats may have been lost
/// or not acknowledged.
const MIN_ISOLATION: Span = Span::from_millis(1_000);

/// Relation of a controller to the quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumRole {
    /// No quorum contact.
    Isolated,
    /// Quorum contact, but not the leader.
    Follower,
    /// Quorum contact as the established leader.
    Leader,
}

impl QuorumRole {
    /// Returns the role of a node. `is_leader` is `true` on the established leader.
    pub fn new(has_quorum_contact: bool, is_leader: bool) -> QuorumRole {
        match (has_quorum_contact, is_leader) {
            (false, _) => QuorumRole::Isolated,
            (true, false) => QuorumRole::Follower,
            (true, true) => QuorumRole::Leader,
        }
    }
}

/// Result of a heartbeat or a deregistration of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatOutcome {
    /// The resulting state of the instance, to be sent to the other controllers; `None` if it is unknown.
    pub instance: Option<Instance>,
    /// `true` if something that proxies act on has changed, so that it is sent to them as well.
    pub is_changed: bool,
    /// `true` if the call may be acknowledged. Otherwise the worker calls the next controller.
    pub is_acknowledged: bool,
}

/// The instance registry of a controller, and its relation to the quorum.
#[derive(Debug)]
pub struct FailureDetector {
    registry: InstanceRegistry,
    heartbeat_period: Span,
    quorum_role: QuorumRole,
    /// Start of the current uninterrupted period as leader with quorum contact.
    leader_since: Option<Time>,
    isolated_since: Option<Time>,
    /// Time of the last call of `set_quorum_role`.
    checked_at: Time,
}

impl FailureDetector {
    /// Creates a detector without quorum contact. `heartbeat_period` is the time between heartbeats of a
    /// worker.
    pub fn new(now: Time, registry: InstanceRegistry, heartbeat_period: Span) -> FailureDetector {
        FailureDetector {
            registry,
            heartbeat_period,
            quorum_role: QuorumRole::Isolated,
            leader_since: None,
            isolated_since: None,
            checked_at: now,
        }
    }

    /// The registry of the monitored instances.
    pub fn registry(&self) -> &InstanceRegistry {
        &self.registry
    }

    /// Sets the current role. Must be called before each heartbeat, deregistration and detection, and at
    /// least once per second.
    pub fn set_quorum_role(&mut self, now: Time, quorum_role: QuorumRole) {
        let was_paused = now - self.checked_at > PAUSE_THRESHOLD;
        self.checked_at = now;
        self.quorum_role = quorum_role;
        self.track_isolation(now, was_paused);
        self.leader_since = match (quorum_role, self.leader_since) {
            (QuorumRole::Leader, Some(since)) if !was_paused => Some(since),
            (QuorumRole::Leader, _) => Some(now),
            _ => None,
        };
    }

    /// Marks all instances as unconfirmed after an isolation or a pause of this process: workers back off
    /// while their heartbeats are not acknowledged, so their last reports may be outdated.
    fn track_isolation(&mut self, now: Time, was_paused: bool) {
        if self.quorum_role == QuorumRole::Isolated {
            self.isolated_since.get_or_insert(now);
            return;
        }
        let was_isolated = self.isolated_since.take().is_some_and(|since| now - since >= MIN_ISOLATION);
        if was_isolated || was_paused {
            self.registry.mark_unconfirmed(|_| true);
        }
    }

    /// Returns `true` if this controller is the leader and all ready instances are confirmed.
    pub fn has_complete_view(&self) -> bool {
        self.leader_since.is_some() && !self.registry.has_unconfirmed()
    }

    /// Handles the end of a zone's evacuation: its workers may have to warm up again, so they become
    /// unconfirmed.
    pub fn on_zone_restored(&mut self, zone: &str) {
        self.registry.mark_unconfirmed(|instance| instance.zone == zone);
    }

    /// Returns reports of all instances for other processes. Without quorum contact, all of them are
    /// unconfirmed.
    pub fn snapshot(&self, now: Time) -> Vec<Instance> {
        self.snapshot_of(now, |_| true)
    }

    /// Returns reports of the instances in some states, as [`FailureDetector::snapshot`] does.
    pub fn snapshot_of(&self, now: Time, is_included: impl Fn(InstanceState) -> bool) -> Vec<Instance> {
        let mut instances = self.registry.snapshot_of(now, is_included);
        if self.quorum_role == QuorumRole::Isolated {
            instances.iter_mut().for_each(|instance| instance.is_unconfirmed = true);
        }
        instances
    }

    /// Records a heartbeat of a worker.
    pub fn record_heartbeat(&mut self, now: Time, instance: &Instance) -> HeartbeatOutcome {
        let is_changed = self.registry.update(now, instance);
        self.outcome(now, &instance.id, is_changed)
    }

    /// Records a deregistration. Not acknowledged if the instance is unknown here, as this controller cannot
    /// pass it on to the others; the worker then calls another controller.
    pub fn deregister(&mut self, now: Time, id: &str) -> HeartbeatOutcome {
        let was_known = self.registry.deregister(now, id).is_some();
        let outcome = self.outcome(now, id, was_known);
        HeartbeatOutcome { is_acknowledged: outcome.is_acknowledged && was_known, ..outcome }
    }

    fn outcome(&self, now: Time, id: &str, is_changed: bool) -> HeartbeatOutcome {
        let is_acknowledged = self.quorum_role != QuorumRole::Isolated;
        HeartbeatOutcome { instance: self.registry.get(now, id), is_changed, is_acknowledged }
    }

    /// Applies reports of another controller. Returns the instances that have changed for proxies.
    pub fn apply_updates(&mut self, now: Time, instances: &[Instance]) -> Vec<Instance> {
        let changed: Vec<&Instance> =
            instances.iter().filter(|instance| self.registry.update(now, instance)).collect();
        changed.iter().filter_map(|instance| self.registry.get(now, &instance.id)).collect()
    }

    /// Removes expired instances. Returns those that have become unresponsive. Only the leader detects them,
    /// and only the time since it became leader counts: controllers that acknowledge a heartbeat pass it on
    /// to the leader, so an instance that is silent for the leader is silent for all controllers.
    pub fn detect_unresponsive(&mut self, now: Time) -> Vec<Instance> {
        self.registry.expire(now, self.heartbeat_period);
        let Some(since) = self.leader_since else { return Vec::new() };
        let unresponsive = self.registry.detect_unresponsive(now, self.heartbeat_period, since);
        unresponsive.iter().filter_map(|id| self.registry.get(now, id)).collect()
    }
}
