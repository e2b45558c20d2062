//! Who is there, as seen from here: SWIM with suspicion by `foca`, and round it what SWIM alone lacks.
//!
//! [`Room`] is told the time and the datagrams that came, and hands back what to send, what to write down and
//! when to wake it. It opens nothing, asks no clock and starts no thread, so the same code runs in a
//! gatekeeper, on a virtual clock with thousands of members and under a checker. Called by `crates/cluster` on
//! sockets and by `crates/emulator`; it names neither.
//!
//! What it answers is "as seen from here", never "agreed". Nothing may be safe only because it is right.
//!
//! | file | matter |
//! | --- | --- |
//! | `ident.rs` | names, incarnations, who wins where two bear one name |
//! | `states.rs` | the states of a member, what may follow what, one function for every change |
//! | `health.rs` | own lateness: standing still, hearing nobody; who doubts itself accuses nobody |
//! | `links.rs` | who hears whom directly, and whom to ask to pass a datagram on |
//! | `notices.rs` | what goes round besides: who left, who is shut out, what links are cut |
//! | `datagram.rs` | the envelope: version, fleet, checksum; nothing that is not understood is answered |
//! | `room.rs` | the room itself |
#![forbid(unsafe_code)]

mod datagram;
mod health;
mod ident;
mod links;
mod notices;
mod room;
mod states;
mod times;
mod view;

pub use datagram::{Dropped, FleetId, LARGEST};
pub use health::Doubt;
pub use ident::{BadName, Ident, Incarnation, Name};
pub use links::LinkState;
pub use notices::{Notice, Reason};
pub use room::{Counters, Do, Event, Known, Phase, Record, Room, Start, Why};
pub use states::{Life, MayNot, State};
pub use times::{Broken, Times};
pub use view::{LinkSeen, MemberSeen, View};
