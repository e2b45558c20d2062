use proptest::prelude::*;

use super::{Life, State};
use crate::ident::Incarnation;

#[test]
fn what_is_over_comes_back_only_by_a_later_incarnation() {
    for over in [State::Failed, State::Left] {
        let mut one = Life::unknown(Incarnation(3));
        one.change(over, Incarnation(3)).expect("may");
        assert!(one.change(State::Alive, Incarnation(3)).is_err(), "{over:?}");
        assert!(one.change(State::Alive, Incarnation(2)).is_err(), "{over:?}");
        one.change(State::Alive, Incarnation(4)).expect("a later one may");
    }
}

#[test]
fn one_shut_out_has_to_be_let_in() {
    let mut one = Life::unknown(Incarnation(3));
    one.change(State::ShutOut, Incarnation(3)).expect("may");
    assert!(one.change(State::Alive, Incarnation(9)).is_err());
    one.change(State::Unknown, Incarnation(3)).expect("let in");
    one.change(State::Alive, Incarnation(4)).expect("may");
}

proptest! {
    /// Whatever is asked for in whatever order: incarnations never go back, and one life ends once.
    #[test]
    fn any_order_keeps_the_order_of_lives(asked in proptest::collection::vec((0..7usize, 0..5u64), 0..60)) {
        let mut one = Life::unknown(Incarnation(0));
        for (state, incarnation) in asked {
            let before = one;
            let changed = one.change(State::ALL[state], Incarnation(incarnation)).is_ok();
            prop_assert!(changed || one == before);
            prop_assert!(one.incarnation() >= before.incarnation());
            let same_life = one.incarnation() == before.incarnation();
            if same_life && before.state().is_over() {
                prop_assert!(!one.state().is_there());
            }
        }
    }
}
