use super::*;
use crate::progress::MAX_MISSED_ROUNDS;

use std::collections::BTreeMap;

fn stream() -> StreamId {
    StreamId { gatekeeper: "g1".to_string(), directory_id: 7 }
}

fn segment(milli_units: &[u32]) -> Vec<u8> {
    let record = |m: &u32| UsageRecord { tenant: 5, operation: 1, window: 9, milli_units: *m }.to_bytes();
    milli_units.iter().flat_map(record).collect()
}

#[test]
fn segment_is_summed_and_damaged_records_are_counted() {
    let mut bytes = segment(&[1_000, 2_000]);
    bytes.extend(UsageRecord { tenant: 6, operation: 0, window: 9, milli_units: 500 }.to_bytes());
    let whole = Batch::from_segment(stream(), 1, &bytes);
    assert_eq!((whole.sums.len(), whole.milli_units(), whole.unreadable_records), (2, 3_500, 0));
    // A partial record at the end is ignored; a damaged record is counted.
    assert_eq!(Batch::from_segment(stream(), 1, &bytes[..bytes.len() - 1]).milli_units(), 3_000);
    bytes[20] ^= 1;
    let damaged = Batch::from_segment(stream(), 1, &bytes);
    assert_eq!((damaged.milli_units(), damaged.unreadable_records), (2_500, 1));
    assert_ne!(damaged.checksum(), whole.checksum());
}

#[test]
fn sink_stores_each_batch_once_and_in_order() {
    let batch = |number, milli: u32| Batch::from_segment(stream(), number, &segment(&[milli]));
    let accepted = |already_stored| BatchReply::Accepted { already_stored };
    let steps = [
        (4, batch(1, 10), accepted(false)),
        (4, batch(1, 10), accepted(true)),
        (4, batch(1, 11), BatchReply::Conflict),
        (4, batch(3, 10), BatchReply::Gap { expected: 2 }),
        (3, batch(2, 10), BatchReply::Fenced { highest_epoch: 4 }),
        (5, batch(2, 10), accepted(false)),
        (4, batch(3, 10), BatchReply::Fenced { highest_epoch: 5 }),
        (5, batch(1, 10), accepted(true)),
    ];
    let mut sink = SinkState::default();
    for (step, (epoch, batch, expected)) in steps.iter().enumerate() {
        let reply = sink.check(*epoch, batch);
        assert_eq!(reply, *expected, "step {step}");
        if reply == accepted(false) {
            sink.store(*epoch, batch);
        }
    }
    assert_eq!(sink.positions[&stream()].milli_units, 20);
    assert!(!sink.observe_epoch(4) && sink.observe_epoch(6) && !sink.observe_epoch(5));
}

/// A stream whose gatekeeper does not answer is reported incomplete once after several rounds, and complete
/// once when it answers again. If the gatekeeper has a new directory, the old stream is reported at once.
#[test]
fn incomplete_streams_are_reported_once() {
    let other = StreamId { gatekeeper: "g1".to_string(), directory_id: 8 };
    let mut progress = ExportProgress::default();
    progress.begin_epoch(1);
    progress.set_sink_positions(BTreeMap::new(), Vec::new());
    let reported = |progress: &mut ExportProgress| -> Vec<(u64, bool, Option<u64>)> {
        let statuses = progress.finish_round();
        statuses.iter().for_each(|status| progress.status_stored(status));
        let parts = |s: StreamStatus| (s.stream.directory_id, s.complete, s.last_pending_milli_units);
        statuses.into_iter().map(parts).collect()
    };
    progress.observe(&stream(), 500);
    for round in 1..=MAX_MISSED_ROUNDS {
        assert_eq!(reported(&mut progress), [], "round {round}");
    }
    assert_eq!(reported(&mut progress), [(7, false, Some(500))]);
    assert_eq!(reported(&mut progress), []);
    progress.observe(&stream(), 700);
    assert_eq!(reported(&mut progress), [(7, true, Some(700))]);
    progress.observe(&other, 0);
    assert_eq!(reported(&mut progress), [(7, false, Some(700))]);
    progress.observe(&other, 0);
    assert_eq!(reported(&mut progress), []);
    // In the next epoch the gatekeeper has not answered, and the sink already has the stream as incomplete.
    progress.begin_epoch(2);
    progress.set_sink_positions([(stream(), StreamPosition::default())].into(), vec![stream()]);
    progress.observe(&other, 0);
    assert_eq!(reported(&mut progress), []);
}

#[test]
fn owner_sends_nothing_before_the_sink_positions_are_known() {
    let batch = |number| Batch::from_segment(stream(), number, &segment(&[10]));
    let mut progress = ExportProgress::default();
    progress.begin_epoch(3);
    assert!(!progress.is_next(&batch(1)) && progress.stored_up_to(&stream()).is_none());
    progress.set_sink_positions(BTreeMap::new(), Vec::new());
    assert!(progress.is_next(&batch(1)));
    assert!(progress.apply_reply(&batch(1), &BatchReply::Accepted { already_stored: false }));
    assert!(!progress.is_next(&batch(1)) && progress.is_next(&batch(2)));
    // The gap remains until the missing batch is offered.
    assert!(!progress.is_next(&batch(4)));
    assert_eq!(progress.gap(&stream()), Some(BatchGap { expected: 2, offered: 4 }));
    assert!(progress.is_next(&batch(2)) && progress.gap(&stream()).is_none());
    // A reply other than accepted, and a new epoch, discard the positions of the sink.
    let fenced = BatchReply::Fenced { highest_epoch: 9 };
    assert!(!progress.apply_reply(&batch(2), &fenced) && !progress.has_sink_positions());
    progress.set_sink_positions(BTreeMap::new(), Vec::new());
    progress.begin_epoch(4);
    assert!(!progress.has_sink_positions());
}
