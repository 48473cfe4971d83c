//! Guards the story of a request that operators get from log lines.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

/// Lines of two VMs: one with the prefix of a collector, one that is no log line, and the request's own.
const LINES: &str = r#"
1.2 vm-a {"msg":"owners changed","ts":"2026-01-01T00:00:01Z","vm":"vm-a","service":"reads","moving":0}
{"msg":"owners changed","ts":"2026-01-01T00:00:02Z","vm":"vm-a","service":"reads","moving":2}
{"msg":"owners changed","ts":"2026-01-01T00:00:02Z","vm":"vm-a","service":"other","moving":7}
{"msg":"owners changed","ts":"2026-01-01T00:00:02Z","vm":"vm-b","service":"reads","moving":8}
not a log line
{"msg":"upstream removed","ts":"2026-01-01T00:00:05Z","vm":"vm-a","upstream":"i-1"}
{"msg":"upstream removed","ts":"2026-01-01T00:00:05Z","vm":"vm-a","upstream":"i-2"}
{"msg":"request","ts":"2026-01-01T00:00:03Z","vm":"vm-a","id":"r1","service":"reads","status":502,"upstreams":"i-1","upstream_status":503}
{"msg":"request","ts":"2026-01-01T00:00:03Z","vm":"vm-a","id":"r2","service":"reads","status":200,"upstreams":"i-2"}
{"msg":"upstream announced a request limit","ts":"2026-01-01T00:00:04Z","vm":"vm-a","upstream":"i-3","per_s":2.5}
{"msg":"upstream announced a request limit","ts":"2026-01-01T00:00:04Z","vm":"vm-b","upstream":"i-3","per_s":2.5}
{"msg":"request","ts":"2026-01-01T00:00:06Z","vm":"vm-a","id":"r3","status":503,"upstreams":"","limited_by":"i-3"}
"#;

fn explain(id: &str, files: &[PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kumquatctl"))
        .args(["explain", id])
        .args(files)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command runs");
    let mut input = command.stdin.take().expect("standard input");
    // With files the command doesn't read its input.
    _ = input.write_all(LINES.as_bytes());
    drop(input);
    command.wait_with_output().expect("the command ends")
}

fn stdout(output: &Output) -> Vec<String> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().map(str::to_owned).collect()
}

/// Guards against a story that lacks what the VM believed, is out of order, or has lines of other requests in it.
#[test]
fn a_request_is_told_with_what_its_vm_believed() {
    let output = explain("r1", &[]);

    let lines = stdout(&output);
    assert_eq!(lines.len(), 4, "{lines:?}");
    assert!(lines[1].contains("owners changed") && lines[1].contains("moving=2"));
    assert!(lines[2].contains("request") && lines[2].contains(" status=502"));
    assert!(lines[2].contains("upstream_status=503"), "{lines:?}");
    assert!(lines[3].contains("upstream removed") && lines[3].contains("upstream=i-1"));
}

/// Guards against a refusal at a request limit whose upstream and limit operators can't find.
#[test]
fn a_refusal_at_a_request_limit_is_told_with_the_limit() {
    let output = explain("r3", &[]);

    let lines = stdout(&output);
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[1].contains("announced a request limit") && lines[1].contains("per_s=2.5"));
    assert!(lines[2].contains("limited_by=i-3"));
}

/// Guards against lines in files being told apart from those on standard input.
#[test]
fn lines_are_read_from_files() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain.log");
    std::fs::write(&path, LINES).expect("the file is written");

    let output = explain("r1", &[path]);

    assert_eq!(stdout(&output), stdout(&explain("r1", &[])));
}

/// Guards against an unknown id or a missing file that looks like an answer.
#[test]
fn what_is_not_there_is_said() {
    let unknown = explain("r9", &[]);
    let missing = explain("r1", &[PathBuf::from("no-such-file")]);

    assert_eq!(unknown.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("no line of request r9"));
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("no-such-file"));
}
