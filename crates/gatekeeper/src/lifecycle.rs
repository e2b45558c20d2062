//! Phases of the process.

use std::sync::atomic::{AtomicU8, Ordering};

use lynxstair_net::log_limited;

/// Phase of the process. Phases follow each other in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Not serving yet.
    Starting,
    /// Serving clients.
    Serving,
    /// A shutdown was requested. Clients are still served for a grace period, as they learn of the shutdown
    /// late.
    Draining,
    /// No new connections are accepted; open requests are completed.
    Closing,
    /// The process exits.
    Ended,
}

const PHASES: [Phase; 5] = [Phase::Starting, Phase::Serving, Phase::Draining, Phase::Closing, Phase::Ended];

/// Current phase of the process.
pub struct Lifecycle(AtomicU8);

impl Lifecycle {
    /// Creates a lifecycle in phase `Starting`.
    pub fn new() -> Self {
        Lifecycle(AtomicU8::new(Phase::Starting as u8))
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        PHASES[usize::from(self.0.load(Ordering::Acquire))]
    }

    /// Returns `true` once a shutdown was requested.
    pub fn is_shutting_down(&self) -> bool {
        self.phase() >= Phase::Draining
    }

    /// Returns `true` if connections must be closed after the next reply.
    pub fn is_closing(&self) -> bool {
        self.phase() >= Phase::Closing
    }

    /// Enters a phase and logs it.
    pub fn enter(&self, phase: Phase) {
        log_limited!("{phase:?}");
        self.0.store(phase as u8, Ordering::Release);
    }
}
