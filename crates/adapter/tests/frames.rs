//! Tests of the adapter as a process: valid input is answered, malformed input ends it with an error line.

use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lynxstair-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    // The adapter may exit before it has read all of its input.
    let _ = child.stdin.take().expect("piped").write_all(input);
    let out = child.wait_with_output().expect("adapter exits");
    (out.status.success(), out.stdout, String::from_utf8_lossy(&out.stderr).into_owned())
}

fn frame(records: u32, body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as u32 + 20).to_le_bytes().to_vec();
    out.extend(5_000_000_000u64.to_le_bytes());
    out.extend(records.to_le_bytes());
    out.extend(1u32.to_le_bytes());
    out.extend(body);
    out
}

fn start(settings: &[u8]) -> Vec<u8> {
    let mut body = vec![16, 3, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0];
    body.extend((settings.len() as u32).to_le_bytes());
    body.extend(settings);
    body
}

#[test]
fn input_is_answered_or_rejected() {
    let empty_reply: Vec<u8> = [12u32, 0, 1].iter().flat_map(|n| n.to_le_bytes()).collect();
    // A new instance sets its tick timer.
    let mut timer: Vec<u8> = [33u32, 1, 1].iter().flat_map(|n| n.to_le_bytes()).collect();
    timer.extend([20, 3, 0, 0, 0, 0, 194, 235, 11, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5]);
    let huge_list = [27, 0, 0xff, 0xff, 0xff, 0xff];
    let cases: Vec<(&str, Vec<u8>, bool, &[u8])> = vec![
        ("no input", vec![], true, &[]),
        ("an empty batch", frame(0, &[]), true, &empty_reply),
        ("settings with unknown keys", frame(1, &start(br#"{"what":{"is":[1]},"me":1}"#)), true, &timer),
        ("an unknown instance", frame(1, &[25, 9, 0, 0, 0]), true, &empty_reply),
        ("a truncated length", vec![20, 0], false, &[]),
        ("a truncated frame", frame(0, &[])[..10].to_vec(), false, &[]),
        ("a length too small", vec![3, 0, 0, 0, 0, 0], false, &[]),
        ("a length too large", vec![0xff; 30], false, &[]),
        ("an unknown record", frame(1, &[99, 0, 0, 0, 0]), false, &[]),
        ("fewer records than claimed", frame(2, &[25, 9, 0, 0, 0]), false, &[]),
        ("trailing bytes", frame(0, &[1]), false, &[]),
        ("a list longer than the frame", frame(1, &huge_list), false, &[]),
        ("settings that are not JSON", frame(1, &start(b"{")), false, &[]),
    ];
    for (name, input, is_valid, wanted) in cases {
        let (success, stdout, stderr) = run(&input);
        assert_eq!((success, &stdout[..]), (is_valid, wanted), "{name}: {stderr}");
        assert_eq!(stderr.lines().count(), usize::from(!is_valid), "{name}: {stderr}");
        assert!(!stderr.contains("panicked"), "{name}: {stderr}");
    }
}
