//! The names and forms that messages have between processes: files that the build of 2026-12-02 wrote, read and written
//! again. A field or variant that is renamed keeps its stored name. `WRITE_GOLDEN=1` writes files that are missing.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use lynxstair_protocol::consensus::{LogId, Member, Message, State};
use lynxstair_protocol::frames;
use lynxstair_protocol::messages::{
    Bytes, Count, Down, Edge, Life, Ping, Readiness, Share, Sighting, Standing, Up,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A value's frame equals the stored one, and the stored one reads as the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, value: &T) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.cbor"));
    let mut written = Vec::new();
    frames::put(value, &mut written);
    if !path.exists() && std::env::var_os("WRITE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("made");
        std::fs::write(&path, &written).expect("written");
    }
    let stored = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(written, stored, "{name}: written otherwise than it is stored");
    let (read, length) = frames::take::<T>(&stored).expect("a frame of ours").expect("a whole frame");
    assert_eq!((&read, length), (value, stored.len()), "{name}");
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 8383))
}

fn edge() -> Edge {
    Edge {
        node: "edge-1".into(),
        zone: "zone-1".into(),
        region: "region-1".into(),
        front: address(7),
        life: 77,
    }
}

fn life(standing: Standing) -> Life {
    Life {
        id: "i-1".into(),
        service: "s".into(),
        address: address(9),
        zone: "zone-1".into(),
        capacity: 6,
        standing,
        cold_ms: 1500,
        seq: 12,
        heard_ms: 250,
    }
}

fn ping(readiness: Readiness, holds: Option<Vec<(String, f32)>>) -> Ping {
    let count = Count { tenant: "t".into(), passed: 5, refused: 2, ago_ms: 30 };
    Ping { clock: 123_456_789, have: 4, readiness, got: 3, counts: vec![count], holds }
}

fn state() -> State {
    State {
        voters: vec![Member { node: address(1), disk: 0 }, Member { node: address(2), disk: 0xfeed }],
        outgoing: Some(Member { node: address(3), disk: 5 }),
        book: Bytes(Arc::new(vec![1, 2, 3])),
    }
}

#[test]
fn messages_of_consensus_keep_their_stored_names() {
    let last = LogId { term: 4, index: 9 };
    let all = [
        ("request-vote", Message::RequestVote { term: 5, last, pre: true }),
        ("vote-reply", Message::VoteReply { term: 5, granted: true, pre: false, disk: 8 }),
        (
            "append",
            Message::Append {
                term: 5,
                round: 6,
                last,
                state: Some(state()),
                committed: LogId { term: 4, index: 8 },
                echo: 99,
                fresh: Some(7),
            },
        ),
        ("append-reply", Message::AppendReply { term: 5, round: 6, stored: last, disk: 8, clock: 98 }),
        ("timeout-now", Message::TimeoutNow { term: 5 }),
        ("leaving", Message::Leaving { disk: 8 }),
    ];
    for (name, message) in all {
        check(&format!("consensus-{name}"), &Up::Agreement(message));
    }
}

#[test]
fn messages_to_controllers_keep_their_stored_names() {
    let sighting = |readiness| Sighting { edge: edge(), readiness };
    check("to-controller-hello", &Up::Hello { edge: edge(), lives: true });
    check("to-controller-ping", &Up::Ping(ping(Readiness::Ready, Some(vec![("t".into(), 0.25)]))));
    check("to-controller-ping-stale", &Up::Ping(ping(Readiness::Stale, None)));
    check("to-controller-core", &Up::Core { from: address(1), hears: true, others: vec![address(2)] });
    let all = [Readiness::Ready, Readiness::Stale, Readiness::Starting, Readiness::Leaving, Readiness::Gone];
    let sightings = all.map(sighting).to_vec();
    check("to-controller-sightings", &Up::Sightings { sightings, whole: true, has_gathered: false });
    let all = [Standing::Ready, Standing::Draining, Standing::Silent, Standing::Gone];
    check("to-controller-heard", &Up::Heard(all.map(life).to_vec()));
}

#[test]
fn messages_to_proxies_keep_their_stored_names() {
    let share = Share { tenant: "t".into(), part: 0.5, closed_ms: 900, tight_ms: 5900 };
    check("to-proxy-book", &Down::Book { index: 4, state: Bytes(Arc::new(vec![4, 5])) });
    check("to-proxy-lives", &Down::Lives { lives: vec![life(Standing::Ready)], whole: false });
    check("to-proxy-pong", &Down::Pong { clock: 123_456_789, index: 4, fresh: Some(15), leads: true });
    check("to-proxy-shares", &Down::Shares { number: 3, shares: vec![share] });
    check("to-proxy-zones", &Down::Zones(vec![("zone-1".into(), 4)]));
    check("to-proxy-huts", &Down::Huts { huts: vec![address(1), address(2)], whole: true });
}
