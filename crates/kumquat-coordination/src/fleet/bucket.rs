//! The `bucket` module provides the token bucket that bounds rates.

use kumquat_state::clock::Instant;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: f64,
    rate: f64,
    burst: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens a second and holds `burst` at most.
    #[must_use]
    pub const fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            level: burst,
            rate,
            burst,
            updated: now,
        }
    }

    /// Changes rate and size; tokens above the new size are lost.
    pub fn set_limits(&mut self, now: Instant, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes a token if there is one.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_taken = self.level >= 1.0;
        if is_taken {
            self.level -= 1.0;
        }
        is_taken
    }

    /// Takes a token even if that leaves a debt.
    pub fn force_acquire(&mut self, now: Instant) {
        self.debit(now, 1.0);
    }

    /// Takes tokens even if that leaves a debt; a negative number returns tokens.
    pub fn debit(&mut self, now: Instant, tokens: f64) {
        self.refill(now);
        self.level = (self.level - tokens).min(self.burst);
    }

    /// Returns the tokens that are there; a debt is negative.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Returns a token that was not used.
    pub fn refund(&mut self) {
        self.level = (self.level + 1.0).min(self.burst);
    }

    /// Returns the seconds until a token is there.
    #[must_use]
    pub fn wait_s(&self) -> f64 {
        if self.level >= 1.0 {
            0.0
        } else if self.rate > 0.0 {
            (1.0 - self.level) / self.rate
        } else {
            f64::INFINITY
        }
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let passed = now.saturating_since(self.updated).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.updated = self.updated.max(now);
    }
}
