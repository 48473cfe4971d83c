//! Tests of the monotonic time.

use kumquat_state::clock::Instant;

/// Guards against an upstream's clock that wraps around, or ends the process, because its answer holds a number too large.
#[test]
fn a_time_beyond_the_range_is_the_latest_one() {
    let latest = Instant::from_millis(u64::MAX);

    assert_eq!(latest, Instant::from_micros(u64::MAX));
}
