//! Why the gatekeeper can't serve, or ended otherwise than it should.

use std::fmt;
use std::io;

use lynxstair_cluster::StartError;
use lynxstair_net::server::ListenError;

use crate::config::ConfigError;

/// Why the gatekeeper can't serve. It ends with it; whoever runs it may start it again.
#[derive(Debug)]
pub enum GatekeeperError {
    /// The configuration can't be used.
    Config(ConfigError),
    /// The file of the cluster can't be used.
    ClusterFile(lynxstair_cluster::ConfigError),
    /// The control side can't be started.
    Cluster(StartError),
    /// The address for clients can't be listened on.
    Listen(ListenError),
    /// The system refuses signals.
    Signals(io::Error),
    /// The system refuses a timer.
    Timer(io::Error),
    /// The timer coroutine ended while it was still needed.
    TimerEnded,
}

impl fmt::Display for GatekeeperError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            GatekeeperError::Config(source) => source.fmt(f),
            GatekeeperError::ClusterFile(source) => source.fmt(f),
            GatekeeperError::Cluster(source) => source.fmt(f),
            GatekeeperError::Listen(source) => source.fmt(f),
            GatekeeperError::Signals(source) => write!(f, "signals: {source}"),
            GatekeeperError::Timer(source) => write!(f, "timer: {source}"),
            GatekeeperError::TimerEnded => f.write_str("the coroutine for time ended"),
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
