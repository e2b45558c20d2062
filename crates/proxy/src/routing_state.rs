//! The routing state of a proxy: what becomes of a request is decided here, in one place. No I/O, clock or thread; the
//! proxy calls it under one short lock.

use std::collections::HashSet;
use std::sync::Arc;

use lynxstair::rng::Rng;
use lynxstair::types::{Outcome, Span, Time};
use lynxstair_config::configuration::{Configuration, Route, RouteKind, Tenant};
use lynxstair_config::settings::Settings;
use lynxstair_control_state::config_replica::{ConfigReplica, ConfigVersion};
use lynxstair_control_state::instance_registry::{InstanceRegistry, max_report_delay};
use lynxstair_control_state::membership_planner::MAX_CONFIRMATION_AGE;
use lynxstair_protocol::messages::{Instance, QuotaShare, Readiness};
use lynxstair_routing::config_lease::ConfigLease;
use lynxstair_routing::controller_contact::{CONTACT_TIMEOUT, ControllerContact};
use lynxstair_routing::execution::Execution;
use lynxstair_routing::locality_balancer::{EndpointQuery, LocalityBalancer, Pick, PickedEndpoint, Worker};
use lynxstair_routing::proxy_counts::ProxyCounts;
use lynxstair_routing::retry_budget::RetryBudget;
use lynxstair_routing::slow_start::{SlowStart, WarmUpKnowledge, WarmUpUsage};
use lynxstair_routing::snapshot_requests::SnapshotRequests;
use lynxstair_routing::token_buckets::TokenBuckets;
use lynxstair_routing::weighted_split::WeightedSplit;

use crate::local_response::LocalResponse;
use crate::phase::Phase;

/// When a client may come back to a proxy that is not up to date, or knows no worker.
const NOT_READY_RETRY_AFTER: Span = Span::from_millis(300);
/// When a client may go to another proxy that came to one that is shutting down: at once.
const SHUTDOWN_RETRY_AFTER: Span = Span::from_millis(1);
/// When a client may come back for whom no attempt may be made, as a fraction of the route's latency target.
const RETRY_AFTER_PART: f64 = 0.25;
/// A proxy is ready for clients if its configuration was confirmed within this time.
const READY_FRESHNESS: Span = Span::from_millis(3_000);
/// The heartbeat period that the registry of a proxy goes by. It is very long, so that silence alone never makes an instance
/// unresponsive here: that is for the controllers to decide.
const REGISTRY_HEARTBEAT_PERIOD: Span = Span::from_millis(3_600_000);

/// What a request asks for, as its head says.
pub struct RequestInfo<'a> {
    /// The `Host` header.
    pub host: &'a str,
    /// The path of its target.
    pub path: &'a str,
    /// Its API key.
    pub key: Option<&'a str>,
    /// How long the client waits.
    pub time_left: Option<Span>,
}

/// A controller's acknowledgement of a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatAck {
    /// When the heartbeat was sent.
    pub sent_at: Time,
    /// The newest revision committed as far as the controller knows.
    pub revision: u64,
    /// How long before the heartbeat arrived it was certain that there was no newer one; None where it is not.
    pub confirmed_ago: Option<Span>,
    /// It leads.
    pub is_leader: bool,
    /// It leads, and every instance that counts as ready is confirmed.
    pub knows_instances: bool,
}

/// A request that was admitted, with the version of the configuration that admitted it.
pub struct AdmittedRequest {
    version: Arc<ConfigVersion>,
    service: String,
    /// The tenant that its key belongs to.
    pub tenant: Option<String>,
    /// What it does.
    pub kind: RouteKind,
    target: Span,
    /// When it has to be answered.
    pub deadline: Time,
    max_attempts: usize,
    /// Regions that it may be served in, by its route and by its tenant.
    homes: Vec<Vec<String>>,
    tried: Vec<Arc<Worker>>,
    /// What is known of all its attempts together.
    execution: Execution,
}

/// All that a proxy decides by.
pub struct RoutingState {
    settings: Settings,
    rng: Rng,
    replica: ConfigReplica,
    lease: ConfigLease,
    contact: ControllerContact,
    registry: InstanceRegistry,
    buckets: TokenBuckets,
    retry_budget: RetryBudget,
    balancer: LocalityBalancer,
    split: WeightedSplit,
    proxy_counts: ProxyCounts,
    /// The revision of the proxy membership that is held, and since when.
    membership: (u64, Time),
    has_instances: bool,
    snapshot_requests: SnapshotRequests,
    phase: Phase,
}

impl RoutingState {
    /// A proxy that knows nothing yet.
    pub fn new(now: Time, settings: &Settings, seed: u64) -> RoutingState {
        let bounds = &settings.bounds;
        RoutingState {
            rng: Rng::new(seed),
            replica: ConfigReplica::default(),
            lease: ConfigLease::default(),
            contact: ControllerContact::default(),
            registry: InstanceRegistry::default(),
            buckets: TokenBuckets::new(bounds.quota_slack, bounds.quota_overshoot),
            retry_budget: RetryBudget::new(bounds.retry_ratio, bounds.retry_slack),
            balancer: LocalityBalancer::new(
                seed,
                &settings.zone,
                &settings.region,
                &settings.zones,
                SlowStart::new(now, &settings.zone, &settings.node, bounds.cold_overshoot, bounds.cold_slack),
            ),
            split: WeightedSplit::default(),
            proxy_counts: ProxyCounts::default(),
            membership: (0, now),
            has_instances: false,
            snapshot_requests: SnapshotRequests::new(now),
            phase: Phase::Serving,
            settings: settings.clone(),
        }
    }

    // ---- readiness ----

    /// Whether clients may be sent here.
    pub fn is_ready(&self, now: Time) -> bool {
        self.phase == Phase::Serving && self.can_serve() && self.lease.is_fresh(now, READY_FRESHNESS)
    }

    fn can_serve(&self) -> bool {
        self.has_instances && self.replica.version().is_some()
    }

    /// Whether clients may be sent here, as the controllers are told.
    pub fn readiness(&self, now: Time) -> Readiness {
        if self.phase > Phase::Serving {
            Readiness::ShuttingDown
        } else if self.is_ready(now) {
            Readiness::Ready
        } else if self.can_serve() && self.lease.is_valid(now, self.revoke_bound()) {
            Readiness::Stale
        } else {
            Readiness::Starting
        }
    }

    /// The process enters a phase of its shutdown.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// How long a revoked key may work on a proxy that is out of touch; None where that is not bounded.
    fn revoke_bound(&self) -> Option<Span> {
        let bounds = &self.settings.bounds;
        bounds.revoke_final.then_some(bounds.revoke)
    }

    // ---- what controllers say ----

    /// What is in force.
    pub fn version(&self) -> Option<Arc<ConfigVersion>> {
        self.replica.version()
    }

    /// The revision that deltas may build on.
    pub fn delta_base(&self) -> u64 {
        self.replica.delta_base()
    }

    /// Takes over a configuration; returns whether it is newer than what was in force.
    pub fn apply_config(&mut self, now: Time, revision: u64, update: &[u8]) -> bool {
        if !self.replica.apply_update(now, revision, update) {
            return false;
        }
        for (zone, _) in &self.settings.zones {
            if self.replica.restored_at(zone) == Some(now) {
                self.registry.mark_unconfirmed(|instance| instance.zone == *zone);
                self.balancer.on_zone_restored(zone);
            }
        }
        if let Some(version) = self.replica.version() {
            let configuration = &version.configuration;
            self.balancer.configure(now, configuration);
            if version.membership.revision != self.membership.0 {
                self.membership = (version.membership.revision, now);
                self.balancer.set_membership(&version.membership);
            }
            self.buckets.retain_tenants(|tenant| configuration.tenants.iter().any(|t| t.name == tenant));
            let is_split = |route: &&Arc<Route>| route.services.len() > 1;
            let routes = configuration.routes.values().flatten().filter(is_split);
            let split: HashSet<&str> = routes.map(|route| &route.name[..]).collect();
            self.split.retain_routes(|name| split.contains(name));
            self.retry_budget.retain_services(|service| configuration.services.contains_key(service));
        }
        true
    }

    /// The proxy membership that a controller is told of, by its revision: one that has been held for long enough that a
    /// process that begins after this one finds it confirmed.
    pub fn reported_membership(&self, now: Time) -> u64 {
        let (revision, since) = self.membership;
        if now - since >= MAX_CONFIRMATION_AGE { revision } else { 0 }
    }

    /// Whether any instance was heard of.
    pub fn has_instances(&self) -> bool {
        self.has_instances
    }

    /// Takes over what is said of instances; `is_snapshot`: of all that a controller knows.
    pub fn apply_instances(&mut self, now: Time, instances: &[Instance], is_snapshot: bool) {
        if is_snapshot {
            self.contact.on_snapshot();
        }
        self.has_instances |= !instances.is_empty();
        for instance in instances {
            if self.registry.update(now, instance)
                && let Some(known) = self.registry.instances().get(&instance.id)
            {
                self.balancer.update_instance(now, &instance.id, known);
            }
        }
    }

    /// A controller has acknowledged a heartbeat. Returns whether a snapshot of all instances is wanted of it: what workers
    /// said during a silence may have been missed.
    pub fn on_heartbeat_ack(&mut self, now: Time, ack: &HeartbeatAck) -> bool {
        let sent_at = ack.sent_at;
        if let Some(confirmed_ago) = ack.confirmed_ago {
            self.lease.renew(sent_at, ack.revision, confirmed_ago, self.replica.revision());
        }
        let mut wants_instances = false;
        if self.lease.is_fresh(now, CONTACT_TIMEOUT) {
            wants_instances = self.contact.on_heard(now);
        }
        if ack.is_leader {
            let has_unconfirmed = self.registry.has_unconfirmed();
            wants_instances |= self.snapshot_requests.poll(now, ack.knows_instances, has_unconfirmed);
        }
        if self.lease.is_fresh(now, MAX_CONFIRMATION_AGE) {
            self.balancer.on_membership_confirmed(now);
        }
        if ack.is_leader {
            self.buckets.renew_shares(sent_at);
        }
        wants_instances
    }

    /// Takes over shares of quotas.
    pub fn apply_quota_shares(&mut self, now: Time, shares: &[QuotaShare]) {
        self.buckets.apply_shares(now, now, shares);
    }

    /// The buckets, for the reports of usage.
    pub fn buckets(&mut self) -> &mut TokenBuckets {
        &mut self.buckets
    }

    /// Takes over how many proxies there are in each zone.
    pub fn apply_proxy_counts(&mut self, now: Time, counts: &[(String, u32)]) {
        self.proxy_counts.record(now, counts);
        self.share_with_proxies(now);
    }

    /// How many proxies there may be in the own zone, 0 where that is not known.
    pub fn proxies_in_zone(&self) -> u32 {
        let zones = self.proxy_counts.zones();
        zones.iter().find(|(zone, _)| *zone == self.settings.zone).map_or(0, |(_, count)| *count)
    }

    /// What went to workers that may be warming up, since the last call; None for nothing.
    pub fn take_warm_up_usage(&mut self) -> Option<WarmUpUsage> {
        self.balancer.take_warm_up_usage()
    }

    fn share_with_proxies(&mut self, now: Time) {
        let zones = self.proxy_counts.zones();
        let total = zones.iter().map(|(_, count)| count).sum();
        self.buckets.set_proxy_count(total);
        self.retry_budget.set_proxy_count(total);
        self.balancer.set_proxy_counts(now, &zones);
    }

    /// The periodic upkeep.
    pub fn tick(&mut self, now: Time) {
        self.balancer.tick(now);
        if self.proxy_counts.expire(now) {
            self.share_with_proxies(now);
        }
        self.registry.sweep(now, REGISTRY_HEARTBEAT_PERIOD);
    }

    // ---- a request ----

    /// Route, key, lease, quota: whether a request is admitted.
    pub fn admit(&mut self, now: Time, request: &RequestInfo) -> Result<AdmittedRequest, LocalResponse> {
        if self.phase >= Phase::Closing {
            return Err(LocalResponse::retry_after(503, "shutting down", SHUTDOWN_RETRY_AFTER));
        }
        let Some(version) = self.replica.version() else {
            return Err(LocalResponse::retry_after(503, "no configuration yet", NOT_READY_RETRY_AFTER));
        };
        let configuration = &version.configuration;
        let Some(route) = configuration.route(request.host, request.path) else {
            return Err(LocalResponse::new(404, "no route"));
        };
        let tenant = self.authenticate(now, configuration, route, request.key)?;
        if let Some(tenant) = tenant
            && let Err(wait) = self.buckets.admit(now, tenant)
        {
            return Err(LocalResponse::retry_after(429, "quota", wait));
        }
        let time_left = request.time_left.unwrap_or(route.timeout).min(route.timeout);
        let homes = [Some(&route.homes), tenant.map(|t| &t.homes)];
        Ok(AdmittedRequest {
            service: self.draw_service(route),
            tenant: tenant.map(|t| t.name.clone()),
            kind: route.kind,
            target: route.target,
            deadline: now + time_left,
            max_attempts: route.max_attempts as usize,
            homes: homes.into_iter().flatten().filter(|h| !h.is_empty()).cloned().collect(),
            tried: Vec::new(),
            execution: Execution::NeverRan,
            version: version.clone(),
        })
    }

    /// The tenant of a request; None where its route needs no key.
    fn authenticate<'a>(
        &self,
        now: Time,
        configuration: &'a Configuration,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&'a Tenant>, LocalResponse> {
        let stale = || LocalResponse::retry_after(503, "not up to date", NOT_READY_RETRY_AFTER);
        if configuration.tenants.is_empty() || route.public {
            return Ok(None);
        }
        let Some((_, tenant)) = key.and_then(|key| configuration.tenant(key)) else {
            // It may be a key of a configuration that has not come here yet.
            let is_fresh = self.lease.is_fresh(now, READY_FRESHNESS);
            return Err(if is_fresh { LocalResponse::new(401, "unknown key") } else { stale() });
        };
        if !self.lease.is_valid(now, self.revoke_bound()) {
            return Err(stale());
        }
        Ok(Some(tenant))
    }

    /// One of a route's services, by their weights.
    fn draw_service(&mut self, route: &Route) -> String {
        let services = &route.services[..];
        if let [(service, _)] = services {
            return service.clone();
        }
        let drawn = self.split.next(&route.name, services, self.rng.next_f64());
        services[drawn].0.clone()
    }

    /// The worker that a request goes to now, the first time or again; else the final response, at once.
    pub fn pick(
        &mut self,
        now: Time,
        request: &mut AdmittedRequest,
    ) -> Result<Box<PickedEndpoint>, LocalResponse> {
        let is_first = request.tried.is_empty();
        let may_try = self.phase < Phase::Answering
            && request.execution.may_retry(request.kind.is_idempotent())
            && request.tried.len() < request.max_attempts
            && now < request.deadline
            && self.may_serve(now, request);
        if !may_try || !is_first && !self.retry_budget.try_spend(&request.service) {
            return Err(self.give_up(now, request, request.target.times(RETRY_AFTER_PART)));
        }
        let version = self.newest_version(request);
        let settings = &self.settings;
        let (replica, lease, contact) = (&self.replica, &self.lease, &self.contact);
        let query = EndpointQuery {
            service: &request.service,
            kind: request.kind,
            target: request.target,
            deadline: request.deadline,
            is_zone_allowed: &|zone| is_zone_allowed(settings, &version, request, zone),
            tried: &request.tried,
        };
        let warm_up = |zone: &str| warm_up_knowledge(now, settings, replica, lease, contact, zone);
        match self.balancer.pick(now, &query, &warm_up) {
            Pick::Endpoint(picked) => {
                if is_first {
                    self.retry_budget.earn(&request.service);
                }
                request.tried.push(picked.worker.clone());
                Ok(picked)
            }
            Pick::Full(wait) => Err(self.give_up(now, request, wait)),
        }
    }

    /// What binds at the moment of forwarding is taken from the newest configuration, not from the one that admitted.
    fn newest_version(&self, request: &AdmittedRequest) -> Arc<ConfigVersion> {
        self.replica.version().unwrap_or_else(|| request.version.clone())
    }

    /// Whether requests like this one may go to workers at all: a tenant's only while the lease holds.
    fn may_serve(&self, now: Time, request: &AdmittedRequest) -> bool {
        request.tenant.is_none() || self.lease.is_valid(now, self.revoke_bound())
    }

    /// Whether a request may still go to the worker that was picked for it, right before it is handed over.
    pub fn may_forward(&mut self, now: Time, request: &AdmittedRequest, picked: &PickedEndpoint) -> bool {
        let version = self.newest_version(request);
        let zone = &picked.worker.zone;
        if !self.may_serve(now, request) || !is_zone_allowed(&self.settings, &version, request, zone) {
            return false;
        }
        let knowledge =
            warm_up_knowledge(now, &self.settings, &self.replica, &self.lease, &self.contact, zone);
        self.balancer.may_hand_over(now, picked, knowledge)
    }

    /// An attempt has ended.
    pub fn on_attempt_ended(
        &mut self,
        now: Time,
        request: &mut AdmittedRequest,
        picked: &PickedEndpoint,
        outcome: Outcome,
        execution: Execution,
    ) {
        self.balancer.report(now, picked, outcome);
        request.execution = request.execution.and(execution);
    }

    /// The final response to a request that goes to no worker any more.
    fn give_up(&mut self, now: Time, request: &AdmittedRequest, wait: Span) -> LocalResponse {
        if request.execution.may_claim_not_run() {
            if let Some(tenant) = &request.tenant {
                self.buckets.refund(tenant);
            }
            LocalResponse::retry_after(503, "no worker takes it now", wait)
        } else if now >= request.deadline {
            LocalResponse::new(504, "the time is up")
        } else {
            LocalResponse::new(502, "no worker's answer came")
        }
    }
}

/// Whether workers of a zone may serve a request: by evacuations and by homes.
fn is_zone_allowed(
    settings: &Settings,
    version: &ConfigVersion,
    request: &AdmittedRequest,
    zone: &str,
) -> bool {
    let region = settings.region_of(zone).unwrap_or("");
    !version.evacuated.contains(zone) && request.homes.iter().all(|h| h.iter().any(|r| r == region))
}

fn warm_up_knowledge(
    now: Time,
    settings: &Settings,
    replica: &ConfigReplica,
    lease: &ConfigLease,
    contact: &ControllerContact,
    zone: &str,
) -> WarmUpKnowledge {
    match replica.restored_at(zone) {
        Some(at) if now - at < max_report_delay(settings.heartbeat_period) => WarmUpKnowledge::NotYetReported,
        _ if lease.is_fresh(now, CONTACT_TIMEOUT) && contact.is_settled(now) => WarmUpKnowledge::Reported,
        _ => WarmUpKnowledge::Unknown,
    }
}
