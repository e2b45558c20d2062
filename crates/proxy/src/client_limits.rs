//! Size and time limits of client requests.

use lynxstair::types::Span;
use lynxstair_net::http::MAX_HEAD_BYTES;

use crate::routing_state::RoutingState;

/// Buffer size of a client connection: the longest body and head.
pub const MAX_BUFFER_BYTES: usize = MAX_BODY_BYTES + MAX_HEAD_BYTES;
/// Longest body; the configuration can only set a lower limit.
const MAX_BODY_BYTES: usize = 2 << 20;
/// Header time-out before the first configuration.
const DEFAULT_HEADER_TIMEOUT: Span = Span::from_millis(3_000);
/// Idle time-out before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(15_000);

/// Limits of a client connection.
pub struct Limits {
    /// Maximum time from the first byte of a request to the end of its head.
    pub header_timeout: Span,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Span,
    /// Longest body, in bytes.
    pub max_body: usize,
}

impl Limits {
    /// Returns the limits of the current configuration, or defaults if there is none.
    pub fn in_force(routing: &RoutingState) -> Limits {
        match routing.version() {
            Some(version) => {
                let limits = &version.configuration.limits;
                Limits {
                    header_timeout: limits.header_timeout,
                    idle_timeout: limits.idle_timeout,
                    max_body: limits.max_body_bytes.min(MAX_BODY_BYTES),
                }
            }
            None => Limits {
                header_timeout: DEFAULT_HEADER_TIMEOUT,
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
                max_body: MAX_BODY_BYTES,
            },
        }
    }
}
