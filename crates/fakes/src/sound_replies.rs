//! Valid replies of workers in all forms that a body can take, for tests of everything that reads replies.

use std::sync::LazyLock;

/// A reply that a reader must accept.
#[derive(Clone, Debug, PartialEq)]
pub struct SoundReply {
    /// Short description.
    pub name: &'static str,
    /// Method of the request.
    pub method: &'static str,
    /// Status of the final response.
    pub status: u16,
    /// Decoded body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the last byte.
    pub closes: bool,
    /// Whether the connection may carry another response.
    pub allows_reuse: bool,
    /// Interim responses before the final one.
    interim: &'static str,
    version: &'static str,
    /// Rest of the status line.
    reason: &'static str,
    /// Lines after the attempt id and the seal, each with its line end.
    header_lines: String,
    encoded_body: Vec<u8>,
}

impl SoundReply {
    /// Returns the bytes of the reply to the attempt `id`.
    pub fn bytes(&self, id: &str) -> Vec<u8> {
        let SoundReply { interim, version, status, reason, header_lines, .. } = self;
        let head = format!(
            "{interim}{version} {status}{reason}\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n{header_lines}\r\n"
        );
        [head.as_bytes(), &self.encoded_body].concat()
    }

    /// Returns the value of `Content-Length`, if it has one.
    pub fn content_length(&self) -> Option<&str> {
        self.header_lines.lines().find_map(|line| line.strip_prefix("Content-Length: "))
    }

    fn new(
        name: &'static str,
        status: u16,
        header_lines: &str,
        encoded_body: &str,
        body: &str,
    ) -> SoundReply {
        SoundReply {
            name,
            method: "POST",
            status,
            body: body.as_bytes().to_vec(),
            closes: false,
            allows_reuse: true,
            interim: "",
            version: "HTTP/1.1",
            reason: " X",
            header_lines: header_lines.to_string(),
            encoded_body: encoded_body.as_bytes().to_vec(),
        }
    }

    /// A reply whose body has a length.
    fn sized(name: &'static str, status: u16, body: &str) -> SoundReply {
        SoundReply::new(name, status, &format!("Content-Length: {}\r\n", body.len()), body, body)
    }

    fn chunked(name: &'static str, encoded_body: &str, body: &str) -> SoundReply {
        SoundReply::new(name, 200, "Transfer-Encoding: chunked\r\n", encoded_body, body)
    }

    /// A reply to `HEAD`.
    fn head(name: &'static str, header_lines: &str, allows_reuse: bool) -> SoundReply {
        SoundReply { method: "HEAD", allows_reuse, ..SoundReply::new(name, 200, header_lines, "", "") }
    }
}

/// Length of a body that the proxy relays as it arrives.
const LONG_BODY_BYTES: usize = 200_000;
/// Length of a body that is longer than the buffers of most readers.
const VERY_LONG_BODY_BYTES: usize = 1_500_000;

/// Returns all sound replies.
pub fn sound_replies() -> &'static [SoundReply] {
    static REPLIES: LazyLock<Vec<SoundReply>> = LazyLock::new(make_replies);
    &REPLIES
}

fn make_replies() -> Vec<SoundReply> {
    [sized_replies(), chunked_replies(), closing_replies(), bodiless_replies(), interim_replies()].concat()
}

fn sized_replies() -> Vec<SoundReply> {
    let with_lines = |name, lines| SoundReply::new(name, 200, lines, "yes", "yes");
    vec![
        SoundReply::sized("short body", 200, "yes"),
        SoundReply::sized("empty body", 200, ""),
        SoundReply::sized("long body", 200, &"l".repeat(LONG_BODY_BYTES)),
        SoundReply::sized("very long body", 200, &"v".repeat(VERY_LONG_BODY_BYTES)),
        SoundReply::sized("not found", 404, "no"),
        SoundReply::sized("server error", 500, "no"),
        SoundReply::sized("unregistered status", 299, "yes"),
        SoundReply::sized("highest status", 599, "no"),
        with_lines("the same length twice", "Content-Length: 3\r\nContent-Length: 3\r\n"),
        with_lines("high bytes in a value", "Name: \u{e9}\r\nContent-Length: 3\r\n"),
        with_lines("empty value", "Name:\r\nContent-Length: 3\r\n"),
        with_lines("no blank after a colon", "Content-Length:3\r\n"),
        with_lines("line feeds as line ends", "Name: a\nContent-Length: 3\n"),
        SoundReply { reason: "", ..SoundReply::sized("no reason", 200, "yes") },
        SoundReply { interim: "\r\n", ..SoundReply::sized("empty line before", 200, "yes") },
    ]
}

fn chunked_replies() -> Vec<SoundReply> {
    let long = "l".repeat(LONG_BODY_BYTES);
    let long_chunks = format!("{LONG_BODY_BYTES:x}\r\n{long}\r\n{LONG_BODY_BYTES:X}\r\n{long}\r\n0\r\n\r\n");
    let with_coding = |name, line| SoundReply::new(name, 200, line, "3\r\nyes\r\n0\r\n\r\n", "yes");
    vec![
        SoundReply::chunked("chunks", "2\r\nye\r\n1\r\ns\r\n0\r\n\r\n", "yes"),
        SoundReply::chunked("empty chunked body", "0\r\n\r\n", ""),
        SoundReply::chunked("zeros before chunk sizes", "0003\r\nyes\r\n000\r\n\r\n", "yes"),
        SoundReply::chunked("chunk extensions", "3;a=b;c=\"d\"\r\nyes\r\n0;e\r\n\r\n", "yes"),
        SoundReply::chunked("blanks before a chunk extension", "3 \t; a = b\r\nyes\r\n0\r\n\r\n", "yes"),
        SoundReply::chunked("trailers", "3\r\nyes\r\n0\r\nA: b\r\nC:\r\n\r\n", "yes"),
        SoundReply::chunked("long chunks", &long_chunks, &long.repeat(2)),
        with_coding("chunked in upper case", "Transfer-Encoding: CHUNKED\r\n"),
        with_coding("chunked in a list with empty elements", "Transfer-Encoding: , chunked ,\r\n"),
    ]
}

/// Replies after which the worker closes the connection.
fn closing_replies() -> Vec<SoundReply> {
    let long = "l".repeat(LONG_BODY_BYTES);
    let mut last = SoundReply::sized("last reply of a connection", 200, "yes");
    last.header_lines.push_str("Connection: close\r\n");
    let replies = [
        SoundReply::new("short body up to the end", 200, "", "yes", "yes"),
        SoundReply::new("empty body up to the end", 200, "", "", ""),
        SoundReply::new("long body up to the end", 200, "", &long, &long),
        last,
        SoundReply { version: "HTTP/1.0", ..SoundReply::sized("HTTP/1.0", 200, "yes") },
    ];
    replies.into_iter().map(|reply| SoundReply { closes: true, allows_reuse: false, ..reply }).collect()
}

/// Replies without a body. A worker may by mistake send one that the head announces, so that its connection is not
/// reused.
fn bodiless_replies() -> Vec<SoundReply> {
    let announcing = SoundReply::new("not modified, with a length", 304, "Content-Length: 3\r\n", "", "");
    vec![
        SoundReply::new("no content", 204, "", "", ""),
        SoundReply::new("no content, length 0", 204, "Content-Length: 0\r\n", "", ""),
        SoundReply::new("reset content", 205, "Content-Length: 0\r\n", "", ""),
        SoundReply::new("reset content, chunked", 205, "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", ""),
        SoundReply::new("not modified", 304, "", "", ""),
        SoundReply { allows_reuse: false, ..announcing },
        SoundReply::head("HEAD, with a length", "Content-Length: 3\r\n", false),
        SoundReply::head("HEAD, with length 0", "Content-Length: 0\r\n", true),
        SoundReply::head("HEAD, chunked", "Transfer-Encoding: chunked\r\n", false),
        SoundReply::head("HEAD, without a length", "", true),
    ]
}

/// Replies after interim ones.
fn interim_replies() -> Vec<SoundReply> {
    let several =
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n";
    vec![
        SoundReply { interim: "HTTP/1.1 100 Continue\r\n\r\n", ..SoundReply::sized("after 100", 200, "yes") },
        SoundReply { interim: several, ..SoundReply::sized("after 103 and 102", 200, "yes") },
    ]
}
