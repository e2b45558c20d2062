//! Progress of the owner of the duty `export` within one epoch: the position of the sink in each stream,
//! and the streams that can't be exported completely.

use std::collections::BTreeMap;

use crate::batch::{Batch, StreamId};
use crate::sink::{BatchReply, StreamPosition, StreamStatus};

/// Number of rounds without an answer of the gatekeeper after which a stream is reported incomplete.
pub(crate) const MAX_MISSED_ROUNDS: u32 = 12;

/// Last answer of the gatekeeper of a stream.
#[derive(Clone, Copy, Debug)]
struct GatekeeperAnswer {
    /// Usage not exported yet, in thousandths of a unit; `None` if it never answered this owner.
    pending_milli_units: Option<u64>,
    /// Rounds since the answer; 1 at the end of the round in which it was received.
    rounds_ago: u32,
}

/// Missing batches: those from `expected` up to but not including `offered` are neither at the sink nor at
/// the gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchGap {
    /// Number of the next batch that the sink accepts.
    pub expected: u64,
    /// Number of the first batch that the gatekeeper still has.
    pub offered: u64,
}

/// Progress of the export.
#[derive(Clone, Debug, Default)]
pub struct ExportProgress {
    epoch: u64,
    /// Positions of the sink, by stream; `None` if they have to be requested.
    sink_positions: Option<BTreeMap<StreamId, StreamPosition>>,
    gaps: BTreeMap<StreamId, BatchGap>,
    answers: BTreeMap<StreamId, GatekeeperAnswer>,
    /// Last status stored by the sink, by stream: `true` if complete.
    reported_complete: BTreeMap<StreamId, bool>,
}

impl ExportProgress {
    /// Starts an epoch. Discards the progress of an earlier epoch, since another owner may have written to
    /// the sink in the meantime.
    pub fn begin_epoch(&mut self, epoch: u64) {
        if self.epoch != epoch {
            *self = ExportProgress { epoch, ..ExportProgress::default() };
        }
    }

    /// Returns `true` if the positions of the sink are known.
    pub fn has_sink_positions(&self) -> bool {
        self.sink_positions.is_some()
    }

    /// Sets the positions and the incomplete streams that the sink reported.
    pub fn set_sink_positions(
        &mut self,
        positions: BTreeMap<StreamId, StreamPosition>,
        incomplete: Vec<StreamId>,
    ) {
        self.sink_positions = Some(positions);
        self.reported_complete.extend(incomplete.into_iter().map(|stream| (stream, false)));
    }

    /// Returns the number of the last batch of a stream that the sink has stored, 0 if it has none, or
    /// `None` if the positions of the sink are not known. The gatekeeper may delete all batches up to it.
    pub fn stored_up_to(&self, stream: &StreamId) -> Option<u64> {
        let positions = self.sink_positions.as_ref()?;
        Some(positions.get(stream).map_or(0, |position| position.number))
    }

    /// Returns the gap in a stream, if there is one.
    pub fn gap(&self, stream: &StreamId) -> Option<BatchGap> {
        self.gaps.get(stream).copied()
    }

    /// Records the answer of a gatekeeper: its stream and the usage that is not exported yet.
    pub fn observe(&mut self, stream: &StreamId, pending_milli_units: u64) {
        let answer = GatekeeperAnswer { pending_milli_units: Some(pending_milli_units), rounds_ago: 0 };
        self.answers.insert(stream.clone(), answer);
    }

    /// Called after each gatekeeper was asked once. Returns the statuses to send to the sink: streams whose
    /// gatekeeper has not answered for too long or has started a new directory, and streams that are
    /// complete again.
    pub fn finish_round(&mut self) -> Vec<StreamStatus> {
        let Some(positions) = &self.sink_positions else { return Vec::new() };
        for answer in self.answers.values_mut() {
            answer.rounds_ago += 1;
        }
        for stream in positions.keys() {
            let no_answer = GatekeeperAnswer { pending_milli_units: None, rounds_ago: 1 };
            self.answers.entry(stream.clone()).or_insert(no_answer);
        }
        self.answers.iter().filter_map(|(stream, answer)| self.changed_status(stream, *answer)).collect()
    }

    /// Returns the status of a stream if it differs from the one stored by the sink.
    fn changed_status(&self, stream: &StreamId, answer: GatekeeperAnswer) -> Option<StreamStatus> {
        let was_complete = self.reported_complete.get(stream).copied().unwrap_or(true);
        let is_replaced = answer.rounds_ago > 1 && self.has_newer_directory(stream);
        let is_overdue = answer.rounds_ago > MAX_MISSED_ROUNDS;
        // A stream without any answer in this epoch keeps the status that an earlier owner reported.
        let is_known = answer.pending_milli_units.is_some() || was_complete;
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
            last_pending_milli_units: answer.pending_milli_units,
        })
    }

    /// Returns `true` if the gatekeeper of `stream` answered in this round with another directory.
    fn has_newer_directory(&self, stream: &StreamId) -> bool {
        self.answers.iter().any(|(other, answer)| {
            other.gatekeeper == stream.gatekeeper
                && other.directory_id != stream.directory_id
                && answer.rounds_ago == 1
        })
    }

    /// Called when the sink has stored a status.
    pub fn status_stored(&mut self, status: &StreamStatus) {
        self.reported_complete.insert(status.stream.clone(), status.complete);
    }

    /// Returns `true` if this batch is the next one to send. A batch that would leave a gap is not sent;
    /// the gap is recorded. It means that the sink lost batches, since a gatekeeper deletes only batches
    /// that the sink had stored.
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

    /// Handles the reply of the sink to a batch. Returns `false` if it was not accepted: the positions of
    /// the sink must be requested again, or the caller does not own the duty any more.
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
