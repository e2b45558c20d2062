//! Every order in which a try can meet things, against what the protocol's page lets be said of it.

use lynxstair_routing::attempt::{
    Attempt, AttemptEnd, AttemptEvent, AttemptStep, ReplyHead, ReplyOwner, StopReason,
};
use lynxstair_routing::execution::Execution;

/// All answers that differ in what is judged.
fn answers() -> Vec<ReplyHead> {
    let mut all = Vec::new();
    for whose in [ReplyOwner::Own, ReplyOwner::Other, ReplyOwner::Unidentified, ReplyOwner::Ambiguous] {
        for status in [100, 200, 302, 400, 404, 408, 421, 429, 500, 503, 504] {
            for bits in 0..16 {
                let bit = |n: u32| bits >> n & 1 == 1;
                all.push(ReplyHead {
                    owner: whose,
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

/// What the worker may have done, told by all that was met, without the room's own states.
fn check(is_first: bool, met: &[AttemptEvent], end: AttemptEnd) {
    let whole_left = met.contains(&AttemptEvent::Written { is_complete: true });
    let is_surplus = |m: &AttemptEvent| matches!(m, AttemptEvent::Reply(h) if h.status >= 200 && matches!(h.owner, ReplyOwner::Other | ReplyOwner::Unidentified));
    let last = met[met.len() - 1];
    let answer = if let AttemptEvent::Reply(heard) = last { Some(heard) } else { None };
    let ours = answer.filter(|h| h.owner == ReplyOwner::Own);
    let surplus_before = met[..met.len() - 1].iter().any(is_surplus);
    match end.execution {
        Execution::NeverRan => {
            // Its last byte never left and nothing of it was answered; or the worker says so: of it, or of the only
            // request that it can mean.
            let says_so = ours
                .is_some_and(|h| h.status == 421 || h.reports_not_run && [400, 429, 503].contains(&h.status));
            let means_it = answer.is_some_and(|h| {
                h.owner == ReplyOwner::Unidentified
                    && h.status == 400
                    && h.reports_not_run
                    && is_first
                    && !surplus_before
            });
            let is_begun = matches!(
                last,
                AttemptEvent::MalformedReply
                    | AttemptEvent::Reply(_)
                    | AttemptEvent::Stopped { has_partial_reply: true, .. }
            );
            let unsent =
                !whole_left && (!is_begun || !met.iter().any(|m| matches!(m, AttemptEvent::Written { .. })));
            assert!(says_so || means_it || unsent, "{met:?}: {end:?}");
        }
        Execution::Ran | Execution::Failed => {
            let heard = ours.unwrap_or_else(|| panic!("{met:?}: {end:?}"));
            assert!(!heard.is_encoded && !heard.reports_not_run && heard.status >= 200, "{met:?}: {end:?}");
            assert!(heard.is_sealed || !(200..300).contains(&heard.status), "{met:?}: {end:?}");
            assert!(![408, 421, 429, 503].contains(&heard.status), "a promise of ours: {met:?}: {end:?}");
            assert_eq!(end.execution == Execution::Failed, heard.status >= 500, "{met:?}");
        }
        Execution::MayHaveRun => {}
    }
    if end.keep_connection {
        let clean = ours.is_some_and(|h| h.allows_reuse);
        assert!(clean && whole_left && !surplus_before, "{met:?}: {end:?}");
    }
    if whole_left && ours.is_none() && !matches!(last, AttemptEvent::Reply(_)) {
        assert_eq!(end.execution, Execution::MayHaveRun, "{met:?}");
    }
}

/// Goes on from what was met so far, whatever comes next; the number of ends seen.
fn play(is_first: bool, met: &mut Vec<AttemptEvent>, deep: usize, answers: &[ReplyHead]) -> usize {
    let mut next: Vec<AttemptEvent> = answers.iter().map(|h| AttemptEvent::Reply(*h)).collect();
    next.push(AttemptEvent::MalformedReply);
    for why in [StopReason::ConnectionLost, StopReason::ClientGone, StopReason::DeadlineReached] {
        next.extend(
            [false, true].map(|in_part| AttemptEvent::Stopped { reason: why, has_partial_reply: in_part }),
        );
    }
    if !met.contains(&AttemptEvent::Written { is_complete: true }) {
        next.extend([false, true].map(|is_complete| AttemptEvent::Written { is_complete }));
    }
    let mut ends = 0;
    for one in next {
        // Nothing is answered before something was handed over.
        if met.is_empty() && matches!(one, AttemptEvent::Reply(_) | AttemptEvent::MalformedReply) {
            continue;
        }
        let mut this = Attempt::new(is_first);
        met.iter().for_each(|m| {
            this.on_event(*m);
        });
        met.push(one);
        match this.on_event(one) {
            AttemptStep::Ended(end) => {
                check(is_first, met, end);
                ends += 1;
            }
            _ if deep > 0 => ends += play(is_first, met, deep - 1, answers),
            _ => {}
        }
        met.pop();
    }
    ends
}

#[test]
fn no_more_is_claimed_than_is_known() {
    let answers = answers();
    for is_first in [true, false] {
        assert!(play(is_first, &mut Vec::new(), 2, &answers) > 10_000);
    }
}
