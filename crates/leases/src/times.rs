//! Intervals and timeouts, and the parts that trials disable.

use lynxstair::types::Span;
use serde::{Deserialize, Serialize};

/// Intervals and timeouts. With the defaults a duty has an owner again within 2 s of a kill, 99 times of 100
/// (docs/results.md has the measurement).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// One tick of the voters' Raft clock.
    pub tick: Span,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat_ticks: usize,
    /// A voter that hears no leader for so many ticks, and up to twice as many, starts an election.
    pub election_ticks: usize,
    /// An owner that is not confirmed for so long begins no further effect.
    pub lease: Span,
    /// How often an owner asks to be confirmed.
    pub renew_interval: Span,
    /// How often a member that does not own a duty claims it.
    pub claim_interval: Span,
    /// After so long without a response a request goes to another voter.
    pub request_timeout: Span,
    /// A log of more entries is compacted into a snapshot.
    pub max_log_entries: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            tick: Span::from_millis(50),
            heartbeat_ticks: 2,
            election_ticks: 7,
            lease: Span::from_millis(800),
            renew_interval: Span::from_millis(200),
            claim_interval: Span::from_millis(250),
            request_timeout: Span::from_millis(150),
            max_log_entries: 256,
        }
    }
}

/// Safeguards that trials disable, to show that their checks find what follows. Never set in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct DisabledParts {
    /// A voter whose data directory was emptied votes on under its old identity.
    pub votes_forgotten: bool,
    /// Messages are sent before what they promise is on disk.
    pub no_waiting_for_disk: bool,
    /// The next owner gets the epoch of the last one.
    pub no_epochs: bool,
    /// An owner goes on after its lease.
    pub no_leases: bool,
    /// Effects of an earlier epoch are accepted where they land.
    pub no_refusal: bool,
}
