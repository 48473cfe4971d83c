//! Guards the retry decision: a wrong one runs a deposit twice or refuses a request that could have been served.

use std::time::Duration;

use kumquat_coordination::routing::{Attempts, Budget, Cause, Failure, Next};
use kumquat_state::clock::Instant;
use quickcheck::QuickCheck;

fn failure(cause: Cause, may_have_run: bool) -> Failure {
    Failure {
        cause,
        may_have_run,
        retry_after: None,
    }
}

fn cause(number: u8) -> Cause {
    [Cause::Moved, Cause::Busy, Cause::Broken, Cause::Final][usize::from(number % 4)]
}

/// Guards against a second run of a non-idempotent request after a try that may have run.
#[test]
fn non_idempotent_request_never_follows_one_that_may_have_run() {
    fn property(tries: Vec<(u8, bool)>) -> bool {
        let mut attempts = Attempts::new(false, Instant::from_millis(5_000), 3);
        let mut budget = Budget::default();
        let mut now = Instant::ORIGIN;
        let mut may_have_run = false;
        for (number, ran) in tries {
            may_have_run |= ran;
            match attempts.failed(now, failure(cause(number), ran), true, &mut budget) {
                Next::Retry { after } if may_have_run => {
                    panic!("retried after {after:?} although it may have run")
                }
                Next::Retry { after } => now = now + after,
                Next::GiveUp {
                    may_have_run: said, ..
                } => return said == may_have_run,
            }
        }
        true
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

/// Guards against tries that can't be answered before the deadline.
#[test]
fn no_retry_past_the_deadline() {
    let mut attempts = Attempts::new(true, Instant::from_millis(10), 0);

    let next = attempts.failed(
        Instant::from_millis(9),
        failure(Cause::Moved, false),
        true,
        &mut Budget::default(),
    );

    assert!(matches!(
        next,
        Next::GiveUp {
            may_have_run: false,
            ..
        }
    ));
}

/// Guards against retries that multiply the load of a service whose answers break off.
#[test]
fn retries_of_broken_requests_are_bounded_by_the_budget() {
    let mut budget = Budget::default();
    let mut retries = 0;

    for _ in 0..1_000 {
        budget.deposit();
        let mut attempts = Attempts::new(true, Instant::from_millis(60_000), 0);
        let next = attempts.failed(
            Instant::ORIGIN,
            failure(Cause::Broken, true),
            true,
            &mut budget,
        );
        retries += u32::from(matches!(next, Next::Retry { .. }));
    }

    // A tenth of the requests and the budget's burst.
    assert!(retries <= 120, "{retries} retries");
}

/// Guards against a refused request that another group could have answered.
#[test]
fn busy_group_leads_to_another_group_at_once() {
    let mut attempts = Attempts::new(false, Instant::from_millis(100), 1);
    let mut budget = Budget::default();

    let first = attempts.failed(
        Instant::ORIGIN,
        failure(Cause::Busy, false),
        true,
        &mut budget,
    );
    let second = attempts.failed(
        Instant::ORIGIN,
        failure(Cause::Busy, false),
        true,
        &mut budget,
    );

    assert_eq!(
        first,
        Next::Retry {
            after: Duration::ZERO
        }
    );
    assert!(matches!(
        second,
        Next::GiveUp {
            may_have_run: false,
            ..
        }
    ));
}
