//! The times of ownership, and the switches of broken variants.

use lynxstair::types::Span;
use serde::{Deserialize, Serialize};

/// How long what takes. With the defaults a duty has an owner again within 2 s of a kill, 99 times of 100
/// (docs/results.md has the measurement).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// One tick of the voters' clock; all of theirs below is counted in it.
    pub tick: Span,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat: usize,
    /// A voter that hears no leader for so many ticks, and up to twice as many, stands for election.
    pub election: usize,
    /// An owner that is not confirmed for so long begins no effect more.
    pub lease: Span,
    /// An owner asks to be confirmed each so often.
    pub renew: Span,
    /// One that stands for a duty asks for it each so often.
    pub stand: Span,
    /// A question to a voter is asked of another after so long.
    pub answer: Span,
    /// Entries of the log above this number are put together into a snapshot.
    pub log_entries: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            tick: Span::from_millis(50),
            heartbeat: 2,
            election: 7,
            lease: Span::from_millis(800),
            renew: Span::from_millis(200),
            stand: Span::from_millis(250),
            answer: Span::from_millis(150),
            log_entries: 256,
        }
    }
}

/// What is taken out, so that trials and checks can show that they would find it. Never set in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Broken {
    /// A voter whose data folder was emptied votes on under its old identity.
    pub votes_forgotten: bool,
    /// What is said is said before it is on disk.
    pub no_waiting_for_disk: bool,
    /// The epoch of the next owner is that of the last one.
    pub no_epochs: bool,
    /// An owner goes on after its lease.
    pub no_leases: bool,
    /// Effects of an earlier epoch are taken where they land.
    pub no_refusal: bool,
}
