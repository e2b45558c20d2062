//! HTTP requests of workers: heartbeats and deregistration.

use std::sync::MutexGuard;

use lynxstair::types::Time;
use lynxstair_config::json::{self, ValueError};
use lynxstair_control_state::failure_detector::HeartbeatOutcome;
use lynxstair_net::server::Response;
use lynxstair_protocol::messages::{Instance, InstanceState};

use crate::controller::Controller;
use crate::departures;
use crate::replies::error;
use crate::state::ControllerState;

/// Range to which the reported capacity of a worker is clamped, in concurrent requests.
const MIN_CAPACITY: f64 = 1.0;
const MAX_CAPACITY: f64 = 1e6;
/// Maximum of the reported remaining warm-up time, in seconds.
const MAX_WARM_UP_S: f64 = 600.0;
/// Longest id of an instance, and longest name of its service or zone, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Handles `PUT /instances/ID`, the heartbeat of a worker instance.
pub fn heartbeat(controller: &Controller, id: &str, body: &[u8]) -> Response {
    let mut instance = match read_instance(id, body) {
        Ok(instance) => instance,
        Err(invalid) => return error(400, &invalid.to_string()),
    };
    let now = controller.alarms.now();
    // After a pause of this process, the heartbeat may have been waiting to be read.
    instance.heartbeat_age_ms = (now - controller.alarms.received_at(now)).nanos() / 1_000_000;
    let mut state = controller.state();
    if !state.instances.has_room_for(id, controller.limits.max_instances) {
        return not_acknowledged();
    }
    state.update_quorum_role(now);
    let outcome = state.instances.detector.record_heartbeat(now, &instance);
    publish(controller, now, state, outcome)
}

/// Handles `DELETE /instances/ID`, the deregistration of a worker instance.
pub fn deregister(controller: &Controller, id: &str) -> Response {
    let now = controller.alarms.now();
    let mut state = controller.state();
    state.update_quorum_role(now);
    let outcome = state.instances.detector.deregister(now, id);
    publish(controller, now, state, outcome)
}

/// Publishes the outcome and answers the worker. A departure is acknowledged once it is durable.
fn publish(
    controller: &Controller,
    now: Time,
    mut state: MutexGuard<'_, ControllerState>,
    outcome: HeartbeatOutcome,
) -> Response {
    let mut is_acknowledged = outcome.is_acknowledged;
    let departed = outcome.instance.as_ref().filter(|instance| instance.state.has_departed()).cloned();
    state.publish_heartbeat(outcome);
    if let Some(instance) = departed {
        departures::on_reported(controller, now, &mut state, None, std::slice::from_ref(&instance));
        is_acknowledged = is_acknowledged && departures::wait_until_durable(controller, state, &instance.id);
    }
    if is_acknowledged { Response::json(200, "{}") } else { not_acknowledged() }
}

fn not_acknowledged() -> Response {
    error(503, "not acknowledged; call another controller")
}

fn read_instance(id: &str, body: &[u8]) -> Result<Instance, ValueError> {
    let value = json::parse(body)?;
    let fields = json::as_object(&value, "body")?;
    let text = |key: &str| {
        let text = json::require(fields, key, "").and_then(|v| json::as_str(v, key))?;
        if text.len() > MAX_NAME_BYTES { json::invalid(key, "too long") } else { Ok(text) }
    };
    if id.len() > MAX_NAME_BYTES {
        return json::invalid("id", "too long");
    }
    let number = |key: &str| json::get(fields, key).map_or(Ok(0.0), |v| json::as_number(v, key));
    let Ok(address) = text("address")?.parse() else { return json::invalid("address", "not an address") };
    let state = match text("state")? {
        "draining" => InstanceState::Draining,
        _ => InstanceState::Ready,
    };
    Ok(Instance {
        id: id.to_string(),
        service: text("service")?.to_string(),
        address,
        zone: text("zone")?.to_string(),
        capacity: number("capacity")?.clamp(MIN_CAPACITY, MAX_CAPACITY) as u32,
        state,
        warming_up_ms: (number("cold-left-s")?.clamp(0.0, MAX_WARM_UP_S) * 1000.0) as u64,
        call_seq: number("call-seq")?.max(0.0) as u64,
        heartbeat_age_ms: 0,
        is_unconfirmed: false,
    })
}
