use lynxstair::types::{RequestId, Time};

use lynxstair_settings::RequestBounds;

use super::{IDLE_TIME, Stage, State, is_over, weight};
use lynxstair_net::http::{Bad, Extent};

fn at(s: u64) -> Time {
    Time::from_nanos(s * 1_000_000_000)
}

#[test]
fn connections_that_end() {
    use Stage::{Ending, Waiting};
    let serving = Stage::Serving(RequestId(1), Extent::default());
    // The stage, since second 100, of a connection opened then that brought an request or did not; when a
    // message began; whether bytes are unsent; the second; is it over.
    let cases = [
        (Waiting, true, None, false, 109, false),
        (Waiting, true, None, false, 111, true),
        // A message that begins after a long rest has its own time.
        (Waiting, true, Some(109), false, 110, false),
        (Waiting, true, Some(109), false, 111, false),
        (Waiting, true, Some(109), false, 112, true),
        // Nothing, or half a message, on a new connection.
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
    for (stage, has_asked, part, has_unsent, now, wanted) in cases {
        let case = format!("{stage:?} {has_asked} {part:?} {has_unsent} {now}");
        let state = State { stage, has_asked, part_since: part.map(at), ..State::new(at(100)) };
        assert_eq!(is_over(&state, has_unsent, at(100), IDLE_TIME, at(now)), wanted, "{case}");
    }
}

#[test]
fn weights() {
    let bad = Err(Bad(400, "bad weight"));
    let bounds = RequestBounds { gatekeepers: 3, units: 4.0, operations: vec![] };
    let cases = [
        ("units=2,spread=3,first=1", Ok((2.0, 3.0))),
        (" spread = 3 , units = 2.5, more=x", Ok((2.5, 3.0))),
        ("units=2", Ok((2.0, f32::NAN))),
        ("", Ok((f32::NAN, f32::NAN))),
        ("units=4,spread=1,first=0", Ok((4.0, 1.0))),
        ("units=", bad),
        ("units=NaN", bad),
        ("units=inf", bad),
        ("units=0", bad),
        ("units=-40", bad),
        ("units=4.1", bad),
        ("units=1,units=2", bad),
        ("spread=-1", bad),
        ("spread=0", bad),
        ("spread=+2", bad),
        ("spread=2.5", bad),
        ("spread=4", bad),
        ("spread=99999999999999999999", bad),
        ("first=-1", bad),
        ("first=x", bad),
        ("first=3", bad),
    ];
    for (text, wanted) in cases {
        assert_eq!(format!("{:?}", weight(text, &bounds)), format!("{wanted:?}"), "{text}");
    }
}
