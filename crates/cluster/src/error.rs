//! Why the control side can't start.

use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;

use crate::membership_records::UnknownRecord;
use crate::usage_log::UsageLogError;

/// Why the control side can't start: what could not be had, and the cause.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The system gave no random numbers.
    #[error("no chance to be had: {0}")]
    Randomness(#[source] rand::rngs::SysError),
    /// The datagram socket.
    #[error("datagrams on {addr}: {source}")]
    DatagramSocket {
        /// The address it was to be bound to.
        addr: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The control port.
    #[error("control port on {addr}: {source}")]
    ControlPort {
        /// The address it was to listen on.
        addr: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The timer.
    #[error("timer: {0}")]
    Timer(#[source] io::Error),
    /// A thread; its name.
    #[error("the thread for {thread}: {source}")]
    Thread {
        /// What the thread is for.
        thread: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// The records of membership can't be opened.
    #[error("records: {0}")]
    MembershipRecords(#[source] lynxstair_record_log::Error),
    /// The records of membership hold one that this program does not know.
    #[error("records: {}: {source}", directory.display())]
    UnknownMembershipRecord {
        /// Where they are.
        directory: PathBuf,
        /// Which one.
        source: UnknownRecord,
    },
    /// The records of the voter can't be opened.
    #[error("voter's records: {0}")]
    VoterRecords(#[source] lynxstair_record_log::Error),
    /// The records of the voter hold one that can't be understood.
    #[error("voter's records: {}: {source}", directory.display())]
    UnknownVoterRecord {
        /// Where they are.
        directory: PathBuf,
        /// Which one, and why.
        source: lynxstair_leases::RecordError,
    },
    /// The history file.
    #[error("history {}: {source}", path.display())]
    History {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The machine's monotonic clock.
    #[error("clock: {0}")]
    Clock(#[source] nix::Error),
    /// The usage log.
    #[error(transparent)]
    UsageLog(#[from] UsageLogError),
    /// For trials: the kernel refused to tie this process to its parent.
    #[error("trial.ends_with_parent: {0}")]
    ParentDeathSignal(#[source] nix::Error),
    /// For trials: the parent had ended already.
    #[error("trial.ends_with_parent: the one that started this has ended")]
    ParentEnded,
}
