//! Membership of a fleet: SWIM with suspicion by the `foca` library, extended by persistent
//! incarnations, local health (Lifeguard), relays and notices. Does no I/O, reads no clock and starts no
//! threads.
//!
//! [`Membership`] takes the current time and received datagrams, and returns [`Action`]s: datagrams to
//! send, records to write and events to log. The same code runs in a gatekeeper (`crates/cluster`) and
//! on a virtual clock (`crates/emulator`).
//!
//! The result is one member's view, not a consensus. No safety property may depend on it.
//!
//! | file | content |
//! | --- | --- |
//! | `identity.rs` | names, incarnations, and the order of identities with one name |
//! | `status.rs` | states of a member and their transitions |
//! | `local_health.rs` | detection of pauses and isolation of this process |
//! | `link_table.rs` | state of the direct links |
//! | `notices.rs` | gossip about departures, shut-out members and cut links |
//! | `wire.rs`, `packet.rs`, `swim_codec.rs` | datagrams |
//! | `event.rs`, `view.rs` | actions, events and records; the view for operators |
//! | `membership.rs` | the state machine: phases and operator commands |
//! | `membership/timers.rs` | timers |
//! | `membership/health_checks.rs` | effects of the local health |
//! | `membership/joining.rs` | joins of this member and of others |
//! | `membership/receiving.rs` | received datagrams |
//! | `membership/suspicion.rs` | notification of suspects, and refutation |
//! | `membership/relaying.rs` | sending, directly and through relays |
//! | `membership/link_reports.rs` | reports of cut links |
//! | `membership/members.rs` | state of the other members |
#![forbid(unsafe_code)]

mod event;
mod identity;
mod link_table;
mod local_health;
mod membership;
mod notices;
mod packet;
mod status;
mod swim_codec;
mod times;
mod view;
mod wire;

pub use event::{Action, ChangeReason, Counters, Event, KnownMember, Phase, Record};
pub use identity::{Identity, Incarnation, InvalidName, MAX_NAME_BYTES, Name};
pub use link_table::LinkState;
pub use local_health::DegradedReason;
pub use membership::{Membership, MembershipConfig};
pub use notices::{Notice, ShutOutReason};
pub use packet::{DropReason, FleetId, MAX_DATAGRAM_BYTES};
pub use status::{InvalidTransition, MemberStatus, State};
pub use times::{DisabledParts, Times};
pub use view::{LinkView, MemberView, View};
