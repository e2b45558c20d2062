use lynxstair_membership::{Incarnation, Name, Notice, Record, ShutOutReason};

use super::{MembershipRecords, encode};

#[test]
fn rewritten_records_decode_to_the_same() {
    let name = Name::new("g2").expect("a name");
    let records = [
        Record::IncarnationStarted { incarnation: Incarnation(3) },
        Record::Notice {
            notice: Notice::ShutOut { name: name.clone(), number: 1, reason: ShutOutReason::new("w") },
        },
        Record::IncarnationStarted { incarnation: Incarnation(4) },
        Record::Notice { notice: Notice::LetIn { name, number: 2 } },
    ];
    let stored: Vec<_> = records.iter().map(encode).collect();
    let decoded = MembershipRecords::decode(&stored).expect("known");
    assert_eq!((decoded.last_incarnation, decoded.notices().len()), (Some(Incarnation(4)), 1));
    assert_eq!(MembershipRecords::decode(&decoded.encode()).expect("known"), decoded);
    assert!(MembershipRecords::decode(&[b"{\"record\":\"of tomorrow\"}".to_vec()]).is_err());
}
