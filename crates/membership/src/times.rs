//! Intervals and timeouts, and the parts that trials disable.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use lynxstair::types::Span;
use serde::{Deserialize, Serialize};

use crate::packet::MAX_SWIM_BYTES;

/// How long `foca`'s timeout for a suspected member is where trials disable suspicion.
const NO_SUSPICION: Span = Span::from_millis(1);
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// How often news of a member is sent on.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(12).expect("not zero");
const MAX_PACKET_BYTES: NonZeroUsize = NonZeroUsize::new(MAX_SWIM_BYTES).expect("not zero");
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
const EXCHANGE_FANOUT: NonZeroUsize = NonZeroUsize::MIN;
const EXCHANGE_FAILED_FANOUT: NonZeroUsize = NonZeroUsize::new(2).expect("not zero");

/// Intervals and timeouts. With the defaults 99 of 100 deaths are found within 4 s among a thousand members
/// (docs/results.md has the measurement).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How often a member is probed.
    pub probe_interval: Span,
    /// After so long without a direct answer, others are asked to probe it.
    pub probe_timeout: Span,
    /// A suspected member has so long to refute the suspicion.
    pub suspicion_timeout: Span,
    /// How often news is sent to three members.
    pub gossip_interval: Span,
    /// A timer that fires so much too late shows that this process was paused.
    pub pause_threshold: Span,
    /// A member that hears nobody for so long takes itself for isolated.
    pub isolation_threshold: Span,
    /// Between two attempts to join.
    pub join_interval: Span,
    /// How often a random member is asked for all it knows, and failed members are tried.
    pub exchange_interval: Span,
    /// For how long a failed or departed member is remembered.
    pub forget_after: Span,
    /// Most members known.
    pub max_members: usize,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            probe_interval: Span::from_millis(350),
            probe_timeout: Span::from_millis(120),
            suspicion_timeout: Span::from_millis(1_200),
            gossip_interval: Span::from_millis(150),
            pause_threshold: Span::from_millis(150),
            isolation_threshold: Span::from_millis(1_000),
            join_interval: Span::from_millis(250),
            exchange_interval: Span::from_millis(1_000),
            forget_after: Span::from_millis(24 * 3_600_000),
            max_members: 4_096,
        }
    }
}

/// Safeguards that trials disable, to show that their checks find what follows. Never set in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct DisabledParts {
    /// A member that does not answer is declared failed at once.
    pub no_suspicion: bool,
    /// Pauses and isolation of the own process are not noticed.
    #[serde(rename = "no-lateness")]
    pub no_local_health: bool,
    /// Each start begins with incarnation 1 again.
    #[serde(rename = "no-incarnation")]
    pub no_stored_incarnation: bool,
    /// Nobody probes for another, and nothing is relayed.
    pub no_relays: bool,
}

fn to_duration(span: Span) -> Duration {
    Duration::from_nanos(span.nanos().max(1))
}

impl Times {
    pub(crate) fn foca_config(&self, disabled: DisabledParts) -> foca::Config {
        let periodic = |interval: Span, num_members: NonZeroUsize| {
            Some(foca::PeriodicParams { frequency: to_duration(interval), num_members })
        };
        let suspicion_timeout = if disabled.no_suspicion { NO_SUSPICION } else { self.suspicion_timeout };
        foca::Config {
            probe_period: to_duration(self.probe_interval),
            probe_rtt: to_duration(self.probe_timeout),
            num_indirect_probes: INDIRECT_PROBES,
            max_transmissions: MAX_TRANSMISSIONS,
            suspect_to_down_after: to_duration(suspicion_timeout),
            remove_down_after: Some(to_duration(self.forget_after)),
            max_packet_size: MAX_PACKET_BYTES,
            notify_down_members: true,
            periodic_announce: periodic(self.exchange_interval, EXCHANGE_FANOUT),
            periodic_announce_to_down_members: periodic(self.exchange_interval, EXCHANGE_FAILED_FANOUT),
            periodic_gossip: periodic(self.gossip_interval, GOSSIP_FANOUT),
        }
    }
}
