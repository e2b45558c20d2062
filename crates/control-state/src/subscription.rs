//! What a controller knows of one subscriber's configuration, on one connection. One update at most is in flight: the next
//! goes when the proxy has said what it holds, and brings all that came in between.

use lynxstair::types::{Span, Time};

/// A proxy that is behind for this long gets the update from any controller, not from the leader alone.
const FOLLOWER_DELAY: Span = Span::from_millis(800);
/// An update either arrives or its connection ends; the time-out covers what neither side notices.
const IN_FLIGHT_TIMEOUT: Span = Span::from_millis(2_500);
/// The time per byte on the slowest supported link (2 Mbit/s).
const SLOWEST_BYTE: Span = Span::from_nanos(4_000);

/// An update that is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlight {
    /// The revision that the proxy held when it was sent.
    from: u64,
    sent_at: Time,
    bytes: usize,
}

/// The state of one subscription.
#[derive(Debug, Default)]
pub struct Subscription {
    /// The revision that the proxy said it holds, and since when it says so.
    held: Option<(u64, Time)>,
    in_flight: Option<InFlight>,
}

impl Subscription {
    /// The proxy says which revision it holds.
    pub fn on_heartbeat(&mut self, now: Time, revision: u64) {
        if self.held.is_none_or(|(before, _)| before != revision) {
            self.held = Some((revision, now));
        }
        // Another revision than the update was sent for: it arrived, or does not fit any more.
        let is_done = |f: &InFlight| {
            revision != f.from || now - f.sent_at > IN_FLIGHT_TIMEOUT + SLOWEST_BYTE.times(f.bytes as f64)
        };
        if self.in_flight.as_ref().is_some_and(is_done) {
            self.in_flight = None;
        }
    }

    /// Whether an update to `revision` is to be sent now; then the revision that it may build on. `bytes` is the length
    /// of the whole configuration. The leader sends at once; other controllers wait whether it comes from there.
    pub fn due_update(&mut self, now: Time, revision: u64, is_leader: bool, bytes: usize) -> Option<u64> {
        let (held, since) = self.held.as_mut()?;
        if *held >= revision {
            *since = now;
            return None;
        }
        let has_waited = now - *since >= FOLLOWER_DELAY + SLOWEST_BYTE.times(bytes as f64);
        (self.in_flight.is_none() && (is_leader || has_waited)).then_some(*held)
    }

    /// An update of this many bytes is sent.
    pub fn on_update_sent(&mut self, now: Time, bytes: usize) {
        let from = self.held.map_or(0, |(held, _)| held);
        self.in_flight = Some(InFlight { from, sent_at: now, bytes });
    }
}
