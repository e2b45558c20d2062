//! An admitted request: what routing has to know of it until its last attempt.

use std::cell::Cell;
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_config::configuration::{Route, RouteKind, Tenant};
use lynxstair_control_state::config_replica::ConfigVersion;
use lynxstair_control_state::quota_limits::MAX_TOKEN_AGE;
use lynxstair_routing::execution::Execution;
use lynxstair_routing::locality_balancer::Worker;
use lynxstair_routing::token_buckets::{TokenBuckets, TokenSource};

/// An admitted request, with the configuration version that admitted it.
pub struct AdmittedRequest {
    pub(crate) version: Arc<ConfigVersion>,
    pub(crate) service: String,
    /// Name of the tenant that owns the API key; `None` if the route needs no key.
    pub tenant: Option<String>,
    /// Token for the next attempt and the time at which it was taken; `None` if an attempt may have spent it.
    token: Cell<Option<(TokenSource, Time)>>,
    /// Kind of the route, which determines if the request is idempotent.
    pub kind: RouteKind,
    pub(crate) latency_target: Span,
    /// Time by which the client must have its response. The request handler subtracts the time to send it.
    pub deadline: Time,
    pub(crate) max_attempts: usize,
    /// Home regions of the route and of the tenant; a worker's region must be in every list.
    allowed_regions: Vec<Vec<String>>,
    pub(crate) tried: Vec<Arc<Worker>>,
    /// Combined execution state of all attempts.
    pub(crate) execution: Execution,
}

impl AdmittedRequest {
    /// Creates a request that was admitted at `now` with `token`.
    pub(crate) fn new(
        now: Time,
        version: &Arc<ConfigVersion>,
        route: &Route,
        tenant: Option<&Tenant>,
        service: String,
        deadline: Time,
        token: TokenSource,
    ) -> AdmittedRequest {
        let homes = [Some(&route.home_regions), tenant.map(|t| &t.home_regions)];
        AdmittedRequest {
            version: version.clone(),
            service,
            tenant: tenant.map(|t| t.name.clone()),
            token: Cell::new(Some((token, now))),
            kind: route.kind,
            latency_target: route.target,
            deadline,
            max_attempts: route.max_attempts as usize,
            allowed_regions: homes.into_iter().flatten().filter(|h| !h.is_empty()).cloned().collect(),
            tried: Vec::new(),
            execution: Execution::NeverRan,
        }
    }

    /// Returns `true` if workers in the region may serve the request.
    pub(crate) fn is_region_allowed(&self, region: &str) -> bool {
        self.allowed_regions.iter().all(|homes| homes.iter().any(|home| home == region))
    }

    /// Ensures that the request has a token for the next attempt, taken at most `MAX_TOKEN_AGE` ago. Each
    /// attempt that may run counts against the quota, in the window in which it is sent. The error is the time
    /// after which the client may retry.
    pub(crate) fn ensure_token(&self, now: Time, buckets: &mut TokenBuckets) -> Result<(), Span> {
        let Some(name) = &self.tenant else { return Ok(()) };
        match self.token.take() {
            Some((token, taken_at)) if token == TokenSource::Unlimited || now - taken_at < MAX_TOKEN_AGE => {
                self.token.set(Some((token, taken_at)));
                return Ok(());
            }
            Some((token, taken_at)) => buckets.refund(name, token, taken_at),
            None => {}
        }
        let tenants = &self.version.configuration.tenants;
        let token = match tenants.iter().find(|tenant| tenant.name == *name) {
            Some(tenant) => buckets.admit(now, tenant)?,
            None => TokenSource::Unlimited,
        };
        self.token.set(Some((token, now)));
        Ok(())
    }

    /// Returns the token of a request that no worker ran.
    pub(crate) fn refund_token(&self, buckets: &mut TokenBuckets) {
        if let (Some(tenant), Some((token, taken_at))) = (&self.tenant, self.token.take()) {
            buckets.refund(tenant, token, taken_at);
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn on_attempt_ended(&mut self, execution: Execution) {
        self.execution = self.execution.combine(execution);
        if execution != Execution::NeverRan {
            self.token.set(None);
        }
    }
}
