//! How the book comes to a gatekeeper: never an older one, one at a time, whole or as what changed, and the same in
//! either way.

use lynxstair::types::Time;
use lynxstair_control_state::config_feed::{Mirror, Sent, Steps};
use lynxstair_control_state::config_store::{Book, Change, Order, Ruling};

const ROUTE: &str = r#"["name","host","path-prefix","route-kind","service"]"#;

fn at(ms: u64) -> Time {
    Time::from_nanos(1_000_000_000 + ms * 1_000_000)
}

fn changed(book: &Book, change: &Change) -> Book {
    let zones = ["y", "z"].map(|z| (z.to_string(), "r".to_string()));
    match book.rule(&Order::new(change.clone()), &zones) {
        Ruling::Take(book) => *book,
        Ruling::Taken => book.clone(),
        other => panic!("{change:?}: {other:?}"),
    }
}

fn put(generation: u64, base: u64, routes: &str) -> Change {
    Change::Put(
        format!(
            r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",
            "routes":{{"columns":{ROUTE},"rows":[{routes}]}},
            "services":{{"columns":["name"],"rows":[["s"]]}}}}"#
        )
        .into_bytes(),
    )
}

/// The next change: some rows by names, a column more, what stands beside the lists, a new whole, a zone.
fn any(u: &mut arbtest::arbitrary::Unstructured, book: &Book) -> arbtest::arbitrary::Result<Change> {
    let (base, generation) = (book.generation, book.generation + u.int_in_range(1..=3)?);
    let zone = u.choose(&["y", "z"])?.to_string();
    let row = |n: u8, more: &str| format!(r#"["r{n}","h{n}","/","safe","s"{more}]"#);
    let n = u.int_in_range(0..=12u8)?;
    let upsert = match u.int_in_range(0..=6)? {
        0 => return Ok(Change::Evacuate(zone)),
        1 => return Ok(Change::Return(zone)),
        2 => return Ok(put(generation, base, &format!("{},{}", row(n, ""), row(n + 1, "")))),
        3 => format!(r#""upsert":{{"limits":{{"idle-timeout-s":{n}}}}}"#),
        4 => format!(r#""remove":{{"routes":["r{n}"]}}"#),
        5 => format!(
            r#""upsert":{{"routes":{{"columns":["priority",{}"#,
            &ROUTE[1..].replace(']', &format!("],\"rows\":[{}]}}}}", row(n, "").replacen('[', "[2,", 1)))
        ),
        _ => format!(
            r#""upsert":{{"routes":{{"columns":{ROUTE},"rows":[{},["r{}","h","/{n}/","unsafe","s"]]}}}}"#,
            row(n, ""),
            n + 20
        ),
    };
    Ok(Change::Patch(
        format!(r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",{upsert}}}"#).into_bytes(),
    ))
}

/// Whatever changes there were, whichever a hut or a gatekeeper missed and whichever pages were lost: what a gatekeeper
/// holds by a number is the book of that number, and one more page at most after a whole one brings it up.
#[test]
fn deltas_bring_the_same_as_the_whole() {
    arbtest::arbtest(|u| {
        let (mut book, mut steps) = (changed(&Book::default(), &put(1, 0, "")), Steps::default());
        let (mut hut, mut mirror) = (Book::default(), Mirror::default());
        let (mut deltas, mut wholes) = (0, 0);
        for ms in 0..u.int_in_range(1..=30)? {
            book = changed(&book, &any(u, &book)?);
            if u.ratio(1, 5)? {
                continue; // This hut is told of the next one only.
            }
            let newer = hut.after(&book.written()).expect("read");
            assert_eq!(newer, book);
            if newer.number > hut.number {
                steps.note(&hut, &newer);
                hut = newer;
            }
            if u.ratio(1, 3)? {
                continue; // Lost, or still on its way.
            }
            let before = mirror.number();
            let page = steps.page(&hut, mirror.have());
            if mirror.take(at(ms), hut.number, &page) {
                let (version, wanted) = (mirror.version().expect("one"), hut.configuration().expect("one"));
                assert_eq!((version.number, &version.evacuated), (hut.number, &hut.evacuated));
                assert_eq!(version.configuration, *wanted);
                let whole = Steps::default().page(&hut, 0);
                if page.len() < whole.len() { deltas += 1 } else { wholes += 1 }
            } else {
                assert_eq!((before, mirror.have()), (hut.number, hut.number), "it fitted not");
            }
        }
        let _ = (deltas, wholes);
        Ok(())
    })
    .budget_ms(2_000);
}

/// What changed is small, however large the book is.
#[test]
fn a_delta_is_small() {
    let rows: Vec<String> = (0..500).map(|n| format!(r#"["r{n}","h{n}","/","safe","s"]"#)).collect();
    let first = changed(&Book::default(), &put(1, 0, &rows.join(",")));
    let (mut mirror, mut steps) = (Mirror::default(), Steps::default());
    let whole = steps.page(&first, mirror.have());
    assert!(mirror.take(at(0), first.number, &whole));
    let patch = format!(
        r#"{{"generation":"2","base-version":"1","upsert":{{"routes":{{"columns":{ROUTE},"rows":[["r7","h7","/x/","safe","s"]]}}}}}}"#
    );
    let second = changed(&first, &Change::Patch(patch.into_bytes()));
    steps.note(&first, &second);
    let page = steps.page(&second, mirror.have());
    assert!(page.len() < 300 && whole.len() > 10_000, "{} of {}", page.len(), whole.len());
    assert!(mirror.take(at(1), second.number, &page));
    assert!(mirror.version().is_some_and(|v| v.configuration.route("h7", "/x/").is_some()));
    // So is the first one where a hut began after it: it has no step to it.
    assert_eq!(Steps::default().page(&second, first.number).len(), steps.page(&second, 0).len());
}

/// A gatekeeper goes back never, and takes no page that does not fit: it asks for the whole.
#[test]
fn never_back() {
    let books: Vec<Book> = (1..=4)
        .scan(Book::default(), |book, generation| {
            *book = changed(
                book,
                &put(generation, generation - 1, &format!(r#"["r","h{generation}","/","safe","s"]"#)),
            );
            Some(book.clone())
        })
        .collect();
    let whole = |n: usize| Steps::default().page(&books[n], 0);
    let mut steps = Steps::default();
    (1..4).for_each(|n| steps.note(&books[n - 1], &books[n]));
    let mut mirror = Mirror::default();
    assert!(mirror.take(at(0), 2, &whole(1)));
    assert!(!mirror.take(at(1), 2, &whole(1)) && !mirror.take(at(1), 1, &whole(0)));
    assert!(!mirror.take(at(2), 4, &steps.page(&books[3], 3)), "it builds on another");
    assert_eq!((mirror.number(), mirror.have()), (2, 2));
    assert!(!mirror.take(at(3), 3, b"no book"));
    assert_eq!((mirror.number(), mirror.have()), (2, 0), "what is in force stays so");
    assert!(!mirror.take(at(4), 1, &whole(0)));
    assert!(!mirror.take(at(4), 2, &whole(1)), "no newer one");
    assert_eq!(mirror.have(), 2, "but whole again");
    // A row that is not as the hut's: what comes of the change is not the book.
    let mut one = Steps::default();
    one.note(&books[1], &books[2]);
    let mut page = one.page(&books[2], 2);
    let place = page.windows(4).position(|w| w == b"\"h3\"").expect("a row") + 1;
    page[place + 1] = b'9';
    assert!(!mirror.take(at(5), 3, &page));
    assert_eq!((mirror.number(), mirror.have()), (2, 0));
    assert!(mirror.take(at(6), 4, &whole(3)));
    assert_eq!((mirror.number(), mirror.have()), (4, 4));
}

/// A zone that is taken back is known by when that was, by a delta too.
#[test]
fn zones_that_are_taken_back() {
    let first = changed(&changed(&Book::default(), &put(1, 0, "")), &Change::Evacuate("z".into()));
    let second = changed(&first, &Change::Return("z".into()));
    let (mut mirror, mut steps) = (Mirror::default(), Steps::default());
    assert!(mirror.take(at(0), first.number, &steps.page(&first, 0)));
    assert!(mirror.version().is_some_and(|v| v.evacuated.contains("z")));
    steps.note(&first, &second);
    assert!(mirror.take(at(7), second.number, &steps.page(&second, first.number)));
    assert_eq!((mirror.returned_at("z"), mirror.returned_at("y")), (Some(at(7)), None));
}

/// The leader sends at once, one at a time; the next goes when the gatekeeper has said what it holds.
#[test]
fn one_book_on_its_way() {
    let mut sent = Sent::default();
    assert_eq!(sent.due(at(0), 4, true, 5_000), None, "it has not said what it holds");
    sent.hear(at(1), 0);
    assert_eq!(sent.due(at(1), 4, true, 5_000), Some(0), "it came after all were sent it");
    sent.flies(at(1), 4, 5_000);
    assert_eq!(sent.due(at(30), 5, true, 5_000), None, "one is on its way");
    sent.hear(at(60), 0);
    assert_eq!(sent.due(at(60), 6, true, 5_000), None, "still");
    sent.hear(at(90), 4);
    assert_eq!(sent.due(at(90), 6, true, 5_000), Some(4), "the newest, over what it holds");
    sent.flies(at(90), 6, 200);
    sent.hear(at(91), 0);
    assert_eq!(sent.due(at(91), 6, true, 5_000), Some(0), "it did not fit");
    sent.flies(at(91), 6, 5_000);
    sent.hear(at(2_000), 0);
    assert_eq!(sent.due(at(2_000), 6, true, 5_000), None);
    sent.hear(at(2_700), 0);
    assert_eq!(sent.due(at(2_700), 6, true, 5_000), Some(0), "neither it nor a word of it has come");
    sent.flies(at(2_700), 6, 5_000);
    sent.hear(at(2_750), 7);
    assert_eq!(sent.due(at(2_750), 6, true, 5_000), None, "it has a newer one from elsewhere");
}

/// Other huts send only to who has come no further for a while, and longer for a large book on a slow link.
#[test]
fn other_huts_wait() {
    for (bytes, wait) in [(5_000, 820), (500_000, 2_800)] {
        let mut sent = Sent::default();
        sent.hear(at(0), 2);
        assert_eq!(sent.due(at(0), 3, false, bytes), None);
        sent.hear(at(wait - 10), 2);
        assert_eq!(sent.due(at(wait - 10), 4, false, bytes), None, "{bytes}");
        sent.hear(at(wait), 2);
        assert_eq!(sent.due(at(wait), 4, false, bytes), Some(2), "the leader can't reach it");
        sent.flies(at(wait), 4, 300);
        assert_eq!(sent.due(at(wait + 1), 5, false, bytes), None);
        // It comes further from elsewhere, change by change: that is no lack.
        for n in 5..40 {
            sent.hear(at(wait + n * 100), n - 1);
            assert_eq!(sent.due(at(wait + n * 100), n, false, bytes), None);
        }
    }
}
