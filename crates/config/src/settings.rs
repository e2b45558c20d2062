//! Settings file of one process, in YAML. Unknown keys are ignored; errors name the invalid key.

use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};

use lynxstair::types::Span;
use yaml_rust2::{Yaml, YamlLoader};

use crate::bounds::Bounds;
use crate::json::{self, Object, Value, ValueError, get, invalid, require};

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "LYNXSTAIR_BOOT";

/// Defaults of values that the file omits.
const DEFAULT_MEMORY_MB: f64 = 128.0;
const DEFAULT_MAX_FDS: f64 = 1024.0;
const DEFAULT_HEARTBEAT_PERIOD_S: f64 = 1.5;
const DEFAULT_FAULT_BUDGET_MACHINES: f64 = 1.0;
/// Upper bound of `fault-budget.machines`.
const MAX_FAULT_BUDGET_MACHINES: f64 = 8.0;

/// Error in reading a settings file. Permanent until the file is changed.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// The file.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// The file has an invalid value or is not valid YAML.
    Invalid {
        /// The file.
        file: String,
        /// Invalid key with the reason.
        source: ValueError,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SettingsError::Unreadable { file, source } => write!(f, "{file}: {source}"),
            SettingsError::Invalid { file, source } => write!(f, "{file}: {source}"),
        }
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsError::Unreadable { source, .. } => Some(source),
            SettingsError::Invalid { source, .. } => Some(source),
        }
    }
}

/// Resource limits of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of file descriptors.
    pub max_fds: usize,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the machine.
    pub node: String,
    /// IP address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// All zones with their regions, in alphabetical order.
    pub zones: Vec<(String, String)>,
    /// Listen address for client requests; proxies only.
    pub front: Option<SocketAddr>,
    /// Listen address for readiness checks of the platform.
    pub readiness: Option<SocketAddr>,
    /// Listen address for workers and operators, which also identifies the controller; controllers only.
    pub control: Option<SocketAddr>,
    /// Listen address of the directory of proxies; controllers only.
    pub directory: Option<SocketAddr>,
    /// First and last port for traffic between processes of the system.
    pub ports: (u16, u16),
    /// Control addresses of some controllers.
    pub seeds: Vec<SocketAddr>,
    /// The system as a whole starts for the first time.
    pub bootstrap: bool,
    /// Resource limits.
    pub limits: Limits,
    /// Directory for stored data; `None` on a machine without a disk.
    pub data_dir: Option<String>,
    /// Interval between heartbeats of a worker.
    pub heartbeat_period: Span,
    /// Number of machines that may fail at once without any rule being broken.
    pub fault_budget_machines: usize,
    /// Limits and time spans of the operators' rules.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads a settings file.
    pub fn from_file(file: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Unreadable { file: file.to_string(), source })?;
        Settings::from_yaml(&text).map_err(|source| SettingsError::Invalid { file: file.to_string(), source })
    }

    /// Returns the listen address for other processes of the system.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.0)
    }

    /// Returns the region of a zone, or `None` if the zone is unknown.
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.zones.iter().find(|(z, _)| z == zone).map(|(_, r)| r.as_str())
    }

    /// Parses the text of a settings file.
    pub fn from_yaml(text: &str) -> Result<Settings, ValueError> {
        let documents =
            YamlLoader::load_from_str(text).or_else(|e| invalid("settings", format!("not YAML: {e}")))?;
        let Some(first) = documents.first() else { return invalid("settings", "empty") };
        let value = to_json(first);
        let fields = json::as_object(&value, "settings")?;
        let bind = Bind(section(fields, "bind")?);
        // Errors in these keys are reported before those in others.
        let (ip, ports, seeds) = (read_ip(fields)?, read_ports(fields)?, read_seeds(fields)?);
        Ok(Settings {
            node: required_text(fields, "node-name")?,
            ip,
            zone: required_text(fields, "zone")?,
            region: required_text(fields, "region")?,
            zones: read_zones(fields)?,
            front: bind.address("front")?,
            readiness: bind.address("readiness")?,
            control: bind.address("control")?,
            directory: bind.address("directory")?,
            ports,
            seeds,
            bootstrap: get(fields, "bootstrap").map_or(Ok(false), |v| json::as_bool(v, "bootstrap"))?,
            limits: read_limits(fields)?,
            data_dir: get(fields, "data-dir")
                .map(|v| json::as_str(v, "data-dir").map(str::to_string))
                .transpose()?,
            heartbeat_period: Span::from_secs(number(
                fields,
                "beat-period-s",
                "beat-period-s",
                DEFAULT_HEARTBEAT_PERIOD_S,
            )?),
            fault_budget_machines: read_fault_budget(fields)?,
            bounds: Bounds::from_settings(fields)?,
        })
    }
}

/// The `bind` section: listen addresses.
struct Bind<'a>(Option<&'a Object>);

impl Bind<'_> {
    fn address(&self, key: &str) -> Result<Option<SocketAddr>, ValueError> {
        let value = self.0.and_then(|fields| get(fields, key));
        value.map(|v| read_address(v, &format!("bind.{key}"))).transpose()
    }
}

fn section<'a>(fields: &'a Object, key: &str) -> Result<Option<&'a Object>, ValueError> {
    get(fields, key).map(|v| json::as_object(v, key)).transpose()
}

fn required_text(fields: &Object, key: &str) -> Result<String, ValueError> {
    json::as_str(require(fields, key, "")?, key).map(str::to_string)
}

fn number(fields: &Object, key: &str, path: &str, default: f64) -> Result<f64, ValueError> {
    get(fields, key).map_or(Ok(default), |v| json::as_number(v, path))
}

fn read_ip(fields: &Object) -> Result<IpAddr, ValueError> {
    required_text(fields, "ip")?.parse().or_else(|_| invalid("ip", "expected an IP address"))
}

fn read_address(value: &Value, path: &str) -> Result<SocketAddr, ValueError> {
    let text = json::as_str(value, path)?;
    text.parse().or_else(|_| invalid(path, format!("{text} is not an address with a port")))
}

fn read_ports(fields: &Object) -> Result<(u16, u16), ValueError> {
    let ports = json::as_array(require(fields, "port-range", "")?, "port-range")?;
    let read = |port| json::as_number(port, "port-range").map(|port| port as u16);
    let ports: Vec<u16> = ports.iter().map(read).collect::<Result<_, _>>()?;
    let [from, to] = ports[..] else { return invalid("port-range", "expected two ports") };
    Ok((from, to))
}

fn read_seeds(fields: &Object) -> Result<Vec<SocketAddr>, ValueError> {
    let seeds = json::as_array(require(fields, "seeds", "")?, "seeds")?;
    seeds.iter().map(|seed| read_address(seed, "seeds")).collect()
}

fn read_limits(fields: &Object) -> Result<Limits, ValueError> {
    let empty = Object::new();
    let limits = section(fields, "limits")?.unwrap_or(&empty);
    Ok(Limits {
        memory_mb: number(limits, "memory-mb", "limits.memory-mb", DEFAULT_MEMORY_MB)? as u64,
        max_fds: number(limits, "max-fds", "limits.max-fds", DEFAULT_MAX_FDS)? as usize,
    })
}

fn read_zones(fields: &Object) -> Result<Vec<(String, String)>, ValueError> {
    let mut zones = Vec::new();
    for (zone, region) in section(fields, "zones")?.into_iter().flatten() {
        zones.push((zone.clone(), json::as_str(region, "zones")?.to_string()));
    }
    zones.sort();
    Ok(zones)
}

fn read_fault_budget(fields: &Object) -> Result<usize, ValueError> {
    let path = "fault-budget.machines";
    let empty = Object::new();
    let budget = section(fields, "fault-budget")?.unwrap_or(&empty);
    let machines = number(budget, "machines", path, DEFAULT_FAULT_BUDGET_MACHINES)?;
    if !(0.0..=MAX_FAULT_BUDGET_MACHINES).contains(&machines) || machines.fract() != 0.0 {
        return invalid(path, format!("expected a whole number from 0 to {MAX_FAULT_BUDGET_MACHINES}"));
    }
    Ok(machines as usize)
}

/// Converts a YAML value to JSON. Unsupported values become null.
fn to_json(yaml: &Yaml) -> Value {
    match yaml {
        Yaml::Real(text) => text.parse().map_or(Value::Null, Value::Number),
        Yaml::Integer(n) => Value::Number(*n as f64),
        Yaml::String(text) => Value::String(text.clone()),
        Yaml::Boolean(b) => Value::Boolean(*b),
        Yaml::Array(list) => Value::Array(list.iter().map(to_json).collect()),
        Yaml::Hash(hash) => {
            let pairs = hash.iter().filter_map(|(k, v)| Some((k.as_str()?.to_string(), to_json(v))));
            Value::Object(pairs.collect())
        }
        _ => Value::Null,
    }
}
