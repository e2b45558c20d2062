//! Intervals and time-outs, and the safeguards that trials disable.

use lynxstair::types::Span;
use serde::{Deserialize, Serialize};

/// Intervals and time-outs of voters and lease holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Duration of one tick of the Raft clock.
    pub tick: Span,
    /// Interval between heartbeats of the leader, in ticks.
    pub heartbeat_ticks: usize,
    /// Minimum election time-out, in ticks. The actual time-out is random, less than twice as long, plus an
    /// extension for a slow disk.
    pub election_ticks: usize,
    /// Duration of a lease. A renewal starts it anew.
    pub lease: Span,
    /// Interval between renewals by an owner.
    pub renew_interval: Span,
    /// Mean interval between claims by a member that does not own the duty.
    pub claim_interval: Span,
    /// Time without a response after which a request is sent to another voter.
    pub request_timeout: Span,
    /// Number of log entries above which the log is compacted into a snapshot.
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

/// Safeguards that trials disable to show that the checks detect the resulting faults. Never set in
/// production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct DisabledParts {
    /// A voter that lost its records keeps its identity.
    pub votes_forgotten: bool,
    /// Messages are sent before the state on which they depend is on disk.
    pub no_waiting_for_disk: bool,
    /// A grant does not increase the epoch.
    pub no_epochs: bool,
    /// An owner continues after its lease has expired.
    pub no_leases: bool,
    /// Receivers accept effects of an earlier epoch.
    pub no_refusal: bool,
}
