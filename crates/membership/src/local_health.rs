//! Local health: a process that was paused, is slow, or hears nobody doubts itself first, and declares nobody
//! failed until it has heard from others again. The idea is Lifeguard's local health awareness.
//!
//! Two things follow. The timers run on *awake time*: a pause is taken off the clock, so that nobody's time to
//! answer runs out while nobody could be heard. And while the member doubts itself it probes nobody and no
//! suspicion times out.

use lynxstair::types::{Span, Time};
use serde::{Deserialize, Serialize};

use crate::times::Times;

/// By how many times their length timeouts are extended at the most.
const MAX_TIMEOUT_EXTENSION: u8 = 2;

/// Why a member doubts itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DegradedReason {
    /// A timer fired too late.
    #[serde(rename = "stood_still")]
    Paused,
    /// Nobody was heard for too long: this member itself may be cut off.
    #[serde(rename = "hears_nobody")]
    Isolated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Confidence {
    Sure,
    /// A reply to a probe of this number or a later one ends the doubt.
    Doubting {
        reason: DegradedReason,
        since: Time,
        fresh_from: u64,
    },
}

/// A change of the doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DoubtChange {
    Began(DegradedReason),
    Ended { since: Time },
}

/// The local health.
#[derive(Clone, Debug)]
pub(crate) struct LocalHealth {
    confidence: Confidence,
    /// By how many times their length timeouts are extended.
    timeout_extension: u8,
    /// The sum of all pauses, which awake time leaves out.
    paused: Span,
    heard_at: Time,
    is_enabled: bool,
}

impl LocalHealth {
    /// `is_enabled`: false for trials; nothing is noticed then.
    pub fn new(now: Time, is_enabled: bool) -> Self {
        LocalHealth {
            confidence: Confidence::Sure,
            timeout_extension: 0,
            paused: Span::ZERO,
            heard_at: now,
            is_enabled,
        }
    }

    /// Awake time, by which timers are set.
    pub fn awake_time(&self, now: Time) -> Time {
        now.saturating_sub(self.paused)
    }

    /// The clock's time of an awake time.
    pub fn clock_time(&self, awake: Time) -> Time {
        awake + self.paused
    }

    /// The process runs now, and had a timer due at `deadline`. Returns for how long it was paused, if it was.
    pub fn observe(&mut self, now: Time, deadline: Option<Time>, times: &Times) -> Option<Span> {
        let late = now - deadline?;
        if !self.is_enabled || late <= times.pause_threshold {
            return None;
        }
        self.paused = self.paused + late;
        // Nobody could be heard meanwhile.
        self.heard_at = self.heard_at + late;
        self.extend_timeouts();
        Some(late)
    }

    /// A member was heard.
    pub fn heard(&mut self, now: Time) {
        self.heard_at = self.heard_at.max(now);
    }

    /// For how long nobody was heard.
    pub fn unheard_for(&self, now: Time) -> Span {
        now - self.heard_at
    }

    /// Whether nobody was heard for too long.
    pub fn is_isolated(&self, now: Time, times: &Times) -> bool {
        self.is_enabled && self.unheard_for(now) > times.isolation_threshold
    }

    /// Begins a doubt, or renews it. Every change of the confidence goes through here, [`Self::reply_received`]
    /// or [`Self::alone`].
    pub fn doubt(&mut self, now: Time, reason: DegradedReason, fresh_from: u64) -> Option<DoubtChange> {
        match self.confidence {
            Confidence::Doubting { reason: DegradedReason::Isolated, .. }
                if reason == DegradedReason::Isolated =>
            {
                None
            }
            // Paused once more: replies to probes from before tell nothing.
            Confidence::Doubting { reason: first_reason, since, .. } => {
                self.confidence = Confidence::Doubting { reason: first_reason, since, fresh_from };
                None
            }
            Confidence::Sure => {
                self.confidence = Confidence::Doubting { reason, since: now, fresh_from };
                Some(DoubtChange::Began(reason))
            }
        }
    }

    /// A reply to the probe of this number was received.
    pub fn reply_received(&mut self, now: Time, number: u64) -> Option<DoubtChange> {
        match self.confidence {
            Confidence::Doubting { since, fresh_from, .. } if number >= fresh_from => {
                self.confidence = Confidence::Sure;
                self.heard(now);
                Some(DoubtChange::Ended { since })
            }
            _ => None,
        }
    }

    /// There is no other member to hear.
    pub fn alone(&mut self, now: Time) -> Option<DoubtChange> {
        self.heard_at = now;
        match self.confidence {
            Confidence::Doubting { since, .. } => {
                self.confidence = Confidence::Sure;
                Some(DoubtChange::Ended { since })
            }
            Confidence::Sure => None,
        }
    }

    /// Why it doubts itself, and since when.
    pub fn doubting(&self) -> Option<(DegradedReason, Time)> {
        match self.confidence {
            Confidence::Sure => None,
            Confidence::Doubting { reason, since, .. } => Some((reason, since)),
        }
    }

    /// Something shows that this process is slow or badly connected.
    pub fn extend_timeouts(&mut self) {
        if self.is_enabled {
            self.timeout_extension = (self.timeout_extension + 1).min(MAX_TIMEOUT_EXTENSION);
        }
    }

    /// A probe was answered in time.
    pub fn shorten_timeouts(&mut self) {
        self.timeout_extension = self.timeout_extension.saturating_sub(1);
    }

    pub fn timeout_extension(&self) -> u8 {
        self.timeout_extension
    }

    /// A timeout, extended.
    pub fn extended(&self, timeout: Span) -> Span {
        timeout.times(1.0 + f64::from(self.timeout_extension))
    }
}

#[cfg(test)]
mod tests;
