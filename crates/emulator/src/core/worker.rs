//! Workers: each says to one controller how it is, goes to the next where it gets no 2xx, and now and then leaves in order,
//! or dies without a word; another instance follows.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::messages::{Instance, InstanceState};

use super::controller::Ask;

pub(crate) const BEAT: Span = Span::from_millis(1_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Goes {
    Ready,
    Draining,
    /// It says that its instance ends.
    Ending,
    /// Dead without a word, or ended.
    Over,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub number: usize,
    pub instance: u32,
    pub goes: Goes,
    pub seq: u64,
    /// Where its last heartbeat was acknowledged.
    pub controller: Option<usize>,
    /// Who did not acknowledge the last one.
    pub refused_by: Option<usize>,
    pub call: Option<u64>,
    pub began_at: Time,
    /// When each of its last heartbeats as a ready one was acknowledged.
    pub acked: Vec<Time>,
    /// When a word was acknowledged that it drains or ends.
    pub out_acked_at: Option<Time>,
    pub over_at: Option<Time>,
}

impl Worker {
    pub fn new(now: Time, number: usize, instance: u32) -> Worker {
        Worker {
            number,
            instance,
            goes: Goes::Ready,
            seq: 0,
            controller: None,
            refused_by: None,
            call: None,
            began_at: now,
            acked: Vec::new(),
            out_acked_at: None,
            over_at: None,
        }
    }

    pub fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.instance)
    }

    pub fn ask(&mut self) -> Option<Ask> {
        self.seq += 1;
        let standing = match self.goes {
            Goes::Over => return None,
            Goes::Ending => return Some(Ask::Delete(self.id())),
            Goes::Draining => InstanceState::Draining,
            Goes::Ready => InstanceState::Ready,
        };
        Some(Ask::Heartbeat(Instance {
            id: self.id(),
            service: "s".to_string(),
            address: format!("10.1.0.{}:80", self.number + 1).parse().expect("an address"),
            zone: "z1".to_string(),
            capacity: 3,
            state: standing,
            warming_up_ms: 0,
            call_seq: self.seq,
            heartbeat_age_ms: 0,
            is_unconfirmed: false,
        }))
    }

    /// A word of it was acknowledged.
    pub fn acked(&mut self, now: Time) {
        match self.goes {
            Goes::Ready => {
                self.acked.push(now);
                if self.acked.len() > 16 {
                    self.acked.remove(0);
                }
            }
            _ => self.out_acked_at = self.out_acked_at.or(Some(now)),
        }
    }

    /// Whether it has been told without a gap, for so long up to now, that its heartbeats are heard.
    pub fn is_promised(&self, now: Time, long: Span) -> bool {
        let gap = BEAT.times(1.7);
        let since = now.saturating_sub(long);
        let Some(first) = self.acked.iter().rposition(|at| *at <= since) else { return false };
        let told = &self.acked[first..];
        let has_gap = told.windows(2).any(|w| w[1] - w[0] > gap);
        self.goes == Goes::Ready && !has_gap && told.last().is_some_and(|last| now - *last <= gap)
    }
}
