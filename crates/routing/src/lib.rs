//! What a proxy decides with, as state machines without input, output, clock or thread. Methods take the time and what
//! happened, and return what the caller is to do. `lynxstair-proxy` drives them.
#![forbid(unsafe_code)]

pub mod attempt;
pub mod config_lease;
pub mod controller_contact;
pub mod execution;
pub mod locality_balancer;
pub mod proxy_counts;
pub mod retry_budget;
pub mod slow_start;
pub mod snapshot_requests;
pub mod token_buckets;
pub mod weighted_split;
