//! The failure detector of a controller: what it answers to a worker's heartbeat, and whether it may call an instance
//! unresponsive. A controller that is partitioned off hears a part of the workers only: it acknowledges nothing, and takes
//! nobody's silence for an end.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::Instance;

use crate::instance_registry::InstanceRegistry;

/// A detector that has not been called for this long was stopped with its process: heartbeats that arrived meanwhile may
/// still be unread.
const STANDSTILL: Span = Span::from_millis(1_500);

/// Out of contact for this long, calls of workers were lost or not acknowledged.
const ISOLATION: Span = Span::from_millis(1_000);

/// How a controller stands to the quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumRole {
    /// Out of contact with it.
    Isolated,
    /// In contact with its leader.
    Follower,
    /// Leads it.
    Leader,
}

impl QuorumRole {
    /// The role of a node, by its quorum contact and by whether it is the established leader.
    pub fn new(has_quorum_contact: bool, is_leader: bool) -> QuorumRole {
        match (has_quorum_contact, is_leader) {
            (false, _) => QuorumRole::Isolated,
            (true, false) => QuorumRole::Follower,
            (true, true) => QuorumRole::Leader,
        }
    }
}

/// What becomes of a worker's call.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatOutcome {
    /// The instance as it is known now, for the other controllers; None where nothing is known of it.
    pub instance: Option<Instance>,
    /// It changes something that proxies act on, so they are told as well.
    pub is_changed: bool,
    /// Whether the worker may be told that it was heard. Else it calls the next controller.
    pub is_acknowledged: bool,
}

/// The instance registry of a controller, and how that stands to the quorum.
#[derive(Debug)]
pub struct FailureDetector {
    registry: InstanceRegistry,
    heartbeat_period: Span,
    quorum_role: QuorumRole,
    /// It has led, in contact with the quorum, without a break since then.
    leader_since: Option<Time>,
    isolated_since: Option<Time>,
    checked_at: Time,
}

impl FailureDetector {
    /// `heartbeat_period`: how often a worker calls.
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

    /// The instances that it watches.
    pub fn registry(&self) -> &InstanceRegistry {
        &self.registry
    }

    /// How the controller stands now; to be told before each call of a worker and each detection, and once a second at
    /// least.
    pub fn set_quorum_role(&mut self, now: Time, quorum_role: QuorumRole) {
        let stood_still = now - self.checked_at > STANDSTILL;
        self.checked_at = now;
        self.quorum_role = quorum_role;
        self.track_isolation(now, stood_still);
        self.leader_since = match (quorum_role, self.leader_since) {
            (QuorumRole::Leader, Some(since)) if !stood_still => Some(since),
            (QuorumRole::Leader, _) => Some(now),
            _ => None,
        };
    }

    /// Workers whose calls are not acknowledged pause longer and longer between them. After a time of isolation, or of
    /// standing still, what they said last may be long past.
    fn track_isolation(&mut self, now: Time, stood_still: bool) {
        if self.quorum_role == QuorumRole::Isolated {
            self.isolated_since.get_or_insert(now);
            return;
        }
        let was_isolated = self.isolated_since.take().is_some_and(|since| now - since >= ISOLATION);
        if was_isolated || stood_still {
            self.registry.mark_unconfirmed(|_| true);
        }
    }

    /// Whether this controller leads, and every instance that counts as ready is confirmed.
    pub fn has_complete_view(&self) -> bool {
        self.leader_since.is_some() && !self.registry.has_unconfirmed()
    }

    /// The evacuation of a zone has ended: its workers may have turned cold.
    pub fn on_zone_restored(&mut self, zone: &str) {
        self.registry.mark_unconfirmed(|instance| instance.zone == zone);
    }

    /// All instances, as others are told of them now. Out of contact, this controller can't say that any of them is as it
    /// was.
    pub fn snapshot(&self, now: Time) -> Vec<Instance> {
        let mut instances = self.registry.snapshot(now);
        if self.quorum_role == QuorumRole::Isolated {
            instances.iter_mut().for_each(|instance| instance.is_unconfirmed = true);
        }
        instances
    }

    /// A worker has sent a heartbeat.
    pub fn record_heartbeat(&mut self, now: Time, instance: &Instance) -> HeartbeatOutcome {
        let is_changed = self.registry.update(now, instance);
        self.outcome(now, &instance.id, is_changed)
    }

    /// A worker says that it ends. An instance that is not known here is not acknowledged, as nobody could be told of it:
    /// another controller knows it.
    pub fn deregister(&mut self, now: Time, id: &str) -> HeartbeatOutcome {
        let is_known = self.registry.deregister(now, id).is_some();
        let outcome = self.outcome(now, id, is_known);
        HeartbeatOutcome { is_acknowledged: outcome.is_acknowledged && is_known, ..outcome }
    }

    fn outcome(&self, now: Time, id: &str, is_changed: bool) -> HeartbeatOutcome {
        let is_acknowledged = self.quorum_role != QuorumRole::Isolated;
        HeartbeatOutcome { instance: self.registry.get(now, id), is_changed, is_acknowledged }
    }

    /// Applies what another controller reports; returns the instances that it changed.
    pub fn apply_updates(&mut self, now: Time, instances: &[Instance]) -> Vec<Instance> {
        let changed: Vec<&Instance> =
            instances.iter().filter(|instance| self.registry.update(now, instance)).collect();
        changed.iter().filter_map(|instance| self.registry.get(now, &instance.id)).collect()
    }

    /// Instances that have become unresponsive, as far as this controller may say so: it has led, in contact with the
    /// quorum, for as long as makes an instance unresponsive. Every controller that acknowledges a heartbeat passes it on
    /// to the leader, so nobody else has heard them either.
    pub fn detect_unresponsive(&mut self, now: Time) -> Vec<Instance> {
        self.registry.expire(now, self.heartbeat_period);
        let Some(since) = self.leader_since else { return Vec::new() };
        let unresponsive = self.registry.detect_unresponsive(now, self.heartbeat_period, since);
        unresponsive.iter().filter_map(|id| self.registry.get(now, id)).collect()
    }
}
