//! Guards the examples that docs/embedding.md quotes: embedders start from them.

#[path = "../examples/rate_limit.rs"]
#[allow(
    dead_code,
    reason = "the test does not call the example's main function"
)]
mod rate_limit;
#[path = "../examples/takeover.rs"]
#[allow(
    dead_code,
    reason = "the test does not call the example's main function"
)]
mod takeover;

use std::fs;
use std::path::Path;
use std::time::Duration;

use kumquatpond::state::clock::Instant;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Guards against two VMs that act for one role, and against a takeover that takes longer than the 2 s of section 1.3.
#[test]
fn successor_takes_over_alone_within_the_stated_time() {
    let loss = Instant::from_millis(2_000);

    let changes = takeover::run();

    assert!(
        changes.iter().all(|change| change.acting.len() <= 1),
        "two VMs act: {changes:?}"
    );
    let acting = |change: &takeover::Change| {
        change
            .acting
            .first()
            .map(|(holder, acting)| (holder.vm.to_string(), acting.fencing_token))
    };
    let holders: Vec<_> = changes.iter().filter_map(acting).collect();
    let [first, second] = holders.as_slice() else {
        panic!("one takeover is expected: {changes:?}");
    };
    assert_eq!((&*first.0, &*second.0), ("vm-1", "vm-2"));
    assert!(first.1 < second.1, "the fencing token does not grow");
    let last = changes.last().expect("there are changes");
    assert!(last.at > loss && last.at <= loss + Duration::from_secs(2));
}

/// Guards against a team that gets more than its rate because it uses several entries, and against one that gets nothing.
#[test]
fn team_gets_its_rate_over_both_entries_and_no_more() {
    let totals = rate_limit::run();

    assert!(
        totals.admitted <= rate_limit::allowed(),
        "{totals:?} exceeds rate and burst"
    );
    assert!(
        totals.admitted >= rate_limit::allowed() * 9 / 10,
        "{totals:?} is less than nine tenths of what the team may have"
    );
    assert!(totals.refused > 0, "{totals:?}: nothing was refused");
}

/// Guards against a page that shows code which no longer compiles.
#[test]
fn page_quotes_the_examples_word_for_word() {
    let page = read("docs/embedding.md");
    let examples = [
        read("crates/kumquatpond/examples/takeover.rs"),
        read("crates/kumquatpond/examples/rate_limit.rs"),
    ];

    let quotes: Vec<&str> = page
        .split("```rust\n")
        .skip(1)
        .map(|rest| rest.split("```").next().unwrap_or(rest))
        .collect();

    assert!(!quotes.is_empty(), "the page quotes nothing");
    for quote in quotes {
        assert!(
            examples.iter().any(|example| example.contains(quote)),
            "not in any example:\n{quote}"
        );
    }
}
