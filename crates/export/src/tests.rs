use super::*;

fn stream() -> Stream {
    Stream { gatekeeper: "g1".to_string(), folder: 7 }
}

fn segment(milli: &[u32]) -> Vec<u8> {
    let one = |m: &u32| Use { customer: 5, operation: 1, window: 9, milli: *m }.written();
    milli.iter().flat_map(one).collect()
}

#[test]
fn uses_and_batches() {
    let mut bytes = segment(&[1_000, 2_000]);
    bytes.extend(Use { customer: 6, operation: 0, window: 9, milli: 500 }.written());
    let whole = Batch::of(stream(), 1, &bytes);
    assert_eq!((whole.sums.len(), whole.milli(), whole.unread), (2, 3_500, 0));
    // A kill cuts the last one short; a changed byte is told of.
    assert_eq!(Batch::of(stream(), 1, &bytes[..bytes.len() - 1]).milli(), 3_000);
    bytes[20] ^= 1;
    let spoilt = Batch::of(stream(), 1, &bytes);
    assert_eq!((spoilt.milli(), spoilt.unread), (2_500, 1));
    assert_ne!(spoilt.checksum(), whole.checksum());
}

/// What a sink says to one batch after another.
#[test]
fn once_and_in_order() {
    let batch = |number, milli: u32| Batch::of(stream(), number, &segment(&[milli]));
    let taken = |again| Says::Taken { again };
    let steps = [
        (4, batch(1, 10), taken(false)),
        (4, batch(1, 10), taken(true)),
        (4, batch(1, 11), Says::Differs),
        (4, batch(3, 10), Says::Gap { wanted: 2 }),
        (3, batch(2, 10), Says::Refused { seen: 4 }),
        (5, batch(2, 10), taken(false)),
        (4, batch(3, 10), Says::Refused { seen: 5 }),
        (5, batch(1, 10), taken(true)),
    ];
    let mut shelf = Shelf::default();
    for (n, (epoch, batch, wanted)) in steps.iter().enumerate() {
        let says = shelf.look(*epoch, batch);
        assert_eq!(says, *wanted, "step {n}");
        if says == taken(false) {
            shelf.take(*epoch, batch);
        }
    }
    assert_eq!(shelf.streams[&stream()].milli, 20);
    assert!(!shelf.see(4) && shelf.see(6) && !shelf.see(5));
}

/// A stream that is not heard for long is told of once, and once more when it is heard again; one whose
/// gatekeeper has another folder at once.
#[test]
fn what_may_be_missing_is_told() {
    let other = Stream { gatekeeper: "g1".to_string(), folder: 8 };
    let mut carrier = Carrier::default();
    carrier.acts_in(1);
    carrier.shelf_is(BTreeMap::new());
    let told = |carrier: &mut Carrier| -> Vec<(u64, bool, Option<u64>)> {
        let marks = carrier.after_a_turn();
        marks.iter().for_each(|m| carrier.marked(m));
        marks.into_iter().map(|m| (m.stream.folder, m.known, m.last_known_milli)).collect()
    };
    carrier.heard_of(&stream(), 500);
    for turn in 1..=UNHEARD_TURNS {
        assert_eq!(told(&mut carrier), [], "turn {turn}");
    }
    assert_eq!(told(&mut carrier), [(7, false, Some(500))]);
    assert_eq!(told(&mut carrier), []);
    carrier.heard_of(&stream(), 700);
    assert_eq!(told(&mut carrier), [(7, true, Some(700))]);
    carrier.heard_of(&other, 0);
    assert_eq!(told(&mut carrier), [(7, false, Some(700))]);
    carrier.heard_of(&other, 0);
    assert_eq!(told(&mut carrier), []);
    // The next owner never heard of it, and the sink has it for unknown already.
    carrier.acts_in(2);
    carrier.shelf_is([(stream(), Shelved::default())].into());
    carrier.unknown_are(vec![stream()]);
    carrier.heard_of(&other, 0);
    assert_eq!(told(&mut carrier), []);
}

#[test]
fn a_carrier_knows_nothing_before_it_asked() {
    let batch = |number| Batch::of(stream(), number, &segment(&[10]));
    let mut carrier = Carrier::default();
    carrier.acts_in(3);
    assert!(!carrier.is_next(&batch(1)) && carrier.has(&stream()).is_none());
    carrier.shelf_is(BTreeMap::new());
    assert!(carrier.is_next(&batch(1)));
    assert!(carrier.heard(&batch(1), &Says::Taken { again: false }));
    assert!(!carrier.is_next(&batch(1)) && carrier.is_next(&batch(2)));
    // A gap is kept in sight until what is missing comes.
    assert!(!carrier.is_next(&batch(4)) && carrier.gaps[&stream()] == (2, 4));
    assert!(carrier.is_next(&batch(2)) && carrier.gaps.is_empty());
    // Its epoch is over, or the sink was set back: it asks anew.
    assert!(!carrier.heard(&batch(2), &Says::Refused { seen: 9 }) && !carrier.knows_shelf());
    carrier.shelf_is(BTreeMap::new());
    carrier.acts_in(4);
    assert!(!carrier.knows_shelf());
}
