//! The `cold` module provides the concurrency limit of one upstream and its cold start (slow start).
//!
//! See "Cold start" in `docs/design.md`, section 5.

use super::Outcome;
use super::latency::LatencyMean;

/// Ratio of the recent latency to the reference latency above which a warm upstream counts as cold.
const COLD_START_LATENCY_RATIO: f64 = 3.0;

/// Ratio of the latency after the ramp to the reference latency up to which a cold upstream counts as warm.
const WARM_LATENCY_RATIO: f64 = 2.0;

/// Length, in multiples of the ramp, for which an upstream that stays slow is kept one slot below its maximum.
///
/// An upstream that turns cold again at the end of its ramp can't be told from one that is always slow. Only the former
/// is overloaded by requests in all its slots, and for no longer than one ramp.
const WITHHELD_SLOT_RAMPS: u32 = 2;

/// Samples below which the baseline is not used as the reference latency.
const MIN_BASELINE_SAMPLES: u32 = 16;

/// Weight of a new sample in the baseline, small enough that the baseline follows slow changes but not a cold start.
const BASELINE_WEIGHT: f64 = 1.0 / 64.0;

/// Failures among the last eight attempts that count as a cold start.
///
/// A single shed request or broken connection may have other causes. A single refused connection is enough, because
/// nothing listens while an upstream restarts.
const COLD_START_FAILURES: u32 = 2;

/// Length, in multiples of the ramp, after which the latency of an upstream that is still slow becomes its baseline.
const MAX_SLOW_RAMPS: u32 = 8;

/// Concurrency limit of one upstream, which grows with its completed requests after a cold start.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    pub(crate) slots: u32,
    pub(crate) cold_slots: u32,
    pub(crate) cold_step: u32,
    is_cold: bool,
    completions: u32,
    /// Number of cold starts; completions of attempts that were sent before the last one don't count.
    generation: u32,
    baseline: LatencyMean,
    /// Latency since the ramp reached all slots.
    post_ramp_latency: LatencyMean,
    /// Outcomes of the last eight attempts, the latest in the lowest bit; a set bit is a failure.
    failure_bits: u8,
}

impl SlowStart {
    /// Creates the limit of an upstream that starts cold.
    pub(crate) fn new(slots: u32, cold_slots: u32, cold_step: u32) -> Self {
        Self {
            slots,
            cold_slots,
            cold_step: cold_step.max(1),
            is_cold: true,
            completions: 0,
            generation: 0,
            baseline: LatencyMean::new(0.0),
            post_ramp_latency: LatencyMean::new(0.0),
            failure_bits: 0,
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.is_cold
    }

    pub(crate) fn generation(&self) -> u32 {
        self.generation
    }

    /// Returns the number of attempts that may be in flight.
    pub(crate) fn limit(&self) -> u32 {
        if !self.is_cold {
            return self.slots;
        }
        let ramp_limit = self.ramp_limit();
        let withholds_last_slot = ramp_limit >= self.slots
            && self.completions < self.completions_after(WITHHELD_SLOT_RAMPS);
        if withholds_last_slot {
            let min_limit = self.cold_slots.clamp(1, self.slots.max(1));
            self.slots.saturating_sub(1).max(min_limit)
        } else {
            ramp_limit
        }
    }

    /// Returns the limit that follows from the completed requests alone.
    fn ramp_limit(&self) -> u32 {
        // With a limit of zero, no request would ever complete and the upstream would stay cold.
        self.cold_slots
            .max(1)
            .saturating_add(self.completions / self.cold_step)
            .min(self.slots)
    }

    /// Returns the number of completed requests that make up this many ramps.
    fn completions_after(&self, ramps: u32) -> u32 {
        self.cold_step
            .saturating_mul(self.slots.max(1))
            .saturating_mul(ramps)
    }

    /// Returns whether the upstream is warm or its ramp has reached all slots.
    pub(crate) fn is_ramp_complete(&self) -> bool {
        !self.is_cold || self.ramp_limit() >= self.slots
    }

    /// Puts the upstream back to its cold limit.
    pub(crate) fn restart(&mut self) {
        self.is_cold = true;
        self.completions = 0;
        self.generation += 1;
        self.post_ramp_latency = LatencyMean::new(0.0);
        self.failure_bits = 0;
    }

    /// Counts a completed attempt that was sent in `generation`; returns whether the upstream has become warm.
    ///
    /// The latency of the group is the reference until the upstream has a baseline of its own.
    pub(crate) fn record_completion(
        &mut self,
        generation: u32,
        latency_s: f64,
        group_latency_s: f64,
    ) -> bool {
        self.failure_bits <<= 1;
        if !self.is_cold || generation != self.generation {
            return false;
        }
        let was_ramp_complete = self.is_ramp_complete();
        self.completions = self.completions.saturating_add(1);
        if !was_ramp_complete {
            return false;
        }
        self.post_ramp_latency.add(latency_s);
        let is_ramp_overdue = self.completions >= self.completions_after(MAX_SLOW_RAMPS);
        if is_ramp_overdue {
            self.baseline =
                LatencyMean::from_samples(self.post_ramp_latency.value_s(), MIN_BASELINE_SAMPLES);
        }
        // At least one step of the ramp has to complete, because the mean of fewer samples is too noisy where service
        // times vary.
        let has_warm_latency = self.post_ramp_latency.sample_count() >= self.cold_step
            && self.post_ramp_latency.value_s()
                <= self.reference_latency_s(group_latency_s) * WARM_LATENCY_RATIO;
        if is_ramp_overdue || has_warm_latency {
            self.is_cold = false;
            return true;
        }
        false
    }

    /// Adds a latency sample to the baseline unless the recent latency indicates a cold start; returns whether it does.
    pub(crate) fn record_latency(
        &mut self,
        sample_s: f64,
        recent_latency: LatencyMean,
        group_latency_s: f64,
    ) -> bool {
        if self.is_cold {
            return false;
        }
        if recent_latency.value_s()
            > self.reference_latency_s(group_latency_s) * COLD_START_LATENCY_RATIO
        {
            return true;
        }
        self.baseline.add_weighted(sample_s, BASELINE_WEIGHT);
        false
    }

    /// Returns the expected latency when warm: the baseline, or the group latency until there is one.
    fn reference_latency_s(&self, group_latency_s: f64) -> f64 {
        self.baseline_s().unwrap_or(group_latency_s)
    }

    /// Counts a shed, refused or broken attempt; returns whether the recent failures indicate a cold start.
    pub(crate) fn record_failure(&mut self, outcome: Outcome) -> bool {
        self.failure_bits = (self.failure_bits << 1) | 1;
        let indicates_cold_start = outcome == Outcome::NotConnected
            || self.failure_bits.count_ones() >= COLD_START_FAILURES;
        // At its cold limit, another cold start would not lower the limit any further.
        indicates_cold_start && (!self.is_cold || self.limit() > self.cold_slots.max(1))
    }

    /// Returns the baseline in seconds, or `None` while it has too few samples.
    pub(crate) fn baseline_s(&self) -> Option<f64> {
        (self.baseline.sample_count() >= MIN_BASELINE_SAMPLES).then(|| self.baseline.value_s())
    }
}
