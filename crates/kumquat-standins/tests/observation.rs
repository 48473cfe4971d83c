//! Tests of the ledger of observations: each kind of violation is counted, and its allowed neighbour is not.

use std::time::Duration;

use kumquat_standins::observation::{Area, Hold, Ledger, Rate, Report, Run};
use kumquat_state::clock::Instant;

const SLOT: u32 = 5;
const KEY: u64 = 0xab;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn ledger() -> Ledger {
    Ledger::new(Instant::ORIGIN)
}

fn run(upstream: &str, request: u128) -> Run {
    Run {
        service: "catalogue".to_owned(),
        upstream: upstream.to_owned(),
        request,
        team: "island-air".to_owned(),
        idempotent: false,
        key: None,
        grant: None,
    }
}

/// Returns a run of [`KEY`] under a grant of its slot, or without one.
fn keyed(upstream: &str, request: u128, epoch: Option<u64>) -> Run {
    Run {
        key: Some((KEY, SLOT)),
        grant: epoch.map(|epoch| (Area::Slot(SLOT), epoch)),
        ..run(upstream, request)
    }
}

fn hold(ledger: &Ledger, upstream: &str, area: Area, epoch: u64, until: Instant) {
    let hold = Hold { area, epoch, until };
    ledger.granted("catalogue", upstream, &[hold]);
}

/// Records a run that ends at once.
fn pass(ledger: &Ledger, run: &Run, now: Instant) {
    ledger.started(run, now);
    ledger.ended(run);
}

/// Guards against double runs of requests that must not be repeated, and against counting those that may.
#[test]
fn only_non_idempotent_requests_count_as_run_twice() {
    let ledger = ledger();
    let idempotent = Run {
        idempotent: true,
        ..run("a", 2)
    };

    for run in [&run("a", 1), &run("b", 1), &idempotent, &idempotent] {
        pass(&ledger, run, at(0));
    }

    let expected = (4, 2, 1);
    let Report {
        runs,
        requests,
        ran_twice,
        ..
    } = ledger.report();
    assert_eq!((runs, requests, ran_twice), expected);
    assert_eq!(ledger.attempts(1), 2);
}

/// Guards against a refusal that is untrue, whether the run comes before or after it.
#[test]
fn a_refused_request_that_ran_is_counted_once() {
    let ledger = ledger();
    pass(&ledger, &run("a", 1), at(0));

    ledger.report_refusal(1);
    ledger.report_refusal(1);
    ledger.report_refusal(2);
    pass(&ledger, &run("a", 2), at(0));
    ledger.report_refusal(3);

    assert_eq!(ledger.report().false_not_run, 2);
}

/// Guards against a rate that is exceeded, and against counting attempts of one request as several requests.
#[test]
fn requests_above_burst_and_rate_are_counted() {
    let ledger = ledger();
    let rate = Rate {
        team: "island-air".to_owned(),
        rate: 10,
        burst: 2,
    };
    ledger.set_rates(&[rate], at(0));
    let again = Run {
        idempotent: true,
        ..run("a", 1)
    };

    for run in [&again, &again, &run("a", 2), &run("a", 3)] {
        pass(&ledger, run, at(0));
    }
    let above = ledger.report().over_rate;
    pass(&ledger, &run("a", 4), at(100));

    assert_eq!(above, 1);
    assert_eq!(ledger.report().over_rate, 1);
}

/// Guards against a changed rate that reaches back, which would hide or invent violations.
#[test]
fn a_changed_rate_counts_from_its_change() {
    let ledger = ledger();
    let rate = |rate| Rate {
        team: "island-air".to_owned(),
        rate,
        burst: 0,
    };
    ledger.set_rates(&[rate(10)], at(0));
    ledger.set_rates(&[rate(0)], at(200));

    for request in 0..3 {
        pass(&ledger, &run("a", request), at(10_000));
    }

    assert_eq!(ledger.report().over_rate, 1);
}

/// Guards against two owners at once among upstreams without grants, where only running requests tell.
#[test]
fn overlapping_runs_of_one_key_are_counted() {
    let ledger = ledger();
    let first = keyed("a", 1, None);
    ledger.started(&first, at(0));
    ledger.started(&keyed("a", 2, None), at(0));
    let own = ledger.report().wrong_owner;

    ledger.started(&keyed("b", 3, None), at(1));

    assert_eq!(own, 0);
    assert_eq!(ledger.report().wrong_owner, 1);
}

/// Guards against a run at one upstream while another one still holds the slot.
#[test]
fn a_run_under_another_upstreams_grant_is_counted() {
    let ledger = ledger();
    hold(&ledger, "a", Area::Slot(SLOT), 1, at(800));

    pass(&ledger, &keyed("b", 1, Some(2)), at(799));
    pass(&ledger, &keyed("b", 2, Some(2)), at(800));
    let lapsed = ledger.report().wrong_owner;
    hold(&ledger, "a", Area::Slot(SLOT), 3, at(1_600));
    ledger.released("catalogue", "a", Area::Slot(SLOT));
    pass(&ledger, &keyed("b", 3, Some(4)), at(900));

    assert_eq!(lapsed, 1);
    assert_eq!(ledger.report().wrong_owner, 1);
}

/// Guards against an owner that runs requests after a later owner has.
#[test]
fn a_run_at_an_earlier_epoch_is_counted() {
    let ledger = ledger();
    pass(&ledger, &keyed("a", 1, Some(1)), at(0));
    pass(&ledger, &keyed("b", 2, Some(2)), at(1));
    let in_order = ledger.report().wrong_owner;

    pass(&ledger, &keyed("a", 3, Some(1)), at(2));

    assert_eq!(in_order, 0);
    assert_eq!(ledger.report().wrong_owner, 1);
}

/// Guards against a hot key that its slot's owner still runs, and against counting one that has been given away.
#[test]
fn a_key_with_its_own_grant_goes_before_its_slot() {
    let ledger = ledger();
    hold(&ledger, "a", Area::Slot(SLOT), 1, at(800));
    hold(&ledger, "b", Area::Key(KEY), 2, at(800));
    let at_key_owner = Run {
        grant: Some((Area::Key(KEY), 2)),
        ..keyed("b", 1, None)
    };

    pass(&ledger, &at_key_owner, at(1));
    let allowed = ledger.report().wrong_owner;
    pass(&ledger, &keyed("a", 2, Some(1)), at(2));

    assert_eq!(allowed, 0);
    assert_eq!(ledger.report().wrong_owner, 1);
}

/// Guards against a caller key that reaches an upstream unnoticed.
#[test]
fn caller_keys_in_texts_are_counted() {
    let ledger = ledger();
    ledger.register_secret("kq-secret-1");

    ledger.inspect("a path", b"/stock/kq-secret-2");
    let clean = ledger.report().key_leaks;
    ledger.inspect("header x", b"Bearer kq-secret-1");

    assert_eq!(clean, 0);
    assert_eq!(ledger.report().key_leaks, 1);
    assert!(!ledger.report().is_clean());
}

/// Guards against a hold that ends at its first expiry although it was renewed.
#[test]
fn a_renewal_extends_the_hold() {
    let ledger = ledger();
    hold(&ledger, "a", Area::Slot(SLOT), 1, at(800));
    hold(
        &ledger,
        "a",
        Area::Slot(SLOT),
        1,
        at(800) + Duration::from_millis(250),
    );

    pass(&ledger, &keyed("b", 1, Some(2)), at(900));

    assert_eq!(ledger.report().wrong_owner, 1);
}
