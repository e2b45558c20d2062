//! The controller: the control plane of the system, on the core machines, as a library, so that its parts can be tested.
//!
//! Modules name each other downward only:
//!
//! | layer | modules | what they know |
//! | --- | --- | --- |
//! | start and end | [`startup`] | ties everything below together |
//! | entry points | `http_api`, `operator_api`, `instance_api`, `status_api`, `directory_api`, `inbound`, `timers`, `settings_watch` | the controller |
//! | actions | `consensus_driver`, `peer_links` | the controller |
//! | shared | `controller`, `state` | all parts, one lock |
//! | parts | `committed_config`, `pending_requests`, `instances`, `subscribers`, `peer_connections`, `consensus_status`, `timer` | their own state |
//! | ports | [`storage`], `disk_writer`, `blocking_pool`, `command_parser` | nothing of the controller |
//!
//! Decisions are made in `lynxstair-consensus` and `lynxstair-control-state`; this package does the I/O.
#![deny(unsafe_code)]

mod blocking_pool;
mod command_parser;
mod committed_config;
mod consensus_driver;
mod consensus_status;
mod controller;
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
mod replies;
mod settings_watch;
pub mod startup;
mod state;
mod status_api;
pub mod storage;
mod subscribers;
mod timer;
mod timers;
