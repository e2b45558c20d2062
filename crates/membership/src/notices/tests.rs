use super::*;

fn name(n: &str) -> Name {
    Name::new(n).expect("a name")
}

#[test]
fn notices_come_back_as_written() {
    let all = [
        Notice::Left { name: name("g1"), incarnation: Incarnation(3) },
        Notice::ShutOut { name: name("g1"), number: 3, why: Reason::new("ünlü") },
        Notice::LetIn { name: name("g1"), number: 4 },
        Notice::Links {
            name: name("g1"),
            incarnation: Incarnation(2),
            order: 7,
            only: true,
            named: vec![name("g2"), name("g3")],
        },
    ];
    for notice in all {
        let written = notice.written();
        assert_eq!(Notice::read(&written).as_ref(), Some(&notice));
        for cut in 0..written.len() {
            assert_eq!(Notice::read(&written[..cut]), None, "{notice:?} cut to {cut}");
        }
    }
    assert!(Reason::new(&"ü".repeat(100)).as_str().len() <= LONGEST_REASON);
}

/// The higher number holds in whatever order they come; of the same number the one that keeps out.
#[test]
fn the_last_word_holds() {
    let out = |number| Notice::ShutOut { name: name("g1"), number, why: Reason::new("why") };
    let let_in = |number| Notice::LetIn { name: name("g1"), number };
    let cases = [
        (vec![out(1), let_in(2)], false),
        (vec![let_in(2), out(1)], false),
        (vec![let_in(2), out(2)], true),
        (vec![out(2), let_in(2)], true),
        (vec![out(1), let_in(2), out(3)], true),
        (vec![out(3), out(1), let_in(2)], true),
    ];
    for (order, wanted) in cases {
        let board = Board::new(10);
        for notice in order.clone() {
            board.held().take_in(notice);
        }
        assert_eq!(board.held().shut_out(&name("g1")).is_some(), wanted, "{order:?}");
    }
}

#[test]
fn memory_is_bounded() {
    let board = Board::new(4);
    for n in 0..100 {
        board.held().take_in(Notice::LetIn { name: name(&format!("g{n}")), number: 1 });
    }
    assert_eq!(board.held().lasting().len(), 12);
}
