//! The settings file of one process: YAML, turned into values and read by hand. Unknown fields are passed over;
//! what is wrong is named by its key.

use std::net::{IpAddr, SocketAddr};
use std::os::unix::fs::MetadataExt;
use std::time::SystemTime;

use lynxstair::types::Span;
use yaml_rust2::{Yaml, YamlLoader};

use crate::json::{self, Fault, Object, Value, at, fault, needed};

pub const VARIABLE: &str = "LYNXSTAIR_BOOT";

/// What the operators' rules ask for; seconds are read into spans.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub contact: Span,
    pub drain: Span,
    pub grace: Span,
    pub converge: Span,
    pub revoke_final: bool,
    pub revoke: Span,
    pub retry_ratio: f64,
    pub retry_window: Span,
    pub retry_slack: f64,
    pub quota_window: Span,
    pub quota_overshoot: f64,
    pub quota_slack: f64,
    pub cold_overshoot: f64,
    pub cold_slack: f64,
    pub evacuate: Span,
    pub ttl_max: Span,
    /// How long a machine still counts as lost after it is back, or after its start where it is new.
    pub catch_up: Span,
    /// How long a proper order of the operator may go without an acknowledgement.
    pub ack: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub memory_mb: u64,
    pub max_fds: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node: String,
    pub ip: IpAddr,
    pub zone: String,
    pub region: String,
    /// Each zone's region.
    pub zones: Vec<(String, String)>,
    pub front: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub directory: Option<SocketAddr>,
    pub ports: (u16, u16),
    pub seeds: Vec<SocketAddr>,
    pub bootstrap: bool,
    pub limits: Limits,
    pub data_dir: Option<String>,
    pub beat_period: Span,
    /// How many machines may be lost at once with all rules kept.
    pub tolerated: usize,
    pub bounds: Bounds,
}

impl Settings {
    /// Reads a file; what is wrong is named by file and key.
    pub fn from_file(file: &str) -> Result<Settings, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        Settings::read(&text).map_err(|fault| format!("{file}: {fault}"))
    }

    /// Where this process listens for the others of the system.
    pub fn inner(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.0)
    }

    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.iter().find(|(z, _)| z == zone).map(|(_, r)| r.as_str())
    }

    pub fn read(text: &str) -> Result<Settings, Fault> {
        let documents = match YamlLoader::load_from_str(text) {
            Ok(documents) => documents,
            Err(e) => return fault("settings", format!("not YAML: {e}")),
        };
        let Some(first) = documents.first() else { return fault("settings", "empty") };
        let value = turned(first);
        let all = json::object(&value, "settings")?;
        let own = |key: &str| needed(all, key, "").and_then(|v| json::text(v, key)).map(str::to_string);
        let empty = Object::new();
        let part = |key: &str| at(all, key).map_or(Ok(&empty), |v| json::object(v, key));
        let bind = part("bind")?;
        let bound = |key: &str| -> Result<Option<SocketAddr>, Fault> {
            at(bind, key).map(|v| address(v, &format!("bind.{key}"))).transpose()
        };
        let ip = own("ip")?;
        let Ok(ip) = ip.parse() else { return fault("ip", "an address is wanted") };
        let ports = json::array(needed(all, "port-range", "")?, "port-range")?;
        let ports: Vec<u16> = ports
            .iter()
            .map(|p| json::number(p, "port-range").map(|p| p as u16))
            .collect::<Result<_, _>>()?;
        let [from, to] = ports[..] else { return fault("port-range", "two ports are wanted") };
        let seeds = json::array(needed(all, "seeds", "")?, "seeds")?;
        let seeds = seeds.iter().map(|s| address(s, "seeds")).collect::<Result<_, _>>()?;
        let limits = part("limits")?;
        let limit = |key: &str, usual: f64| {
            at(limits, key).map_or(Ok(usual), |v| json::number(v, &format!("limits.{key}")))
        };
        let mut zones = Vec::new();
        for (zone, region) in part("zones")? {
            zones.push((zone.clone(), json::text(region, "zones")?.to_string()));
        }
        zones.sort();
        let budget = part("fault-budget")?;
        let tolerated =
            at(budget, "machines").map_or(Ok(1.0), |v| json::number(v, "fault-budget.machines"))?;
        if !(0.0..=8.0).contains(&tolerated) || tolerated.fract() != 0.0 {
            return fault("fault-budget.machines", "a whole number from 0 to 8 is wanted");
        }
        let period = at(all, "beat-period-s").map_or(Ok(1.5), |v| json::number(v, "beat-period-s"))?;
        Ok(Settings {
            node: own("node-name")?,
            ip,
            zone: own("zone")?,
            region: own("region")?,
            zones,
            front: bound("front")?,
            readiness: bound("readiness")?,
            control: bound("control")?,
            directory: bound("directory")?,
            ports: (from, to),
            seeds,
            bootstrap: at(all, "bootstrap").map_or(Ok(false), |v| json::truth(v, "bootstrap"))?,
            limits: Limits {
                memory_mb: limit("memory-mb", 128.0)? as u64,
                max_fds: limit("max-fds", 1024.0)? as usize,
            },
            data_dir: at(all, "data-dir")
                .map(|v| json::text(v, "data-dir").map(str::to_string))
                .transpose()?,
            beat_period: Span::from_secs(period),
            tolerated: tolerated as usize,
            bounds: bounds(all)?,
        })
    }
}

/// The settings file while a program runs: it may change with a signal or without one. What may change in it is where
/// other machines of the core are.
#[derive(Debug, Default)]
pub struct Reload {
    file: String,
    seen: Option<(SystemTime, u64, u64)>,
}

impl Reload {
    /// The file that the environment names, as it was read at the start.
    pub fn from_environment() -> Reload {
        Reload::new(std::env::var(VARIABLE).unwrap_or_default())
    }

    pub fn new(file: String) -> Reload {
        let mut reload = Reload { file, seen: None };
        reload.seen = reload.stamp();
        reload
    }

    /// The seeds that the file names now, where it has changed since it was looked at; or in any case, where `anyway`.
    /// What can't be read changes nothing.
    pub fn look(&mut self, anyway: bool) -> Option<Result<Vec<SocketAddr>, String>> {
        let stamp = self.stamp();
        if stamp == self.seen && !anyway {
            return None;
        }
        self.seen = stamp;
        Some(Settings::from_file(&self.file).map(|settings| settings.seeds))
    }

    fn stamp(&self) -> Option<(SystemTime, u64, u64)> {
        let about = std::fs::metadata(&self.file).ok()?;
        Some((about.modified().ok()?, about.len(), about.ino()))
    }
}

fn address(value: &Value, at: &str) -> Result<SocketAddr, Fault> {
    let text = json::text(value, at)?;
    text.parse().or_else(|_| fault(at, format!("{text} is no address with a port")))
}

/// `name=value` texts, in a list or on one line between commas.
fn bounds(all: &Object) -> Result<Bounds, Fault> {
    let mut pairs = Vec::new();
    match at(all, "bounds") {
        Some(Value::Array(list)) => {
            for item in list {
                pairs.push(json::text(item, "bounds")?.to_string());
            }
        }
        Some(Value::String(line)) => pairs.extend(line.split(',').map(str::to_string)),
        _ => {}
    }
    let find = |name: &str| {
        pairs.iter().filter_map(|p| p.split_once('=')).find(|(n, _)| n.trim() == name).map(|(_, v)| v.trim())
    };
    let figure = |name: &str, usual: f64| match find(name).map(str::parse::<f64>) {
        None => Ok(usual),
        Some(Ok(n)) if n.is_finite() && n >= 0.0 => Ok(n),
        Some(_) => fault(format!("bounds.{name}"), "a number is wanted"),
    };
    let span = |name: &str, usual: f64| figure(name, usual).map(Span::from_secs);
    Ok(Bounds {
        contact: span("contact-s", 5.0)?,
        drain: span("drain-s", 2.5)?,
        grace: span("grace-s", 6.0)?,
        converge: span("converge-s", 2.5)?,
        revoke_final: find("revoke-final") == Some("true"),
        revoke: span("revoke-s", 5.0)?,
        retry_ratio: figure("retry-ratio", 0.2)?,
        retry_window: span("retry-window-s", 10.0)?,
        retry_slack: figure("retry-slack", 50.0)?,
        quota_window: span("quota-window-s", 5.0)?,
        quota_overshoot: figure("quota-overshoot", 0.1)?,
        quota_slack: figure("quota-slack", 20.0)?,
        cold_overshoot: figure("cold-overshoot", 1.5)?,
        cold_slack: figure("cold-slack", 5.0)?,
        evacuate: span("evacuate-s", 5.0)?,
        ttl_max: span("ttl_max_s", 5.0)?,
        catch_up: span("catch-up-s", 4.0)?,
        ack: span("ack-s", 8.0)?,
    })
}

/// A YAML value as the values that everything else here reads.
fn turned(yaml: &Yaml) -> Value {
    match yaml {
        Yaml::Real(text) => text.parse().map_or(Value::Null, Value::Number),
        Yaml::Integer(n) => Value::Number(*n as f64),
        Yaml::String(text) => Value::String(text.clone()),
        Yaml::Boolean(b) => Value::Boolean(*b),
        Yaml::Array(list) => Value::Array(list.iter().map(turned).collect()),
        Yaml::Hash(hash) => {
            let pairs = hash.iter().filter_map(|(k, v)| Some((k.as_str()?.to_string(), turned(v))));
            Value::Object(pairs.collect())
        }
        _ => Value::Null,
    }
}
