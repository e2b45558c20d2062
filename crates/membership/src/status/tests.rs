use proptest::prelude::*;

use super::{MemberStatus, State};
use crate::identity::Incarnation;

#[test]
fn a_final_state_ends_only_by_a_later_incarnation() {
    for end in [State::Failed, State::Left] {
        let mut member = MemberStatus::unknown(Incarnation(3));
        member.change(end, Incarnation(3)).expect("may");
        assert!(member.change(State::Alive, Incarnation(3)).is_err(), "{end:?}");
        assert!(member.change(State::Alive, Incarnation(2)).is_err(), "{end:?}");
        member.change(State::Alive, Incarnation(4)).expect("a later one may");
    }
}

#[test]
fn an_excluded_member_must_be_readmitted() {
    let mut member = MemberStatus::unknown(Incarnation(3));
    member.change(State::ShutOut, Incarnation(3)).expect("may");
    assert!(member.change(State::Alive, Incarnation(9)).is_err());
    member.change(State::Unknown, Incarnation(3)).expect("let in");
    member.change(State::Alive, Incarnation(4)).expect("may");
}

proptest! {
    /// Whatever is asked for in whatever order: incarnations never go back, and one life ends once.
    #[test]
    fn incarnations_never_go_back_in_any_order(changes in proptest::collection::vec((0..7usize, 0..5u64), 0..60)) {
        let mut member = MemberStatus::unknown(Incarnation(0));
        for (state, incarnation) in changes {
            let before = member;
            let changed = member.change(State::ALL[state], Incarnation(incarnation)).is_ok();
            prop_assert!(changed || member == before);
            prop_assert!(member.incarnation() >= before.incarnation());
            let same_incarnation = member.incarnation() == before.incarnation();
            if same_incarnation && before.state().is_final() {
                prop_assert!(!member.state().is_present());
            }
        }
    }
}
