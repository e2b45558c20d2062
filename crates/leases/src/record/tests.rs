use super::*;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, ..Entry::default() }
}

fn log_record(entries: &[(u64, u64)]) -> Record {
    let bytes = |(index, term): &(u64, u64)| entry(*index, *term).write_to_bytes().expect("bytes");
    Record::Log { hard_state: None, entries: entries.iter().map(bytes).collect() }
}

fn voter(n: u64) -> VoterInfo {
    let addr = "127.0.0.1:7100".parse().expect("an address");
    VoterInfo { id: VoterId(n), name: format!("g{n}"), addr }
}

/// Rewriting the file keeps the state, also if a record that was being written is appended again afterwards.
#[test]
fn rewritten_records_decode_to_the_same_state() {
    let records = [
        Record::Identity { id: VoterId(2) },
        Record::Bootstrapped { voters: vec![voter(1), voter(2), voter(3)] },
        log_record(&[(2, 2), (3, 2), (4, 2)]),
        log_record(&[(3, 3)]),
    ];
    let mut state = PersistentState::default();
    records.iter().for_each(|record| state.apply(record).expect("good"));
    let entries: Vec<_> = state.log.entries.iter().map(|e| (e.index, e.term)).collect();
    assert_eq!(entries, [(2, 2), (3, 3)]);
    assert_eq!(state.log.table().voters.len(), 3);
    let bytes: Vec<_> = state.to_records().iter().map(Record::to_bytes).collect();
    let decoded = PersistentState::decode(&bytes).expect("good");
    assert_eq!((decoded.id, decoded.cluster_id), (state.id, state.cluster_id));
    assert_eq!((decoded.log.entries.len(), decoded.log.last_entry_index()), (2, 3));
    assert_eq!(decoded.log.hard_state, state.log.hard_state);
    state.apply(&log_record(&[(3, 3)])).expect("good");
    assert_eq!(state.log.last_entry_index(), 3);

    // A snapshot keeps the entries after it, and drops them if its term differs from that of the log.
    let mut snapshot = state.log.snapshot.clone();
    (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (2, 2);
    let mut log = state.log.clone();
    log.install_snapshot(snapshot.clone());
    assert_eq!((log.entries.len(), log.last_entry_index()), (1, 3));
    (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (3, 7);
    log.install_snapshot(snapshot);
    assert_eq!((log.entries.len(), log.last_entry_index()), (0, 3));
    state.apply(&Record::Identity { id: VoterId(9) }).expect("good");
    assert_eq!((state.cluster_id, state.log.last_entry_index()), (None, 0));
    assert!(Record::from_bytes(&[200, 1]).is_err());
}
