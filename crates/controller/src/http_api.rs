//! The HTTP API of workers and operators: one dispatch on method and path.

use std::sync::Arc;

use lynxstair_control_state::command::Operation;
use lynxstair_net::calls::{Call, Reply};

use crate::controller::Controller;
use crate::{instance_api, operator_api, status_api};

/// Answers a call at the control address.
pub fn handle(controller: &Arc<Controller>, call: &Call) -> Reply {
    match (call.method, &call.segments[..]) {
        ("PUT", ["instances", id]) => instance_api::heartbeat(controller, id, call.body),
        ("DELETE", ["instances", id]) => instance_api::deregister(controller, id),
        ("GET", ["config"]) => operator_api::read_config(controller),
        ("PUT", ["config"]) => {
            operator_api::execute(controller, call, "/config", Operation::Put(call.body.to_vec()))
        }
        ("PATCH", ["config"]) => {
            operator_api::execute(controller, call, "/config", Operation::Patch(call.body.to_vec()))
        }
        ("POST", ["evacuation", zone]) => {
            let path = format!("/evacuation/{zone}");
            operator_api::execute(controller, call, &path, Operation::Evacuate(zone.to_string()))
        }
        ("DELETE", ["evacuation", zone]) => {
            let path = format!("/evacuation/{zone}");
            operator_api::execute(controller, call, &path, Operation::Restore(zone.to_string()))
        }
        ("GET", ["status"]) => status_api::status(controller),
        (_, ["instances", _] | ["config"] | ["evacuation", _] | ["status"]) => Reply::new(405),
        _ => Reply::new(404),
    }
}
