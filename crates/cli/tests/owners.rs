//! Owners of duties as an operator has them, and a sink with faults of its own, against processes.

mod support;

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use lynxstair_export::BatchReply;
use lynxstair_fakes::{Load, LoadPlan, Sink, exchange, request_text};
use serde_json::Value;
use support::{Hand, run, until};

fn owner(hand: &Hand, by: usize) -> Option<(String, u64)> {
    let (code, out, _) = run(&["fleet", "owners", &hand.member(by).to_string(), "--json"]);
    let shown: Value = serde_json::from_str(&out).ok().filter(|_| code == 0)?;
    let duty = &shown["duties"][0];
    Some((duty["owner"].as_str()?.to_string(), duty["epoch"].as_u64()?))
}

/// Who owns is told as a majority has it; hand-over, depose and a voter for another by command; without a
/// majority it is unknown.
#[test]
fn by_command() {
    let mut hand = Hand::start_with(4, true, |_| String::new(), None);
    until("somebody owns", || owner(&hand, 3).is_some());
    let (first, epoch) = owner(&hand, 3).expect("somebody owns");
    let to = if first == "g4" { "g1" } else { "g4" };
    let addr = hand.member(1).to_string();
    let (code, _, err) = run(&["fleet", "hand-over", &addr, "export", to, "--id", "7"]);
    assert_eq!(code, 0, "{err}");
    until("it is handed over", || owner(&hand, 0) == Some((to.to_string(), epoch + 1)));
    // Asked again by the same id, by way of another member: nothing happens twice.
    let (code, _, err) = run(&["fleet", "hand-over", &hand.member(2).to_string(), "export", to, "--id", "7"]);
    assert_eq!(code, 0, "{err}");
    let (code, _, err) = run(&["fleet", "depose", &addr, "export"]);
    assert_eq!(code, 0, "{err}");
    until("another owns", || owner(&hand, 0).is_some_and(|(who, e)| who != to && e == epoch + 2));
    let (code, _, err) = run(&["fleet", "depose", &addr, "rule"]);
    assert_eq!(code, 2);
    assert!(err.contains("no such duty"), "{err}");

    let (code, _, err) = run(&["fleet", "voters", "replace", &addr, "g3", "g4"]);
    assert_eq!(code, 0, "{err}");
    until("the new one votes, and one of them leads", || {
        let (code, out, _) = run(&["fleet", "voters", "show", &hand.member(0).to_string()]);
        let three = out.matches("Voting in term").count() == 3 && out.contains("leads");
        code == 0 && three && out.contains(" g4 ") && !out.contains(" g3 ")
    });
    // The old one is not needed any more, and the new one is.
    hand.kill(2);
    until("somebody owns without it", || owner(&hand, 0).is_some());
    hand.kill(3);
    hand.kill(1);
    let (code, out, _) = run(&["fleet", "owners", &hand.member(0).to_string()]);
    assert_eq!(code, 1, "{out}");
    assert!(out.contains("unknown: no majority of the voters was reached"), "{out}");
    assert!(out.contains(" s ago"), "what it heard last, and when: {out}");
    hand.start_one(3);
    until("a majority is back", || owner(&hand, 0).is_some());
}

/// Without voters nothing of it is there.
#[test]
fn no_voters_no_owners() {
    let hand = Hand::start(1);
    until("it is asked", || hand.status(0).0 == 0);
    let (code, _, err) = run(&["fleet", "owners", &hand.member(0).to_string()]);
    assert_eq!(code, 2);
    assert!(err.contains("the fleet file names no voters"), "{err}");
    assert!(!hand.folder.path().join("g1/voter").exists() && !hand.folder.path().join("g1/uses").exists());
}

/// The sink loses answers, is away, and is set back to an earlier file: what clients were told arrives once, and
/// what the sink forgot is told of, not papered over.
#[test]
fn a_sink_with_faults() {
    let folder = tempfile::tempdir().expect("a folder");
    let (now, copy) = (folder.path().join("sink"), folder.path().join("copy"));
    let sink = Sink::open(&now).expect("opens");
    let mut load = Load::new(LoadPlan { requests_per_second: 150.0, workers: 2 });
    let more = |_: &str| {
        format!("log = \"json\"\nhistory = \"history.jsonl\"\n[export]\nsink = \"{}\"\n", sink.addr)
    };
    let mut hand = Hand::start_with(3, true, more, Some(&load));
    until("somebody owns", || owner(&hand, 0).is_some());
    let serving: Vec<_> = (0..3).map(|n| (format!("g{}", n + 1), hand.serving(n).into())).collect();
    let taken = |sink: &Sink| -> u64 {
        let first =
            sink.received().into_iter().filter(|l| l.reply == BatchReply::Accepted { already_stored: false });
        first.map(|l| l.batch.milli_units()).sum()
    };
    load.start_clients(&serving);
    until("use arrives", || taken(&sink) > 20_000);
    sink.responses_to_lose.store(3, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(700));
    sink.is_down.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(700));
    sink.is_down.store(false, Ordering::SeqCst);
    // A copy, to be set back to: a file of an earlier moment.
    std::fs::create_dir_all(&copy).expect("made");
    std::fs::copy(now.join("ledger"), copy.join("ledger")).expect("copied");
    thread::sleep(Duration::from_millis(700));
    load.stop_clients();
    let told = load.traffic.outcomes.lock().expect("whole").iter().filter(|a| a.status == Some(200)).count();
    until("all of it is there", || taken(&sink) >= told as u64 * 1_000);
    thread::sleep(Duration::from_millis(400));
    assert_eq!(taken(&sink), told as u64 * 1_000, "once and only once");
    let again =
        sink.received().iter().filter(|l| l.reply == BatchReply::Accepted { already_stored: true }).count();
    assert!(again > 0, "an answer that was lost made no batch come again");

    // One that is gone is named, and one whose folder was emptied for good.
    let unknown =
        |sink: &Sink| sink.incomplete_streams().into_iter().map(|m| m.stream.gatekeeper).collect::<Vec<_>>();
    assert_eq!(unknown(&sink), Vec::<String>::new());
    hand.kill(2);
    until("the sink names it", || unknown(&sink) == ["g3"]);
    hand.start_one(2);
    until("it is known again", || unknown(&sink).is_empty());
    hand.kill(2);
    std::fs::remove_dir_all(hand.folder.path().join("g3/uses")).expect("emptied");
    hand.start_one(2);
    until("its former folder is named", || unknown(&sink) == ["g3"]);
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(unknown(&sink), ["g3"], "for good");

    // Set back, it lacks what the gatekeepers let go of since.
    sink.restore(&copy).expect("opens");
    let history = || std::fs::read_to_string(hand.folder.path().join("history.jsonl")).unwrap_or_default();
    let mut id = 0xf000;
    until("what is missing is told", || {
        for (_, addr) in &serving {
            id += 1;
            let said = request_text("get", "wide", &format!("{id:016x}"), 800);
            let stream = TcpStream::connect(addr).expect("serves");
            assert_eq!(exchange(&stream, &said).map(|m| m.status()), Some(200));
        }
        history().contains(r#""event":"gap""#)
    });
    let behind = sink.received();
    let behind = behind.iter().skip_while(|l| !matches!(l.reply, BatchReply::Gap { .. }));
    let papered_over =
        behind.filter(|l| matches!(l.reply, BatchReply::Accepted { already_stored: false })).count();
    let streams = 3;
    assert!(papered_over < streams, "a batch was taken behind the ones that are missing");
}
