//! The directory: where clients may come in. Each hut tells the others which gatekeepers follow it.

use lynxstair::types::{Span, Time};
use lynxstair_control_state::directory::Directory;
use lynxstair_net::calls::{Call, Reply};
use lynxstair_protocol::messages::Up;

use crate::control::unsettled;
use crate::hut::{Hut, Rooms};
use crate::peers::Peers;

/// How long clients may go by an answer, in seconds; the operators' most where that is less.
const TTL_S: f64 = 3.0;
/// After its start a hut waits so long for gatekeepers before it answers for all of them, unless another hut did.
const GATHERS: Span = Span::from_millis(700);

impl Hut {
    fn has_gathered(&self, now: Time) -> bool {
        now - self.started_at >= GATHERS
    }

    /// All that follow this hut, as another is told that a line was opened to.
    pub fn sightings(&self, now: Time, rooms: &Rooms) -> Up {
        let sightings = rooms.directory.all(now);
        Up::Sightings { sightings, whole: true, has_gathered: self.has_gathered(now) }
    }

    /// What changed since is told to the other huts.
    pub fn tell_sightings(&self, now: Time, directory: &mut Directory, peers: &Peers) {
        let sightings = directory.news(now);
        if !sightings.is_empty() {
            peers.tell(&Up::Sightings { sightings, whole: false, has_gathered: self.has_gathered(now) });
        }
    }

    pub fn look_up(&self, call: &Call) -> Reply {
        if (call.method, &call.segments[..]) != ("GET", &["resolve"]) {
            return Reply::new(404);
        }
        let now = self.alarms.now();
        let mut rooms = self.rooms();
        if !self.has_gathered(now) && !rooms.directory.knows_all(now) {
            return unsettled();
        }
        let in_touch = rooms.cairn.is_in_touch(now);
        let addresses = rooms.directory.answer(now, call.asked("region").unwrap_or(""), in_touch);
        if addresses.is_empty() {
            return unsettled();
        }
        let addresses: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
        let ttl = TTL_S.min(self.settings.bounds.ttl_max.secs());
        Reply::json(200, format!(r#"{{"addresses":[{}],"ttl-s":{ttl}}}"#, addresses.join(",")))
    }
}
