//! The proxy: the data plane of the system, on every edge machine, as a library, so that its parts can be tested.
//!
//! A request passes `client_reader` (read), `request_handler` (admitted by [`routing_state`], forwarded by `forwarding` over
//! the [`worker_pool`], relayed by [`worker_reply`]) and leaves in the order of [`pipeline`]. `control_client` takes over
//! what controllers say. Modules name each other downward only:
//!
//! | layer | modules | what they know |
//! | --- | --- | --- |
//! | start and end | [`startup`] | ties everything below together |
//! | entry points | `client_reader`, `request_handler`, `control_client` | the proxy |
//! | shared | [`proxy`] | all parts |
//! | parts | [`routing_state`], `control_connections`, `client_registry`, `client_connection`, `client_limits`, [`pipeline`], [`local_response`], [`phase`] | their own state |
//! | workers | `forwarding`, [`worker_pool`], [`worker_reply`], [`outgoing_request`], [`cancellation`] | connections |
//!
//! Decisions are made in `lynxstair-routing` and `lynxstair-control-state`; this package does the I/O.
#![deny(unsafe_code)]

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
pub mod routing_state;
pub mod startup;
pub mod worker_pool;
pub mod worker_reply;
