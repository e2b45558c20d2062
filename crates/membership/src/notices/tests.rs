use super::*;

fn name(n: &str) -> Name {
    Name::new(n).expect("a name")
}

#[test]
fn notices_decode_as_encoded() {
    let all = [
        Notice::Left { name: name("g1"), incarnation: Incarnation(3) },
        Notice::ShutOut { name: name("g1"), number: 3, reason: ShutOutReason::new("ünlü") },
        Notice::LetIn { name: name("g1"), number: 4 },
        Notice::Links {
            name: name("g1"),
            incarnation: Incarnation(2),
            sequence: 7,
            lists_reachable: true,
            members: vec![name("g2"), name("g3")],
        },
    ];
    for notice in all {
        let bytes = notice.encode();
        assert_eq!(Notice::decode(&bytes).as_ref(), Some(&notice));
        for cut in 0..bytes.len() {
            assert_eq!(Notice::decode(&bytes[..cut]), None, "{notice:?} cut to {cut}");
        }
    }
    assert!(ShutOutReason::new(&"ü".repeat(100)).as_str().len() <= MAX_REASON_BYTES);
}

/// The notice with the highest number is valid in any order of arrival. With equal numbers, shutting out
/// wins.
#[test]
fn highest_admission_number_wins_in_any_order() {
    let shut_out = |number| Notice::ShutOut { name: name("g1"), number, reason: ShutOutReason::new("why") };
    let let_in = |number| Notice::LetIn { name: name("g1"), number };
    let cases = [
        (vec![shut_out(1), let_in(2)], false),
        (vec![let_in(2), shut_out(1)], false),
        (vec![let_in(2), shut_out(2)], true),
        (vec![shut_out(2), let_in(2)], true),
        (vec![shut_out(1), let_in(2), shut_out(3)], true),
        (vec![shut_out(3), shut_out(1), let_in(2)], true),
    ];
    for (order, expected) in cases {
        let notices = SharedNotices::new(10);
        for notice in order.clone() {
            notices.lock().insert(notice);
        }
        assert_eq!(notices.lock().shut_out(&name("g1")).is_some(), expected, "{order:?}");
    }
}

#[test]
fn number_of_stored_notices_is_limited() {
    let notices = SharedNotices::new(4);
    for n in 0..100 {
        notices.lock().insert(Notice::LetIn { name: name(&format!("g{n}")), number: 1 });
    }
    assert_eq!(notices.lock().durable().len(), 12);
}
