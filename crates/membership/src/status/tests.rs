use proptest::prelude::*;

use super::{MemberStatus, State};
use crate::identity::Incarnation;

#[test]
fn final_state_ends_only_with_a_later_incarnation() {
    for end in [State::Failed, State::Left] {
        let mut member = MemberStatus::unknown(Incarnation(3));
        member.change(end, Incarnation(3)).expect("allowed");
        assert!(member.change(State::Alive, Incarnation(3)).is_err(), "{end:?}");
        assert!(member.change(State::Alive, Incarnation(2)).is_err(), "{end:?}");
        member.change(State::Alive, Incarnation(4)).expect("a later incarnation is allowed");
    }
}

#[test]
fn shut_out_member_must_be_let_in_before_a_later_incarnation_is_alive() {
    let mut member = MemberStatus::unknown(Incarnation(3));
    member.change(State::ShutOut, Incarnation(3)).expect("allowed");
    assert!(member.change(State::Alive, Incarnation(9)).is_err());
    member.change(State::Unknown, Incarnation(3)).expect("letting in is allowed");
    member.change(State::Alive, Incarnation(4)).expect("allowed");
}

proptest! {
    /// In any order of changes, incarnations never decrease, and no change leads from a final state to a
    /// present one within an incarnation.
    #[test]
    fn incarnations_never_decrease(changes in proptest::collection::vec((0..7usize, 0..5u64), 0..60)) {
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
