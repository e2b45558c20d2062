use lynxstair::types::{Span, Time};

use super::{DegradedReason, HealthChange, LocalHealth};
use crate::times::Times;

fn at(ms: u64) -> Time {
    Time::from_nanos(0) + Span::from_millis(1_000_000 + ms)
}

#[test]
fn awake_time_excludes_pauses() {
    let times = Times::default();
    let mut health = LocalHealth::new(at(0), true);
    assert_eq!(
        health.observe(at(100), Some(at(0)), &times),
        None,
        "a delay within the pause threshold is no pause"
    );
    assert_eq!(health.observe(at(30_000), Some(at(200)), &times), Some(Span::from_millis(29_800)));
    assert_eq!(health.awake_time(at(30_000)), at(200));
    assert_eq!(health.clock_time(at(200)), at(30_000));
    assert!(!health.is_isolated(at(30_000), &times), "no message could be received during the pause");
}

#[test]
fn only_replies_to_later_probes_end_the_degraded_state() {
    let mut health = LocalHealth::new(at(0), true);
    let degraded = Some(HealthChange::Degraded(DegradedReason::Paused));
    assert_eq!(health.degrade(at(5), DegradedReason::Paused, 7), degraded);
    assert_eq!(health.reply_received(at(6), 6), None);
    assert_eq!(health.degrade(at(7), DegradedReason::Paused, 9), None);
    assert_eq!(health.reply_received(at(8), 8), None, "reply to a probe from before the second pause");
    assert_eq!(health.reply_received(at(9), 9), Some(HealthChange::Recovered { since: at(5) }));
    assert_eq!(health.degraded(), None);
}

#[test]
fn disabled_local_health_detects_no_pause_and_no_isolation() {
    let times = Times::default();
    let mut health = LocalHealth::new(at(0), false);
    assert_eq!(health.observe(at(30_000), Some(at(200)), &times), None);
    assert!(!health.is_isolated(at(60_000), &times));
}
