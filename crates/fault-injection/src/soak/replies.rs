//! Replies of the workers of a soak. Their form is derived from the attempt id: most have a length, some are long, chunked or
//! without a length, and some are no valid responses.

use std::net::TcpStream;

use lynxstair_fakes::{BrokenReply, Pace, broken_replies};

/// Length of a long body, in bytes. The proxy relays it while it arrives.
const LONG_BODY_BYTES: usize = 100_000;
/// Factor of the hash of an attempt id.
const HASH_FACTOR: u64 = 31;
/// Start value of the hash that decides on the body.
const BODY_SALT: u64 = 7;
/// Start value of the hash that decides on the form, increased by the number of the worker.
const FORM_SALT: u64 = 1_000_003;

/// Form of a reply.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplyForm {
    /// With a length.
    Sized,
    /// With a length, after an interim response.
    AfterInterim,
    /// In two chunks.
    Chunked,
    /// Up to the end of the connection.
    UntilEnd,
    /// No valid response.
    Broken(&'static BrokenReply),
}

/// Reply of a worker to one attempt.
pub(super) struct Reply {
    bytes: Vec<u8>,
    pace: Pace,
    /// Whether the connection is closed after the last byte.
    pub closes: bool,
}

impl Reply {
    /// Returns the reply of a worker. Another worker may reply to the same attempt in another form, but with the same
    /// body.
    pub fn new(worker: usize, id: &str) -> Reply {
        let number = hash(id, FORM_SALT + worker as u64);
        let pace = Pace::ALL[number as usize / 100 % Pace::ALL.len()];
        let form = match number % 100 {
            0..=2 => ReplyForm::Broken(any_broken_reply(number / 200)),
            3..=9 => ReplyForm::Chunked,
            10..=14 => ReplyForm::UntilEnd,
            15..=19 => ReplyForm::AfterInterim,
            _ => ReplyForm::Sized,
        };
        let closes = match form {
            ReplyForm::Broken(reply) => reply.closes,
            ReplyForm::UntilEnd => true,
            ReplyForm::Sized | ReplyForm::AfterInterim | ReplyForm::Chunked => false,
        };
        Reply { bytes: form.bytes(id), pace, closes }
    }

    /// Writes the reply. Returns `false` if the connection has ended.
    pub fn write(&self, stream: &TcpStream) -> bool {
        self.pace.write(stream, &self.bytes)
    }
}

impl ReplyForm {
    fn bytes(self, id: &str) -> Vec<u8> {
        let body = body_of(id);
        let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n");
        let sized = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        match self {
            ReplyForm::Sized => sized.into_bytes(),
            ReplyForm::AfterInterim => {
                format!("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n{sized}").into_bytes()
            }
            ReplyForm::Chunked => {
                let (first, second) = body.split_at(1);
                let (first_len, second_len) = (first.len(), second.len());
                let chunks = format!(
                    "{first_len:x}\r\n{first}\r\n{second_len:x};a=b\r\n{second}\r\n0\r\nC: d\r\n\r\n"
                );
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
            }
            ReplyForm::UntilEnd => format!("{head}\r\n{body}").into_bytes(),
            ReplyForm::Broken(reply) => reply.bytes(id),
        }
    }
}

/// Returns the body of a valid reply to an attempt: its id, or a long text that begins with it.
pub(super) fn body_of(id: &str) -> String {
    let is_long = hash(id, BODY_SALT).is_multiple_of(50);
    if is_long { id.repeat(LONG_BODY_BYTES / id.len().max(1)) } else { id.to_string() }
}

fn any_broken_reply(number: u64) -> &'static BrokenReply {
    let all: Vec<_> = broken_replies().collect();
    all[number as usize % all.len()]
}

fn hash(id: &str, salt: u64) -> u64 {
    id.bytes().fold(salt, |sum, byte| sum.wrapping_mul(HASH_FACTOR).wrapping_add(u64::from(byte)))
}
