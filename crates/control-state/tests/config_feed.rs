//! How the book comes to a gatekeeper: never an older one, one at a time, whole or as what changed, and the same in
//! either way.

use lynxstair::types::Time;
use lynxstair_control_state::command::{Command, Operation};
use lynxstair_control_state::config_replica::ConfigReplica;
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::subscription::Subscription;

const ROUTE: &str = r#"["name","host","path-prefix","route-kind","service"]"#;

fn at(ms: u64) -> Time {
    Time::from_nanos(1_000_000_000 + ms * 1_000_000)
}

fn changed(book: &ConfigStore, change: &Operation) -> ConfigStore {
    let zones = ["y", "z"].map(|z| (z.to_string(), "r".to_string()));
    match book.apply(&Command::new(change.clone()), &zones) {
        CommandOutcome::Accepted(book) => *book,
        CommandOutcome::AlreadyApplied => book.clone(),
        other => panic!("{change:?}: {other:?}"),
    }
}

fn put(generation: u64, base: u64, routes: &str) -> Operation {
    Operation::Put(
        format!(
            r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",
            "routes":{{"columns":{ROUTE},"rows":[{routes}]}},
            "services":{{"columns":["name"],"rows":[["s"]]}}}}"#
        )
        .into_bytes(),
    )
}

/// The next change: some rows by names, a column more, what stands beside the lists, a new whole, a zone.
fn any(
    u: &mut arbtest::arbitrary::Unstructured,
    book: &ConfigStore,
) -> arbtest::arbitrary::Result<Operation> {
    let (base, generation) = (book.generation, book.generation + u.int_in_range(1..=3)?);
    let zone = u.choose(&["y", "z"])?.to_string();
    let row = |n: u8, more: &str| format!(r#"["r{n}","h{n}","/","safe","s"{more}]"#);
    let n = u.int_in_range(0..=12u8)?;
    let upsert = match u.int_in_range(0..=6)? {
        0 => return Ok(Operation::Evacuate(zone)),
        1 => return Ok(Operation::Restore(zone)),
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
    Ok(Operation::Patch(
        format!(r#"{{"generation":"{generation:08x}","base-version":"{base:08x}",{upsert}}}"#).into_bytes(),
    ))
}

/// Whatever changes there were, whichever a hut or a gatekeeper missed and whichever pages were lost: what a gatekeeper
/// holds by a number is the book of that number, and one more page at most after a whole one brings it up.
#[test]
fn deltas_bring_the_same_as_the_whole() {
    arbtest::arbtest(|u| {
        let (mut book, mut steps) = (changed(&ConfigStore::default(), &put(1, 0, "")), DeltaLog::default());
        let (mut hut, mut mirror) = (ConfigStore::default(), ConfigReplica::default());
        let (mut deltas, mut wholes) = (0, 0);
        for ms in 0..u.int_in_range(1..=30)? {
            book = changed(&book, &any(u, &book)?);
            if u.ratio(1, 5)? {
                continue; // This hut is told of the next one only.
            }
            let newer = hut.decode_next(&book.encode()).expect("read");
            assert_eq!(newer, book);
            if newer.revision > hut.revision {
                steps.record(&hut, &newer);
                hut = newer;
            }
            if u.ratio(1, 3)? {
                continue; // Lost, or still on its way.
            }
            let before = mirror.revision();
            let page = steps.encode_update(&hut, mirror.delta_base());
            if mirror.apply_update(at(ms), hut.revision, &page) {
                let (version, wanted) = (mirror.version().expect("one"), hut.configuration().expect("one"));
                assert_eq!((version.revision, &version.evacuated), (hut.revision, &hut.evacuated));
                assert_eq!(version.configuration, *wanted);
                let whole = DeltaLog::default().encode_update(&hut, 0);
                if page.len() < whole.len() { deltas += 1 } else { wholes += 1 }
            } else {
                assert_eq!((before, mirror.delta_base()), (hut.revision, hut.revision), "it fitted not");
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
    let first = changed(&ConfigStore::default(), &put(1, 0, &rows.join(",")));
    let (mut mirror, mut steps) = (ConfigReplica::default(), DeltaLog::default());
    let whole = steps.encode_update(&first, mirror.delta_base());
    assert!(mirror.apply_update(at(0), first.revision, &whole));
    let patch = format!(
        r#"{{"generation":"2","base-version":"1","upsert":{{"routes":{{"columns":{ROUTE},"rows":[["r7","h7","/x/","safe","s"]]}}}}}}"#
    );
    let second = changed(&first, &Operation::Patch(patch.into_bytes()));
    steps.record(&first, &second);
    let page = steps.encode_update(&second, mirror.delta_base());
    assert!(page.len() < 300 && whole.len() > 10_000, "{} of {}", page.len(), whole.len());
    assert!(mirror.apply_update(at(1), second.revision, &page));
    assert!(mirror.version().is_some_and(|v| v.configuration.route("h7", "/x/").is_some()));
    // So is the first one where a hut began after it: it has no step to it.
    assert_eq!(
        DeltaLog::default().encode_update(&second, first.revision).len(),
        steps.encode_update(&second, 0).len()
    );
}

/// A gatekeeper goes back never, and takes no page that does not fit: it asks for the whole.
#[test]
fn never_back() {
    let books: Vec<ConfigStore> = (1..=4)
        .scan(ConfigStore::default(), |book, generation| {
            *book = changed(
                book,
                &put(generation, generation - 1, &format!(r#"["r","h{generation}","/","safe","s"]"#)),
            );
            Some(book.clone())
        })
        .collect();
    let whole = |n: usize| DeltaLog::default().encode_update(&books[n], 0);
    let mut steps = DeltaLog::default();
    (1..4).for_each(|n| steps.record(&books[n - 1], &books[n]));
    let mut mirror = ConfigReplica::default();
    assert!(mirror.apply_update(at(0), 2, &whole(1)));
    assert!(!mirror.apply_update(at(1), 2, &whole(1)) && !mirror.apply_update(at(1), 1, &whole(0)));
    assert!(!mirror.apply_update(at(2), 4, &steps.encode_update(&books[3], 3)), "it builds on another");
    assert_eq!((mirror.revision(), mirror.delta_base()), (2, 2));
    assert!(!mirror.apply_update(at(3), 3, b"no book"));
    assert_eq!((mirror.revision(), mirror.delta_base()), (2, 0), "what is in force stays so");
    assert!(!mirror.apply_update(at(4), 1, &whole(0)));
    assert!(!mirror.apply_update(at(4), 2, &whole(1)), "no newer one");
    assert_eq!(mirror.delta_base(), 2, "but whole again");
    // A row that is not as the hut's: what comes of the change is not the book.
    let mut one = DeltaLog::default();
    one.record(&books[1], &books[2]);
    let mut page = one.encode_update(&books[2], 2);
    let place = page.windows(4).position(|w| w == b"\"h3\"").expect("a row") + 1;
    page[place + 1] = b'9';
    assert!(!mirror.apply_update(at(5), 3, &page));
    assert_eq!((mirror.revision(), mirror.delta_base()), (2, 0));
    assert!(mirror.apply_update(at(6), 4, &whole(3)));
    assert_eq!((mirror.revision(), mirror.delta_base()), (4, 4));
}

/// A zone that is taken back is known by when that was, by a delta too.
#[test]
fn zones_that_are_taken_back() {
    let first = changed(&changed(&ConfigStore::default(), &put(1, 0, "")), &Operation::Evacuate("z".into()));
    let second = changed(&first, &Operation::Restore("z".into()));
    let (mut mirror, mut steps) = (ConfigReplica::default(), DeltaLog::default());
    assert!(mirror.apply_update(at(0), first.revision, &steps.encode_update(&first, 0)));
    assert!(mirror.version().is_some_and(|v| v.evacuated.contains("z")));
    steps.record(&first, &second);
    assert!(mirror.apply_update(at(7), second.revision, &steps.encode_update(&second, first.revision)));
    assert_eq!((mirror.restored_at("z"), mirror.restored_at("y")), (Some(at(7)), None));
}

/// The leader sends at once, one at a time; the next goes when the gatekeeper has said what it holds.
#[test]
fn one_book_on_its_way() {
    let mut sent = Subscription::default();
    assert_eq!(sent.due_update(at(0), 4, true, 5_000), None, "it has not said what it holds");
    sent.on_heartbeat(at(1), 0);
    assert_eq!(sent.due_update(at(1), 4, true, 5_000), Some(0), "it came after all were sent it");
    sent.on_update_sent(at(1), 5_000);
    assert_eq!(sent.due_update(at(30), 5, true, 5_000), None, "one is on its way");
    sent.on_heartbeat(at(60), 0);
    assert_eq!(sent.due_update(at(60), 6, true, 5_000), None, "still");
    sent.on_heartbeat(at(90), 4);
    assert_eq!(sent.due_update(at(90), 6, true, 5_000), Some(4), "the newest, over what it holds");
    sent.on_update_sent(at(90), 200);
    sent.on_heartbeat(at(91), 0);
    assert_eq!(sent.due_update(at(91), 6, true, 5_000), Some(0), "it did not fit");
    sent.on_update_sent(at(91), 5_000);
    sent.on_heartbeat(at(2_000), 0);
    assert_eq!(sent.due_update(at(2_000), 6, true, 5_000), None);
    sent.on_heartbeat(at(2_700), 0);
    assert_eq!(sent.due_update(at(2_700), 6, true, 5_000), Some(0), "neither it nor a word of it has come");
    sent.on_update_sent(at(2_700), 5_000);
    sent.on_heartbeat(at(2_750), 7);
    assert_eq!(sent.due_update(at(2_750), 6, true, 5_000), None, "it has a newer one from elsewhere");
}

/// Other huts send only to who has come no further for a while, and longer for a large book on a slow link.
#[test]
fn other_huts_wait() {
    for (bytes, wait) in [(5_000, 820), (500_000, 2_800)] {
        let mut sent = Subscription::default();
        sent.on_heartbeat(at(0), 2);
        assert_eq!(sent.due_update(at(0), 3, false, bytes), None);
        sent.on_heartbeat(at(wait - 10), 2);
        assert_eq!(sent.due_update(at(wait - 10), 4, false, bytes), None, "{bytes}");
        sent.on_heartbeat(at(wait), 2);
        assert_eq!(sent.due_update(at(wait), 4, false, bytes), Some(2), "the leader can't reach it");
        sent.on_update_sent(at(wait), 300);
        assert_eq!(sent.due_update(at(wait + 1), 5, false, bytes), None);
        // It comes further from elsewhere, change by change: that is no lack.
        for n in 5..40 {
            sent.on_heartbeat(at(wait + n * 100), n - 1);
            assert_eq!(sent.due_update(at(wait + n * 100), n, false, bytes), None);
        }
    }
}
