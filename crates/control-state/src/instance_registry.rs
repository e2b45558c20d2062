//! The instance registry: which worker instances there are, as they say of themselves. Soft state, renewed by each
//! heartbeat. Controllers and proxies keep one each.

use std::collections::HashMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{Instance, InstanceState};

/// How long an instance that has ended is remembered, so that a late heartbeat does not bring it back.
const ENDED_RETENTION: Span = Span::from_millis(60_000);
/// How long a silent instance that still counts as ready is kept, until some controller may call it unresponsive.
const READY_RETENTION: Span = Span::from_millis(600_000);
/// How many heartbeat periods of silence make an instance unresponsive.
const MISSED_HEARTBEATS: f64 = 4.5;
/// The assumed age of the last heartbeat of an instance that was restored from disk, in heartbeat periods.
const RESTORED_AGE: f64 = 2.0;
/// A change of the end of warm-up by less than this is not passed on.
const WARM_UP_TOLERANCE: Span = Span::from_millis(400);

/// By this many heartbeat periods after something that may have made workers cold, each has had the time to say so.
const REPORT_HEARTBEATS: f64 = 1.6;

/// How long workers may need to say that they have turned cold.
pub fn max_report_delay(heartbeat_period: Span) -> Span {
    heartbeat_period.times(REPORT_HEARTBEATS)
}

/// An instance, with spans turned into times of this process's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredInstance {
    /// Its service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// How many requests it can work on at once.
    pub capacity: u32,
    /// Its state.
    pub state: InstanceState,
    /// Until when it is warming up; in the past where it is warm.
    pub warming_until: Time,
    /// Of its newest heartbeat.
    pub call_seq: u64,
    /// When that was received.
    pub last_heartbeat_at: Time,
    /// It has sent no heartbeat since something after which it may be cold and not have been able to say so.
    pub is_unconfirmed: bool,
}

/// All instances that are known, by their ids.
#[derive(Debug, Default)]
pub struct InstanceRegistry {
    instances: HashMap<String, RegisteredInstance>,
}

impl InstanceRegistry {
    /// All instances, those that have ended included.
    pub fn instances(&self) -> &HashMap<String, RegisteredInstance> {
        &self.instances
    }

    /// Takes over what was known before this process began, until each instance sends a heartbeat again; for less time
    /// than a heartbeat would count. A request to an instance that has ended meanwhile costs one attempt: it names the
    /// instance, and no other takes it.
    pub fn restore(&mut self, now: Time, instances: &[Instance], heartbeat_period: Span) {
        let is_alive = |i: &&Instance| matches!(i.state, InstanceState::Ready | InstanceState::Draining);
        let heartbeat_age_ms = heartbeat_period.times(RESTORED_AGE).nanos() / 1_000_000;
        for instance in instances.iter().filter(is_alive) {
            self.update(now, &Instance { heartbeat_age_ms, is_unconfirmed: true, ..instance.clone() });
        }
    }

    /// Takes over what is said of an instance; returns whether it changes anything that proxies act on. What is older
    /// than the newest heartbeat is ignored, and so is all that comes after the end.
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

    /// Instances may be cold and not have been able to say so: each is confirmed by its next heartbeat.
    pub fn mark_unconfirmed(&mut self, may_be_cold: impl Fn(&RegisteredInstance) -> bool) {
        let concerned = self.instances.values_mut().filter(|instance| may_be_cold(instance));
        concerned.for_each(|instance| instance.is_unconfirmed = true);
    }

    /// Whether any instance that counts as ready is unconfirmed.
    pub fn has_unconfirmed(&self) -> bool {
        let mut instances = self.instances.values();
        instances.any(|instance| instance.state == InstanceState::Ready && instance.is_unconfirmed)
    }

    /// An instance says that it ends, and nothing else.
    pub fn deregister(&mut self, now: Time, id: &str) -> Option<Instance> {
        let known = self.instances.get_mut(id)?;
        if known.state != InstanceState::Deregistered {
            known.state = InstanceState::Deregistered;
            known.last_heartbeat_at = now;
        }
        self.get(now, id)
    }

    /// Forgets instances that ended long ago.
    pub fn expire(&mut self, now: Time, heartbeat_period: Span) {
        let timeout = heartbeat_period.times(MISSED_HEARTBEATS);
        self.instances.retain(|_, instance| {
            let is_ready = instance.state == InstanceState::Ready;
            let retention = if is_ready { READY_RETENTION } else { ENDED_RETENTION };
            now - instance.last_heartbeat_at < retention + timeout
        });
    }

    /// Marks ready instances as unresponsive whose heartbeats have been missing for too long, where silence counts from
    /// `counts_from` on only. Returns their ids.
    pub fn detect_unresponsive(
        &mut self,
        now: Time,
        heartbeat_period: Span,
        counts_from: Time,
    ) -> Vec<String> {
        let timeout = heartbeat_period.times(MISSED_HEARTBEATS);
        let mut unresponsive = Vec::new();
        for (id, instance) in &mut self.instances {
            let silent_since = instance.last_heartbeat_at.max(counts_from);
            if instance.state == InstanceState::Ready && now - silent_since > timeout {
                instance.state = InstanceState::Unresponsive;
                unresponsive.push(id.clone());
            }
        }
        unresponsive
    }

    /// Both of these, where silence counts from the beginning on.
    pub fn sweep(&mut self, now: Time, heartbeat_period: Span) -> Vec<String> {
        self.expire(now, heartbeat_period);
        self.detect_unresponsive(now, heartbeat_period, Time::default())
    }

    /// One instance, as others are told of it now.
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

    /// All instances, as others are told of them now.
    pub fn snapshot(&self, now: Time) -> Vec<Instance> {
        self.instances.keys().filter_map(|id| self.get(now, id)).collect()
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

    /// Takes over a newer heartbeat; returns whether it changes anything that proxies act on.
    fn advance(&mut self, now: Time, instance: &Instance, last_heartbeat_at: Time) -> bool {
        // An instance that drains does so to its end.
        let state = match self.state {
            InstanceState::Draining => InstanceState::Draining,
            _ => instance.state,
        };
        let warming_until = warming_until(now, instance);
        let is_changed = state != self.state
            || instance.address != self.address
            || instance.capacity != self.capacity
            || instance.is_unconfirmed != self.is_unconfirmed
            || self.differs_in_warm_up(now, warming_until);
        self.call_seq = instance.call_seq;
        self.last_heartbeat_at = self.last_heartbeat_at.max(last_heartbeat_at);
        self.state = state;
        self.warming_until = warming_until;
        self.address = instance.address;
        self.is_unconfirmed = instance.is_unconfirmed;
        self.capacity = instance.capacity;
        is_changed
    }

    fn differs_in_warm_up(&self, now: Time, warming_until: Time) -> bool {
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
