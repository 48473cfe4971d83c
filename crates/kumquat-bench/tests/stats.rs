//! Guards the arithmetic on which all reported figures rest.

use std::time::Duration;

use clap::Parser;
use kumquat_bench::load::{Sample, Samples, Verdict};
use kumquat_bench::ownership::probe::longest_wait;
use kumquat_bench::report::Bound;
use kumquat_bench::settings::Arguments;
use kumquat_bench::stats::{collect, fit, millis, ratio};

/// Guards against a slope or an intercept that is off for points on a line.
#[test]
fn fit_finds_the_line_through_its_points() {
    let points = [(9.0, 28.0), (50.0, 151.0), (200.0, 601.0)];

    let line = fit(&points).expect("a line");

    assert!((line.slope - 3.0).abs() < 1e-9, "{line:?}");
    assert!((line.intercept - 1.0).abs() < 1e-9, "{line:?}");
    assert!((line.at(1_700.0) - 5_101.0).abs() < 1e-6, "{line:?}");
}

/// Guards against a slope out of a single size, which would be a division by zero.
#[test]
fn fit_needs_two_different_points() {
    assert_eq!(fit(&[]), None);
    assert_eq!(fit(&[(9.0, 1.0)]), None);
    assert_eq!(fit(&[(9.0, 1.0), (9.0, 2.0)]), None);
}

/// Guards against quantiles of the wrong rank or in the wrong unit.
#[test]
fn quantiles_are_in_milliseconds() {
    let histogram = collect((1..=100).map(|value| value * 1_000));

    assert!((millis(&histogram, 0.5) - 50.0).abs() < 0.1);
    assert!((millis(&histogram, 0.99) - 99.0).abs() < 0.1);
}

/// Guards against an aim that counts as met although nothing was measured.
#[test]
fn missing_values_meet_no_bound() {
    let nothing = millis(&collect([]), 0.99);

    assert!(!Bound::AtMost(1.0).is_met(nothing));
    assert!(!Bound::AtLeast(1.0).is_met(nothing));
    assert!(ratio(1.0, 0.0).is_nan());
}

/// Guards against shortened runs that are not marked, and against lost options.
#[test]
fn arguments_select_the_length_and_the_folder() {
    let full = Arguments::try_parse_from(["kumquat-bench", "path"]).expect("valid arguments");
    let quick = Arguments::try_parse_from(["kumquat-bench", "path", "--quick", "--out", "x"])
        .expect("valid arguments");

    assert_eq!(full.settings.length(30, 3), Duration::from_secs(30));
    assert_eq!(full.settings.out.to_str(), Some("docs/measurements"));
    assert_eq!(quick.settings.length(30, 3), Duration::from_secs(3));
    assert_eq!(quick.settings.out.to_str(), Some("x"));
    Arguments::try_parse_from(["kumquat-bench"]).expect_err("a missing measurement");
}

fn sample(at: u64, latency: u64, verdict: Verdict) -> Sample {
    Sample {
        at: Duration::from_millis(at),
        latency: Duration::from_millis(latency),
        tag: 0,
        team: 0,
        verdict,
    }
}

/// Guards against unavailable time that hides behind refusals or behind slow answers.
#[test]
fn unavailable_time_spans_refusals_and_slow_answers() {
    let refused = Verdict::Refused(503, true);
    let all = vec![
        sample(0, 1, Verdict::Answered),
        sample(20, 1, refused),
        sample(40, 300, Verdict::Answered),
        sample(60, 200, Verdict::Answered),
        sample(300, 1, Verdict::Answered),
    ];

    let samples = Samples {
        all,
        ..Samples::default()
    };

    // The caller of the refused request would have had its answer at 260 ms at the earliest.
    let wait = longest_wait(&samples, 0, Duration::ZERO);
    assert_eq!(wait, Some(Duration::from_millis(240)));
}

/// Guards against a key that counts as available although it was never served again.
#[test]
fn keys_that_are_never_served_again_have_no_finite_wait() {
    let all = vec![
        sample(0, 1, Verdict::Answered),
        sample(20, 1, Verdict::Broken),
    ];

    let samples = Samples {
        all,
        ..Samples::default()
    };

    assert_eq!(longest_wait(&samples, 0, Duration::ZERO), None);
}
