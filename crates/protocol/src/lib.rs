//! Messages between the system's processes, their frames, and digests of stored or sent data.
//!
//! Only types and their encoding: no sockets, clocks or threads.
//!
//! The CBOR encoding of these types is stored on disks and exchanged between processes of different builds.
//! A renamed field or variant keeps its stored name with `#[serde(rename = "…")]`; `tests/golden.rs` checks
//! the stored names.
#![forbid(unsafe_code)]

pub mod consensus;
pub mod digest;
pub mod frames;
pub mod messages;
