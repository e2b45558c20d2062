use lynxstair::types::{Span, Time};

use super::{Doubt, Health, Turn};
use crate::times::Times;

fn at(ms: u64) -> Time {
    Time::from_nanos(0) + Span::from_millis(1_000_000 + ms)
}

#[test]
fn standing_still_is_taken_off_the_clock() {
    let times = Times::default();
    let mut health = Health::new(at(0), true);
    assert_eq!(health.ran(at(100), Some(at(0)), &times), None, "a little late is usual");
    assert_eq!(health.ran(at(30_000), Some(at(200)), &times), Some(Span::from_millis(29_800)));
    assert_eq!(health.awake(at(30_000)), at(200));
    assert_eq!(health.clock(at(200)), at(30_000));
    assert!(!health.is_quiet(at(30_000), &times), "it could not have heard anybody");
}

#[test]
fn only_fresh_answers_end_a_doubt() {
    let mut health = Health::new(at(0), true);
    assert_eq!(health.doubt(at(5), Doubt::StoodStill, 7), Some(Turn::Began(Doubt::StoodStill)));
    assert_eq!(health.fresh(at(6), 6), None);
    assert_eq!(health.doubt(at(7), Doubt::StoodStill, 9), None);
    assert_eq!(health.fresh(at(8), 8), None, "asked before it stood still again");
    assert_eq!(health.fresh(at(9), 9), Some(Turn::Ended { since: at(5) }));
    assert_eq!(health.doubting(), None);
}

#[test]
fn a_broken_one_notices_nothing() {
    let times = Times::default();
    let mut health = Health::new(at(0), false);
    assert_eq!(health.ran(at(30_000), Some(at(200)), &times), None);
    assert!(!health.is_quiet(at(60_000), &times));
}
