//! One owner at a time of each duty that is done on behalf of the fleet.
//!
//! A few voters keep a small record together (by `raft`): duty, owner, epoch. [`Voter`] is one of them,
//! [`Holder`] is the side of a member that stands for duties and asks. Both are told the time and what was
//! heard, and hand back what to send, what to write and when to wake them; they open nothing, ask no clock and
//! start no thread. Called by `crates/cluster` on sockets and by `crates/emulator`; they name neither.
//!
//! Safe by epochs: each owner has a higher one than all before, and whoever takes an effect refuses a lower one
//! than it saw. Live by leases: they spare wasted work, and nothing is safe only because of them.
//! docs/design/ownership.md names each assumption.
//!
//! | file | matter |
//! | --- | --- |
//! | `words.rs` | the envelope and what is said; nothing that is not understood is answered |
//! | `book.rs` | the record, and the one function that changes it |
//! | `log.rs` | what a voter has on disk, and the log as `raft` reads it |
//! | `voter.rs` | a voter's phases, identity and disk; `raft` inside |
//! | `office.rs` | what a voter does while it leads: grants, leases, operators, who replaces whom |
//! | `holder.rs` | a member that stands for duties |
#![forbid(unsafe_code)]

mod book;
mod holder;
mod log;
mod office;
mod times;
mod voter;
mod words;

pub use book::{Book, Held, Owner};
pub use holder::{Came, DutySeen, Hold, Holder, HolderStart};
pub use log::{Image, Record};
pub use times::{Broken, Times};
pub use voter::{Do, Event, ForHolder, Phase, Start, Voter, VoterView};
pub use words::{
    Answer, Ask, Dropped, Envelope, Epoch, FIRST, Founding, LARGEST, LONGEST_NAME, LONGEST_STATE, Message,
    VoterAt, VoterId, Wants,
};
