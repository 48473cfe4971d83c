//! Tests of the pacing of store calls.

use std::time::Duration;

use kumquat_state::clock::Instant;
use kumquat_transport::budget::{Backoff, Budget, Delays};

const SEED: u64 = 7;

/// Guards against VMs that retry in step, faster than allowed, or ever more slowly.
#[test]
fn delays_grow_to_the_limit_with_jitter() {
    let delays = Delays {
        initial: Duration::from_millis(100),
        max: Duration::from_millis(400),
    };
    let mut backoff = Backoff::new(delays, SEED);
    let mut other = Backoff::new(delays, SEED + 1);

    for whole in [100, 200, 400, 400, 400] {
        let whole = Duration::from_millis(whole);
        let delay = backoff.next_delay();
        assert!(
            (whole / 2..=whole).contains(&delay),
            "seed {SEED}: {delay:?} of {whole:?}"
        );
        assert_ne!(delay, other.next_delay(), "seeds {SEED} and {}", SEED + 1);
    }
    backoff.reset();
    assert!(backoff.next_delay() <= delays.initial);
}

/// Guards against a VM that makes more calls than its share of the store's call rate.
#[test]
fn calls_stay_within_burst_and_rate() {
    let mut budget = Budget::new(10, 3, Instant::ORIGIN);

    // Ten seconds in steps of 1 ms allow the burst of 3 and 10 calls in each second.
    let taken = (0..=10_000)
        .filter(|millis| budget.take(Instant::from_millis(*millis)))
        .count();

    assert_eq!(taken, 103);
}

/// Guards against a wait that is too short to be of use, or endless waits that look finite.
#[test]
fn the_wait_ends_when_a_call_is_in_the_budget() {
    let mut budget = Budget::new(10, 1, Instant::ORIGIN);
    let mut none = Budget::new(0, 0, Instant::ORIGIN);
    let start = Instant::from_millis(5);
    assert!(budget.take(start));

    let wait = budget.wait(start).expect("finite");

    assert_eq!(wait, Duration::from_millis(100));
    assert!(!budget.take(start + wait - Duration::from_micros(1)));
    assert!(budget.take(start + wait));
    assert_eq!(none.wait(start), None);
}
