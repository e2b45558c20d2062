//! The control side of a gatekeeper on sockets: membership over datagrams, duties held under a lease, the control
//! port, and the records of both on disk.
//!
//! It runs only where the gatekeeper is started with `--fleet FILE`; without it no socket, thread or file is
//! opened. Requests never wait for it: it shares the coroutine thread in short turns, and what waits for a disk
//! or a sink has a thread of its own. Who is a member and who owns a duty is decided in `crates/membership` and
//! `crates/leases`, which do no I/O.
//!
//! | file | content |
//! | --- | --- |
//! | `config.rs` and below | the fleet file, its checks and errors |
//! | `node.rs` | [`ClusterNode`]: everything together, and the answers to operators |
//! | `datagrams.rs` | the socket and its rate limit |
//! | `membership.rs`, `membership_records.rs` | the membership state machine with its records on disk |
//! | `duties.rs` | voter and lease holder with their records on disk |
//! | `exporter.rs`, `sink_client.rs` | the duty `export` |
//! | `usage_log.rs` | usage on disk until a sink has it |
//! | `outputs.rs` | where the state machines' effects go: socket, history, timer |
//! | `control_port.rs`, `client.rs`, `protocol.rs` | the control port's server, client and messages |
//! | `logging.rs`, `history.rs` | log lines; the history that trials judge |
//! | `trial.rs` | what trials switch on |
#![deny(unsafe_code)]

mod client;
mod config;
mod control_port;
mod datagrams;
mod duties;
mod error;
mod exporter;
mod history;
mod logging;
mod membership;
mod membership_records;
mod node;
mod outputs;
pub mod protocol;
mod sink_client;
mod sync;
mod trial;
mod usage_log;

pub use client::request;
pub use config::{Config, ConfigError, DUTIES, DutyConfig, LogFormat, TrialSwitches};
pub use error::StartError;
pub use node::ClusterNode;
pub use usage_log::UsageLog;
