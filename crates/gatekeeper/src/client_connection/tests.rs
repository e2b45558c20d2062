use lynxstair::types::{RequestId, Span, Time};
use lynxstair_net::http::Extent;

use super::{Stage, State, is_expired};

const IDLE_TIMEOUT: Span = Span::from_millis(10_000);

fn at(s: u64) -> Time {
    Time::from_nanos(s * 1_000_000_000)
}

#[test]
fn connection_expiry_by_stage() {
    use Stage::{Ending, Waiting};
    let serving = Stage::Serving(RequestId(1), Extent::default());
    // Stage, `has_sent_request`, start of an incomplete message, unsent bytes, current time, and whether the
    // connection has expired. The connection was opened and entered the stage at second 100.
    let cases = [
        (Waiting, true, None, false, 109, false),
        (Waiting, true, None, false, 111, true),
        // A message that starts after a long idle time has its own time limit.
        (Waiting, true, Some(109), false, 110, false),
        (Waiting, true, Some(109), false, 111, false),
        (Waiting, true, Some(109), false, 112, true),
        // No message, or an incomplete one, on a new connection.
        (Waiting, false, None, false, 102, false),
        (Waiting, false, None, false, 103, true),
        (Waiting, false, Some(101), false, 102, false),
        (Waiting, false, Some(102), false, 103, true),
        (Waiting, true, None, true, 106, true),
        (serving.clone(), true, None, false, 900, false),
        (serving, true, None, true, 900, false),
        (Ending, false, None, false, 101, false),
        (Ending, false, None, false, 102, true),
        (Ending, false, None, true, 104, false),
        (Ending, false, None, true, 106, true),
    ];
    for (stage, has_sent_request, partial_since, has_unsent, now, wanted) in cases {
        let case = format!("{stage:?} {has_sent_request} {partial_since:?} {has_unsent} {now}");
        let state =
            State { stage, has_sent_request, partial_since: partial_since.map(at), ..State::new(at(100)) };
        assert_eq!(is_expired(&state, has_unsent, at(100), IDLE_TIMEOUT, at(now)), wanted, "{case}");
    }
}
