//! Golden tests: the formats of records, snapshots and datagrams stay the same.

use std::fs;
use std::net::SocketAddrV4;

use protobuf::Message as _;
use raft::eraftpb::{Entry, Snapshot};

use crate::table::Command;
use crate::{
    AdminCommand, ClusterId, Envelope, Epoch, Lease, LeaseTable, Message, Owner, Record, RecordStatus,
    Request, Response, VoterId, VoterInfo,
};

fn golden(name: &str) -> Vec<u8> {
    let path = format!("{}/tests/golden/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read(&path).expect(&path)
}

fn decode_golden(name: &str) -> Record {
    let bytes = golden(&format!("{name}.bin"));
    let record = Record::from_bytes(&bytes).expect(name);
    assert_eq!(record.to_bytes(), bytes, "{name}");
    record
}

fn duty() -> String {
    "export".to_string()
}

fn addr() -> SocketAddrV4 {
    "127.0.0.1:7100".parse().expect("an address")
}

fn voter(n: u64) -> VoterInfo {
    VoterInfo { id: VoterId(n), name: format!("g{n}"), addr: addr() }
}

fn owner() -> Owner {
    Owner { name: "g2".to_string(), incarnation: 77 }
}

fn commands() -> [Command; 5] {
    let grant = Command::Grant {
        duty: duty(),
        to: owner(),
        expected_epoch: Epoch(1),
        highest_epoch: Epoch(2),
        granted_at: 3,
        granted_by: "g1".to_string(),
    };
    [
        grant,
        Command::Release { duty: duty(), epoch: Epoch(3), from: "g2".to_string() },
        Command::Store { duty: duty(), epoch: Epoch(3), state: vec![1, 2, 3] },
        Command::HandOver { id: 8, duty: duty(), to: "g3".to_string() },
        Command::Depose { id: 9, duty: duty() },
    ]
}

fn lease() -> Lease {
    Lease {
        epoch: Epoch(3),
        owner: Some(owner()),
        granted_at: 3,
        granted_by: "g1".to_string(),
        state: vec![1, 2, 3],
        reserved_for: Some("g3".to_string()),
        deposed_member: None,
    }
}

#[test]
fn format_of_records_is_stable() {
    assert_eq!(decode_golden("identity"), Record::Identity { id: VoterId(2) });
    assert_eq!(
        decode_golden("bootstrapped"),
        Record::Bootstrapped { voters: vec![voter(1), voter(2), voter(3)] }
    );
    assert_eq!(decode_golden("joined"), Record::Joined { cluster_id: ClusterId(5) });
    assert_eq!(decode_golden("probe"), Record::Probe);
    let Record::Log { entries, hard_state: Some(_) } = decode_golden("log") else { panic!("another record") };
    let decode = |bytes: &Vec<u8>| Entry::parse_from_bytes(bytes).expect("an entry").data;
    let expected: Vec<Vec<u8>> = commands().iter().map(Command::encode).collect();
    assert_eq!(entries.iter().map(|bytes| decode(bytes).to_vec()).collect::<Vec<_>>(), expected);
    let first: Command = postcard::from_bytes(&decode(&entries[0])).expect("a command");
    assert_eq!(first, commands()[0]);
}

#[test]
fn format_of_snapshots_is_stable() {
    let Record::Snapshot { bytes, hard_state: Some(_) } = decode_golden("snapshot") else {
        panic!("another record")
    };
    let snapshot = Snapshot::parse_from_bytes(&bytes).expect("a snapshot");
    let table: LeaseTable = postcard::from_bytes(&snapshot.data).expect("a table");
    assert_eq!(postcard::to_allocvec(&table).expect("encodes"), snapshot.data.to_vec());
    assert_eq!(table.duties.get("export"), Some(&lease()));
    assert_eq!(table.voters.values().cloned().collect::<Vec<_>>(), [voter(1), voter(2), voter(3)]);
    assert_eq!(table.admin_result(8), Some(None));
}

fn requests() -> [Request; 8] {
    let admin = |command| Request::Admin { id: 1, command };
    [
        Request::Claim { duty: duty(), incarnation: 7, highest_epoch: Epoch(3) },
        Request::Renew { duty: duty(), incarnation: 7, epoch: Epoch(3) },
        Request::Release { duty: duty(), epoch: Epoch(3) },
        Request::Store { duty: duty(), epoch: Epoch(3), state: vec![9] },
        admin(AdminCommand::HandOver { duty: duty(), to: "g2".to_string() }),
        admin(AdminCommand::Depose { duty: duty() }),
        admin(AdminCommand::ReplaceVoter { old: "g1".to_string(), new: "g4".to_string(), addr: addr() }),
        Request::ReadTable,
    ]
}

fn responses() -> [Response; 7] {
    let reason = || "w".to_string();
    let (voters, leader) = (vec![voter(1)], "g1".to_string());
    [
        Response::Granted { epoch: Epoch(3), state: vec![9] },
        Response::Denied { epoch: Epoch(3), owner: Some("g2".to_string()) },
        Response::Done,
        Response::Refused { reason: reason() },
        Response::Table { duties: vec![(duty(), lease())], voters: voters.clone(), leader },
        Response::NotLeader { leader: Some(addr()), voters },
        Response::Unavailable { reason: reason() },
    ]
}

#[test]
fn format_of_datagrams_is_stable() {
    let hello = |status, wants_reply| Message::Hello { sender: voter(1), status, wants_reply };
    let mut messages = vec![
        Message::Raft { cluster_id: ClusterId(5), body: vec![1, 2] },
        hello(RecordStatus::Empty, true),
        hello(RecordStatus::Member(ClusterId(5)), false),
        Message::Invite,
        Message::DutyChanged { duty: duty() },
    ];
    let request = |request| Message::Request { from: "g1".to_string(), number: 4, request };
    messages.extend(requests().map(request));
    messages.extend(responses().map(|response| Message::Response { number: 4, response }));
    let envelope = Envelope::new("kampus");
    let hex = |message: &Message| {
        let datagram = envelope.encode(message).expect("short");
        datagram.iter().map(|byte| format!("{byte:02x}")).collect::<String>()
    };
    let text = String::from_utf8(golden("datagrams.hex")).expect("text");
    assert_eq!(messages.iter().map(hex).collect::<Vec<_>>(), text.lines().collect::<Vec<_>>());
}
