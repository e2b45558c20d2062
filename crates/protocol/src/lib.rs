//! What the system's processes exchange: messages, the frames that carry them, and digests of what is stored or sent.
//! Encoding only: no socket, no clock, no thread, and no decision.
//!
//! The CBOR form of every type here lies on disks or goes between processes of different builds. A field or variant whose
//! Rust name changes keeps its stored name by `#[serde(rename = "…")]`; `tests/golden.rs` holds that.
#![forbid(unsafe_code)]

pub mod consensus;
pub mod digest;
pub mod frames;
pub mod messages;
