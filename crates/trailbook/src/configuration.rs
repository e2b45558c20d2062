//! What the system acts on of a configuration, and all that makes one invalid.

use std::collections::HashMap;

use indexmap::IndexMap;
use lynxstair::types::Span;

use crate::sheet::Sheet;
use crate::values::{self, Fault, Object, at, fault, needed, path};

/// A route's `timeout-s` may not exceed this, and its `target-s` lies less than a minute above it.
const MOST_TIMEOUT_S: f64 = 600.0;
const TARGET_OVER_S: f64 = 60.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    Safe,
    Unsafe,
    Download,
}

impl Kind {
    pub fn is_repeatable(self) -> bool {
        self != Kind::Unsafe
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub kind: Kind,
    pub timeout: Span,
    pub target: Span,
    /// 0 is highest.
    pub priority: u32,
    /// Services, each with its weight.
    pub services: Vec<(String, f64)>,
    pub max_attempts: u32,
    /// Needs no key.
    pub public: bool,
    /// Regions that it may be served in; empty means all.
    pub homes: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub health_path: String,
    pub max_conns: u32,
    pub cold: Span,
    /// What a cold worker bears, in requests a second.
    pub cold_per_s: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    pub priority: Option<u32>,
    /// 0 means no limit.
    pub rate: f64,
    pub burst: f64,
    pub homes: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_time: Span,
    pub idle_time: Span,
}

#[derive(Clone, Debug)]
pub struct Configuration {
    pub generation: u64,
    /// By host, the longest prefix first.
    pub routes: HashMap<String, Vec<Route>>,
    pub services: IndexMap<String, Service>,
    pub tenants: Vec<Tenant>,
    /// Which tenant holds a key.
    pub keys: HashMap<String, usize>,
    pub bounds: Bounds,
}

impl Configuration {
    /// The route of a request: among those of its host, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').filter(|(_, p)| p.parse::<u16>().is_ok()).map_or(host, |(h, _)| h);
        let routes = self.routes.get(host).or_else(|| self.routes.get(&host.to_ascii_lowercase()))?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    pub fn tenant(&self, key: &str) -> Option<(usize, &Tenant)> {
        let index = *self.keys.get(key)?;
        Some((index, &self.tenants[index]))
    }

    /// All routes, in no order.
    pub fn all_routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }

    /// Reads and checks.
    pub fn read(sheet: &Sheet) -> Result<Configuration, Fault> {
        let [routes, services, tenants] = &sheet.lists;
        let mut read_services = IndexMap::new();
        for (name, item) in services {
            read_services.insert(name.clone(), service(item, &path("services", name))?);
        }
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for (name, item) in routes {
            let route = route(name, item, &path("routes", name), &read_services)?;
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by(|a, b| (b.prefix.len(), &a.prefix).cmp(&(a.prefix.len(), &b.prefix)));
            if let Some([a, b]) = routes.array_windows().find(|[a, b]| a.prefix == b.prefix) {
                return fault(path("routes", &b.name), format!("stands in the same place as {}", a.name));
            }
        }
        let mut keys = HashMap::new();
        let mut read_tenants = Vec::new();
        for (name, item) in tenants {
            let at = path("tenants", name);
            for key in list(item, "api-keys", &at)? {
                if let Some(other) = keys.insert(key, read_tenants.len())
                    && other != read_tenants.len()
                {
                    return fault(at, "shares a key with another tenant");
                }
            }
            read_tenants.push(tenant(name, item, &at)?);
        }
        Ok(Configuration {
            generation: sheet.generation,
            routes: by_host,
            services: read_services,
            tenants: read_tenants,
            keys,
            bounds: bounds(&sheet.rest)?,
        })
    }
}

fn list(item: &Object, key: &str, of: &str) -> Result<Vec<String>, Fault> {
    at(item, key).map_or(Ok(Vec::new()), |v| values::texts(v, &path(of, key)))
}

/// A number of 0 or more; the usual one where it is left out.
fn figure(item: &Object, key: &str, of: &str, usual: f64) -> Result<f64, Fault> {
    match at(item, key).map(|v| values::number(v, &path(of, key))).transpose()? {
        Some(n) if n < 0.0 => fault(path(of, key), "below 0"),
        n => Ok(n.unwrap_or(usual)),
    }
}

fn service(item: &Object, of: &str) -> Result<Service, Fault> {
    let health =
        at(item, "health-path").map_or(Ok("/health"), |v| values::text(v, &path(of, "health-path")))?;
    Ok(Service {
        health_path: health.to_string(),
        max_conns: figure(item, "max-conns", of, 100.0)? as u32,
        cold: Span::from_secs(figure(item, "cold-s", of, 0.0)?),
        cold_per_s: figure(item, "cold-per-s", of, 0.0)?,
    })
}

fn route(name: &str, item: &Object, of: &str, services: &IndexMap<String, Service>) -> Result<Route, Fault> {
    let own = |key: &str| needed(item, key, of).and_then(|v| values::text(v, &path(of, key)));
    let host = own("host")?;
    if host.is_empty() {
        return fault(path(of, "host"), "empty");
    }
    let prefix = own("path-prefix")?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return fault(path(of, "path-prefix"), "begins and ends with a slash");
    }
    let kind = match own("route-kind")? {
        "safe" => Kind::Safe,
        "unsafe" => Kind::Unsafe,
        "download" => Kind::Download,
        other => {
            return fault(path(of, "route-kind"), format!("{other}: safe, unsafe or download is wanted"));
        }
    };
    let (timeout, target) = (figure(item, "timeout-s", of, 30.0)?, figure(item, "target-s", of, 1.0)?);
    if timeout == 0.0 {
        return fault(path(of, "timeout-s"), "0: no request could be answered");
    }
    if timeout > MOST_TIMEOUT_S {
        return fault(path(of, "timeout-s"), "exceeds ten minutes");
    }
    if target >= timeout + TARGET_OVER_S {
        return fault(path(of, "target-s"), "lies a minute or more above timeout-s");
    }
    let attempts = figure(item, "max-attempts", of, 1.0)?;
    if attempts < 1.0 {
        return fault(path(of, "max-attempts"), "0: at least 1 is wanted");
    }
    let mut to = Vec::new();
    if let Some(split) = at(item, "split") {
        let at = path(of, "split");
        for part in values::array(split, &at)? {
            let part = values::object(part, &at)?;
            let service = values::text(needed(part, "service", &at)?, &at)?;
            to.push((service.to_string(), figure(part, "weight", &at, 1.0)?));
        }
    }
    if !to.is_empty() && to.iter().all(|(_, weight)| *weight == 0.0) {
        return fault(path(of, "split"), "no weight above 0");
    }
    if to.is_empty() {
        to.push((own("service")?.to_string(), 1.0));
    }
    if let Some((unknown, _)) = to.iter().find(|(s, _)| !services.contains_key(s)) {
        return fault(of, format!("names an unknown service {unknown}"));
    }
    Ok(Route {
        name: name.to_string(),
        host: host.to_ascii_lowercase(),
        prefix: prefix.to_string(),
        kind,
        timeout: Span::from_secs(timeout),
        target: Span::from_secs(target),
        priority: figure(item, "priority", of, 0.0)? as u32,
        services: to,
        max_attempts: attempts as u32,
        public: at(item, "public").map_or(Ok(false), |v| values::truth(v, &path(of, "public")))?,
        homes: list(item, "home-regions", of)?,
    })
}

fn tenant(name: &str, item: &Object, of: &str) -> Result<Tenant, Fault> {
    let priority = at(item, "priority").map(|_| figure(item, "priority", of, 0.0)).transpose()?;
    Ok(Tenant {
        name: name.to_string(),
        priority: priority.map(|p| p as u32),
        rate: figure(item, "rate-per-s", of, 0.0)?,
        burst: figure(item, "burst", of, 0.0)?,
        homes: list(item, "home-regions", of)?,
    })
}

fn bounds(rest: &Object) -> Result<Bounds, Fault> {
    let empty = Object::new();
    let limits = at(rest, "limits").map_or(Ok(&empty), |v| values::object(v, "limits"))?;
    Ok(Bounds {
        header_bytes: figure(limits, "max-header-bytes", "limits", 16384.0)? as usize,
        body_bytes: figure(limits, "max-body-bytes", "limits", 67108864.0)? as usize,
        header_time: Span::from_secs(figure(limits, "header-timeout-s", "limits", 3.0)?),
        idle_time: Span::from_secs(figure(limits, "idle-timeout-s", "limits", 15.0)?),
    })
}
