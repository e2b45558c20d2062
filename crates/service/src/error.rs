//! Start-up error of a program.

use std::error::Error;
use std::fmt;
use std::io;

use lynxstair_net::server::ListenError;

/// Fatal start-up error. The program exits; a supervisor may restart it.
#[derive(Debug)]
pub enum StartError {
    /// The settings lack a required key.
    MissingSetting(&'static str),
    /// Stored data can't be read.
    Storage(Box<dyn Error + Send + Sync>),
    /// Listening on an address failed.
    Listen(ListenError),
    /// Setting up an operating-system resource, such as signals, failed. The text names it.
    System(&'static str, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StartError::MissingSetting(key) => write!(f, "settings: {key}: missing"),
            StartError::Storage(source) => source.fmt(f),
            StartError::Listen(source) => source.fmt(f),
            StartError::System(what, source) => write!(f, "{what}: {source}"),
        }
    }
}

impl Error for StartError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StartError::MissingSetting(_) => None,
            StartError::Storage(source) => Some(&**source),
            StartError::Listen(source) => Some(source),
            StartError::System(_, source) => Some(source),
        }
    }
}

impl From<ListenError> for StartError {
    fn from(source: ListenError) -> StartError {
        StartError::Listen(source)
    }
}
