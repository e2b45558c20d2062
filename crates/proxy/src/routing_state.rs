//! The routing state of a proxy: admission of requests, choice of workers and retries. It does no I/O, reads
//! no clock and starts no thread; [`Proxy`](crate::proxy::Proxy) keeps it behind one lock.

use std::collections::HashSet;
use std::sync::Arc;

use lynxstair::rng::Rng;
use lynxstair::types::{Outcome, Span, Time};
use lynxstair_config::configuration::{Configuration, Route, Tenant};
use lynxstair_config::settings::Settings;
use lynxstair_control_state::config_replica::{ConfigReplica, ConfigVersion};
use lynxstair_control_state::instance_registry::{InstanceRegistry, max_report_delay};
use lynxstair_control_state::membership_planner::MAX_CONFIRMATION_AGE;
use lynxstair_control_state::quota_limits::QuotaTolerance;
use lynxstair_protocol::messages::{Instance, QuotaGrants, QuotaShare, Readiness};
use lynxstair_routing::config_lease::ConfigLease;
use lynxstair_routing::controller_contact::{CONTACT_TIMEOUT, ControllerContact};
use lynxstair_routing::execution::Execution;
use lynxstair_routing::locality_balancer::{EndpointQuery, LocalityBalancer, Pick, PickedEndpoint};
use lynxstair_routing::proxy_counts::ProxyCounts;
use lynxstair_routing::retry_budget::RetryBudget;
use lynxstair_routing::slow_start::{SlowStart, WarmUpKnowledge, WarmUpUsage};
use lynxstair_routing::snapshot_requests::SnapshotRequests;
use lynxstair_routing::token_buckets::{TokenBuckets, TokenSource};
use lynxstair_routing::weighted_split::WeightedSplit;

use crate::admitted_request::AdmittedRequest;
use crate::local_response::LocalResponse;
use crate::phase::Phase;

/// `Retry-After` of a proxy without a configuration or with an unconfirmed one.
const NOT_READY_RETRY_AFTER: Span = Span::from_millis(300);
/// `Retry-After` of a proxy that is shutting down; the client may use another proxy at once.
const SHUTDOWN_RETRY_AFTER: Span = Span::from_millis(1);
/// `Retry-After` if no further attempt is allowed, as a fraction of the route's latency target.
const RETRY_AFTER_FRACTION: f64 = 0.25;
/// Maximum age of the last configuration confirmation of a ready proxy.
const MAX_READY_CONFIRMATION_AGE: Span = Span::from_millis(3_000);
/// Heartbeat period assumed by the instance registry. Far longer than the real one, because the controllers
/// detect unresponsive instances and a proxy does not.
const REGISTRY_HEARTBEAT_PERIOD: Span = Span::from_millis(3_600_000);

/// The parts of a request head that routing needs.
pub struct RequestInfo<'a> {
    /// Value of the `Host` header; empty if there is none.
    pub host: &'a str,
    /// Path of the request target, without query and fragment.
    pub path: &'a str,
    /// API key.
    pub key: Option<&'a str>,
    /// Time the client is still willing to wait; `None` if the request does not state it.
    pub time_left: Option<Span>,
}

/// A controller's acknowledgement of a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatAck {
    /// Time at which the proxy sent the heartbeat.
    pub sent_at: Time,
    /// Newest committed revision known to the controller.
    pub revision: u64,
    /// Age, when the heartbeat arrived, of the last confirmation that no newer revision was committed; `None`
    /// if the controller has no confirmation.
    pub confirmed_ago: Option<Span>,
    /// `true` if the controller is the leader and has quorum contact.
    pub is_leader: bool,
    /// `true` if the controller is the leader and has no unconfirmed ready instance.
    pub knows_instances: bool,
}

/// State from which a proxy makes its routing decisions.
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
    /// Revision of the current proxy membership, and the time it was applied.
    membership: (u64, Time),
    has_instances: bool,
    snapshot_requests: SnapshotRequests,
    phase: Phase,
}

impl RoutingState {
    /// Creates the state of a proxy without configuration and instances.
    pub fn new(now: Time, settings: &Settings, seed: u64) -> RoutingState {
        let bounds = &settings.bounds;
        let tolerance = QuotaTolerance {
            window: bounds.quota_window,
            slack: bounds.quota_slack,
            overshoot: bounds.quota_overshoot,
        };
        RoutingState {
            rng: Rng::new(seed),
            replica: ConfigReplica::default(),
            lease: ConfigLease::default(),
            contact: ControllerContact::default(),
            registry: InstanceRegistry::default(),
            buckets: TokenBuckets::new(now, &settings.zone, &settings.node, tolerance),
            retry_budget: RetryBudget::new(bounds.retry_ratio, bounds.retry_slack),
            balancer: LocalityBalancer::new(
                seed,
                &settings.zone,
                &settings.region,
                &settings.zones,
                SlowStart::new(
                    now,
                    &settings.zone,
                    &settings.node,
                    bounds.warm_up_overshoot,
                    bounds.warm_up_slack,
                ),
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

    /// Returns `true` if clients may be directed to this proxy.
    pub fn is_ready(&self, now: Time) -> bool {
        self.phase == Phase::Serving
            && self.can_serve()
            && self.lease.is_fresh(now, MAX_READY_CONFIRMATION_AGE)
    }

    fn can_serve(&self) -> bool {
        self.has_instances && self.replica.version().is_some()
    }

    /// Returns the readiness to report to the controllers.
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

    /// Sets the phase of the process.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Returns the maximum time a revoked key may stay valid on a proxy without controller contact; `None` if
    /// there is no such bound.
    fn revoke_bound(&self) -> Option<Span> {
        let bounds = &self.settings.bounds;
        bounds.revoke_final.then_some(bounds.revoke)
    }

    // ---- messages from controllers ----

    /// Returns the current configuration version.
    pub fn version(&self) -> Option<Arc<ConfigVersion>> {
        self.replica.version()
    }

    /// Returns the revision that deltas may build on; 0 if a snapshot is needed.
    pub fn delta_base(&self) -> u64 {
        self.replica.delta_base()
    }

    /// Applies a configuration update. Returns `false` if the held revision does not increase: the update is
    /// outdated, malformed or based on another revision.
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
                self.buckets.set_membership(&version.membership);
            }
            self.buckets.configure(now, &configuration.tenants);
            let is_split = |route: &&Arc<Route>| route.services.len() > 1;
            let routes = configuration.routes.values().flatten().filter(is_split);
            let split: HashSet<&str> = routes.map(|route| &route.name[..]).collect();
            self.split.retain_routes(|name| split.contains(name));
            self.retry_budget.retain_services(|service| configuration.services.contains_key(service));
        }
        true
    }

    /// Returns the membership revision to report to controllers, or 0 if it was applied less than
    /// `MAX_CONFIRMATION_AGE` ago. After that time, a restarted process gets no confirmation of an older one.
    pub fn reported_membership(&self, now: Time) -> u64 {
        let (revision, since) = self.membership;
        if now - since >= MAX_CONFIRMATION_AGE { revision } else { 0 }
    }

    /// Returns `true` if at least one instance was ever reported.
    pub fn has_instances(&self) -> bool {
        self.has_instances
    }

    /// Applies reported instances. `is_snapshot`: the report contains all instances known to the controller.
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

    /// Handles a heartbeat acknowledgement. Returns `true` if the proxy must request a snapshot of all
    /// instances from this controller: after a loss of quorum contact, or while instances are unconfirmed.
    pub fn on_heartbeat_ack(&mut self, now: Time, ack: &HeartbeatAck) -> bool {
        let sent_at = ack.sent_at;
        if let Some(confirmed_ago) = ack.confirmed_ago {
            self.lease.renew(sent_at, ack.revision, confirmed_ago, self.replica.revision());
        }
        let mut wants_instances = false;
        if self.lease.is_fresh(now, CONTACT_TIMEOUT) {
            wants_instances = self.contact.on_contact(now);
        }
        if ack.is_leader {
            let has_unconfirmed = self.registry.has_unconfirmed();
            wants_instances |= self.snapshot_requests.poll(now, ack.knows_instances, has_unconfirmed);
        }
        if self.lease.is_fresh(now, MAX_CONFIRMATION_AGE) {
            self.balancer.on_membership_confirmed(now);
            self.buckets.on_membership_confirmed(now);
        }
        wants_instances
    }

    /// Applies quota tokens from the leader, in answer to a heartbeat that was sent at `sent_at`.
    pub fn apply_quota_grants(&mut self, now: Time, sent_at: Time, grants: &QuotaGrants) {
        self.buckets.apply_grants(now, sent_at, grants);
    }

    /// Applies blocks of tenants from a controller.
    pub fn apply_quota_blocks(&mut self, now: Time, blocks: &[QuotaShare]) {
        self.buckets.apply_blocks(now, blocks);
    }

    /// Returns the quota buckets, to report usage and tokens.
    pub fn buckets(&mut self) -> &mut TokenBuckets {
        &mut self.buckets
    }

    /// Records the number of proxies in each zone.
    pub fn apply_proxy_counts(&mut self, now: Time, counts: &[(String, u32)]) {
        self.proxy_counts.record(now, counts);
        self.update_proxy_counts(now);
    }

    /// Returns the number of proxies in the own zone; 0 if unknown.
    pub fn proxies_in_zone(&self) -> u32 {
        let zones = self.proxy_counts.zones();
        zones.iter().find(|(zone, _)| *zone == self.settings.zone).map_or(0, |(_, count)| *count)
    }

    /// Returns the requests sent since the last call to workers that may be warming up; `None` if there were
    /// none.
    pub fn take_warm_up_usage(&mut self) -> Option<WarmUpUsage> {
        self.balancer.take_warm_up_usage()
    }

    fn update_proxy_counts(&mut self, now: Time) {
        let zones = self.proxy_counts.zones();
        let total = zones.iter().map(|(_, count)| count).sum();
        self.retry_budget.set_proxy_count(total);
        self.balancer.set_proxy_counts(now, &zones);
    }

    /// Runs periodic maintenance.
    pub fn tick(&mut self, now: Time) {
        self.balancer.tick(now);
        if self.proxy_counts.expire(now) {
            self.update_proxy_counts(now);
        }
        self.registry.sweep(now, REGISTRY_HEARTBEAT_PERIOD);
    }

    // ---- requests ----

    /// Admits a request after checks of the phase, route, API key, configuration lease and quota.
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
        let token = match tenant {
            None => TokenSource::Unlimited,
            Some(tenant) => self.buckets.admit(now, tenant).map_err(quota_exceeded)?,
        };
        let time_left = request.time_left.unwrap_or(route.timeout).min(route.timeout);
        let service = self.draw_service(route);
        Ok(AdmittedRequest::new(now, &version, route, tenant, service, now + time_left, token))
    }

    /// Returns the tenant of a request; `None` if its route is public or no tenants are configured.
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
            // The key may belong to a newer configuration that has not arrived yet.
            let is_fresh = self.lease.is_fresh(now, MAX_READY_CONFIRMATION_AGE);
            return Err(if is_fresh { LocalResponse::new(401, "unknown key") } else { stale() });
        };
        if !self.lease.is_valid(now, self.revoke_bound()) {
            return Err(stale());
        }
        Ok(Some(tenant))
    }

    /// Chooses one of the route's services by weight.
    fn draw_service(&mut self, route: &Route) -> String {
        let services = &route.services[..];
        if let [(service, _)] = services {
            return service.clone();
        }
        let drawn = self.split.next(&route.name, services, self.rng.next_f64());
        services[drawn].0.clone()
    }

    /// Picks a worker for the first attempt or a retry. Returns the final response if no attempt is possible.
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
            return Err(self.give_up(now, request, request.latency_target.times(RETRY_AFTER_FRACTION)));
        }
        if let Err(wait) = request.ensure_token(now, &mut self.buckets) {
            return Err(self.give_up(now, request, wait));
        }
        let version = self.newest_version(request);
        let settings = &self.settings;
        let (replica, lease, contact) = (&self.replica, &self.lease, &self.contact);
        let query = EndpointQuery {
            service: &request.service,
            kind: request.kind,
            target: request.latency_target,
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

    /// Returns the current configuration version, which governs forwarding even if an older one admitted the
    /// request.
    fn newest_version(&self, request: &AdmittedRequest) -> Arc<ConfigVersion> {
        self.replica.version().unwrap_or_else(|| request.version.clone())
    }

    /// Returns `true` if the request has no tenant or the configuration lease is valid.
    fn may_serve(&self, now: Time, request: &AdmittedRequest) -> bool {
        request.tenant.is_none() || self.lease.is_valid(now, self.revoke_bound())
    }

    /// Returns `true` if the request may still go to the picked worker. Called right before it is sent.
    pub fn may_forward(&mut self, now: Time, request: &AdmittedRequest, picked: &PickedEndpoint) -> bool {
        let version = self.newest_version(request);
        let zone = &picked.worker.zone;
        if !self.may_serve(now, request) || !is_zone_allowed(&self.settings, &version, request, zone) {
            return false;
        }
        let knowledge =
            warm_up_knowledge(now, &self.settings, &self.replica, &self.lease, &self.contact, zone);
        self.balancer.may_hand_over(now, picked, knowledge)
            && request.ensure_token(now, &mut self.buckets).is_ok()
    }

    /// Records the end of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: Time,
        request: &mut AdmittedRequest,
        picked: &PickedEndpoint,
        outcome: Outcome,
        execution: Execution,
    ) {
        self.balancer.report(now, picked, outcome);
        request.on_attempt_ended(execution);
    }

    /// Returns the final response to a request that gets no further attempt. Refunds the quota if the request
    /// has not run.
    fn give_up(&mut self, now: Time, request: &AdmittedRequest, wait: Span) -> LocalResponse {
        if request.execution.may_claim_not_run() {
            request.refund_token(&mut self.buckets);
            LocalResponse::retry_after(503, "no worker takes it now", wait)
        } else if now >= request.deadline {
            LocalResponse::new(504, "the time is up")
        } else {
            LocalResponse::new(502, "no worker's answer came")
        }
    }
}

fn quota_exceeded(wait: Span) -> LocalResponse {
    LocalResponse::retry_after(429, "quota", wait)
}

/// Returns `true` if the zone is not evacuated and its region may serve the request.
fn is_zone_allowed(
    settings: &Settings,
    version: &ConfigVersion,
    request: &AdmittedRequest,
    zone: &str,
) -> bool {
    !version.evacuated.contains(zone) && request.is_region_allowed(settings.region_of(zone).unwrap_or(""))
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
        _ if lease.is_fresh(now, CONTACT_TIMEOUT) && contact.is_current(now) => WarmUpKnowledge::Reported,
        _ => WarmUpKnowledge::Unknown,
    }
}
