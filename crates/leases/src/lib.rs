//! Ownership of singleton duties by lease, with fencing epochs.
//!
//! A small group of voters replicates a table of duties, owners and epochs with the `raft` library.
//! [`Voter`] is a member of this group. [`LeaseHolder`] is the client in each member, which claims duties
//! and renews their leases. Both are state machines without I/O, clocks or threads: the caller passes in
//! the time and received messages, and carries out the [`Action`]s that they return. `crates/cluster` runs
//! them on sockets, `crates/emulator` on a virtual clock.
//!
//! The epoch is a fencing token: it increases with each grant, and the receiver of an effect refuses epochs
//! lower than the highest one that it has seen. Safety depends on epochs only; leases avoid useless work of
//! former owners. docs/design/ownership.md lists the assumptions.
//!
//! | file | content |
//! | --- | --- |
//! | `message.rs`, `envelope.rs` | messages and the layout of datagrams |
//! | `identity.rs` | ids of voters and clusters, epochs |
//! | `table.rs` | the replicated table and its commands |
//! | `record.rs` | records of a voter on disk |
//! | `raft_log.rs` | in-memory log for `raft` |
//! | `raft_node.rs` | `raft` node with the applied table and a deterministic election time-out |
//! | `voter.rs` | phases and disk writes of a voter |
//! | `voter/joining.rs` | start-up: identity, bootstrap, and joining a cluster |
//! | `voter/ready.rs` | output of `raft`: records to persist, messages to send, entries to apply |
//! | `leader.rs` | volatile state of the leader: leases and pending requests |
//! | `leader/requests.rs` | claims, renewals and operators' commands |
//! | `leader/voter_change.rs` | replacement of a voter |
//! | `holder.rs` | lease holder of a member |
//! | `phase.rs`, `event.rs` | phases of a voter, actions and events |
#![forbid(unsafe_code)]

mod envelope;
mod event;
mod holder;
mod identity;
mod leader;
mod message;
mod phase;
mod raft_log;
mod raft_node;
mod record;
mod table;
mod times;
mod voter;

pub use envelope::{DecodeError, Envelope, FIRST_BYTE, MAX_DATAGRAM_BYTES};
pub use event::{Action, Event, HolderMessage};
pub use holder::{DutyView, HolderConfig, HolderState, LeaseHolder, QueryStatus};
pub use identity::{ClusterId, Epoch, VoterId, VoterInfo};
pub use message::{AdminCommand, MAX_NAME_BYTES, MAX_STATE_BYTES, Message, RecordStatus, Request, Response};
pub use phase::Phase;
pub use record::{PersistentState, Record, RecordError};
pub use table::{Lease, LeaseTable, Owner};
pub use times::{DisabledParts, Times};
pub use voter::{Voter, VoterConfig, VoterView};

#[cfg(test)]
mod tests;
