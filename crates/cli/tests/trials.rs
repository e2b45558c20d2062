//! Trials of several processes: all that are committed are kept, each part that is taken out is missed, and
//! nothing is left running whatever becomes of the one that plays them.

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
use support::{gatekeeper, lynxstair, run, until};

/// Played at once: each is mostly waiting.
const AT_ONCE: usize = 4;

fn committed() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../trials");
    let mut files: Vec<_> = fs::read_dir(folder).expect("there").flatten().map(|f| f.path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "toml"));
    files.sort();
    files
}

/// Plays each, several at once; exit code and what was printed.
fn play(all: Vec<(PathBuf, Vec<&str>)>) -> Vec<(PathBuf, i32, String)> {
    gatekeeper();
    let todo = Mutex::new(VecDeque::from(all));
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                loop {
                    let Some((file, more)) = todo.lock().expect("whole").pop_front() else { return };
                    let path = file.display().to_string();
                    let args: Vec<&str> = ["trial", path.as_str()].into_iter().chain(more).collect();
                    let (code, out, err) = run(&args);
                    done.lock().expect("whole").push((file, code, out + &err));
                }
            });
        }
    });
    done.into_inner().expect("whole")
}

#[test]
fn all_that_are_committed_are_kept() {
    gatekeeper();
    let files = committed();
    assert!(files.len() >= 12);
    for file in &files {
        let text = fs::read_to_string(file).expect("there");
        assert!(text.starts_with("# "), "{}: a line on what it shows", file.display());
    }
    let played = play(files.iter().map(|f| (f.clone(), vec![])).collect());
    assert_eq!(played.len(), files.len());
    for (file, code, said) in played {
        let last = said.lines().last().unwrap_or_default().to_string();
        assert_eq!((code, last.starts_with("trial kept ")), (0, true), "{}:\n{said}", file.display());
    }
}

/// Each part that is taken out is missed, by a rule of that name.
#[test]
fn broken_variants_are_found() {
    let trials = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../trials");
    let own = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/without");
    let cases = [
        ("suspicion", own.join("suspicion.toml"), "never-failed"),
        ("lateness", trials.join("cut-off-alone.toml"), "never-failed"),
        ("incarnation", trials.join("restarts.toml"), "incarnation-forward"),
        ("refusal", trials.join("owner-late.toml"), "effects-in-order"),
        ("epochs", trials.join("owner-killed.toml"), "epoch-has-one-owner"),
        ("relays", own.join("relays.toml"), "cuts-do-not-flap"),
    ];
    let played = play(cases.iter().map(|(part, file, _)| (file.clone(), vec!["--without", part])).collect());
    for (file, code, said) in played {
        let (part, _, rule) = cases.iter().find(|(_, f, _)| *f == file).expect("one of them");
        let last = said.lines().last().unwrap_or_default();
        assert_eq!(code, 1, "{part}:\n{said}");
        assert!(last.starts_with("trial broken "), "{part}:\n{said}");
        assert!(said.lines().any(|l| l.contains(&format!("  {rule}  "))), "{part}: not by {rule}:\n{said}");
    }
    // Trials that are not among the committed ones: whole, the gatekeepers pass them.
    let with = play(vec![(own.join("suspicion.toml"), vec![]), (own.join("relays.toml"), vec![])]);
    for (file, code, said) in with {
        assert_eq!(code, 0, "{}, with all parts:\n{said}", file.display());
    }
}

/// A file that can't be played is told of, and nothing is started; nor is it for the good one beside it.
#[test]
fn files_that_cannot_be_played() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("bad.toml");
    fs::write(&file, "seconds = 5.0\ngatekeepers = 3\n[[fault]]\nat = 1.0\nkind = \"melt\"\n")
        .expect("written");
    let keep = folder.path().join("kept");
    let good = committed()[0].display().to_string();
    let began = Instant::now();
    let (code, out, err) =
        run(&["trial", &good, &file.display().to_string(), "--keep", &keep.display().to_string()]);
    assert_eq!((code, out.as_str()), (2, ""), "{err}");
    assert!(err.contains("bad.toml:5: fault.kind: \"melt\" is not a known fault kind"), "{err}");
    assert!(began.elapsed() < Duration::from_secs(3));
    assert!(fs::read_dir(&keep).map_or(0, |d| d.count()) == 0);
    let (code, _, err) = run(&["trial", "--program", "/nowhere/at/all", &good]);
    assert_eq!(code, 2, "{err}");
    let (code, out, _) = run(&["trial", "--rules"]);
    assert_eq!(code, 0);
    assert!(out.lines().any(|l| l.starts_with("all-agree ")) && out.lines().count() >= 15, "{out}");
}

/// Processes whose command line has this in it.
fn left(of: &str) -> Vec<i32> {
    let all = fs::read_dir("/proc").expect("there").flatten();
    let pids = all.filter_map(|e| e.file_name().to_str().and_then(|n| n.parse::<i32>().ok()));
    pids.filter(|pid| fs::read_to_string(format!("/proc/{pid}/cmdline")).is_ok_and(|c| c.contains(of)))
        .collect()
}

fn told(child: &Child, signal: Signal) {
    kill(Pid::from_raw(child.id() as i32), signal).expect("there");
}

/// Interrupted, told to end, killed: no gatekeeper is left, also where some of them are paused.
#[test]
fn nothing_is_left_running() {
    gatekeeper();
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
        let own = child.id() as i32;
        let stopped = |pid: &i32| {
            fs::read_to_string(format!("/proc/{pid}/stat"))
                .is_ok_and(|s| s.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T')))
        };
        until("one of three is paused", || {
            let all: Vec<_> = left(&keep).into_iter().filter(|p| *p != own).collect();
            all.len() == 3 && all.iter().any(stopped)
        });
        told(&child, signal);
        let code = child.wait().expect("a child").code();
        assert_eq!(code, if signal == Signal::SIGKILL { None } else { Some(2) }, "{signal}");
        until("nothing is left", || left(&keep).is_empty());
    }
}
