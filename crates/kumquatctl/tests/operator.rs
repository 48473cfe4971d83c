//! Tests of the operators' command: they guard against changes that go live unsigned, unconfirmed or unnoticed, and
//! against exit statuses that tell scripts the wrong outcome.

use std::os::unix::fs::PermissionsExt as _;
use std::path::PathBuf;
use std::process::{Command, Output};

use kumquat_standins::store;
use kumquat_state::bundle::parse;
use kumquat_state::secret::Pepper;
use serde_json::Value;
use tokio::runtime::Runtime;

/// A bundle text without problems.
const TEXT: &str = include_str!("../../kumquat-state/tests/fixtures/bundle.ini");

/// An operator's folder with two trusted signers, of whom one has to sign.
struct Desk {
    folder: PathBuf,
    store: store::Store,
    // The store runs as long as its runtime.
    _runtime: Runtime,
}

fn open_store(runtime: &Runtime) -> store::Store {
    let any_port = "127.0.0.1:0".parse().unwrap();
    runtime
        .block_on(store::bind(any_port, store::Options::default()))
        .unwrap()
}

impl Desk {
    fn open(test: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        // A former run may have left its files.
        _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let runtime = Runtime::new().unwrap();
        let desk = Self {
            folder,
            store: open_store(&runtime),
            _runtime: runtime,
        };
        desk.write("pepper", &"5a".repeat(32));
        for name in ["asha", "bruno"] {
            let output = desk.run_bare(&["keygen", "signer", name, "--out", name]);
            assert_eq!(status(&output), 0, "{}", shown(&output));
        }
        desk.write(
            "settings.ini",
            &format!(
                "[store]\nurl = {}\n[signers]\nthreshold = 1\n{}{}[secrets]\ndigest = ./pepper\n",
                desk.store.url(),
                desk.signer("asha"),
                desk.signer("bruno"),
            ),
        );
        desk
    }

    /// Opens a desk whose store has accepted the sample bundle as version 1.
    fn with_bundle(test: &str) -> Self {
        let desk = Self::open(test);
        desk.write("one.ini", &TEXT.replace("version = 3", "version = 1"));
        desk.sign("one.ini", "asha", "one.kqe");
        let output = desk.run(&["submit", "one.kqe", "--accept-surprises"]);
        assert_eq!(status(&output), 0, "{}", shown(&output));
        desk
    }

    fn write(&self, name: &str, text: &str) {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
    }

    /// Returns the line of a signer's public key in the settings.
    fn signer(&self, name: &str) -> String {
        let public = std::fs::read_to_string(self.folder.join(format!("{name}.pub"))).unwrap();
        let key = public.split_whitespace().last().unwrap();
        format!("{name} = {key}\n")
    }

    fn sign(&self, text: &str, key: &str, out: &str) {
        let output = self.run(&[
            "sign", text, "--key", key, "--reason", "a test", "--out", out,
        ]);
        assert_eq!(status(&output), 0, "{}", shown(&output));
    }

    fn run_bare(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_kumquatctl"))
            .current_dir(&self.folder)
            .args(args)
            .output()
            .unwrap()
    }

    fn run(&self, args: &[&str]) -> Output {
        self.run_bare(&[&["--settings", "settings.ini"], args].concat())
    }

    fn json(&self, args: &[&str]) -> Value {
        let output = self.run(&[&["--json"], args].concat());
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", shown(&output)))
    }

    /// Makes a change with one key.
    fn change(&self, args: &[&str]) -> Output {
        self.run(&[args, &["--key", "asha"]].concat())
    }
}

fn status(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn shown(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Guards against a check that passes faulty texts or hides some of their problems.
#[test]
fn check_lists_all_problems() {
    let desk = Desk::open("check");
    desk.write("good.ini", TEXT);
    desk.write(
        "bad.ini",
        &TEXT
            .replace("rate = 100", "rate = fast")
            .replace("burst = 20", ""),
    );
    assert_eq!(status(&desk.run(&["check", "good.ini"])), 0);
    let output = desk.run(&["check", "bad.ini"]);
    assert_eq!(status(&output), 2);
    assert!(shown(&output).contains("2 problems"), "{}", shown(&output));
    let json = desk.json(&["check", "bad.ini"]);
    assert_eq!(json["problems"].as_array().unwrap().len(), 2);
    assert_eq!(status(&desk.run(&["check", "absent.ini"])), 2);
}

/// Guards against changes that are not in force, not recorded or not verifiable afterwards.
#[test]
fn changes_become_versions_with_a_trail() {
    let desk = Desk::with_bundle("changes");
    let changes: [&[&str]; 5] = [
        &["data-centre", "back", "b"],
        &["undrain", "payments-01"],
        &["withdraw", "pilots-1", "--reason", "leaked"],
        &["place", "repair-status", "barometer-7", "repair-01"],
        &["unplace", "repair-status", "barometer-7"],
    ];
    for change in changes {
        let output = desk.change(change);
        assert_eq!(status(&output), 0, "{change:?}: {}", shown(&output));
    }
    // A repeated change is no new version.
    assert!(shown(&desk.change(&["withdraw", "pilots-1"])).contains("nothing to change"));

    let history = desk.json(&["history"]);
    let versions: Vec<u64> = history["versions"]
        .as_array()
        .unwrap()
        .iter()
        .map(|version| version["version"].as_u64().unwrap())
        .collect();
    assert_eq!(versions, [6, 5, 4, 3, 2, 1]);
    assert_eq!(history["versions"][2]["reason"], "leaked");

    let trail = desk.json(&["audit", "--follow-chain"]);
    assert_eq!(trail["verified"], true);
    assert_eq!(trail["segments"], 6);
    assert!(
        shown(&desk.run(&["audit"])).contains("caller key pilots-1 withdrawn from pilots"),
        "{}",
        shown(&desk.run(&["audit"]))
    );

    desk.write("late.ini", &TEXT.replace("version = 3", "version = 7"));
    let diff = shown(&desk.run(&["diff", "late.ini"]));
    assert!(diff.contains("+ caller-key pilots-1"), "{diff}");
    assert!(diff.contains("~ data-centre b: state in -> out"), "{diff}");
}

/// Guards against a mistake that goes live without an explicit word.
#[test]
fn surprises_have_to_be_confirmed() {
    let desk = Desk::with_bundle("surprises");
    let output = desk.change(&["data-centre", "out", "a"]);
    assert_eq!(status(&output), 1);
    assert!(
        shown(&output).contains("all data centres are out of service"),
        "{}",
        shown(&output)
    );
    assert_eq!(desk.json(&["status"])["accepted"], 1);
    let output = desk.change(&["data-centre", "out", "a", "--accept-surprises"]);
    assert_eq!(status(&output), 0, "{}", shown(&output));
    assert_eq!(desk.json(&["status"])["accepted"], 2);
}

/// Guards against the loss of the first operator's change when two start from the same version.
#[test]
fn the_loser_of_a_race_is_told() {
    let desk = Desk::with_bundle("race");
    let text = TEXT.replace("version = 3", "version = 2");
    desk.write("first.ini", &text.replace("rate = 100", "rate = 150"));
    desk.write("second.ini", &text.replace("burst = 20", "burst = 30"));
    desk.sign("first.ini", "bruno", "first.kqe");
    desk.sign("second.ini", "asha", "second.kqe");
    assert_eq!(status(&desk.run(&["submit", "first.kqe"])), 0);

    let output = desk.run(&["submit", "second.kqe"]);

    assert_eq!(status(&output), 1);
    for part in ["taken by bruno", "rate 100 -> 150", "version to 3"] {
        assert!(shown(&output).contains(part), "{}", shown(&output));
    }
    // The same envelope again is no second change.
    assert_eq!(status(&desk.run(&["submit", "first.kqe"])), 0);
    assert_eq!(desk.json(&["status"])["accepted"], 2);
    assert_eq!(desk.json(&["audit"])["segments"], 2);
}

/// Guards against wrong exit statuses when the store does not answer.
#[test]
fn lost_answers_are_resolved_or_reported() {
    let desk = Desk::with_bundle("lost");
    desk.store.set_faults(|faults| {
        faults.lose_answers = 1;
        faults.lose_key = Some("bundle".to_owned());
    });
    let output = desk.change(&["data-centre", "back", "b"]);
    assert_eq!(status(&output), 0, "{}", shown(&output));
    assert_eq!(desk.json(&["status"])["accepted"], 2);

    desk.store.set_faults(|faults| {
        faults.lose_answers = 1;
        faults.outage_after_loss = true;
    });
    let output = desk.change(&["undrain", "payments-01"]);
    assert_eq!(status(&output), 4, "{}", shown(&output));

    // The same envelope tells the outcome once the store answers again.
    desk.store.set_faults(|faults| faults.outage = false);
    let text = shown(&output);
    let file = text.rsplit(' ').next().unwrap().trim();
    let output = desk.run(&["submit", file]);
    assert_eq!(status(&output), 0, "{}", shown(&output));
    assert_eq!(desk.json(&["status"])["accepted"], 3);
    let trail = desk.json(&["audit", "--follow-chain"]);
    assert_eq!(trail["segments"], 3, "{trail}");

    // Nobody listens on port 1 of the loopback interface.
    let output = desk.run(&["--store", "http://127.0.0.1:1", "status"]);
    assert_eq!(status(&output), 3, "{}", shown(&output));
}

/// Guards against keys that others can read, and against envelopes without a trusted signature.
#[test]
fn weak_keys_and_strangers_are_refused() {
    let desk = Desk::with_bundle("keys");
    let key = desk.folder.join("asha");
    assert_eq!(
        std::fs::metadata(&key).unwrap().permissions().mode() & 0o777,
        0o600
    );
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o640)).unwrap();
    let output = desk.change(&["data-centre", "back", "b"]);
    assert_eq!(status(&output), 2);
    assert!(shown(&output).contains("mode 640"), "{}", shown(&output));

    assert_eq!(
        status(&desk.run(&["keygen", "signer", "chitra", "--out", "chitra"])),
        0
    );
    let output = desk.run(&["data-centre", "back", "b", "--key", "chitra"]);
    assert_eq!(status(&output), 1);
    assert!(
        shown(&output).contains("0 valid signatures"),
        "{}",
        shown(&output)
    );
    // An existing key is never replaced.
    assert_eq!(
        status(&desk.run(&["keygen", "signer", "chitra", "--out", "chitra"])),
        2
    );
}

/// Guards against an operator who signs a stranger's bundle along with a change of one thing.
#[test]
fn an_untrusted_bundle_is_not_built_upon() {
    let desk = Desk::with_bundle("untrusted");
    let output = desk.run(&["keygen", "signer", "chitra", "--out", "chitra"]);
    assert_eq!(status(&output), 0, "{}", shown(&output));
    let trusting = format!(
        "[store]\nurl = {}\n[signers]\nthreshold = 1\n{}",
        desk.store.url(),
        desk.signer("chitra")
    );
    desk.write("stranger.ini", &trusting);
    desk.write("two.ini", &TEXT.replace("version = 3", "version = 2"));
    desk.sign("two.ini", "chitra", "two.kqe");
    let output = desk.run_bare(&["--settings", "stranger.ini", "submit", "two.kqe"]);
    assert_eq!(status(&output), 0, "{}", shown(&output));

    let output = desk.change(&["data-centre", "back", "b"]);

    assert_eq!(status(&output), 1);
    assert!(
        shown(&output).contains("not signed by the trusted signers"),
        "{}",
        shown(&output)
    );
}

/// Guards against a second signer who can't add a signature, and against a caller key that the bundle does not know.
#[test]
fn envelopes_are_passed_on_and_caller_keys_are_printed() {
    let desk = Desk::with_bundle("pass-on");
    let output = desk.change(&["data-centre", "back", "b", "--out", "two.kqe"]);
    assert_eq!(status(&output), 0, "{}", shown(&output));
    let diff = shown(&desk.run(&["diff", "two.kqe"]));
    assert!(diff.contains("~ data-centre b: state out -> in"), "{diff}");
    desk.sign("two.kqe", "bruno", "two-both.kqe");
    let output = desk.run(&["submit", "two-both.kqe"]);
    assert_eq!(status(&output), 0, "{}", shown(&output));
    let history = desk.json(&["history", "--limit", "1"]);
    assert_eq!(
        history["versions"][0]["signers"],
        serde_json::json!(["asha", "bruno"])
    );

    let made = desk.json(&["keygen", "caller-key", "pilots-2", "--team", "pilots"]);
    assert!(made["key"].as_str().unwrap().starts_with("kqp_"));
    let text = format!("{TEXT}{}", made["section"].as_str().unwrap());
    desk.write("added.ini", &text);
    assert_eq!(status(&desk.run(&["check", "added.ini"])), 0);
}

/// Guards against an altered trail that is shown as intact, and against VMs that lag unnoticed.
#[test]
fn altered_trails_and_lagging_vms_are_shown() {
    let desk = Desk::with_bundle("shown");
    assert_eq!(status(&desk.change(&["data-centre", "back", "b"])), 0);
    desk.store.set(
        "status/cell",
        r#"{"time":1,"vms":[{"vm":"vm-1","version":2,"ledger":7},{"vm":"vm-2","version":1,"ledger":7}]}"#,
    );
    desk.store.set("status/cell-2", "damaged");
    let shown_status = desk.json(&["status"]);
    assert_eq!(shown_status["behind"], 2, "{shown_status}");

    let key = format!("audit/{:020}", 1);
    let mut bytes = desk.store.peek(&key).unwrap().0.to_vec();
    let place = bytes.windows(4).position(|part| part == b"asha").unwrap();
    bytes[place] = b'b';
    desk.store.set(&key, bytes);
    let output = desk.run(&["audit", "--follow-chain"]);
    assert_eq!(status(&output), 1);
    assert!(
        shown(&output).contains("segment 1 was altered"),
        "{}",
        shown(&output)
    );
}

/// Guards against a command line that can't be completed or parsed.
#[test]
fn usage_errors_and_completions() {
    let desk = Desk::open("usage");
    assert_eq!(status(&desk.run_bare(&["drain"])), 2);
    assert_eq!(status(&desk.run_bare(&["status"])), 2);
    let output = desk.run_bare(&["completions", "bash"]);
    assert!(shown(&output).contains("data-centre"));
}

/// Guards against operators who need settings of their own beside those of the daemons.
#[test]
fn settings_of_a_daemon_are_usable() {
    let desk = Desk::open("daemon-settings");
    let sample = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples/port-louis");
    let settings = sample.join("vm-1.ini");
    let bundle = sample.join("bundle.ini");
    // The private keys of the sample signers are in samples/README.md.
    for (name, byte) in [("anjali", "11"), ("kevin", "12")] {
        let key = format!("kumquat-signing-key-v1 {name} {}\n", byte.repeat(32));
        desk.write(name, &key);
    }
    let run = |args: &[&str]| {
        let url = desk.store.url();
        let common = ["--settings", settings.to_str().unwrap(), "--store", &url];
        desk.run_bare(&[&common, args].concat())
    };
    desk.sign(bundle.to_str().unwrap(), "anjali", "one.kqe");
    desk.sign("one.kqe", "kevin", "both.kqe");

    // The sample asks for two signatures.
    let single = run(&["submit", "one.kqe", "--accept-surprises"]);
    let both = run(&["submit", "both.kqe", "--accept-surprises"]);
    let accepted = run(&["--json", "status"]);

    assert_eq!(status(&single), 1, "{}", shown(&single));
    assert_eq!(status(&both), 0, "{}", shown(&both));
    let accepted: Value = serde_json::from_slice(&accepted.stdout).unwrap();
    assert_eq!(accepted["accepted"], 1);
}

/// Guards against a digest secret that is read from another place than the daemons read it from.
#[test]
fn the_digest_secret_of_a_daemon_digests_caller_keys() {
    let desk = Desk::open("daemon-digest");
    let sample = include_str!("../../../samples/port-louis/vm-1.ini");
    // The path in the sample is relative to its folder, and operators keep the file to themselves.
    let digits = include_str!("../../../samples/port-louis/digest.hex");
    desk.write("vm-1.ini", sample);
    desk.write("digest.hex", digits);

    let output = desk.run_bare(&[
        "--settings",
        "vm-1.ini",
        "--json",
        "keygen",
        "caller-key",
        "pilots-2",
        "--team",
        "pilots",
    ]);

    assert_eq!(status(&output), 0, "{}", shown(&output));
    let made: Value = serde_json::from_slice(&output.stdout).unwrap();
    let pepper: Pepper = digits.parse().unwrap();
    let text = format!("{TEXT}{}", made["section"].as_str().unwrap());
    let bundle = parse(&text).unwrap();
    let found = pepper.find(&bundle, made["key"].as_str().unwrap()).unwrap();
    assert_eq!(found.name.as_str(), "pilots-2");
}

/// Guards against problems of the settings that are found only one by one, or not at all.
#[test]
fn all_problems_of_the_settings_are_listed() {
    let desk = Desk::open("settings-problems");
    desk.write(
        "bad.ini",
        "[store]\nurl = nowhere\nulr = http://127.0.0.1:1\n[signers]\nthreshold = 0\nasha = 12\n\
         [secrets]\ndigset = ./pepper\n[trust]\nthreshold = 1\n",
    );

    let output = desk.run_bare(&["--settings", "bad.ini", "status"]);

    assert_eq!(status(&output), 2);
    for part in [
        "nowhere",
        "\"url\"?",
        "[signers]",
        "asha",
        "\"digest\"?",
        "[trust]",
    ] {
        assert!(shown(&output).contains(part), "{part}: {}", shown(&output));
    }
}
