//! Start-up errors of the cluster node.

use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;

use crate::membership_records::UnknownRecord;
use crate::usage_log::UsageLogError;

/// Error when a cluster node can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The operating system provided no random numbers.
    #[error("can't get random numbers: {0}")]
    Randomness(#[source] rand::rngs::SysError),
    /// The datagram socket can't be bound.
    #[error("can't bind datagram socket to {addr}: {source}")]
    DatagramSocket {
        /// Address to bind to.
        addr: SocketAddrV4,
        /// Underlying error.
        source: io::Error,
    },
    /// The control port can't be opened.
    #[error("can't listen on control port {addr}: {source}")]
    ControlPort {
        /// Address to listen on.
        addr: SocketAddrV4,
        /// Underlying error.
        source: io::Error,
    },
    /// The timer can't be created.
    #[error("can't create timer: {0}")]
    Timer(#[source] io::Error),
    /// A thread can't be started.
    #[error("can't start thread for {thread}: {source}")]
    Thread {
        /// Task of the thread.
        thread: &'static str,
        /// Underlying error.
        source: io::Error,
    },
    /// The membership records can't be opened.
    #[error("membership records: {0}")]
    MembershipRecords(#[source] lynxstair_record_log::Error),
    /// The membership records contain one of an unknown kind.
    #[error("membership records: {}: {source}", directory.display())]
    UnknownMembershipRecord {
        /// Directory of the records.
        directory: PathBuf,
        /// The record and the decoding error.
        source: UnknownRecord,
    },
    /// The voter records can't be opened.
    #[error("voter records: {0}")]
    VoterRecords(#[source] lynxstair_record_log::Error),
    /// The voter records contain one that can't be decoded.
    #[error("voter records: {}: {source}", directory.display())]
    UnknownVoterRecord {
        /// Directory of the records.
        directory: PathBuf,
        /// The record and the decoding error.
        source: lynxstair_leases::RecordError,
    },
    /// The history file can't be opened, or its thread can't be started.
    #[error("history {}: {source}", path.display())]
    History {
        /// Path of the history file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// The monotonic clock can't be read.
    #[error("can't read monotonic clock: {0}")]
    Clock(#[source] nix::Error),
    /// The usage log can't be opened.
    #[error(transparent)]
    UsageLog(#[from] UsageLogError),
    /// For trials: the parent death signal can't be set.
    #[error("trial.ends_with_parent: {0}")]
    ParentDeathSignal(#[source] nix::Error),
    /// For trials: the parent process had ended before the signal was set.
    #[error("trial.ends_with_parent: the parent process has ended")]
    ParentEnded,
}
