//! Replies of workers that are no valid HTTP/1.1 responses (RFC 9110, RFC 9112), for tests of everything that reads
//! replies. `docs/design/replies.md` has the rules behind the groups.

/// A reply that must never reach a client as a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrokenReply {
    /// Short description.
    pub name: &'static str,
    status_line: &'static [u8],
    /// Lines after the attempt id and the seal, each without its line end.
    header_lines: &'static [&'static [u8]],
    body: &'static [u8],
    /// Whether the connection is closed after the last byte.
    pub closes: bool,
}

impl BrokenReply {
    /// Returns the bytes of the reply to the attempt `id`.
    pub fn bytes(&self, id: &str) -> Vec<u8> {
        let own_lines = [format!("Attempt-Id: {id}").into_bytes(), b"Server-Seal: s".to_vec()];
        let mut bytes = self.status_line.to_vec();
        for line in own_lines.iter().map(Vec::as_slice).chain(self.header_lines.iter().copied()) {
            bytes.extend_from_slice(b"\r\n");
            bytes.extend_from_slice(line);
        }
        bytes.extend_from_slice(b"\r\n\r\n");
        // A body may itself look like a reply to the attempt.
        match std::str::from_utf8(self.body) {
            Ok(body) => bytes.extend_from_slice(body.replace("{id}", id).as_bytes()),
            Err(_) => bytes.extend_from_slice(self.body),
        }
        bytes
    }

    const fn closing(mut self) -> BrokenReply {
        self.closes = true;
        self
    }
}

const fn reply(
    name: &'static str,
    status_line: &'static [u8],
    header_lines: &'static [&'static [u8]],
    body: &'static [u8],
) -> BrokenReply {
    BrokenReply { name, status_line, header_lines, body, closes: false }
}

const fn ok(name: &'static str, header_lines: &'static [&'static [u8]], body: &'static [u8]) -> BrokenReply {
    reply(name, b"HTTP/1.1 200 OK", header_lines, body)
}

const fn chunked(name: &'static str, body: &'static [u8]) -> BrokenReply {
    ok(name, &[b"Transfer-Encoding: chunked"], body)
}

const LENGTH_2: &[&[u8]] = &[b"Content-Length: 2"];
/// A body in the form of a valid reply.
const REPLY_AS_BODY: &[u8] =
    b"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nno";

/// Status lines. Status codes are 100 to 599.
pub const BROKEN_STATUS_LINES: &[BrokenReply] = &[
    reply("status 000", b"HTTP/1.1 000 OK", LENGTH_2, b"no"),
    reply("status 000 without a reason", b"HTTP/1.1 000", LENGTH_2, b"no"),
    reply("status 001", b"HTTP/1.1 001 OK", LENGTH_2, b"no"),
    reply("status 099", b"HTTP/1.1 099 OK", LENGTH_2, b"no"),
    reply("status 600", b"HTTP/1.1 600 OK", LENGTH_2, b"no"),
    reply("status 999", b"HTTP/1.1 999 OK", LENGTH_2, b"no"),
    reply("status with two digits", b"HTTP/1.1 20 OK", LENGTH_2, b"no"),
    reply("status with four digits", b"HTTP/1.1 2000 OK", LENGTH_2, b"no"),
    reply("negative status", b"HTTP/1.1 -20 OK", LENGTH_2, b"no"),
    reply("hexadecimal status", b"HTTP/1.1 2a0 OK", LENGTH_2, b"no"),
    reply("no status", b"HTTP/1.1 OK", LENGTH_2, b"no"),
    reply("two blanks before the status", b"HTTP/1.1  200 OK", LENGTH_2, b"no"),
    reply("tab before the status", b"HTTP/1.1\t200 OK", LENGTH_2, b"no"),
    reply("unknown version", b"HTTP/3.7 200 OK", LENGTH_2, b"no"),
    reply("version in lower case", b"http/1.1 200 OK", LENGTH_2, b"no"),
    reply("another protocol", b"ICY 200 OK", LENGTH_2, b"no"),
    reply("blank before the version", b" HTTP/1.1 200 OK", LENGTH_2, b"no"),
    reply("control byte in the reason", b"HTTP/1.1 200 O\x01K", LENGTH_2, b"no"),
    reply("bare carriage return in the reason", b"HTTP/1.1 200 O\rK", LENGTH_2, b"no"),
];

/// Field lines.
pub const BROKEN_FIELD_LINES: &[BrokenReply] = &[
    ok("blank in a name", &[b"Bad Name: x", b"Content-Length: 2"], b"no"),
    ok("blank after a name", &[b"Name : x", b"Content-Length: 2"], b"no"),
    ok("tab after a name", &[b"Name\t: x", b"Content-Length: 2"], b"no"),
    ok("blank before a name", &[b"Content-Length: 2", b" Name: x"], b"no"),
    ok("control byte in a name", &[b"Na\x01me: x", b"Content-Length: 2"], b"no"),
    ok("vertical tab in a name", &[b"Na\x0bme: x", b"Content-Length: 2"], b"no"),
    ok("NUL in a name", &[b"Na\0me: x", b"Content-Length: 2"], b"no"),
    ok("DEL in a name", &[b"Na\x7fme: x", b"Content-Length: 2"], b"no"),
    ok("high byte in a name", &[b"Na\xe9me: x", b"Content-Length: 2"], b"no"),
    ok("bare carriage return in a name", &[b"Na\rme: x", b"Content-Length: 2"], b"no"),
    ok("separator in a name", &[b"Na(me: x", b"Content-Length: 2"], b"no"),
    ok("empty name", &[b": x", b"Content-Length: 2"], b"no"),
    ok("no colon", &[b"Name", b"Content-Length: 2"], b"no"),
    ok("blank after the name of the length", &[b"Content-Length : 2"], b"no"),
    ok("control byte after the name of the length", &[b"Content-Length\x01: 2"], b"no"),
    ok("blank after the name of the coding", &[b"Transfer-Encoding : chunked"], b"2\r\nno\r\n0\r\n\r\n"),
    ok("control byte in a value", &[b"Name: a\x01b", b"Content-Length: 2"], b"no"),
    ok("NUL in a value", &[b"Name: a\0b", b"Content-Length: 2"], b"no"),
    ok("bare carriage return in a value", &[b"Name: a\rb", b"Content-Length: 2"], b"no"),
    ok("folded line", &[b"Name: a", b" b", b"Content-Length: 2"], b"no"),
];

/// Content lengths.
pub const BROKEN_LENGTHS: &[BrokenReply] = &[
    ok("negative length", &[b"Content-Length: -2"], b"no"),
    ok("length with a sign", &[b"Content-Length: +2"], b"no"),
    ok("hexadecimal length", &[b"Content-Length: 0x2"], b"no"),
    ok("length with a fraction", &[b"Content-Length: 2.0"], b"no"),
    ok("length that is no number", &[b"Content-Length: two"], b"no"),
    ok("empty length", &[b"Content-Length:"], b"no").closing(),
    ok("length in two parts", &[b"Content-Length: 2 2"], b"no"),
    ok("list of different lengths", &[b"Content-Length: 2, 3"], b"no!"),
    ok("two different lengths", &[b"Content-Length: 2", b"Content-Length: 3"], b"no!"),
    ok("length with a no-break space", &[b"Content-Length: 2\xc2\xa0"], b"no"),
    ok("length above all numbers", &[b"Content-Length: 99999999999999999999999999"], b"no"),
    ok("length that overflows to 2", &[b"Content-Length: 18446744073709551618"], b"no"),
    ok("body shorter than its length", &[b"Content-Length: 3"], b"no").closing(),
    ok("no body", &[b"Content-Length: 2"], b"").closing(),
];

/// Transfer codings. The proxy requests none, and decodes `chunked` only.
pub const BROKEN_TRANSFER_CODINGS: &[BrokenReply] = &[
    ok("length and coding", &[b"Content-Length: 2", b"Transfer-Encoding: chunked"], b"2\r\nno\r\n0\r\n\r\n"),
    ok("unknown coding", &[b"Transfer-Encoding: zip"], b"no").closing(),
    ok("identity", &[b"Transfer-Encoding: identity"], b"no").closing(),
    ok("empty coding", &[b"Transfer-Encoding:"], b"no").closing(),
    ok("coding before chunked", &[b"Transfer-Encoding: gzip, chunked"], b"2\r\nno\r\n0\r\n\r\n"),
    ok("coding after chunked", &[b"Transfer-Encoding: chunked, gzip"], b"2\r\nno\r\n0\r\n\r\n"),
    ok(
        "coding on a line before chunked",
        &[b"Transfer-Encoding: gzip", b"Transfer-Encoding: chunked"],
        b"2\r\nno\r\n0\r\n\r\n",
    ),
    ok("chunked twice", &[b"Transfer-Encoding: chunked, chunked"], b"2\r\nno\r\n0\r\n\r\n"),
    ok(
        "chunked on two lines",
        &[b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"],
        b"2\r\nno\r\n0\r\n\r\n",
    ),
    ok("chunked with a parameter", &[b"Transfer-Encoding: chunked;q=1"], b"2\r\nno\r\n0\r\n\r\n"),
    ok("chunked with a no-break space", &[b"Transfer-Encoding: chunked\xc2\xa0"], b"2\r\nno\r\n0\r\n\r\n"),
    ok(
        "chunked beside a line that is no text",
        &[b"Transfer-Encoding: \xff", b"Transfer-Encoding: chunked"],
        b"2\r\nno\r\n0\r\n\r\n",
    ),
    reply(
        "chunked in HTTP/1.0",
        b"HTTP/1.0 200 OK",
        &[b"Transfer-Encoding: chunked"],
        b"2\r\nno\r\n0\r\n\r\n",
    ),
];

/// Chunked bodies.
pub const BROKEN_CHUNKS: &[BrokenReply] = &[
    chunked("empty chunk size", b"2\r\nno\r\n\r\n\r\n"),
    chunked("extension without a chunk size", b"2\r\nno\r\n;x\r\n\r\n"),
    chunked("blank in place of a chunk size", b"2\r\nno\r\n \r\n\r\n"),
    chunked("blank before a chunk size", b" 2\r\nno\r\n0\r\n\r\n"),
    chunked("blank after a chunk size", b"2 \r\nno\r\n0\r\n\r\n"),
    chunked("chunk size in two parts", b"2 2\r\nno\r\n0\r\n\r\n"),
    chunked("chunk size with a prefix", b"0x2\r\nno\r\n0\r\n\r\n"),
    chunked("negative chunk size", b"-2\r\nno\r\n0\r\n\r\n"),
    chunked("chunk size that is no number", b"zz\r\nno\r\n0\r\n\r\n"),
    chunked("chunk size that overflows to 2", b"10000000000000002\r\nno\r\n0\r\n\r\n"),
    chunked("chunk size with 16 digits", b"fffffffffffffffe\r\nno\r\n0\r\n\r\n"),
    chunked("control byte in a chunk extension", b"2;x\x01\r\nno\r\n0\r\n\r\n"),
    chunked("bare line feed in a chunk extension", b"2;x\n\r\nno\r\n0\r\n\r\n"),
    chunked("chunk size ended by a line feed", b"2\nno\r\n0\r\n\r\n"),
    chunked("chunk longer than its size", b"2\r\nno!\r\n0\r\n\r\n"),
    chunked("chunk without a line end", b"2\r\nno0\r\n\r\n"),
    chunked("chunk ended by a line feed", b"2\r\nno\n0\r\n\r\n"),
    chunked("no last chunk", b"2\r\nno\r\n").closing(),
    chunked("no end after the last chunk", b"2\r\nno\r\n0\r\n").closing(),
    chunked("chunk cut short", b"5\r\nno").closing(),
    chunked("trailer without a colon", b"2\r\nno\r\n0\r\nTrailer\r\n\r\n"),
    chunked("trailer with a blank in its name", b"2\r\nno\r\n0\r\nTrai ler: x\r\n\r\n"),
    chunked("trailer with a control byte in its name", b"2\r\nno\r\n0\r\nTrai\x01ler: x\r\n\r\n"),
    chunked("trailer with a control byte in its value", b"2\r\nno\r\n0\r\nTrailer: \x01\r\n\r\n"),
    chunked("trailer ended by line feeds", b"2\r\nno\r\n0\r\nTrailer: x\n\n"),
];

/// Responses whose status allows no body, and switches to another protocol, which nobody requested.
pub const BROKEN_BODILESS: &[BrokenReply] = &[
    reply("204 with a length", b"HTTP/1.1 204 No Content", LENGTH_2, b"no"),
    reply(
        "204 with a coding",
        b"HTTP/1.1 204 No Content",
        &[b"Transfer-Encoding: chunked"],
        b"2\r\nno\r\n0\r\n\r\n",
    ),
    reply(
        "204 with two different lengths",
        b"HTTP/1.1 204 No Content",
        &[b"Content-Length: 0", b"Content-Length: 2"],
        b"",
    ),
    reply("205 with a body", b"HTTP/1.1 205 Reset Content", LENGTH_2, b"no"),
    reply(
        "205 with a chunked body",
        b"HTTP/1.1 205 Reset Content",
        &[b"Transfer-Encoding: chunked"],
        b"2\r\nno\r\n0\r\n\r\n",
    ),
    reply("205 with a body up to the end", b"HTTP/1.1 205 Reset Content", &[], b"no").closing(),
    reply(
        "304 with a length and a coding",
        b"HTTP/1.1 304 Not Modified",
        &[b"Content-Length: 2", b"Transfer-Encoding: chunked"],
        b"",
    ),
    reply("304 with a broken length", b"HTTP/1.1 304 Not Modified", &[b"Content-Length: x"], b""),
    reply("interim reply with a length", b"HTTP/1.1 100 Continue", LENGTH_2, REPLY_AS_BODY),
    reply(
        "interim reply with a coding",
        b"HTTP/1.1 103 Early Hints",
        &[b"Transfer-Encoding: chunked"],
        REPLY_AS_BODY,
    ),
    reply(
        "switch of protocols",
        b"HTTP/1.1 101 Switching Protocols",
        &[b"Upgrade: x", b"Connection: upgrade"],
        REPLY_AS_BODY,
    ),
];

/// Returns all broken replies.
pub fn broken_replies() -> impl Iterator<Item = &'static BrokenReply> {
    [
        BROKEN_STATUS_LINES,
        BROKEN_FIELD_LINES,
        BROKEN_LENGTHS,
        BROKEN_TRANSFER_CODINGS,
        BROKEN_CHUNKS,
        BROKEN_BODILESS,
    ]
    .into_iter()
    .flatten()
}
