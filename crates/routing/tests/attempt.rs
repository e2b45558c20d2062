//! Checks all short sequences of attempt events: the result must not claim more than the events prove.

use lynxstair_routing::attempt::{
    Attempt, AttemptEnd, AttemptEvent, AttemptStep, ReplyHead, ReplyOwner, StopReason,
};
use lynxstair_routing::execution::Execution;

/// Reply heads with all combinations of their properties, for some statuses of each kind.
fn replies() -> Vec<ReplyHead> {
    let mut all = Vec::new();
    for owner in [ReplyOwner::Own, ReplyOwner::Other, ReplyOwner::Unidentified, ReplyOwner::Ambiguous] {
        for status in [100, 200, 302, 400, 404, 408, 421, 429, 500, 503, 504] {
            for bits in 0..16 {
                let bit = |n: u32| bits >> n & 1 == 1;
                all.push(ReplyHead {
                    owner,
                    status,
                    reports_not_run: bit(0),
                    is_sealed: bit(1),
                    is_encoded: bit(2),
                    allows_reuse: bit(3),
                });
            }
        }
    }
    all
}

/// Checks the result of an attempt against its events, independently of the state machine.
fn check(is_first: bool, events: &[AttemptEvent], end: AttemptEnd) {
    let sent_completely = events.contains(&AttemptEvent::Written { is_complete: true });
    let is_foreign = |m: &AttemptEvent| matches!(m, AttemptEvent::Reply(h) if h.status >= 200 && matches!(h.owner, ReplyOwner::Other | ReplyOwner::Unidentified));
    let last = events[events.len() - 1];
    let reply = if let AttemptEvent::Reply(head) = last { Some(head) } else { None };
    let own_reply = reply.filter(|h| h.owner == ReplyOwner::Own);
    let foreign_before = events[..events.len() - 1].iter().any(is_foreign);
    match end.execution {
        Execution::NeverRan => {
            // No byte of the request was sent, or the worker reported for this request, or for the only one
            // on the connection, that it has not run. Guards against a second run of a request that was sent
            // in part: a worker may begin before it has read the whole body (review, case 4).
            let reported_not_run = own_reply
                .is_some_and(|h| h.status == 421 || h.reports_not_run && [400, 429, 503].contains(&h.status));
            let is_only_request = reply.is_some_and(|h| {
                h.owner == ReplyOwner::Unidentified
                    && h.status == 400
                    && h.reports_not_run
                    && is_first
                    && !foreign_before
            });
            let is_unsent = !events.iter().any(|event| matches!(event, AttemptEvent::Written { .. }));
            assert!(reported_not_run || is_only_request || is_unsent, "{events:?}: {end:?}");
        }
        Execution::Ran | Execution::Failed => {
            let head = own_reply.unwrap_or_else(|| panic!("{events:?}: {end:?}"));
            assert!(!head.is_encoded && !head.reports_not_run && head.status >= 200, "{events:?}: {end:?}");
            assert!(head.is_sealed || !(200..300).contains(&head.status), "{events:?}: {end:?}");
            assert!(
                ![408, 421, 429, 503].contains(&head.status),
                "status means not run: {events:?}: {end:?}"
            );
            assert_eq!(end.execution == Execution::Failed, head.status >= 500, "{events:?}");
        }
        Execution::MayHaveRun => {}
    }
    if end.keep_connection {
        let allows_reuse = own_reply.is_some_and(|h| h.allows_reuse);
        assert!(allows_reuse && sent_completely && !foreign_before, "{events:?}: {end:?}");
    }
    if sent_completely && own_reply.is_none() && !matches!(last, AttemptEvent::Reply(_)) {
        assert_eq!(end.execution, Execution::MayHaveRun, "{events:?}");
    }
}

/// Extends a sequence of events with every possible next event. Returns the number of completed attempts.
fn check_sequences(
    is_first: bool,
    events: &mut Vec<AttemptEvent>,
    depth: usize,
    replies: &[ReplyHead],
) -> usize {
    let mut next: Vec<AttemptEvent> = replies.iter().map(|h| AttemptEvent::Reply(*h)).collect();
    next.push(AttemptEvent::MalformedReply);
    for reason in [StopReason::ConnectionLost, StopReason::ClientGone, StopReason::DeadlineReached] {
        next.push(AttemptEvent::Stopped(reason));
    }
    if !events.contains(&AttemptEvent::Written { is_complete: true }) {
        next.extend([false, true].map(|is_complete| AttemptEvent::Written { is_complete }));
    }
    let mut ends = 0;
    for event in next {
        // A worker can't reply before it has received anything.
        if events.is_empty() && matches!(event, AttemptEvent::Reply(_) | AttemptEvent::MalformedReply) {
            continue;
        }
        let mut attempt = Attempt::new(is_first);
        events.iter().for_each(|m| {
            attempt.on_event(*m);
        });
        events.push(event);
        match attempt.on_event(event) {
            AttemptStep::Ended(end) => {
                check(is_first, events, end);
                ends += 1;
            }
            _ if depth > 0 => ends += check_sequences(is_first, events, depth - 1, replies),
            _ => {}
        }
        events.pop();
    }
    ends
}

#[test]
fn result_claims_no_more_than_events_prove() {
    let replies = replies();
    for is_first in [true, false] {
        assert!(check_sequences(is_first, &mut Vec::new(), 2, &replies) > 10_000);
    }
}
