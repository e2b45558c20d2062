use proptest::prelude::*;

use super::*;

fn ident(name: &str) -> Ident {
    Ident {
        name: Name::new(name).expect("a name"),
        hall: Name::new("h").expect("a name"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        incarnation: Incarnation(4),
        run: 7,
    }
}

fn all_kinds() -> Vec<Ours<'static>> {
    let from = ident("g1");
    let answer = |verdict| Ours::Answer { from: ident("g2"), number: 5, verdict };
    vec![
        Ours::Swim(b"swim"),
        Ours::Hello { from: from.clone(), number: 1 },
        Ours::Hi { from: from.clone(), number: 2 },
        Ours::Join { from: from.clone(), number: 3 },
        answer(Verdict::Welcome),
        answer(Verdict::Behind(Incarnation(9))),
        answer(Verdict::Taken(from.addr)),
        answer(Verdict::Wait),
        answer(Verdict::ShutOut(Reason::new("does not hold what all hold"))),
        answer(Verdict::Full),
        Ours::Relay { to: from.name.clone(), swim: b"swim" },
        Ours::Relayed { from: from.name.clone(), swim: b"swim" },
        Ours::Accused { you: ident("g2"), from, objection: 3 },
        Ours::Behind { you: ident("g2"), held: Incarnation(8) },
        Ours::Told { from: Name::new("g1").expect("a name"), notice: b"notice" },
    ]
}

#[test]
fn all_kinds_come_back() {
    let fleet = FleetId::of(&Name::new("one").expect("a name"));
    let other = FleetId::of(&Name::new("two").expect("a name"));
    for ours in all_kinds() {
        let sealed = seal(fleet, &ours);
        assert_eq!(open(fleet, &sealed).as_ref(), Ok(&ours));
        assert_eq!(open(other, &sealed), Err(Dropped::Fleet));
        let mut newer = sealed.clone();
        newer[0] = 2;
        assert_eq!(open(fleet, &newer), Err(Dropped::Version));
        for cut in 0..sealed.len() {
            assert!(open(fleet, &sealed[..cut]).is_err(), "{ours:?} cut to {cut}");
        }
        for at in 10..sealed.len() {
            let mut flipped = sealed.clone();
            flipped[at] ^= 0x10;
            assert_eq!(open(fleet, &flipped), Err(Dropped::Checksum), "{ours:?} at {at}");
        }
    }
}

proptest! {
    /// Bytes of any kind are dropped for a reason, also where their checksum is right.
    #[test]
    fn no_bytes_do_harm(kind in 0u8..12, bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let fleet = FleetId::of(&Name::new("one").expect("a name"));
        prop_assert!(open(fleet, &bytes).is_err());
        let mut sealed = seal(fleet, &Ours::Swim(&bytes));
        sealed[1] = kind;
        let sum = checksum(&sealed);
        sealed[10..14].copy_from_slice(&sum.to_be_bytes());
        let _ = open(fleet, &sealed);
        let _ = look(&bytes);
    }
}
