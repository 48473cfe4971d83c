//! Guards docs/OPERATIONS.md against the code: operators alert on names that they read there.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Crates whose metrics and log lines the page describes.
const DAEMONS: [&str; 5] = [
    "crates/kumquat-daemon",
    "crates/kumquat-dispatch",
    "crates/kumquat-entry",
    "crates/kumquat-router",
    "platform",
];

/// Starts of the names of metrics.
const PREFIXES: [&str; 3] = ["kumquat_dispatch_", "kumquat_entry_", "kumquat_vm_"];

/// Macros that write log lines at `info` and above.
const MACROS: [&str; 4] = ["info!(", "warn!(", "error!(", "crit!("];

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn page() -> String {
    fs::read_to_string(root().join("docs/OPERATIONS.md")).expect("the page can be read")
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the sources of the daemons in one text.
fn code() -> String {
    let mut files = Vec::new();
    for name in DAEMONS {
        sources(&root().join(name).join("src"), &mut files);
    }
    files
        .iter()
        .map(|file| fs::read_to_string(file).expect("the source can be read"))
        .collect()
}

/// Returns the metrics that follow `before` in a text.
fn metrics<'a>(text: &'a str, before: &str) -> BTreeSet<&'a str> {
    let is_part = |letter: char| letter == '_' || letter.is_ascii_alphanumeric();
    PREFIXES
        .iter()
        .flat_map(|prefix| {
            let start = format!("{before}{prefix}");
            text.match_indices(&start)
                .map(|(at, _)| {
                    let name = &text[at + before.len()..];
                    &name[..name.find(|letter| !is_part(letter)).unwrap_or(name.len())]
                })
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Returns the messages of the log lines at `info` and above.
fn messages(code: &str) -> BTreeSet<&str> {
    MACROS
        .iter()
        .flat_map(|start| code.match_indices(start))
        .filter_map(|(at, start)| {
            // The first literal of the call is the message.
            let call = &code[at + start.len()..];
            call.split('"').nth(1)
        })
        .collect()
}

/// Guards against a metric that operators don't know of, and against an alert on one that does not exist.
#[test]
fn page_names_exactly_the_metrics_of_the_daemons() {
    let (code, page) = (code(), page());

    let in_code = metrics(&code, "\"");
    let on_page = metrics(&page, "");

    assert!(
        in_code.len() > 20,
        "too few metrics were found: {in_code:?}"
    );
    assert_eq!(on_page, in_code);
}

/// Guards against log lines that operators can't look up.
#[test]
fn page_lists_the_log_lines_of_the_daemons() {
    let (code, page) = (code(), page());

    let missing: Vec<&str> = messages(&code)
        .into_iter()
        .filter(|message| !page.contains(&format!("`{message}`")))
        .collect();

    assert_eq!(missing, Vec::<&str>::new());
    assert!(messages(&code).len() > 10, "too few log lines were found");
}

/// Guards against a check that overlooks names because of the way in which they are written.
#[test]
fn names_are_found_in_the_forms_in_use() {
    let code = "counter(\n    \"kumquat_entry_new_total\",\n    \"Help.\")";
    let page = "| `kumquat_dispatch_old` |, kumquat_entry_new_total{reason=\"x\"}";
    let log =
        "warn!(\n    self.log,\n    \"one line\"\n); slog::info!(log, \"other\"; \"key\" => 1);";

    assert_eq!(
        metrics(code, "\""),
        BTreeSet::from(["kumquat_entry_new_total"])
    );
    assert_eq!(
        metrics(page, ""),
        BTreeSet::from(["kumquat_dispatch_old", "kumquat_entry_new_total"])
    );
    assert_eq!(messages(log), BTreeSet::from(["one line", "other"]));
}

/// Guards against settings that operators can't look up.
#[test]
fn page_lists_every_key_of_the_sample_settings() {
    let page = page();
    let sample = fs::read_to_string(root().join("samples/port-louis/vm-1.ini"))
        .expect("the sample can be read");
    let free = ["peers", "signers"];
    let mut section = "";

    for line in sample.lines() {
        if let Some(header) = line.strip_prefix('[') {
            section = header.trim_end_matches(']');
            assert!(page.contains(&format!("`[{section}]`")), "[{section}]");
        } else if let Some((key, _)) = line.split_once(" = ")
            && !free.contains(&section)
        {
            assert!(page.contains(&format!("`{key}`")), "[{section}] {key}");
        }
    }
}
