//! The headers of a message.

use httparse::Header;

use super::HttpError;

/// The most headers of a message.
pub(super) const MAX_HEADERS: usize = 64;

/// Headers that belong to one connection and are never passed on.
const HOP_BY_HOP: [&str; 9] = [
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

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length, in bytes.
    Length(usize),
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    UntilEnd,
}

/// The headers of a message, in their order.
pub struct Headers<'a> {
    all: [Header<'a>; MAX_HEADERS],
    count: usize,
}

impl<'a> Headers<'a> {
    /// The first `count` of these.
    pub(super) fn new(all: [Header<'a>; MAX_HEADERS], count: usize) -> Self {
        Headers { all, count }
    }

    /// Names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.all[..self.count].iter().map(|header| (header.name, header.value))
    }

    fn named(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The first value of a header; None where it is missing or no text.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let value = self.named(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// The value of a header that must not come twice: peers that take the one and the other would not agree on what was
    /// said.
    pub fn single(&self, name: &str) -> Result<Option<&'a str>, HttpError> {
        let mut values = self.named(name);
        let Some(value) = values.next() else { return Ok(None) };
        let text = std::str::from_utf8(value).map_err(|_| HttpError::new(400, "not text"))?;
        if values.next().is_some() {
            return Err(HttpError::new(400, "a header twice"));
        }
        Ok(Some(text.trim()))
    }

    /// Headers that are passed on: all but what belongs to one connection, by its name or by what `Connection` names.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let names_more = self.get("connection").is_some();
        self.iter().filter(move |(name, _)| {
            let is_hop_by_hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
            !(is_hop_by_hop || names_more && self.has_token("connection", name))
        })
    }

    /// Whether a header whose values are lists holds a token.
    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        let lists = self.named(name).filter_map(|value| std::str::from_utf8(value).ok());
        lists.flat_map(|list| list.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// How the end of the body is found. Two ways at once, or two lengths, are how requests are smuggled past a gateway.
    pub(super) fn framing(&self) -> Result<Option<Framing>, HttpError> {
        let length = self.content_length()?;
        let is_encoded = self.named("transfer-encoding").next().is_some();
        match (is_encoded, length) {
            (true, Some(_)) => Err(HttpError::new(400, "a length and a coding")),
            (true, None) if self.has_token("transfer-encoding", "chunked") => Ok(Some(Framing::Chunked)),
            (true, None) => Err(HttpError::new(400, "unknown coding")),
            (false, length) => Ok(length.map(Framing::Length)),
        }
    }

    fn content_length(&self) -> Result<Option<usize>, HttpError> {
        let mut length = None;
        for value in self.named("content-length") {
            let text = std::str::from_utf8(value).unwrap_or("").trim();
            let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            if !is_number {
                return Err(HttpError::new(400, "bad length"));
            }
            // More digits than a number holds are too much of a body, not a bad number.
            let parsed = text.parse().unwrap_or(usize::MAX);
            if length.is_some_and(|other| other != parsed) {
                return Err(HttpError::new(400, "two lengths"));
            }
            length = Some(parsed);
        }
        Ok(length)
    }
}
