//! The locality balancer: near workers first. The workers of one service in one zone are a locality; which of them gets a
//! request is the decision module's to say (`lynxstair::policy`, behind the dispatcher), and so is whether the locality is
//! full. The balancer only says in which order localities are asked, and which are not: zones that are evacuated, regions
//! that are not a home, workers that are warming up. The module's vocabulary and the system's meet here: an invocation is
//! an attempt, a delivery its forwarding.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::{
    CellId, Idempotency, KindId, ListUpdate, Operation, OperationId, Outcome, Plan, PlanId, Request,
    RequestId, Settings, Span, TenantId, Time, WorkerId, WorkerInfo, WorkerPhase, ZoneId,
};
use lynxstair_config::configuration::{Configuration, RouteKind};
use lynxstair_control_state::instance_registry::RegisteredInstance;
use lynxstair_control_state::proxy_membership::ProxyMembership;
use lynxstair_dispatch::{Assignment, Decision, Dispatcher};
use lynxstair_protocol::messages::InstanceState;

use crate::slow_start::{SlowStart, WarmUpKnowledge, WarmUpQuery, WarmUpState, WarmUpUsage};

/// Events closer together than this count as simultaneous for the decision module.
const STEP: Span = Span::from_millis(1);
/// The decision module is told of this many times fewer proxies than there are: the least concurrency that it allows at a
/// worker, over all proxies, is less than what a worker answers within the routes' targets.
const CONCURRENCY_FACTOR: u32 = 2;
/// `Retry-After` if every locality is full, as a fraction of the route's latency target.
const RETRY_AFTER_PART: f64 = 0.25;
/// The shortest one.
const MIN_RETRY_AFTER: Span = Span::from_millis(100);
/// The most kinds of work per service: the decision module numbers them in a byte.
const MAX_WORK_KINDS: usize = 200;
/// The decision module gives an attempt up after this many times the target.
const TIMEOUT_TARGETS: f64 = 4.0;
/// What a late response is worth to the decision module, as a fraction.
const LATE_SHARE: f32 = 0.3;
/// How long the decision module counts on an idle connection.
const IDLE_CONNECTION: Span = Span::from_millis(6_000);

/// A worker instance that requests are sent to.
#[derive(Debug, PartialEq)]
pub struct Worker {
    /// The instance's id.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Its number in the decision module.
    pub number: WorkerId,
}

/// A worker of a locality.
struct Endpoint {
    worker: Arc<Worker>,
    warming_until: Time,
    /// It may be cold and not have been able to say so.
    is_unconfirmed: bool,
    phase: WorkerPhase,
    weight: f32,
}

/// Service and zone.
type LocalityKey = (String, String);

struct Locality {
    dispatcher: Dispatcher<()>,
    endpoints: BTreeMap<WorkerId, Endpoint>,
}

/// What a request asks of a service.
pub struct EndpointQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// What the request does.
    pub kind: RouteKind,
    /// The route's latency target.
    pub target: Span,
    /// Its deadline.
    pub deadline: Time,
    /// Whether a zone may serve it: by evacuation and by homes.
    pub is_zone_allowed: &'a dyn Fn(&str) -> bool,
    /// Workers that it was sent to already.
    pub tried: &'a [Arc<Worker>],
}

/// A worker that was picked for an attempt; the attempt's end is reported by it.
pub struct PickedEndpoint {
    locality: LocalityKey,
    assignment: Assignment<()>,
    /// The worker.
    pub worker: Arc<Worker>,
    picked_at: Time,
}

/// The answer to a query.
pub enum Pick {
    /// Send it there.
    Endpoint(Box<PickedEndpoint>),
    /// No locality takes it now; when to come back.
    Full(Span),
}

/// All localities, as one proxy sees them.
pub struct LocalityBalancer {
    seed: u64,
    /// All zones, near ones first.
    zones: Vec<String>,
    own_zone: String,
    near_zones: Vec<String>,
    /// How many proxies there are in each zone.
    proxies: HashMap<String, u32>,
    localities: HashMap<LocalityKey, Locality>,
    /// The kinds of work that each service has, as the module tells them apart.
    work: HashMap<String, Vec<(RouteKind, Span)>>,
    /// What a worker of each service takes while it warms up, in requests a second.
    warm_up_rates: HashMap<String, f64>,
    numbers: HashMap<String, WorkerId>,
    last_number: u64,
    slow_start: SlowStart,
}

impl LocalityBalancer {
    /// `zones`: each with its region.
    pub fn new(
        seed: u64,
        zone: &str,
        region: &str,
        zones: &[(String, String)],
        slow_start: SlowStart,
    ) -> Self {
        let near: Vec<String> = zones.iter().filter(|(_, r)| r == region).map(|(z, _)| z.clone()).collect();
        let mut assignment: Vec<String> = zones.iter().map(|(z, _)| z.clone()).collect();
        // From the own zone on, near ones first, and of the others each proxy begins with another.
        let turn = if assignment.is_empty() { 0 } else { seed as usize % assignment.len() };
        assignment.rotate_left(turn);
        assignment.sort_by_key(|z| (z != zone, !near.contains(z)));
        LocalityBalancer {
            seed,
            zones: assignment,
            own_zone: zone.to_string(),
            near_zones: near,
            proxies: HashMap::new(),
            localities: HashMap::new(),
            work: HashMap::new(),
            warm_up_rates: HashMap::new(),
            numbers: HashMap::new(),
            last_number: 0,
            slow_start,
        }
    }

    /// A configuration came into force. A service whose kinds of work were not all known begins anew.
    pub fn configure(&mut self, now: Time, configuration: &Configuration) {
        let mut work: HashMap<String, Vec<(RouteKind, Span)>> = HashMap::new();
        for route in configuration.all_routes() {
            for (service, _) in &route.services {
                let kinds = work.entry(service.clone()).or_default();
                if !kinds.contains(&(route.kind, route.target)) {
                    kinds.push((route.kind, route.target));
                }
            }
        }
        let rates = configuration.services.iter().map(|(name, s)| (name.clone(), s.warm_up_rate));
        self.warm_up_rates = rates.collect();
        for (service, mut kinds) in work {
            let known = self.work.entry(service.clone()).or_default();
            kinds.retain(|kind| !known.contains(kind));
            if kinds.is_empty() || known.len() + kinds.len() > MAX_WORK_KINDS {
                continue;
            }
            known.extend(kinds);
            self.rebuild(now, |(s, _)| *s == service);
        }
    }

    /// The proxies that hold permits for workers, as replicated.
    pub fn set_membership(&mut self, membership: &ProxyMembership) {
        self.slow_start.set_membership(membership);
    }

    /// The membership that was set is confirmed to be the newest.
    pub fn on_membership_confirmed(&mut self, now: Time) {
        self.slow_start.on_membership_confirmed(now);
    }

    /// How many proxies there are in each zone.
    pub fn set_proxy_counts(&mut self, now: Time, zones: &[(String, u32)]) {
        let proxies: HashMap<String, u32> = zones.iter().cloned().collect();
        if proxies != self.proxies {
            self.proxies = proxies;
            self.rebuild(now, |_| true);
        }
    }

    /// Begins localities anew, with the workers that they have.
    fn rebuild(&mut self, now: Time, is_concerned: impl Fn(&LocalityKey) -> bool) {
        let keys: Vec<_> = self.localities.keys().filter(|key| is_concerned(key)).cloned().collect();
        for key in keys {
            let Some(old) = self.localities.remove(&key) else { continue };
            let dispatcher = self.new_dispatcher(now, &key);
            let locality = Locality { dispatcher, endpoints: old.endpoints };
            let all: Vec<WorkerInfo> =
                locality.endpoints.values().map(|endpoint| endpoint.worker_info(endpoint.phase)).collect();
            locality.dispatcher.update_workers(now, ListUpdate::Full, &all);
            self.localities.insert(key, locality);
        }
    }

    /// How many proxies send to the workers of a zone, besides those that do so now and then.
    fn proxies_sending_to(&self, zone: &str) -> u32 {
        let of = |z: &str| self.proxies.get(z).copied().unwrap_or(0);
        if zone == self.own_zone {
            return of(zone).max(1);
        }
        // To other zones those send whose own localities are full: seldom more than a region's at a time.
        self.near_zones.iter().map(|z| of(z)).sum::<u32>().max(1)
    }

    fn new_dispatcher(&self, now: Time, (service, zone): &LocalityKey) -> Dispatcher<()> {
        let operation = |(kind, target): &(RouteKind, Span)| Operation {
            latency_objective: *target,
            integration_timeout: target.times(TIMEOUT_TARGETS),
            late_value: LATE_SHARE,
            billed_value: 1.0,
            idempotency: if kind.is_idempotent() {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
        };
        let settings = Settings {
            gatekeepers: self.proxies_sending_to(zone).div_ceil(CONCURRENCY_FACTOR),
            time_resolution: STEP,
            operations: self.work.get(service).map_or(Vec::new(), |w| w.iter().map(operation).collect()),
            plans: vec![Plan::default()],
            idle_timeout: IDLE_CONNECTION,
            max_attempts: 1,
            initial_capacity: 1.0,
            ..Settings::default()
        };
        let seed = self.seed ^ self.localities.len() as u64;
        Dispatcher::new(now, seed, &settings)
    }

    /// Takes over an instance as the registry knows it now.
    pub fn update_instance(&mut self, now: Time, id: &str, instance: &RegisteredInstance) {
        let key = (instance.service.clone(), instance.zone.clone());
        if instance.state == InstanceState::Deregistered {
            return self.remove_instance(now, id, &key);
        }
        if !self.localities.contains_key(&key) {
            let dispatcher = self.new_dispatcher(now, &key);
            self.localities.insert(key.clone(), Locality { dispatcher, endpoints: BTreeMap::new() });
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

    /// The evacuation of a zone has ended: its workers may be cold and not have said so yet.
    pub fn on_zone_restored(&mut self, zone: &str) {
        let concerned = self.localities.iter_mut().filter(|((_, z), _)| z == zone);
        let endpoints = concerned.flat_map(|(_, locality)| locality.endpoints.values_mut());
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

    /// The worker that gets a request, or none.
    pub fn pick(
        &mut self,
        now: Time,
        query: &EndpointQuery,
        warm_up: &dyn Fn(&str) -> WarmUpKnowledge,
    ) -> Pick {
        let kinds = self.work.get(query.service);
        let kind = kinds.and_then(|w| w.iter().position(|kind| *kind == (query.kind, query.target)));
        let Some(kind) = kind else { return Pick::Full(MIN_RETRY_AFTER) };
        let request = Request {
            id: RequestId::default(),
            deadline: query.deadline,
            tenant: TenantId(0),
            operation: OperationId(kind as u8),
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
        let wait = query.target.times(RETRY_AFTER_PART).max(MIN_RETRY_AFTER);
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
        let worker = endpoint.worker.clone();
        Some(PickedEndpoint { locality: key, assignment, worker, picked_at: now })
    }

    /// Whether a request may be handed over to the worker that was picked for it, which may have become cold since.
    pub fn may_hand_over(&mut self, now: Time, picked: &PickedEndpoint, knowledge: WarmUpKnowledge) -> bool {
        let rate = self.warm_up_rates.get(&picked.worker.service).copied().unwrap_or(0.0);
        let endpoint = self.localities.get(&picked.locality);
        let endpoint = endpoint.and_then(|locality| locality.endpoints.get(&picked.worker.number));
        // One that has ended meanwhile answers so itself.
        endpoint.is_none_or(|endpoint| {
            let warm_up = endpoint.warm_up_query(now, rate, knowledge);
            self.slow_start.may_hand_over(now, &warm_up, picked.picked_at)
        })
    }

    /// An attempt at a picked worker has ended.
    pub fn report(&mut self, now: Time, picked: &PickedEndpoint, outcome: Outcome) {
        if let Some(locality) = self.localities.get(&picked.locality) {
            locality.dispatcher.report(now, &picked.assignment, outcome, now - picked.picked_at, None);
            locality.dispatcher.end_request(now, picked.assignment.request_id);
        }
    }

    /// What went to workers that may be warming up, since the last call; None for nothing.
    pub fn take_warm_up_usage(&mut self) -> Option<WarmUpUsage> {
        self.slow_start.take_usage()
    }

    /// The module's own upkeep; several times a second.
    pub fn tick(&mut self, now: Time) {
        for locality in self.localities.values() {
            if locality.dispatcher.next_due() <= now {
                locality.dispatcher.tick(now);
            }
        }
        let endpoints = || self.localities.values().flat_map(|locality| locality.endpoints.values());
        let is_warming = |id: &str| endpoints().any(|e| e.worker.id == id && now < e.warming_until + STEP);
        self.slow_start.expire(now, is_warming);
        self.localities.retain(|_, locality| !locality.endpoints.is_empty());
    }
}

impl Locality {
    /// Has the module pick a worker, but none of those that are held back.
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
    /// How the worker is to be treated, by what is known of its zone.
    fn warm_up_query(&self, now: Time, rate: f64, knowledge: WarmUpKnowledge) -> WarmUpQuery<'_> {
        let state = WarmUpState::of(knowledge, now < self.warming_until, self.is_unconfirmed);
        WarmUpQuery { worker: &self.worker.id, zone: &self.worker.zone, rate, state }
    }

    /// The worker as the module is told of it.
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
