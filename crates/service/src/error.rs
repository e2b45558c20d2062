//! Why a program can't serve.

use std::error::Error;
use std::fmt;
use std::io;

use lynxstair_net::server::ListenError;

/// Why a program can't serve. It ends with it; whoever runs the program may start it again.
#[derive(Debug)]
pub enum StartError {
    /// The settings lack a key that the program needs.
    MissingSetting(&'static str),
    /// What is stored can't be read.
    Storage(Box<dyn Error + Send + Sync>),
    /// An address can't be listened on.
    Listen(ListenError),
    /// The system refuses signals, timers or threads.
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
