//! The directory: where clients may come in.

use lynxstair::types::Span;
use lynxstair_trailbook::words::Edge;
use lynxstair_wire::calls::{Call, Reply};

use crate::control::unsettled;
use crate::hut::Hut;

/// How long clients may go by an answer, in seconds; the operators' most where that is less.
const TTL_S: f64 = 3.0;
/// After its start a hut waits so long for gatekeepers before it answers for all of them.
const GATHERS: Span = Span::from_millis(700);

impl Hut {
    /// The board: the gatekeepers that clients may come to, those of their region first.
    pub fn look_up(&self, call: &Call) -> Reply {
        if (call.method, &call.segments[..]) != ("GET", &["resolve"]) {
            return Reply::new(404);
        }
        let now = self.alarms.now();
        if now - self.started_at < GATHERS {
            return unsettled();
        }
        let rooms = self.rooms();
        let ready = rooms.feed.ready(now);
        let region = call.asked("region").unwrap_or("");
        let mut near: Vec<&Edge> = ready.iter().copied().filter(|e| e.region == region).collect();
        if near.is_empty() {
            near = ready;
        }
        if near.is_empty() {
            return unsettled();
        }
        near.truncate(64);
        let addresses: Vec<String> = near.iter().map(|e| format!("\"{}\"", e.front)).collect();
        let ttl = TTL_S.min(self.settings.bounds.ttl_max.secs());
        Reply::json(200, format!(r#"{{"addresses":[{}],"ttl-s":{ttl}}}"#, addresses.join(",")))
    }
}
