//! What controllers and proxies know of the system, as state machines without input, output, clock or thread.
//!
//! Contract: methods take the time and what was received, and return what the caller is to do; nothing here waits or
//! reads a clock. `lynxstair-controller` and `lynxstair-proxy` run them on sockets, the emulator on a virtual clock.
//!
//! | module | what it holds | held by |
//! | --- | --- | --- |
//! | [`command`], [`config_store`] | the operator's commands; the replicated configuration | controllers |
//! | [`delta_log`], [`subscription`] | what subscribers are sent of it | controllers |
//! | [`config_replica`] | what a subscriber holds of it | proxies |
//! | [`instance_registry`], [`failure_detector`] | worker instances; who is unresponsive | both; controllers |
//! | [`quota_allocator`], [`quota_limits`] | shares of quotas | the leader |
//! | [`directory`] | proxies that clients may connect to | controllers |
//! | [`proxy_membership`], [`membership_planner`] | over which proxies whole permits are split; when that changes | both; the leader |
//! | [`peer_set`] | controllers to connect to | both |
#![forbid(unsafe_code)]

mod applied_commands;
pub mod command;
pub mod config_replica;
pub mod config_store;
mod config_update;
pub mod delta_log;
pub mod directory;
pub mod failure_detector;
pub mod instance_registry;
pub mod membership_planner;
pub mod peer_set;
pub mod proxy_membership;
pub mod quota_allocator;
pub mod quota_limits;
pub mod subscription;
mod usage_window;
