//! The `bucket` module provides the token bucket that bounds rates.

use kumquat_state::clock::Instant;

/// A token bucket whose balance may become negative, as a debt that the refill repays first.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    /// Tokens per second.
    rate: f64,
    /// Largest number of tokens.
    burst: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second up to `burst`.
    #[must_use]
    pub const fn new(now: Instant, rate: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            rate,
            burst,
            refilled_at: now,
        }
    }

    /// Changes rate and burst; tokens above the new burst are discarded.
    pub fn set_limits(&mut self, now: Instant, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes a token if at least one is available, and returns whether it did.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_acquired = self.tokens >= 1.0;
        if is_acquired {
            self.tokens -= 1.0;
        }
        is_acquired
    }

    /// Takes a token even if none is available.
    pub fn force_acquire(&mut self, now: Instant) {
        self.debit(now, 1.0);
    }

    /// Takes `amount` tokens even if fewer are available; a negative amount adds tokens, up to the burst.
    pub fn debit(&mut self, now: Instant, amount: f64) {
        self.refill(now);
        self.tokens = (self.tokens - amount).min(self.burst);
    }

    /// Returns the available tokens; a debt is negative.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Adds a token back that was taken but not used.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    /// Returns the seconds from the last refill until a token is available, infinite at a rate of zero.
    #[must_use]
    pub fn wait_s(&self) -> f64 {
        if self.tokens >= 1.0 {
            0.0
        } else if self.rate > 0.0 {
            (1.0 - self.tokens) / self.rate
        } else {
            f64::INFINITY
        }
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_since(self.refilled_at).as_secs_f64();
        // At an infinite rate and no elapsed time the sum is not a number, of which `min` takes the burst.
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
