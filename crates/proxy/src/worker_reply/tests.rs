use std::io::Write;

use lynxstair_net::http::{RequestMethod, StreamState};
use lynxstair_net::ring_buffer::RingBuffer;

use super::find_reply;

const BUFFER_BYTES: usize = 2 << 20;

/// Guards against a sized reply that counts as malformed if it is longer than the limit on bodies without a length
/// and has arrived completely before the proxy reads it.
#[test]
fn a_long_reply_is_found_however_much_of_it_has_arrived() {
    const BODY_BYTES: usize = 1_500_000;
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: me\r\nServer-Seal: s\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    for received in [0, 1, 70_000, 1_200_000, BODY_BYTES - 1, BODY_BYTES] {
        let mut inbound = RingBuffer::new(BUFFER_BYTES);
        inbound.write_all(head.as_bytes()).expect("written");
        inbound.write_all(&vec![b'b'; received]).expect("written");
        let found = find_reply(&mut inbound, RequestMethod::Other, "me", StreamState::Open);
        let found = found.expect("valid").expect("found");
        assert_eq!((found.extent.body.len(), found.remaining), (received, BODY_BYTES - received));
        assert_eq!((found.extent.head, found.content_length), (head.len(), Some(BODY_BYTES)));
        assert_eq!(found.head.allows_reuse, received == BODY_BYTES, "{received} bytes");
    }
}
