//! A validated configuration: routes, services, tenants and limits, with lookup by request.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use indexmap::IndexMap;
use lynxstair::types::Span;

/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RouteKind {
    /// Has no effects; may run again.
    Safe,
    /// Has effects; must not run more than once.
    Unsafe,
    /// Has a long response; may run again.
    Download,
}

impl RouteKind {
    /// Returns `true` if a request that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        self != RouteKind::Unsafe
    }
}

/// Requests of one host and path prefix, and the services that handle them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique among all routes.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the request paths; begins and ends with a slash.
    pub prefix: String,
    /// Retry semantics of the requests.
    pub kind: RouteKind,
    /// Longest time until a request is answered.
    pub timeout: Span,
    /// Latency target.
    pub target: Span,
    /// Priority of the requests; 0 is highest.
    pub priority: u32,
    /// Services with their weights.
    pub services: Vec<(String, f64)>,
    /// Maximum number of attempts for a request, including the first.
    pub max_attempts: u32,
    /// Requests need no API key.
    pub public: bool,
    /// Regions that it may be served in; empty means all.
    pub home_regions: Vec<String>,
}

/// A group of workers that handle the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections to a worker.
    pub max_conns: u32,
    /// Warm-up time of a worker.
    pub warm_up: Span,
    /// Rate that a worker can take while warming up, in requests a second.
    pub warm_up_rate: f64,
}

/// A set of API keys with a common quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique among all tenants.
    pub name: String,
    /// Priority of the requests; 0 is highest. `None` uses the priority of the route.
    pub priority: Option<u32>,
    /// Quota in requests a second; 0 means no limit.
    pub rate: f64,
    /// Burst above the rate, in requests.
    pub burst: f64,
    /// Regions that it may be served in; empty means all.
    pub home_regions: Vec<String>,
}

/// Limits on client connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for receiving a request head.
    pub header_timeout: Span,
    /// Longest time that a connection may be idle between requests.
    pub idle_timeout: Span,
}

/// API keys of one tenant.
pub(crate) type Keys = Arc<[Arc<str>]>;

/// A valid configuration. Generations share the parts that are equal.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Generation assigned by the operator.
    pub generation: u64,
    /// Routes by host, longest prefix first.
    pub routes: Arc<HashMap<String, Vec<Arc<Route>>>>,
    /// Services by name.
    pub services: Arc<IndexMap<String, Service>>,
    /// Tenants in the operator's order.
    pub tenants: Arc<Vec<Tenant>>,
    /// API keys of each tenant, in the order of `tenants`.
    pub(crate) tenant_keys: Arc<Vec<Keys>>,
    /// Index into `tenants` by API key.
    pub(crate) tenant_by_key: Arc<HashMap<Arc<str>, usize>>,
    /// Limits on client connections and requests.
    pub limits: ClientLimits,
}

impl Configuration {
    /// Returns the route of a request: the one with the longest matching path prefix among the routes of
    /// the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_of_host(host).iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the routes of a host, longest prefix first. `host` may end in a port.
    fn routes_of_host(&self, host: &str) -> &[Arc<Route>] {
        let host = host.rsplit_once(':').filter(|(_, p)| p.parse::<u16>().is_ok()).map_or(host, |(h, _)| h);
        let routes = self.routes.get(host).or_else(|| self.routes.get(&host.to_ascii_lowercase()));
        routes.map_or(&[], |routes| &routes[..])
    }

    /// Returns the regions that requests to a host may be sent to, whichever of its routes they are on: the home
    /// regions that its routes have in common. `None` if none of its routes has home regions.
    ///
    /// Routes with disjoint home regions can't all be satisfied; the result then has the regions of them all.
    pub fn home_regions_of_host(&self, host: &str) -> Option<BTreeSet<&str>> {
        let routes = self.routes_of_host(host).iter().filter(|route| !route.home_regions.is_empty());
        let homes: Vec<BTreeSet<&str>> =
            routes.map(|route| route.home_regions.iter().map(String::as_str).collect()).collect();
        let first = homes.first()?;
        let common: BTreeSet<&str> =
            first.iter().copied().filter(|region| homes.iter().all(|h| h.contains(region))).collect();
        Some(if common.is_empty() { homes.into_iter().flatten().collect() } else { common })
    }

    /// Returns the tenant with an API key, and its index in `tenants`.
    pub fn tenant(&self, key: &str) -> Option<(usize, &Tenant)> {
        let index = *self.tenant_by_key.get(key)?;
        Some((index, &self.tenants[index]))
    }

    /// Returns all routes, in no particular order.
    pub fn all_routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(|route| &**route)
    }
}
