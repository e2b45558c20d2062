//! Local health, after Lifeguard's local health awareness. A process that was paused or is isolated is
//! degraded: it declares no member failed until it has received a reply. A slow one extends its
//! time-outs.
//!
//! Timers run on *awake time*, the clock without the pauses of the process, so that a pause of this
//! process does not use up the time that other members have to answer. While the health is degraded, no
//! probe of the failure detector is sent and no suspicion times out.

use lynxstair::types::{Span, Time};
use serde::{Deserialize, Serialize};

use crate::times::Times;

/// Largest value of the time-out extension (Lifeguard's local health multiplier).
const MAX_TIMEOUT_EXTENSION: u8 = 2;

/// Reason why the local health of a member is degraded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DegradedReason {
    /// The process was paused: a timer fired too late.
    #[serde(rename = "stood_still")]
    Paused,
    /// No message was received for too long; this member may be cut off.
    #[serde(rename = "hears_nobody")]
    Isolated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Healthy,
    /// Ends with a reply to a probe whose number is at least `min_request_number`.
    Degraded {
        reason: DegradedReason,
        since: Time,
        min_request_number: u64,
    },
}

/// A change between healthy and degraded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    Degraded(DegradedReason),
    Recovered { since: Time },
}

/// Local health of a member.
#[derive(Clone, Debug)]
pub(crate) struct LocalHealth {
    health: Health,
    /// Time-outs are multiplied by one more than this.
    timeout_extension: u8,
    /// Sum of all pauses, which awake time excludes.
    paused: Span,
    last_received_at: Time,
    is_enabled: bool,
}

impl LocalHealth {
    /// With `is_enabled` false, pauses and isolation are not detected; tests only.
    pub fn new(now: Time, is_enabled: bool) -> Self {
        LocalHealth {
            health: Health::Healthy,
            timeout_extension: 0,
            paused: Span::ZERO,
            last_received_at: now,
            is_enabled,
        }
    }

    /// Converts a time of the clock to awake time, which timers use.
    pub fn awake_time(&self, now: Time) -> Time {
        now.saturating_sub(self.paused)
    }

    /// Converts an awake time to the time of the clock.
    pub fn clock_time(&self, awake: Time) -> Time {
        awake + self.paused
    }

    /// Detects a pause of the process: returns its length if `now` is later than `deadline`, when the next
    /// timer was due, by more than the pause threshold.
    pub fn observe(&mut self, now: Time, deadline: Option<Time>, times: &Times) -> Option<Span> {
        let late = now - deadline?;
        if !self.is_enabled || late <= times.pause_threshold {
            return None;
        }
        self.paused = self.paused + late;
        // No message could be received during the pause.
        self.last_received_at = self.last_received_at + late;
        self.extend_timeouts();
        Some(late)
    }

    /// Records that a message of another member was received.
    pub fn message_received(&mut self, now: Time) {
        self.last_received_at = self.last_received_at.max(now);
    }

    /// Time since the last received message.
    pub fn time_since_received(&self, now: Time) -> Span {
        now - self.last_received_at
    }

    /// Returns `true` if no message was received for longer than the isolation threshold.
    pub fn is_isolated(&self, now: Time, times: &Times) -> bool {
        self.is_enabled && self.time_since_received(now) > times.isolation_threshold
    }

    /// Marks the health as degraded until a reply to a probe from `min_request_number` on. If it is
    /// degraded already, its reason stays, and the number is raised unless both reasons are isolation. All
    /// changes go through this method, [`Self::reply_received`] and [`Self::on_no_members`].
    pub fn degrade(
        &mut self,
        now: Time,
        reason: DegradedReason,
        min_request_number: u64,
    ) -> Option<HealthChange> {
        match self.health {
            Health::Degraded { reason: DegradedReason::Isolated, .. }
                if reason == DegradedReason::Isolated =>
            {
                None
            }
            // A further reason: replies to earlier probes no longer count.
            Health::Degraded { reason: first_reason, since, .. } => {
                self.health = Health::Degraded { reason: first_reason, since, min_request_number };
                None
            }
            Health::Healthy => {
                self.health = Health::Degraded { reason, since: now, min_request_number };
                Some(HealthChange::Degraded(reason))
            }
        }
    }

    /// Handles a reply to the probe `number`.
    pub fn reply_received(&mut self, now: Time, number: u64) -> Option<HealthChange> {
        match self.health {
            Health::Degraded { since, min_request_number, .. } if number >= min_request_number => {
                self.health = Health::Healthy;
                self.message_received(now);
                Some(HealthChange::Recovered { since })
            }
            _ => None,
        }
    }

    /// Handles that no other member is present: there is none to receive from.
    pub fn on_no_members(&mut self, now: Time) -> Option<HealthChange> {
        self.last_received_at = now;
        match self.health {
            Health::Degraded { since, .. } => {
                self.health = Health::Healthy;
                Some(HealthChange::Recovered { since })
            }
            Health::Healthy => None,
        }
    }

    /// Reason and start of the degraded state, or `None` if healthy.
    pub fn degraded(&self) -> Option<(DegradedReason, Time)> {
        match self.health {
            Health::Healthy => None,
            Health::Degraded { reason, since, .. } => Some((reason, since)),
        }
    }

    /// Raises the time-out extension after a sign that this process is slow or badly connected.
    pub fn extend_timeouts(&mut self) {
        if self.is_enabled {
            self.timeout_extension = (self.timeout_extension + 1).min(MAX_TIMEOUT_EXTENSION);
        }
    }

    /// Lowers the time-out extension after a probe was answered in time.
    pub fn shorten_timeouts(&mut self) {
        self.timeout_extension = self.timeout_extension.saturating_sub(1);
    }

    pub fn timeout_extension(&self) -> u8 {
        self.timeout_extension
    }

    /// Returns a time-out with the current extension.
    pub fn extended(&self, timeout: Span) -> Span {
        timeout.times(1.0 + f64::from(self.timeout_extension))
    }
}

#[cfg(test)]
mod tests;
