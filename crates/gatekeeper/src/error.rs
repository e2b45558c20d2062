//! Errors that end the gatekeeper.

use std::fmt;
use std::io;

use lynxstair_cluster::StartError;
use lynxstair_net::server::ListenError;

use crate::config::ConfigError;

/// Error that ends the process.
#[derive(Debug)]
pub enum GatekeeperError {
    /// The configuration is missing or invalid.
    Config(ConfigError),
    /// The cluster configuration is missing or invalid.
    ClusterFile(lynxstair_cluster::ConfigError),
    /// The cluster node cannot be started.
    Cluster(StartError),
    /// The listener for clients cannot be bound.
    Listen(ListenError),
    /// Signal handlers cannot be registered.
    Signals(io::Error),
    /// The timer cannot be created.
    Timer(io::Error),
    /// The timer coroutine ended unexpectedly.
    TimerEnded,
}

impl fmt::Display for GatekeeperError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            GatekeeperError::Config(source) => source.fmt(f),
            GatekeeperError::ClusterFile(source) => source.fmt(f),
            GatekeeperError::Cluster(source) => source.fmt(f),
            GatekeeperError::Listen(source) => source.fmt(f),
            GatekeeperError::Signals(source) => write!(f, "cannot register signal handlers: {source}"),
            GatekeeperError::Timer(source) => write!(f, "cannot create the timer: {source}"),
            GatekeeperError::TimerEnded => f.write_str("the timer coroutine ended unexpectedly"),
        }
    }
}

impl std::error::Error for GatekeeperError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            GatekeeperError::Config(source) => Some(source),
            GatekeeperError::ClusterFile(source) => Some(source),
            GatekeeperError::Listen(source) => Some(source),
            GatekeeperError::Signals(source) | GatekeeperError::Timer(source) => Some(source),
            GatekeeperError::Cluster(source) => Some(source),
            GatekeeperError::TimerEnded => None,
        }
    }
}

impl From<ConfigError> for GatekeeperError {
    fn from(source: ConfigError) -> Self {
        GatekeeperError::Config(source)
    }
}

impl From<ListenError> for GatekeeperError {
    fn from(source: ListenError) -> Self {
        GatekeeperError::Listen(source)
    }
}
