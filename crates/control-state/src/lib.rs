//! State machines of controllers and proxies, without I/O, clocks or threads.
//!
//! Methods take the current time and the received data, and return what the caller is to do; they never
//! block. `lynxstair-controller` and `lynxstair-proxy` run them on sockets, the emulator on a virtual clock.
//!
//! | module | content | used by |
//! | --- | --- | --- |
//! | [`command`], [`config_store`] | operator commands; the replicated state | controllers |
//! | [`delta_log`], [`subscription`] | updates of the configuration for proxies | controllers |
//! | [`config_replica`] | the received configuration | proxies |
//! | [`instance_registry`] | worker instances | both |
//! | [`failure_detector`] | detection of unresponsive instances | controllers |
//! | [`departure_log`] | which controllers store that an instance has departed | controllers |
//! | [`quota_limits`] | limits of tenant quotas | both |
//! | [`quota_allocator`], [`token_ledger`] | quota tokens that proxies get and hold | the leader |
//! | [`directory`] | proxies that clients may connect to | controllers |
//! | [`proxy_membership`] | proxies that share permits | both |
//! | [`membership_planner`] | changes of the proxy membership | the leader |
//! | [`peer_set`] | controllers to connect to | both |
#![forbid(unsafe_code)]

mod applied_commands;
pub mod command;
pub mod config_replica;
pub mod config_store;
mod config_update;
pub mod delta_log;
pub mod departure_log;
pub mod directory;
pub mod failure_detector;
pub mod instance_registry;
pub mod membership_planner;
pub mod peer_set;
pub mod proxy_membership;
pub mod quota_allocator;
pub mod quota_limits;
mod sliding_count;
pub mod subscription;
pub mod token_ledger;
