//! An operator makes some hundred changes; each replaces a route by a new one with a latency target of its own.
//! With `TROUBLE=0` there are as many changes, but all new routes have the same latency target.

mod harness;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

use harness::*;

/// Changes of the configuration; the pages: "a day may be long and hold hundreds of changes".
const CHANGES: u32 = 220;
/// Pause between two changes; `config_storm` of the sites has 0.08 s.
const CHANGE_GAP_MS: u64 = 80;
const CONVERGE_MS: u64 = 2500;
const PROBES: usize = 60;

/// Sends requests one after another and returns how many were answered with 200.
fn probe(record: &Record, system: &System, path: &str) -> usize {
    let mut served = 0;
    for _ in 0..PROBES {
        let one = client_try(record, system.fronts()[0], "GET", path, b"", 1200);
        served += usize::from(one.status == 200 && one.whole);
        thread::sleep(ms(30));
    }
    record.say(format!("{path}: {served} of {PROBES} requests served"));
    served
}

fn change(system: &System, n: u32) {
    let target = if has_trouble() { 0.3 + f64::from(n) * 0.002 } else { 0.5 };
    let removed = if n > 1 { format!("\"r-offer-{}\"", n - 1) } else { String::new() };
    let body = format!(
        "{{\"generation\":\"{:08x}\",\"base-version\":\"{:08x}\",\"upsert\":{{\"routes\":{{\"columns\":[\"name\",\
         \"host\",\"path-prefix\",\"route-kind\",\"timeout-s\",\"target-s\",\"priority\",\"max-attempts\",\"public\",\
         \"service\"],\"rows\":[[\"r-offer-{n}\",\"shop.example\",\"/offer-{n}/\",\"safe\",3,{target:.3},1,2,false,\
         \"shelf\"]]}}}},\"remove\":{{\"routes\":[{removed}]}}}}",
        n + 1,
        n
    );
    let status = system.order("PATCH /config", &body);
    if status != 200 {
        could_not_run(&format!("change {n} answered {status}"));
    }
    thread::sleep(ms(CHANGE_GAP_MS));
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut system = System::new(&record, 1);
    system.start_all();
    system.await_leader();
    if system.order("PUT /config", &configuration(1, 0, 400)) != 200 {
        could_not_run("first configuration refused");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let _workers: Vec<Worker> =
        (1..=3).map(|n| Worker::start(&system, n, "shelf", &runs, Arc::new(answer))).collect();
    system.await_ready();
    thread::sleep(ms(5000));
    for n in 1..=20 {
        change(&system, n);
    }
    record.say("20 changes acknowledged");
    thread::sleep(ms(CONVERGE_MS + 500));
    probe(&record, &system, "/safe/box");
    probe(&record, &system, "/offer-20/box");
    for n in 21..=CHANGES {
        change(&system, n);
    }
    record.say(format!("{CHANGES} changes acknowledged"));
    thread::sleep(ms(CONVERGE_MS + 500));
    let first = probe(&record, &system, "/safe/box");
    let added = probe(&record, &system, &format!("/offer-{CHANGES}/box"));
    for node in system.controllers.iter_mut().chain(&mut system.proxies) {
        if let Some(status) = node.ended() {
            record.say(format!("{} has ended by itself: {status}", node.name));
        }
    }
    if first < PROBES / 2 {
        could_not_run("the first route is not served");
    }
    let is_broken = added * 4 < first;
    record.say(if is_broken { "CONFIG broken" } else { "CONFIG held" });
    drop(system);
    std::process::exit(i32::from(is_broken));
}
