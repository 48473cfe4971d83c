//! The `outstanding` module provides the remaining work of requests in flight, and the wait for a slot that follows.

use kumquat_state::clock::Instant;

/// Remaining work of a request that has run longer than expected, relative to the time it has run.
///
/// In a heavy-tailed distribution the expected remainder grows in proportion to the age; with a tail exponent of 3 it
/// is half of it.
const OVERDUE_FRACTION: f64 = 0.5;

/// Work of one request of this VM in flight at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Identifies the request within this VM.
    pub id: u64,
    /// When the upstream was selected.
    pub started: Instant,
    /// Expected work in seconds.
    pub work_s: f64,
    /// Expected time in the upstream's queue in seconds.
    pub queue_s: f64,
    /// Service time of the upstream relative to the usual one when it was selected.
    pub speed_factor: f64,
}

impl Reservation {
    /// Returns the expected remaining work in seconds.
    #[must_use]
    pub fn remaining_s(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_since(self.started).as_secs_f64();
        let done_s = (elapsed_s - self.queue_s).max(0.0) / self.speed_factor.max(0.1);
        (self.work_s - done_s).max(OVERDUE_FRACTION * done_s)
    }
}

/// Returns the work in seconds until one of an upstream's slots is free, with `remaining` work of the requests in flight
/// there, those in its queue last.
#[must_use]
pub fn slot_wait_s(slots: u32, remaining: &[f64]) -> f64 {
    let slots = usize::try_from(slots.max(1)).unwrap_or(usize::MAX);
    if remaining.len() < slots {
        return 0.0;
    }
    let mut free_at = remaining[..slots].to_vec();
    // Each queued request starts in the slot that is free first.
    for work in &remaining[slots..] {
        if let Some(first) = free_at.iter_mut().min_by(|a, b| a.total_cmp(b)) {
            *first += work;
        }
    }
    free_at.into_iter().fold(f64::INFINITY, f64::min)
}
