//! What a client may send, and how long it may take.

use lynxstair::types::Span;
use lynxstair_net::http::MAX_HEAD_BYTES;

use crate::routing_state::RoutingState;

/// What is buffered of a client's requests: the longest body that is held, and a head.
pub const MAX_BUFFER: usize = MAX_BODY + MAX_HEAD_BYTES;
const MAX_BODY: usize = 2 << 20;
/// Before a configuration is known.
const DEFAULT_HEADER_TIMEOUT: Span = Span::from_millis(3_000);
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(15_000);

/// The limits in force.
pub struct Limits {
    /// How long a head may take.
    pub header_timeout: Span,
    /// How long a connection may rest.
    pub idle_timeout: Span,
    /// The longest body, in bytes.
    pub max_body: usize,
}

impl Limits {
    /// By the configuration in force.
    pub fn in_force(routing: &RoutingState) -> Limits {
        match routing.version() {
            Some(version) => {
                let limits = &version.configuration.limits;
                Limits {
                    header_timeout: limits.header_timeout,
                    idle_timeout: limits.idle_timeout,
                    max_body: limits.max_body_bytes.min(MAX_BODY),
                }
            }
            None => Limits {
                header_timeout: DEFAULT_HEADER_TIMEOUT,
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
                max_body: MAX_BODY,
            },
        }
    }
}
