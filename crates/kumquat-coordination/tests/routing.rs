//! Guards the retry decision: a wrong one executes a request twice or refuses one that could have been served.

use std::time::Duration;

use kumquat_coordination::routing::{Attempts, Failure, FailureCause, RetryBudget, RetryDecision};
use kumquat_state::clock::Instant;
use quickcheck::QuickCheck;

fn failure(cause: FailureCause, may_have_run: bool) -> Failure {
    Failure {
        cause,
        may_have_run,
        retry_after: None,
    }
}

fn cause(number: u8) -> FailureCause {
    [
        FailureCause::Moved,
        FailureCause::Busy,
        FailureCause::Interrupted,
        FailureCause::NotRetryable,
    ][usize::from(number % 4)]
}

/// Guards against a second execution of a non-idempotent request after an attempt that may have run.
#[test]
fn non_idempotent_request_is_not_retried_after_an_attempt_that_may_have_run() {
    fn property(failures: Vec<(u8, bool)>) -> bool {
        let mut attempts = Attempts::new(false, Instant::from_millis(5_000), 3);
        let mut budget = RetryBudget::default();
        let mut now = Instant::ORIGIN;
        let mut may_have_run = false;
        for (number, ran) in failures {
            may_have_run |= ran;
            match attempts.on_failure(now, failure(cause(number), ran), true, &mut budget) {
                RetryDecision::Retry { after } if may_have_run => {
                    panic!("retried after {after:?} although it may have run")
                }
                RetryDecision::Retry { after } => now = now + after,
                RetryDecision::GiveUp {
                    may_have_run: reported,
                    ..
                } => return reported == may_have_run,
            }
        }
        true
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

/// Guards against attempts that can't complete before the deadline.
#[test]
fn no_retry_without_time_before_the_deadline() {
    let mut attempts = Attempts::new(true, Instant::from_millis(10), 0);

    let next = attempts.on_failure(
        Instant::from_millis(9),
        failure(FailureCause::Moved, false),
        true,
        &mut RetryBudget::default(),
    );

    assert!(matches!(
        next,
        RetryDecision::GiveUp {
            may_have_run: false,
            ..
        }
    ));
}

/// Guards against retries that multiply the load of a service whose responses are interrupted.
#[test]
fn retries_of_interrupted_attempts_are_bounded_by_the_budget() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;

    for _ in 0..1_000 {
        budget.deposit();
        let mut attempts = Attempts::new(true, Instant::from_millis(60_000), 0);
        let next = attempts.on_failure(
            Instant::ORIGIN,
            failure(FailureCause::Interrupted, true),
            true,
            &mut budget,
        );
        retries += u32::from(matches!(next, RetryDecision::Retry { .. }));
    }

    // A tenth of the requests plus the burst of the retry budget.
    assert!(retries <= 120, "{retries} retries");
}

/// Guards against the refusal of a request that another group could have served.
#[test]
fn request_to_a_busy_group_is_retried_at_another_group_without_delay() {
    let mut attempts = Attempts::new(false, Instant::from_millis(100), 1);
    let mut budget = RetryBudget::default();

    let first = attempts.on_failure(
        Instant::ORIGIN,
        failure(FailureCause::Busy, false),
        true,
        &mut budget,
    );
    let second = attempts.on_failure(
        Instant::ORIGIN,
        failure(FailureCause::Busy, false),
        true,
        &mut budget,
    );

    assert_eq!(
        first,
        RetryDecision::Retry {
            after: Duration::ZERO
        }
    );
    assert!(matches!(
        second,
        RetryDecision::GiveUp {
            may_have_run: false,
            ..
        }
    ));
}
