//! Error responses shared by the HTTP APIs.

use lynxstair_config::json::{Value, to_text};
use lynxstair_net::server::Response;

/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_S: f64 = 0.2;

/// Returns an error response with `reason` in its JSON body.
pub fn error(status: u16, reason: &str) -> Response {
    let reason = to_text(&Value::String(reason.to_string()));
    Response::json(status, format!(r#"{{"error":{reason}}}"#))
}

/// Returns status 503 with `Retry-After`, for requests that this controller cannot answer without a quorum
/// or in its current state.
pub fn unavailable() -> Response {
    let mut reply = error(503, "not available at this controller now; retry");
    reply.headers.push_str(&format!("Retry-After: {RETRY_AFTER_S}\r\n"));
    reply
}
