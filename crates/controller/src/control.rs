//! Calls of workers and operators: one dispatch on method and path.

use std::sync::Arc;

use lynxstair_config::json::{self, Value};
use lynxstair_control_state::config_store::Change;
use lynxstair_net::calls::{Call, Reply};
use lynxstair_protocol::consensus::Member;

use crate::hut::Hut;

impl Hut {
    pub fn control(self: &Arc<Self>, call: &Call) -> Reply {
        match (call.method, &call.segments[..]) {
            ("PUT", ["instances", id]) => self.beat(id, call.body),
            ("DELETE", ["instances", id]) => self.leave(id),
            ("GET", ["config"]) => self.read_book(),
            ("PUT", ["config"]) => self.change(call, "/config", Change::Put(call.body.to_vec())),
            ("PATCH", ["config"]) => self.change(call, "/config", Change::Patch(call.body.to_vec())),
            ("POST", ["evacuation", zone]) => {
                self.change(call, &format!("/evacuation/{zone}"), Change::Evacuate(zone.to_string()))
            }
            ("DELETE", ["evacuation", zone]) => {
                self.change(call, &format!("/evacuation/{zone}"), Change::Return(zone.to_string()))
            }
            ("GET", ["status"]) => self.status(),
            (_, ["instances", _] | ["config"] | ["evacuation", _] | ["status"]) => Reply::new(405),
            _ => Reply::new(404),
        }
    }

    fn status(&self) -> Reply {
        let now = self.alarms.now();
        let rooms = self.rooms();
        let cairn = &rooms.cairn;
        let text = |text: String| Value::String(text);
        let number = |n: f64| Value::Number(n);
        let members = |all: Vec<Member>| {
            Value::Array(all.iter().map(|m| text(format!("{}/{:016x}", m.node, m.disk))).collect())
        };
        let book = &rooms.committed.book;
        let all = [
            ("node", text(self.settings.node.clone())),
            ("role", text(rooms.role().to_string())),
            ("leader", cairn.leader().map_or(Value::Null, |l| text(l.to_string()))),
            ("in-touch", Value::Boolean(cairn.is_in_touch(now))),
            ("sure-s", cairn.sure_at().map_or(Value::Null, |at| number((now - at).secs()))),
            ("term", number(cairn.term() as f64)),
            ("voters", members(cairn.voters().to_vec())),
            ("learners", members(cairn.learners())),
            ("number", number(book.number as f64)),
            ("generation", text(format!("{:08x}", book.generation))),
            ("workers", number(rooms.lives.ready() as f64)),
            ("gatekeepers", number(rooms.directory.open(now).len() as f64)),
        ];
        let all = all.into_iter().map(|(key, value)| (key.to_string(), value)).collect();
        Reply::json(200, Value::Object(all).stringify().unwrap_or_default())
    }
}

pub fn error(status: u16, why: &str) -> Reply {
    let why = json::Value::String(why.to_string()).stringify().unwrap_or_default();
    Reply::json(status, format!(r#"{{"error":{why}}}"#))
}

pub fn unsettled() -> Reply {
    let mut reply = error(503, "no majority answers for the book");
    reply.headers.push_str("Retry-After: 0.2\r\n");
    reply
}
