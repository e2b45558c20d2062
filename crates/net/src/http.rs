//! HTTP/1.1 messages: where they end, what their heads say. Nothing here knows a peer's own headers.

use std::io::{self, Write};
use std::ops::Range;

use httparse::{EMPTY_HEADER, Header, Status};

use crate::conn::Ring;

/// A body holds at most so much, and a head too.
pub const MOST_BODY: usize = 64 * 1024;
pub const MOST_HEAD: usize = 16 * 1024;
/// What a connection may hold of one direction: a message and the framing of its body.
pub const MOST_MESSAGE: usize = MOST_BODY + 2 * MOST_HEAD;
const MOST_HEADERS: usize = 64;

/// What is wrong with a message: the status that says so, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u16, pub &'static str);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilEnd,
}

/// How far the connection that an answer comes on has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// More may come.
    Open,
    /// The other side closed it in order.
    Orderly,
    /// It broke, by a reset, by silence or closed here: what came may lack its end.
    Broken,
}

/// A whole message at the front of a buffer: the head up to the body, the body, and all that it took up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Extent {
    pub head: usize,
    pub body: Range<usize>,
    pub all: usize,
    /// Whether the connection may carry another one.
    pub keep_alive: bool,
}

/// The head of what a client sends.
pub struct Call<'a> {
    /// HTTP/1.0, where a connection carries one message unless it says otherwise.
    is_old: bool,
    pub method: &'a str,
    pub target: &'a str,
    pub headers: Headers<'a>,
}

/// The head of an answer.
pub struct Answer<'a> {
    is_old: bool,
    pub status: u16,
    pub headers: Headers<'a>,
}

pub struct Headers<'a> {
    all: [Header<'a>; MOST_HEADERS],
    count: usize,
}

impl<'a> Headers<'a> {
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.all[..self.count].iter().map(|h| (h.name, h.value))
    }

    pub fn get(&self, name: &str) -> Option<&'a str> {
        let found = self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.1).ok().map(str::trim)
    }

    /// A header that must not come twice: peers that take the one and the other would not agree on what was said.
    pub fn only(&self, name: &str) -> Result<Option<&'a str>, Bad> {
        let mut named = self.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let Some((_, value)) = named.next() else { return Ok(None) };
        let text = std::str::from_utf8(value).map_err(|_| Bad(400, "not text"))?;
        if named.next().is_some() { Err(Bad(400, "a header twice")) } else { Ok(Some(text.trim())) }
    }

    /// Those that are passed on: all but what belongs to one connection, by its name or by what `Connection` names.
    pub fn passed_on(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let names_more = self.get("connection").is_some();
        self.iter().filter(move |(name, _)| {
            !(is_of_connection(name) || names_more && self.has_token("connection", name))
        })
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        let named = self.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let lists = named.filter_map(|(_, v)| std::str::from_utf8(v).ok());
        lists.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// How the body ends. Two ways at once, or two lengths, are how invocations are smuggled past a gateway.
    fn framing(&self) -> Result<Option<Framing>, Bad> {
        let mut length = None;
        for (_, value) in self.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length")) {
            let text = std::str::from_utf8(value).unwrap_or("").trim();
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let n = text.parse().ok().filter(|_| digits);
            // More digits than a number holds are too much of a body, not a bad number.
            let n: usize = n.or(digits.then_some(usize::MAX)).ok_or(Bad(400, "bad length"))?;
            if length.is_some_and(|l| l != n) {
                return Err(Bad(400, "two lengths"));
            }
            length = Some(n);
        }
        let coded = self.iter().any(|(n, _)| n.eq_ignore_ascii_case("transfer-encoding"));
        match (coded, length) {
            (true, Some(_)) => Err(Bad(400, "a length and a coding")),
            (true, None) if self.has_token("transfer-encoding", "chunked") => Ok(Some(Framing::Chunked)),
            (true, None) => Err(Bad(400, "unknown coding")),
            (false, length) => Ok(length.map(Framing::Length)),
        }
    }
}

/// Reads the head of what a client sends, once it is whole; with its length.
pub fn call(bytes: &[u8]) -> Result<Option<(Call<'_>, usize)>, Bad> {
    let mut all = [EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut all);
    let head = match parsed.parse(bytes) {
        Ok(Status::Complete(head)) if head <= MOST_HEAD => head,
        Ok(Status::Partial) if bytes.len() <= MOST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Bad(431, "head too large")),
        Err(_) => return Err(Bad(400, "malformed")),
    };
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let count = parsed.headers.len();
    let is_old = parsed.version == Some(0);
    Ok(Some((Call { is_old, method, target, headers: Headers { all, count } }, head)))
}

/// Reads the head of an answer, once it is whole; with its length.
pub fn answer(bytes: &[u8]) -> Result<Option<(Answer<'_>, usize)>, Bad> {
    let mut all = [EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut all);
    match parsed.parse(bytes) {
        Ok(Status::Complete(head)) => {
            let status = parsed.code.unwrap_or(0);
            let count = parsed.headers.len();
            let is_old = parsed.version == Some(0);
            Ok(Some((Answer { is_old, status, headers: Headers { all, count } }, head)))
        }
        Ok(Status::Partial) if bytes.len() <= MOST_HEAD => Ok(None),
        _ => Err(Bad(502, "malformed answer")),
    }
}

/// Where a client's message ends, once it is whole. A chunked body is put together in place.
pub fn call_extent(bytes: &mut [u8], most: usize) -> Result<Option<Extent>, Bad> {
    let Some((call, head)) = call(bytes)? else { return Ok(None) };
    let framing = call.headers.framing()?.unwrap_or(Framing::Length(0));
    let says = |token| call.headers.has_token("connection", token);
    let keep_alive = !says("close") && (!call.is_old || says("keep-alive"));
    extent(bytes, head, framing, keep_alive, most)
}

/// Where an answer ends, once it is whole: the one place that says so. By its length, by its last chunk, or, where
/// it has neither, by an orderly close only; an answer that a reset or silence cut short is never whole. `most` is
/// how long its body may be: one that says to be longer is no answer, and is not waited for.
pub fn answer_extent(bytes: &mut [u8], stop: Stop, most: usize) -> Result<Option<Extent>, Bad> {
    let Some((answer, head)) = answer(bytes)? else { return Ok(None) };
    let bare = answer.status < 200 || matches!(answer.status, 204 | 304);
    let framing =
        if bare { Framing::Length(0) } else { answer.headers.framing()?.unwrap_or(Framing::UntilEnd) };
    let keep_alive = !answer.is_old && !answer.headers.has_token("connection", "close");
    match framing {
        Framing::UntilEnd if stop != Stop::Orderly => {
            if bytes.len() - head > most {
                Err(Bad(502, "answer too large"))
            } else {
                Ok(None)
            }
        }
        Framing::UntilEnd => extent(bytes, head, Framing::Length(bytes.len() - head), false, most),
        framing => extent(bytes, head, framing, keep_alive, most),
    }
}

fn extent(
    bytes: &mut [u8],
    head: usize,
    framing: Framing,
    keep_alive: bool,
    most: usize,
) -> Result<Option<Extent>, Bad> {
    let (body, taken) = match framing {
        Framing::Length(n) if n > most => return Err(Bad(413, "body too large")),
        Framing::Length(n) => (n, n),
        _ => match unchunk(&mut bytes[head..], most)? {
            Some(both) => both,
            None => return Ok(None),
        },
    };
    if bytes.len() < head + taken {
        return Ok(None);
    }
    Ok(Some(Extent { head, body: head..head + body, all: head + taken, keep_alive }))
}

/// Puts a chunked body together in place once it is whole: its length, and how much it took up.
fn unchunk(bytes: &mut [u8], most: usize) -> Result<Option<(usize, usize)>, Bad> {
    let mut total = 0;
    // First only looked through: it may have to wait for more.
    let mut at = 0;
    let mut chunks = 0;
    loop {
        let Some((start, size)) = chunk(bytes, at)? else {
            // What is there of it is already more than a body may hold, with its framing.
            return if bytes.len() > most + MOST_HEAD { Err(Bad(413, "body too large")) } else { Ok(None) };
        };
        total += size;
        if total > most {
            return Err(Bad(413, "body too large"));
        }
        if size == 0 {
            // Trailers are read over, up to an empty line.
            let Some(end) = end_of_trailers(bytes, start) else { return Ok(None) };
            let mut to = 0;
            let mut at = 0;
            for _ in 0..chunks {
                let Some((start, size)) = chunk(bytes, at)? else { break };
                bytes.copy_within(start..start + size, to);
                to += size;
                at = start + size + 2;
            }
            return Ok(Some((total, end)));
        }
        if bytes.len() < start + size + 2 {
            return Ok(None);
        }
        if &bytes[start + size..start + size + 2] != b"\r\n" {
            return Err(Bad(400, "malformed chunk"));
        }
        chunks += 1;
        at = start + size + 2;
    }
}

/// Where a chunk's bytes start, and how many they are.
pub fn chunk(bytes: &[u8], at: usize) -> Result<Option<(usize, usize)>, Bad> {
    match httparse::parse_chunk_size(bytes.get(at..).unwrap_or(&[])) {
        Ok(Status::Complete((n, size))) => match usize::try_from(size) {
            Ok(size) if size <= 1 << 30 => Ok(Some((at + n, size))),
            _ => Err(Bad(413, "body too large")),
        },
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(Bad(400, "malformed chunk")),
    }
}

fn end_of_trailers(bytes: &[u8], start: usize) -> Option<usize> {
    if bytes.get(start..start + 2)? == b"\r\n" {
        return Some(start + 2);
    }
    bytes[start..].windows(4).position(|w| w == b"\r\n\r\n").map(|n| start + n + 4)
}

/// Whether a header belongs to one connection and is never passed on.
fn is_of_connection(name: &str) -> bool {
    const NAMES: [&str; 9] = [
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "expect",
    ];
    NAMES.iter().any(|n| name.eq_ignore_ascii_case(n))
}

/// Writes one header line.
pub fn put_header(out: &mut Ring, name: &str, value: &[u8]) -> io::Result<()> {
    out.write_all(name.as_bytes())?;
    out.write_all(b": ")?;
    out.write_all(value)?;
    out.write_all(b"\r\n")
}

/// Writes an answer of our own.
pub fn put_answer(
    out: &mut Ring,
    status: u16,
    headers: &str,
    body: &str,
    keep_alive: bool,
) -> io::Result<()> {
    let connection = if keep_alive { "" } else { "Connection: close\r\n" };
    let (reason, n) = (reason(status), body.len());
    write!(out, "HTTP/1.1 {status} {reason}\r\n{headers}{connection}Content-Length: {n}\r\n\r\n{body}")
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        307 => "Temporary Redirect",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests;
