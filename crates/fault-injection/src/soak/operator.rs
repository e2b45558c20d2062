//! Operators of a soak. They change the configuration, each change based on the newest generation that they
//! know, and repeat a call unchanged until its outcome is clear or a time-out expires.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::plan::SoakShape;
use super::quota::{LIMITED_KEY, QUOTA_BURST, QUOTA_RATE, UNLIMITED_KEY};
use super::system::Net;
use super::workers::{WARMUP_RATE, send_request};

/// Number of operators that share the queue of changes. With two, some changes have the same base.
const OPERATOR_COUNT: usize = 2;
/// Time for which a call is repeated.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Idle time-outs that successive changes set, in seconds.
const IDLE_TIMEOUTS_S: [u64; 4] = [30, 2, 15, 4];
/// Route time-outs that successive changes set, in seconds.
const ROUTE_TIMEOUTS_S: [u64; 3] = [20, 6, 10];
/// Number of routes that each change replaces. Each has a latency target that no other route has had.
const REPLACED_ROUTES: u64 = 12;
/// Latency target of the first replaced route, and the difference to the next one, in milliseconds.
const FIRST_TARGET_MS: u64 = 500;
const TARGET_STEP_MS: u64 = 3;

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeOutcome {
    /// The change was acknowledged.
    Accepted,
    /// Another change was accepted first.
    Conflict,
    /// The change was rejected with this status.
    Rejected(u16),
    /// No clear answer before the time-out.
    Unknown,
}

/// Change of the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub generation: u64,
    pub base: u64,
    pub outcome: ChangeOutcome,
}

/// Running operators.
pub(super) struct Operators {
    queue: Sender<()>,
    threads: Vec<JoinHandle<()>>,
    shared: Arc<Shared>,
}

struct Shared {
    net: Net,
    next_generation: AtomicU64,
    /// Newest generation that was acknowledged or read.
    newest_generation: AtomicU64,
    changes: Mutex<Vec<Change>>,
    is_over: AtomicBool,
}

impl Operators {
    /// Starts the operators with an empty queue.
    pub fn start(net: Net) -> Operators {
        let shared = Arc::new(Shared {
            net,
            next_generation: AtomicU64::new(1),
            newest_generation: AtomicU64::new(0),
            changes: Mutex::default(),
            is_over: AtomicBool::new(false),
        });
        let (queue, receiver) = channel();
        let receiver = Arc::new(Mutex::new(receiver));
        let start_one = |_| {
            let (shared, receiver) = (shared.clone(), receiver.clone());
            thread::spawn(move || shared.run(&receiver))
        };
        let threads = (0..OPERATOR_COUNT).map(start_one).collect();
        Operators { queue, threads, shared }
    }

    /// Queues a change.
    pub fn change(&self) {
        let _ = self.queue.send(());
    }

    /// Makes a change and waits for its outcome. Returns `true` if it was accepted.
    pub fn change_now(&self) -> bool {
        self.shared.make_change() == ChangeOutcome::Accepted
    }

    /// Stops the operators and drops queued changes. Returns all changes made, and the generation read
    /// afterwards.
    pub fn finish(self) -> (Vec<Change>, Option<u64>) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        drop(self.queue);
        for thread in self.threads {
            let _ = thread.join();
        }
        let final_generation = self.shared.read_generation();
        let changes = self.shared.changes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        (changes, final_generation)
    }
}

impl Shared {
    fn run(&self, queue: &Mutex<Receiver<()>>) {
        loop {
            let next = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
            if next.is_err() || self.is_over.load(Ordering::Relaxed) {
                return;
            }
            if self.make_change() == ChangeOutcome::Conflict
                && let Some(newest) = self.read_generation()
            {
                self.newest_generation.fetch_max(newest, Ordering::Relaxed);
            }
        }
    }

    /// Calls the controllers in turn, following redirects, until one answers 2xx or 4xx, other than 408 and
    /// 429. Returns status and body, or `None` after the time-out.
    fn call_with_retries(&self, head: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let began = Instant::now();
        let mut n = self.next_generation.load(Ordering::Relaxed) as usize;
        while began.elapsed() < RETRY_TIMEOUT {
            n += 1;
            let mut answer = send_request(self.net.controller(n % SoakShape::CONTROLLERS), head, body);
            for _ in 0..2 {
                let Some(leader) = answer
                    .as_ref()
                    .filter(|a| a.status() == 307)
                    .and_then(|a| a.header("location").split('/').nth(2)?.parse().ok())
                else {
                    break;
                };
                answer = send_request(leader, head, body);
            }
            if let Some(answer) =
                answer.filter(|a| (200..300).contains(&a.status()) || (400..500).contains(&a.status()))
                && !matches!(answer.status(), 408 | 429)
            {
                return Some((answer.status(), answer.body));
            }
            thread::sleep(RETRY_DELAY);
        }
        None
    }

    fn make_change(&self) -> ChangeOutcome {
        let generation = self.next_generation.fetch_add(1, Ordering::Relaxed);
        let base = self.newest_generation.load(Ordering::Relaxed);
        let body = configuration(generation, base);
        let outcome = match self.call_with_retries("PUT /config", &body) {
            Some((200, _)) => ChangeOutcome::Accepted,
            Some((412, _)) => ChangeOutcome::Conflict,
            // The generation does not increase, because a change of another operator was accepted first.
            Some((_, _)) if self.newest_generation.load(Ordering::Relaxed) > generation => {
                ChangeOutcome::Conflict
            }
            Some((status, _)) => ChangeOutcome::Rejected(status),
            None => ChangeOutcome::Unknown,
        };
        if outcome == ChangeOutcome::Accepted {
            self.newest_generation.fetch_max(generation, Ordering::Relaxed);
        }
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push(Change {
            generation,
            base,
            outcome,
        });
        outcome
    }

    fn read_generation(&self) -> Option<u64> {
        let (_, body) = self.call_with_retries("GET /config", "").filter(|(status, _)| *status == 200)?;
        let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
        u64::from_str_radix(body["generation"].as_str()?, 16).ok()
    }
}

/// Returns a configuration with two fixed routes, time-outs that vary with the generation, and routes that are
/// specific to the generation.
fn configuration(generation: u64, base: u64) -> String {
    let idle = IDLE_TIMEOUTS_S[generation as usize % IDLE_TIMEOUTS_S.len()];
    let timeout = ROUTE_TIMEOUTS_S[generation as usize % ROUTE_TIMEOUTS_S.len()];
    let replaced: String = (0..REPLACED_ROUTES).map(|n| replaced_route(generation, n)).collect();
    format!(
        r#"{{"generation":"{generation:08x}","base-version":"{base:08x}","limits":{{"idle-timeout-s":{idle}}},
        "routes":{{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
        "rows":[["safe","soak","/safe/","safe",{timeout},1,"s",3],["unsafe","soak","/unsafe/","unsafe",{timeout},1,"s",3],
        ["only","soak","/only-{generation}/","safe",5,1,"s",2]{replaced}]}},
        "services":{{"columns":["name","max-conns","cold-s","cold-per-s"],"rows":[["s",2000,3,{WARMUP_RATE}]]}},
        "tenants":{{"columns":["name","api-keys","rate-per-s","burst"],
        "rows":[["limited",["{LIMITED_KEY}"],{QUOTA_RATE},{QUOTA_BURST}],["unlimited",["{UNLIMITED_KEY}"],0,0]]}}}}"#
    )
}

/// Returns the row of one of the routes that each change replaces. Clients send to the first one.
fn replaced_route(generation: u64, number: u64) -> String {
    let target_ms = FIRST_TARGET_MS + TARGET_STEP_MS * (generation * REPLACED_ROUTES + number);
    let target_s = target_ms as f64 / 1_000.0;
    let (name, prefix) = match number {
        0 => ("added".to_string(), "/added/".to_string()),
        n => (format!("added-{generation}-{n}"), format!("/added-{generation}-{n}/")),
    };
    format!(r#",["{name}","soak","{prefix}","safe",5,{target_s},"s",3]"#)
}
