//! Guards the operators' part of the audit trail against the store stand-in, which the daemons are tested with.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use kumquat_standins::store;

/// A bundle text without problems.
const TEXT: &str = include_str!("../../kumquat-state/tests/fixtures/bundle.ini");

fn folder(test: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    // A former run may have left its files.
    _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder can be made");
    folder
}

fn run(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kumquatctl"))
        .args(["--settings", "settings.ini"])
        .args(arguments)
        .current_dir(folder)
        .output()
        .expect("the command runs")
}

fn shown(output: &Output) -> String {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&text).into_owned()
}

/// Prepares an operator's folder with one trusted signer.
fn prepare(folder: &Path, url: &str) {
    std::fs::write(folder.join("settings.ini"), "[store]\n").expect("the settings are written");
    let output = run(folder, &["keygen", "signer", "asha", "--out", "asha"]);
    assert!(output.status.success(), "{}", shown(&output));
    let public = std::fs::read_to_string(folder.join("asha.pub")).expect("the public key is read");
    let key = public.split_whitespace().last().expect("a key");
    let settings = format!("[store]\nurl = {url}\n[signers]\nthreshold = 1\nasha = {key}\n");
    std::fs::write(folder.join("settings.ini"), settings).expect("the settings are written");
}

/// Signs and submits the sample bundle as `version` and returns what the command says.
fn submit(folder: &Path, version: u32) -> String {
    let (text, envelope) = (format!("{version}.ini"), format!("{version}.kqe"));
    let bundle = TEXT.replace("version = 3", &format!("version = {version}"));
    std::fs::write(folder.join(&text), bundle).expect("the text is written");
    let sign = ["sign", &text, "--key", "asha", "--out", &envelope];
    let output = run(folder, &sign);
    assert!(output.status.success(), "{}", shown(&output));
    let output = run(folder, &["submit", &envelope, "--accept-surprises"]);
    assert!(output.status.success(), "{}", shown(&output));
    shown(&output)
}

/// Guards against changes that go live without an entry in the trail, and against a trail that operators can't read.
#[test]
fn every_submission_is_in_the_trail_of_the_stand_in_store() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let store = runtime
        .block_on(store::bind(any_port, store::Options::default()))
        .expect("the store binds");
    let folder = folder("trail");
    prepare(&folder, &format!("http://{}", store.address()));

    let reports = [submit(&folder, 1), submit(&folder, 2)];
    let audit = run(&folder, &["audit", "--follow-chain"]);

    for report in &reports {
        assert!(!report.contains("warning"), "{report}");
    }
    assert!(
        shown(&audit).contains("all 2 segments are intact and linked"),
        "{}",
        shown(&audit)
    );
}
