//! Tests of the settings files of the daemons.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use kumquat_settings::{LogLevel, Problem, Settings, open, parse};

const SECRET: &str = "5e0000000000000000000000000000000000000000000000000000000000005e";

fn sample(deployment: &str, number: usize) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(deployment)
        .join(format!("vm-{number}.ini"))
}

/// Returns a valid file, in which each test changes what it is about.
fn text() -> String {
    format!(
        "[vm]\nname = vm-1\ndata-centre = ebene\n\
         [entry]\nlisten = 127.0.0.1:1\nadmin = 127.0.0.1:2\n\
         [dispatch]\nlisten = 127.0.0.1:3\nadvertise = 127.0.0.1:3\nadmin = 127.0.0.1:4\n\
         [peers]\nvm-3 = 127.0.0.1:13\nvm-1 = 127.0.0.1:3\nvm-2 = 127.0.0.1:23\n\
         [store]\nurl = http://127.0.0.1:5\n\
         [list]\nurl = http://127.0.0.1:6\n\
         [secrets]\ncell = {SECRET}\ndigest = {SECRET}\n\
         [signers]\nthreshold = 1\npriya = {}\n",
        "ab".repeat(32)
    )
}

fn read(text: &str) -> Result<Settings, Vec<Problem>> {
    parse(text, Path::new("folder/vm-1.ini"))
}

/// Reads a file that has exactly one problem.
fn problem(text: &str) -> Problem {
    let problems = read(text).expect_err("a problem");
    assert_eq!(problems.len(), 1, "{problems:?}");
    problems[0].clone()
}

/// Guards against samples that the daemons refuse, or that can't run side by side.
#[test]
fn all_samples_parse_and_share_no_address() {
    let mut addresses = BTreeSet::new();
    for deployment in ["port-louis", "dar-es-salaam"] {
        let mut data_centres = BTreeSet::new();
        for number in 1..=9 {
            let settings = open(sample(deployment, number)).expect("valid sample");
            assert_eq!(settings.vm.name.as_str(), format!("vm-{number}"));
            assert_eq!(settings.peers.len(), 8);
            assert_eq!(
                (settings.signers.keys.len(), settings.signers.threshold),
                (3, 2)
            );
            data_centres.insert(settings.vm.data_centre.to_string());
            addresses.extend([
                settings.entry.listen,
                settings.entry.admin,
                settings.dispatch.listen,
                settings.dispatch.admin,
            ]);
        }
        assert_eq!(data_centres.len(), 3);
    }
    assert_eq!(addresses.len(), 2 * 9 * 4);
}

/// Guards against defaults that change unnoticed and against a VM that takes itself for a peer.
#[test]
fn a_file_without_optional_keys_has_the_defaults() {
    let settings = read(&text()).expect("valid");

    let peers = settings.peers.iter().map(|peer| peer.vm.as_str());
    assert_eq!(peers.collect::<Vec<_>>(), ["vm-2", "vm-3"]);
    assert_eq!(settings.entry.max_head_bytes, 16 * 1_024);
    assert_eq!(settings.entry.max_body_bytes, 8 * 1_024 * 1_024);
    assert_eq!(settings.entry.max_connections, 10_000);
    assert_eq!(settings.store.timeout, Duration::from_secs(1));
    assert_eq!(settings.store.url.to_string(), "http://127.0.0.1:5");
    assert_eq!(settings.log_level, LogLevel::Info);
    assert_eq!(settings.secrets.cell.expose()[0], 0x5e);
}

/// Guards against a reader that stops at the first problem, for which operators would need one attempt each.
#[test]
fn all_problems_are_reported_at_once() {
    let text = text()
        .replace("name = vm-1", "name = VM_1")
        .replace("127.0.0.1:2\n", "localhost:2\n")
        .replace("threshold = 1", "threshold = 2")
        .replace("http://127.0.0.1:6", "https://127.0.0.1:6")
        + "[log]\nlevel = loud\n";

    let problems = read(&text).expect_err("problems");

    let places = problems
        .iter()
        .map(|problem| {
            (
                problem.section.as_str(),
                problem.key.as_str(),
                problem.value.as_str(),
            )
        })
        .collect::<Vec<_>>();
    let expected = [
        ("vm", "name", "VM_1"),
        ("entry", "admin", "localhost:2"),
        ("list", "url", "https://127.0.0.1:6"),
        ("signers", "threshold", "2"),
        ("log", "level", "loud"),
    ];
    assert_eq!(places, expected);
    assert_eq!(
        problems[1].to_string(),
        "folder/vm-1.ini: [entry] admin = \"localhost:2\": expected IP:port, such as 10.0.0.1:8080"
    );
}

/// Guards against an empty file that passes or names only the first missing key.
#[test]
fn every_missing_key_is_reported() {
    let problems = read("").expect_err("problems");

    let keys = problems
        .iter()
        .map(|problem| format!("{}.{}", problem.section, problem.key))
        .collect::<Vec<_>>();
    let expected = [
        "vm.name",
        "vm.data-centre",
        "entry.listen",
        "entry.admin",
        "dispatch.listen",
        "dispatch.advertise",
        "dispatch.admin",
        "store.url",
        "list.url",
        "secrets.cell",
        "secrets.digest",
        "signers.threshold",
    ];
    assert_eq!(keys, expected);
}

/// Guards against misspelt names that have no effect.
#[test]
fn unknown_names_are_problems_with_a_hint() {
    let key = problem(&text().replace("[entry]\n", "[entry]\nbody-limits = 1m\n"));
    let section = problem(&(text() + "[logs]\nlevel = info\n"));
    let far = problem(&(text() + "[metrics]\n x = 1\n"));
    let outside = problem(&("level = info\n".to_owned() + &text()));

    assert_eq!(key.expected, "a known key; did you mean \"body-limit\"?");
    assert_eq!(section.expected, "a known section; did you mean \"log\"?");
    assert_eq!(far.expected, "a known section");
    assert_eq!(outside.expected, "each key within a section");
}

/// Guards against a second value that silently replaces the first or is ignored.
#[test]
fn repeated_names_are_problems() {
    let key = problem(&text().replace("[list]\n", "[list]\nurl = http://127.0.0.1:7\n"));
    let section = problem(&(text() + "[store]\n"));

    assert_eq!(key.expected, "each key once in its section");
    assert_eq!(section.expected, "each section once");
}

/// Guards against secrets in logs and in problems, whatever is wrong with them.
#[test]
fn secrets_are_never_shown() {
    let settings = read(&text()).expect("valid");
    let cases = [
        text().replace(&format!("cell = {SECRET}"), &format!("cell = {SECRET}0")),
        text().replace(
            &format!("cell = {SECRET}"),
            &format!("cell = {SECRET}\ncel = {SECRET}"),
        ),
        text().replace(&format!("cell = {SECRET}"), &format!("cell = ./{SECRET}")),
        text() + &format!("[secret]\ncell = {SECRET}\n"),
    ];

    assert!(!format!("{settings:?}").contains("5e"));
    assert!(!format!("{settings:?}").contains("94, "));
    for case in cases {
        let problems = read(&case).expect_err("problem");
        let shown = format!("{problems:?}");
        assert!(!shown.contains(SECRET), "{shown}");
    }
}

/// Guards against one signer who counts twice, and against a threshold that can't be reached or is zero.
#[test]
fn signers_are_distinct_and_reach_the_threshold() {
    let twice = problem(&(text() + &format!("kevin = {}\n", "ab".repeat(32))));
    let many = problem(&text().replace("threshold = 1", "threshold = 2"));
    let none = problem(&text().replace("threshold = 1", "threshold = 0"));

    assert_eq!(twice.expected, "a key that no other signer has");
    assert_eq!(many.expected, "at most the number of signers, 1");
    assert_eq!(none.expected, "a whole number above 0");
}

/// Guards against daemons that take each other's address, and peers that can't be reached.
#[test]
fn addresses_are_distinct_and_can_be_reached() {
    let same = problem(&text().replace("admin = 127.0.0.1:4", "admin = 127.0.0.1:1"));
    let own = problem(&text().replace("vm-1 = 127.0.0.1:3", "vm-1 = 127.0.0.1:9"));
    let any = problem(&text().replace("vm-2 = 127.0.0.1:23", "vm-2 = 0.0.0.0:23"));

    assert_eq!(
        same.expected,
        "an address other than that of [entry] listen"
    );
    assert_eq!(own.expected, "the own address, as in [dispatch] advertise");
    assert_eq!((any.section.as_str(), any.key.as_str()), ("peers", "vm-2"));
}

/// Guards against a panic on a file that is absent or is not INI.
#[test]
fn unreadable_files_are_problems() {
    let absent = open(sample("port-louis", 10)).expect_err("absent");
    let broken = read("[vm\nname").expect_err("not INI");

    assert!(
        absent[0].expected.starts_with("a readable text file"),
        "{absent:?}"
    );
    assert!(broken[0].expected.starts_with("an INI file"), "{broken:?}");
}
