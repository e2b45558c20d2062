//! The proxy, the data plane of the system, which runs on every edge machine. It is a library so that tests
//! can use its parts.
//!
//! `client_reader` reads a request. `request_handler` has it admitted by [`routing_state`] and forwarded by
//! `forwarding` on a connection of the [`worker_pool`]. [`worker_reply`] relays the reply, and [`pipeline`]
//! keeps the responses in order. `control_client` receives configuration and instances from the controllers.
//! A module depends only on modules of its own or a lower layer:
//!
//! | layer | modules | depends on |
//! | --- | --- | --- |
//! | start and shutdown | [`startup`] | all layers below |
//! | entry points | `client_reader`, `request_handler`, `control_client` | shared state |
//! | shared | [`proxy`] | all components |
//! | components | [`routing_state`], [`admitted_request`], `control_connections`, `client_registry`, `client_connection`, `client_limits`, `request_memory`, `send_progress`, [`pipeline`], [`local_response`], [`phase`] | decision packages, connections |
//! | workers | `forwarding`, [`worker_pool`], [`worker_reply`], [`outgoing_request`], [`cancellation`] | connections |
//!
//! The decision logic is in `lynxstair-routing` and `lynxstair-control-state`; this package does the I/O.
#![deny(unsafe_code)]

pub mod admitted_request;
pub mod cancellation;
mod client_connection;
mod client_limits;
mod client_reader;
mod client_registry;
mod control_client;
mod control_connections;
pub mod forwarding;
pub mod local_response;
pub mod outgoing_request;
pub mod phase;
pub mod pipeline;
pub mod proxy;
mod request_handler;
mod request_memory;
pub mod routing_state;
mod send_progress;
pub mod startup;
pub mod worker_pool;
pub mod worker_reply;
