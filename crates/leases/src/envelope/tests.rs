use super::*;
use crate::identity::ClusterId;
use crate::message::Request;

#[test]
fn damaged_and_foreign_datagrams_are_dropped() {
    let envelope = Envelope::new("kampus");
    let message = Message::Request { from: "g1".to_string(), number: 7, request: Request::ReadTable };
    let datagram = envelope.encode(&message).expect("short");
    assert_eq!(envelope.decode(&datagram), Ok(message));
    assert_eq!(Envelope::new("other").decode(&datagram), Err(DecodeError::OtherFleet));
    for at in 0..datagram.len() {
        let mut damaged = datagram.clone();
        damaged[at] ^= 0x41;
        assert!(envelope.decode(&damaged).is_err(), "byte {at}");
        assert!(envelope.decode(&datagram[..at]).is_err(), "cut at {at}");
    }
    let long = Message::Raft { cluster_id: ClusterId(1), body: vec![0; MAX_DATAGRAM_BYTES] };
    assert_eq!(envelope.encode(&long), None);
}
