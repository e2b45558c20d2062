//! One try at a worker through real sockets: `docs/design/tries.md` has the same rows. The worker is played here,
//! byte by byte. Nothing sleeps: both sides wait in reads that end with what the other does.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use lynxstair::rng::Rng;
use lynxstair::types::Outcome::{self, Cancelled, ConnectFailed, Errored, Full, Reset, Succeeded, TimedOut};
use lynxstair::types::{Span, Time, WorkerId};
use lynxstair_pass::workers::{Carrier, Outgoing, Workers};
use lynxstair_ridge::ladder::Worker;
use lynxstair_standins::Message;
use lynxstair_trailbook::verdict::Verdict::{self, Failed, MayHaveRun, NeverRan, Ran};
use lynxstair_wire::alarms::Alarms;
use lynxstair_wire::clock::Clock;
use lynxstair_wire::conn::Ring;
use lynxstair_wire::coroutine::{go, prepare};
use lynxstair_wire::http;

const PATIENCE: Duration = Duration::from_secs(20);
const LONG: Span = Span::from_millis(20_000);
const SHORT: Span = Span::from_millis(40);

/// What a try came to, as the road sees it: the verdict, the outcome, the answer's status and whole body.
type Came = (Verdict, Outcome, Option<(u16, String)>);

/// All coroutines share one thread, and one test stops it: the tests come one after another.
static ALONE: Mutex<()> = Mutex::new(());

struct Rig {
    _alone: MutexGuard<'static, ()>,
    alarms: Arc<Alarms>,
    workers: Arc<Workers>,
    listener: TcpListener,
    worker: Arc<Worker>,
}

impl Rig {
    fn new() -> Rig {
        let alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
        prepare();
        let alarms = Arc::new(Alarms::new(Clock::start()).expect("alarms"));
        let a = alarms.clone();
        go("alarms", move || a.run());
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let [id, service, zone] = ["i-1", "s", "z"].map(str::to_string);
        let worker = Arc::new(Worker { id, address, service, zone, number: WorkerId(1) });
        Rig { _alone: alone, alarms, workers: Arc::new(Workers::new(100)), listener, worker }
    }

    /// Begins a try; what it comes to is said once.
    fn send(&self, id: &str, body: usize, until: Time, carrier: &Arc<Carrier>) -> Receiver<Came> {
        self.send_if(true, id, body, until, carrier)
    }

    /// The same, where it may or may not go when it comes to it.
    fn send_if(
        &self,
        may_go: bool,
        id: &str,
        body: usize,
        until: Time,
        carrier: &Arc<Carrier>,
    ) -> Receiver<Came> {
        let (said, heard) = channel();
        let (alarms, workers, worker) = (self.alarms.clone(), self.workers.clone(), self.worker.clone());
        let (id, carrier) = (id.to_string(), carrier.clone());
        go("a try", move || {
            let head = format!("POST /a HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\n\r\n");
            let (call, _) = http::call(head.as_bytes()).expect("good").expect("whole");
            let body = vec![b'b'; body];
            let out = Outgoing { call: &call, body: &body, tenant: None, attempt: &id, may_go: &|_| may_go };
            let tried = workers.send(&alarms, &worker, &out, until, &carrier);
            let answer = tried.answer.map(|mut answer| {
                let status = answer.status;
                let mut ring = Ring::new(1 << 20);
                answer.put(&mut ring, "").expect("put");
                let head = ring.bytes().windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
                let mut text = ring.bytes()[head..].to_vec();
                let whole = answer.more(
                    &alarms,
                    until,
                    &carrier,
                    || true,
                    |piece| {
                        text.extend_from_slice(piece);
                        true
                    },
                );
                workers.done(answer);
                (status, String::from_utf8_lossy(&text).into_owned() + if whole { "" } else { " CUT" })
            });
            let _ = said.send((tried.verdict, tried.outcome, answer));
        });
        heard
    }

    /// Lets the other side's one thread come round: what was written before is read, in all likelihood.
    fn turns(&self) {
        for _ in 0..3 {
            let (said, heard) = channel();
            go("a turn", move || said.send(()).expect("heard"));
            heard.recv_timeout(PATIENCE).expect("a turn");
        }
    }

    fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.set_nodelay(true).expect("set");
        stream
    }
}

/// Reads a whole request; its id.
fn request(stream: &TcpStream) -> String {
    let message = Message::read(&mut BufReader::with_capacity(1, stream)).expect("a request");
    message.header("attempt-id").to_string()
}

fn answer(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn good(id: &str, body: &str) -> String {
    answer(200, &format!("Attempt-Id: {id}\r\nServer-Seal: s\r\n"), body)
}

fn got_body(status: u16, body: &str) -> Option<(u16, String)> {
    Some((status, body.to_string()))
}

/// A connection that has carried a request and is kept.
fn kept_connection(rig: &Rig) -> TcpStream {
    let heard = rig.send("first", 0, rig.alarms.now() + LONG, &Arc::default());
    let conn = rig.accept();
    assert_eq!(request(&conn), "first");
    (&conn).write_all(good("first", "1").as_bytes()).expect("written");
    assert_eq!(heard.recv_timeout(PATIENCE), Ok((Ran, Succeeded, got_body(200, "1"))));
    conn
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How a worker's part ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    /// It says no more, and the time is long, or short.
    Waits,
    TimeIsUp,
    Closes,
    Resets,
    ClientLeaves,
}
use Then::{ClientLeaves, Closes, Resets, TimeIsUp, Waits};

/// Each row: on a new connection and on one that carried a request before; what the worker says in pieces of
/// which each is read apart; what it does then; what the try comes to, and whether the connection is used again.
/// `ME` stands for the request's id.
#[test]
fn ends_of_a_try() {
    let ours = |status: u16, headers: &str, body: &str| {
        answer(status, &format!("Attempt-Id: ME\r\n{headers}"), body)
    };
    let full = |id: &str| answer(503, &format!("Attempt-Id: {id}\r\nNot-Run: 1\r\n"), "");
    let bare_full = answer(503, "Not-Run: 1\r\n", "");
    let bare_400 = answer(400, "Not-Run: 1\r\n", "");
    let yes = good("ME", "yes");
    let long = "x".repeat(100_000);
    let cut_at = good("ME", &long).len() - 100_000;
    let cut = "x".repeat(70_000 - cut_at) + " CUT";
    let is = |v: Verdict, o: Outcome| (v, o, None);
    let served = || (Ran, Succeeded, got_body(200, "yes"));
    // What, on a kept connection too (or only there, or only on a new one), the pieces, then, came to, kept.
    type Row = (&'static str, &'static [bool], Vec<String>, Then, Came, bool);
    const BOTH: &[bool] = &[false, true];
    const NEW: &[bool] = &[false];
    const KEPT: &[bool] = &[true];
    let half = |text: &str, at: usize| vec![text[..at].to_string(), text[at..].to_string()];
    let rows: Vec<Row> = vec![
        ("answered", BOTH, vec![yes.clone()], Waits, served(), true),
        ("answered in two reads", BOTH, half(&yes, 30), Waits, served(), true),
        ("answered in two reads, in the body", BOTH, half(&yes, yes.len() - 1), Waits, served(), true),
        ("answered, and closed", BOTH, vec![yes.clone()], Closes, served(), false),
        ("failed", BOTH, vec![ours(500, "", "no")], Waits, (Failed, Errored, got_body(500, "no")), true),
        (
            "not found there",
            BOTH,
            vec![ours(404, "", "no")],
            Waits,
            (Ran, Succeeded, got_body(404, "no")),
            true,
        ),
        ("not run", BOTH, vec![full("ME")], Waits, is(NeverRan, Full), true),
        ("not this worker", BOTH, vec![ours(421, "", "")], Waits, is(NeverRan, Full), true),
        (
            "not run, another's; then our answer",
            BOTH,
            vec![full("other"), yes.clone()],
            Waits,
            served(),
            false,
        ),
        (
            "not run, another's; then ours",
            BOTH,
            vec![full("other") + &full("ME")],
            Waits,
            is(NeverRan, Full),
            false,
        ),
        ("not run, another's; silence", BOTH, vec![full("other")], TimeIsUp, is(MayHaveRun, TimedOut), false),
        ("not run, another's; reset", BOTH, vec![full("other")], Resets, is(MayHaveRun, Reset), false),
        (
            "not run, nobody's; then our answer",
            BOTH,
            vec![bare_full.clone(), yes.clone()],
            Waits,
            served(),
            false,
        ),
        ("not run, nobody's; closed", BOTH, vec![bare_full], Closes, is(MayHaveRun, Reset), false),
        ("no id: 400 on a new connection", NEW, vec![bare_400.clone()], Waits, is(NeverRan, Full), false),
        ("no id: 400 on a kept one", KEPT, vec![bare_400.clone()], TimeIsUp, is(MayHaveRun, TimedOut), false),
        (
            "no id: 400 behind another's",
            NEW,
            vec![full("other") + &bare_400],
            TimeIsUp,
            is(MayHaveRun, TimedOut),
            false,
        ),
        ("no id: 421 on a kept one", KEPT, vec![answer(421, "", ""), yes.clone()], Waits, served(), false),
        (
            "no id: a success",
            BOTH,
            vec![answer(200, "Server-Seal: s\r\n", "bad"), yes.clone()],
            Waits,
            served(),
            false,
        ),
        ("surplus first", BOTH, vec![good("other", "bad") + &yes], Waits, served(), false),
        ("surplus behind", BOTH, vec![yes.clone() + &good("ME", "bad")], Waits, served(), false),
        ("surplus behind, in part", BOTH, vec![yes.clone() + "HTT"], Waits, served(), false),
        (
            "surplus, then silence",
            BOTH,
            vec![good("other", "bad")],
            TimeIsUp,
            is(MayHaveRun, TimedOut),
            false,
        ),
        (
            "two ids",
            BOTH,
            vec![answer(200, "Attempt-Id: ME\r\nAttempt-Id: other\r\nServer-Seal: s\r\n", "bad")],
            Waits,
            is(MayHaveRun, Errored),
            false,
        ),
        (
            "not run, two ids",
            BOTH,
            vec![answer(503, "Attempt-Id: ME\r\nAttempt-Id: other\r\nNot-Run: 1\r\n", "")],
            Waits,
            is(MayHaveRun, Errored),
            false,
        ),
        (
            "a success that says not run",
            BOTH,
            vec![ours(200, "Server-Seal: s\r\nNot-Run: 1\r\n", "bad")],
            Waits,
            is(MayHaveRun, Errored),
            false,
        ),
        (
            "503 that does not say not run",
            BOTH,
            vec![ours(503, "", "")],
            Waits,
            is(MayHaveRun, Errored),
            false,
        ),
        (
            "429 that does not say not run",
            BOTH,
            vec![ours(429, "", "")],
            Waits,
            is(MayHaveRun, Errored),
            false,
        ),
        (
            "408 that does not say not run",
            BOTH,
            vec![ours(408, "", "")],
            Waits,
            is(MayHaveRun, Errored),
            false,
        ),
        ("no seal", BOTH, vec![ours(200, "", "bad")], Waits, is(MayHaveRun, Errored), false),
        (
            "encoded",
            BOTH,
            vec![ours(200, "Server-Seal: s\r\nContent-Encoding: br\r\n", "bad")],
            Waits,
            is(MayHaveRun, Errored),
            false,
        ),
        ("no answer at all", BOTH, vec!["what?\r\n\r\n".to_string()], Waits, is(MayHaveRun, Errored), false),
        (
            "go on, and answered",
            BOTH,
            vec!["HTTP/1.1 100 Go\r\n\r\n".to_string(), yes.clone()],
            Waits,
            served(),
            true,
        ),
        ("silence", BOTH, vec![], TimeIsUp, is(MayHaveRun, TimedOut), false),
        ("closed", BOTH, vec![], Closes, is(MayHaveRun, Reset), false),
        ("reset", BOTH, vec![], Resets, is(MayHaveRun, Reset), false),
        ("closed in the head", BOTH, vec![yes[..30].to_string()], Closes, is(MayHaveRun, Reset), false),
        (
            "closed in the body",
            BOTH,
            vec![yes[..yes.len() - 1].to_string()],
            Closes,
            is(MayHaveRun, Reset),
            false,
        ),
        (
            "reset in the body",
            BOTH,
            vec![yes[..yes.len() - 1].to_string()],
            Resets,
            is(MayHaveRun, Reset),
            false,
        ),
        (
            "silent in the body",
            BOTH,
            vec![yes[..yes.len() - 1].to_string()],
            TimeIsUp,
            is(MayHaveRun, TimedOut),
            false,
        ),
        (
            "no length, closed",
            BOTH,
            vec!["HTTP/1.1 200 X\r\nAttempt-Id: ME\r\nServer-Seal: s\r\n\r\nyes".to_string()],
            Closes,
            served(),
            false,
        ),
        (
            "no length, reset",
            BOTH,
            vec!["HTTP/1.1 200 X\r\nAttempt-Id: ME\r\nServer-Seal: s\r\n\r\nyes".to_string()],
            Resets,
            is(MayHaveRun, Reset),
            false,
        ),
        ("client gone", BOTH, vec![], ClientLeaves, is(MayHaveRun, Cancelled), false),
        (
            "client gone in the body",
            BOTH,
            vec![yes[..yes.len() - 1].to_string()],
            ClientLeaves,
            is(MayHaveRun, Cancelled),
            false,
        ),
        (
            "long",
            BOTH,
            half(&good("ME", &long), 70_000),
            Waits,
            (Ran, Succeeded, got_body(200, &long)),
            false,
        ),
        ("long, another's, then ours", BOTH, vec![good("other", &long), yes.clone()], Waits, served(), false),
        (
            "long, closed midway",
            BOTH,
            vec![good("ME", &long)[..70_000].to_string()],
            Closes,
            (Ran, Succeeded, got_body(200, &cut)),
            false,
        ),
    ];
    let rig = Rig::new();
    let mut wrong = Vec::new();
    for (number, (what, on, pieces, then, came, kept)) in rows.iter().enumerate() {
        for is_kept in *on {
            let conn = if *is_kept { Some(kept_connection(&rig)) } else { None };
            let carrier = Arc::new(Carrier::default());
            let until = rig.alarms.now() + if *then == TimeIsUp { SHORT } else { LONG };
            let id = format!("{number}-{is_kept}");
            let heard = rig.send(&id, 4, until, &carrier);
            let conn = conn.unwrap_or_else(|| rig.accept());
            assert_eq!(request(&conn), id, "{what}");
            for piece in pieces {
                let piece = piece.replace("ME", &id);
                let _ = (&conn).write_all(piece.as_bytes());
                rig.turns();
            }
            match then {
                Waits | TimeIsUp => {}
                Closes => conn.shutdown(std::net::Shutdown::Write).expect("closed"),
                Resets => reset(&conn),
                ClientLeaves => carrier.leave(),
            }
            let conn = if *then == Resets {
                drop(conn);
                None
            } else {
                Some(conn)
            };
            let got = heard.recv_timeout(PATIENCE).expect("it ends");
            if got != *came {
                wrong.push(format!("{what}, kept {is_kept}: {:.100}", format!("{got:?}")));
            }
            // A connection that is kept carries the next request; any other one is ended from the other side.
            let next = rig.send("next", 0, rig.alarms.now() + LONG, &Arc::default());
            let is_reused = conn.as_ref().is_some_and(|c| matches!(c.peek(&mut [0]), Ok(1)));
            if is_reused != *kept {
                wrong.push(format!("{what}, kept {is_kept}: the connection is reused: {is_reused}"));
            }
            let over = conn.filter(|_| is_reused).unwrap_or_else(|| rig.accept());
            assert_eq!(request(&over), "next", "{what}");
            let last = good("next", "n").replace("Server-Seal", "Connection: close\r\nServer-Seal");
            (&over).write_all(last.as_bytes()).expect("written");
            assert_eq!(next.recv_timeout(PATIENCE), Ok((Ran, Succeeded, got_body(200, "n"))), "{what}");
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// More than the kernel takes while the worker reads nothing, and its segments are small.
const TOO_MUCH: usize = 2 << 20;

/// How much of a request was handed over decides, where no answer came; and what goes out is all that may.
#[test]
fn what_was_handed_over() {
    let mut rig = Rig::new();
    let [gone, there] = [Arc::new(Carrier::default()), Arc::default()];
    gone.leave();
    let (late, soon) = (rig.alarms.now(), rig.alarms.now() + LONG);
    // Nothing of it: the connection comes up and brings no byte, or does not come up.
    for (may_go, until, carrier, outcome) in [
        (false, soon, &there, Cancelled),
        (true, late, &there, ConnectFailed),
        (true, soon, &gone, Cancelled),
    ] {
        let heard = rig.send_if(may_go, "unsent", 0, until, carrier);
        assert_eq!(heard.recv_timeout(PATIENCE), Ok((NeverRan, outcome, None)));
    }
    let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let there_is_none = Worker {
        address: free,
        id: "i-2".to_string(),
        service: String::new(),
        zone: String::new(),
        number: WorkerId(2),
    };
    let there_is = std::mem::replace(&mut rig.worker, Arc::new(there_is_none));
    let heard = rig.send("nobody", 0, soon, &there);
    assert_eq!(heard.recv_timeout(PATIENCE), Ok((NeverRan, ConnectFailed, None)), "nobody listens");
    rig.worker = there_is;

    // All of it, whether the worker has read it or not: it was with the kernel.
    let heard = rig.send("unread", 10, soon, &there);
    let conn = loop {
        // The connection of the request that was withheld came up and brought nothing.
        let conn = rig.accept();
        if matches!(conn.peek(&mut [0]), Ok(1)) {
            break conn;
        }
    };
    reset(&conn);
    drop(conn);
    assert_eq!(heard.recv_timeout(PATIENCE), Ok((MayHaveRun, Reset, None)), "unread");

    // A part of it: its last byte never left.
    let socket = socket2::SockRef::from(&rig.listener);
    socket.set_recv_buffer_size(4096).expect("set");
    socket.set_tcp_mss(600).expect("set");
    for (then, came) in [
        (Resets, (NeverRan, ConnectFailed, None)),
        (TimeIsUp, (NeverRan, ConnectFailed, None)),
        (ClientLeaves, (NeverRan, Cancelled, None)),
        (Waits, (MayHaveRun, Errored, None)),
        (Closes, (MayHaveRun, Reset, None)),
    ] {
        let carrier = Arc::new(Carrier::default());
        let until = rig.alarms.now() + if then == TimeIsUp { SHORT } else { LONG };
        let heard = rig.send("part", TOO_MUCH, until, &carrier);
        let conn = rig.accept();
        assert!(matches!(conn.peek(&mut [0]), Ok(1)));
        match then {
            Resets => reset(&conn),
            TimeIsUp => {}
            ClientLeaves => carrier.leave(),
            // Who answers before the end has not waited for it.
            Waits => {
                (&conn).write_all(answer(200, "Attempt-Id: part\r\n", "bad").as_bytes()).expect("written")
            }
            Closes => {
                (&conn).write_all(b"HTTP/1.1 200 X\r\nAttempt-Id: pa").expect("written");
                conn.shutdown(std::net::Shutdown::Write).expect("closed");
            }
        }
        let conn = (then != Resets).then_some(conn);
        assert_eq!(heard.recv_timeout(PATIENCE), Ok(came), "{then:?}");
        drop(conn);
    }
}

/// The gatekeeper stands still, the time goes by, the answer comes before or after that, the gatekeeper goes on: what
/// the kernel holds by then stands, in whichever order it hears of the two.
#[test]
fn who_stood_still_reads_what_came() {
    let rig = Rig::new();
    let long = good("still", &"x".repeat(100_000));
    let mut in_time = 0;
    for (number, text) in [good("still", "yes"), long].iter().cycle().take(40).enumerate() {
        if in_time == 8 {
            break;
        }
        let until = rig.alarms.now() + Span::from_millis(150);
        let heard = rig.send("still", 0, until, &Arc::default());
        let conn = rig.accept();
        request(&conn);
        // A long one has begun to be passed on.
        let (before, after) = text.as_bytes().split_at(text.len() * 7 / 10 * usize::from(number % 2 == 1));
        (&conn).write_all(before).expect("written");
        rig.turns();
        // All coroutines wait for this one, as all would for a process that is stopped.
        let ((stood, stands), (wake, woken)) = (channel(), channel::<()>());
        go("stands still", move || {
            stood.send(()).expect("heard");
            let _ = woken.recv();
        });
        stands.recv_timeout(PATIENCE).expect("it stands");
        let is_late = number % 4 >= 2;
        if !is_late {
            (&conn).write_all(after).expect("written");
        }
        let is_in_time = rig.alarms.now() < until;
        while rig.alarms.now() < until + Span::from_millis(5) {
            thread::yield_now();
        }
        if is_late {
            (&conn).write_all(after).expect("written");
        }
        wake.send(()).expect("heard");
        let (verdict, outcome, answer) = heard.recv_timeout(PATIENCE).expect("it ends");
        // Where this test itself had no core in time, the round says nothing.
        if !is_in_time {
            continue;
        }
        in_time += 1;
        let body = answer.map(|(_, body)| body);
        let wanted = text.split("\r\n\r\n").nth(1).map(str::to_string);
        let ends = |body: &Option<String>| {
            body.as_ref().map(|b| (b.len(), b[b.len().saturating_sub(6)..].to_string()))
        };
        assert_eq!((verdict, outcome, ends(&body)), (Ran, Succeeded, ends(&wanted)), "{number}");
    }
    assert_eq!(in_time, 8);
}

/// Many tries at once over kept connections, from clients that leave, at a worker that answers too much, too late,
/// in pieces, with what belongs to others, or breaks off: each gets its own answer or none, and what is said not to
/// have run has not.
#[test]
fn nobody_gets_anothers() {
    let rig = Rig::new();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let carriers: Arc<Mutex<HashMap<String, Arc<Carrier>>>> = Arc::default();
    let (listener, r, c) = (rig.listener.try_clone().expect("cloned"), ran.clone(), carriers.clone());
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            stream.set_nodelay(true).expect("set");
            let (ran, carriers) = (r.clone(), c.clone());
            thread::spawn(move || play(number as u64, &stream, &ran, &carriers));
        }
    });
    let mut rng = Rng::new(7);
    let mut counts = HashMap::new();
    for round in 0..150 {
        let all: Vec<_> = (0..8)
            .map(|n| {
                let id = format!("{round}-{n}");
                let carrier = Arc::new(Carrier::default());
                carriers.lock().expect("carriers").insert(id.clone(), carrier.clone());
                let heard = rig.send(&id, rng.draw() as usize % 40, rig.alarms.now() + LONG, &carrier);
                (id, heard)
            })
            .collect();
        for (id, heard) in all {
            let (verdict, _, answer) = heard.recv_timeout(PATIENCE).expect("it ends");
            if let Some((_, body)) = &answer {
                assert_eq!(body, &format!("for {id}"));
            }
            assert_eq!(answer.is_some(), verdict == Ran, "{id}");
            let has_run = ran.lock().expect("ran").contains(&id);
            assert!(verdict != NeverRan || !has_run, "{id} has run");
            *counts.entry(verdict).or_insert(0) += 1;
        }
    }
    assert!([NeverRan, MayHaveRun, Ran].iter().all(|v| counts[v] > 50), "{counts:?}");
}

/// A worker's connection, with a fault now and then.
fn play(
    seed: u64,
    stream: &TcpStream,
    ran: &Mutex<Vec<String>>,
    carriers: &Mutex<HashMap<String, Arc<Carrier>>>,
) {
    let mut rng = Rng::new(seed + 1);
    let mut reader = BufReader::new(stream);
    let mut before = "none".to_string();
    let full = |id: &str| answer(503, &format!("Attempt-Id: {id}\r\nNot-Run: 1\r\n"), "");
    let own = |id: &str| good(id, &format!("for {id}"));
    while let Some(message) = Message::read(&mut reader) {
        let id = message.header("attempt-id").to_string();
        let what = rng.draw() % 12;
        if what == 0 {
            let _ = (&mut &*stream).write_all(full(&id).as_bytes());
            before = id;
            continue;
        }
        ran.lock().expect("ran").push(id.clone());
        let said = match what {
            1 => full(&before) + &own(&id),
            2 => own(&before) + &own(&id),
            3 => own(&id) + &own(&id),
            4 => own(&id) + &full(&id),
            5 => full(&before),
            6 => "HTTP/1.1 200 X\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\n".to_string(),
            _ => own(&id),
        };
        if what == 7 {
            carriers.lock().expect("carriers")[&id].leave();
        }
        let (first, rest) = said.split_at(rng.draw() as usize % said.len());
        let _ = (&mut &*stream).write_all(first.as_bytes());
        let _ = (&mut &*stream).write_all(rest.as_bytes());
        if what == 5 || what == 6 {
            reset(stream);
            return;
        }
        before = id;
    }
}
