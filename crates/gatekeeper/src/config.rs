//! The configuration: a JSON file named by the environment. Unknown keys are ignored.

use std::net::SocketAddr;

use lynxstair_settings::GatekeeperSettings;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::discovery::News;

const FILE: &str = "RELAY_CONFIG";

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Absent where there is no counter.
    #[serde(default)]
    counter: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: News,
    settings: Box<RawValue>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(default)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub seed: u64,
    pub limits: Limits,
    pub known: News,
    pub handed: GatekeeperSettings,
}

pub fn read() -> Result<Config, String> {
    let path = std::env::var(FILE).map_err(|_| format!("{FILE} does not name a configuration file"))?;
    let text = std::fs::read(&path).map_err(|e| format!("{FILE}: {e}"))?;
    parse(&text)
}

fn parse(text: &[u8]) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|e| format!("configuration: {e}"))?;
    let handed = lynxstair_settings::read(file.settings.get().as_bytes()).map_err(|e| e.to_string())?;
    if handed.names.operations.is_empty() || handed.names.plans.is_empty() {
        return Err("configuration: the settings name no operation or no plan".to_string());
    }
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("configuration: seed: {e}"))?;
    Ok(Config {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        counter: file.counter,
        seed,
        limits: file.limits,
        known: file.known,
        handed,
    })
}

#[cfg(test)]
mod tests;
