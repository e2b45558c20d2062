use std::path::Path;

use super::{minimize_trial, random_trial};
use crate::file::{FaultKind, Trial};

fn base() -> Trial {
    let text = "seconds = 10\ngatekeepers = 5\n[must]\nnever_failed = [\"g1\"]\n";
    Trial::parse(Path::new("base.toml"), text, None).expect("valid")
}

#[test]
fn all_fault_kinds_are_drawn_and_trials_are_valid() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let trial = random_trial(&base(), seed);
        assert_eq!(trial, random_trial(&base(), seed), "a seed determines the trial");
        let again = Trial::parse(Path::new("t.toml"), &trial.to_toml(), None).expect("valid");
        assert_eq!(again.faults_end_s(), trial.faults_end_s(), "{}", trial.to_toml());
        kinds.extend(trial.faults.iter().map(|f| f.kind.name()));
    }
    assert_eq!(kinds.len(), 10, "{kinds:?}");
}

#[test]
fn a_failing_trial_is_reduced_to_the_faults_it_needs() {
    let trial = (0..).map(|seed| random_trial(&base(), seed)).find(|t| {
        let pauses = t.faults.iter().filter(|f| matches!(f.kind, FaultKind::Pause { .. })).count();
        t.faults.len() == 4 && pauses == 1
    });
    let trial = trial.expect("a matching trial");
    let needs_pause =
        |t: &Trial| Ok::<_, ()>(t.faults.iter().any(|f| matches!(f.kind, FaultKind::Pause { .. })));
    let minimal = minimize_trial(&trial, needs_pause).expect("no error");
    assert_eq!(minimal.faults.len(), 1);
    assert!(matches!(minimal.faults[0].kind, FaultKind::Pause { .. }));
}
