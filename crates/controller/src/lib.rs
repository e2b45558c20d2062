//! The controller, which is the control plane of the system: performs the I/O for the state machines in
//! `lynxstair-consensus` and `lynxstair-control-state`, which make the decisions.
//!
//! Each module uses only modules of its own or lower layers:
//!
//! | layer | modules | access |
//! | --- | --- | --- |
//! | start-up and shutdown | [`startup`] | all modules |
//! | HTTP API | `http_api`, `operator_api`, `instance_api`, `status_api` | `Controller` |
//! | HTTP API | `directory_api` | `Controller` |
//! | HTTP API | `replies` | no controller state |
//! | message and timer handlers | `inbound`, `timers`, `settings_watch` | `Controller` |
//! | actions | `consensus_driver`, `departures`, `peer_links` | `Controller` |
//! | shared state | `controller`, `state` | all parts, under one lock |
//! | parts | `committed_config`, `pending_requests`, `instances`, `subscribers` | own state |
//! | parts | `peer_connections`, `consensus_status`, `timer` | own state |
//! | parts | `process_limits` | no controller state |
//! | I/O and threads | [`storage`], `disk_writer`, `blocking_pool`, `command_parser` | no controller state |
#![deny(unsafe_code)]

mod blocking_pool;
mod command_parser;
mod committed_config;
mod consensus_driver;
mod consensus_status;
mod controller;
mod departures;
mod directory_api;
mod disk_writer;
mod http_api;
mod inbound;
mod instance_api;
mod instances;
mod operator_api;
mod peer_connections;
mod peer_links;
mod pending_requests;
mod process_limits;
mod replies;
mod settings_watch;
pub mod startup;
mod state;
mod status_api;
pub mod storage;
mod subscribers;
mod timer;
mod timers;
