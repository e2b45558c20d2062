use lynxstair_membership::{Incarnation, Name, Notice, Reason, Record};

use super::{Kept, written};

#[test]
fn written_anew_it_comes_to_the_same() {
    let name = Name::new("g2").expect("a name");
    let records = [
        Record::Began { incarnation: Incarnation(3) },
        Record::Notice { notice: Notice::ShutOut { name: name.clone(), number: 1, why: Reason::new("w") } },
        Record::Began { incarnation: Incarnation(4) },
        Record::Notice { notice: Notice::LetIn { name, number: 2 } },
    ];
    let kept = Kept::read(&records.iter().map(written).collect::<Vec<_>>()).expect("known");
    assert_eq!((kept.last, kept.notices().len()), (Some(Incarnation(4)), 1));
    assert_eq!(Kept::read(&kept.records()).expect("known"), kept);
    assert!(Kept::read(&[b"{\"record\":\"of tomorrow\"}".to_vec()]).is_err());
}
