use super::{LinkState, Links};
use crate::ident::Name;

#[test]
fn a_cut_is_said_after_three_and_taken_back_by_one_answer() {
    let (mut links, g2) = (Links::default(), Name::new("g2").expect("a name"));
    for n in 0..3 {
        links.asked(&g2, n);
        assert_eq!(links.over(), Some((g2.clone(), false)));
        let wanted = (n == 2).then_some(LinkState::Cut);
        assert_eq!(links.reached_by_others(&g2), wanted);
        assert!(links.is_doubtful(&g2));
    }
    links.asked(&g2, 9);
    assert_eq!(links.answered(&g2, 8), None, "the answer to another question");
    assert_eq!(links.answered(&g2, 9), Some(LinkState::Whole));
    assert_eq!(links.over(), Some((g2.clone(), true)));
    assert!(!links.is_doubtful(&g2));
}
