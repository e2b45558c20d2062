//! Locality-aware load balancing: prefers workers in near zones.
//!
//! A locality is the set of workers of one service in one zone. Each locality has its own
//! `lynxstair_dispatch::Dispatcher`, which chooses the worker for a request or reports the locality as
//! full. The balancer decides in which order localities are tried. It skips zones that the caller excludes
//! and workers that slow start holds back.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::{
    CellId, KindId, ListUpdate, Outcome, Plan, PlanId, Request, RequestId, Settings, Span, TenantId, Time,
    WorkerId, WorkerInfo, WorkerPhase, ZoneId,
};
use lynxstair_config::configuration::{Configuration, RouteKind};
use lynxstair_control_state::instance_registry::RegisteredInstance;
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_dispatch::{Assignment, Decision, Dispatcher};
use lynxstair_protocol::messages::InstanceState;

use crate::operation_table::OperationTable;
use crate::slow_start::{SlowStart, WarmUpKnowledge, WarmUpQuery, WarmUpState, WarmUpUsage};

/// Events closer together than this are simultaneous to the dispatcher.
const TIME_RESOLUTION: Span = Span::from_millis(1);
/// Divisor of the number of proxies that is passed to the dispatcher. The minimum concurrency that the
/// dispatcher allows at a worker, over all proxies, is below what a worker can serve within the latency
/// targets.
const PROXY_COUNT_DIVISOR: u32 = 2;
/// `Retry-After` if all localities are full, as a fraction of the route's latency target.
const RETRY_AFTER_FRACTION: f64 = 0.25;
/// Shortest `Retry-After` if all localities are full.
const MIN_RETRY_AFTER: Span = Span::from_millis(100);
/// Time after which the dispatcher regards an idle connection as closed.
const IDLE_CONNECTION_TIMEOUT: Span = Span::from_millis(6_000);

/// A worker instance that receives requests.
#[derive(Debug, PartialEq)]
pub struct Worker {
    /// Id of the instance.
    pub id: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Service of the worker.
    pub service: String,
    /// Zone of the worker.
    pub zone: String,
    /// Number of the instance in the dispatcher.
    pub number: WorkerId,
}

/// A worker with its state in a locality.
struct Endpoint {
    worker: Arc<Worker>,
    /// End of the warm-up as last reported.
    warming_until: Time,
    /// The worker may be warming up and unable to report it.
    is_unconfirmed: bool,
    phase: WorkerPhase,
    weight: f32,
}

/// Service and zone of a locality.
type LocalityKey = (String, String);

struct Locality {
    dispatcher: Dispatcher<()>,
    /// Differs between all dispatchers of the balancer.
    dispatcher_number: u64,
    endpoints: BTreeMap<WorkerId, Endpoint>,
}

/// Requirements of a request on its worker.
pub struct EndpointQuery<'a> {
    /// Service that serves the request.
    pub service: &'a str,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Latency target of the route.
    pub target: Span,
    /// Deadline of the request.
    pub deadline: Time,
    /// Returns `true` if a zone may serve the request: it is not evacuated and lies in a home region.
    pub is_zone_allowed: &'a dyn Fn(&str) -> bool,
    /// Workers of earlier attempts of the request.
    pub tried: &'a [Arc<Worker>],
}

/// The worker of an attempt, for [`LocalityBalancer::report`] at the end of the attempt.
pub struct PickedEndpoint {
    locality: LocalityKey,
    /// Number of the dispatcher that picked the worker.
    dispatcher_number: u64,
    assignment: Assignment<()>,
    /// Worker that the request is sent to.
    pub worker: Arc<Worker>,
    picked_at: Time,
}

/// Result of [`LocalityBalancer::pick`].
pub enum Pick {
    /// Send the request to this worker.
    Endpoint(Box<PickedEndpoint>),
    /// No locality can take the request; the client may retry after this time.
    Full(Span),
}

/// Load balancer of one proxy over all localities.
pub struct LocalityBalancer {
    seed: u64,
    /// All zones in the order in which they are tried.
    zones: Vec<String>,
    own_zone: String,
    /// Zones of the own region.
    near_zones: Vec<String>,
    /// Number of proxies in each zone.
    proxies: HashMap<String, u32>,
    localities: HashMap<LocalityKey, Locality>,
    last_dispatcher_number: u64,
    operations: OperationTable,
    /// Rate that a worker of each service can take while warming up, in requests a second.
    warm_up_rates: HashMap<String, f64>,
    /// Number of each instance in the dispatchers, by instance id.
    numbers: HashMap<String, WorkerId>,
    last_number: u64,
    slow_start: SlowStart,
}

impl LocalityBalancer {
    /// Creates a balancer for a proxy in `zone`. `zones` holds all zones with their regions; `seed` differs
    /// between proxies.
    pub fn new(
        seed: u64,
        zone: &str,
        region: &str,
        zones: &[(String, String)],
        slow_start: SlowStart,
    ) -> Self {
        let near: Vec<String> = zones.iter().filter(|(_, r)| r == region).map(|(z, _)| z.clone()).collect();
        let mut zone_order: Vec<String> = zones.iter().map(|(z, _)| z.clone()).collect();
        // The own zone first, then the other zones of the region, then the rest. The rotation gives proxies
        // different orders within each group.
        let offset = if zone_order.is_empty() { 0 } else { seed as usize % zone_order.len() };
        zone_order.rotate_left(offset);
        zone_order.sort_by_key(|z| (z != zone, !near.contains(z)));
        LocalityBalancer {
            seed,
            zones: zone_order,
            own_zone: zone.to_string(),
            near_zones: near,
            proxies: HashMap::new(),
            localities: HashMap::new(),
            last_dispatcher_number: 0,
            operations: OperationTable::default(),
            warm_up_rates: HashMap::new(),
            numbers: HashMap::new(),
            last_number: 0,
            slow_start,
        }
    }

    /// Applies a configuration. The localities of a service with new operations are rebuilt.
    pub fn configure(&mut self, now: Time, configuration: &Configuration) {
        let rates = configuration.services.iter().map(|(name, s)| (name.clone(), s.warm_up_rate));
        self.warm_up_rates = rates.collect();
        let localities = &self.localities;
        let has_workers = |service: &str| localities.keys().any(|(s, _)| s == service);
        let changed = self.operations.configure(configuration, has_workers);
        self.rebuild(now, |(service, _)| changed.contains(service));
    }

    /// Sets the replicated membership, which assigns slow-start permits to proxies.
    pub fn set_membership(&mut self, membership: &ProxyMembership) {
        self.slow_start.set_membership(membership);
    }

    /// Records that the membership has been confirmed as the newest.
    pub fn on_membership_confirmed(&mut self, now: Time) {
        self.slow_start.on_membership_confirmed(now);
    }

    /// Sets the number of proxies in each zone.
    pub fn set_proxy_counts(&mut self, now: Time, zones: &[(String, u32)]) {
        let proxies: HashMap<String, u32> = zones.iter().cloned().collect();
        if proxies != self.proxies {
            self.proxies = proxies;
            self.rebuild(now, |_| true);
        }
    }

    /// Replaces the dispatchers of localities and keeps their workers.
    fn rebuild(&mut self, now: Time, is_affected: impl Fn(&LocalityKey) -> bool) {
        let keys: Vec<_> = self.localities.keys().filter(|key| is_affected(key)).cloned().collect();
        for key in keys {
            let Some(old) = self.localities.remove(&key) else { continue };
            let locality = self.new_locality(now, &key, old.endpoints);
            let all: Vec<WorkerInfo> =
                locality.endpoints.values().map(|endpoint| endpoint.worker_info(endpoint.phase)).collect();
            locality.dispatcher.update_workers(now, ListUpdate::Full, &all);
            self.localities.insert(key, locality);
        }
    }

    /// Returns the number of proxies that regularly send to the workers of a zone.
    fn proxies_sending_to(&self, zone: &str) -> u32 {
        let of = |z: &str| self.proxies.get(z).copied().unwrap_or(0);
        if zone == self.own_zone {
            return of(zone).max(1);
        }
        // Another zone receives requests from proxies whose own localities are full, rarely from more than
        // one region.
        self.near_zones.iter().map(|z| of(z)).sum::<u32>().max(1)
    }

    fn new_locality(
        &mut self,
        now: Time,
        key: &LocalityKey,
        endpoints: BTreeMap<WorkerId, Endpoint>,
    ) -> Locality {
        self.last_dispatcher_number += 1;
        let dispatcher = self.new_dispatcher(now, key);
        Locality { dispatcher, dispatcher_number: self.last_dispatcher_number, endpoints }
    }

    fn new_dispatcher(&self, now: Time, (service, zone): &LocalityKey) -> Dispatcher<()> {
        let settings = Settings {
            gatekeepers: self.proxies_sending_to(zone).div_ceil(PROXY_COUNT_DIVISOR),
            time_resolution: TIME_RESOLUTION,
            operations: self.operations.settings(service),
            plans: vec![Plan::default()],
            idle_timeout: IDLE_CONNECTION_TIMEOUT,
            max_attempts: 1,
            initial_capacity: 1.0,
            ..Settings::default()
        };
        let seed = self.seed ^ self.localities.len() as u64;
        Dispatcher::new(now, seed, &settings)
    }

    /// Applies the current registry entry of an instance.
    pub fn update_instance(&mut self, now: Time, id: &str, instance: &RegisteredInstance) {
        let key = (instance.service.clone(), instance.zone.clone());
        if instance.state == InstanceState::Deregistered {
            return self.remove_instance(now, id, &key);
        }
        if !self.localities.contains_key(&key) {
            let locality = self.new_locality(now, &key, BTreeMap::new());
            self.localities.insert(key.clone(), locality);
        }
        let last = &mut self.last_number;
        let number = *self.numbers.entry(id.to_string()).or_insert_with(|| {
            *last += 1;
            WorkerId(*last)
        });
        let Some(locality) = self.localities.get_mut(&key) else { return };
        let is_ready = instance.state == InstanceState::Ready;
        let endpoint = Endpoint {
            worker: Arc::new(Worker {
                id: id.to_string(),
                address: instance.address,
                service: instance.service.clone(),
                zone: instance.zone.clone(),
                number,
            }),
            warming_until: instance.warming_until,
            is_unconfirmed: instance.is_unconfirmed,
            phase: if is_ready { WorkerPhase::Ready } else { WorkerPhase::Draining },
            weight: instance.capacity.max(1) as f32,
        };
        locality.dispatcher.update_workers(now, ListUpdate::Delta, &[endpoint.worker_info(endpoint.phase)]);
        locality.endpoints.insert(number, endpoint);
    }

    /// Marks all workers of a zone as unconfirmed after its evacuation has ended: they may be warming up
    /// without having reported it.
    pub fn on_zone_restored(&mut self, zone: &str) {
        let affected = self.localities.iter_mut().filter(|((_, z), _)| z == zone);
        let endpoints = affected.flat_map(|(_, locality)| locality.endpoints.values_mut());
        endpoints.for_each(|endpoint| endpoint.is_unconfirmed = true);
    }

    fn remove_instance(&mut self, now: Time, id: &str, key: &LocalityKey) {
        let Some(number) = self.numbers.remove(id) else { return };
        if let Some(locality) = self.localities.get_mut(key)
            && let Some(endpoint) = locality.endpoints.remove(&number)
        {
            locality.dispatcher.update_workers(
                now,
                ListUpdate::Delta,
                &[endpoint.worker_info(WorkerPhase::Removed)],
            );
        }
    }

    /// Picks the worker for a request. `warm_up` returns the knowledge on the warm-up of a zone's workers.
    pub fn pick(
        &mut self,
        now: Time,
        query: &EndpointQuery,
        warm_up: &dyn Fn(&str) -> WarmUpKnowledge,
    ) -> Pick {
        let operation = self.operations.operation_id(query.service, query.kind, query.target);
        let Some(operation) = operation else { return Pick::Full(MIN_RETRY_AFTER) };
        let request = Request {
            id: RequestId::default(),
            deadline: query.deadline,
            tenant: TenantId(0),
            operation,
            plan: PlanId(0),
            spread: 1.0,
            units: 1.0,
        };
        let rate = self.warm_up_rates.get(query.service).copied().unwrap_or(0.0);
        for n in 0..self.zones.len() {
            if !(query.is_zone_allowed)(&self.zones[n]) {
                continue;
            }
            let knowledge = warm_up(&self.zones[n]);
            if let Some(picked) = self.pick_in_zone(now, n, query, request, rate, knowledge) {
                return Pick::Endpoint(Box::new(picked));
            }
        }
        let wait = query.target.times(RETRY_AFTER_FRACTION).max(MIN_RETRY_AFTER);
        Pick::Full(wait.max(self.slow_start.unusable_for(now)))
    }

    fn pick_in_zone(
        &mut self,
        now: Time,
        zone: usize,
        query: &EndpointQuery,
        request: Request,
        rate: f64,
        knowledge: WarmUpKnowledge,
    ) -> Option<PickedEndpoint> {
        let zone = &self.zones[zone];
        let key = (query.service.to_string(), zone.clone());
        let locality = self.localities.get_mut(&key)?;
        let mut held_back = Vec::new();
        for endpoint in locality.endpoints.values().filter(|e| e.phase == WorkerPhase::Ready) {
            let was_tried = query.tried.iter().any(|t| t.number == endpoint.worker.number);
            let warm_up = endpoint.warm_up_query(now, rate, knowledge);
            if was_tried || !self.slow_start.admits(now, &warm_up) {
                held_back.push(endpoint.worker_info(WorkerPhase::Draining));
            }
        }
        if held_back.len() == locality.endpoints.len() {
            return None;
        }
        let (request_id, picked) = locality.pick_without(now, request, held_back);
        let Decision::Forward(assignment) = picked else { return None };
        let Some(endpoint) = locality.endpoints.get(&assignment.worker) else {
            locality.dispatcher.end_request(now, request_id);
            return None;
        };
        self.slow_start.spend(now, &endpoint.warm_up_query(now, rate, knowledge));
        Some(PickedEndpoint {
            dispatcher_number: locality.dispatcher_number,
            worker: endpoint.worker.clone(),
            locality: key,
            assignment,
            picked_at: now,
        })
    }

    /// Returns `true` if a request may be handed over to its picked worker, which may have started to warm
    /// up since the pick.
    pub fn may_hand_over(&mut self, now: Time, picked: &PickedEndpoint, knowledge: WarmUpKnowledge) -> bool {
        let rate = self.warm_up_rates.get(&picked.worker.service).copied().unwrap_or(0.0);
        let locality = self.localities.get(&picked.locality);
        let endpoint = locality.and_then(|locality| locality.endpoints.get(&picked.worker.number));
        // An instance that was removed since the pick is not limited.
        endpoint.is_none_or(|endpoint| {
            let warm_up = endpoint.warm_up_query(now, rate, knowledge);
            self.slow_start.may_hand_over(now, &warm_up, picked.picked_at)
        })
    }

    /// Reports the end of an attempt. Has no effect if its dispatcher was replaced: the new one assigns the
    /// same numbers to other attempts.
    pub fn report(&mut self, now: Time, picked: &PickedEndpoint, outcome: Outcome) {
        let locality = self.localities.get(&picked.locality);
        if let Some(locality) = locality.filter(|l| l.dispatcher_number == picked.dispatcher_number) {
            locality.dispatcher.report(now, &picked.assignment, outcome, now - picked.picked_at, None);
            locality.dispatcher.end_request(now, picked.assignment.request_id);
        }
    }

    /// Returns the requests sent to workers that may be warming up since the last call, or `None` if there
    /// were none.
    pub fn take_warm_up_usage(&mut self) -> Option<WarmUpUsage> {
        self.slow_start.take_usage()
    }

    /// Runs due timers of the dispatchers and removes expired state. To be called several times a second.
    pub fn tick(&mut self, now: Time) {
        for locality in self.localities.values() {
            if locality.dispatcher.next_due() <= now {
                locality.dispatcher.tick(now);
            }
        }
        let endpoints = || self.localities.values().flat_map(|locality| locality.endpoints.values());
        let is_warming =
            |id: &str| endpoints().any(|e| e.worker.id == id && now < e.warming_until + TIME_RESOLUTION);
        self.slow_start.expire(now, is_warming);
        self.localities.retain(|_, locality| !locality.endpoints.is_empty());
    }
}

impl Locality {
    /// Dispatches a request to a worker that is not held back.
    fn pick_without(
        &self,
        now: Time,
        request: Request,
        mut held_back: Vec<WorkerInfo>,
    ) -> (RequestId, Decision<()>) {
        if held_back.is_empty() {
            return self.dispatcher.dispatch(now, request, ());
        }
        self.dispatcher.update_workers(now, ListUpdate::Delta, &held_back);
        let picked = self.dispatcher.dispatch(now, request, ());
        held_back.iter_mut().for_each(|worker_info| worker_info.phase = WorkerPhase::Ready);
        self.dispatcher.update_workers(now, ListUpdate::Delta, &held_back);
        picked
    }
}

impl Endpoint {
    /// Returns the slow-start query for the worker.
    fn warm_up_query(&self, now: Time, rate: f64, knowledge: WarmUpKnowledge) -> WarmUpQuery<'_> {
        let state = WarmUpState::of(knowledge, now < self.warming_until, self.is_unconfirmed);
        WarmUpQuery { worker: &self.worker.id, zone: &self.worker.zone, rate, state }
    }

    /// Returns the dispatcher's description of the worker.
    fn worker_info(&self, phase: WorkerPhase) -> WorkerInfo {
        WorkerInfo {
            worker: self.worker.number,
            zone: ZoneId(0),
            kind: KindId(0),
            cell: CellId(0),
            phase,
            weight: self.weight,
            started_at: None,
        }
    }
}
