use super::{EndedProbe, LinkState, LinkTable};
use crate::identity::Name;

#[test]
fn three_unanswered_probes_cut_a_link_and_one_answer_restores_it() {
    let (mut links, g2) = (LinkTable::default(), Name::new("g2").expect("a name"));
    let ended = |is_answered| Some(EndedProbe { name: g2.clone(), is_answered });
    for number in 0..3 {
        links.probe_sent(&g2, number);
        assert_eq!(links.end_probe(), ended(false));
        let expected = (number == 2).then_some(LinkState::Cut);
        assert_eq!(links.direct_probe_failed(&g2), expected);
        assert!(links.needs_relay(&g2));
    }
    links.probe_sent(&g2, 9);
    assert_eq!(links.probe_answered(&g2, 8), None, "answer to another probe");
    assert_eq!(links.probe_answered(&g2, 9), Some(LinkState::Whole));
    assert_eq!(links.end_probe(), ended(true));
    assert!(!links.needs_relay(&g2));
}
