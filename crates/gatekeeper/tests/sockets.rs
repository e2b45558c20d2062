//! The program on sockets: tables of cases against stand-ins.

mod support;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use support::{
    HttpMessage, WorkerAction, World, exchange, gatekeeper_config, program, request_text, start_counter,
    start_discovery, worker_entry,
};

/// What the client gets, and how many attempts were made, by what becomes of each of them.
#[test]
fn what_becomes_of_deliveries() {
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
        // At most three, then harmless to try again.
        ("get", &[Fail, Fail, Fail, Succeed], 429, 3),
        ("put", &[Succeed], 200, 1),
        ("put", &[SucceedChunked], 200, 1),
        // Proved never to have run: another one, and a throttle at the end.
        ("put", &[RejectUnstarted, Succeed], 200, 2),
        ("put", &[RejectUnstarted, RejectUnstarted, RejectUnstarted], 429, 3),
        // It may have run: never again, and no promise.
        ("put", &[Fail, Succeed], 502, 1),
        ("put", &[RejectBusy, Succeed], 502, 1),
        ("put", &[Reset, Succeed], 502, 1),
        ("put", &[Truncate, Succeed], 502, 1),
        ("put", &[RejectUnstarted, Fail, Succeed], 502, 2),
        ("put", &[Hang, Succeed], 502, 1),
    ];
    for (operation, does, wanted, attempts) in cases {
        // Each in a world of its own: what one leads to must not bear on the next.
        let world = World::new(4, 0, Some(1.0));
        let id = world.script(does);
        let started = Instant::now();
        let answer = world.invoke(&request_text(operation, "wide", &id, 800)).expect("an answer");
        let case = format!("{operation} {does:?}");
        assert!(started.elapsed() < Duration::from_millis(1_000), "{case}: {:?}", started.elapsed());
        let seen = world.seen.attempts_of(&id);
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

/// Workers that take no connection cost a delivery that never ran.
#[test]
fn workers_that_refuse_connections() {
    let world = World::new(2, 2, Some(1.0));
    for _ in 0..8 {
        let id = world.script(&[]);
        let answer = world.invoke(&request_text("put", "wide", &id, 800)).expect("an answer");
        assert_eq!((answer.status(), world.seen.attempts_of(&id).len()), (200, 1));
    }
}

/// Bad input gets an answer that says so, and never reaches a worker.
#[test]
fn bad_input() {
    let world = World::new(2, 0, Some(1.0));
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
        let answer = world.invoke(&text).unwrap_or_default();
        assert_eq!(answer.status(), wanted, "{case}");
    }
    assert_eq!(world.seen.attempts_of("00000000000000ff").len(), 0);
    // Fields and parts that are not known are passed over.
    let id = world.script(&[]);
    let odd = request_text("get", "wide", &id, 800).replace("first=0", "first=0,more=x,,=");
    let odd = odd.replace("X-More", "Connection: keep-alive, X-Mine\r\nX-Mine: 1\r\nX-More");
    assert_eq!(world.invoke(&odd).expect("an answer").status(), 200);
    // What belongs to the client's connection stays there.
    let seen = &world.seen.attempts_of(&id)[0].1;
    assert_eq!((seen.header("x-mine"), seen.header("connection"), seen.header("x-more")), ("", "", "kept"));
}

/// A second invocation under the id of an open one is turned away, on any connection; once that is answered, or
/// its client is gone, the id is free.
#[test]
fn ids_that_are_open() {
    let world = World::new(2, 0, Some(1.0));
    let id = world.script(&[WorkerAction::SucceedAfterMs(300), WorkerAction::Hang]);
    let put = request_text("put", "wide", &id, 3000);
    let client = world.client();
    (&client).write_all(put.as_bytes()).expect("written");
    world.until("the delivery has come", || world.seen.attempts_of(&id).len() == 1);
    assert_eq!(world.invoke(&put).expect("an answer").status(), 409);
    assert_eq!(HttpMessage::read(&mut BufReader::new(&client)).expect("an answer").status(), 200);
    (&client).write_all(put.as_bytes()).expect("written");
    world.until("the next has come", || world.seen.attempts_of(&id).len() == 2);
    drop(client);
    world.until("the client is gone", || world.seen.connections_closed.load(Ordering::SeqCst) == 1);
    assert_eq!(world.invoke(&put).expect("an answer").status(), 200);
    assert_eq!(world.seen.attempts_of(&id).len(), 3);
}

/// Who says nothing, half a message or only what can't be used is let go of in time, and the others go on: with
/// more connections than there is room for, the one that has done nothing for the longest goes first.
#[test]
fn clients_that_take_up_room() {
    let world = World::new(2, 0, Some(1.0));
    let kept = world.client();
    let invoke = || {
        exchange(&kept, &request_text("put", "wide", &world.script(&[]), 3000)).expect("an answer").status()
    };
    assert_eq!(invoke(), 200);
    let started = Instant::now();
    let (silent, half, hasty) = (world.client(), world.client(), world.client());
    (&half).write_all(b"POST /put/a HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf").expect("written");
    (&hasty).write_all("GET /nothing HTTP/1.1\r\n\r\n".repeat(100).as_bytes()).expect("written");
    let mut said = String::new();
    let _ = (&hasty).read_to_string(&mut said);
    assert_eq!(said.matches("HTTP/1.1 404").count(), 16);
    let end = loop {
        match (&silent).read(&mut [0]) {
            // A machine that stands still interrupts a read that has a time limit.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            end => break end.expect("an end"),
        }
    };
    assert_eq!(end, 0);
    assert_eq!(HttpMessage::read(&mut BufReader::new(&half)).expect("an answer").status(), 408);
    assert!(started.elapsed() < Duration::from_millis(3_000), "{:?}", started.elapsed());
    // Of 256 descriptors 145 are for clients.
    let crowd: Vec<_> = (0..300).map(|_| world.client()).collect();
    let again =
        || world.invoke(&request_text("put", "wide", &world.script(&[]), 3000)).expect("an answer").status();
    assert_eq!(again(), 200);
    assert_eq!(crowd.len(), 300);
}

/// One that asked and stays goes before one that has just come and says something in a while.
#[test]
fn the_longest_idle_makes_room() {
    let world = World::new(2, 0, Some(1.0));
    let ask = |client: &std::net::TcpStream| {
        exchange(client, &request_text("put", "wide", &world.script(&[]), 3000)).expect("an answer").status()
    };
    let crowd = |n| (0..n).map(|_| world.client()).inspect(|c| assert_eq!(ask(c), 200)).collect::<Vec<_>>();
    // Of 256 descriptors 145 are for clients.
    let first = crowd(130);
    let new = world.client();
    let more = crowd(100);
    assert_eq!((ask(&new), first.len(), more.len()), (200, 130, 100));
}

/// Bodies pass unchanged both ways, up to the largest, also in chunks, and two messages in one piece.
#[test]
fn bodies_and_pieces() {
    let world = World::new(2, 0, Some(1.0));
    for (size, in_chunks) in [(0, false), (1, true), (5_000, false), (65_536, false), (65_536, true)] {
        let id = world.script(&[]);
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
        let client = world.client();
        assert_eq!(exchange(&client, &sent).expect("an answer").status(), 200, "{size}, {in_chunks}");
        let seen = world.seen.attempts_of(&id);
        assert_eq!((seen.len(), seen[0].1.body == body.as_bytes()), (1, true), "{size}, {in_chunks}");
    }
    let (one, two) = (world.script(&[WorkerAction::SucceedAfterMs(50)]), world.script(&[]));
    let client = world.client();
    let both = request_text("put", "wide", &one, 3000) + &request_text("get", "wide", &two, 3000);
    (&client).write_all(both.as_bytes()).expect("written");
    let mut reader = BufReader::new(&client);
    for id in [one, two] {
        let answer = HttpMessage::read(&mut reader).expect("an answer");
        assert_eq!(answer.body, format!("answer to {id}").into_bytes());
    }
}

/// Connections to workers are used again, closed before the worker's idle time, and replaced where they broke.
#[test]
fn connections_to_workers() {
    let world = World::new(1, 0, Some(1.0));
    let client = world.client();
    let invoke = |does: &[WorkerAction]| {
        let id = world.script(does);
        let answer = exchange(&client, &request_text("put", "wide", &id, 3000)).expect("an answer");
        assert_eq!((answer.status(), world.seen.attempts_of(&id).len()), (200, 1));
    };
    (0..20).for_each(|_| invoke(&[]));
    assert_eq!(world.seen.connections.load(Ordering::SeqCst), 1);
    // Closed by the worker while it was idle: noticed before the next delivery.
    invoke(&[WorkerAction::SucceedAndClose]);
    thread::sleep(Duration::from_millis(50));
    invoke(&[]);
    assert_eq!(world.seen.connections.load(Ordering::SeqCst), 2);
    // The settings' idle time is 1.5 s.
    let started = Instant::now();
    world
        .until("the idle connection is closed", || world.seen.connections_closed.load(Ordering::SeqCst) == 2);
    let took = started.elapsed();
    assert!(took > Duration::from_millis(700) && took < Duration::from_millis(1_500), "{took:?}");
}

/// Whatever ends the wait closes the worker's connection at once.
#[test]
fn giving_up_closes_the_connection() {
    for client_leaves in [true, false] {
        let world = World::new(1, 0, Some(1.0));
        let id = world.script(&[WorkerAction::Hang]);
        let client = world.client();
        (&client).write_all(request_text("put", "wide", &id, 600).as_bytes()).expect("written");
        world.until("the delivery has come", || world.seen.attempts_of(&id).len() == 1);
        assert_eq!(world.seen.connections_closed.load(Ordering::SeqCst), 0);
        if client_leaves {
            drop(client);
        } else {
            let answer = HttpMessage::read(&mut BufReader::new(&client)).expect("an answer");
            assert_eq!(answer.status(), 502);
        }
        world.until("the connection is closed", || world.seen.connections_closed.load(Ordering::SeqCst) == 1);
        assert_eq!(world.seen.attempts_of(&id).len(), 1);
    }
}

/// The bucket throttles at once, with the time to come back; a total past the allowance does so too; a counter
/// that says nothing delays nothing.
#[test]
fn quotas_and_the_counter() {
    // What the counter says to all adds, and whether a customer with tokens left goes on two seconds later.
    for (total, goes_on) in [(Some(1.0), true), (Some(1000.0), false), (None, true)] {
        let world = World::new(2, 0, total);
        let client = world.client();
        let invoke = |operation| {
            let started = Instant::now();
            let id = world.script(&[]);
            let answer = exchange(&client, &request_text(operation, "narrow", &id, 3000)).expect("an answer");
            assert!(started.elapsed() < Duration::from_millis(500), "{total:?}: {:?}", started.elapsed());
            (
                answer.status(),
                answer.header("retry-after").parse::<f64>().unwrap_or(0.0),
                world.seen.attempts_of(&id).len(),
            )
        };
        assert_eq!(invoke("get"), (200, 0.0, 1));
        thread::sleep(Duration::from_millis(2_000));
        let (status, wait, attempts) = invoke("put");
        assert_eq!((status, attempts), if goes_on { (200, 1) } else { (429, 0) }, "{total:?}");
        assert_eq!(wait > 0.0, !goes_on);
        let calls = world.counter.request_lines.lock().expect("not poisoned").clone();
        let first = calls.first().expect("a call");
        assert!(first.starts_with("POST /counters/") && first.contains("?by=1&expire_ms="), "{first}");
        // A flood empties the bucket, and is told when to come back.
        (0..5).for_each(|_| _ = invoke("get"));
        let last = invoke("get");
        assert!(last.0 == 429 && last.1 > 0.0 && last.1 <= 1.0, "{last:?}");
    }
}

/// A counter's answer that holds no total ends its connection at once, and the calls after it go on elsewhere.
#[test]
fn totals_that_cannot_be_read() {
    let cases = ["Content-Length: 2\r\n\r\n0x", "Content-Length: 90\r\n\r\n", "no header\r\n\r\n"];
    for case in cases {
        let world = World::new(2, 0, Some(1.0));
        let bad = support::start_counter_with_response(Some(format!("HTTP/1.1 200 OK\r\n{case}")));
        world.reload(&gatekeeper_config(world.addr, "{}", bad.addr, world.discovery.addr));
        let calls = || bad.request_lines.lock().expect("not poisoned").len();
        for n in 1..3 {
            let id = world.script(&[]);
            assert_eq!(
                world.invoke(&request_text("put", "wide", &id, 3000)).expect("an answer").status(),
                200
            );
            world.until("it calls", || calls() >= n);
            thread::sleep(Duration::from_millis(200));
            assert_eq!((calls(), bad.connections_closed.load(Ordering::SeqCst)), (n, n as u32), "{case:?}");
        }
    }
}

/// Drains and newcomers are followed; a watch that falls silent is opened anew, from what was heard last.
#[test]
fn the_list() {
    let world = World::new(2, 0, Some(1.0));
    // Three at a time: with one after another, each would go where a connection is at hand.
    let went_to = || {
        let ids: Vec<String> = (0..18).map(|_| world.script(&[WorkerAction::SucceedAfterMs(100)])).collect();
        for three in ids.chunks(3) {
            thread::scope(|s| {
                for id in three {
                    s.spawn(|| {
                        let answer = world.invoke(&request_text("put", "wide", id, 3000)).expect("an answer");
                        assert_eq!(answer.status(), 200);
                    });
                }
            });
        }
        let mut to: Vec<usize> =
            ids.iter().flat_map(|id| world.seen.attempts_of(id)).map(|(n, _)| n).collect();
        to.sort_unstable();
        to.dedup();
        to
    };
    world.until("it watches", || !world.discovery.request_lines.lock().expect("not poisoned").is_empty());
    assert_eq!(went_to(), [0, 1]);
    let news = |revision, line: String| {
        let news = format!(r#"{{"revision":{revision},"complete":false,"members":[{line}],"more":1}}"#);
        world.discovery.send_to_watchers(&news);
        thread::sleep(Duration::from_millis(100));
    };
    news(8, worker_entry(0, world.workers[0], "DRAINING"));
    assert_eq!(went_to(), [1]);
    news(9, worker_entry(0, world.workers[0], "SERVING"));
    assert_eq!(went_to(), [0, 1]);
    news(10, r#"{"id":"s-1","phase":"DELETED"}"#.to_string());
    assert_eq!(went_to(), [0]);
    world.discovery.send_to_watchers("");
    // No line for four seconds.
    let asked = || world.discovery.request_lines.lock().expect("not poisoned").clone();
    world.until("it watches anew", || asked().len() == 2);
    assert!(
        asked()[0].contains("watch=1&from=7 ") && asked()[1].contains("watch=1&from=10 "),
        "{:?}",
        asked()
    );
    assert_eq!(went_to(), [0]);
}

/// SIGHUP: discovery and the counter at their new addresses take over from what was heard and counted last, the
/// old ones are let go, and a file that can't be used changes nothing.
#[test]
fn new_configurations() {
    let world = World::new(2, 0, Some(1.0));
    let invoke = || {
        let id = world.script(&[]);
        let answer = world.invoke(&request_text("put", "wide", &id, 3000)).expect("an answer");
        (answer.status(), world.seen.attempts_of(&id).first().map(|(n, _)| *n))
    };
    let asked = |of: &support::Discovery| of.request_lines.lock().expect("not poisoned").clone();
    let calls = |of: &support::Counter| of.request_lines.lock().expect("not poisoned").len();
    let news = |revision, n: usize, phase| {
        let line = worker_entry(n, world.workers[n], phase);
        format!(r#"{{"revision":{revision},"complete":false,"members":[{line}]}}"#)
    };
    world.until("it watches", || !asked(&world.discovery).is_empty());
    world.discovery.send_to_watchers(&news(8, 0, "DRAINING"));
    assert_eq!(invoke().0, 200);
    world.until("it counts", || calls(&world.counter) > 0);
    let (new, total) = (start_discovery(), start_counter(Some(1e6)));
    let known = r#"{"revision":1,"complete":true,"members":[]}"#;
    world.reload(&gatekeeper_config(world.addr, known, total.addr, new.addr));
    world.until("it watches anew", || asked(&new).len() == 1);
    assert!(asked(&new)[0].contains("watch=1&from=8 "), "{:?}", asked(&new));
    // The old watch is late, the new one is not.
    world.discovery.send_to_watchers(&news(7, 0, "SERVING"));
    new.send_to_watchers(&news(9, 1, "SERVING"));
    thread::sleep(Duration::from_millis(100));
    (0..8).for_each(|_| assert_eq!(invoke(), (200, Some(1))));
    let old_calls = calls(&world.counter);
    world.until("it counts at the new address", || calls(&total) > 0);
    assert_eq!(calls(&world.counter), old_calls);
    // What the new counter says holds.
    thread::sleep(Duration::from_millis(100));
    assert_eq!(invoke(), (429, None));
    for unusable in [
        "",
        "{\"name\":",
        &gatekeeper_config(world.addr, known, total.addr, new.addr).replace("8c1f", "none"),
    ] {
        world.reload(unusable);
        thread::sleep(Duration::from_millis(50));
        assert_eq!(invoke(), (429, None));
    }
    assert_eq!((asked(&new).len(), asked(&world.discovery).len()), (1, 1));
}

/// SIGTERM: serves on for a grace, then takes no more, answers all it has, and ends well in time.
#[test]
fn the_end() {
    // How long the worker takes, what the client gets, the integration timeout, and when the kill may come.
    let cases = [(1_500, 200, 4_000, 3_700), (20_000, 502, 4_000, 3_700), (20_000, 502, 1_000, 1_700)];
    for (takes, wanted, timeout, killed) in cases {
        let mut world = World::with_timeout(2, 0, Some(1.0), timeout);
        let slow = world.script(&[WorkerAction::SucceedAfterMs(takes)]);
        let (waiting, idle) = (world.client(), world.client());
        (&waiting).write_all(request_text("put", "wide", &slow, 20_000).as_bytes()).expect("written");
        world.until("the delivery has come", || world.seen.attempts_of(&slow).len() == 1);
        world.signal("TERM");
        let started = Instant::now();
        thread::sleep(Duration::from_millis(100));
        let id = world.script(&[]);
        assert_eq!(world.invoke(&request_text("put", "wide", &id, 3000)).expect("an answer").status(), 200);
        assert_eq!((&idle).read(&mut [0]).expect("an end"), 0);
        assert!(started.elapsed() > Duration::from_millis(400), "closed before the grace was over");
        let refused =
            std::net::TcpStream::connect(world.addr).map(|s| exchange(&s, "GET /up HTTP/1.1\r\n\r\n"));
        assert!(matches!(refused, Err(_) | Ok(None)), "{refused:?}");
        let answer = HttpMessage::read(&mut BufReader::new(&waiting)).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (wanted, "close"));
        drop((waiting, idle));
        let status = world.ended(Duration::from_millis(killed).saturating_sub(started.elapsed()));
        assert!(status.is_some_and(|s| s.success()), "{status:?}");
    }
}

/// A configuration that can't be used: one line that says why, and no success.
#[test]
fn bad_configurations() {
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
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{wanted}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(said.starts_with(&format!("lynxstair-gatekeeper: {wanted}")), "{wanted}: {said}");
    }
}
