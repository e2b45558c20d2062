//! `GET /status`: the local status of this controller, without a quorum.

use lynxstair_config::json::{Value, to_text};
use lynxstair_net::server::Response;
use lynxstair_protocol::consensus::Member;

use crate::consensus_status::role_name;
use crate::controller::Controller;

/// Returns the status as JSON. The fields are described in `docs/operators/control.md`.
pub fn status(controller: &Controller) -> Response {
    let now = controller.alarms.now();
    let state = controller.state();
    let consensus = &state.consensus;
    let store = &state.committed.store;
    let confirmed_s_ago = consensus.confirmed_at().map(|at| (now - at).secs());
    let fields = [
        ("node", Value::String(controller.settings.node.clone())),
        ("role", Value::String(role_name(consensus, controller.me).to_string())),
        ("leader", consensus.leader().map_or(Value::Null, |leader| Value::String(leader.to_string()))),
        ("in-touch", Value::Boolean(consensus.has_quorum_contact(now))),
        ("sure-s", confirmed_s_ago.map_or(Value::Null, Value::Number)),
        ("term", Value::Number(consensus.term() as f64)),
        ("voters", members(consensus.voters())),
        ("learners", members(&consensus.learners())),
        ("number", Value::Number(store.revision as f64)),
        ("generation", Value::String(format!("{:08x}", store.generation))),
        ("workers", Value::Number(state.instances.ready_count() as f64)),
        ("gatekeepers", Value::Number(state.directory.serving(now).len() as f64)),
    ];
    let fields = fields.into_iter().map(|(key, value)| (key.to_string(), value)).collect();
    Response::json(200, to_text(&Value::Object(fields)))
}

fn members(members: &[Member]) -> Value {
    let names = members.iter().map(|m| Value::String(format!("{}/{:016x}", m.node, m.disk)));
    Value::Array(names.collect())
}
