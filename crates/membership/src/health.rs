//! Own lateness: one that stood still, is slow or hears nobody doubts itself first, and accuses nobody until
//! it has heard from others again. The idea is Lifeguard's (Local Health Awareness for More Accurate Failure
//! Detection).
//!
//! Two things come of it. The timers run on *time awake*: what this process stood still is taken off the
//! clock, so that nobody's time to answer ran out while nobody could be heard. And while it doubts, no time
//! to object runs out and nobody is asked, so nobody can be found silent.

use lynxstair::types::{Span, Time};
use serde::{Deserialize, Serialize};

use crate::times::Times;

/// How often the times may be widened: by as many more of each.
const WIDEST: u8 = 2;

/// Why it doubts itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// A timer went off too late.
    StoodStill,
    /// No member was heard for too long: it may be this one that is cut off.
    HearsNobody,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Own {
    Sure,
    /// Answers to what was asked from this number on end it.
    Doubting {
        why: Doubt,
        since: Time,
        fresh_from: u64,
    },
}

/// What it thinks of itself.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    own: Own,
    /// By how many more of each the times are widened.
    wider: u8,
    /// Taken off the clock.
    stood: Span,
    heard_at: Time,
    is_watching: bool,
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    Began(Doubt),
    Ended { since: Time },
}

impl Health {
    pub fn new(now: Time, is_watching: bool) -> Self {
        Health { own: Own::Sure, wider: 0, stood: Span::ZERO, heard_at: now, is_watching }
    }

    /// The time of the timers.
    pub fn awake(&self, now: Time) -> Time {
        now.saturating_sub(self.stood)
    }

    /// The time of the clock.
    pub fn clock(&self, awake: Time) -> Time {
        awake + self.stood
    }

    /// It runs now, and had something due at that time of the clock. The time it stood still, if it did.
    pub fn ran(&mut self, now: Time, due: Option<Time>, times: &Times) -> Option<Span> {
        let late = now - due?;
        if !self.is_watching || late <= times.late {
            return None;
        }
        self.stood = self.stood + late;
        // Nobody could be heard meanwhile.
        self.heard_at = self.heard_at + late;
        self.widen();
        Some(late)
    }

    pub fn heard(&mut self, now: Time) {
        self.heard_at = self.heard_at.max(now);
    }

    /// For how long nobody was heard.
    pub fn unheard_for(&self, now: Time) -> Span {
        now - self.heard_at
    }

    pub fn is_quiet(&self, now: Time, times: &Times) -> bool {
        self.is_watching && self.unheard_for(now) > times.quiet
    }

    /// Every change of what it thinks of itself goes through here and `fresh`.
    pub fn doubt(&mut self, now: Time, why: Doubt, fresh_from: u64) -> Option<Turn> {
        match self.own {
            Own::Doubting { why: Doubt::HearsNobody, .. } if why == Doubt::HearsNobody => None,
            // Stood still once more: what was asked before tells nothing.
            Own::Doubting { why: held, since, .. } => {
                self.own = Own::Doubting { why: held, since, fresh_from };
                None
            }
            Own::Sure => {
                self.own = Own::Doubting { why, since: now, fresh_from };
                Some(Turn::Began(why))
            }
        }
    }

    /// An answer came to what was asked under this number.
    pub fn fresh(&mut self, now: Time, number: u64) -> Option<Turn> {
        match self.own {
            Own::Doubting { since, fresh_from, .. } if number >= fresh_from => {
                self.own = Own::Sure;
                self.heard(now);
                Some(Turn::Ended { since })
            }
            _ => None,
        }
    }

    /// There is nobody else to hear.
    pub fn alone(&mut self, now: Time) -> Option<Turn> {
        self.heard_at = now;
        match self.own {
            Own::Doubting { since, .. } => {
                self.own = Own::Sure;
                Some(Turn::Ended { since })
            }
            Own::Sure => None,
        }
    }

    pub fn doubting(&self) -> Option<(Doubt, Time)> {
        match self.own {
            Own::Sure => None,
            Own::Doubting { why, since, .. } => Some((why, since)),
        }
    }

    pub fn widen(&mut self) {
        if self.is_watching {
            self.wider = (self.wider + 1).min(WIDEST);
        }
    }

    pub fn narrow(&mut self) {
        self.wider = self.wider.saturating_sub(1);
    }

    pub fn wider(&self) -> u8 {
        self.wider
    }

    /// A time of its own, widened.
    pub fn widened(&self, span: Span) -> Span {
        span.times(1.0 + f64::from(self.wider))
    }
}

#[cfg(test)]
mod tests;
