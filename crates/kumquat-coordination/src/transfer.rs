//! The `transfer` module provides the time limit of a message whose size is not known when its transfer begins.
//!
//! It answers messages of a megabyte on links of 10 Mbit/s, for which a limit that suits small ones is too short. A limit
//! that suits large ones would be too long for a peer that has gone silent. See `docs/CAPACITY.md`.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Limits of a transfer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest time without a byte.
    pub max_pause: Duration,
    /// Bytes per second that the transfer has to reach on average, after the first `max_pause`.
    pub min_rate_per_s: f64,
}

/// A transfer in progress.
#[derive(Clone, Debug)]
pub struct Transfer {
    limits: Limits,
    started_at: Instant,
    last_progress_at: Instant,
    received_bytes: usize,
}

impl Transfer {
    /// Begins a transfer.
    #[must_use]
    pub const fn new(limits: Limits, now: Instant) -> Self {
        Self {
            limits,
            started_at: now,
            last_progress_at: now,
            received_bytes: 0,
        }
    }

    /// Notes that bytes have arrived.
    pub const fn record(&mut self, now: Instant, bytes: usize) {
        self.received_bytes = self.received_bytes.saturating_add(bytes);
        self.last_progress_at = now;
    }

    /// Returns when the transfer is given up unless further bytes arrive.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a message has far fewer than 2^52 bytes"
    )]
    pub fn deadline(&self) -> Instant {
        let earned_s = self.received_bytes as f64 / self.limits.min_rate_per_s;
        let earned = Duration::try_from_secs_f64(earned_s).unwrap_or(Duration::MAX);
        let slowest = self.started_at + self.limits.max_pause.saturating_add(earned);
        slowest.min(self.last_progress_at + self.limits.max_pause)
    }
}
