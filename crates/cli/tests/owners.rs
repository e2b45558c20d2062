//! Commands for duties and voters, and export to a sink with faults, against gatekeeper processes.

mod support;

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use lynxstair_export::BatchReply;
use lynxstair_fakes::{Load, LoadPlan, Sink, exchange, request_text};
use serde_json::Value;
use support::{TestFleet, run, wait_until};

/// Returns owner and epoch of the first duty as confirmed by a majority; `None` if unknown or not owned.
fn owner(fleet: &TestFleet, queried: usize) -> Option<(String, u64)> {
    let (code, out, _) = run(&["fleet", "owners", &fleet.member_addr(queried).to_string(), "--json"]);
    let report: Value = serde_json::from_str(&out).ok().filter(|_| code == 0)?;
    let duty = &report["duties"][0];
    Some((duty["owner"].as_str()?.to_string(), duty["epoch"].as_u64()?))
}

/// A repeated command takes effect once; without a majority of the voters the owner is unknown.
#[test]
fn owner_and_voter_commands() {
    let mut fleet = TestFleet::start_with(4, true, |_| String::new(), None);
    wait_until("the duty has an owner", || owner(&fleet, 3).is_some());
    let (first, epoch) = owner(&fleet, 3).expect("the duty has an owner");
    let to = if first == "g4" { "g1" } else { "g4" };
    let addr = fleet.member_addr(1).to_string();
    let (code, _, err) = run(&["fleet", "hand-over", &addr, "export", to, "--id", "7"]);
    assert_eq!(code, 0, "{err}");
    wait_until("the duty is handed over", || owner(&fleet, 0) == Some((to.to_string(), epoch + 1)));
    // A retry with the same id through another member has no further effect.
    let (code, _, err) =
        run(&["fleet", "hand-over", &fleet.member_addr(2).to_string(), "export", to, "--id", "7"]);
    assert_eq!(code, 0, "{err}");
    let (code, _, err) = run(&["fleet", "depose", &addr, "export"]);
    assert_eq!(code, 0, "{err}");
    wait_until("another member owns the duty", || {
        owner(&fleet, 0).is_some_and(|(name, e)| name != to && e == epoch + 2)
    });
    let (code, _, err) = run(&["fleet", "depose", &addr, "rule"]);
    assert_eq!(code, 2);
    assert!(err.contains("no such duty"), "{err}");

    let (code, _, err) = run(&["fleet", "voters", "replace", &addr, "g3", "g4"]);
    assert_eq!(code, 0, "{err}");
    wait_until("the new voter votes and there is a leader", || {
        let (code, out, _) = run(&["fleet", "voters", "show", &fleet.member_addr(0).to_string()]);
        let three = out.matches("Voting in term").count() == 3 && out.contains("leads");
        code == 0 && three && out.contains(" g4 ") && !out.contains(" g3 ")
    });
    // The replaced voter is no longer needed for a majority; the new one is.
    fleet.kill(2);
    wait_until("the duty has an owner without the replaced voter", || owner(&fleet, 0).is_some());
    fleet.kill(3);
    fleet.kill(1);
    let (code, out, _) = run(&["fleet", "owners", &fleet.member_addr(0).to_string()]);
    assert_eq!(code, 1, "{out}");
    assert!(out.contains("unknown: no majority of the voters was reached"), "{out}");
    assert!(out.contains(" s ago"), "the last known owner and its age are missing: {out}");
    fleet.start_gatekeeper(3);
    wait_until("a majority is reached again", || owner(&fleet, 0).is_some());
}

/// Without voters the command fails, and no records of voters or usage are created.
#[test]
fn owners_require_voters() {
    let fleet = TestFleet::start(1);
    wait_until("the member answers", || fleet.status(0).0 == 0);
    let (code, _, err) = run(&["fleet", "owners", &fleet.member_addr(0).to_string()]);
    assert_eq!(code, 2);
    assert!(err.contains("the fleet file names no voters"), "{err}");
    assert!(!fleet.folder.path().join("g1/voter").exists() && !fleet.folder.path().join("g1/uses").exists());
}

/// The usage of each successful request arrives once although the sink loses responses and is down for a
/// time; batches that a restored sink lacks are reported as a gap.
#[test]
fn usage_arrives_once_at_a_faulty_sink() {
    let folder = tempfile::tempdir().expect("temporary directory");
    let (sink_dir, backup_dir) = (folder.path().join("sink"), folder.path().join("copy"));
    let sink = Sink::open(&sink_dir).expect("opens");
    let mut load = Load::new(LoadPlan { requests_per_second: 150.0, workers: 2 });
    let extra_settings = |_: &str| {
        format!("log = \"json\"\nhistory = \"history.jsonl\"\n[export]\nsink = \"{}\"\n", sink.addr)
    };
    let mut fleet = TestFleet::start_with(3, true, extra_settings, Some(&load));
    wait_until("the duty has an owner", || owner(&fleet, 0).is_some());
    let gatekeepers: Vec<_> = (0..3).map(|n| (format!("g{}", n + 1), fleet.serving_addr(n).into())).collect();
    let stored_milli_units = |sink: &Sink| -> u64 {
        let accepted =
            sink.received().into_iter().filter(|l| l.reply == BatchReply::Accepted { already_stored: false });
        accepted.map(|l| l.batch.milli_units()).sum()
    };
    load.start_clients(&gatekeepers);
    wait_until("usage arrives", || stored_milli_units(&sink) > 20_000);
    sink.responses_to_lose.store(3, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(700));
    sink.is_down.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(700));
    sink.is_down.store(false, Ordering::SeqCst);
    // Backup from which the sink is restored below.
    std::fs::create_dir_all(&backup_dir).expect("made");
    std::fs::copy(sink_dir.join("ledger"), backup_dir.join("ledger")).expect("copied");
    thread::sleep(Duration::from_millis(700));
    load.stop_clients();
    let succeeded = load
        .traffic
        .outcomes
        .lock()
        .expect("mutex poisoned")
        .iter()
        .filter(|a| a.status == Some(200))
        .count();
    wait_until("all usage is stored", || stored_milli_units(&sink) >= succeeded as u64 * 1_000);
    thread::sleep(Duration::from_millis(400));
    assert_eq!(stored_milli_units(&sink), succeeded as u64 * 1_000, "usage must be stored exactly once");
    let duplicates =
        sink.received().iter().filter(|l| l.reply == BatchReply::Accepted { already_stored: true }).count();
    assert!(duplicates > 0, "no batch was resent after a lost response");

    // A stream is incomplete while its gatekeeper is down, and for good once its records were deleted.
    let incomplete =
        |sink: &Sink| sink.incomplete_streams().into_iter().map(|m| m.stream.gatekeeper).collect::<Vec<_>>();
    assert_eq!(incomplete(&sink), Vec::<String>::new());
    fleet.kill(2);
    wait_until("the sink reports the stream as incomplete", || incomplete(&sink) == ["g3"]);
    fleet.start_gatekeeper(2);
    wait_until("the stream is complete again", || incomplete(&sink).is_empty());
    fleet.kill(2);
    std::fs::remove_dir_all(fleet.folder.path().join("g3/uses")).expect("emptied");
    fleet.start_gatekeeper(2);
    wait_until("the former stream is reported as incomplete", || incomplete(&sink) == ["g3"]);
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(incomplete(&sink), ["g3"], "the former stream must stay incomplete");

    // The restored sink lacks batches that the gatekeepers have deleted since the backup.
    sink.restore(&backup_dir).expect("opens");
    let history = || std::fs::read_to_string(fleet.folder.path().join("history.jsonl")).unwrap_or_default();
    let mut id = 0xf000;
    wait_until("the gap is reported", || {
        for (_, addr) in &gatekeepers {
            id += 1;
            let request = request_text("get", "wide", &format!("{id:016x}"), 800);
            let stream = TcpStream::connect(addr).expect("serves");
            assert_eq!(exchange(&stream, &request).map(|m| m.status()), Some(200));
        }
        history().contains(r#""event":"gap""#)
    });
    let received = sink.received();
    let after_gap = received.iter().skip_while(|l| !matches!(l.reply, BatchReply::Gap { .. }));
    let accepted_after_gap =
        after_gap.filter(|l| matches!(l.reply, BatchReply::Accepted { already_stored: false })).count();
    let stream_count = 3;
    assert!(accepted_after_gap < stream_count, "a batch was accepted after missing ones");
}
