use super::*;

fn grant(to: &str, after: u64, seen: u64) -> Command {
    let to = Owner { name: to.to_string(), stand: 1 };
    let (duty, by) = ("export".to_string(), "g1".to_string());
    Command::Grant { duty, to, after: Epoch(after), seen: Epoch(seen), at: 5, by }
}

/// What each command makes of a duty, from the state that those before left.
#[test]
fn one_after_another() {
    let duty = || "export".to_string();
    let owner = |name: &str| Owner { name: name.to_string(), stand: 1 };
    let granted = |name: &str, e| Came::Granted { duty: duty(), to: owner(name), epoch: Epoch(e) };
    let released = |name: &str, e| Came::Released { duty: duty(), from: owner(name), epoch: Epoch(e) };
    let keep = |epoch, len| Command::Keep { duty: duty(), epoch: Epoch(epoch), state: vec![7; len] };
    let back =
        |epoch, from: &str| Command::GiveBack { duty: duty(), epoch: Epoch(epoch), from: from.to_string() };
    let steps = [
        (Command::Depose { id: 1, duty: duty() }, Came::Nothing("no such duty")),
        (grant("g1", 0, 0), granted("g1", 1)),
        (grant("g2", 0, 0), Came::Nothing("another came first")),
        (keep(1, 512), Came::Kept),
        (keep(1, 513), Came::Nothing("not its owner")),
        (grant("g2", 1, 9), granted("g2", 10)),
        (keep(1, 1), Came::Nothing("not its owner")),
        (back(10, "g1"), Came::Nothing("not its owner")),
        (back(10, "g2"), released("g2", 10)),
        (back(10, "g2"), Came::Nothing("not its owner")),
        (grant("g3", 10, 0), granted("g3", 11)),
        (Command::HandOver { id: 2, duty: duty(), to: "g1".to_string() }, Came::Kept),
        (back(11, "g3"), released("g3", 11)),
        (Command::HandOver { id: 2, duty: duty(), to: "g1".to_string() }, Came::Nothing("done before")),
        (grant("g1", 11, 0), granted("g1", 12)),
        (Command::Depose { id: 3, duty: duty() }, released("g1", 12)),
        (Command::Depose { id: 4, duty: duty() }, Came::Nothing("nobody owns it")),
    ];
    let mut book = Book::default();
    for (n, (command, wanted)) in steps.iter().enumerate() {
        assert_eq!(book.apply(command, false), *wanted, "step {n}: {command:?}");
    }
    let held = &book.duties["export"];
    assert_eq!((held.epoch, held.state.len(), held.not_for.as_deref()), (Epoch(12), 512, Some("g1")));
    assert_eq!((book.done(3), book.done(4)), (Some(None), Some(Some("nobody owns it"))));
    assert_eq!(book.done(5), None);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut book = Book::default();
    for id in 0..1_000 {
        book.apply(&Command::Depose { id, duty: "export".to_string() }, false);
    }
    assert_eq!(book.done.len(), REMEMBERED);
    for n in 0..20 {
        let mut command = grant("g1", 0, 0);
        if let Command::Grant { duty, .. } = &mut command {
            *duty = format!("d{n}");
        }
        book.apply(&command, false);
    }
    assert_eq!(book.duties.len(), MOST_DUTIES);
}
