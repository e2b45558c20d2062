use std::sync::mpsc::channel;
use std::time::Duration;

use super::{configure_runtime, guarded, spawn};

/// `on_end` is called once if the job returns, panics or never runs.
#[test]
fn on_end_is_called_once_on_every_path() {
    let (returns, panics, never_runs) = (1, 2, 3);
    for (case, wanted) in [(returns, false), (panics, true), (never_runs, false)] {
        let (sender, receiver) = channel();
        let job =
            guarded("a test", move || assert!(case != panics), move |p| sender.send(p).expect("receiver"));
        if case != never_runs {
            job();
        } else {
            drop(job);
        }
        assert_eq!(receiver.iter().collect::<Vec<_>>(), [wanted], "{case}");
    }
}

#[test]
fn panic_ends_only_its_own_coroutine() {
    configure_runtime();
    let (sender, receiver) = channel();
    for n in 0..20 {
        let sender = sender.clone();
        spawn("a test", move || {
            sender.send(n).expect("receiver");
            assert!(n % 2 == 0, "meant to fail");
            sender.send(100 + n).expect("receiver");
        });
    }
    drop(sender);
    let mut all = Vec::new();
    while let Ok(n) = receiver.recv_timeout(Duration::from_secs(10)) {
        all.push(n);
    }
    all.sort_unstable();
    assert_eq!(all, (0..20).chain((100..120).step_by(2)).collect::<Vec<_>>());
}
