//! Tests of the text form of bundles, which has to be parsed as an operator reads it, or rejected.

#[path = "fixtures/bundle.rs"]
mod fixture;

use kumquat_state::bundle::{Problem, UpstreamState, parse, render, text};
use kumquat_state::ident::Version;
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A small valid bundle.
const BUNDLE_TEXT: &str = include_str!("fixtures/bundle.ini");

const SEED: u64 = 21;

fn parse_problems(text: &str) -> Vec<Problem> {
    parse(text).expect_err("the text has problems")
}

/// Replaces the first occurrence of a text in the bundle, and returns the only problem of the result.
fn only_problem(from: &str, to: &str) -> Problem {
    assert!(BUNDLE_TEXT.contains(from), "{from:?} is not in the text");
    let found = parse_problems(&BUNDLE_TEXT.replacen(from, to, 1));
    assert_eq!(found.len(), 1, "{found:#?}");
    found[0].clone()
}

/// Guards against values and defaults that are parsed incorrectly.
#[test]
fn valid_text_is_parsed() {
    let bundle = parse(BUNDLE_TEXT).unwrap();
    assert_eq!(bundle.version, Version(3));
    assert!(!bundle.is_active(&"b".parse().unwrap()));
    let upstream = bundle.upstream(&"repair-01".parse().unwrap()).unwrap();
    assert_eq!((upstream.cold_slots, upstream.cold_step), (1, 8));
    assert!(bundle.takes_work(upstream));
    let draining = bundle.upstream(&"payments-01".parse().unwrap()).unwrap();
    assert_eq!(draining.state, UpstreamState::Draining);
    assert_eq!(bundle.placements[0].key, 0x0123_4567_89ab_cdef);
    assert!(bundle.route("/repairs/17").unwrap().idempotent);
}

/// Guards against a bundle that changes in a round trip through its text form.
#[test]
fn rendered_bundles_round_trip() {
    fn round_trips(seed: u64) -> bool {
        let bundle = fixture::random_bundle(&mut StdRng::seed_from_u64(seed), 40);
        parse(&render(&bundle)).as_ref() == Ok(&bundle)
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(200)
        .quickcheck(round_trips as fn(u64) -> bool);
}

/// Guards against parsing that stops at the first problem; all kinds of problems are reported with their lines.
#[test]
fn all_problems_are_reported_at_once() {
    let text = BUNDLE_TEXT
        .replacen("rate = 100", "rate = fast\nrat = 1", 1)
        .replacen("data-centre = a\n", "data-centre = c\n", 1)
        .replacen("[route /repairs/]", "[route repairs]", 1)
        .replacen("team = pilots", "team = pilots\nteam = pilots", 1)
        .replacen("burst = 20\n", "", 1)
        + "[gateway x]\nnot a property\n";
    let found = parse_problems(&text);
    let keys: Vec<(Option<usize>, &str)> = found
        .iter()
        .map(|problem| (problem.line, problem.key.as_deref().unwrap_or("-")))
        .collect();
    assert_eq!(
        keys,
        [
            (Some(15), "-"),
            (Some(26), "data-centre"),
            (Some(38), "burst"),
            (Some(39), "rate"),
            (Some(40), "rat"),
            (Some(45), "team"),
            (Some(48), "-"),
            (Some(49), "-"),
        ],
        "{found:#?}"
    );
    assert!(found.iter().all(|problem| !problem.remedy.is_empty()));
}

/// Guards against values and headers that are accepted although they violate a rule.
#[test]
fn rule_violations_are_reported_at_their_key() {
    let cases = [
        ("version = 3", "version = 0", "version"),
        ("state = out", "state = off", "state"),
        ("slots = 1024", "slots = 1048577", "slots"),
        ("kind = pool\n", "kind = pool\nslots = 8\n", "slots"),
        ("deadline-ms = 800", "deadline-ms = 0", "deadline-ms"),
        (
            "data-centres = a, b",
            "data-centres = a, b, a",
            "data-centres",
        ),
        ("data-centres = a, b", "data-centres = a, c", "data-centres"),
        ("data-centres = a, b", "data-centres = b", "data-centre"),
        (
            "service = repair-status\naccess",
            "service = repairs\naccess",
            "service",
        ),
        ("access = open\n", "", "access"),
        ("idempotent = yes", "idempotent = true", "idempotent"),
        ("127.0.0.1:9001", "127.0.0.1:0", "address"),
        ("127.0.0.1:9002", "127.0.0.1:9001", "address"),
        ("connections = 100", "connections = 1", "connections"),
        ("slots = 2\n", "slots = 2\ncold-slots = 3\n", "cold-slots"),
        ("checks-grants = yes\n", "", "checks-grants"),
        ("burst = 20", "burst = +20", "burst"),
        ("weight = 3", "weight = 0", "weight"),
        ("digest = 0011", "digest = AA11", "digest"),
        ("team = pilots", "team = nobody", "team"),
        ("upstream = repair-01", "upstream = payments-01", "upstream"),
    ];
    for (from, to, key) in cases {
        assert_eq!(only_problem(from, to).key.as_deref(), Some(key), "{to:?}");
    }
    // Problems that concern several sections also have the line of the value.
    let line = BUNDLE_TEXT.lines().position(|line| line.ends_with(":9002"));
    let problem = only_problem("127.0.0.1:9002", "127.0.0.1:9001");
    assert_eq!(problem.line, line.map(|index| index + 1));
    let headers = [
        (
            "[team pilots]",
            "[team pilots]\nrate = 1\nburst = 1\n[team pilots]",
        ),
        ("[route /payments/]", "[route /payments//x]"),
        ("[route /payments/]", "[route /payments/../]"),
        (
            "[placement repair-status 0123456789abcdef]",
            "[placement payments 0123456789abcdef]",
        ),
        (
            "[placement repair-status 0123456789abcdef]",
            "[placement repair-status 123]",
        ),
    ];
    for (from, to) in headers {
        assert!(
            parse_problems(&BUNDLE_TEXT.replacen(from, to, 1))
                .iter()
                .all(|problem| problem.line.is_some()),
            "{to:?}"
        );
    }
    assert_eq!(
        only_problem("[bundle]\nversion = 3\n", "").section,
        "bundle"
    );
}

/// Guards against text that the INI parser reads differently from a reviewer.
#[test]
fn ambiguous_lines_are_rejected() {
    let cases = [
        ("rate = 100", "rate = 100\\"),
        ("rate = 100", "rate : 1\nrate = 100"),
        ("rate = 100", "rate\nrate = 100"),
        ("rate = 100", "rate = 1\u{8}00"),
        ("[team pilots]", "[team pilots]]\n[team pilots]"),
    ];
    for (from, to) in cases {
        assert!(
            !parse_problems(&BUNDLE_TEXT.replacen(from, to, 1)).is_empty(),
            "{to:?}"
        );
    }
    // Comments, indentation and CRLF line ends don't change the bundle.
    let text = BUNDLE_TEXT.replace('\n', "\r\n  # rate = 1\r\n \t");
    assert_eq!(parse(&text), parse(BUNDLE_TEXT));
}

/// Guards against problems that quote a caller key that was pasted in place of its digest.
#[test]
fn pasted_caller_keys_are_redacted() {
    let digest = "digest = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
    let secret = format!("kqp_{}", "5a".repeat(32));
    let problem = only_problem(digest, &format!("digest = {secret}"));
    assert!(
        !format!("{problem} {problem:?}").contains("5a5a"),
        "{problem}"
    );
}

/// Guards against bundles with more items than the system is designed for.
#[test]
fn too_many_teams_are_reported() {
    use std::fmt::Write as _;
    let mut text = "[bundle]\nversion = 1\n".to_owned();
    for index in 0..=text::TEAM_LIMIT {
        write!(text, "[team t{index}]\nrate = 1\nburst = 1\n").unwrap();
    }
    let found = parse_problems(&text);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].value.as_deref(), Some("65537 sections"));
}

/// Guards against lists of problems that exhaust memory.
#[test]
fn problems_beyond_the_limit_are_counted() {
    let found = parse_problems(&"x\n".repeat(3 * text::PROBLEM_LIMIT));
    assert_eq!(found.len(), text::PROBLEM_LIMIT + 1);
    assert!(
        found[text::PROBLEM_LIMIT]
            .value
            .as_deref()
            .unwrap()
            .starts_with("20001")
    );
}

/// Guards against panics on malformed text, and against parsed bundles that don't round-trip.
#[test]
fn arbitrary_and_mutated_texts_are_rejected_or_round_trip() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn rejects_arbitrary_text(text: String) -> bool {
        parse(&text).is_err()
    }
    fn mutation_is_rejected_or_round_trips(seed: u64) -> bool {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bytes = BUNDLE_TEXT.as_bytes().to_vec();
        for _ in 0..rng.random_range(1..6) {
            let position = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[position] = rng.random(),
                1 => bytes[position] = b"=[]\n:#;\\\r\"'"[rng.random_range(0..11)],
                2 => bytes.truncate(position.max(1)),
                _ => {
                    let end = (position + rng.random_range(0..100)).min(bytes.len());
                    let copy = bytes[position..end].to_vec();
                    bytes.splice(position..position, copy);
                }
            }
        }
        let text = String::from_utf8_lossy(&bytes);
        parse(&text).map_or_else(
            |problems| !problems.is_empty(),
            |bundle| parse(&render(&bundle)).as_ref() == Ok(&bundle),
        )
    }
    println!("seed {SEED}");
    let runner = |tests| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(400, SEED))
            .tests(tests)
    };
    runner(2_000).quickcheck(rejects_arbitrary_text as fn(String) -> bool);
    runner(10_000).quickcheck(mutation_is_rejected_or_round_trips as fn(u64) -> bool);
}
