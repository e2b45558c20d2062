//! What controllers and proxies know of the system, as state machines without input, output, clock or thread. Methods take
//! the time and what was received, and return what the caller is to do. `lynxstair-controller` and `lynxstair-proxy` drive
//! them; the emulator drives them on a virtual clock.
#![forbid(unsafe_code)]

pub mod config_feed;
pub mod config_store;
pub mod directory;
pub mod failure_detector;
pub mod instance_registry;
pub mod peer_set;
pub mod quota_allocator;
pub mod quota_limits;
