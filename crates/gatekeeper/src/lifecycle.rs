//! The phases of the process.

use std::sync::atomic::{AtomicU8, Ordering};

use lynxstair_net::log_limited;

/// A phase; each follows the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// It does not serve yet.
    Starting,
    /// It serves.
    Serving,
    /// Told to end: it serves on for a grace, as clients learn of it late.
    Draining,
    /// It accepts nothing more, and answers what it has.
    Closing,
    /// The process ends.
    Ended,
}

const PHASES: [Phase; 5] = [Phase::Starting, Phase::Serving, Phase::Draining, Phase::Closing, Phase::Ended];

/// The phase that the process is in.
pub struct Lifecycle(AtomicU8);

impl Lifecycle {
    /// A process that starts.
    pub fn new() -> Self {
        Lifecycle(AtomicU8::new(Phase::Starting as u8))
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        PHASES[usize::from(self.0.load(Ordering::Acquire))]
    }

    /// Whether it was told to end.
    pub fn is_shutting_down(&self) -> bool {
        self.phase() >= Phase::Draining
    }

    /// Whether connections end with the next reply.
    pub fn is_closing(&self) -> bool {
        self.phase() >= Phase::Closing
    }

    /// Enters a phase. Every change of phase is made here.
    pub fn enter(&self, phase: Phase) {
        log_limited!("{phase:?}");
        self.0.store(phase as u8, Ordering::Release);
    }
}
