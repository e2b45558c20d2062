//! One change brings 250 routes of a service, each with a latency target of its own. With `TROUBLE=0` the same change
//! brings 250 routes with one latency target.

mod harness;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

use harness::*;

/// Routes that the change adds; `big_config` of the site has a `count` of 350.
const ADDED: usize = 250;
const CONVERGE_MS: u64 = 2500;
const PROBES: usize = 60;

/// Sends requests one after another and returns how many were answered with 200.
fn probe(record: &Record, system: &System, paths: impl Fn(usize) -> String) -> usize {
    let mut served = 0;
    for n in 0..PROBES {
        let one = client_try(record, system.fronts()[0], "GET", &paths(n), b"", 1200);
        served += usize::from(one.status == 200 && one.whole);
        thread::sleep(ms(30));
    }
    served
}

/// The path of the added route with this number.
fn added_path(n: usize) -> String {
    format!("/offer-{n}/box")
}

fn change() -> String {
    let target = |n: usize| if has_trouble() { 0.3 + n as f64 * 0.01 } else { 0.5 };
    let row = |n| {
        let target = target(n);
        format!("[\"r-offer-{n}\",\"shop.example\",\"/offer-{n}/\",\"safe\",3,{target:.2},1,2,false,\"shelf\"]")
    };
    let rows: Vec<String> = (1..=ADDED).map(row).collect();
    format!(
        "{{\"generation\":\"00000002\",\"base-version\":\"00000001\",\"upsert\":{{\"routes\":{{\"columns\":[\"name\",\
         \"host\",\"path-prefix\",\"route-kind\",\"timeout-s\",\"target-s\",\"priority\",\"max-attempts\",\"public\",\
         \"service\"],\"rows\":[{}]}}}}}}",
        rows.join(",")
    )
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
    let status = system.order("PATCH /config", &change());
    record.say(format!("change with {ADDED} routes: {status}"));
    if status != 200 {
        could_not_run("the change was refused");
    }
    thread::sleep(ms(CONVERGE_MS + 500));
    let first = probe(&record, &system, |_| "/safe/box".to_string());
    record.say(format!("first route: {first} of {PROBES} requests served"));
    let added = probe(&record, &system, |n| added_path(1 + n * ADDED / PROBES));
    record.say(format!("added routes: {added} of {PROBES} requests served"));
    thread::sleep(ms(15_000));
    let later = probe(&record, &system, |n| added_path(1 + n * ADDED / PROBES));
    record.say(format!("added routes, 15 s later: {later} of {PROBES} requests served"));
    for node in system.controllers.iter_mut().chain(&mut system.proxies) {
        if let Some(status) = node.ended() {
            record.say(format!("{} has ended by itself: {status}", node.name));
        }
    }
    if first < PROBES / 2 {
        could_not_run("the first route is not served");
    }
    let is_broken = (added + later) * 4 < 2 * first;
    record.say(if is_broken { "CONFIG broken" } else { "CONFIG held" });
    drop(system);
    std::process::exit(i32::from(is_broken));
}
