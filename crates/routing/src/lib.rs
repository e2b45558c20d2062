//! Routing decisions of a proxy: load balancing, slow start, quotas, retries and attempts.
//!
//! The types are state machines without I/O, clock or threads. Methods take the current time and an event,
//! and return what the caller has to do. `lynxstair-proxy` drives them.
#![forbid(unsafe_code)]

pub mod attempt;
pub mod config_lease;
pub mod controller_contact;
pub mod execution;
pub mod locality_balancer;
pub mod operation_table;
pub mod proxy_counts;
pub mod retry_budget;
pub mod slow_start;
pub mod snapshot_requests;
pub mod standing_buckets;
pub mod token_account;
pub mod token_buckets;
pub mod weighted_split;
