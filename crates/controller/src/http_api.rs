//! HTTP API for workers and operators: dispatch by method and path.

use std::sync::Arc;

use lynxstair_control_state::command::Operation;
use lynxstair_net::server::{Request, Response};

use crate::controller::Controller;
use crate::{instance_api, operator_api, status_api};

/// Handles an HTTP request at the control address.
pub fn handle(controller: &Arc<Controller>, request: &Request) -> Response {
    match (request.method, &request.segments[..]) {
        ("PUT", ["instances", id]) => instance_api::heartbeat(controller, id, request.body),
        ("DELETE", ["instances", id]) => instance_api::deregister(controller, id),
        ("GET", ["config"]) => operator_api::read_config(controller),
        ("PUT", ["config"]) => {
            operator_api::execute(controller, request, "/config", Operation::Put(request.body.to_vec()))
        }
        ("PATCH", ["config"]) => {
            operator_api::execute(controller, request, "/config", Operation::Patch(request.body.to_vec()))
        }
        ("POST", ["evacuation", zone]) => {
            let path = format!("/evacuation/{zone}");
            operator_api::execute(controller, request, &path, Operation::Evacuate(zone.to_string()))
        }
        ("DELETE", ["evacuation", zone]) => {
            let path = format!("/evacuation/{zone}");
            operator_api::execute(controller, request, &path, Operation::Restore(zone.to_string()))
        }
        ("GET", ["status"]) => status_api::status(controller),
        (_, ["instances", _] | ["config"] | ["evacuation", _] | ["status"]) => Response::new(405),
        _ => Response::new(404),
    }
}
