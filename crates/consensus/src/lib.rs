//! Consensus on one replicated state, without I/O, clock or thread.
//!
//! Contract: the caller tells the state machine the time and what arrived, and performs the [`Action`]s that
//! [`Consensus::take_actions`] returns, in order. A state is committed once it is synced on the disks of a majority of the
//! voters. What the state means is not known here. `lynxstair-controller` runs this on sockets and disks, the emulator on
//! a virtual clock, `tests/model.rs` under a model checker.
//!
//! The protocol is Raft (Ongaro, Ousterhout: In Search of an Understandable Consensus Algorithm, 2014), with one
//! difference: each state replaces the one before it, so there is no log of entries to replay. The newest stored state,
//! by the term it was written in and then its index, is what a new leader continues from, and is at the same time the
//! snapshot that a lagging member receives.
//!
//! - `consensus`: the state machine and its entry points.
//! - `role`, `progress`: what a node is, and what a leader knows of the others.
//! - `election`: terms, pre-votes, votes, leadership transfer.
//! - `replication`: heartbeat rounds, what is stored where, what is committed.
//! - `read_index`: linearizable reads, and contact with a quorum.
//! - `membership`: learners, voters, who is removed and when.
//!
//! `docs/design/consensus.md` says why this is safe and what it assumes.
#![forbid(unsafe_code)]

mod action;
mod consensus;
mod election;
#[cfg(feature = "deliberate-faults")]
mod fault;
mod membership;
mod progress;
mod read_index;
mod replication;
mod role;

use std::net::SocketAddr;

pub use action::{Action, PersistentState, RequestOutcome};
pub use consensus::{Consensus, ConsensusConfig};
#[cfg(feature = "deliberate-faults")]
pub use fault::Fault;
pub use membership::MAX_LEARNERS;
pub use read_index::QUORUM_CONTACT_TIMEOUT;

/// A node is named by its control address.
pub type NodeAddress = SocketAddr;
