use super::*;

const DUTY: &str = "export";

fn owner(name: &str) -> Owner {
    Owner { name: name.to_string(), incarnation: 1 }
}

fn grant(to: &str, expected_epoch: u64, highest_epoch: u64) -> Command {
    Command::Grant {
        duty: DUTY.to_string(),
        to: owner(to),
        expected_epoch: Epoch(expected_epoch),
        highest_epoch: Epoch(highest_epoch),
        granted_at: 5,
        granted_by: "g1".to_string(),
    }
}

/// A command that expects an outdated state of the duty is rejected and changes nothing.
#[test]
fn commands_with_outdated_expectations_are_rejected() {
    let duty = || DUTY.to_string();
    let granted = |name: &str, epoch| Outcome::Granted { duty: duty(), to: owner(name), epoch: Epoch(epoch) };
    let released =
        |name: &str, epoch| Outcome::Released { duty: duty(), from: owner(name), epoch: Epoch(epoch) };
    let store = |epoch, len| Command::Store { duty: duty(), epoch: Epoch(epoch), state: vec![7; len] };
    let release =
        |epoch, from: &str| Command::Release { duty: duty(), epoch: Epoch(epoch), from: from.to_string() };
    let hand_over = || Command::HandOver { id: 2, duty: duty(), to: "g1".to_string() };
    let steps = [
        (Command::Depose { id: 1, duty: duty() }, Outcome::Rejected("no such duty")),
        (grant("g1", 0, 0), granted("g1", 1)),
        (grant("g2", 0, 0), Outcome::Rejected("the epoch has changed")),
        (store(1, 512), Outcome::Updated),
        (store(1, 513), Outcome::Rejected("not its owner")),
        (grant("g2", 1, 9), granted("g2", 10)),
        (store(1, 1), Outcome::Rejected("not its owner")),
        (release(10, "g1"), Outcome::Rejected("not its owner")),
        (release(10, "g2"), released("g2", 10)),
        (release(10, "g2"), Outcome::Rejected("not its owner")),
        (grant("g3", 10, 0), granted("g3", 11)),
        (hand_over(), Outcome::Updated),
        (release(11, "g3"), released("g3", 11)),
        (hand_over(), Outcome::Rejected("already applied")),
        (grant("g1", 11, 0), granted("g1", 12)),
        (Command::Depose { id: 3, duty: duty() }, released("g1", 12)),
        (Command::Depose { id: 4, duty: duty() }, Outcome::Rejected("nobody owns it")),
    ];
    let mut table = LeaseTable::default();
    for (step, (command, expected)) in steps.iter().enumerate() {
        assert_eq!(table.apply(command, false), *expected, "step {step}: {command:?}");
    }
    let lease = &table.duties[DUTY];
    assert_eq!(
        (lease.epoch, lease.state.len(), lease.deposed_member.as_deref()),
        (Epoch(12), 512, Some("g1"))
    );
    assert_eq!((table.admin_result(3), table.admin_result(4)), (Some(None), Some(Some("nobody owns it"))));
    assert_eq!(table.admin_result(5), None);
}

#[test]
fn duties_and_admin_results_are_bounded() {
    let mut table = LeaseTable::default();
    for id in 0..1_000 {
        table.apply(&Command::Depose { id, duty: DUTY.to_string() }, false);
    }
    assert_eq!(table.admin_results.len(), MAX_ADMIN_RESULTS);
    for n in 0..20 {
        let mut command = grant("g1", 0, 0);
        if let Command::Grant { duty, .. } = &mut command {
            *duty = format!("d{n}");
        }
        table.apply(&command, false);
    }
    assert_eq!(table.duties.len(), MAX_DUTIES);
}
