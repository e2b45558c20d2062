use std::sync::mpsc::channel;
use std::time::Duration;

use super::{configure_runtime, guarded, spawn};

/// What ends a job comes once: after it, after its panic, and where it never ran.
#[test]
fn the_end_comes_on_every_path() {
    let (runs, panics, never) = (1, 2, 3);
    for (case, wanted) in [(runs, false), (panics, true), (never, false)] {
        let (said, heard) = channel();
        let job = guarded("a test", move || assert!(case != panics), move |p| said.send(p).expect("heard"));
        if case != never {
            job();
        } else {
            drop(job);
        }
        assert_eq!(heard.iter().collect::<Vec<_>>(), [wanted], "{case}");
    }
}

/// A panic ends its own coroutine only.
#[test]
fn panics_are_contained() {
    configure_runtime();
    let (said, heard) = channel();
    for n in 0..20 {
        let said = said.clone();
        spawn("a test", move || {
            said.send(n).expect("heard");
            assert!(n % 2 == 0, "meant to fail");
            said.send(100 + n).expect("heard");
        });
    }
    drop(said);
    let mut all = Vec::new();
    while let Ok(n) = heard.recv_timeout(Duration::from_secs(10)) {
        all.push(n);
    }
    all.sort_unstable();
    assert_eq!(all, (0..20).chain((100..120).step_by(2)).collect::<Vec<_>>());
}
