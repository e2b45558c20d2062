//! The settings file of one process: YAML, turned into values and read by hand. Unknown fields are passed over;
//! what is wrong is named by its key.

use std::net::{IpAddr, SocketAddr};

use lynxstair::types::Span;
use yaml_rust2::{Yaml, YamlLoader};

use crate::values::{self, Fault, Object, Value, at, fault, needed};

pub const VARIABLE: &str = "LYNXSTAIR_BOOT";

/// What the operators' rules ask for; seconds are read into spans.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub contact: Span,
    pub catch_up: Span,
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
    /// How many disks of the core may be lost at once: `fault-budget.machines`.
    pub tolerated: usize,
    pub limits: Limits,
    pub data_dir: Option<String>,
    pub beat_period: Span,
    pub bounds: Bounds,
}

impl Settings {
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
        let all = values::object(&value, "settings")?;
        let own = |key: &str| needed(all, key, "").and_then(|v| values::text(v, key)).map(str::to_string);
        let empty = Object::new();
        let part = |key: &str| at(all, key).map_or(Ok(&empty), |v| values::object(v, key));
        let bind = part("bind")?;
        let bound = |key: &str| -> Result<Option<SocketAddr>, Fault> {
            at(bind, key).map(|v| address(v, &format!("bind.{key}"))).transpose()
        };
        let ip = own("ip")?;
        let Ok(ip) = ip.parse() else { return fault("ip", "an address is wanted") };
        let ports = values::array(needed(all, "port-range", "")?, "port-range")?;
        let ports: Vec<u16> = ports
            .iter()
            .map(|p| values::number(p, "port-range").map(|p| p as u16))
            .collect::<Result<_, _>>()?;
        let [from, to] = ports[..] else { return fault("port-range", "two ports are wanted") };
        let seeds = values::array(needed(all, "seeds", "")?, "seeds")?;
        let seeds = seeds.iter().map(|s| address(s, "seeds")).collect::<Result<_, _>>()?;
        let limits = part("limits")?;
        let limit = |key: &str, usual: f64| {
            at(limits, key).map_or(Ok(usual), |v| values::number(v, &format!("limits.{key}")))
        };
        let mut zones = Vec::new();
        for (zone, region) in part("zones")? {
            zones.push((zone.clone(), values::text(region, "zones")?.to_string()));
        }
        zones.sort();
        let period = at(all, "beat-period-s").map_or(Ok(1.5), |v| values::number(v, "beat-period-s"))?;
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
            bootstrap: at(all, "bootstrap").map_or(Ok(false), |v| values::truth(v, "bootstrap"))?,
            tolerated: at(part("fault-budget")?, "machines")
                .map_or(Ok(1.0), |v| values::number(v, "fault-budget.machines"))?
                as usize,
            limits: Limits {
                memory_mb: limit("memory-mb", 128.0)? as u64,
                max_fds: limit("max-fds", 1024.0)? as usize,
            },
            data_dir: at(all, "data-dir")
                .map(|v| values::text(v, "data-dir").map(str::to_string))
                .transpose()?,
            beat_period: Span::from_secs(period),
            bounds: bounds(all)?,
        })
    }
}

fn address(value: &Value, at: &str) -> Result<SocketAddr, Fault> {
    let text = values::text(value, at)?;
    text.parse().or_else(|_| fault(at, format!("{text} is no address with a port")))
}

/// `name=value` texts, in a list or on one line between commas.
fn bounds(all: &Object) -> Result<Bounds, Fault> {
    let mut pairs = Vec::new();
    match at(all, "bounds") {
        Some(Value::Array(list)) => {
            for item in list {
                pairs.push(values::text(item, "bounds")?.to_string());
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
        catch_up: span("catch-up-s", 4.0)?,
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

#[cfg(test)]
mod tests {
    use lynxstair::types::Span;

    use super::Settings;

    const GOOD: &str = "node-name: \"e1\"\nrole: \"x\"\nip: \"10.1.0.23\"\nzone: \"a\"\nregion: \"r\"\n\
        zones:\n  a: \"r\"\n  b: \"s\"\nbind:\n  front: \"10.1.0.23:80\"\nport-range:\n  - 7460\n  - 7475\n\
        seeds:\n  - \"10.1.0.25:83\"\nbootstrap: true\ndata-dir: null\nbeat-period-s: 1.5\nmore: [1, {x: 2}]\n\
        limits:\n  memory-mb: 260\n  max-fds: 4100\nbounds:\n  - \"drain-s=2.5\"\n  - \"revoke-final=true\"\n";

    /// What is good is read, lists of bounds on one line too; what is bad is named by its key.
    #[test]
    fn good_and_bad_files() {
        let good = Settings::read(GOOD).expect("good");
        assert_eq!((good.bounds.drain, good.bounds.revoke_final), (Span::from_millis(2500), true));
        assert_eq!((good.region_of("b"), good.limits.max_fds, good.bootstrap), (Some("s"), 4100, true));
        let line =
            GOOD.split("bounds:").next().expect("some").to_string() + "bounds: \"drain-s=3,grace-s=4\"\n";
        assert_eq!(Settings::read(&line).expect("good").bounds.grace, Span::from_millis(4000));
        let cases = [
            (GOOD.replace("node-name", "name"), "node-name: missing"),
            (GOOD.replace("10.1.0.25:83", "nowhere"), "seeds: nowhere is no address"),
            (GOOD.replace("10.1.0.23:80", "80"), "bind.front: "),
            (GOOD.replace("drain-s=2.5", "drain-s=x"), "bounds.drain-s: a number"),
            (GOOD.replace("  - 7475\n", ""), "port-range: two ports"),
            (GOOD.replace("true\ndata", "maybe\ndata"), "bootstrap: true or false"),
            (String::new(), "settings: empty"),
            ("a: [".to_string(), "settings: not YAML"),
        ];
        for (text, wanted) in cases {
            let got = Settings::read(&text).expect_err(wanted).to_string();
            assert!(got.starts_with(wanted), "{got}, not {wanted}");
        }
    }
}
