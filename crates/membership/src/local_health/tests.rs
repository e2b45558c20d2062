use lynxstair::types::{Span, Time};

use super::{DegradedReason, DoubtChange, LocalHealth};
use crate::times::Times;

fn at(ms: u64) -> Time {
    Time::from_nanos(0) + Span::from_millis(1_000_000 + ms)
}

#[test]
fn a_pause_is_taken_off_the_clock() {
    let times = Times::default();
    let mut health = LocalHealth::new(at(0), true);
    assert_eq!(health.observe(at(100), Some(at(0)), &times), None, "a little late is usual");
    assert_eq!(health.observe(at(30_000), Some(at(200)), &times), Some(Span::from_millis(29_800)));
    assert_eq!(health.awake_time(at(30_000)), at(200));
    assert_eq!(health.clock_time(at(200)), at(30_000));
    assert!(!health.is_isolated(at(30_000), &times), "it could not have heard anybody");
}

#[test]
fn only_fresh_replies_end_a_doubt() {
    let mut health = LocalHealth::new(at(0), true);
    let began = Some(DoubtChange::Began(DegradedReason::Paused));
    assert_eq!(health.doubt(at(5), DegradedReason::Paused, 7), began);
    assert_eq!(health.reply_received(at(6), 6), None);
    assert_eq!(health.doubt(at(7), DegradedReason::Paused, 9), None);
    assert_eq!(health.reply_received(at(8), 8), None, "probed before it was paused again");
    assert_eq!(health.reply_received(at(9), 9), Some(DoubtChange::Ended { since: at(5) }));
    assert_eq!(health.doubting(), None);
}

#[test]
fn nothing_is_noticed_while_disabled() {
    let times = Times::default();
    let mut health = LocalHealth::new(at(0), false);
    assert_eq!(health.observe(at(30_000), Some(at(200)), &times), None);
    assert!(!health.is_isolated(at(60_000), &times));
}
