//! Directory look-ups: addresses of proxies that clients may connect to.

use lynxstair_control_state::directory::Lookup;
use lynxstair_net::server::{Request, Response};

use crate::controller::Controller;
use crate::replies::unavailable;

/// Time for which clients may use an answer, in seconds, unless the bound in the settings is shorter.
const ANSWER_TTL_S: f64 = 3.0;

/// Handles a request at the directory address: `GET /resolve?name=HOST&region=REGION`.
pub fn handle(controller: &Controller, request: &Request) -> Response {
    if (request.method, &request.segments[..]) != ("GET", &["resolve"]) {
        return Response::new(404);
    }
    let now = controller.alarms.now();
    let state = &mut *controller.state();
    if !state.may_answer_lookups(now) {
        return unavailable();
    }
    let host = request.query_value("name").unwrap_or("");
    let configuration = state.committed.store.configuration();
    let lookup = Lookup {
        region: request.query_value("region").unwrap_or(""),
        home_regions: configuration.and_then(|configuration| configuration.home_regions_of_host(host)),
        has_quorum_contact: state.consensus.has_quorum_contact(now),
    };
    let addresses = state.directory.lookup(now, &lookup);
    if addresses.is_empty() {
        return unavailable();
    }
    let addresses: Vec<String> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
    let ttl = ANSWER_TTL_S.min(controller.settings.bounds.ttl_max.secs());
    Response::json(200, format!(r#"{{"addresses":[{}],"ttl-s":{ttl}}}"#, addresses.join(",")))
}
