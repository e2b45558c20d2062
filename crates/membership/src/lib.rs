//! Membership of a fleet as seen from one member: SWIM with suspicion by the `foca` library, and what SWIM alone
//! lacks. No I/O, clock or thread.
//!
//! [`Membership`] is told the time and the datagrams that were received, and hands out [`Action`]s: what to send,
//! to write and to log. The same code so runs in a gatekeeper (`crates/cluster`) and on a virtual clock with
//! thousands of members (`crates/emulator`).
//!
//! Its answers are one member's view, never agreed upon. Nothing may be safe only because they are right.
//!
//! | file | content |
//! | --- | --- |
//! | `identity.rs` | names, incarnations, and which of two identities with one name wins |
//! | `status.rs` | the states of a member, and which may follow which |
//! | `local_health.rs` | whether this process was paused or is isolated: then it declares nobody failed |
//! | `link_table.rs` | which members answer directly, and which only through others |
//! | `notices.rs` | what spreads besides: who left, who is shut out, which links are cut |
//! | `wire.rs`, `packet.rs`, `swim_codec.rs` | datagrams |
//! | `event.rs`, `view.rs` | actions, events and records; what operators are shown |
//! | `membership.rs` | the state machine: its phases, and what operators ask of it |
//! | `membership/timers.rs` | what is due when |
//! | `membership/health_checks.rs` | what the local health changes |
//! | `membership/joining.rs` | joining, and answering members that want to join |
//! | `membership/receiving.rs` | received datagrams |
//! | `membership/suspicion.rs` | telling suspected members, and hearing that one is suspected itself |
//! | `membership/relaying.rs` | sending, directly and through others |
//! | `membership/link_reports.rs` | telling others which links are cut |
//! | `membership/members.rs` | what is known of other members |
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
