//! Replies that several parts of the HTTP API give.

use lynxstair_config::json::{Value, to_text};
use lynxstair_net::server::Response;

/// When a caller may come back to a controller that can't answer now, in seconds.
const RETRY_AFTER_S: f64 = 0.2;

/// A reply that says what is wrong.
pub fn error(status: u16, reason: &str) -> Response {
    let reason = to_text(&Value::String(reason.to_string()));
    Response::json(status, format!(r#"{{"error":{reason}}}"#))
}

/// Nothing certain can be said now, here or without a quorum.
pub fn unavailable() -> Response {
    let mut reply = error(503, "no majority answers for the configuration");
    reply.headers.push_str(&format!("Retry-After: {RETRY_AFTER_S}\r\n"));
    reply
}
