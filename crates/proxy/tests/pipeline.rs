//! Response order on one client connection, under random interleavings of completion, failure and close.

#![allow(clippy::too_many_lines, reason = "one simulation loop")]

use lynxstair::rng::Rng;
use lynxstair_proxy::pipeline::{AfterRequest, ResponsePipeline, Turn};

/// Model state of a request.
#[derive(Clone, Copy, PartialEq)]
enum ModelState {
    InFlight,
    Written,
    Ended,
}

/// Requests are read and finished in random order, and the connection closes or is lost at a random point.
/// Responses must follow request order, with none after the last one or after a request that ended without a
/// response.
#[test]
fn responses_keep_the_order_of_requests() {
    let (mut broken, mut finished) = (0, 0);
    for seed in 1..4000u64 {
        let mut rng = Rng::new(seed);
        let mut pipeline = ResponsePipeline::default();
        let mut requests: Vec<ModelState> = Vec::new();
        let mut written: Vec<u64> = Vec::new();
        let (mut has_ended, mut is_closing, mut last) = (false, false, None);
        for _ in 0..60 {
            let draw = rng.next_u32() as usize;
            match draw % 12 {
                0..=3 if pipeline.accepts_requests() => {
                    let is_last = (draw / 12).is_multiple_of(9);
                    requests.push(ModelState::InFlight);
                    assert_eq!(pipeline.on_request(is_last), requests.len() as u64);
                    if is_last {
                        last = Some(requests.len() as u64);
                    }
                }
                4..=9 if !requests.is_empty() => {
                    let at = draw / 12 % requests.len();
                    let number = at as u64 + 1;
                    match requests[at] {
                        ModelState::InFlight if (draw / 1200).is_multiple_of(40) => {
                            // The request ends without a response, for example by a panic.
                            requests[at] = ModelState::Ended;
                            assert_eq!(pipeline.on_request_done(number), AfterRequest::Abort, "seed {seed}");
                            has_ended = true;
                        }
                        ModelState::InFlight if pipeline.turn(number) == Turn::Now => {
                            assert!(!has_ended, "seed {seed}: turn after the end");
                            let ends = pipeline.closes_after(number, is_closing);
                            assert!(!ends || number == requests.len() as u64 || last == Some(number));
                            pipeline.on_answered(number);
                            written.push(number);
                            requests[at] = ModelState::Written;
                            if ends {
                                last = Some(number);
                            }
                        }
                        ModelState::Written => {
                            requests[at] = ModelState::Ended;
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
                                AfterRequest::Abort => assert!(has_ended, "seed {seed}"),
                            }
                        }
                        _ => {}
                    }
                }
                10 if (draw / 12).is_multiple_of(6) => {
                    is_closing = true;
                    if (draw / 72).is_multiple_of(2) {
                        // The reader runs before the next response is written.
                        pipeline.stop_reading();
                        if !has_ended && written.len() < requests.len() {
                            last = last.or(Some(requests.len() as u64));
                            assert!(!pipeline.accepts_requests(), "seed {seed}: reads after the last");
                        }
                    }
                }
                11 if (draw / 12).is_multiple_of(30) => {
                    pipeline.on_disconnected();
                    has_ended = true;
                }
                _ => {}
            }
            broken += usize::from(has_ended);
            let in_order: Vec<u64> = (1..=written.len() as u64).collect();
            assert_eq!(written, in_order, "seed {seed}");
            assert!(last.is_none_or(|l| written.len() as u64 <= l), "seed {seed}: response after the last");
            if !has_ended {
                assert_eq!(pipeline.unanswered(), (requests.len() - written.len()) as u64);
            }
        }
    }
    assert!(broken > 1000 && finished > 1000, "{broken} {finished}");
}

/// A client that was promised keep-alive may send at any time, so its next request must not be read and
/// discarded (issue 49: a request that crossed the end of a long response while the proxy was closing).
#[test]
fn requests_after_a_keep_alive_response_are_still_answered() {
    let mut pipeline = ResponsePipeline::default();
    let long = pipeline.on_request(false);
    assert!(!pipeline.closes_after(long, false), "keep-alive was announced");
    // The proxy starts to close while the body is still being relayed.
    pipeline.stop_reading();
    assert!(pipeline.accepts_requests());
    let next = pipeline.on_request(false);
    pipeline.on_answered(long);
    assert_eq!(pipeline.on_request_done(long), AfterRequest::Next(next));
    assert!(pipeline.closes_after(next, true), "this response announces the close");
    pipeline.on_answered(next);
    assert_eq!((pipeline.on_request_done(next), pipeline.is_done()), (AfterRequest::Finish, true));
}
