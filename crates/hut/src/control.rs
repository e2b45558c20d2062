//! Calls of workers and operators: one dispatch on method and path.

use std::sync::Arc;

use lynxstair_ridge::book::Change;
use lynxstair_trailbook::values;
use lynxstair_wire::calls::{Call, Reply};

use crate::hut::Hut;

impl Hut {
    pub fn control(self: &Arc<Self>, call: &Call) -> Reply {
        match (call.method, &call.segments[..]) {
            ("PUT", ["instances", id]) => self.beat(id, call.body),
            ("DELETE", ["instances", id]) => self.leave(id),
            ("GET", ["config"]) => self.read_book(),
            ("PUT", ["config"]) => self.change("/config", Change::Put(call.body.to_vec())),
            ("PATCH", ["config"]) => self.change("/config", Change::Patch(call.body.to_vec())),
            ("POST", ["evacuation", zone]) => {
                self.change(&format!("/evacuation/{zone}"), Change::Evacuate(zone.to_string()))
            }
            ("DELETE", ["evacuation", zone]) => {
                self.change(&format!("/evacuation/{zone}"), Change::Return(zone.to_string()))
            }
            ("GET", ["status"]) => self.status(),
            (_, ["instances", _] | ["config"] | ["evacuation", _] | ["status"]) => Reply::new(405),
            _ => Reply::new(404),
        }
    }

    fn status(&self) -> Reply {
        let now = self.alarms.now();
        let rooms = self.rooms();
        let leader = rooms.cairn.leader().map_or("null".to_string(), |l| format!("\"{l}\""));
        let workers = rooms.lives.ready();
        let edges = rooms.feed.ready(now).len();
        let sure = rooms.cairn.sure_at().map_or("null".to_string(), |at| format!("{:.3}", (now - at).secs()));
        Reply::json(
            200,
            format!(
                r#"{{"node":"{}","leader":{leader},"term":{},"number":{},"generation":"{:08x}","sure-s":{sure},"workers":{workers},"gatekeepers":{edges}}}"#,
                self.settings.node,
                rooms.cairn.term(),
                rooms.committed.book.number,
                rooms.committed.book.generation
            ),
        )
    }
}

pub fn error(status: u16, why: &str) -> Reply {
    let why = values::Value::String(why.to_string()).stringify().unwrap_or_default();
    Reply::json(status, format!(r#"{{"error":{why}}}"#))
}

pub fn unsettled() -> Reply {
    let mut reply = error(503, "no majority answers for the book");
    reply.headers.push_str("Retry-After: 0.2\r\n");
    reply
}
