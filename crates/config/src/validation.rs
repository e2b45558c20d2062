//! Parses and validates a configuration from its tables. Errors name the invalid key.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use lynxstair::types::Span;

use crate::configuration::{ClientLimits, Configuration, Keys, Route, RouteKind, Service, Tenant};
use crate::json::{self, Fields, Object, RowFields, ValueError, get, invalid, join, require};
use crate::table::{ConfigTable, Row, Table, is_same_row};

/// Maximum `timeout-s` of a route, in seconds.
const MAX_TIMEOUT_S: f64 = 600.0;
/// `target-s` of a route must be less than this many seconds above its `timeout-s`.
const MAX_TARGET_ABOVE_TIMEOUT_S: f64 = 60.0;

/// Defaults of values that a row or `limits` omits.
const DEFAULT_TIMEOUT_S: f64 = 30.0;
const DEFAULT_TARGET_S: f64 = 1.0;
const DEFAULT_MAX_CONNS: f64 = 100.0;
const DEFAULT_MAX_HEADER_BYTES: f64 = 16_384.0;
const DEFAULT_MAX_BODY_BYTES: f64 = 67_108_864.0;
const DEFAULT_HEADER_TIMEOUT_S: f64 = 3.0;
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;

/// Indices into `table::TABLES`.
const ROUTES: usize = 0;
const SERVICES: usize = 1;
const TENANTS: usize = 2;

/// An older configuration with the tables from which it was parsed.
type Older<'a> = Option<(&'a ConfigTable, &'a Configuration)>;

impl Configuration {
    /// Parses and validates a configuration.
    pub fn from_table(table: &ConfigTable) -> Result<Configuration, ValueError> {
        Configuration::from_table_reusing(table, None)
    }

    /// Parses and validates a configuration. Reuses the routes and tenants whose rows are equal in an older
    /// version, and whole tables that are equal.
    pub fn from_table_reusing(table: &ConfigTable, older: Older) -> Result<Configuration, ValueError> {
        let unchanged = |n: usize| {
            let same = older.filter(|(old, _)| table.tables[n].is_same(&old.tables[n]));
            same.map(|(_, configuration)| configuration)
        };
        let services = match unchanged(SERVICES) {
            Some(older) => older.services.clone(),
            None => Arc::new(read_services(&table.tables[SERVICES])?),
        };
        let routes = match unchanged(ROUTES) {
            Some(older) => older.routes.clone(),
            None => Arc::new(read_routes(&table.tables[ROUTES], older)?),
        };
        // Checked even if no route has changed, because a service may have been removed.
        check_services_exist(&routes, &services)?;
        let (tenants, tenant_keys, tenant_by_key) = match unchanged(TENANTS) {
            Some(older) => (older.tenants.clone(), older.tenant_keys.clone(), older.tenant_by_key.clone()),
            None => {
                let (tenants, keys) = read_tenants(&table.tables[TENANTS], older)?;
                let by_key = index_keys(&tenants, &keys)?;
                (Arc::new(tenants), Arc::new(keys), Arc::new(by_key))
            }
        };
        Ok(Configuration {
            generation: table.generation,
            routes,
            services,
            tenants,
            tenant_keys,
            tenant_by_key,
            limits: read_limits(&table.extra()?)?,
        })
    }
}

fn check_services_exist(
    routes: &HashMap<String, Vec<Arc<Route>>>,
    services: &IndexMap<String, Service>,
) -> Result<(), ValueError> {
    for route in routes.values().flatten() {
        if let Some((unknown, _)) = route.services.iter().find(|(s, _)| !services.contains_key(s)) {
            return invalid(join("routes", &route.name), format!("unknown service {unknown}"));
        }
    }
    Ok(())
}

/// Parses a row with `read`.
fn read_row<T>(
    table: &Table,
    row: &str,
    path: &str,
    read: impl FnOnce(&RowFields) -> Result<T, ValueError>,
) -> Result<T, ValueError> {
    let value = json::parse(format!("[{row}]").as_bytes())?;
    read(&RowFields { columns: table.columns(), values: json::as_array(&value, path)? })
}

/// Returns `true` if an older table has an equal row of this name and the same columns.
fn is_unchanged_row(table: &Table, older: Option<&Table>, name: &str, row: &Row) -> bool {
    let Some(older) = older.filter(|older| older.columns() == table.columns()) else { return false };
    older.rows().get(name).is_some_and(|old| is_same_row(old, row))
}

fn read_services(table: &Table) -> Result<IndexMap<String, Service>, ValueError> {
    let mut services = IndexMap::new();
    for (name, row) in table.rows() {
        let path = join("services", name);
        services.insert(name.to_string(), read_row(table, row, &path, |fields| service(fields, &path))?);
    }
    Ok(services)
}

fn read_routes(table: &Table, older: Older) -> Result<HashMap<String, Vec<Arc<Route>>>, ValueError> {
    let older_table = older.map(|(old, _)| &old.tables[ROUTES]);
    let known: HashMap<&str, &Arc<Route>> = older
        .iter()
        .flat_map(|(_, configuration)| configuration.routes.values().flatten())
        .map(|route| (&route.name[..], route))
        .collect();
    let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for (name, row) in table.rows() {
        let path = join("routes", name);
        let unchanged = known.get(&name[..]).filter(|_| is_unchanged_row(table, older_table, name, row));
        let read = match unchanged {
            Some(route) => (*route).clone(),
            None => Arc::new(read_row(table, row, &path, |fields| route(name, fields, &path))?),
        };
        match by_host.get_mut(&read.host) {
            Some(routes) => routes.push(read),
            None => drop(by_host.insert(read.host.clone(), vec![read])),
        }
    }
    for routes in by_host.values_mut() {
        routes.sort_by(|a, b| (b.prefix.len(), &a.prefix).cmp(&(a.prefix.len(), &b.prefix)));
        if let Some([a, b]) = routes.array_windows().find(|[a, b]| a.prefix == b.prefix) {
            return invalid(
                join("routes", &b.name),
                format!("same host and path prefix as route {}", a.name),
            );
        }
    }
    Ok(by_host)
}

fn read_tenants(table: &Table, older: Older) -> Result<(Vec<Tenant>, Vec<Keys>), ValueError> {
    let older_table = older.map(|(old, _)| &old.tables[TENANTS]);
    let known: HashMap<&str, usize> = older
        .iter()
        .flat_map(|(_, configuration)| configuration.tenants.iter().enumerate())
        .map(|(n, tenant)| (&tenant.name[..], n))
        .collect();
    let (mut tenants, mut tenant_keys) = (Vec::new(), Vec::new());
    for (name, row) in table.rows() {
        let path = join("tenants", name);
        let unchanged = known.get(&name[..]).filter(|_| is_unchanged_row(table, older_table, name, row));
        let (read, keys) = match unchanged.zip(older) {
            Some((n, (_, older))) => (older.tenants[*n].clone(), older.tenant_keys[*n].clone()),
            None => read_row(table, row, &path, |fields| {
                let keys = strings(fields, "api-keys", &path)?.into_iter().map(Arc::from).collect();
                Ok((tenant(name, fields, &path)?, keys))
            })?,
        };
        tenants.push(read);
        tenant_keys.push(keys);
    }
    Ok((tenants, tenant_keys))
}

/// Returns the index of the tenant of each API key. A key must not belong to two tenants.
fn index_keys(tenants: &[Tenant], keys: &[Keys]) -> Result<HashMap<Arc<str>, usize>, ValueError> {
    let mut tenant_by_key = HashMap::new();
    for (n, keys) in keys.iter().enumerate() {
        for key in keys.iter() {
            if tenant_by_key.insert(key.clone(), n).is_some_and(|other| other != n) {
                return invalid(
                    join("tenants", &tenants[n].name),
                    "API key already belongs to another tenant",
                );
            }
        }
    }
    Ok(tenant_by_key)
}

fn strings(fields: &impl Fields, key: &str, path: &str) -> Result<Vec<String>, ValueError> {
    get(fields, key).map_or(Ok(Vec::new()), |v| json::as_strings(v, &join(path, key)))
}

/// Returns a non-negative number.
fn number(fields: &impl Fields, key: &str, path: &str, default: f64) -> Result<f64, ValueError> {
    match get(fields, key).map(|v| json::as_number(v, &join(path, key))).transpose()? {
        Some(n) if n < 0.0 => invalid(join(path, key), "must not be negative"),
        n => Ok(n.unwrap_or(default)),
    }
}

fn service(fields: &RowFields, path: &str) -> Result<Service, ValueError> {
    let health_path =
        get(fields, "health-path").map_or(Ok("/health"), |v| json::as_str(v, &join(path, "health-path")))?;
    Ok(Service {
        health_path: health_path.to_string(),
        max_conns: number(fields, "max-conns", path, DEFAULT_MAX_CONNS)? as u32,
        warm_up: Span::from_secs(number(fields, "cold-s", path, 0.0)?),
        warm_up_rate: number(fields, "cold-per-s", path, 0.0)?,
    })
}

fn route(name: &str, fields: &RowFields, path: &str) -> Result<Route, ValueError> {
    let text = |key: &str| require(fields, key, path).and_then(|v| json::as_str(v, &join(path, key)));
    let host = text("host")?;
    if host.is_empty() {
        return invalid(join(path, "host"), "must not be empty");
    }
    let prefix = text("path-prefix")?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return invalid(join(path, "path-prefix"), "must begin and end with a slash");
    }
    let kind = route_kind(text("route-kind")?, path)?;
    let (timeout, target) = timeout_and_target(fields, path)?;
    let max_attempts = number(fields, "max-attempts", path, 1.0)?;
    if max_attempts < 1.0 {
        return invalid(join(path, "max-attempts"), "must be at least 1");
    }
    let mut services = split(fields, path)?;
    if services.is_empty() {
        services.push((text("service")?.to_string(), 1.0));
    }
    Ok(Route {
        name: name.to_string(),
        host: host.to_ascii_lowercase(),
        prefix: prefix.to_string(),
        kind,
        timeout,
        target,
        priority: number(fields, "priority", path, 0.0)? as u32,
        services,
        max_attempts: max_attempts as u32,
        public: get(fields, "public").map_or(Ok(false), |v| json::as_bool(v, &join(path, "public")))?,
        home_regions: strings(fields, "home-regions", path)?,
    })
}

fn route_kind(text: &str, path: &str) -> Result<RouteKind, ValueError> {
    match text {
        "safe" => Ok(RouteKind::Safe),
        "unsafe" => Ok(RouteKind::Unsafe),
        "download" => Ok(RouteKind::Download),
        other => invalid(join(path, "route-kind"), format!("{other}: expected safe, unsafe or download")),
    }
}

fn timeout_and_target(fields: &RowFields, path: &str) -> Result<(Span, Span), ValueError> {
    let timeout = number(fields, "timeout-s", path, DEFAULT_TIMEOUT_S)?;
    let target = number(fields, "target-s", path, DEFAULT_TARGET_S)?;
    if timeout == 0.0 {
        return invalid(join(path, "timeout-s"), "must be greater than 0");
    }
    if timeout > MAX_TIMEOUT_S {
        return invalid(join(path, "timeout-s"), "must not exceed 600 seconds");
    }
    if target >= timeout + MAX_TARGET_ABOVE_TIMEOUT_S {
        return invalid(join(path, "target-s"), "must be less than 60 seconds above timeout-s");
    }
    Ok((Span::from_secs(timeout), Span::from_secs(target)))
}

/// Returns the services and weights of a route's `split`, empty if it has none.
fn split(fields: &RowFields, path: &str) -> Result<Vec<(String, f64)>, ValueError> {
    let Some(split) = get(fields, "split") else { return Ok(Vec::new()) };
    let path = join(path, "split");
    let mut services = Vec::new();
    for part in json::as_array(split, &path)? {
        let part = json::as_object(part, &path)?;
        let service = json::as_str(require(part, "service", &path)?, &path)?;
        services.push((service.to_string(), number(part, "weight", &path, 1.0)?));
    }
    if !services.is_empty() && services.iter().all(|(_, weight)| *weight == 0.0) {
        return invalid(path, "at least one weight must be above 0");
    }
    Ok(services)
}

fn tenant(name: &str, fields: &RowFields, path: &str) -> Result<Tenant, ValueError> {
    let priority = get(fields, "priority").map(|_| number(fields, "priority", path, 0.0)).transpose()?;
    Ok(Tenant {
        name: name.to_string(),
        priority: priority.map(|p| p as u32),
        rate: number(fields, "rate-per-s", path, 0.0)?,
        burst: number(fields, "burst", path, 0.0)?,
        home_regions: strings(fields, "home-regions", path)?,
    })
}

fn read_limits(extra: &Object) -> Result<ClientLimits, ValueError> {
    let empty = Object::new();
    let limits = get(extra, "limits").map_or(Ok(&empty), |v| json::as_object(v, "limits"))?;
    let limit = |key: &str, default: f64| number(limits, key, "limits", default);
    Ok(ClientLimits {
        max_header_bytes: limit("max-header-bytes", DEFAULT_MAX_HEADER_BYTES)? as usize,
        max_body_bytes: limit("max-body-bytes", DEFAULT_MAX_BODY_BYTES)? as usize,
        header_timeout: Span::from_secs(limit("header-timeout-s", DEFAULT_HEADER_TIMEOUT_S)?),
        idle_timeout: Span::from_secs(limit("idle-timeout-s", DEFAULT_IDLE_TIMEOUT_S)?),
    })
}
