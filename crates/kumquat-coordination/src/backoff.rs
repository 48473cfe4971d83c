//! The `backoff` module provides the pauses between tries of something that fails for a while, such as calls to the store.
//!
//! The jitter comes from a seed, so that a run can be repeated. See `docs/design.md`, section 6.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Range of the delays of a [`Backoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delays {
    /// Longest first delay.
    pub first: Duration,
    /// Longest delay of all.
    pub limit: Duration,
}

impl Default for Delays {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(50),
            limit: Duration::from_secs(5),
        }
    }
}

/// Jittered exponential backoff.
#[derive(Debug)]
pub struct Backoff {
    delays: Delays,
    next: Duration,
    rng: SmallRng,
}

impl Backoff {
    /// Creates a backoff. VMs need different seeds, or they would all retry at the same time.
    #[must_use]
    pub fn new(delays: Delays, seed: u64) -> Self {
        Self {
            delays,
            next: delays.first,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the time to wait before the next attempt, between half and the whole of the present delay.
    ///
    /// At least half is always waited, so that the calls of a VM during an outage stay bounded for any seed.
    pub fn delay(&mut self) -> Duration {
        let whole = self.next.min(self.delays.limit);
        self.next = whole.saturating_mul(2);
        whole.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Starts again with the first delay after a success.
    pub fn reset(&mut self) {
        self.next = self.delays.first;
    }
}
