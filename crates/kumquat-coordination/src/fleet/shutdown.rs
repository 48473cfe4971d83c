//! The `shutdown` module provides the admission of requests at a VM that stops.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Factor on the longest recent latency of a route, within which a request is expected to end.
const LATENCY_MARGIN: f64 = 1.5;

/// Returns the deadline of a request that comes while the VM stops, or `None` if it can't be expected to end in time.
///
/// `answers_end` is when the VM gives its last answers, `deadline` the request's own deadline, and `expected` the longest
/// recent latency of its route, if one was measured. A request that can run until its deadline is always admitted.
#[must_use]
pub fn deadline_during_shutdown(
    now: Instant,
    answers_end: Instant,
    deadline: Instant,
    expected: Option<Duration>,
) -> Option<Instant> {
    if deadline <= answers_end {
        return Some(deadline);
    }
    let expected = expected?.mul_f64(LATENCY_MARGIN);
    (now + expected <= answers_end).then_some(answers_end)
}
