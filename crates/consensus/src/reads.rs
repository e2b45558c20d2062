//! Reads, and who is in touch. A read is answered once a majority has answered a round of this leader that began
//! after the read came (read index): no clock takes part, so a leader that was cut off, stood still or was voted out
//! meanwhile answers nothing. Being in touch is weaker, and asks for no round: it says that a majority's leader and
//! this hut have heard each other a moment ago.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::LogId;

use crate::role::Role;
use crate::{Cairn, Do};

/// Whoever had no two-way contact with a majority for so long speaks for nobody.
pub const CONTACT: Span = Span::from_millis(500);
/// Reads that come within so long of a round wait for the next one together.
pub(crate) const READ_GAP: Span = Span::from_millis(4);
/// So many reads may wait at once.
const MOST_READS: usize = 4096;

impl Cairn {
    /// Asks to answer for what is committed; the number by which `Do::Read` will say whether that may be, or None
    /// where this hut does not lead.
    pub fn read(&mut self, now: Time) -> Option<u64> {
        if !self.leads() {
            return None;
        }
        let number = self.next_number();
        let Role::Leader(l) = &mut self.role else { return None };
        if l.reads.len() >= MOST_READS {
            return None;
        }
        l.reads.push_back((number, l.round + 1));
        if now - l.said_at >= READ_GAP {
            self.speak(now);
        } else {
            l.round_wanted = true;
        }
        Some(number)
    }

    /// Lets go of the reads whose round a majority has answered.
    pub(crate) fn answer_reads(&mut self) {
        let Role::Leader(l) = &mut self.role else { return };
        let sure = l.sure_round;
        while let Some((number, _)) = l.reads.pop_front_if(|(_, round)| *round <= sure) {
            self.out.push(Do::Read(number, true));
        }
    }

    /// When this hut was last sure that nothing newer than `committed` was committed by others.
    pub fn sure_at(&self) -> Option<Time> {
        match &self.role {
            Role::Leader(l) => self.leads().then_some(l.sure_at),
            _ => self.sure_at,
        }
    }

    /// Whether this hut and the leader of a majority have heard each other a moment ago. False at once after it was
    /// cut off in one direction or stood still.
    pub fn is_in_touch(&self, now: Time) -> bool {
        let at = match &self.role {
            Role::Leader(l) => self.leads().then_some(l.sure_at),
            Role::Follower { .. } => self.touch_at,
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        };
        at.is_some_and(|at| now - at < CONTACT)
    }

    /// Since when it has led, without a break.
    pub fn leading_since(&self) -> Option<Time> {
        match &self.role {
            Role::Leader(l) if self.leads() => Some(l.since),
            _ => None,
        }
    }

    /// A leader, known to be the only one then, had heard this hut by then; `committed` was the newest.
    pub(crate) fn told_fresh(&mut self, at: Time, committed: LogId) {
        self.touch_at = self.touch_at.max(Some(at));
        if self.committed == committed {
            self.sure_at = self.sure_at.max(Some(at));
        }
    }
}
