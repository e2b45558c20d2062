use super::*;

#[test]
fn cluster_id_depends_on_the_voters_and_not_on_their_order() {
    let voter = |name: &str, id| VoterInfo {
        id: VoterId(id),
        name: name.to_string(),
        addr: "127.0.0.1:7100".parse().expect("an address"),
    };
    let all = [voter("g1", 1), voter("g2", 2)];
    assert_eq!(ClusterId::of(&all), ClusterId::of(&[all[1].clone(), all[0].clone()]));
    assert_ne!(ClusterId::of(&all), ClusterId::of(&[voter("g1", 1), voter("g2", 3)]));
}
