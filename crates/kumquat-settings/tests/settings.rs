//! Tests of parsing and validating the settings files of the daemons.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use kumquat_settings::{LogLevel, Problem, Settings, open, parse};

/// A secret as hexadecimal digits; its first byte is 0x5e, decimal 94.
const HEX_SECRET: &str = "5e0000000000000000000000000000000000000000000000000000000000005e";

fn sample_path(deployment: &str, number: usize) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(deployment)
        .join(format!("vm-{number}.ini"))
}

/// Returns the text of a valid file without optional keys, which tests modify.
fn valid_text() -> String {
    format!(
        "[vm]\nname = vm-1\ndata-centre = ebene\n\
         [entry]\nlisten = 127.0.0.1:1\nadmin = 127.0.0.1:2\n\
         [dispatch]\nlisten = 127.0.0.1:3\nadvertise = 127.0.0.1:3\nadmin = 127.0.0.1:4\n\
         [peers]\nvm-3 = 127.0.0.1:13\nvm-1 = 127.0.0.1:3\nvm-2 = 127.0.0.1:23\n\
         [store]\nurl = http://127.0.0.1:5\n\
         [list]\nurl = http://127.0.0.1:6\n\
         [secrets]\ncell = {HEX_SECRET}\ndigest = {HEX_SECRET}\n\
         [signers]\nthreshold = 1\npriya = {}\n",
        "ab".repeat(32)
    )
}

fn parse_text(text: &str) -> Result<Settings, Vec<Problem>> {
    parse(text, Path::new("folder/vm-1.ini"))
}

/// Returns the problem of a text that has exactly one.
fn only_problem(text: &str) -> Problem {
    let problems = parse_text(text).expect_err("a problem");
    assert_eq!(problems.len(), 1, "{problems:?}");
    problems[0].clone()
}

/// Guards against sample files that are invalid, or whose daemons can't run on one machine because addresses collide.
#[test]
fn sample_files_are_valid_and_use_distinct_addresses() {
    let mut addresses = BTreeSet::new();
    for deployment in ["port-louis", "dar-es-salaam"] {
        let mut data_centres = BTreeSet::new();
        for number in 1..=9 {
            let settings = open(sample_path(deployment, number)).expect("valid sample");
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

/// Guards against unintended changes of defaults, and against a VM that appears among its own peers.
#[test]
fn missing_optional_keys_have_their_defaults() {
    let settings = parse_text(&valid_text()).expect("valid");

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

/// Guards against a parser that stops at the first problem, so that operators would need one attempt per problem.
#[test]
fn all_problems_are_reported_at_once() {
    let text = valid_text()
        .replace("name = vm-1", "name = VM_1")
        .replace("127.0.0.1:2\n", "localhost:2\n")
        .replace("threshold = 1", "threshold = 2")
        .replace("http://127.0.0.1:6", "https://127.0.0.1:6")
        + "[log]\nlevel = loud\n";

    let problems = parse_text(&text).expect_err("problems");

    let locations = problems
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
    assert_eq!(locations, expected);
    assert_eq!(
        problems[1].to_string(),
        "folder/vm-1.ini: [entry] admin = \"localhost:2\": expected IP:port, such as 10.0.0.1:8080"
    );
}

/// Guards against an empty file that is accepted or for which only the first missing key is reported.
#[test]
fn all_missing_required_keys_are_reported() {
    let problems = parse_text("").expect_err("problems");

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

/// Guards against misspelt sections and keys that are silently ignored.
#[test]
fn unknown_sections_and_keys_are_reported_with_a_suggestion() {
    let key = only_problem(&valid_text().replace("[entry]\n", "[entry]\nbody-limits = 1m\n"));
    let section = only_problem(&(valid_text() + "[logs]\nlevel = info\n"));
    let dissimilar = only_problem(&(valid_text() + "[metrics]\n x = 1\n"));
    let outside = only_problem(&("level = info\n".to_owned() + &valid_text()));

    assert_eq!(key.expected, "a known key; did you mean \"body-limit\"?");
    assert_eq!(section.expected, "a known section; did you mean \"log\"?");
    assert_eq!(dissimilar.expected, "a known section");
    assert_eq!(outside.expected, "each key within a section");
}

/// Guards against a repeated key or section that silently overrides the first one or is ignored.
#[test]
fn repeated_sections_and_keys_are_reported() {
    let key = only_problem(&valid_text().replace("[list]\n", "[list]\nurl = http://127.0.0.1:7\n"));
    let section = only_problem(&(valid_text() + "[store]\n"));

    assert_eq!(key.expected, "each key once in its section");
    assert_eq!(section.expected, "each section once");
}

/// Guards against secrets in debug output and in problems, including misspelt keys and sections.
#[test]
fn secrets_are_redacted_in_debug_output_and_problems() {
    let settings = parse_text(&valid_text()).expect("valid");
    let cases = [
        valid_text().replace(
            &format!("cell = {HEX_SECRET}"),
            &format!("cell = {HEX_SECRET}0"),
        ),
        valid_text().replace(
            &format!("cell = {HEX_SECRET}"),
            &format!("cell = {HEX_SECRET}\ncel = {HEX_SECRET}"),
        ),
        valid_text().replace(
            &format!("cell = {HEX_SECRET}"),
            &format!("cell = ./{HEX_SECRET}"),
        ),
        valid_text() + &format!("[secret]\ncell = {HEX_SECRET}\n"),
    ];

    assert!(!format!("{settings:?}").contains("5e"));
    assert!(!format!("{settings:?}").contains("94, "));
    for case in cases {
        let problems = parse_text(&case).expect_err("problem");
        let shown = format!("{problems:?}");
        assert!(!shown.contains(HEX_SECRET), "{shown}");
    }
}

/// Guards against one key that counts as two signers, and against a threshold of zero or above the number of signers.
#[test]
fn duplicate_signer_keys_and_invalid_thresholds_are_reported() {
    let duplicate = only_problem(&(valid_text() + &format!("kevin = {}\n", "ab".repeat(32))));
    let too_high = only_problem(&valid_text().replace("threshold = 1", "threshold = 2"));
    let zero = only_problem(&valid_text().replace("threshold = 1", "threshold = 0"));

    assert_eq!(duplicate.expected, "a key that no other signer has");
    assert_eq!(too_high.expected, "at most the number of signers, 1");
    assert_eq!(zero.expected, "a whole number above 0");
}

/// Guards against listeners with the same address, a VM whose own peer entry differs from its advertised address, and
/// peers with an unspecified address.
#[test]
fn colliding_and_unreachable_addresses_are_reported() {
    let colliding =
        only_problem(&valid_text().replace("admin = 127.0.0.1:4", "admin = 127.0.0.1:1"));
    let own_entry = only_problem(&valid_text().replace("vm-1 = 127.0.0.1:3", "vm-1 = 127.0.0.1:9"));
    let unspecified =
        only_problem(&valid_text().replace("vm-2 = 127.0.0.1:23", "vm-2 = 0.0.0.0:23"));

    assert_eq!(
        colliding.expected,
        "an address other than that of [entry] listen"
    );
    assert_eq!(
        own_entry.expected,
        "the own address, as in [dispatch] advertise"
    );
    assert_eq!(
        (unspecified.section.as_str(), unspecified.key.as_str()),
        ("peers", "vm-2")
    );
}

/// Guards against a panic on a file that is missing or is not INI.
#[test]
fn missing_and_malformed_files_are_reported() {
    let missing = open(sample_path("port-louis", 10)).expect_err("absent");
    let malformed = parse_text("[vm\nname").expect_err("not INI");

    assert!(
        missing[0].expected.starts_with("a readable text file"),
        "{missing:?}"
    );
    assert!(
        malformed[0].expected.starts_with("an INI file"),
        "{malformed:?}"
    );
}
