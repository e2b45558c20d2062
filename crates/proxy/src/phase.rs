//! Phases of a proxy process; `docs/design/shutdown.md` gives their durations.

/// Phase of a proxy process. A process only moves to later phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// Shutdown has begun: the proxy reports that it is not ready, but still serves clients that connect.
    Draining,
    /// No request is admitted. Idle connections are closed, the others after the response to their last
    /// request.
    Closing,
    /// Requests in flight stop waiting for workers, and each gets a response now.
    Answering,
    /// The process exits; nothing more is read.
    Ended,
}
