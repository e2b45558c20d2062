//! The instance registry: the worker instances and their state, as reported by their heartbeats. Soft state
//! that each heartbeat renews. Every controller and every proxy has its own registry.

use std::collections::HashMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{Instance, InstanceState};

/// Time for which an instance that is no longer ready is kept, so that a late heartbeat does not register it
/// again.
const ENDED_RETENTION: Span = Span::from_millis(60_000);
/// Time for which a silent instance that is still marked as ready is kept. Until then, a controller may mark
/// it as unresponsive.
const READY_RETENTION: Span = Span::from_millis(600_000);
/// Time without a heartbeat after which an instance is unresponsive, in heartbeat periods.
const UNRESPONSIVE_AFTER_PERIODS: f64 = 4.5;
/// Assumed age of the last heartbeat of an instance that was restored from disk, in heartbeat periods.
const RESTORED_HEARTBEAT_AGE_PERIODS: f64 = 2.0;
/// A change of the end of warm-up by no more than this is not reported to proxies.
const WARM_UP_TOLERANCE: Span = Span::from_millis(400);

/// Time within which each worker has sent a heartbeat after an event that may restart its warm-up, in
/// heartbeat periods.
const MAX_REPORT_DELAY_PERIODS: f64 = 1.6;

/// Returns the time that workers may need to report that they are warming up again.
pub fn max_report_delay(heartbeat_period: Span) -> Span {
    heartbeat_period.times(MAX_REPORT_DELAY_PERIODS)
}

/// A worker instance, with its times on the clock of this process.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredInstance {
    /// Name of the service that the worker runs.
    pub service: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Name of the zone of the worker.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// State from the newest report.
    pub state: InstanceState,
    /// End of the warm-up; in the past if the instance is not warming up.
    pub warming_until: Time,
    /// Sequence number of the newest heartbeat.
    pub call_seq: u64,
    /// Time of the newest heartbeat, or of the deregistration.
    pub last_heartbeat_at: Time,
    /// `true` if the instance has sent no heartbeat since an event after which it may be warming up without
    /// having reported it.
    pub is_unconfirmed: bool,
}

/// All known instances by id.
#[derive(Debug, Default)]
pub struct InstanceRegistry {
    instances: HashMap<String, RegisteredInstance>,
}

impl InstanceRegistry {
    /// All instances by id, including unresponsive and deregistered ones that are still kept.
    pub fn instances(&self) -> &HashMap<String, RegisteredInstance> {
        &self.instances
    }

    /// Restores ready and draining instances from before a restart of this process, as unconfirmed and with
    /// an aged heartbeat. A request to an instance that has ended meanwhile costs one attempt: it contains
    /// the instance id, and other instances reject it.
    pub fn restore(&mut self, now: Time, instances: &[Instance], heartbeat_period: Span) {
        let is_active = |i: &&Instance| matches!(i.state, InstanceState::Ready | InstanceState::Draining);
        let heartbeat_age_ms = heartbeat_period.times(RESTORED_HEARTBEAT_AGE_PERIODS).nanos() / 1_000_000;
        for instance in instances.iter().filter(is_active) {
            self.update(now, &Instance { heartbeat_age_ms, is_unconfirmed: true, ..instance.clone() });
        }
    }

    /// Restores instances whose departure this process stored before a restart, in addition to `restore`.
    pub fn restore_departed(&mut self, now: Time, instances: &[Instance]) {
        for instance in instances.iter().filter(|instance| instance.state.has_departed()) {
            self.update(now, &Instance { heartbeat_age_ms: 0, is_unconfirmed: true, ..instance.clone() });
        }
    }

    /// Applies a report of an instance. Returns `true` if it changes anything that proxies act on. Ignores
    /// reports older than the newest heartbeat and all reports after the deregistration.
    pub fn update(&mut self, now: Time, instance: &Instance) -> bool {
        let last_heartbeat_at = now.saturating_sub(Span::from_millis(instance.heartbeat_age_ms));
        let Some(known) = self.instances.get_mut(&instance.id) else {
            self.instances.insert(instance.id.clone(), RegisteredInstance::new(now, instance));
            return true;
        };
        if known.state == InstanceState::Deregistered {
            return false;
        }
        if instance.state == InstanceState::Deregistered {
            known.state = InstanceState::Deregistered;
            known.last_heartbeat_at = now;
            return true;
        }
        if instance.call_seq < known.call_seq {
            return false;
        }
        let is_repeated = instance.call_seq == known.call_seq;
        let becomes_unresponsive =
            instance.state == InstanceState::Unresponsive && known.state != InstanceState::Unresponsive;
        if is_repeated && !becomes_unresponsive {
            known.last_heartbeat_at = known.last_heartbeat_at.max(last_heartbeat_at);
            let is_changed = known.is_unconfirmed != instance.is_unconfirmed;
            known.is_unconfirmed = instance.is_unconfirmed;
            return is_changed;
        }
        known.advance(now, instance, last_heartbeat_at)
    }

    /// Marks instances that may be warming up without having reported it. The next heartbeat confirms them.
    pub fn mark_unconfirmed(&mut self, may_be_warming: impl Fn(&RegisteredInstance) -> bool) {
        let affected = self.instances.values_mut().filter(|instance| may_be_warming(instance));
        affected.for_each(|instance| instance.is_unconfirmed = true);
    }

    /// Returns `true` if any ready instance is unconfirmed.
    pub fn has_unconfirmed(&self) -> bool {
        let mut instances = self.instances.values();
        instances.any(|instance| instance.state == InstanceState::Ready && instance.is_unconfirmed)
    }

    /// Marks an instance as deregistered. Returns `None` if it is unknown.
    pub fn deregister(&mut self, now: Time, id: &str) -> Option<Instance> {
        let known = self.instances.get_mut(id)?;
        if known.state != InstanceState::Deregistered {
            known.state = InstanceState::Deregistered;
            known.last_heartbeat_at = now;
        }
        self.get(now, id)
    }

    /// Removes instances whose last heartbeat or deregistration is older than their retention time plus the
    /// heartbeat time-out.
    pub fn expire(&mut self, now: Time, heartbeat_period: Span) {
        let timeout = heartbeat_period.times(UNRESPONSIVE_AFTER_PERIODS);
        self.instances.retain(|_, instance| {
            let is_ready = instance.state == InstanceState::Ready;
            let retention = if is_ready { READY_RETENTION } else { ENDED_RETENTION };
            now - instance.last_heartbeat_at < retention + timeout
        });
    }

    /// Marks ready instances as unresponsive if they have sent no heartbeat for too long. Only the time
    /// after `not_before` counts. Returns the ids of the marked instances.
    pub fn detect_unresponsive(
        &mut self,
        now: Time,
        heartbeat_period: Span,
        not_before: Time,
    ) -> Vec<String> {
        let timeout = heartbeat_period.times(UNRESPONSIVE_AFTER_PERIODS);
        let mut unresponsive = Vec::new();
        for (id, instance) in &mut self.instances {
            let silent_since = instance.last_heartbeat_at.max(not_before);
            if instance.state == InstanceState::Ready && now - silent_since > timeout {
                instance.state = InstanceState::Unresponsive;
                unresponsive.push(id.clone());
            }
        }
        unresponsive
    }

    /// Removes expired instances, and marks unresponsive ones by the time since their last heartbeat.
    /// Returns the ids of the marked instances.
    pub fn sweep(&mut self, now: Time, heartbeat_period: Span) -> Vec<String> {
        self.expire(now, heartbeat_period);
        self.detect_unresponsive(now, heartbeat_period, Time::default())
    }

    /// Returns a report of one instance for other processes, with the time spans as of now.
    pub fn get(&self, now: Time, id: &str) -> Option<Instance> {
        let known = self.instances.get(id)?;
        Some(Instance {
            id: id.to_string(),
            service: known.service.clone(),
            address: known.address,
            zone: known.zone.clone(),
            capacity: known.capacity,
            state: known.state,
            warming_up_ms: (known.warming_until - now).nanos() / 1_000_000,
            call_seq: known.call_seq,
            heartbeat_age_ms: (now - known.last_heartbeat_at).nanos() / 1_000_000,
            is_unconfirmed: known.is_unconfirmed,
        })
    }

    /// Returns reports of all instances for other processes, with the time spans as of now.
    pub fn snapshot(&self, now: Time) -> Vec<Instance> {
        self.snapshot_of(now, |_| true)
    }

    /// Returns reports of the instances in some states for other processes, with the time spans as of now.
    pub fn snapshot_of(&self, now: Time, is_included: impl Fn(InstanceState) -> bool) -> Vec<Instance> {
        let included = self.instances.iter().filter(|(_, instance)| is_included(instance.state));
        included.filter_map(|(id, _)| self.get(now, id)).collect()
    }
}

impl RegisteredInstance {
    fn new(now: Time, instance: &Instance) -> RegisteredInstance {
        RegisteredInstance {
            service: instance.service.clone(),
            address: instance.address,
            zone: instance.zone.clone(),
            capacity: instance.capacity,
            state: instance.state,
            warming_until: warming_until(now, instance),
            call_seq: instance.call_seq,
            last_heartbeat_at: now.saturating_sub(Span::from_millis(instance.heartbeat_age_ms)),
            is_unconfirmed: instance.is_unconfirmed,
        }
    }

    /// Applies a newer heartbeat. Returns `true` if it changes anything that proxies act on.
    fn advance(&mut self, now: Time, instance: &Instance, last_heartbeat_at: Time) -> bool {
        // A draining instance never becomes ready again.
        let state = match self.state {
            InstanceState::Draining => InstanceState::Draining,
            _ => instance.state,
        };
        let warming_until = warming_until(now, instance);
        let is_changed = state != self.state
            || instance.address != self.address
            || instance.capacity != self.capacity
            || instance.is_unconfirmed != self.is_unconfirmed
            || self.is_warm_up_changed(now, warming_until);
        self.call_seq = instance.call_seq;
        self.last_heartbeat_at = self.last_heartbeat_at.max(last_heartbeat_at);
        self.state = state;
        self.warming_until = warming_until;
        self.address = instance.address;
        self.is_unconfirmed = instance.is_unconfirmed;
        self.capacity = instance.capacity;
        is_changed
    }

    fn is_warm_up_changed(&self, now: Time, warming_until: Time) -> bool {
        let (old, new) = (self.warming_until, warming_until);
        let ends_later = |a: Time, b: Time| now + WARM_UP_TOLERANCE < a && b + WARM_UP_TOLERANCE < a;
        ends_later(new, old) || ends_later(old, new)
    }
}

fn warming_until(now: Time, instance: &Instance) -> Time {
    match instance.warming_up_ms {
        0 => Time::default(),
        ms => now + Span::from_millis(ms),
    }
}
