//! Workers as clients of the controllers. Each sends heartbeats to one controller and changes to another
//! one if they are not acknowledged. Instances drain and deregister, or end without notice, and are
//! replaced by new ones.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{Instance, InstanceState};

use super::controller::ClientCall;

/// Time between two heartbeats of a worker.
pub(crate) const HEARTBEAT_PERIOD: Span = Span::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerPhase {
    Ready,
    Draining,
    /// Sends its deregistration.
    Deregistering,
    /// Stopped, after its deregistration or without notice.
    Ended,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub number: usize,
    pub instance: u32,
    pub phase: WorkerPhase,
    pub call_seq: u64,
    /// Controller that acknowledged its last call.
    pub controller: Option<usize>,
    /// Controller that did not acknowledge its last call.
    pub rejected_by: Option<usize>,
    /// Id of the call in flight.
    pub call: Option<u64>,
    pub started_at: Time,
    /// Times at which its last 16 heartbeats as a ready instance were acknowledged.
    pub acked_at: Vec<Time>,
    /// Time at which its drain or deregistration was first acknowledged.
    pub leave_acked_at: Option<Time>,
    pub ended_at: Option<Time>,
}

impl Worker {
    pub fn new(now: Time, number: usize, instance: u32) -> Worker {
        Worker {
            number,
            instance,
            phase: WorkerPhase::Ready,
            call_seq: 0,
            controller: None,
            rejected_by: None,
            call: None,
            started_at: now,
            acked_at: Vec::new(),
            leave_acked_at: None,
            ended_at: None,
        }
    }

    pub fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.instance)
    }

    /// Returns its next call, or `None` if it has ended.
    pub fn next_call(&mut self) -> Option<ClientCall> {
        self.call_seq += 1;
        let state = match self.phase {
            WorkerPhase::Ended => return None,
            WorkerPhase::Deregistering => return Some(ClientCall::Delete(self.id())),
            WorkerPhase::Draining => InstanceState::Draining,
            WorkerPhase::Ready => InstanceState::Ready,
        };
        Some(ClientCall::Heartbeat(Instance {
            id: self.id(),
            service: "s".to_string(),
            address: format!("10.1.0.{}:80", self.number + 1).parse().expect("an address"),
            zone: "z1".to_string(),
            capacity: 3,
            state,
            warming_up_ms: 0,
            call_seq: self.call_seq,
            heartbeat_age_ms: 0,
            is_unconfirmed: false,
        }))
    }

    /// Records the acknowledgement of a call.
    pub fn on_acknowledged(&mut self, now: Time) {
        match self.phase {
            WorkerPhase::Ready => {
                self.acked_at.push(now);
                if self.acked_at.len() > 16 {
                    self.acked_at.remove(0);
                }
            }
            _ => self.leave_acked_at = self.leave_acked_at.or(Some(now)),
        }
    }

    /// Returns `true` if the instance is ready and its heartbeats were acknowledged without a gap for at
    /// least `period` up to now.
    pub fn has_steady_acks(&self, now: Time, period: Span) -> bool {
        let max_gap = HEARTBEAT_PERIOD.times(1.7);
        let since = now.saturating_sub(period);
        let Some(first) = self.acked_at.iter().rposition(|at| *at <= since) else { return false };
        let acks = &self.acked_at[first..];
        let has_gap = acks.windows(2).any(|w| w[1] - w[0] > max_gap);
        self.phase == WorkerPhase::Ready && !has_gap && acks.last().is_some_and(|last| now - *last <= max_gap)
    }
}
