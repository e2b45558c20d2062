//! Cluster node of a gatekeeper: membership over UDP, duties held under a lease, the usage log and its
//! export, and the control port.
//!
//! A gatekeeper starts it only with `--fleet FILE`; otherwise no socket, thread or file is opened. Its
//! coroutines share one thread with the request path and yield often. Blocking disk and sink I/O runs on
//! separate threads. The membership and lease protocols are in `crates/membership` and `crates/leases`,
//! which do no I/O.
//!
//! | file | content |
//! | --- | --- |
//! | `config.rs`, `config/` | the fleet file, its validation and errors |
//! | `node.rs` | [`ClusterNode`]: owns all parts and handles control requests |
//! | `datagrams.rs` | the UDP socket and its rate limit |
//! | `membership.rs`, `membership_records.rs` | the membership state machine and its records on disk |
//! | `duties.rs` | the voter with its records on disk, and the lease holder |
//! | `exporter.rs`, `sink_client.rs` | the duty `export` |
//! | `usage_log.rs` | usage records, stored until a sink has them |
//! | `outputs.rs` | socket, history and timer, shared by the state machines |
//! | `control_port.rs`, `client.rs`, `protocol.rs` | server, client and messages of the control port |
//! | `logging.rs`, `history.rs` | log lines; the event history that trials check |
//! | `trial.rs` | fault injection for trials |
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
