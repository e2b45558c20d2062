//! A worker leaves, its DELETE is acknowledged, and all controllers and one of two proxies are killed at once and
//! come back.

mod harness;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use harness::*;

const DRAIN_S: f64 = 2.5;
const CONTACT_S: f64 = 5.0;
/// Time for which the worker serves on after the acknowledgement of its DELETE.
const SERVES_ON_MS: u64 = 12_000;

/// Time that a worker takes for a request, as `yenileme` of the site.
const WORK_MS: u64 = 78;

fn work(worker: &Worker, message: &Message, out: &mut std::net::TcpStream) -> bool {
    thread::sleep(ms(WORK_MS));
    answer(worker, message, out)
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/1".to_string());
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut system = System::new(&record, 2);
    system.start_all();
    system.await_leader();
    if system.order("PUT /config", &configuration(1, 0, 200)) != 200 {
        could_not_run("first configuration refused");
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let workers: Vec<Worker> =
        (1..=4).map(|n| Worker::start(&system, n, "shelf", &runs, Arc::new(work))).collect();
    system.await_ready();
    // Calm time: workers, proxies and the membership of proxies are known and stored.
    thread::sleep(ms(6000));
    let on = Arc::new(AtomicBool::new(true));
    let tries = traffic(&record, system.fronts(), "GET", "/safe/box", 100, &on);
    thread::sleep(ms(3000));
    let leaver = &workers[0];
    let acked = leaver.deregister(&system.control());
    let mut in_touch_from = 0.0;
    if has_trouble() {
        system.controllers.iter_mut().chain(&mut system.proxies[..1]).for_each(Node::kill);
        record.say("all controllers and proxy1 killed (SIGKILL), disks kept");
        thread::sleep(ms(300));
        let seeds = system.control();
        for node in system.controllers.iter_mut().chain(&mut system.proxies[..1]) {
            node.start(&record, &seeds, false);
        }
        in_touch_from = record.now() + CONTACT_S;
        record.say("the killed processes started again");
    }
    let end = acked + SERVES_ON_MS as f64 / 1000.0;
    while record.now() < end {
        thread::sleep(ms(20));
    }
    leaver.serves.store(false, Ordering::Relaxed);
    on.store(false, Ordering::Relaxed);
    thread::sleep(ms(1300));
    for node in system.controllers.iter_mut().chain(&mut system.proxies) {
        if let Some(status) = node.ended() {
            record.say(format!("{} has ended by itself: {status}", node.name));
        }
    }
    let tries = tries.lock().unwrap().clone();
    record.say(format!("answers to clients by status: {}", summary(&tries)));
    let runs = runs.lock().unwrap().clone();
    let late = |r: &&Run| r.worker == leaver.id && r.at > acked + DRAIN_S;
    let all_late: Vec<&Run> = runs.iter().filter(late).collect();
    let taken_in_touch =
        |r: &&&Run| tries.iter().find(|t| t.id == r.id).is_some_and(|t| t.sent > in_touch_from);
    let broken: Vec<&&Run> = all_late.iter().filter(taken_in_touch).collect();
    record.say(format!(
        "{} ran {} requests later than drain-s after the acknowledgement, {} of them taken by proxies in touch",
        leaver.id,
        all_late.len(),
        broken.len()
    ));
    if let (Some(first), Some(last)) = (broken.first(), broken.last()) {
        record.say(format!("of those the first after {:.2} s, the last after {:.2} s", first.at - acked, last.at - acked));
    }
    let is_broken = !broken.is_empty();
    record.say(if is_broken { "DRAIN broken" } else { "DRAIN held" });
    drop(system);
    std::process::exit(i32::from(is_broken));
}
