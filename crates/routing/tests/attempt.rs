//! Every order in which a try can meet things, against what the protocol's page lets be said of it.

use lynxstair_routing::attempt::{End, Heard, Met, Step, Stop, Try, Whose};
use lynxstair_routing::execution::Verdict;

/// All answers that differ in what is judged.
fn answers() -> Vec<Heard> {
    let mut all = Vec::new();
    for whose in [Whose::Ours, Whose::Anothers, Whose::Nobodys, Whose::Unclear] {
        for status in [100, 200, 302, 400, 404, 408, 421, 429, 500, 503, 504] {
            for bits in 0..16 {
                let bit = |n: u32| bits >> n & 1 == 1;
                all.push(Heard {
                    whose,
                    status,
                    says_not_run: bit(0),
                    is_sealed: bit(1),
                    is_encoded: bit(2),
                    is_clean: bit(3),
                });
            }
        }
    }
    all
}

/// What the worker may have done, told by all that was met, without the room's own states.
fn check(is_first: bool, met: &[Met], end: End) {
    let whole_left = met.contains(&Met::Taken { all: true });
    let is_surplus = |m: &Met| matches!(m, Met::Answer(h) if h.status >= 200 && matches!(h.whose, Whose::Anothers | Whose::Nobodys));
    let last = met[met.len() - 1];
    let answer = if let Met::Answer(heard) = last { Some(heard) } else { None };
    let ours = answer.filter(|h| h.whose == Whose::Ours);
    let surplus_before = met[..met.len() - 1].iter().any(is_surplus);
    match end.verdict {
        Verdict::NeverRan => {
            // Its last byte never left and nothing of it was answered; or the worker says so: of it, or of the only
            // request that it can mean.
            let says_so = ours
                .is_some_and(|h| h.status == 421 || h.says_not_run && [400, 429, 503].contains(&h.status));
            let means_it = answer.is_some_and(|h| {
                h.whose == Whose::Nobodys && h.status == 400 && h.says_not_run && is_first && !surplus_before
            });
            let is_begun = matches!(last, Met::Garbled | Met::Answer(_) | Met::Stopped { in_part: true, .. });
            let unsent = !whole_left && (!is_begun || !met.iter().any(|m| matches!(m, Met::Taken { .. })));
            assert!(says_so || means_it || unsent, "{met:?}: {end:?}");
        }
        Verdict::Ran | Verdict::Failed => {
            let heard = ours.unwrap_or_else(|| panic!("{met:?}: {end:?}"));
            assert!(!heard.is_encoded && !heard.says_not_run && heard.status >= 200, "{met:?}: {end:?}");
            assert!(heard.is_sealed || !(200..300).contains(&heard.status), "{met:?}: {end:?}");
            assert!(![408, 421, 429, 503].contains(&heard.status), "a promise of ours: {met:?}: {end:?}");
            assert_eq!(end.verdict == Verdict::Failed, heard.status >= 500, "{met:?}");
        }
        Verdict::MayHaveRun => {}
    }
    if end.keep {
        let clean = ours.is_some_and(|h| h.is_clean);
        assert!(clean && whole_left && !surplus_before, "{met:?}: {end:?}");
    }
    if whole_left && ours.is_none() && !matches!(last, Met::Answer(_)) {
        assert_eq!(end.verdict, Verdict::MayHaveRun, "{met:?}");
    }
}

/// Goes on from what was met so far, whatever comes next; the number of ends seen.
fn play(is_first: bool, met: &mut Vec<Met>, deep: usize, answers: &[Heard]) -> usize {
    let mut next: Vec<Met> = answers.iter().map(|h| Met::Answer(*h)).collect();
    next.push(Met::Garbled);
    for why in [Stop::Lost, Stop::ClientGone, Stop::TimeUp] {
        next.extend([false, true].map(|in_part| Met::Stopped { why, in_part }));
    }
    if !met.contains(&Met::Taken { all: true }) {
        next.extend([false, true].map(|all| Met::Taken { all }));
    }
    let mut ends = 0;
    for one in next {
        // Nothing is answered before something was handed over.
        if met.is_empty() && matches!(one, Met::Answer(_) | Met::Garbled) {
            continue;
        }
        let mut this = Try::begin(is_first);
        met.iter().for_each(|m| {
            this.step(*m);
        });
        met.push(one);
        match this.step(one) {
            Step::Over(end) => {
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
fn whatever_is_met_no_more_is_said_than_is_known() {
    let answers = answers();
    for is_first in [true, false] {
        assert!(play(is_first, &mut Vec::new(), 2, &answers) > 10_000);
    }
}
