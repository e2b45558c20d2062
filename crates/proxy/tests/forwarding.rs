//! Attempts at a worker over real sockets; `docs/design/attempts.md` has a table of the same cases. The test
//! acts as the worker and controls each byte. It does not sleep: both sides wait in reads.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time, WorkerId};
use lynxstair_fakes::HttpMessage;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{configure_runtime, spawn};
use lynxstair_net::http;
use lynxstair_net::ring_buffer::RingBuffer;
use lynxstair_proxy::cancellation::CancelToken;
use lynxstair_proxy::outgoing_request::OutgoingRequest;
use lynxstair_proxy::worker_pool::WorkerPool;
use lynxstair_routing::locality_balancer::Worker;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Serializes the tests: all coroutines share one thread, and one test blocks it.
static SERIAL: Mutex<()> = Mutex::new(());

/// A pool with one worker, played by the test.
struct AttemptFixture {
    _guard: MutexGuard<'static, ()>,
    alarms: Arc<Alarms>,
    workers: Arc<WorkerPool>,
    listener: TcpListener,
    worker: Arc<Worker>,
}

impl AttemptFixture {
    fn new() -> AttemptFixture {
        let _guard = SERIAL.lock().unwrap_or_else(|e| e.into_inner());
        configure_runtime();
        let alarms = Arc::new(Alarms::new(Clock::start()).expect("alarms"));
        let timers = alarms.clone();
        spawn("alarms", move || timers.run());
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let [id, service, zone] = ["i-1", "s", "z"].map(str::to_string);
        let worker = Arc::new(Worker { id, address, service, zone, number: WorkerId(1) });
        AttemptFixture { _guard, alarms, workers: Arc::new(WorkerPool::new(100)), listener, worker }
    }

    fn after(&self, ms: u64) -> Time {
        self.alarms.now() + Span::from_millis(ms)
    }

    /// Starts an attempt. The receiver gets its result once: execution, outcome, and the status and body
    /// relayed to the client. `may_forward`: whether the request may still be sent once it is connected.
    /// `body`: length of the body.
    fn send(
        &self,
        may_forward: bool,
        id: &str,
        body: usize,
        deadline: Time,
        cancel: &Arc<CancelToken>,
    ) -> Receiver<String> {
        let (sender, result) = channel();
        let (alarms, workers, worker) = (self.alarms.clone(), self.workers.clone(), self.worker.clone());
        let (id, cancel) = (id.to_string(), cancel.clone());
        spawn("attempt", move || {
            let text = format!("POST /a HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\n\r\n");
            let (head, _) = http::parse_request_head(text.as_bytes()).expect("valid").expect("complete");
            let body = vec![b'b'; body];
            let outgoing = OutgoingRequest {
                head: &head,
                body: &body,
                tenant: None,
                attempt_id: &id,
                may_forward: &|_| may_forward,
            };
            let attempt = workers.forward(&alarms, &worker, &outgoing, deadline, &cancel);
            let mut summary = format!("{:?} {:?}", attempt.execution, attempt.outcome);
            if let Some(mut reply) = attempt.reply {
                let mut ring = RingBuffer::new(4 << 20);
                reply.write_head(&mut ring, "").expect("written");
                let head = ring.bytes().windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
                let mut text = ring.bytes()[head..].to_vec();
                let mut more = |piece: &[u8]| {
                    text.extend_from_slice(piece);
                    true
                };
                let is_complete = reply.relay_received(|| true, &mut more)
                    && reply.relay_remaining(&alarms, deadline, &cancel, || true, &mut more);
                summary += &format!(" {} {}", reply.status, summarize_body(&text));
                summary += if is_complete { "" } else { " cut" };
                workers.release(reply);
            }
            let _ = sender.send(summary);
        });
        result
    }

    /// Lets all coroutines run a few times, so that they have most likely read what was written before.
    fn run_coroutines(&self) {
        for _ in 0..3 {
            let (sender, run) = channel();
            spawn("turn", move || sender.send(()).expect("test is running"));
            run.recv_timeout(WAIT_TIMEOUT).expect("coroutines run");
        }
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        stream
    }

    /// Makes one complete exchange on the given connection, or on a newly accepted one. `headers`: further
    /// reply headers.
    fn exchange(&self, connection: Option<TcpStream>, headers: &str) -> TcpStream {
        let result = self.send(true, "plain", 0, self.after(20_000), &Arc::default());
        let connection = connection.unwrap_or_else(|| self.accept());
        assert_eq!(read_request_id(&connection).as_deref(), Some("plain"));
        let reply = reply_text(&format!("200 plain seal {headers} :p"), "");
        (&connection).write_all(reply.as_bytes()).expect("written");
        assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 p"));
        connection
    }
}

/// Returns a body as text; a long one of one repeated letter as the letter and its length.
fn summarize_body(body: &[u8]) -> String {
    match body.first() {
        Some(first) if body.len() > 50 && body.iter().all(|b| b == first) => {
            format!("{}x{}", *first as char, body.len())
        }
        _ => String::from_utf8_lossy(body).into_owned(),
    }
}

/// Reads a complete request and returns its id; `None` if the connection ends first.
fn read_request_id(stream: &TcpStream) -> Option<String> {
    let message = HttpMessage::read(&mut BufReader::with_capacity(1, stream))?;
    Some(message.header("attempt-id").to_string())
}

/// Returns the text of a reply in the notation of `CASES`: a status; the attempt ids, with `me` for `id`;
/// further headers by short names; the body after `:`, or as a letter and its number of repetitions.
fn reply_text(short: &str, id: &str) -> String {
    let (mut head, mut body, mut has_length) = (String::new(), String::new(), true);
    for word in short.split_whitespace() {
        head += &match word.split_at(1) {
            (":", text) => {
                body = text.to_string();
                continue;
            }
            (letter @ ("x" | "y"), n) => {
                body = letter.repeat(n.parse().expect("a number"));
                continue;
            }
            ("1" | "2" | "4" | "5", _) => format!("HTTP/1.1 {word} X"),
            _ => match word {
                "seal" => "Server-Seal: s".to_string(),
                "not-run" => "Not-Run: 1".to_string(),
                "encoded" => "Content-Encoding: br".to_string(),
                "close" => "Connection: close".to_string(),
                "endless" => {
                    has_length = false;
                    continue;
                }
                "me" => format!("Attempt-Id: {id}"),
                other => format!("Attempt-Id: {other}"),
            },
        };
        head += "\r\n";
    }
    let length = if has_length { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!("{head}{length}\r\n{body}")
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Columns: case; connection (`new`, `kept` for a reused one, or `both` in turn); replies of the worker (`+`
/// joins replies without a pause, `;` with one, `/n` cuts after n bytes, with `rest` sent after a pause);
/// event after that (`leaves`: the client disconnects); expected result of the attempt; `kept` if the
/// connection is reused afterwards.
const CASES: &str = "
complete reply                     | both | 200 me seal :yes                         |         | Ran Succeeded 200 yes | kept
reply split in its head            | both | 200 me seal :yes /30 rest                |         | Ran Succeeded 200 yes | kept
reply split in its body            | both | 200 me seal :yes /75 rest                |         | Ran Succeeded 200 yes | kept
reply, then close                  | both | 200 me seal :yes                         | closes  | Ran Succeeded 200 yes |
100 Continue, then reply           | both | 100 ; 200 me seal :yes                   |         | Ran Succeeded 200 yes | kept
500                                | both | 500 me :no                               |         | Failed Errored 500 no | kept
404                                | both | 404 me :no                               |         | Ran Succeeded 404 no  | kept
503 with Not-Run                   | both | 503 me not-run                           |         | NeverRan Full         | kept
421                                | both | 421 me                                   |         | NeverRan Full         | kept
Not-Run of other id, then reply    | both | 503 other not-run ; 200 me seal :yes     |         | Ran Succeeded 200 yes |
Not-Run of other id and own one    | both | 503 other not-run + 503 me not-run       |         | NeverRan Full         |
Not-Run of other id, then silence  | both | 503 other not-run                        | silence | MayHaveRun TimedOut   |
Not-Run of other id, then reset    | both | 503 other not-run                        | resets  | MayHaveRun Reset      |
Not-Run without id, then reply     | both | 503 not-run ; 200 me seal :yes           |         | Ran Succeeded 200 yes |
Not-Run without id, then close     | both | 503 not-run                              | closes  | MayHaveRun Reset      |
Not-Run with two ids               | both | 503 me other not-run                     |         | MayHaveRun Errored    |
400 without id, new connection     | new  | 400 not-run                              |         | NeverRan Full         |
400 without id, reused connection  | kept | 400 not-run                              | silence | MayHaveRun TimedOut   |
400 without id after other id      | new  | 503 other not-run + 400 not-run          | silence | MayHaveRun TimedOut   |
421 without id                     | both | 421 ; 200 me seal :yes                   |         | Ran Succeeded 200 yes |
200 without id                     | both | 200 seal :bad ; 200 me seal :yes         |         | Ran Succeeded 200 yes |
surplus reply, then own reply      | both | 200 other seal :bad + 200 me seal :yes   |         | Ran Succeeded 200 yes |
surplus reply, then silence        | both | 200 other seal :bad                      | silence | MayHaveRun TimedOut   |
own reply, then surplus reply      | both | 200 me seal :yes + 200 me seal :bad      |         | Ran Succeeded 200 yes |
own reply, then partial surplus    | both | 200 me seal :yes + 200 /3                |         | Ran Succeeded 200 yes |
200 with two ids                   | both | 200 me other seal :bad                   |         | MayHaveRun Errored    |
200 with Not-Run                   | both | 200 me seal not-run :bad                 |         | MayHaveRun Errored    |
503 without Not-Run                | both | 503 me                                   |         | MayHaveRun Errored    |
429 without Not-Run                | both | 429 me                                   |         | MayHaveRun Errored    |
408 without Not-Run                | both | 408 me                                   |         | MayHaveRun Errored    |
200 without seal                   | both | 200 me :bad                              |         | MayHaveRun Errored    |
encoded body                       | both | 200 me seal encoded :bad                 |         | MayHaveRun Errored    |
malformed reply                    | both | what? :bad                               |         | MayHaveRun Errored    |
silence                            | both |                                          | silence | MayHaveRun TimedOut   |
close                              | both |                                          | closes  | MayHaveRun Reset      |
reset                              | both |                                          | resets  | MayHaveRun Reset      |
client disconnect                  | both |                                          | leaves  | MayHaveRun Cancelled  |
close in the head                  | both | 200 me seal :yes /30                     | closes  | MayHaveRun Reset      |
close in the body                  | both | 200 me seal :yes /75                     | closes  | MayHaveRun Reset      |
reset in the body                  | both | 200 me seal :yes /75                     | resets  | MayHaveRun Reset      |
silence in the body                | both | 200 me seal :yes /75                     | silence | MayHaveRun TimedOut   |
client disconnect in the body      | both | 200 me seal :yes /75                     | leaves  | MayHaveRun Cancelled  |
no length, close                   | both | 200 me seal endless :yes                 | closes  | Ran Succeeded 200 yes |
no length, reset                   | both | 200 me seal endless :yes                 | resets  | MayHaveRun Reset      |
long body                          | both | 200 me seal x100000 /70000 rest          |         | Ran Succeeded 200 xx100000 |
long body of other id, then own    | both | 200 other seal x100000 ; 200 me seal :yes |        | Ran Succeeded 200 yes |
long body, close midway            | both | 200 me seal x100000 /70000               | closes  | Ran Succeeded 200 xx69922 cut |
body longer than the buffer        | both | 200 me seal y3000000                     |         | Ran Succeeded 200 yx3000000 |
";

#[test]
fn attempt_results_match_the_table() {
    let fixture = AttemptFixture::new();
    let mut failures = Vec::new();
    for (number, row) in CASES.lines().skip(1).enumerate() {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let [case, connections, replies, event, expected, reuse] = cells[..] else { panic!("{row}") };
        let id = format!("id-{number:03}");
        for is_kept in
            [false, true].into_iter().filter(|k| connections == "both" || (connections == "kept") == *k)
        {
            // On a busy machine the time may be up before the request is sent; then retries with a longer
            // time.
            let deadlines_ms = [150, 600, 3_000].map(|ms| if event == "silence" { ms } else { 20_000 });
            let (connection, result, cancel) = deadlines_ms
                .into_iter()
                .find_map(|ms| {
                    let connection = is_kept.then(|| fixture.exchange(None, ""));
                    let cancel = Arc::new(CancelToken::default());
                    let result = fixture.send(true, &id, 4, fixture.after(ms), &cancel);
                    let connection = connection.unwrap_or_else(|| fixture.accept());
                    let read = read_request_id(&connection);
                    assert!(read.is_none() || read.as_ref() == Some(&id), "{case}: {read:?}");
                    read.map(|_| (connection, result, cancel))
                })
                .expect("the request");
            for part in replies.split(';').filter(|p| !p.is_empty()) {
                let all: String = part.split('+').map(|p| split_reply(p, &id).0).collect();
                let _ = (&connection).write_all(all.as_bytes());
                fixture.run_coroutines();
                let _ = (&connection).write_all(split_reply(part, &id).1.as_bytes());
                fixture.run_coroutines();
            }
            match event {
                "closes" => connection.shutdown(Shutdown::Write).expect("closed"),
                "resets" => reset_on_drop(&connection),
                "leaves" => cancel.cancel(),
                _ => {}
            }
            let connection = (event != "resets").then_some(connection);
            let summary = result.recv_timeout(WAIT_TIMEOUT).expect("it ends");
            // A reusable connection carries the next request; otherwise the proxy opens a new one.
            let next = fixture.send(true, "next", 0, fixture.after(20_000), &Arc::default());
            let is_reused = connection.as_ref().is_some_and(|c| matches!(c.peek(&mut [0]), Ok(1)));
            let next_connection = connection.filter(|_| is_reused).unwrap_or_else(|| fixture.accept());
            assert_eq!(read_request_id(&next_connection).as_deref(), Some("next"), "{case}");
            (&next_connection)
                .write_all(reply_text("200 next seal close :n", "").as_bytes())
                .expect("written");
            assert_eq!(next.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 n"), "{case}");
            if (&summary[..], is_reused) != (expected, reuse == "kept") {
                failures.push(format!("{case}, kept {is_kept}: {summary}, reused {is_reused}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns the text of a reply to send before and after a pause.
fn split_reply(short: &str, id: &str) -> (String, String) {
    if short.trim().is_empty() {
        return Default::default();
    }
    let Some((short, cut)) = short.split_once('/') else { return (reply_text(short, id), String::new()) };
    let (n, rest) = cut.trim().split_once(' ').unwrap_or((cut.trim(), ""));
    let mut text = reply_text(short, id);
    let after = text.split_off(n.parse().expect("a number"));
    (text, if rest.is_empty() { String::new() } else { after })
}

/// A body larger than the kernel buffers while the worker does not read.
const LARGE_BODY_BYTES: usize = 2 << 20;

/// Without a reply, a request has not run only if the kernel took no byte of it. Guards against a second run of a
/// request that was sent in part: a worker may begin before it has read the whole body (review, case 4).
#[test]
fn a_request_may_have_run_once_the_kernel_took_a_part_of_it() {
    let mut fixture = AttemptFixture::new();
    let [cancelled, active] = [Arc::new(CancelToken::default()), Arc::default()];
    cancelled.cancel();
    // Nothing sent: the request is withheld, or no connection is made.
    for (may_forward, ms, cancel, expected) in [
        (false, 20_000, &active, "NeverRan Cancelled"),
        (true, 0, &active, "NeverRan ConnectFailed"),
        (true, 20_000, &cancelled, "NeverRan Cancelled"),
    ] {
        let result = fixture.send(may_forward, "unsent", 0, fixture.after(ms), cancel);
        assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok(expected));
    }
    let address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let [id, service, zone] = ["i-2", "s", "z"].map(str::to_string);
    let unreachable = Arc::new(Worker { id, address, service, zone, number: WorkerId(2) });
    let reachable = std::mem::replace(&mut fixture.worker, unreachable);
    let result = fixture.send(true, "nobody", 0, fixture.after(20_000), &active);
    assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("NeverRan ConnectFailed"), "nobody listens");
    fixture.worker = reachable;

    // All of it was taken by the kernel, whether the worker has read it or not.
    let result = fixture.send(true, "unread", 10, fixture.after(20_000), &active);
    // The connections of the withheld requests were accepted too, but carry no bytes.
    let has_bytes = |connection: &TcpStream| matches!(connection.peek(&mut [0]), Ok(1));
    let connection = std::iter::repeat_with(|| fixture.accept()).find(has_bytes).expect("the request");
    reset_on_drop(&connection);
    drop(connection);
    assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("MayHaveRun Reset"), "unread");

    // Only a part of it was sent.
    let socket = socket2::SockRef::from(&fixture.listener);
    socket.set_recv_buffer_size(4096).expect("set");
    socket.set_tcp_mss(600).expect("set");
    for (event, reply, expected) in [
        ("resets", "", "MayHaveRun Reset"),
        ("silence", "", "MayHaveRun TimedOut"),
        ("leaves", "", "MayHaveRun Cancelled"),
        ("waits", "200 me :bad", "MayHaveRun Errored"),
        ("closes", "200 me :bad /30", "MayHaveRun Reset"),
    ] {
        let cancel = Arc::new(CancelToken::default());
        let deadline = fixture.after(if event == "silence" { 600 } else { 20_000 });
        let result = fixture.send(true, "part", LARGE_BODY_BYTES, deadline, &cancel);
        let connection = fixture.accept();
        assert!(has_bytes(&connection));
        (&connection).write_all(split_reply(reply, "part").0.as_bytes()).expect("written");
        match event {
            "resets" => reset_on_drop(&connection),
            "leaves" => cancel.cancel(),
            "closes" => connection.shutdown(Shutdown::Write).expect("closed"),
            _ => {}
        }
        let connection = (event != "resets").then_some(connection);
        assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok(expected), "{event}");
        drop(connection);
    }
}

/// During shutdown, attempts stop waiting and report whether the request may have run. A reply that has
/// already arrived is still used.
#[test]
fn shutdown_ends_the_wait_for_workers() {
    let fixture = AttemptFixture::new();
    let token = || Arc::new(CancelToken::default());
    // Shutdown before the attempt: nothing is sent.
    let cancel = token();
    cancel.shut_down();
    let result = fixture.send(true, "unsent", 0, fixture.after(20_000), &cancel);
    assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("NeverRan Cancelled"));
    // Shutdown while the worker has the request and has not replied.
    let cancel = token();
    let result = fixture.send(true, "at-work", 0, fixture.after(20_000), &cancel);
    let connection = fixture.accept();
    assert_eq!(read_request_id(&connection).as_deref(), Some("at-work"));
    cancel.shut_down();
    assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("MayHaveRun Cancelled"));
    // A client disconnect takes precedence over shutdown.
    cancel.cancel();
    cancel.shut_down();
    assert!(cancel.is_cancelled());
    // Shutdown while the reply is in the kernel's receive buffer.
    let cancel = token();
    let result = fixture.send(true, "answered", 0, fixture.after(20_000), &cancel);
    let connection = fixture.accept();
    assert_eq!(read_request_id(&connection).as_deref(), Some("answered"));
    (&connection).write_all(reply_text("200 answered seal :a", "").as_bytes()).expect("written");
    fixture.run_coroutines();
    cancel.shut_down();
    assert_eq!(result.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 a"));
}

/// Bytes on an idle connection belong to no request, so the connection must not be reused.
#[test]
fn idle_connections_with_surplus_bytes_are_not_reused() {
    let fixture = AttemptFixture::new();
    for surplus in ["200 plain seal :late", "503 other not-run", "400 not-run", ""] {
        let connection = fixture.exchange(None, "");
        (&connection).write_all(split_reply(surplus, "").0.as_bytes()).expect("written");
        if surplus.is_empty() {
            connection.shutdown(Shutdown::Write).expect("closed");
        }
        let next = fixture.send(true, "next", 0, fixture.after(20_000), &Arc::default());
        assert!(!matches!(connection.peek(&mut [0]), Ok(1)), "{surplus}");
        let next_connection = fixture.accept();
        assert_eq!(read_request_id(&next_connection).as_deref(), Some("next"));
        (&next_connection).write_all(reply_text("200 next seal close :n", "").as_bytes()).expect("written");
        assert_eq!(next.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 n"), "{surplus}");
    }
}

/// The process is paused past the deadline. After it resumes, a reply that arrived before the deadline must
/// be used, even if the deadline is noticed first.
#[test]
fn a_paused_process_uses_replies_that_arrived_in_time() {
    let fixture = AttemptFixture::new();
    let mut in_time = 0;
    // A short reply, and a long one whose relay has begun.
    let kinds = [("200 me seal :yes", 0, "yes"), ("200 me seal x100000", 70_000, "xx100000")];
    for (number, (short, relayed, body)) in kinds.iter().cycle().take(40).enumerate() {
        if in_time == 8 {
            break;
        }
        let deadline = fixture.after(150);
        let result = fixture.send(true, "still", 0, deadline, &Arc::default());
        let connection = fixture.accept();
        if read_request_id(&connection).is_none() {
            continue;
        }
        let text = reply_text(short, "still");
        let (before, after) = text.as_bytes().split_at(*relayed);
        (&connection).write_all(before).expect("written");
        fixture.run_coroutines();
        // This coroutine blocks the only thread, like a pause of the process.
        let ((pause, paused), (resume, resumed)) = (channel(), channel::<()>());
        spawn("pause", move || {
            pause.send(()).expect("test is running");
            let _ = resumed.recv();
        });
        paused.recv_timeout(WAIT_TIMEOUT).expect("paused");
        let is_late = number % 4 >= 2;
        if !is_late {
            (&connection).write_all(after).expect("written");
        }
        let is_in_time = fixture.alarms.now() < deadline;
        while fixture.alarms.now() < deadline + Span::from_millis(5) {
            thread::yield_now();
        }
        if is_late {
            (&connection).write_all(after).expect("written");
        }
        resume.send(()).expect("paused");
        let summary = result.recv_timeout(WAIT_TIMEOUT).expect("it ends");
        // On a busy machine the test itself may miss the deadline; such a round is not counted.
        if is_in_time {
            in_time += 1;
            assert_eq!(summary, format!("Ran Succeeded 200 {body}"), "{number}");
        }
    }
    assert_eq!(in_time, 8);
}

/// Concurrent attempts over reused connections, with client disconnects, at a worker that sends surplus,
/// late, split or wrong replies or resets the connection. Each client must get its own reply or none, and a
/// request reported as `NeverRan` must not have run.
#[test]
fn no_client_gets_the_reply_of_another() {
    let fixture = AttemptFixture::new();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let tokens: Arc<Mutex<HashMap<String, Arc<CancelToken>>>> = Arc::default();
    let (listener, worker_ran, worker_tokens) =
        (fixture.listener.try_clone().expect("cloned"), ran.clone(), tokens.clone());
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            stream.set_nodelay(true).expect("set");
            let (ran, tokens) = (worker_ran.clone(), worker_tokens.clone());
            thread::spawn(move || serve_with_faults(number as u64, &stream, &ran, &tokens));
        }
    });
    let mut rng = Rng::new(7);
    let mut counts = HashMap::new();
    for round in 0..150 {
        let all: Vec<_> = (0..8)
            .map(|n| {
                let id = format!("id-{round}-{n}");
                let cancel = Arc::new(CancelToken::default());
                tokens.lock().expect("tokens").insert(id.clone(), cancel.clone());
                let result =
                    fixture.send(true, &id, rng.next_u32() as usize % 40, fixture.after(20_000), &cancel);
                (id, result)
            })
            .collect();
        for (id, result) in all {
            let summary = result.recv_timeout(WAIT_TIMEOUT).expect("it ends");
            let has_run = ran.lock().expect("ran").contains(&id);
            let (execution, _) = summary.split_once(' ').expect("two words");
            let is_own = summary == format!("Ran Succeeded 200 for-{id}");
            assert!(is_own || execution != "Ran", "{id}: {summary}");
            assert!(execution != "NeverRan" || !has_run, "{id} has run: {summary}");
            *counts.entry(execution.to_string()).or_insert(0) += 1;
        }
    }
    assert!(["NeverRan", "MayHaveRun", "Ran"].iter().all(|v| counts[*v] > 50), "{counts:?}");
}

/// Serves one worker connection, with random faults.
fn serve_with_faults(
    seed: u64,
    stream: &TcpStream,
    ran: &Mutex<Vec<String>>,
    tokens: &Mutex<HashMap<String, Arc<CancelToken>>>,
) {
    let mut rng = Rng::new(seed + 1);
    let mut reader = BufReader::new(stream);
    let mut before = "none".to_string();
    while let Some(message) = HttpMessage::read(&mut reader) {
        let id = message.header("attempt-id").to_string();
        let fault = rng.next_u32() % 12;
        if fault != 0 {
            ran.lock().expect("ran").push(id.clone());
        }
        let own = reply_text(&format!("200 me seal :for-{id}"), &id);
        let late = reply_text(&format!("200 me seal :for-{before}"), &before);
        let full = |id: &str| reply_text("503 me not-run", id);
        let reply = match fault {
            0 => full(&id),
            1 => full(&before) + &own,
            2 => late + &own,
            3 => own.clone() + &own,
            4 => own + &full(&id),
            5 => full(&before),
            6 => reply_text("200 seal :x", ""),
            _ => own,
        };
        if fault == 7 {
            tokens.lock().expect("tokens")[&id].cancel();
        }
        let (first, rest) = reply.split_at(rng.next_u32() as usize % reply.len());
        let _ = (&mut &*stream).write_all(first.as_bytes());
        let _ = (&mut &*stream).write_all(rest.as_bytes());
        if fault == 5 || fault == 6 {
            return reset_on_drop(stream);
        }
        before = id;
    }
}
