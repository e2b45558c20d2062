//! Intervals, time-outs and limits of the protocol, and the safeguards that tests can disable.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use lynxstair::types::Span;
use serde::{Deserialize, Serialize};

use crate::packet::MAX_SWIM_BYTES;

/// Suspicion time-out of `foca` if suspicion is disabled.
const DISABLED_SUSPICION_TIMEOUT: Span = Span::from_millis(1);
/// Members asked to probe a member that did not answer directly.
const INDIRECT_PROBES: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
/// Number of times that an update about a member is gossiped.
const MAX_TRANSMISSIONS: NonZeroU8 = NonZeroU8::new(12).expect("not zero");
const MAX_PACKET_BYTES: NonZeroUsize = NonZeroUsize::new(MAX_SWIM_BYTES).expect("not zero");
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).expect("not zero");
const EXCHANGE_FANOUT: NonZeroUsize = NonZeroUsize::MIN;
const EXCHANGE_FAILED_FANOUT: NonZeroUsize = NonZeroUsize::new(2).expect("not zero");

/// Intervals, time-outs and limits of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Interval between two probes.
    pub probe_interval: Span,
    /// Time without a direct answer after which other members are asked to probe the target.
    pub probe_timeout: Span,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Span,
    /// Interval at which updates are gossiped to three members.
    pub gossip_interval: Span,
    /// Delay of a timer above which the process counts as paused.
    pub pause_threshold: Span,
    /// Time without a received message after which this member counts as isolated.
    pub isolation_threshold: Span,
    /// Interval between two joins.
    pub join_interval: Span,
    /// Interval at which `foca` announces this member to one random member, which replies with members
    /// that it knows, and to two failed members. Also the interval of joins to members that aren't
    /// present, and of link reports.
    pub exchange_interval: Span,
    /// Time after which `foca` removes a failed or departed member.
    pub forget_after: Span,
    /// Limit of known members.
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

/// Safeguards that tests disable to show that their checks detect the resulting faults. Never set in
/// production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct DisabledParts {
    /// A member that does not answer is declared failed at once.
    pub no_suspicion: bool,
    /// Pauses and isolation of this process are not detected.
    #[serde(rename = "no-lateness")]
    pub no_local_health: bool,
    /// Each start ignores the stored incarnation and begins with incarnation 1.
    #[serde(rename = "no-incarnation")]
    pub no_stored_incarnation: bool,
    /// No indirect probes are sent, and no messages are relayed.
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
        let suspicion_timeout =
            if disabled.no_suspicion { DISABLED_SUSPICION_TIMEOUT } else { self.suspicion_timeout };
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
