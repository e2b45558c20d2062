//! Tests of the gatekeeper program with fake workers, counter and discovery on loopback sockets.

mod support;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use support::{
    HttpMessage, TestEnv, WorkerAction, exchange, gatekeeper_config, program, request_text, start_counter,
    start_discovery, worker_entry,
};

/// Reply to the client and number of attempts, by the worker's action on each attempt.
#[test]
fn attempts_and_reply_by_worker_action() {
    use WorkerAction::*;
    let cases: [(&str, &[WorkerAction], u16, usize); 19] = [
        ("get", &[Succeed], 200, 1),
        ("get", &[SucceedChunked], 200, 1),
        ("get", &[SucceedAndClose], 200, 1),
        ("get", &[Fail, Succeed], 200, 2),
        ("get", &[RejectUnstarted, Succeed], 200, 2),
        ("get", &[RejectBusy, Succeed], 200, 2),
        ("get", &[Reset, Succeed], 200, 2),
        ("get", &[Truncate, Succeed], 200, 2),
        // Throttled after three attempts, as an idempotent request can safely be repeated.
        ("get", &[Fail, Fail, Fail, Succeed], 429, 3),
        ("put", &[Succeed], 200, 1),
        ("put", &[SucceedChunked], 200, 1),
        // Never ran: retried, and throttled after three attempts.
        ("put", &[RejectUnstarted, Succeed], 200, 2),
        ("put", &[RejectUnstarted, RejectUnstarted, RejectUnstarted], 429, 3),
        // May have run: not retried, and answered with an error.
        ("put", &[Fail, Succeed], 502, 1),
        ("put", &[RejectBusy, Succeed], 502, 1),
        ("put", &[Reset, Succeed], 502, 1),
        ("put", &[Truncate, Succeed], 502, 1),
        ("put", &[RejectUnstarted, Fail, Succeed], 502, 2),
        ("put", &[Hang, Succeed], 502, 1),
    ];
    for (operation, actions, wanted, attempts) in cases {
        // A new environment for each case, so that worker health and quotas start afresh.
        let env = TestEnv::new(4, 0, Some(1.0));
        let id = env.script(actions);
        let started = Instant::now();
        let answer = env.send(&request_text(operation, "wide", &id, 800)).expect("an answer");
        let case = format!("{operation} {actions:?}");
        assert!(started.elapsed() < Duration::from_millis(1_000), "{case}: {:?}", started.elapsed());
        let seen = env.log.attempts_of(&id);
        assert_eq!((answer.status(), seen.len()), (wanted, attempts), "{case}");
        if wanted == 200 {
            assert_eq!(answer.body, format!("answer to {id}").into_bytes(), "{case}");
        }
        for (_, message) in seen {
            assert!(
                message.start_line.contains(&format!("/{operation}/a?q=1 HTTP/1.1")),
                "{}",
                message.start_line
            );
            assert_eq!((message.header("x-more"), message.body.len() % 4), ("kept", 0));
            assert!(message.header("request-timeout-ms").parse::<u32>().is_ok_and(|ms| ms < 800));
        }
    }
}

/// A refused connection is an attempt that never ran, so that even a non-idempotent request is retried.
#[test]
fn refused_connection_is_retried_at_another_worker() {
    let env = TestEnv::new(2, 2, Some(1.0));
    for _ in 0..8 {
        let id = env.script(&[]);
        let answer = env.send(&request_text("put", "wide", &id, 800)).expect("an answer");
        assert_eq!((answer.status(), env.log.attempts_of(&id).len()), (200, 1));
    }
}

/// Invalid requests get an error status and never reach a worker.
#[test]
fn invalid_requests_are_rejected() {
    let env = TestEnv::new(2, 0, Some(1.0));
    let good = request_text("get", "wide", "00000000000000ff", 800);
    let put = request_text("put", "wide", "00000000000000ff", 800);
    let long = |n| put.replace("Content-Length: 4", &format!("Content-Length: {n}"));
    let chunked =
        |chunk| put.replace("Content-Length: 4", "Transfer-Encoding: chunked").replace("body", chunk);
    let cases = [
        ("not HTTP", "\u{1}\u{2}\r\n\r\n".to_string(), 400),
        ("no version", "GET /get\r\n\r\n".to_string(), 400),
        ("unknown operation", good.replace("/get/", "/got/"), 404),
        ("no operation", good.replace("/get/a", "/"), 404),
        ("unknown plan", good.replace("wide", "wider"), 400),
        ("no plan", good.replace("X-Tariff", "X-Tarif"), 400),
        ("no id", good.replace("Request-Id", "Request-Ident"), 400),
        ("no key", good.replace("key=", "kee="), 400),
        ("a key that is no number", good.replace("b4d65521", "b4d6552x"), 400),
        ("a key too large", good.replace("00000000b4d65521", "ffffffffb4d65521"), 400),
        ("a negative time", good.replace("Ms: 800", "Ms: -800"), 400),
        ("a time that is no number", good.replace("Ms: 800", "Ms: soon"), 400),
        ("a time too large", good.replace("Ms: 800", "Ms: 80000000000"), 400),
        ("no time", good.replace("Request-Timeout-Ms", "X"), 400),
        ("units below none", good.replace("units=1", "units=-1"), 400),
        ("units without end", good.replace("units=1", "units=inf"), 400),
        ("no units", good.replace("units=1", "units=0"), 400),
        ("more units than there are", good.replace("units=1", "units=4.5"), 400),
        ("units twice", good.replace("units=1", "units=1,units=2"), 400),
        ("a spread past the gatekeepers", good.replace("spread=2", "spread=3"), 400),
        ("a first past the gatekeepers", good.replace("first=0", "first=2"), 400),
        ("two ids", good.replace("X-More", "Request-Id: 00000000000000fe\r\nX-More"), 400),
        ("a method of another operation", good.replace("GET ", "POST "), 405),
        ("a spread that is no number", good.replace("spread=2", "spread=two"), 400),
        ("a method for heads only", good.replace("GET ", "HEAD "), 405),
        ("a length that is no number", long("4x"), 400),
        ("a length below none", long("-4"), 400),
        ("two lengths", long("4\r\nContent-Length: 5"), 400),
        ("a length and a coding", long("4\r\nTransfer-Encoding: chunked"), 400),
        ("a body too large", long("65537"), 413),
        ("a length past all numbers", long("99999999999999999999999999"), 413),
        ("a chunk that is no number", chunked("zz\r\nbody\r\n0\r\n\r\n"), 400),
        ("a chunk without its end", chunked("4\r\nbodyXX0\r\n\r\n"), 400),
        ("a chunk too large", chunked("10001\r\n"), 413),
        ("a head too large", good.replace("kept", &"k".repeat(20_000)), 431),
    ];
    for (case, text, wanted) in cases {
        let answer = env.send(&text).unwrap_or_default();
        assert_eq!(answer.status(), wanted, "{case}");
    }
    assert_eq!(env.log.attempts_of("00000000000000ff").len(), 0);
    // Unknown headers and unknown parts of a header are ignored.
    let id = env.script(&[]);
    let odd = request_text("get", "wide", &id, 800).replace("first=0", "first=0,more=x,,=");
    let odd = odd.replace("X-More", "Connection: keep-alive, X-Mine\r\nX-Mine: 1\r\nX-More");
    assert_eq!(env.send(&odd).expect("an answer").status(), 200);
    // Hop-by-hop headers are not forwarded.
    let seen = &env.log.attempts_of(&id)[0].1;
    assert_eq!((seen.header("x-mine"), seen.header("connection"), seen.header("x-more")), ("", "", "kept"));
}

/// An id can be used again once its request is answered or its client has disconnected.
#[test]
fn id_of_open_request_is_rejected() {
    let env = TestEnv::new(2, 0, Some(1.0));
    let id = env.script(&[WorkerAction::SucceedAfterMs(300), WorkerAction::Hang]);
    let put = request_text("put", "wide", &id, 3000);
    let client = env.client();
    (&client).write_all(put.as_bytes()).expect("written");
    env.wait_until("the attempt arrives", || env.log.attempts_of(&id).len() == 1);
    assert_eq!(env.send(&put).expect("an answer").status(), 409);
    assert_eq!(HttpMessage::read(&mut BufReader::new(&client)).expect("an answer").status(), 200);
    (&client).write_all(put.as_bytes()).expect("written");
    env.wait_until("the next attempt arrives", || env.log.attempts_of(&id).len() == 2);
    drop(client);
    env.wait_until("the connection is closed", || env.log.connections_closed.load(Ordering::SeqCst) == 1);
    assert_eq!(env.send(&put).expect("an answer").status(), 200);
    assert_eq!(env.log.attempts_of(&id).len(), 3);
}

/// Clients that send nothing, an incomplete message or only invalid messages are closed in time. Clients
/// beyond the limit replace idle ones.
#[test]
fn idle_and_misbehaving_clients_are_closed() {
    let env = TestEnv::new(2, 0, Some(1.0));
    let kept_client = env.client();
    let send_request = || {
        exchange(&kept_client, &request_text("put", "wide", &env.script(&[]), 3000))
            .expect("an answer")
            .status()
    };
    assert_eq!(send_request(), 200);
    let started = Instant::now();
    let (silent, incomplete, invalid) = (env.client(), env.client(), env.client());
    (&incomplete).write_all(b"POST /put/a HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf").expect("written");
    (&invalid).write_all("GET /nothing HTTP/1.1\r\n\r\n".repeat(100).as_bytes()).expect("written");
    let mut output = String::new();
    let _ = (&invalid).read_to_string(&mut output);
    assert_eq!(output.matches("HTTP/1.1 404").count(), 16);
    let end = loop {
        match (&silent).read(&mut [0]) {
            // A pause of the machine can interrupt a read with a time-out.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            end => break end.expect("an end"),
        }
    };
    assert_eq!(end, 0);
    assert_eq!(HttpMessage::read(&mut BufReader::new(&incomplete)).expect("an answer").status(), 408);
    assert!(started.elapsed() < Duration::from_millis(3_000), "{:?}", started.elapsed());
    // Of 256 descriptors 145 are for clients.
    let clients: Vec<_> = (0..300).map(|_| env.client()).collect();
    let again =
        || env.send(&request_text("put", "wide", &env.script(&[]), 3000)).expect("an answer").status();
    assert_eq!(again(), 200);
    assert_eq!(clients.len(), 300);
}

/// Guards against closing a new connection, whose first request is on its way, before one that has been idle
/// for longer.
#[test]
fn longest_idle_client_is_closed_first() {
    let env = TestEnv::new(2, 0, Some(1.0));
    let request_status = |client: &std::net::TcpStream| {
        exchange(client, &request_text("put", "wide", &env.script(&[]), 3000)).expect("an answer").status()
    };
    let clients =
        |n| (0..n).map(|_| env.client()).inspect(|c| assert_eq!(request_status(c), 200)).collect::<Vec<_>>();
    // Of 256 descriptors 145 are for clients.
    let first = clients(130);
    let new = env.client();
    let more = clients(100);
    assert_eq!((request_status(&new), first.len(), more.len()), (200, 130, 100));
}

/// Bodies up to the maximum length, with a length and in chunks, and two requests in one write.
#[test]
fn bodies_and_pipelined_requests_are_forwarded_unchanged() {
    let env = TestEnv::new(2, 0, Some(1.0));
    for (size, in_chunks) in [(0, false), (1, true), (5_000, false), (65_536, false), (65_536, true)] {
        let id = env.script(&[]);
        let body: String = (0..size).map(|n| char::from(b'a' + (n % 26) as u8)).collect();
        let (head, _) = request_text("put", "wide", &id, 3000)
            .split_once("Content-Length")
            .map(|(h, b)| (h.to_string(), b.len()))
            .expect("has one");
        let sent = if in_chunks {
            let pieces = body
                .as_bytes()
                .chunks(1000)
                .map(|c| format!("{:x};x=y\r\n{}\r\n", c.len(), std::str::from_utf8(c).expect("letters")));
            format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\nTrailer: t\r\n\r\n",
                pieces.collect::<String>()
            )
        } else {
            format!("{head}Content-Length: {size}\r\n\r\n{body}")
        };
        let client = env.client();
        assert_eq!(exchange(&client, &sent).expect("an answer").status(), 200, "{size}, {in_chunks}");
        let seen = env.log.attempts_of(&id);
        assert_eq!((seen.len(), seen[0].1.body == body.as_bytes()), (1, true), "{size}, {in_chunks}");
    }
    let (one, two) = (env.script(&[WorkerAction::SucceedAfterMs(50)]), env.script(&[]));
    let client = env.client();
    let both = request_text("put", "wide", &one, 3000) + &request_text("get", "wide", &two, 3000);
    (&client).write_all(both.as_bytes()).expect("written");
    let mut reader = BufReader::new(&client);
    for id in [one, two] {
        let answer = HttpMessage::read(&mut reader).expect("an answer");
        assert_eq!(answer.body, format!("answer to {id}").into_bytes());
    }
}

/// Worker connections are reused, replaced after the worker closed them, and closed before the worker's idle
/// time-out.
#[test]
fn worker_connections_are_reused_and_closed_when_idle() {
    let env = TestEnv::new(1, 0, Some(1.0));
    let client = env.client();
    let send_request = |actions: &[WorkerAction]| {
        let id = env.script(actions);
        let answer = exchange(&client, &request_text("put", "wide", &id, 3000)).expect("an answer");
        assert_eq!((answer.status(), env.log.attempts_of(&id).len()), (200, 1));
    };
    (0..20).for_each(|_| send_request(&[]));
    assert_eq!(env.log.connections.load(Ordering::SeqCst), 1);
    // A connection that the worker closed while it was idle is not used for the next attempt.
    send_request(&[WorkerAction::SucceedAndClose]);
    thread::sleep(Duration::from_millis(50));
    send_request(&[]);
    assert_eq!(env.log.connections.load(Ordering::SeqCst), 2);
    // The settings' idle time-out is 1.5 s.
    let started = Instant::now();
    env.wait_until("the connection is closed", || env.log.connections_closed.load(Ordering::SeqCst) == 2);
    let took = started.elapsed();
    assert!(took > Duration::from_millis(700) && took < Duration::from_millis(1_500), "{took:?}");
}

/// The connection of an attempt is closed at once if the client disconnects or the deadline passes.
#[test]
fn aborted_attempt_closes_worker_connection() {
    for client_leaves in [true, false] {
        let env = TestEnv::new(1, 0, Some(1.0));
        let id = env.script(&[WorkerAction::Hang]);
        let client = env.client();
        (&client).write_all(request_text("put", "wide", &id, 600).as_bytes()).expect("written");
        env.wait_until("the attempt arrives", || env.log.attempts_of(&id).len() == 1);
        assert_eq!(env.log.connections_closed.load(Ordering::SeqCst), 0);
        if client_leaves {
            drop(client);
        } else {
            let answer = HttpMessage::read(&mut BufReader::new(&client)).expect("an answer");
            assert_eq!(answer.status(), 502);
        }
        env.wait_until("the connection is closed", || env.log.connections_closed.load(Ordering::SeqCst) == 1);
        assert_eq!(env.log.attempts_of(&id).len(), 1);
    }
}

/// Requests are throttled with `Retry-After` if the token bucket is empty or the counter's total exceeds the
/// quota. A counter that does not reply delays no request.
#[test]
fn quota_and_counter_throttle_requests() {
    // Total that the counter always replies, and whether a tenant with tokens left is admitted two seconds
    // later.
    for (total, is_admitted) in [(Some(1.0), true), (Some(1000.0), false), (None, true)] {
        let env = TestEnv::new(2, 0, total);
        let client = env.client();
        let send_request = |operation| {
            let started = Instant::now();
            let id = env.script(&[]);
            let answer = exchange(&client, &request_text(operation, "narrow", &id, 3000)).expect("an answer");
            assert!(started.elapsed() < Duration::from_millis(500), "{total:?}: {:?}", started.elapsed());
            (
                answer.status(),
                answer.header("retry-after").parse::<f64>().unwrap_or(0.0),
                env.log.attempts_of(&id).len(),
            )
        };
        assert_eq!(send_request("get"), (200, 0.0, 1));
        thread::sleep(Duration::from_millis(2_000));
        let (status, wait, attempts) = send_request("put");
        assert_eq!((status, attempts), if is_admitted { (200, 1) } else { (429, 0) }, "{total:?}");
        assert_eq!(wait > 0.0, !is_admitted);
        let calls = env.counter.request_lines.lock().expect("not poisoned").clone();
        let first = calls.first().expect("a call");
        assert!(first.starts_with("POST /counters/") && first.contains("?by=1&expire_ms="), "{first}");
        // A burst empties the token bucket.
        (0..5).for_each(|_| _ = send_request("get"));
        let last = send_request("get");
        assert!(last.0 == 429 && last.1 > 0.0 && last.1 <= 1.0, "{last:?}");
    }
}

/// After a reply without a readable total, the connection to the counter is closed and later calls use a new
/// one.
#[test]
fn unreadable_total_closes_counter_connection() {
    let cases = ["Content-Length: 2\r\n\r\n0x", "Content-Length: 90\r\n\r\n", "no header\r\n\r\n"];
    for case in cases {
        let env = TestEnv::new(2, 0, Some(1.0));
        let bad = support::start_counter_with_response(Some(format!("HTTP/1.1 200 OK\r\n{case}")));
        env.reload(&gatekeeper_config(env.addr, "{}", bad.addr, env.discovery.addr));
        let calls = || bad.request_lines.lock().expect("not poisoned").len();
        for n in 1..3 {
            let id = env.script(&[]);
            assert_eq!(env.send(&request_text("put", "wide", &id, 3000)).expect("an answer").status(), 200);
            env.wait_until("the counter is called", || calls() >= n);
            thread::sleep(Duration::from_millis(200));
            assert_eq!((calls(), bad.connections_closed.load(Ordering::SeqCst)), (n, n as u32), "{case:?}");
        }
    }
}

/// Drained, restored and deleted workers are applied. A watch that times out is reopened from the last
/// revision received.
#[test]
fn worker_list_updates_are_applied() {
    let env = TestEnv::new(2, 0, Some(1.0));
    // Three concurrent requests, as sequential ones would all use the worker with an idle connection.
    let used_workers = || {
        let ids: Vec<String> = (0..18).map(|_| env.script(&[WorkerAction::SucceedAfterMs(100)])).collect();
        for three in ids.chunks(3) {
            thread::scope(|s| {
                for id in three {
                    s.spawn(|| {
                        let answer = env.send(&request_text("put", "wide", id, 3000)).expect("an answer");
                        assert_eq!(answer.status(), 200);
                    });
                }
            });
        }
        let mut to: Vec<usize> = ids.iter().flat_map(|id| env.log.attempts_of(id)).map(|(n, _)| n).collect();
        to.sort_unstable();
        to.dedup();
        to
    };
    env.wait_until("a watch opens", || !env.discovery.request_lines.lock().expect("not poisoned").is_empty());
    assert_eq!(used_workers(), [0, 1]);
    let send_update = |revision, line: String| {
        let update = format!(r#"{{"revision":{revision},"complete":false,"members":[{line}],"more":1}}"#);
        env.discovery.send_to_watchers(&update);
        thread::sleep(Duration::from_millis(100));
    };
    send_update(8, worker_entry(0, env.workers[0], "DRAINING"));
    assert_eq!(used_workers(), [1]);
    send_update(9, worker_entry(0, env.workers[0], "SERVING"));
    assert_eq!(used_workers(), [0, 1]);
    send_update(10, r#"{"id":"s-1","phase":"DELETED"}"#.to_string());
    assert_eq!(used_workers(), [0]);
    env.discovery.send_to_watchers("");
    // The watch receives no further data, so that it times out.
    let watch_requests = || env.discovery.request_lines.lock().expect("not poisoned").clone();
    env.wait_until("a watch reopens", || watch_requests().len() == 2);
    assert!(
        watch_requests()[0].contains("watch=1&from=7 ") && watch_requests()[1].contains("watch=1&from=10 "),
        "{:?}",
        watch_requests()
    );
    assert_eq!(used_workers(), [0]);
}

/// After SIGHUP, discovery and the counter are used at their new addresses without losing the list or the
/// counts. An invalid file changes nothing.
#[test]
fn reload_switches_discovery_and_counter() {
    let env = TestEnv::new(2, 0, Some(1.0));
    let send_request = || {
        let id = env.script(&[]);
        let answer = env.send(&request_text("put", "wide", &id, 3000)).expect("an answer");
        (answer.status(), env.log.attempts_of(&id).first().map(|(n, _)| *n))
    };
    let watch_requests = |of: &support::Discovery| of.request_lines.lock().expect("not poisoned").clone();
    let calls = |of: &support::Counter| of.request_lines.lock().expect("not poisoned").len();
    let list_update = |revision, n: usize, phase| {
        let line = worker_entry(n, env.workers[n], phase);
        format!(r#"{{"revision":{revision},"complete":false,"members":[{line}]}}"#)
    };
    env.wait_until("a watch opens", || !watch_requests(&env.discovery).is_empty());
    env.discovery.send_to_watchers(&list_update(8, 0, "DRAINING"));
    assert_eq!(send_request().0, 200);
    env.wait_until("the counter is called", || calls(&env.counter) > 0);
    let (new, total) = (start_discovery(), start_counter(Some(1e6)));
    let known = r#"{"revision":1,"complete":true,"members":[]}"#;
    env.reload(&gatekeeper_config(env.addr, known, total.addr, new.addr));
    env.wait_until("a watch reopens", || watch_requests(&new).len() == 1);
    assert!(watch_requests(&new)[0].contains("watch=1&from=8 "), "{:?}", watch_requests(&new));
    // An outdated update from the previous watch is ignored, an update from the new one is applied.
    env.discovery.send_to_watchers(&list_update(7, 0, "SERVING"));
    new.send_to_watchers(&list_update(9, 1, "SERVING"));
    thread::sleep(Duration::from_millis(100));
    (0..8).for_each(|_| assert_eq!(send_request(), (200, Some(1))));
    let old_calls = calls(&env.counter);
    env.wait_until("the new counter is called", || calls(&total) > 0);
    assert_eq!(calls(&env.counter), old_calls);
    // The total of the new counter applies.
    thread::sleep(Duration::from_millis(100));
    assert_eq!(send_request(), (429, None));
    for unusable in
        ["", "{\"name\":", &gatekeeper_config(env.addr, known, total.addr, new.addr).replace("8c1f", "none")]
    {
        env.reload(unusable);
        thread::sleep(Duration::from_millis(50));
        assert_eq!(send_request(), (429, None));
    }
    assert_eq!((watch_requests(&new).len(), watch_requests(&env.discovery).len()), (1, 1));
}

/// After SIGTERM, the gatekeeper serves new clients for a grace period, answers all open requests and exits
/// in time.
#[test]
fn graceful_shutdown_answers_open_requests() {
    // Latency of the worker, expected status, integration time-out, and time limit for the exit, in
    // milliseconds.
    let cases = [(1_500, 200, 4_000, 3_700), (20_000, 502, 4_000, 3_700), (20_000, 502, 1_000, 1_700)];
    for (latency_ms, wanted, timeout, exit_limit_ms) in cases {
        let mut env = TestEnv::with_timeout(2, 0, Some(1.0), timeout);
        let slow = env.script(&[WorkerAction::SucceedAfterMs(latency_ms)]);
        let (waiting, idle) = (env.client(), env.client());
        (&waiting).write_all(request_text("put", "wide", &slow, 20_000).as_bytes()).expect("written");
        env.wait_until("the attempt arrives", || env.log.attempts_of(&slow).len() == 1);
        env.signal("TERM");
        let started = Instant::now();
        thread::sleep(Duration::from_millis(100));
        let id = env.script(&[]);
        assert_eq!(env.send(&request_text("put", "wide", &id, 3000)).expect("an answer").status(), 200);
        assert_eq!((&idle).read(&mut [0]).expect("an end"), 0);
        assert!(started.elapsed() > Duration::from_millis(400), "closed before the grace was over");
        let refused =
            std::net::TcpStream::connect(env.addr).map(|s| exchange(&s, "GET /up HTTP/1.1\r\n\r\n"));
        assert!(matches!(refused, Err(_) | Ok(None)), "{refused:?}");
        let answer = HttpMessage::read(&mut BufReader::new(&waiting)).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (wanted, "close"));
        drop((waiting, idle));
        let status =
            env.wait_for_exit(Duration::from_millis(exit_limit_ms).saturating_sub(started.elapsed()));
        assert!(status.is_some_and(|s| s.success()), "{status:?}");
    }
}

/// An invalid configuration is reported in one line with its cause, and the exit status is a failure.
#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let none: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let free = "127.0.0.1:0".parse().expect("an address");
    let good = gatekeeper_config(free, r#"{"revision":1,"complete":true,"members":[]}"#, none, none);
    let cases = [
        ("configuration: EOF", good[..100].to_string()),
        ("configuration: missing field", good.replace("\"listen\"", "\"lissen\"")),
        ("configuration: seed", good.replace("8c1f30d27a5be964", "none")),
        ("settings: ", good.replace("\"onTime\":2000000000", "\"onTime\":\"soon\"")),
        ("configuration: the settings name no", good.replace("\"classes\"", "\"operations\"")),
        ("listening on", good.replace("127.0.0.1:0", "192.0.2.1:1")),
    ];
    for (wanted, text) in cases {
        let out = program(&text).0.output().expect("runs");
        let output = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{wanted}");
        assert_eq!(output.lines().count(), 1, "{output}");
        assert!(output.starts_with(&format!("lynxstair-gatekeeper: {wanted}")), "{wanted}: {output}");
    }
}
