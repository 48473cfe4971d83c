//! The `budget` module provides the token bucket that limits hedged requests and retries relative to the attempts sent.

/// Token bucket that is refilled by attempts sent instead of by time; each extra attempt takes one token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl Budget {
    /// Creates an empty budget that gains `ratio` tokens per attempt sent and holds at most `capacity` tokens.
    pub(crate) fn new(ratio: f64, capacity: f64) -> Self {
        Self {
            ratio,
            capacity,
            tokens: 0.0,
        }
    }

    /// Creates a budget that starts with `capacity` tokens.
    pub(crate) fn full(ratio: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            ..Self::new(ratio, capacity)
        }
    }

    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn try_withdraw(&mut self) -> bool {
        let is_withdrawn = self.has_token();
        if is_withdrawn {
            self.tokens -= 1.0;
        }
        is_withdrawn
    }
}
