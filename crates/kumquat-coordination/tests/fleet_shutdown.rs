//! Tests which requests a VM admits while it stops.

use std::time::Duration;

use kumquat_coordination::fleet::deadline_during_shutdown;
use kumquat_state::clock::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Guards against refusals of requests that end in time whatever happens.
#[test]
fn a_request_whose_deadline_lies_before_the_last_answers_is_admitted_unchanged() {
    let deadline = deadline_during_shutdown(at(3_000), at(5_000), at(4_999), None);

    assert_eq!(deadline, Some(at(4_999)));
}

/// Guards against a request that upstreams work on after the VM has given its last answers.
#[test]
fn a_short_request_with_a_long_deadline_is_admitted_until_the_last_answers() {
    let expected = Some(Duration::from_millis(400));

    let deadline = deadline_during_shutdown(at(3_000), at(5_000), at(9_000), expected);

    assert_eq!(deadline, Some(at(5_000)));
}

/// Guards against a request that is passed on and cut, because nothing or too much is known of its route.
#[test]
fn a_request_that_may_not_end_in_time_is_refused() {
    let slow = Some(Duration::from_millis(1_400));

    assert_eq!(
        deadline_during_shutdown(at(3_000), at(5_000), at(9_000), slow),
        None
    );
    assert_eq!(
        deadline_during_shutdown(at(3_000), at(5_000), at(9_000), None),
        None
    );
}
