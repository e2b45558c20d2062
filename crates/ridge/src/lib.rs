//! The system's rooms: each decides one matter, without input, output, clock or thread. Methods take the time and
//! what was heard, and hand back what to do. `crates/hut` (core) and `crates/pass` (the road) call them.
#![forbid(unsafe_code)]

pub mod book;
pub mod buckets;
pub mod budget;
pub mod cold;
pub mod directory;
pub mod feed;
pub mod huts;
pub mod ladder;
pub mod purse;
pub mod register;
pub mod tries;
pub mod trust;
pub mod watch;
