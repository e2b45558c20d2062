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

/// Length of a body, as the headers give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// `Content-Length`, in bytes.
    Length(usize),
    /// Up to the last chunk.
    Chunked,
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

    /// Returns `true` if there is a header with this name, whatever its value.
    pub fn contains(&self, name: &str) -> bool {
        self.named(name).next().is_some()
    }

    /// First value of a header; `None` if it is missing or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        std::str::from_utf8(self.named(name).next()?).ok()
    }

    /// Value of a header; `None` if it is missing.
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
        Ok(Some(text))
    }

    /// Headers to forward: all except hop-by-hop headers and those listed in `Connection`.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let has_connection_header = self.contains("connection");
        self.iter().filter(move |(name, _)| {
            let is_hop_by_hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
            !(is_hop_by_hop || has_connection_header && self.has_token("connection", name))
        })
    }

    /// Elements of a list-valued header on any number of lines, without the empty ones.
    fn elements(&self, name: &str) -> impl Iterator<Item = &'a [u8]> {
        let elements = self.named(name).flat_map(|list| list.split(|byte| *byte == b','));
        elements.map(<[u8]>::trim_ascii).filter(|element| !element.is_empty())
    }

    /// Returns `true` if a list-valued header contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.elements(name).any(|element| element.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Length of the body; `None` if the headers give none.
    ///
    /// Fails if peers could disagree on it, which could be used for request smuggling: different lengths, a
    /// length with a transfer coding, a transfer coding in HTTP/1.0, or any other than `chunked` alone.
    pub(super) fn framing(&self, is_http_1_0: bool) -> Result<Option<Framing>, HttpError> {
        let length = self.content_length()?;
        if !self.contains("transfer-encoding") {
            return Ok(length.map(Framing::Length));
        }
        if length.is_some() {
            return Err(HttpError::new(400, "a length and a coding"));
        }
        let mut codings = self.elements("transfer-encoding");
        match (codings.next(), codings.next()) {
            (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") && !is_http_1_0 => {
                Ok(Some(Framing::Chunked))
            }
            _ => Err(HttpError::new(400, "unknown coding")),
        }
    }

    fn content_length(&self) -> Result<Option<usize>, HttpError> {
        let mut length = None;
        for value in self.named("content-length") {
            let digits = std::str::from_utf8(value).unwrap_or("");
            let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            if !is_number {
                return Err(HttpError::new(400, "bad length"));
            }
            // A number that overflows is a body that is too large, not a malformed length.
            let parsed = digits.parse().map_err(|_| HttpError::new(413, "body too large"))?;
            if length.is_some_and(|other| other != parsed) {
                return Err(HttpError::new(400, "two lengths"));
            }
            length = Some(parsed);
        }
        Ok(length)
    }
}
