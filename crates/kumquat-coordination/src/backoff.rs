//! The `backoff` module provides exponential backoff with jitter for retries, such as those of failed store calls.
//!
//! The jitter comes from a seeded generator, so that a run can be reproduced. See `docs/design.md`, section 6.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

/// Bounds of the delays of a [`Backoff`], before jitter shortens each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delays {
    /// Upper bound of the first delay; each further attempt doubles it.
    pub initial: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

impl Default for Delays {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(50),
            max: Duration::from_secs(5),
        }
    }
}

/// Exponential backoff with jitter.
#[derive(Debug)]
pub struct Backoff {
    delays: Delays,
    /// Upper bound of the next delay; may exceed `delays.max`, which caps it on use.
    current_max: Duration,
    rng: SmallRng,
}

impl Backoff {
    /// Creates a backoff that starts with the initial delay.
    ///
    /// VMs need different seeds; with equal seeds they would all retry at the same time.
    #[must_use]
    pub fn new(delays: Delays, seed: u64) -> Self {
        Self {
            delays,
            current_max: delays.initial,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the time to wait before the next attempt, drawn between half of the current bound and all of it.
    ///
    /// The lower bound of one half limits the call rate of a VM during an outage, whatever the seed.
    pub fn next_delay(&mut self) -> Duration {
        let max_delay = self.current_max.min(self.delays.max);
        self.current_max = max_delay.saturating_mul(2);
        max_delay.mul_f64(self.rng.random_range(0.5..=1.0))
    }

    /// Returns to the initial delay; called after a success.
    pub fn reset(&mut self) {
        self.current_max = self.delays.initial;
    }
}
