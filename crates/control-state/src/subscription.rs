//! Flow control of configuration updates to one subscriber on one connection. At most one update is in
//! flight: the next is sent after the proxy has reported the revision that it holds, and covers all changes
//! in between.

use lynxstair::types::{Span, Time};

/// A proxy that is behind for this long receives the update from any controller, not only from the leader.
const FOLLOWER_DELAY: Span = Span::from_millis(800);
/// Time-out of an update in flight, in addition to its transfer time. Covers connections that fail
/// undetected.
const IN_FLIGHT_TIMEOUT: Span = Span::from_millis(2_500);
/// Transfer time of one byte on the slowest supported link (2 Mbit/s).
const MAX_TRANSFER_TIME_PER_BYTE: Span = Span::from_nanos(4_000);

/// An update that was sent and is not acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlight {
    /// Revision that the proxy held when the update was sent.
    from: u64,
    sent_at: Time,
    bytes: usize,
}

/// State of one subscription.
#[derive(Debug, Default)]
pub struct Subscription {
    /// Revision that the proxy last reported, and the time from which its lag is counted.
    held: Option<(u64, Time)>,
    in_flight: Option<InFlight>,
}

impl Subscription {
    /// Records a heartbeat of the proxy with the revision that it holds.
    pub fn on_heartbeat(&mut self, now: Time, revision: u64) {
        if self.held.is_none_or(|(before, _)| before != revision) {
            self.held = Some((revision, now));
        }
        // A changed revision means that the update was applied or can no longer be applied.
        let is_done = |f: &InFlight| {
            revision != f.from
                || now - f.sent_at > IN_FLIGHT_TIMEOUT + MAX_TRANSFER_TIME_PER_BYTE.times(f.bytes as f64)
        };
        if self.in_flight.as_ref().is_some_and(is_done) {
            self.in_flight = None;
        }
    }

    /// Returns the base revision of the update to `revision` if one is to be sent now. `bytes` is the length
    /// of the whole configuration. The leader sends at once; other controllers wait for the leader's update
    /// to arrive first.
    pub fn due_update(&mut self, now: Time, revision: u64, is_leader: bool, bytes: usize) -> Option<u64> {
        let (held, since) = self.held.as_mut()?;
        if *held >= revision {
            *since = now;
            return None;
        }
        let has_waited = now - *since >= FOLLOWER_DELAY + MAX_TRANSFER_TIME_PER_BYTE.times(bytes as f64);
        (self.in_flight.is_none() && (is_leader || has_waited)).then_some(*held)
    }

    /// Records that an update of `bytes` bytes was sent.
    pub fn on_update_sent(&mut self, now: Time, bytes: usize) {
        let from = self.held.map_or(0, |(held, _)| held);
        self.in_flight = Some(InFlight { from, sent_at: now, bytes });
    }
}
