//! The operator of a soak: changes the configuration, each change on top of the newest one it knows, and
//! repeats a call that got no clear answer as it was.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::plan::SoakShape;
use super::system::Net;
use super::workers::{COLD_RATE, call};

/// Two operators take turns as the queue has it, so that now and then two changes have one base.
const OPERATORS: usize = 2;
/// How long a call is repeated.
const REPEATED_FOR: Duration = Duration::from_secs(10);
/// The pause before it is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Idle time-outs that the changes go through, in seconds.
const IDLE_TIMEOUTS_S: [u64; 4] = [30, 2, 15, 4];
/// Time-outs of the routes that they go through, in seconds.
const ROUTE_TIMEOUTS_S: [u64; 3] = [20, 6, 10];

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeEnd {
    /// Acknowledged.
    Accepted,
    /// Another one was there first.
    Conflict,
    /// Refused, with this status.
    Refused(u16),
    /// No clear answer, however often it was sent.
    Unclear,
}

/// A change of the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub generation: u64,
    pub base: u64,
    pub end: ChangeEnd,
}

/// The operators while they work.
pub(super) struct Operators {
    queue: Sender<()>,
    threads: Vec<JoinHandle<()>>,
    shared: Arc<Shared>,
}

struct Shared {
    net: Net,
    next_generation: AtomicU64,
    /// The newest one that was acknowledged or read.
    current: AtomicU64,
    changes: Mutex<Vec<Change>>,
    is_over: AtomicBool,
}

impl Operators {
    /// Starts them, with nothing to do.
    pub fn start(net: Net) -> Operators {
        let shared = Arc::new(Shared {
            net,
            next_generation: AtomicU64::new(1),
            current: AtomicU64::new(0),
            changes: Mutex::default(),
            is_over: AtomicBool::new(false),
        });
        let (queue, receiver) = channel();
        let receiver = Arc::new(Mutex::new(receiver));
        let start_one = |_| {
            let (shared, receiver) = (shared.clone(), receiver.clone());
            thread::spawn(move || shared.work(&receiver))
        };
        let threads = (0..OPERATORS).map(start_one).collect();
        Operators { queue, threads, shared }
    }

    /// One more change is to be made.
    pub fn change(&self) {
        let _ = self.queue.send(());
    }

    /// Makes a change now; whether it was accepted.
    pub fn change_now(&self) -> bool {
        self.shared.make_change() == ChangeEnd::Accepted
    }

    /// Ends the operators, dropping what is still to do; all changes, and the generation that is read back.
    pub fn finish(self) -> (Vec<Change>, Option<u64>) {
        self.shared.is_over.store(true, Ordering::Relaxed);
        drop(self.queue);
        for thread in self.threads {
            let _ = thread.join();
        }
        let read_back = self.shared.read_generation();
        let changes = self.shared.changes.lock().unwrap_or_else(PoisonError::into_inner).clone();
        (changes, read_back)
    }
}

impl Shared {
    fn work(&self, queue: &Mutex<Receiver<()>>) {
        loop {
            let next = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
            if next.is_err() || self.is_over.load(Ordering::Relaxed) {
                return;
            }
            if self.make_change() == ChangeEnd::Conflict
                && let Some(newest) = self.read_generation()
            {
                self.current.fetch_max(newest, Ordering::Relaxed);
            }
        }
    }

    /// Calls one controller after the other, following redirects, until the answer is clear. A body, if there
    /// is one.
    fn call_until_clear(&self, head: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let began = Instant::now();
        let mut n = self.next_generation.load(Ordering::Relaxed) as usize;
        while began.elapsed() < REPEATED_FOR {
            n += 1;
            let mut answer = call(self.net.controller(n % SoakShape::CONTROLLERS), head, body);
            for _ in 0..2 {
                let Some(leader) = answer
                    .as_ref()
                    .filter(|a| a.status() == 307)
                    .and_then(|a| a.header("location").split('/').nth(2)?.parse().ok())
                else {
                    break;
                };
                answer = call(leader, head, body);
            }
            if let Some(answer) =
                answer.filter(|a| (200..300).contains(&a.status()) || (400..500).contains(&a.status()))
                && !matches!(answer.status(), 408 | 429)
            {
                return Some((answer.status(), answer.body));
            }
            thread::sleep(REPEAT_DELAY);
        }
        None
    }

    fn make_change(&self) -> ChangeEnd {
        let generation = self.next_generation.fetch_add(1, Ordering::Relaxed);
        let base = self.current.load(Ordering::Relaxed);
        let body = configuration(generation, base);
        let end = match self.call_until_clear("PUT /config", &body) {
            Some((200, _)) => ChangeEnd::Accepted,
            Some((412, _)) => ChangeEnd::Conflict,
            // A number that does not rise: the other operator's change has a higher one and came first.
            Some((_, _)) if self.current.load(Ordering::Relaxed) > generation => ChangeEnd::Conflict,
            Some((status, _)) => ChangeEnd::Refused(status),
            None => ChangeEnd::Unclear,
        };
        if end == ChangeEnd::Accepted {
            self.current.fetch_max(generation, Ordering::Relaxed);
        }
        self.changes.lock().unwrap_or_else(PoisonError::into_inner).push(Change { generation, base, end });
        end
    }

    fn read_generation(&self) -> Option<u64> {
        let (_, body) = self.call_until_clear("GET /config", "").filter(|(status, _)| *status == 200)?;
        let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
        u64::from_str_radix(body["generation"].as_str()?, 16).ok()
    }
}

/// A configuration: the same routes each time, other limits and time-outs, and a route that only this one
/// has.
fn configuration(generation: u64, base: u64) -> String {
    let idle = IDLE_TIMEOUTS_S[generation as usize % IDLE_TIMEOUTS_S.len()];
    let timeout = ROUTE_TIMEOUTS_S[generation as usize % ROUTE_TIMEOUTS_S.len()];
    format!(
        r#"{{"generation":"{generation:08x}","base-version":"{base:08x}","limits":{{"idle-timeout-s":{idle}}},
        "routes":{{"columns":["name","host","path-prefix","route-kind","timeout-s","target-s","service","max-attempts"],
        "rows":[["safe","soak","/safe/","safe",{timeout},1,"s",3],["unsafe","soak","/unsafe/","unsafe",{timeout},1,"s",3],
        ["only","soak","/only-{generation}/","safe",5,1,"s",2]]}},
        "services":{{"columns":["name","max-conns","cold-s","cold-per-s"],"rows":[["s",2000,3,{COLD_RATE}]]}},
        "tenants":{{"columns":["name","api-keys","rate-per-s","burst"],"rows":[]}}}}"#
    )
}
