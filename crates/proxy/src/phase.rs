//! The phases of a proxy's process, from its start to its end. `docs/design/shutdown.md` says how long each lasts and why.

/// The phases of a process, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// It serves.
    Serving,
    /// Told to end: no client is sent here any more, but those that come are served.
    Draining,
    /// Nothing more is admitted: connections that rest are closed, the others end with the response to their last request.
    Closing,
    /// The process is about to end: every request that was read gets a response now, so that none is left without one.
    Answering,
    /// The process ends: nothing more is read.
    Ended,
}
