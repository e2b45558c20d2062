use super::*;

#[test]
fn sealed_and_opened() {
    let envelope = Envelope::of("kampus");
    let message = Message::Ask { from: "g1".to_string(), number: 7, ask: Ask::Show };
    let sealed = envelope.seal(&message).expect("short");
    assert_eq!(envelope.open(&sealed), Ok(message));
    assert_eq!(Envelope::of("other").open(&sealed), Err(Dropped::Fleet));
    for at in 0..sealed.len() {
        let mut spoilt = sealed.clone();
        spoilt[at] ^= 0x41;
        assert!(envelope.open(&spoilt).is_err(), "byte {at}");
        assert!(envelope.open(&sealed[..at]).is_err(), "cut at {at}");
    }
    let long = Message::Raft { founding: Founding(1), body: vec![0; LARGEST] };
    assert_eq!(envelope.seal(&long), None);
}

#[test]
fn another_voter_is_another_founding() {
    let voter = |name: &str, id| VoterAt {
        id: VoterId(id),
        name: name.to_string(),
        addr: "127.0.0.1:7100".parse().expect("an address"),
    };
    let all = [voter("g1", 1), voter("g2", 2)];
    assert_eq!(Founding::of(&all), Founding::of(&[all[1].clone(), all[0].clone()]));
    assert_ne!(Founding::of(&all), Founding::of(&[voter("g1", 1), voter("g2", 3)]));
}
