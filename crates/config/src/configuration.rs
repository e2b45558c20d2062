//! What the system acts on of a configuration, and all that makes one invalid.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use lynxstair::types::Span;

use crate::json::{self, Fault, Fields, Item, Object, at, fault, needed, path};
use crate::table::{List, Sheet, same};

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

type Keys = Arc<[Arc<str>]>;

/// What is the same in two versions is shared by them.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    pub generation: u64,
    /// By host, the longest prefix first.
    pub routes: Arc<HashMap<String, Vec<Arc<Route>>>>,
    pub services: Arc<IndexMap<String, Service>>,
    pub tenants: Arc<Vec<Tenant>>,
    /// The keys of each tenant, and which tenant holds a key.
    keys_of: Arc<Vec<Keys>>,
    keys: Arc<HashMap<Arc<str>, usize>>,
    pub bounds: Bounds,
}

impl Configuration {
    /// The route of a request: among those of its host, the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
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
        self.routes.values().flatten().map(|route| &**route)
    }

    /// Reads and checks.
    pub fn read(sheet: &Sheet) -> Result<Configuration, Fault> {
        Configuration::read_after(sheet, None)
    }

    /// The same, where an older version was read: only what differs from it is read, and all is checked.
    pub fn read_after(
        sheet: &Sheet,
        older: Option<(&Sheet, &Configuration)>,
    ) -> Result<Configuration, Fault> {
        let [routes, services, tenants] = &sheet.lists;
        let older_list = |n: usize| older.map(|(s, _)| &s.lists[n]);
        let shared = |n: usize| older.filter(|(s, _)| sheet.lists[n].is(&s.lists[n])).map(|(_, c)| c);
        let read_services = match shared(1) {
            Some(c) => c.services.clone(),
            None => Arc::new(read_services(services)?),
        };
        let read_routes = match shared(0) {
            // Its services may have changed nevertheless.
            Some(c) => c.routes.clone(),
            None => Arc::new(read_routes(routes, older_list(0), older.map(|(_, c)| c))?),
        };
        for route in read_routes.values().flatten() {
            if let Some((unknown, _)) = route.services.iter().find(|(s, _)| !read_services.contains_key(s)) {
                return fault(path("routes", &route.name), format!("names an unknown service {unknown}"));
            }
        }
        let (read_tenants, keys_of, keys) = match shared(2) {
            Some(c) => (c.tenants.clone(), c.keys_of.clone(), c.keys.clone()),
            None => {
                let (read, keys_of) = read_tenants(tenants, older_list(2), older.map(|(_, c)| c))?;
                let keys = held(&read, &keys_of)?;
                (Arc::new(read), Arc::new(keys_of), Arc::new(keys))
            }
        };
        Ok(Configuration {
            generation: sheet.generation,
            routes: read_routes,
            services: read_services,
            tenants: read_tenants,
            keys_of,
            keys,
            bounds: bounds(&sheet.rest()?)?,
        })
    }
}

/// Reads a row's cells and what they say.
fn row<T>(
    list: &List,
    cells: &str,
    of: &str,
    read: impl FnOnce(&Item) -> Result<T, Fault>,
) -> Result<T, Fault> {
    let value = json::read(format!("[{cells}]").as_bytes())?;
    read(&Item { columns: list.columns(), cells: json::array(&value, of)? })
}

/// Whether a row stood in an older list as it does now.
fn is_kept(list: &List, older: Option<&List>, name: &str, cells: &Arc<str>) -> bool {
    let Some(older) = older.filter(|older| older.columns() == list.columns()) else { return false };
    older.rows().get(name).is_some_and(|old| same(old, cells))
}

fn read_services(list: &List) -> Result<IndexMap<String, Service>, Fault> {
    let mut read = IndexMap::new();
    for (name, cells) in list.rows() {
        let of = path("services", name);
        read.insert(name.to_string(), row(list, cells, &of, |item| service(item, &of))?);
    }
    Ok(read)
}

fn read_routes(
    list: &List,
    older: Option<&List>,
    before: Option<&Configuration>,
) -> Result<HashMap<String, Vec<Arc<Route>>>, Fault> {
    let known: HashMap<&str, &Arc<Route>> =
        before.iter().flat_map(|c| c.routes.values().flatten()).map(|r| (&r.name[..], r)).collect();
    let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for (name, cells) in list.rows() {
        let of = path("routes", name);
        let kept = known.get(&name[..]).filter(|_| is_kept(list, older, name, cells));
        let read = match kept {
            Some(route) => (*route).clone(),
            None => Arc::new(row(list, cells, &of, |item| route(name, item, &of))?),
        };
        match by_host.get_mut(&read.host) {
            Some(routes) => routes.push(read),
            None => drop(by_host.insert(read.host.clone(), vec![read])),
        }
    }
    for routes in by_host.values_mut() {
        routes.sort_by(|a, b| (b.prefix.len(), &a.prefix).cmp(&(a.prefix.len(), &b.prefix)));
        if let Some([a, b]) = routes.array_windows().find(|[a, b]| a.prefix == b.prefix) {
            return fault(path("routes", &b.name), format!("stands in the same place as {}", a.name));
        }
    }
    Ok(by_host)
}

fn read_tenants(
    list: &List,
    older: Option<&List>,
    before: Option<&Configuration>,
) -> Result<(Vec<Tenant>, Vec<Keys>), Fault> {
    let known: HashMap<&str, usize> =
        before.iter().flat_map(|c| c.tenants.iter().enumerate()).map(|(n, t)| (&t.name[..], n)).collect();
    let (mut read, mut keys_of) = (Vec::new(), Vec::new());
    for (name, cells) in list.rows() {
        let of = path("tenants", name);
        let kept = known.get(&name[..]).filter(|_| is_kept(list, older, name, cells)).zip(before);
        let (one, keys) = match kept {
            Some((n, c)) => (c.tenants[*n].clone(), c.keys_of[*n].clone()),
            None => row(list, cells, &of, |item| {
                let keys = texts(item, "api-keys", &of)?.into_iter().map(Arc::from).collect();
                Ok((tenant(name, item, &of)?, keys))
            })?,
        };
        read.push(one);
        keys_of.push(keys);
    }
    Ok((read, keys_of))
}

/// Who holds each key: one tenant.
fn held(tenants: &[Tenant], keys_of: &[Keys]) -> Result<HashMap<Arc<str>, usize>, Fault> {
    let mut held = HashMap::new();
    for (n, keys) in keys_of.iter().enumerate() {
        for key in keys.iter() {
            if held.insert(key.clone(), n).is_some_and(|other| other != n) {
                return fault(path("tenants", &tenants[n].name), "shares a key with another tenant");
            }
        }
    }
    Ok(held)
}

fn texts(item: &impl Fields, key: &str, of: &str) -> Result<Vec<String>, Fault> {
    at(item, key).map_or(Ok(Vec::new()), |v| json::texts(v, &path(of, key)))
}

/// A number of 0 or more; the usual one where it is left out.
fn figure(item: &impl Fields, key: &str, of: &str, usual: f64) -> Result<f64, Fault> {
    match at(item, key).map(|v| json::number(v, &path(of, key))).transpose()? {
        Some(n) if n < 0.0 => fault(path(of, key), "below 0"),
        n => Ok(n.unwrap_or(usual)),
    }
}

fn service(item: &Item, of: &str) -> Result<Service, Fault> {
    let health =
        at(item, "health-path").map_or(Ok("/health"), |v| json::text(v, &path(of, "health-path")))?;
    Ok(Service {
        health_path: health.to_string(),
        max_conns: figure(item, "max-conns", of, 100.0)? as u32,
        cold: Span::from_secs(figure(item, "cold-s", of, 0.0)?),
        cold_per_s: figure(item, "cold-per-s", of, 0.0)?,
    })
}

fn route(name: &str, item: &Item, of: &str) -> Result<Route, Fault> {
    let own = |key: &str| needed(item, key, of).and_then(|v| json::text(v, &path(of, key)));
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
        for part in json::array(split, &at)? {
            let part = json::object(part, &at)?;
            let service = json::text(needed(part, "service", &at)?, &at)?;
            to.push((service.to_string(), figure(part, "weight", &at, 1.0)?));
        }
    }
    if !to.is_empty() && to.iter().all(|(_, weight)| *weight == 0.0) {
        return fault(path(of, "split"), "no weight above 0");
    }
    if to.is_empty() {
        to.push((own("service")?.to_string(), 1.0));
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
        public: at(item, "public").map_or(Ok(false), |v| json::truth(v, &path(of, "public")))?,
        homes: texts(item, "home-regions", of)?,
    })
}

fn tenant(name: &str, item: &Item, of: &str) -> Result<Tenant, Fault> {
    let priority = at(item, "priority").map(|_| figure(item, "priority", of, 0.0)).transpose()?;
    Ok(Tenant {
        name: name.to_string(),
        priority: priority.map(|p| p as u32),
        rate: figure(item, "rate-per-s", of, 0.0)?,
        burst: figure(item, "burst", of, 0.0)?,
        homes: texts(item, "home-regions", of)?,
    })
}

fn bounds(rest: &Object) -> Result<Bounds, Fault> {
    let empty = Object::new();
    let limits = at(rest, "limits").map_or(Ok(&empty), |v| json::object(v, "limits"))?;
    Ok(Bounds {
        header_bytes: figure(limits, "max-header-bytes", "limits", 16384.0)? as usize,
        body_bytes: figure(limits, "max-body-bytes", "limits", 67108864.0)? as usize,
        header_time: Span::from_secs(figure(limits, "header-timeout-s", "limits", 3.0)?),
        idle_time: Span::from_secs(figure(limits, "idle-timeout-s", "limits", 15.0)?),
    })
}
