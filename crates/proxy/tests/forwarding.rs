//! One attempt at a worker through real sockets: `docs/design/attempts.md` has the same rows. The worker is played here,
//! byte by byte. Nothing sleeps: both sides wait in reads that end with what the other does.

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

/// All coroutines share one thread, and one test stops it: the tests come one after another.
static ALONE: Mutex<()> = Mutex::new(());

struct Rig {
    _alone: MutexGuard<'static, ()>,
    alarms: Arc<Alarms>,
    workers: Arc<WorkerPool>,
    listener: TcpListener,
    worker: Arc<Worker>,
}

impl Rig {
    fn new() -> Rig {
        let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
        configure_runtime();
        let alarms = Arc::new(Alarms::new(Clock::start()).expect("alarms"));
        let a = alarms.clone();
        spawn("alarms", move || a.run());
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let [id, service, zone] = ["i-1", "s", "z"].map(str::to_string);
        let worker = Arc::new(Worker { id, address, service, zone, number: WorkerId(1) });
        Rig { _alone, alarms, workers: Arc::new(WorkerPool::new(100)), listener, worker }
    }

    fn after(&self, ms: u64) -> Time {
        self.alarms.now() + Span::from_millis(ms)
    }

    /// Begins a try that may go or not when it comes to it. What it comes to is said once: the verdict, the outcome,
    /// the answer's status and body as its client gets them.
    fn send(
        &self,
        may: bool,
        id: &str,
        body: usize,
        until: Time,
        cancel: &Arc<CancelToken>,
    ) -> Receiver<String> {
        let (said, heard) = channel();
        let (alarms, workers, worker) = (self.alarms.clone(), self.workers.clone(), self.worker.clone());
        let (id, cancel) = (id.to_string(), cancel.clone());
        spawn("a try", move || {
            let text = format!("POST /a HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\n\r\n");
            let (head, _) = http::parse_request_head(text.as_bytes()).expect("good").expect("whole");
            let body = vec![b'b'; body];
            let out = OutgoingRequest {
                head: &head,
                body: &body,
                tenant: None,
                attempt_id: &id,
                may_forward: &|_| may,
            };
            let tried = workers.forward(&alarms, &worker, &out, until, &cancel);
            let mut came = format!("{:?} {:?}", tried.execution, tried.outcome);
            if let Some(mut answer) = tried.reply {
                let mut ring = RingBuffer::new(4 << 20);
                answer.write_head(&mut ring, "").expect("put");
                let head = ring.bytes().windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
                let mut text = ring.bytes()[head..].to_vec();
                let mut more = |piece: &[u8]| {
                    text.extend_from_slice(piece);
                    true
                };
                let is_whole = answer.relay_remaining(&alarms, until, &cancel, || true, &mut more);
                came += &format!(" {} {}", answer.status, brief(&text));
                came += if is_whole { "" } else { " cut" };
                workers.release(answer);
            }
            let _ = said.send(came);
        });
        heard
    }

    /// Lets the other side's one thread come round: what was written before is read, in all likelihood.
    fn turns(&self) {
        for _ in 0..3 {
            let (said, heard) = channel();
            spawn("a turn", move || said.send(()).expect("heard"));
            heard.recv_timeout(WAIT_TIMEOUT).expect("a turn");
        }
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        stream
    }

    /// One whole exchange, on that connection or on the next that comes, which stays or does not.
    fn exchange(&self, on: Option<TcpStream>, headers: &str) -> TcpStream {
        let heard = self.send(true, "plain", 0, self.after(20_000), &Arc::default());
        let connection = on.unwrap_or_else(|| self.accept());
        assert_eq!(request(&connection).as_deref(), Some("plain"));
        let said = answer(&format!("200 plain seal {headers} :p"), "");
        (&connection).write_all(said.as_bytes()).expect("written");
        assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 p"));
        connection
    }
}

/// A long body of one letter by its length, another one as it is.
fn brief(body: &[u8]) -> String {
    match body.first() {
        Some(first) if body.len() > 50 && body.iter().all(|b| b == first) => {
            format!("{}x{}", *first as char, body.len())
        }
        _ => String::from_utf8_lossy(body).into_owned(),
    }
}

/// Reads a whole request; its id.
fn request(stream: &TcpStream) -> Option<String> {
    let message = HttpMessage::read(&mut BufReader::with_capacity(1, stream))?;
    Some(message.header("attempt-id").to_string())
}

/// An answer in short: its status; the ids that it carries, `me` for `id`; its other headers; `:` and its body, or a
/// letter and how many of it.
fn answer(short: &str, id: &str) -> String {
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

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// What happens; on a new connection, on one that carried a request before, or on both; what the worker says (`+`
/// without a pause, `;` with one, `/n` only so many bytes and then, after a pause or never, the rest); what follows;
/// what the try comes to; whether the connection is used again.
const ROWS: &str = "
answered                           | both | 200 me seal :yes                         |         | Ran Succeeded 200 yes | kept
answered in pieces, in the head    | both | 200 me seal :yes /30 rest                |         | Ran Succeeded 200 yes | kept
answered in pieces, in the body    | both | 200 me seal :yes /75 rest                |         | Ran Succeeded 200 yes | kept
answered, and closed               | both | 200 me seal :yes                         | closes  | Ran Succeeded 200 yes |
go on, and answered                | both | 100 ; 200 me seal :yes                   |         | Ran Succeeded 200 yes | kept
failed                             | both | 500 me :no                               |         | Failed Errored 500 no | kept
not found there                    | both | 404 me :no                               |         | Ran Succeeded 404 no  | kept
not run                            | both | 503 me not-run                           |         | NeverRan Full         | kept
not this worker                    | both | 421 me                                   |         | NeverRan Full         | kept
not run, another's; then ours      | both | 503 other not-run ; 200 me seal :yes     |         | Ran Succeeded 200 yes |
not run, another's and ours        | both | 503 other not-run + 503 me not-run       |         | NeverRan Full         |
not run, another's; silence        | both | 503 other not-run                        | silence | MayHaveRun TimedOut   |
not run, another's; reset          | both | 503 other not-run                        | resets  | MayHaveRun Reset      |
not run, nobody's; then ours       | both | 503 not-run ; 200 me seal :yes           |         | Ran Succeeded 200 yes |
not run, nobody's; closed          | both | 503 not-run                              | closes  | MayHaveRun Reset      |
not run, two ids                   | both | 503 me other not-run                     |         | MayHaveRun Errored    |
no id: 400 on a new connection     | new  | 400 not-run                              |         | NeverRan Full         |
no id: 400 on a kept one           | kept | 400 not-run                              | silence | MayHaveRun TimedOut   |
no id: 400 behind another's        | new  | 503 other not-run + 400 not-run          | silence | MayHaveRun TimedOut   |
no id: 421                         | both | 421 ; 200 me seal :yes                   |         | Ran Succeeded 200 yes |
no id: a success                   | both | 200 seal :bad ; 200 me seal :yes         |         | Ran Succeeded 200 yes |
surplus first                      | both | 200 other seal :bad + 200 me seal :yes   |         | Ran Succeeded 200 yes |
surplus first, then silence        | both | 200 other seal :bad                      | silence | MayHaveRun TimedOut   |
surplus behind                     | both | 200 me seal :yes + 200 me seal :bad      |         | Ran Succeeded 200 yes |
surplus behind, in part            | both | 200 me seal :yes + 200 /3                |         | Ran Succeeded 200 yes |
two ids                            | both | 200 me other seal :bad                   |         | MayHaveRun Errored    |
a success that says not run        | both | 200 me seal not-run :bad                 |         | MayHaveRun Errored    |
503 that does not say not run      | both | 503 me                                   |         | MayHaveRun Errored    |
429 that does not say not run      | both | 429 me                                   |         | MayHaveRun Errored    |
408 that does not say not run      | both | 408 me                                   |         | MayHaveRun Errored    |
no seal                            | both | 200 me :bad                              |         | MayHaveRun Errored    |
encoded                            | both | 200 me seal encoded :bad                 |         | MayHaveRun Errored    |
no answer at all                   | both | what? :bad                               |         | MayHaveRun Errored    |
silence                            | both |                                          | silence | MayHaveRun TimedOut   |
closed                             | both |                                          | closes  | MayHaveRun Reset      |
reset                              | both |                                          | resets  | MayHaveRun Reset      |
client gone                        | both |                                          | leaves  | MayHaveRun Cancelled  |
closed in the head                 | both | 200 me seal :yes /30                     | closes  | MayHaveRun Reset      |
closed in the body                 | both | 200 me seal :yes /75                     | closes  | MayHaveRun Reset      |
reset in the body                  | both | 200 me seal :yes /75                     | resets  | MayHaveRun Reset      |
silent in the body                 | both | 200 me seal :yes /75                     | silence | MayHaveRun TimedOut   |
client gone in the body            | both | 200 me seal :yes /75                     | leaves  | MayHaveRun Cancelled  |
no length, closed                  | both | 200 me seal endless :yes                 | closes  | Ran Succeeded 200 yes |
no length, reset                   | both | 200 me seal endless :yes                 | resets  | MayHaveRun Reset      |
long                               | both | 200 me seal x100000 /70000 rest          |         | Ran Succeeded 200 xx100000 |
long, another's, then ours         | both | 200 other seal x100000 ; 200 me seal :yes |        | Ran Succeeded 200 yes |
long, closed midway                | both | 200 me seal x100000 /70000               | closes  | Ran Succeeded 200 xx69922 cut |
longer than a buffer               | both | 200 me seal y3000000                     |         | Ran Succeeded 200 yx3000000 |
";

#[test]
fn attempts_end_as_the_table_says() {
    let rig = Rig::new();
    let mut wrong = Vec::new();
    for (number, row) in ROWS.lines().skip(1).enumerate() {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let [what, on, says, then, came, kept] = cells[..] else { panic!("{row}") };
        let id = format!("id-{number:03}");
        for is_kept in [false, true].into_iter().filter(|k| on == "both" || (on == "kept") == *k) {
            // Where this test had no core in time, the time was up before the request went out: once more, and longer.
            let tries = [150, 600, 3_000].map(|ms| if then == "silence" { ms } else { 20_000 });
            let (connection, heard, cancel) = tries
                .into_iter()
                .find_map(|ms| {
                    let connection = is_kept.then(|| rig.exchange(None, ""));
                    let cancel = Arc::new(CancelToken::default());
                    let heard = rig.send(true, &id, 4, rig.after(ms), &cancel);
                    let connection = connection.unwrap_or_else(|| rig.accept());
                    let read = request(&connection);
                    assert!(read.is_none() || read.as_ref() == Some(&id), "{what}: {read:?}");
                    read.map(|_| (connection, heard, cancel))
                })
                .expect("the request");
            for part in says.split(';').filter(|p| !p.is_empty()) {
                let all: String = part.split('+').map(|p| piece(p, &id).0).collect();
                let _ = (&connection).write_all(all.as_bytes());
                rig.turns();
                let _ = (&connection).write_all(piece(part, &id).1.as_bytes());
                rig.turns();
            }
            match then {
                "closes" => connection.shutdown(Shutdown::Write).expect("closed"),
                "resets" => reset(&connection),
                "leaves" => cancel.cancel(),
                _ => {}
            }
            let connection = (then != "resets").then_some(connection);
            let got = heard.recv_timeout(WAIT_TIMEOUT).expect("it ends");
            // A connection that is kept carries the next request; any other one is ended from the other side.
            let next = rig.send(true, "next", 0, rig.after(20_000), &Arc::default());
            let is_reused = connection.as_ref().is_some_and(|c| matches!(c.peek(&mut [0]), Ok(1)));
            let over = connection.filter(|_| is_reused).unwrap_or_else(|| rig.accept());
            assert_eq!(request(&over).as_deref(), Some("next"), "{what}");
            (&over).write_all(answer("200 next seal close :n", "").as_bytes()).expect("written");
            assert_eq!(next.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 n"), "{what}");
            if (&got[..], is_reused) != (came, kept == "kept") {
                wrong.push(format!("{what}, kept {is_kept}: {got}, reused {is_reused}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// What is said of an answer before and after a pause.
fn piece(short: &str, id: &str) -> (String, String) {
    if short.trim().is_empty() {
        return Default::default();
    }
    let Some((short, cut)) = short.split_once('/') else { return (answer(short, id), String::new()) };
    let (n, rest) = cut.trim().split_once(' ').unwrap_or((cut.trim(), ""));
    let mut text = answer(short, id);
    let after = text.split_off(n.parse().expect("a number"));
    (text, if rest.is_empty() { String::new() } else { after })
}

/// More than the kernel takes while the worker reads nothing, and its segments are small.
const TOO_MUCH: usize = 2 << 20;

/// How much of a request was handed over decides, where no answer came; and what goes out is all that may.
#[test]
fn requests_count_as_run_once_the_kernel_took_them() {
    let mut rig = Rig::new();
    let [gone, there] = [Arc::new(CancelToken::default()), Arc::default()];
    gone.cancel();
    // Nothing of it: the connection comes up and brings no byte, or does not come up.
    for (may, ms, cancel, came) in [
        (false, 20_000, &there, "NeverRan Cancelled"),
        (true, 0, &there, "NeverRan ConnectFailed"),
        (true, 20_000, &gone, "NeverRan Cancelled"),
    ] {
        let heard = rig.send(may, "unsent", 0, rig.after(ms), cancel);
        assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok(came));
    }
    let address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let [id, service, zone] = ["i-2", "s", "z"].map(str::to_string);
    let nobody = Arc::new(Worker { id, address, service, zone, number: WorkerId(2) });
    let listens = std::mem::replace(&mut rig.worker, nobody);
    let heard = rig.send(true, "nobody", 0, rig.after(20_000), &there);
    assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("NeverRan ConnectFailed"), "nobody listens");
    rig.worker = listens;

    // All of it, whether the worker has read it or not: it was with the kernel.
    let heard = rig.send(true, "unread", 10, rig.after(20_000), &there);
    // The connections of those that were withheld came up and brought nothing.
    let brings = |connection: &TcpStream| matches!(connection.peek(&mut [0]), Ok(1));
    let connection = std::iter::repeat_with(|| rig.accept()).find(brings).expect("the request");
    reset(&connection);
    drop(connection);
    assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("MayHaveRun Reset"), "unread");

    // A part of it: its last byte never left. Who answers before the end has not waited for it.
    let socket = socket2::SockRef::from(&rig.listener);
    socket.set_recv_buffer_size(4096).expect("set");
    socket.set_tcp_mss(600).expect("set");
    for (then, says, came) in [
        ("resets", "", "NeverRan ConnectFailed"),
        ("silence", "", "NeverRan ConnectFailed"),
        ("leaves", "", "NeverRan Cancelled"),
        ("waits", "200 me :bad", "MayHaveRun Errored"),
        ("closes", "200 me :bad /30", "MayHaveRun Reset"),
    ] {
        let cancel = Arc::new(CancelToken::default());
        let until = rig.after(if then == "silence" { 600 } else { 20_000 });
        let heard = rig.send(true, "part", TOO_MUCH, until, &cancel);
        let connection = rig.accept();
        assert!(brings(&connection));
        (&connection).write_all(piece(says, "part").0.as_bytes()).expect("written");
        match then {
            "resets" => reset(&connection),
            "leaves" => cancel.cancel(),
            "closes" => connection.shutdown(Shutdown::Write).expect("closed"),
            _ => {}
        }
        let connection = (then != "resets").then_some(connection);
        assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok(came), "{then}");
        drop(connection);
    }
}

/// A process that is about to end waits for no worker any more, and claims no more than it knows. A reply that is here by then
/// still counts.
#[test]
fn a_process_that_ends_waits_no_more() {
    let rig = Rig::new();
    let ending = || Arc::new(CancelToken::default());
    // Nothing was sent: not begun, or given up while the connection came up.
    let cancel = ending();
    cancel.shut_down();
    let heard = rig.send(true, "unsent", 0, rig.after(20_000), &cancel);
    assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("NeverRan Cancelled"));
    // The worker has it, and has not answered.
    let cancel = ending();
    let heard = rig.send(true, "at-work", 0, rig.after(20_000), &cancel);
    let connection = rig.accept();
    assert_eq!(request(&connection).as_deref(), Some("at-work"));
    cancel.shut_down();
    assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("MayHaveRun Cancelled"));
    // The client's leaving outweighs it, whichever comes first.
    cancel.cancel();
    cancel.shut_down();
    assert!(cancel.is_cancelled());
    // Its reply lies with the kernel when the process hears that it ends.
    let cancel = ending();
    let heard = rig.send(true, "answered", 0, rig.after(20_000), &cancel);
    let connection = rig.accept();
    assert_eq!(request(&connection).as_deref(), Some("answered"));
    (&connection).write_all(answer("200 answered seal :a", "").as_bytes()).expect("written");
    rig.turns();
    cancel.shut_down();
    assert_eq!(heard.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 a"));
}

/// What comes on a connection that rests is nobody's: no request is put on it any more.
#[test]
fn idle_connections_with_surplus_bytes_are_not_reused() {
    let rig = Rig::new();
    for says in ["200 plain seal :late", "503 other not-run", "400 not-run", ""] {
        let connection = rig.exchange(None, "");
        (&connection).write_all(piece(says, "").0.as_bytes()).expect("written");
        if says.is_empty() {
            connection.shutdown(Shutdown::Write).expect("closed");
        }
        let next = rig.send(true, "next", 0, rig.after(20_000), &Arc::default());
        assert!(!matches!(connection.peek(&mut [0]), Ok(1)), "{says}");
        let over = rig.accept();
        assert_eq!(request(&over).as_deref(), Some("next"));
        (&over).write_all(answer("200 next seal close :n", "").as_bytes()).expect("written");
        assert_eq!(next.recv_timeout(WAIT_TIMEOUT).as_deref(), Ok("Ran Succeeded 200 n"), "{says}");
    }
}

/// The proxy stands still, the time goes by, the answer comes before or after that, the proxy goes on: what
/// the kernel holds by then stands, in whichever order it hears of the two.
#[test]
fn a_stalled_process_reads_replies_that_came_in_time() {
    let rig = Rig::new();
    let mut in_time = 0;
    // Whole, or a long one that has begun to be passed on.
    let kinds = [("200 me seal :yes", 0, "yes"), ("200 me seal x100000", 70_000, "xx100000")];
    for (number, (short, begun, body)) in kinds.iter().cycle().take(40).enumerate() {
        if in_time == 8 {
            break;
        }
        let until = rig.after(150);
        let heard = rig.send(true, "still", 0, until, &Arc::default());
        let connection = rig.accept();
        if request(&connection).is_none() {
            continue;
        }
        let text = answer(short, "still");
        let (before, after) = text.as_bytes().split_at(*begun);
        (&connection).write_all(before).expect("written");
        rig.turns();
        // All coroutines wait for this one, as all would for a process that is stopped.
        let ((stood, stands), (wake, woken)) = (channel(), channel::<()>());
        spawn("stands still", move || {
            stood.send(()).expect("heard");
            let _ = woken.recv();
        });
        stands.recv_timeout(WAIT_TIMEOUT).expect("it stands");
        let is_late = number % 4 >= 2;
        if !is_late {
            (&connection).write_all(after).expect("written");
        }
        let is_in_time = rig.alarms.now() < until;
        while rig.alarms.now() < until + Span::from_millis(5) {
            thread::yield_now();
        }
        if is_late {
            (&connection).write_all(after).expect("written");
        }
        wake.send(()).expect("heard");
        let came = heard.recv_timeout(WAIT_TIMEOUT).expect("it ends");
        // Where this test itself had no core in time, the round says nothing.
        if is_in_time {
            in_time += 1;
            assert_eq!(came, format!("Ran Succeeded 200 {body}"), "{number}");
        }
    }
    assert_eq!(in_time, 8);
}

/// Many attempts at once over kept connections, from clients that leave, at a worker that answers too much, too late,
/// in pieces, with what belongs to others, or breaks off: each gets its own answer or none, and what is said not to
/// have run has not.
#[test]
fn no_client_gets_the_reply_of_another() {
    let rig = Rig::new();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let tokens: Arc<Mutex<HashMap<String, Arc<CancelToken>>>> = Arc::default();
    let (listener, r, c) = (rig.listener.try_clone().expect("cloned"), ran.clone(), tokens.clone());
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            stream.set_nodelay(true).expect("set");
            let (ran, tokens) = (r.clone(), c.clone());
            thread::spawn(move || play(number as u64, &stream, &ran, &tokens));
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
                let heard = rig.send(true, &id, rng.next_u32() as usize % 40, rig.after(20_000), &cancel);
                (id, heard)
            })
            .collect();
        for (id, heard) in all {
            let came = heard.recv_timeout(WAIT_TIMEOUT).expect("it ends");
            let has_run = ran.lock().expect("ran").contains(&id);
            let (verdict, _) = came.split_once(' ').expect("two words");
            let is_own = came == format!("Ran Succeeded 200 for-{id}");
            assert!(is_own || verdict != "Ran", "{id}: {came}");
            assert!(verdict != "NeverRan" || !has_run, "{id} has run: {came}");
            *counts.entry(verdict.to_string()).or_insert(0) += 1;
        }
    }
    assert!(["NeverRan", "MayHaveRun", "Ran"].iter().all(|v| counts[*v] > 50), "{counts:?}");
}

/// A worker's connection, with a fault now and then.
fn play(
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
        let what = rng.next_u32() % 12;
        if what != 0 {
            ran.lock().expect("ran").push(id.clone());
        }
        let own = answer(&format!("200 me seal :for-{id}"), &id);
        let late = answer(&format!("200 me seal :for-{before}"), &before);
        let full = |id: &str| answer("503 me not-run", id);
        let said = match what {
            0 => full(&id),
            1 => full(&before) + &own,
            2 => late + &own,
            3 => own.clone() + &own,
            4 => own + &full(&id),
            5 => full(&before),
            6 => answer("200 seal :x", ""),
            _ => own,
        };
        if what == 7 {
            tokens.lock().expect("tokens")[&id].cancel();
        }
        let (first, rest) = said.split_at(rng.next_u32() as usize % said.len());
        let _ = (&mut &*stream).write_all(first.as_bytes());
        let _ = (&mut &*stream).write_all(rest.as_bytes());
        if what == 5 || what == 6 {
            return reset(stream);
        }
        before = id;
    }
}
