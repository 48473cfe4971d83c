//! Tests of the comparison of bundles, by which operators review and confirm changes before they are deployed.

#[path = "fixtures/bundle.rs"]
mod fixture;

use kumquat_state::bundle::{Bundle, Change, Surprise, check_change, diff, parse};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// A small valid bundle.
const BUNDLE_TEXT: &str = include_str!("fixtures/bundle.ini");

const SEED: u64 = 22;

type Replacements = &'static [(&'static str, &'static str)];

fn bundle_with(replacements: Replacements) -> Bundle {
    let mut text = BUNDLE_TEXT.to_owned();
    for (from, to) in replacements {
        assert!(text.contains(from), "{from:?} is not in the text");
        text = text.replacen(from, to, 1);
    }
    parse(&text).unwrap()
}

fn diff_lines(from: &Bundle, to: &Bundle) -> Vec<String> {
    diff(from, to).iter().map(Change::to_string).collect()
}

/// Guards against differences that are omitted or shown in the wrong direction.
#[test]
fn diff_shows_each_change() {
    let after = bundle_with(&[
        ("rate = 100", "rate = 150"),
        ("state = out", "state = in"),
        ("[caller-key pilots-1]", "[caller-key pilots-2]"),
        (
            "[placement repair-status 0123456789abcdef]\nupstream = repair-01\n",
            "",
        ),
    ]);
    assert_eq!(
        diff_lines(&bundle_with(&[]), &after),
        [
            "~ data-centre b: state out -> in",
            "~ team pilots: rate 100 -> 150",
            "- caller-key pilots-1",
            "+ caller-key pilots-2: digest \
             00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff, team pilots",
            "- placement repair-status 0123456789abcdef",
        ]
    );
}

/// Guards against a comparison that misses items, by comparing random bundles with an empty one.
#[test]
fn diff_with_an_empty_bundle_contains_every_item() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..50 {
        let bundle = fixture::random_bundle(&mut rng, 30);
        let items = bundle.teams.len()
            + bundle.caller_keys.len()
            + bundle.services.len()
            + bundle.routes.len()
            + bundle.upstreams.len()
            + bundle.data_centres.len()
            + bundle.placements.len();
        assert_eq!(diff(&Bundle::default(), &bundle).len(), items);
        assert_eq!(diff(&bundle, &Bundle::default()).len(), items);
        assert_eq!(diff(&bundle, &bundle), []);
    }
}

/// Guards against probable mistakes that are deployed without confirmation.
#[test]
fn risky_changes_need_confirmation() {
    type Case = (Replacements, &'static [&'static str]);
    let cases: [Case; 6] = [
        (&[("rate = 100", "rate = 9999")], &[]),
        (
            &[("rate = 100", "rate = 10000")],
            &["the rate of team pilots changes from 100 to 10000"],
        ),
        (
            &[("rate = 100", "rate = 1")],
            &["the rate of team pilots changes from 100 to 1"],
        ),
        (
            &[("rate = 100", "rate = 0")],
            &["team pilots has rate 0: all its requests are refused"],
        ),
        (
            &[(
                "checks-grants = yes",
                "checks-grants = yes\nstate = draining",
            )],
            &["no upstream of service repair-status takes work"],
        ),
        (
            &[("[data-centre a]\n", "[data-centre a]\nstate = out\n")],
            &[
                "no upstream of service repair-status takes work",
                "all data centres are out of service",
            ],
        ),
    ];
    for (replacements, expected) in cases {
        let found: Vec<String> = check_change(&bundle_with(&[]), &bundle_with(replacements))
            .iter()
            .map(Surprise::to_string)
            .collect();
        assert_eq!(found, expected, "{replacements:?}");
    }
}

/// Guards against deploying a truncated bundle: removing more than half of the teams or upstreams needs confirmation.
#[test]
fn removing_more_than_half_needs_confirmation() {
    println!("seed {SEED}");
    let mut before = fixture::random_bundle(&mut StdRng::seed_from_u64(SEED), 10);
    before.teams = (0..10)
        .map(|index| kumquat_state::bundle::Team {
            name: format!("t{index}").parse().unwrap(),
            rate: 5,
            burst: 5,
            weight: 1,
        })
        .collect();
    let mut after = before.clone();
    after.teams.truncate(5);
    assert_eq!(check_change(&before, &after), []);
    after.teams.truncate(4);
    assert_eq!(
        check_change(&before, &after),
        [Surprise::TeamsRemoved { removed: 6, of: 10 }]
    );
    after = before.clone();
    after.upstreams.clear();
    let of = before.upstreams.len();
    assert!(
        check_change(&before, &after).contains(&Surprise::UpstreamsRemoved { removed: of, of })
    );
}
