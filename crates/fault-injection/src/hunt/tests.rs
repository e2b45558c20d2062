use std::path::Path;

use super::{minimize_trial, random_trial};
use crate::file::{Kind, Trial};

fn base() -> Trial {
    let text = "seconds = 10\ngatekeepers = 5\n[must]\nnever_failed = [\"g1\"]\n";
    Trial::parse(Path::new("base.toml"), text, None).expect("good")
}

#[test]
fn all_kinds_are_drawn_and_can_be_played() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let trial = random_trial(&base(), seed);
        assert_eq!(trial, random_trial(&base(), seed), "the same seed draws the same");
        let again = Trial::parse(Path::new("t.toml"), &trial.to_toml(), None).expect("can be played");
        assert_eq!(again.faults_over(), trial.faults_over(), "{}", trial.to_toml());
        kinds.extend(trial.faults.iter().map(|f| f.kind.name()));
    }
    assert_eq!(kinds.len(), 10, "{kinds:?}");
}

#[test]
fn only_the_faults_it_needs_are_left() {
    let trial = (0..).map(|seed| random_trial(&base(), seed)).find(|t| {
        let pauses = t.faults.iter().filter(|f| matches!(f.kind, Kind::Pause { .. })).count();
        t.faults.len() == 4 && pauses == 1
    });
    let trial = trial.expect("one is drawn");
    let needs_pause = |t: &Trial| Ok::<_, ()>(t.faults.iter().any(|f| matches!(f.kind, Kind::Pause { .. })));
    let least = minimize_trial(&trial, needs_pause).expect("played");
    assert_eq!(least.faults.len(), 1);
    assert!(matches!(least.faults[0].kind, Kind::Pause { .. }));
}
