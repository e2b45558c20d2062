//! Fault-injection trials: the committed trials break no rule, trials detect disabled parts, and no
//! gatekeeper outlives the command that started it.

mod support;

use std::collections::VecDeque;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use support::{gatekeeper_program, lynxstair, run, wait_until};

const MAX_CONCURRENT_TRIALS: usize = 4;

fn committed_trials() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../trials");
    let mut files: Vec<_> = fs::read_dir(directory).expect("readable").flatten().map(|f| f.path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "toml"));
    files.sort();
    files
}

/// Runs the trials concurrently with further arguments. Returns the file, exit code and output of each.
fn run_trials(trials: Vec<(PathBuf, Vec<&str>)>) -> Vec<(PathBuf, i32, String)> {
    gatekeeper_program();
    let queue = Mutex::new(VecDeque::from(trials));
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_TRIALS {
            scope.spawn(|| {
                loop {
                    let Some((file, extra_args)) = queue.lock().expect("mutex poisoned").pop_front() else {
                        return;
                    };
                    let path = file.display().to_string();
                    let args: Vec<&str> = ["trial", path.as_str()].into_iter().chain(extra_args).collect();
                    let (code, out, err) = run(&args);
                    results.lock().expect("mutex poisoned").push((file, code, out + &err));
                }
            });
        }
    });
    results.into_inner().expect("mutex poisoned")
}

#[test]
fn committed_trials_break_no_rule() {
    gatekeeper_program();
    let files = committed_trials();
    assert!(files.len() >= 12);
    for file in &files {
        let text = fs::read_to_string(file).expect("readable");
        assert!(text.starts_with("# "), "{}: first line is not a comment", file.display());
    }
    let results = run_trials(files.iter().map(|f| (f.clone(), vec![])).collect());
    assert_eq!(results.len(), files.len());
    for (file, code, output) in results {
        let last = output.lines().last().unwrap_or_default().to_string();
        assert_eq!((code, last.starts_with("trial kept ")), (0, true), "{}:\n{output}", file.display());
    }
}

/// A trial without the part breaks the expected rule.
#[test]
fn disabled_parts_are_detected() {
    let trials = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../trials");
    let own_trials = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/without");
    let cases = [
        ("suspicion", own_trials.join("suspicion.toml"), "never-failed"),
        ("lateness", trials.join("cut-off-alone.toml"), "never-failed"),
        ("incarnation", trials.join("restarts.toml"), "incarnation-forward"),
        ("refusal", trials.join("owner-late.toml"), "effects-in-order"),
        ("epochs", trials.join("owner-killed.toml"), "epoch-has-one-owner"),
        ("relays", own_trials.join("relays.toml"), "cuts-do-not-flap"),
    ];
    let results =
        run_trials(cases.iter().map(|(part, file, _)| (file.clone(), vec!["--without", part])).collect());
    for (file, code, output) in results {
        let (part, _, rule) = cases.iter().find(|(_, f, _)| *f == file).expect("a file of the cases");
        let last = output.lines().last().unwrap_or_default();
        assert_eq!(code, 1, "{part}:\n{output}");
        assert!(last.starts_with("trial broken "), "{part}:\n{output}");
        assert!(
            output.lines().any(|l| l.contains(&format!("  {rule}  "))),
            "{part}: {rule} is not broken:\n{output}"
        );
    }
    // With all parts enabled, the trials of this test break no rule either.
    let with_all_parts = run_trials(vec![
        (own_trials.join("suspicion.toml"), vec![]),
        (own_trials.join("relays.toml"), vec![]),
    ]);
    for (file, code, output) in with_all_parts {
        assert_eq!(code, 0, "{}, with all parts:\n{output}", file.display());
    }
}

/// An invalid trial file is reported before any trial starts, also those of valid files.
#[test]
fn invalid_trial_files_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.toml");
    fs::write(&file, "seconds = 5.0\ngatekeepers = 3\n[[fault]]\nat = 1.0\nkind = \"melt\"\n")
        .expect("written");
    let keep = folder.path().join("kept");
    let valid = committed_trials()[0].display().to_string();
    let start = Instant::now();
    let (code, out, err) =
        run(&["trial", &valid, &file.display().to_string(), "--keep", &keep.display().to_string()]);
    assert_eq!((code, out.as_str()), (2, ""), "{err}");
    assert!(err.contains("bad.toml:5: fault.kind: \"melt\" is not a known fault kind"), "{err}");
    assert!(start.elapsed() < Duration::from_secs(3));
    assert!(fs::read_dir(&keep).map_or(0, |d| d.count()) == 0);
    let (code, _, err) = run(&["trial", "--program", "/nowhere/at/all", &valid]);
    assert_eq!(code, 2, "{err}");
    let (code, out, _) = run(&["trial", "--rules"]);
    assert_eq!(code, 0);
    assert!(out.lines().any(|l| l.starts_with("all-agree ")) && out.lines().count() >= 15, "{out}");
}

/// Returns the processes whose command line contains the text.
fn processes_with_argument(text: &str) -> Vec<i32> {
    let entries = fs::read_dir("/proc").expect("readable").flatten();
    let pids = entries.filter_map(|e| e.file_name().to_str().and_then(|n| n.parse::<i32>().ok()));
    pids.filter(|pid| fs::read_to_string(format!("/proc/{pid}/cmdline")).is_ok_and(|c| c.contains(text)))
        .collect()
}

fn send_signal(child: &Child, signal: Signal) {
    kill(Pid::from_raw(child.id() as i32), signal).expect("running");
}

/// No gatekeeper, paused or not, survives an interrupted, terminated or killed trial command.
#[test]
fn no_gatekeeper_outlives_the_trial() {
    gatekeeper_program();
    for signal in [Signal::SIGINT, Signal::SIGTERM, Signal::SIGKILL] {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("t.toml");
        let text = "seconds = 60.0\ngatekeepers = 3\n[[fault]]\nat = 0.0\nkind = \"pause\"\nwho = [\"g2\"]\n";
        fs::write(&file, text).expect("written");
        let keep = folder.path().join("kept").display().to_string();
        let mut child = lynxstair()
            .args(["trial", "--keep", &keep, &file.display().to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("starts");
        let command_pid = child.id() as i32;
        let is_stopped = |pid: &i32| {
            fs::read_to_string(format!("/proc/{pid}/stat"))
                .is_ok_and(|s| s.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T')))
        };
        wait_until("one of three gatekeepers is paused", || {
            let gatekeepers: Vec<_> =
                processes_with_argument(&keep).into_iter().filter(|p| *p != command_pid).collect();
            gatekeepers.len() == 3 && gatekeepers.iter().any(is_stopped)
        });
        send_signal(&child, signal);
        let code = child.wait().expect("child process").code();
        assert_eq!(code, if signal == Signal::SIGKILL { None } else { Some(2) }, "{signal}");
        wait_until("no process is left", || processes_with_argument(&keep).is_empty());
    }
}
