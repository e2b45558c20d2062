//! Asks a member at its control port: blocking, for command-line tools.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

use crate::protocol::{Answer, Ask, LONGEST_ANSWER};

const CONNECTS_WITHIN: Duration = Duration::from_millis(1_000);
const ANSWERS_WITHIN: Duration = Duration::from_millis(3_000);

/// Asks one thing, and waits for the answer: a second for the connection, three for the rest.
///
/// # Errors
/// Where the member can't be reached or does not answer in time, or not in a way this program understands.
pub fn ask(addr: SocketAddrV4, ask: &Ask) -> io::Result<Answer> {
    say(&TcpStream::connect_timeout(&addr.into(), CONNECTS_WITHIN)?, ask, ANSWERS_WITHIN)
}

/// The same on a connection that is open.
pub(crate) fn say(stream: &TcpStream, ask: &Ask, within: Duration) -> io::Result<Answer> {
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    let mut said = serde_json::to_vec(ask)?;
    said.push(b'\n');
    let mut out = stream;
    out.write_all(&said)?;
    let mut line = String::new();
    BufReader::new(stream.take(LONGEST_ANSWER as u64)).read_line(&mut line)?;
    if line.is_empty() {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "no answer"));
    }
    Ok(serde_json::from_str(&line)?)
}
