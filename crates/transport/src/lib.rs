//! Lines between the system's own processes: frames of CBOR on one TCP connection, written at once, never waited
//! for. A line that breaks is opened anew by who opened it; what was on the way is lost, and both sides know that.
#![deny(unsafe_code)]

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::Span;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::conn::{Conn, Got};
use lynxstair_protocol::frames;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What a line holds of one direction.
pub const MOST: usize = frames::MOST_FRAME + 4;
/// Bytes that nobody acknowledges for so long end a line.
const SILENCE: Span = Span::from_millis(1_500);

/// Opens a line; None where that fails or takes longer than `within`, which is to be little more than the longest way
/// there and back: what was sent to a machine without power is sent again after seconds only.
pub fn open(alarms: &Alarms, to: SocketAddr, within: Span) -> Option<Arc<Conn>> {
    let conn = Arc::new(Conn::open(to, MOST).ok()?);
    let until = alarms.now() + within;
    alarms.nudge(until, &conn);
    if !connected(alarms, &conn, until) {
        conn.close();
        return None;
    }
    limit(&conn);
    Some(conn)
}

fn connected(alarms: &Alarms, conn: &Arc<Conn>, until: lynxstair::types::Time) -> bool {
    conn.connected_by(|| alarms.now() >= until).is_ok()
}

pub fn limit(conn: &Conn) {
    conn.limit_silence(SILENCE);
}

/// A word as it goes over a line.
pub fn frame<T: Serialize>(word: &T) -> Vec<u8> {
    let mut out = Vec::new();
    frames::put(word, &mut out);
    out
}

/// Writes a frame; a line that leads nowhere is closed.
pub fn write(conn: &Conn, frame: &[u8], most_unsent: usize) {
    if conn.unsent() > most_unsent || conn.write(|out| out.write_all(frame)).is_err() {
        conn.close();
    }
}

/// Reads words to the end of the line, or until one is answered with false.
pub fn read<T: DeserializeOwned>(conn: &Conn, mut hear: impl FnMut(T) -> bool) {
    read_while(conn, |word: Option<T>| word.is_none_or(&mut hear));
}

/// The same, where whoever listens is also asked, by None, each time that it is woken.
pub fn read_while<T: DeserializeOwned>(conn: &Conn, mut hear: impl FnMut(Option<T>) -> bool) {
    loop {
        if conn.read() != Got::Bytes || !hear(None) {
            return;
        }
        loop {
            let mut inbound = conn.inbound();
            match frames::take::<T>(inbound.bytes()) {
                Ok(None) => break,
                Ok(Some((word, length))) => {
                    inbound.consume(length);
                    drop(inbound);
                    if !hear(Some(word)) {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }
}
