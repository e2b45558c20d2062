//! Headers of a message.

use httparse::Header;

use super::HttpError;

/// Maximum number of headers of a message.
pub(super) const MAX_HEADERS: usize = 64;

/// Headers that apply to one connection or frame its messages, and are never forwarded.
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

/// Indicator of the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// `Content-Length`, in bytes.
    Length(usize),
    /// Last chunk.
    Chunked,
    /// End of the connection.
    UntilEnd,
}

/// Headers of a message, in the order received.
pub struct Headers<'a> {
    all: [Header<'a>; MAX_HEADERS],
    count: usize,
}

impl<'a> Headers<'a> {
    /// Creates headers from the first `count` entries of `all`.
    pub(super) fn new(all: [Header<'a>; MAX_HEADERS], count: usize) -> Self {
        Headers { all, count }
    }

    /// Iterates over names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.all[..self.count].iter().map(|header| (header.name, header.value))
    }

    fn named(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// First value of a header, trimmed; `None` if it is missing or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let value = self.named(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Value of a header, trimmed; `None` if it is missing.
    ///
    /// Fails if the header is repeated, because peers could disagree on the value that applies, or if it is
    /// not UTF-8.
    pub fn single(&self, name: &str) -> Result<Option<&'a str>, HttpError> {
        let mut values = self.named(name);
        let Some(value) = values.next() else { return Ok(None) };
        let text = std::str::from_utf8(value).map_err(|_| HttpError::new(400, "not text"))?;
        if values.next().is_some() {
            return Err(HttpError::new(400, "a header twice"));
        }
        Ok(Some(text.trim()))
    }

    /// Headers to forward: all except hop-by-hop headers and those listed in `Connection`.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let has_connection_header = self.get("connection").is_some();
        self.iter().filter(move |(name, _)| {
            let is_hop_by_hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
            !(is_hop_by_hop || has_connection_header && self.has_token("connection", name))
        })
    }

    /// Returns `true` if a list-valued header contains `token`, ignoring case.
    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        let lists = self.named(name).filter_map(|value| std::str::from_utf8(value).ok());
        lists.flat_map(|list| list.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Framing of the body; `None` if the headers give none.
    ///
    /// Fails for a length with a transfer coding and for different lengths, which could be used for request
    /// smuggling.
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
            // A number that overflows is a body that is too large, not a malformed length.
            let parsed = text.parse().unwrap_or(usize::MAX);
            if length.is_some_and(|other| other != parsed) {
                return Err(HttpError::new(400, "two lengths"));
            }
            length = Some(parsed);
        }
        Ok(length)
    }
}
