use super::StreamState::{self, Broken, Ended, Open};
use super::{HttpError, MAX_BODY_BYTES, RequestMethod, request_extent, response_extent};

/// A request cut at any byte is incomplete; a complete one is found even if more bytes follow.
#[test]
fn incomplete_requests_wait_for_more_bytes() {
    let cases = [
        ("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody", "body", true),
        ("GET /a HTTP/1.1\r\nConnection: x, Close\r\n\r\n", "", false),
        ("GET /a HTTP/1.0\r\n\r\n", "", false),
        ("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "", true),
        (
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1;x\r\ny\r\n0\r\n\r\n",
            "body",
            true,
        ),
        ("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nA: b\r\n\r\n", "b", true),
    ];
    for (text, body, keep_alive) in cases {
        for cut in 1..text.len() {
            let got = request_extent(&mut text.as_bytes()[..cut].to_vec(), MAX_BODY_BYTES);
            assert_eq!(got, Ok(None), "{text:?} cut at {cut}");
        }
        let mut bytes = format!("{text}GET /next").into_bytes();
        let extent = request_extent(&mut bytes, MAX_BODY_BYTES).expect("good").expect("whole");
        assert_eq!((&bytes[extent.body.clone()], extent.total), (body.as_bytes(), text.len()), "{text:?}");
        assert_eq!(extent.keep_alive, keep_alive, "{text:?}");
    }
}

/// A reset never completes a response that has no length.
#[test]
fn responses_end_by_length_last_chunk_or_orderly_close() {
    let too_large = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(70_000));
    let long_head = format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(17_000));
    // Text and state of the connection; expected body and keep-alive, or error status.
    type Wanted = Result<Option<(&'static str, bool)>, u16>;
    let cases: [(&str, StreamState, Wanted); 13] = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Open, Ok(Some(("ok", true)))),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", Ended, Ok(None)),
        ("HTTP/1.1 200 OK\r\n\r\nok", Open, Ok(None)),
        ("HTTP/1.1 200 OK\r\n\r\nok", Ended, Ok(Some(("ok", false)))),
        ("HTTP/1.1 200 OK\r\n\r\nok", Broken, Ok(None)),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Broken, Ok(Some(("ok", true)))),
        ("HTTP/1.1 204 No\r\n\r\n", Open, Ok(Some(("", true)))),
        ("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", Open, Ok(Some(("", false)))),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Ended, Ok(None)),
        ("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", Open, Err(413)),
        ("nonsense", Open, Err(502)),
        (&too_large, Open, Err(502)),
        (&long_head, Open, Err(502)),
    ];
    for (text, stream, wanted) in cases {
        let mut bytes = text.as_bytes().to_vec();
        let got = response_extent(&mut bytes, RequestMethod::Other, stream, MAX_BODY_BYTES);
        let got = got.map(|e| e.map(|e| (String::from_utf8_lossy(&bytes[e.body]), e.keep_alive)));
        let got = got
            .as_ref()
            .map(|e| e.as_ref().map(|(b, k)| (&**b, *k)))
            .map_err(|HttpError { status, .. }| *status);
        assert_eq!(got, wanted, "{:?}", &text[..text.len().min(60)]);
    }
}
