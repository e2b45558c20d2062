//! Answers on one client's connection, in whatever order they get ready, fail or never begin.

#![allow(clippy::too_many_lines, reason = "a story is told in one piece")]

use lynxstair::rng::Rng;
use lynxstair_proxy::pipeline::{AfterRequest, ResponsePipeline, Turn};

/// One request's way through a story.
#[derive(Clone, Copy, PartialEq)]
enum Stand {
    Working,
    Written,
    Ended,
}

/// Each story: requests are read, get ready in any order, are answered or not; the connection closes or is left at any
/// moment. What is written must be one answer for each request, in their order, none behind the last, and nothing
/// after a request that went without.
#[test]
fn responses_keep_the_order_of_requests() {
    let (mut broken, mut finished) = (0, 0);
    for seed in 1..4000u64 {
        let mut rng = Rng::new(seed);
        let mut pipeline = ResponsePipeline::default();
        let mut stands: Vec<Stand> = Vec::new();
        let mut written: Vec<u64> = Vec::new();
        let (mut over, mut is_closing, mut last) = (false, false, None);
        for _ in 0..60 {
            let pick = rng.next_u32() as usize;
            match pick % 12 {
                0..=3 if pipeline.accepts_requests() => {
                    let is_last = (pick / 12).is_multiple_of(9);
                    stands.push(Stand::Working);
                    assert_eq!(pipeline.on_request(is_last), stands.len() as u64);
                    if is_last {
                        last = Some(stands.len() as u64);
                    }
                }
                4..=9 if !stands.is_empty() => {
                    let at = pick / 12 % stands.len();
                    let number = at as u64 + 1;
                    match stands[at] {
                        Stand::Working if (pick / 1200).is_multiple_of(40) => {
                            // It ends without an answer: a panic, no room for it, a stream cut short.
                            stands[at] = Stand::Ended;
                            assert_eq!(pipeline.on_request_done(number), AfterRequest::Abort, "seed {seed}");
                            over = true;
                        }
                        Stand::Working if pipeline.turn(number) == Turn::Now => {
                            assert!(!over, "seed {seed}: behind the end");
                            let ends = pipeline.closes_after(number, is_closing);
                            assert!(!ends || number == stands.len() as u64 || last == Some(number));
                            pipeline.on_answered(number);
                            written.push(number);
                            stands[at] = Stand::Written;
                            if ends {
                                last = Some(number);
                            }
                        }
                        Stand::Written => {
                            stands[at] = Stand::Ended;
                            match pipeline.on_request_done(number) {
                                AfterRequest::Next(next) => assert_eq!(next, number + 1),
                                AfterRequest::Finish => {
                                    assert_eq!(
                                        (last, pipeline.is_done()),
                                        (Some(number), true),
                                        "seed {seed}"
                                    );
                                    finished += 1;
                                }
                                AfterRequest::Abort => assert!(over, "seed {seed}"),
                            }
                        }
                        _ => {}
                    }
                }
                10 if (pick / 12).is_multiple_of(6) => {
                    is_closing = true;
                    if (pick / 72).is_multiple_of(2) {
                        // The reader looks before another response is written.
                        pipeline.stop_reading();
                        if !over && written.len() < stands.len() {
                            last = last.or(Some(stands.len() as u64));
                            assert!(!pipeline.accepts_requests(), "seed {seed}: read behind the last");
                        }
                    }
                }
                11 if (pick / 12).is_multiple_of(30) => {
                    pipeline.on_disconnected();
                    over = true;
                }
                _ => {}
            }
            broken += usize::from(over);
            let in_order: Vec<u64> = (1..=written.len() as u64).collect();
            assert_eq!(written, in_order, "seed {seed}");
            assert!(last.is_none_or(|l| written.len() as u64 <= l), "seed {seed}: behind the last");
            if !over {
                assert_eq!(pipeline.unanswered(), (stands.len() - written.len()) as u64);
            }
        }
    }
    assert!(broken > 1000 && finished > 1000, "{broken} {finished}");
}

/// A client that was told that its connection stays may send at any time: what it sends must not be read and thrown away
/// (issue 49: a request that crossed the end of a long response, on a proxy that was closing).
#[test]
fn behind_a_response_that_keeps_the_connection_requests_are_still_answered() {
    let mut pipeline = ResponsePipeline::default();
    let long = pipeline.on_request(false);
    assert!(!pipeline.closes_after(long, false), "its head says that the connection stays");
    // Its body is still being relayed when the proxy begins to close.
    pipeline.stop_reading();
    assert!(pipeline.accepts_requests());
    let next = pipeline.on_request(false);
    pipeline.on_answered(long);
    assert_eq!(pipeline.on_request_done(long), AfterRequest::Next(next));
    assert!(pipeline.closes_after(next, true), "that one says that the connection ends");
    pipeline.on_answered(next);
    assert_eq!((pipeline.on_request_done(next), pipeline.is_done()), (AfterRequest::Finish, true));
}
