use proptest::prelude::*;

use super::*;
use crate::swim_codec::parse_swim;

fn identity(name: &str) -> Identity {
    Identity {
        name: Name::new(name).expect("a name"),
        zone: Name::new("h").expect("a name"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        incarnation: Incarnation(4),
        run: 7,
    }
}

fn all_kinds() -> Vec<Packet<'static>> {
    let from = identity("g1");
    let reply = |response| Packet::JoinReply { from: identity("g2"), number: 5, response };
    vec![
        Packet::Swim(b"swim"),
        Packet::Probe { from: from.clone(), number: 1 },
        Packet::ProbeReply { from: from.clone(), number: 2 },
        Packet::Join { from: from.clone(), number: 3 },
        reply(JoinResponse::Accepted),
        reply(JoinResponse::StaleIncarnation(Incarnation(9))),
        reply(JoinResponse::NameTaken(from.addr)),
        reply(JoinResponse::Pending),
        reply(JoinResponse::ShutOut(ShutOutReason::new("does not hold what all hold"))),
        reply(JoinResponse::Full),
        Packet::Relay { to: from.name.clone(), swim: b"swim" },
        Packet::Relayed { from: from.name.clone(), swim: b"swim" },
        Packet::Suspected { suspect: identity("g2"), from, swim_incarnation: 3 },
        Packet::StaleIncarnation { identity: identity("g2"), known: Incarnation(8) },
        Packet::Notice { from: Name::new("g1").expect("a name"), notice: b"notice" },
    ]
}

#[test]
fn packets_decode_as_encoded_and_damaged_datagrams_are_rejected() {
    let fleet = FleetId::of(&Name::new("one").expect("a name"));
    let other = FleetId::of(&Name::new("two").expect("a name"));
    for packet in all_kinds() {
        let datagram = packet.encode(fleet);
        assert_eq!(Packet::decode(fleet, &datagram).as_ref(), Ok(&packet));
        assert_eq!(Packet::decode(other, &datagram), Err(DropReason::OtherFleet));
        let mut newer = datagram.clone();
        newer[0] = 2;
        assert_eq!(Packet::decode(fleet, &newer), Err(DropReason::UnsupportedVersion));
        for cut in 0..datagram.len() {
            assert!(Packet::decode(fleet, &datagram[..cut]).is_err(), "{packet:?} cut to {cut}");
        }
        for at in 10..datagram.len() {
            let mut flipped = datagram.clone();
            flipped[at] ^= 0x10;
            assert_eq!(Packet::decode(fleet, &flipped), Err(DropReason::BadChecksum), "{packet:?} at {at}");
        }
    }
}

/// The golden file has the datagrams of `all_kinds` in hexadecimal, one per line.
#[test]
fn datagrams_match_the_golden_file() {
    let path = format!("{}/tests/golden/datagrams.hex", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("golden file");
    let fleet = FleetId::of(&Name::new("one").expect("a name"));
    let hex =
        |packet: &Packet| packet.encode(fleet).iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    assert_eq!(all_kinds().iter().map(hex).collect::<Vec<_>>(), text.lines().collect::<Vec<_>>());
}

proptest! {
    /// Guards against panics on untrusted input, also with a valid header and checksum.
    #[test]
    fn any_bytes_do_not_panic(kind in 0u8..12, bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let fleet = FleetId::of(&Name::new("one").expect("a name"));
        prop_assert!(Packet::decode(fleet, &bytes).is_err());
        let mut datagram = Packet::Swim(&bytes).encode(fleet);
        datagram[1] = kind;
        let checksum = checksum(&datagram);
        datagram[10..14].copy_from_slice(&checksum.to_be_bytes());
        let _ = Packet::decode(fleet, &datagram);
        let _ = parse_swim(&bytes);
    }
}
