use super::*;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, ..Entry::default() }
}

fn logged(entries: &[(u64, u64)]) -> Record {
    let bytes = |(i, t): &(u64, u64)| entry(*i, *t).write_to_bytes().expect("bytes");
    Record::Log { hard: None, entries: entries.iter().map(bytes).collect() }
}

/// Written anew it comes to the same, also where records that were on their way follow once more.
#[test]
fn records_and_what_they_come_to() {
    let voter = |n: u64| VoterAt {
        id: VoterId(n),
        name: format!("g{n}"),
        addr: "127.0.0.1:7100".parse().expect("an address"),
    };
    let voters = [voter(1), voter(2), voter(3)];
    let records = [
        Record::Identity { id: VoterId(2) },
        Record::Founded { voters: voters.to_vec() },
        logged(&[(2, 2), (3, 2), (4, 2)]),
        logged(&[(3, 3)]),
    ];
    let mut image = Image::default();
    records.iter().for_each(|r| image.take_in(r).expect("good"));
    assert_eq!(image.log.entries.iter().map(|e| (e.index, e.term)).collect::<Vec<_>>(), [(2, 2), (3, 3)]);
    assert_eq!(image.log.book().voters.len(), 3);
    let bytes: Vec<_> = image.records().iter().map(Record::written).collect();
    let again = Image::read(&bytes).expect("good");
    assert_eq!((again.id, again.founding), (image.id, image.founding));
    assert_eq!((again.log.entries.len(), again.log.last()), (2, 3));
    assert_eq!(again.log.hard, image.log.hard);
    image.take_in(&logged(&[(3, 3)])).expect("good");
    assert_eq!(image.log.last(), 3);

    // A snapshot keeps what follows it, and drops what is of another log.
    let mut snapshot = image.log.snapshot.clone();
    (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (2, 2);
    let mut kept = image.log.clone();
    kept.put_snapshot(snapshot.clone());
    assert_eq!((kept.entries.len(), kept.last()), (1, 3));
    (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (3, 7);
    kept.put_snapshot(snapshot);
    assert_eq!((kept.entries.len(), kept.last()), (0, 3));
    image.take_in(&Record::Identity { id: VoterId(9) }).expect("good");
    assert_eq!((image.founding, image.log.last()), (None, 0));
    assert!(Record::read(&[200, 1]).is_err());
}
