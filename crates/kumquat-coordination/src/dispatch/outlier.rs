//! The `outlier` module provides outlier detection for one upstream: whether it is a straggler, and for how long it is
//! ejected.
//!
//! See "Stragglers" in `docs/design.md`, section 5.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::latency::LatencyMean;

/// Ratio of an upstream's mean latency to the group latency above which the upstream counts as a straggler.
pub(crate) const STRAGGLER_RATIO: f64 = 3.0;

/// Ratio of a sample to the group latency at which the sample is clamped before it enters the mean.
///
/// Without the clamp, a single very slow request of a service with heavy-tailed latency would make its upstream an
/// outlier.
pub(crate) const MAX_SAMPLE_RATIO: f64 = 6.0;

/// Latency samples below which an upstream is never a suspect.
const MIN_SAMPLES: u32 = 3;

/// Consecutive failed attempts that eject an upstream.
const CONSECUTIVE_FAILURES: u32 = 5;

/// Time for which a suspect is limited to one request at a time before it is ejected.
const SUSPECT_PERIOD: Duration = Duration::from_millis(50);

/// Length of the first ejection; it doubles with each further ejection.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection, which bounds how long a recovered upstream stays unused.
const MAX_EJECTION: Duration = Duration::from_mins(1);

/// Time since the last reinstatement after which the length of an ejection starts again at [`INITIAL_EJECTION`].
const EJECTION_RESET: Duration = Duration::from_mins(2);

/// Whether an upstream receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutlierState {
    /// Receives requests up to its concurrency limit.
    Healthy,
    /// Has been slow since this time and receives one request at a time.
    Suspect(Instant),
    /// Receives no requests until this time.
    Ejected(Instant),
}

/// Outlier detection of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct OutlierDetector {
    pub(crate) state: OutlierState,
    consecutive_failures: u32,
    recent_ejections: u32,
    reinstated_at: Instant,
}

impl OutlierDetector {
    pub(crate) fn new() -> Self {
        Self {
            state: OutlierState::Healthy,
            consecutive_failures: 0,
            recent_ejections: 0,
            reinstated_at: Instant::ORIGIN,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, OutlierState::Ejected(_))
    }

    pub(crate) fn is_suspect(&self) -> bool {
        matches!(self.state, OutlierState::Suspect(_))
    }

    /// Compares the recent latency with that of the group; returns whether the upstream should be ejected now.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        recent_latency: LatencyMean,
        group_latency_s: f64,
    ) -> bool {
        if recent_latency.sample_count() < MIN_SAMPLES {
            return false;
        }
        let is_slow = recent_latency.value_s() > group_latency_s * STRAGGLER_RATIO;
        match self.state {
            OutlierState::Healthy if is_slow => {
                self.state = OutlierState::Suspect(now);
                false
            }
            OutlierState::Suspect(_) if !is_slow => {
                self.state = OutlierState::Healthy;
                false
            }
            OutlierState::Suspect(since) => now.saturating_since(since) >= SUSPECT_PERIOD,
            OutlierState::Healthy | OutlierState::Ejected(_) => false,
        }
    }

    /// Counts a failed attempt; returns whether the upstream should be ejected now.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_failures >= CONSECUTIVE_FAILURES && !self.is_ejected()
    }

    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Ejects the upstream and returns the time at which it is reinstated.
    pub(crate) fn eject(&mut self, now: Instant) -> Instant {
        if now.saturating_since(self.reinstated_at) > EJECTION_RESET {
            self.recent_ejections = 0;
        }
        let ejection = INITIAL_EJECTION
            .saturating_mul(1 << self.recent_ejections.min(6))
            .min(MAX_EJECTION);
        self.recent_ejections += 1;
        self.consecutive_failures = 0;
        let until = now + ejection;
        self.state = OutlierState::Ejected(until);
        until
    }

    /// Ends the ejection if it has expired; returns whether it has.
    pub(crate) fn reinstate(&mut self, now: Instant) -> bool {
        let is_due = matches!(self.state, OutlierState::Ejected(until) if until <= now);
        if is_due {
            self.state = OutlierState::Healthy;
            self.reinstated_at = now;
        }
        is_due
    }
}
