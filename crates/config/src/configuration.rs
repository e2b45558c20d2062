//! What the system acts on of a configuration: routes, services, tenants, limits, and how a request finds its own.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use lynxstair::types::Span;

/// What the requests of a route do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RouteKind {
    /// Reads; may run again.
    Safe,
    /// Has effects; may run once only.
    Unsafe,
    /// Streams a long response; may run again.
    Download,
}

impl RouteKind {
    /// Whether a request that may have run may run again.
    pub fn is_idempotent(self) -> bool {
        self != RouteKind::Unsafe
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique among all routes.
    pub name: String,
    /// The host of its requests, in lower case.
    pub host: String,
    /// The beginning of their paths, with a slash at both ends.
    pub prefix: String,
    /// What its requests do.
    pub kind: RouteKind,
    /// The longest time until a request is answered.
    pub timeout: Span,
    /// The latency target.
    pub target: Span,
    /// 0 is highest.
    pub priority: u32,
    /// Services, each with its weight.
    pub services: Vec<(String, f64)>,
    /// How many attempts a request may make, the first included.
    pub max_attempts: u32,
    /// Needs no key.
    pub public: bool,
    /// Regions that it may be served in; empty means all.
    pub home_regions: Vec<String>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of its health check.
    pub health_path: String,
    /// How many connections a worker takes.
    pub max_conns: u32,
    /// How long a worker warms up.
    pub warm_up: Span,
    /// What a worker takes while it warms up, in requests a second.
    pub warm_up_rate: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique among all tenants.
    pub name: String,
    /// 0 is highest; None leaves it to the route.
    pub priority: Option<u32>,
    /// The quota, in requests a second; 0 means no limit.
    pub rate: f64,
    /// Requests that may come on top of the rate at once.
    pub burst: f64,
    /// Regions that it may be served in; empty means all.
    pub home_regions: Vec<String>,
}

/// Bounds on what a client may send.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientLimits {
    /// The longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The longest body, in bytes.
    pub max_body_bytes: usize,
    /// How long a client may take for a head.
    pub header_timeout: Span,
    /// How long a connection may rest between requests.
    pub idle_timeout: Span,
}

/// The API keys of one tenant.
pub(crate) type Keys = Arc<[Arc<str>]>;

/// A valid configuration. What is the same in two versions is shared by them.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The operator's version.
    pub generation: u64,
    /// By host, the longest prefix first.
    pub routes: Arc<HashMap<String, Vec<Arc<Route>>>>,
    /// By name.
    pub services: Arc<IndexMap<String, Service>>,
    /// In the operator's order.
    pub tenants: Arc<Vec<Tenant>>,
    /// The keys of each tenant, in the same order.
    pub(crate) tenant_keys: Arc<Vec<Keys>>,
    /// The index of the tenant that holds a key.
    pub(crate) tenant_by_key: Arc<HashMap<Arc<str>, usize>>,
    /// Bounds on what a client may send.
    pub limits: ClientLimits,
}

impl Configuration {
    /// The route of a request: among those of its host, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').filter(|(_, p)| p.parse::<u16>().is_ok()).map_or(host, |(h, _)| h);
        let routes = self.routes.get(host).or_else(|| self.routes.get(&host.to_ascii_lowercase()))?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The tenant that holds a key, with its index.
    pub fn tenant(&self, key: &str) -> Option<(usize, &Tenant)> {
        let index = *self.tenant_by_key.get(key)?;
        Some((index, &self.tenants[index]))
    }

    /// All routes, in no order.
    pub fn all_routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(|route| &**route)
    }
}
