//! The times of membership, and the switches of broken variants.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use lynxstair::types::Span;
use serde::{Deserialize, Serialize};

/// How long what takes. The defaults find 99 of 100 deaths within 4 s at a thousand members
/// (docs/results.md has the measurement).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// A member is asked whether it is there once in this time.
    pub probe: Span,
    /// It has so long to answer directly, before others are asked to ask it.
    pub answer: Span,
    /// One that is suspected has so long to object.
    pub suspicion: Span,
    /// What is new is told to three members each so often.
    pub gossip: Span,
    /// A timer that goes off so much late tells that this process stood still.
    pub late: Span,
    /// With nobody heard for so long, nothing is said of anybody.
    pub quiet: Span,
    /// Between two tries to be let in.
    pub join: Span,
    /// A member at random is asked for all it knows, and those that failed are tried, each so often.
    pub exchange: Span,
    /// How long one that is over is remembered.
    pub forget: Span,
    /// No more members than so many are known.
    pub most_members: usize,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            probe: Span::from_millis(350),
            answer: Span::from_millis(120),
            suspicion: Span::from_millis(1_200),
            gossip: Span::from_millis(150),
            late: Span::from_millis(150),
            quiet: Span::from_millis(1_000),
            join: Span::from_millis(250),
            exchange: Span::from_millis(1_000),
            forget: Span::from_millis(24 * 3_600_000),
            most_members: 4_096,
        }
    }
}

/// What is taken out of the room, so that trials can show that they would find it. Never set in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Broken {
    /// One that does not answer is declared failed at once.
    pub no_suspicion: bool,
    /// Standing still and hearing nobody are not noticed.
    pub no_lateness: bool,
    /// Each start begins with incarnation 1 again.
    pub no_incarnation: bool,
    /// Nobody asks for another, and nothing is passed on.
    pub no_relays: bool,
}

pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_nanos(span.nanos().max(1))
}

impl Times {
    pub(crate) fn config(&self, broken: Broken) -> foca::Config {
        let often = |every: Span, members: usize| foca::PeriodicParams {
            frequency: duration(every),
            num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
        };
        let suspicion = if broken.no_suspicion { Span::from_millis(1) } else { self.suspicion };
        foca::Config {
            probe_period: duration(self.probe),
            probe_rtt: duration(self.answer),
            num_indirect_probes: const { NonZeroUsize::new(3).unwrap() },
            max_transmissions: const { NonZeroU8::new(12).unwrap() },
            suspect_to_down_after: duration(suspicion),
            remove_down_after: Some(duration(self.forget)),
            max_packet_size: const { NonZeroUsize::new(crate::datagram::LARGEST_SWIM).unwrap() },
            notify_down_members: true,
            periodic_announce: Some(often(self.exchange, 1)),
            periodic_announce_to_down_members: Some(often(self.exchange, 2)),
            periodic_gossip: Some(often(self.gossip, 3)),
        }
    }
}
