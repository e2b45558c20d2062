//! One owner at a time of each singleton duty: election, leases and fencing epochs. No I/O, clock or thread.
//!
//! A few voters replicate a small table by Raft (the `raft` library): duty, owner, epoch. [`Voter`] is one of
//! them; [`LeaseHolder`] is the side of a member that claims duties and asks the voters. Both are told the time
//! and what was received, and hand out [`Action`]s: what to send, to write and to log. `crates/cluster` runs them
//! on sockets, `crates/emulator` on a virtual clock.
//!
//! Safety comes from epochs: each owner has a higher one than all before it, and whoever takes an effect refuses
//! a lower one than it saw (a fencing token). Leases only spare wasted work: nothing is safe because of them
//! alone. docs/design/ownership.md names each assumption.
//!
//! | file | content |
//! | --- | --- |
//! | `message.rs`, `envelope.rs` | what is sent, and the datagram's layout |
//! | `identity.rs` | ids of voters and clusters, epochs |
//! | `table.rs` | the replicated table, and the one function that changes it |
//! | `record.rs` | what a voter has on disk |
//! | `raft_log.rs` | the log as `raft` reads it |
//! | `raft_node.rs` | `raft` with the applied table and a repeatable election timeout |
//! | `voter.rs` | a voter's phases and disk |
//! | `voter/joining.rs` | identity, bootstrap, and joining voters that have a table |
//! | `voter/ready.rs` | what `raft` hands out: to persist, to send, to apply |
//! | `leader.rs` | what a leader keeps in memory: leases and pending requests |
//! | `leader/requests.rs` | claims, renewals and operators' commands |
//! | `leader/voter_change.rs` | replacing a voter |
//! | `holder.rs` | a member that claims duties |
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
