//! The `budget` module limits and spreads the calls of one VM to the store: jittered exponential backoff and a token
//! bucket.
//!
//! Both are pure. Time is an argument and the jitter comes from a seed, so that a run can be repeated. See
//! `docs/design.md`, section 6.

use std::time::Duration;

pub use kumquat_coordination::backoff::{Backoff, Delays};
use kumquat_state::clock;

/// One token in the unit of the bucket. A rate per second then adds its own value each microsecond.
const TOKEN: u64 = 1_000_000;

/// Token bucket for the calls of one VM.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u64,
    burst: u64,
    level: u64,
    at: clock::Instant,
}

impl Budget {
    /// Creates a full bucket with `rate` calls per second and `burst` calls at once.
    #[must_use]
    pub fn new(rate: u32, burst: u32, now: clock::Instant) -> Self {
        let burst = u64::from(burst) * TOKEN;
        Self {
            rate: u64::from(rate),
            burst,
            level: burst,
            at: now,
        }
    }

    /// Takes one call out of the budget, if there is one.
    #[must_use]
    pub fn take(&mut self, now: clock::Instant) -> bool {
        self.refill(now);
        let Some(level) = self.level.checked_sub(TOKEN) else {
            return false;
        };
        self.level = level;
        true
    }

    /// Returns the time until a call is in the budget, or `None` if there will never be one.
    #[must_use]
    pub fn wait(&mut self, now: clock::Instant) -> Option<Duration> {
        self.refill(now);
        let missing = TOKEN.saturating_sub(self.level);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.rate == 0 || self.burst < TOKEN {
            return None;
        }
        Some(Duration::from_micros(missing.div_ceil(self.rate)))
    }

    fn refill(&mut self, now: clock::Instant) {
        let elapsed = now.saturating_since(self.at).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let gained = elapsed.saturating_mul(self.rate);
        self.level = self.level.saturating_add(gained).min(self.burst);
        // A clock value from before the last call must not be counted twice.
        self.at = self.at.max(now);
    }
}
