//! What the owner of the duty `export` knows within one epoch: how far the sink is with each stream, and which
//! streams it can't export whole.

use std::collections::BTreeMap;

use crate::batch::{Batch, StreamId};
use crate::sink::{BatchReply, StreamPosition, StreamStatus};

/// A stream whose gatekeeper did not answer for so many rounds is reported incomplete.
pub(crate) const MAX_MISSED_ROUNDS: u32 = 12;

/// What a stream's gatekeeper last said.
#[derive(Clone, Copy, Debug)]
struct Observed {
    /// Thousandths of a unit not exported yet; `None`: it never answered this owner.
    pending_milli_units: Option<u64>,
    /// Rounds since it answered; 1 at the end of the round in which it did.
    rounds_ago: u32,
}

/// A hole between the sink and a gatekeeper: the batches between the two numbers are at neither.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchGap {
    /// The batch the sink takes next.
    pub expected: u64,
    /// The first one that the gatekeeper still has.
    pub offered: u64,
}

/// The progress of the export.
#[derive(Clone, Debug, Default)]
pub struct ExportProgress {
    epoch: u64,
    /// As the sink has them; `None`: it has not been asked in this epoch.
    sink_positions: Option<BTreeMap<StreamId, StreamPosition>>,
    gaps: BTreeMap<StreamId, BatchGap>,
    observed: BTreeMap<StreamId, Observed>,
    /// By stream, whether the sink was last told that it is complete.
    reported_complete: BTreeMap<StreamId, bool>,
}

impl ExportProgress {
    /// The owner acts in `epoch` from now on. What an earlier epoch knew is forgotten: another owner may have
    /// written since.
    pub fn begin_epoch(&mut self, epoch: u64) {
        if self.epoch != epoch {
            *self = ExportProgress { epoch, ..ExportProgress::default() };
        }
    }

    /// Whether the sink has said how far it is.
    pub fn has_sink_positions(&self) -> bool {
        self.sink_positions.is_some()
    }

    /// The sink said how far it is, and which streams it holds for incomplete.
    pub fn set_sink_positions(
        &mut self,
        positions: BTreeMap<StreamId, StreamPosition>,
        incomplete: Vec<StreamId>,
    ) {
        self.sink_positions = Some(positions);
        self.reported_complete.extend(incomplete.into_iter().map(|stream| (stream, false)));
    }

    /// The last batch of a stream that the sink has, 0 for none: the gatekeeper may delete all up to it. `None`:
    /// the sink has not been asked.
    pub fn stored_up_to(&self, stream: &StreamId) -> Option<u64> {
        let positions = self.sink_positions.as_ref()?;
        Some(positions.get(stream).map_or(0, |position| position.number))
    }

    /// The gap in a stream, where there is one.
    pub fn gap(&self, stream: &StreamId) -> Option<BatchGap> {
        self.gaps.get(stream).copied()
    }

    /// A gatekeeper answered: this is its stream, and so much of it is not exported yet.
    pub fn observe(&mut self, stream: &StreamId, pending_milli_units: u64) {
        let observed = Observed { pending_milli_units: Some(pending_milli_units), rounds_ago: 0 };
        self.observed.insert(stream.clone(), observed);
    }

    /// Every gatekeeper was asked once. Returns what the sink is to be told: streams that went unanswered for
    /// long, those whose gatekeeper has begun another directory, and those that are complete again.
    pub fn finish_round(&mut self) -> Vec<StreamStatus> {
        let Some(positions) = &self.sink_positions else { return Vec::new() };
        for observed in self.observed.values_mut() {
            observed.rounds_ago += 1;
        }
        for stream in positions.keys() {
            let never = Observed { pending_milli_units: None, rounds_ago: 1 };
            self.observed.entry(stream.clone()).or_insert(never);
        }
        self.observed.iter().filter_map(|(stream, observed)| self.changed_status(stream, *observed)).collect()
    }

    /// The status of a stream where it is another than the sink was told.
    fn changed_status(&self, stream: &StreamId, observed: Observed) -> Option<StreamStatus> {
        let was_complete = self.reported_complete.get(stream).copied().unwrap_or(true);
        let is_replaced = observed.rounds_ago > 1 && self.has_newer_directory(stream);
        let is_overdue = observed.rounds_ago > MAX_MISSED_ROUNDS;
        // A stream that this owner never heard of stays as the owner before it reported it.
        let is_known = observed.pending_milli_units.is_some() || was_complete;
        let complete = is_known && !is_overdue && !is_replaced;
        let reason = match (complete, is_replaced) {
            (true, _) => "heard again",
            (_, true) => "its gatekeeper has begun another folder",
            _ => "not heard",
        };
        (was_complete != complete).then(|| StreamStatus {
            stream: stream.clone(),
            complete,
            reason: reason.to_string(),
            last_pending_milli_units: observed.pending_milli_units,
        })
    }

    /// Whether the gatekeeper of `stream` answered in this round with another directory.
    fn has_newer_directory(&self, stream: &StreamId) -> bool {
        self.observed.iter().any(|(other, observed)| {
            other.gatekeeper == stream.gatekeeper
                && other.directory_id != stream.directory_id
                && observed.rounds_ago == 1
        })
    }

    /// The sink has stored a status.
    pub fn status_stored(&mut self, status: &StreamStatus) {
        self.reported_complete.insert(status.stream.clone(), status.complete);
    }

    /// Whether this batch is the one to be sent now. One that leaves a gap is not: the gap is kept and reported,
    /// as the gatekeeper deleted what lies between only because the sink once had it.
    pub fn is_next(&mut self, batch: &Batch) -> bool {
        let Some(stored) = self.stored_up_to(&batch.stream) else { return false };
        let expected = stored + 1;
        if batch.number > expected {
            let gap = BatchGap { expected, offered: batch.number };
            self.gaps.insert(batch.stream.clone(), gap);
            return false;
        }
        self.gaps.remove(&batch.stream);
        batch.number == expected
    }

    /// The sink replied to a batch. Returns whether the export goes on; if not, the sink must be asked again how
    /// far it is, or the caller owns the duty no longer.
    pub fn apply_reply(&mut self, batch: &Batch, reply: &BatchReply) -> bool {
        if !matches!(reply, BatchReply::Accepted { .. }) {
            self.sink_positions = None;
            return false;
        }
        if let Some(positions) = self.sink_positions.as_mut() {
            let position = positions.entry(batch.stream.clone()).or_default();
            position.number = position.number.max(batch.number);
        }
        true
    }
}
