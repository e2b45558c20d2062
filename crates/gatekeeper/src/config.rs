//! Configuration of the gatekeeper: a JSON file named by an environment variable. Unknown keys are ignored.

use std::env::VarError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;

use lynxstair_settings::{GatekeeperSettings, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::discovery::ListMessage;

/// Environment variable with the path of the configuration file.
const FILE_VARIABLE: &str = "RELAY_CONFIG";

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Absent if there is no counter.
    #[serde(default)]
    counter: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: ResourceLimits,
    #[serde(default)]
    known: ListMessage,
    settings: Box<RawValue>,
}

/// Resource limits of the process.
#[derive(Deserialize, Clone, Copy)]
#[serde(default)]
pub struct ResourceLimits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory, in MiB.
    pub memory_mb: u64,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { sockets: 1024, memory_mb: 192 }
    }
}

/// A validated configuration.
pub struct Config {
    /// Name of the gatekeeper.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address of discovery, which sends the list of workers.
    pub discovery: SocketAddr,
    /// Address of the shared counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// Last known list of workers, which may be stale.
    pub known: ListMessage,
    /// Settings of the decision module and of connections.
    pub settings: GatekeeperSettings,
}

/// Error in the configuration. It is permanent until the file changes.
#[derive(Debug)]
pub enum ConfigError {
    /// The environment variable is not set.
    NoFile(VarError),
    /// The file cannot be read.
    Read(io::Error),
    /// The file is not valid JSON, or a value is missing or has the wrong type.
    Parse(serde_json::Error),
    /// The settings are invalid.
    Settings(SettingsError),
    /// The settings contain no operation or no plan.
    NoOperationOrPlan,
    /// The seed is not a hexadecimal number.
    Seed(ParseIntError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::NoFile(_) => write!(f, "{FILE_VARIABLE} does not name a configuration file"),
            ConfigError::Read(source) => write!(f, "{FILE_VARIABLE}: {source}"),
            ConfigError::Parse(source) => write!(f, "configuration: {source}"),
            ConfigError::Settings(source) => source.fmt(f),
            ConfigError::NoOperationOrPlan => {
                f.write_str("configuration: the settings name no operation or no plan")
            }
            ConfigError::Seed(source) => write!(f, "configuration: seed: {source}"),
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ConfigError::NoFile(source) => Some(source),
            ConfigError::Read(source) => Some(source),
            ConfigError::Parse(source) => Some(source),
            ConfigError::Settings(source) => Some(source),
            ConfigError::Seed(source) => Some(source),
            ConfigError::NoOperationOrPlan => None,
        }
    }
}

/// Reads and validates the configuration file.
pub fn read() -> Result<Config, ConfigError> {
    let path = std::env::var(FILE_VARIABLE).map_err(ConfigError::NoFile)?;
    let text = std::fs::read(&path).map_err(ConfigError::Read)?;
    parse(&text)
}

fn parse(text: &[u8]) -> Result<Config, ConfigError> {
    let file: File = serde_json::from_slice(text).map_err(ConfigError::Parse)?;
    let settings = lynxstair_settings::read(file.settings.get().as_bytes()).map_err(ConfigError::Settings)?;
    if settings.names.operations.is_empty() || settings.names.plans.is_empty() {
        return Err(ConfigError::NoOperationOrPlan);
    }
    let seed = u64::from_str_radix(&file.seed, 16).map_err(ConfigError::Seed)?;
    Ok(Config {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        counter: file.counter,
        seed,
        limits: file.limits,
        known: file.known,
        settings,
    })
}

#[cfg(test)]
mod tests;
