//! Raft consensus on a single replicated state, as a state machine without I/O, clocks or threads.
//!
//! The caller passes in the current time and each event, and performs the [`Action`]s returned by
//! [`Consensus::take_actions`] in order. A state is committed once it is synced on the disks of a majority
//! of the voters. The configuration in the state is opaque to this crate. `lynxstair-controller` runs the
//! state machine on sockets and disks, the emulator on a virtual clock, and `tests/model.rs` under a model
//! checker.
//!
//! The protocol is Raft (Ongaro, Ousterhout: In Search of an Understandable Consensus Algorithm, 2014) with
//! one difference: each state replaces its predecessor, so there is no log of entries to replay. A new
//! leader continues from its newest stored state, ordered by term and then index. The same state is the
//! snapshot for a lagging member.
//!
//! - `consensus`: the state machine and its entry points.
//! - `role`, `progress`: the role of a node, and a leader's view of its peers.
//! - `election`: terms, pre-votes, votes, leadership transfer.
//! - `replication`: heartbeat rounds, acknowledgements, the commit position.
//! - `read_index`: linearizable reads and quorum contact.
//! - `membership`: learners, voters, voter replacement, graceful shutdown.
//!
//! `docs/design/consensus.md` describes the safety argument and its assumptions.
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

/// Control address of a node, which identifies it in the protocol.
pub type NodeAddress = SocketAddr;
