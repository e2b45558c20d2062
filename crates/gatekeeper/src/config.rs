//! The configuration: a JSON file named by the environment. Keys that are not known are ignored.

use std::env::VarError;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;

use lynxstair_settings::{GatekeeperSettings, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::discovery::ListMessage;

/// The environment variable that names the file.
const FILE_VARIABLE: &str = "RELAY_CONFIG";

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
    limits: ResourceLimits,
    #[serde(default)]
    known: ListMessage,
    settings: Box<RawValue>,
}

/// What the process may take up.
#[derive(Deserialize, Clone, Copy)]
#[serde(default)]
pub struct ResourceLimits {
    /// Descriptors.
    pub sockets: usize,
    /// Memory, in MiB.
    pub memory_mb: u64,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        ResourceLimits { sockets: 1024, memory_mb: 192 }
    }
}

/// A configuration that can be used.
pub struct Config {
    /// The gatekeeper's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list of workers is.
    pub discovery: SocketAddr,
    /// Where the shared counter is, if there is one.
    pub counter: Option<SocketAddr>,
    /// Of the decisions' draws.
    pub seed: u64,
    /// What the process may take up.
    pub limits: ResourceLimits,
    /// The list of workers as it was last held.
    pub known: ListMessage,
    /// What the decisions and the connections go by.
    pub settings: GatekeeperSettings,
}

/// Why a configuration can't be used. Trying again helps once the file is another one.
#[derive(Debug)]
pub enum ConfigError {
    /// The environment names no file.
    NoFile(VarError),
    /// The file can't be read.
    Read(io::Error),
    /// The file is no configuration.
    Parse(serde_json::Error),
    /// Its settings can't be read.
    Settings(SettingsError),
    /// Its settings name no operation or no plan.
    NothingToServe,
    /// Its seed is no hexadecimal number.
    Seed(ParseIntError),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ConfigError::NoFile(_) => write!(f, "{FILE_VARIABLE} does not name a configuration file"),
            ConfigError::Read(source) => write!(f, "{FILE_VARIABLE}: {source}"),
            ConfigError::Parse(source) => write!(f, "configuration: {source}"),
            ConfigError::Settings(source) => source.fmt(f),
            ConfigError::NothingToServe => {
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
            ConfigError::NothingToServe => None,
        }
    }
}

/// Reads the file that the environment names.
pub fn read() -> Result<Config, ConfigError> {
    let path = std::env::var(FILE_VARIABLE).map_err(ConfigError::NoFile)?;
    let text = std::fs::read(&path).map_err(ConfigError::Read)?;
    parse(&text)
}

fn parse(text: &[u8]) -> Result<Config, ConfigError> {
    let file: File = serde_json::from_slice(text).map_err(ConfigError::Parse)?;
    let settings = lynxstair_settings::read(file.settings.get().as_bytes()).map_err(ConfigError::Settings)?;
    if settings.names.operations.is_empty() || settings.names.plans.is_empty() {
        return Err(ConfigError::NothingToServe);
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
